//! In-memory instance list with a propagation delay.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use lycheelatch_provider::{InstanceList, InstanceListError, ListedInstance};
use tokio::time::{Instant, sleep};

use crate::{Fault, Faults};

/// In-memory instance list; clones share their content.
#[derive(Clone, Default)]
pub struct MemoryInstances {
    shared: Arc<Mutex<Data>>,
    /// Faults to inject.
    pub faults: Faults,
}

#[derive(Default)]
struct Data {
    lag: Duration,
    history: Vec<(Instant, Vec<ListedInstance>)>,
}

impl MemoryInstances {
    /// Creates an empty list in which each change becomes visible after `lag`.
    pub fn new(lag: Duration) -> MemoryInstances {
        let list = MemoryInstances::default();
        list.shared.lock().unwrap().lag = lag;
        list
    }

    /// Replaces the list; the change becomes visible after the lag.
    pub fn set(&self, instances: Vec<ListedInstance>) {
        self.shared.lock().unwrap().history.push((Instant::now(), instances));
    }

    /// Modifies the current list; the change becomes visible after the lag.
    pub fn update(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut data = self.shared.lock().unwrap();
        let mut latest = data.history.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut latest);
        data.history.push((Instant::now(), latest));
    }

    fn visible(&self) -> Vec<ListedInstance> {
        let data = self.shared.lock().unwrap();
        let is_visible =
            |(at, _): &&(Instant, Vec<ListedInstance>)| *at + data.lag <= Instant::now();
        data.history.iter().rev().find(is_visible).map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

#[async_trait(?Send)]
impl InstanceList for MemoryInstances {
    async fn list(&self) -> Result<Vec<ListedInstance>, InstanceListError> {
        match self.faults.next() {
            Fault::None => Ok(self.visible()),
            Fault::Slow(delay) => {
                sleep(delay).await;
                Ok(self.visible())
            }
            Fault::Silent => std::future::pending().await,
            Fault::Refuse | Fault::LoseResponse | Fault::SlowThenLoseResponse(_) => {
                Err(InstanceListError::Unavailable { reason: "injected fault: call failed".into() })
            }
        }
    }
}
