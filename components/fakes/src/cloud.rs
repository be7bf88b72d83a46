//! Cloud API in memory.

use std::{
    collections::{BTreeMap, HashMap},
    future::pending,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use lycheelatch_prelude::{InstanceId, Sequence, ZoneName};
use lycheelatch_provider::{
    Cloud, CloudError, Instance, InstanceState, Offer, ReclaimNotice, StartInstance,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::{Fault, Faults};

/// Cloud API in memory; clones share their content.
#[derive(Clone, Default)]
pub struct MemoryCloud {
    shared: Arc<Shared>,
    /// Faults to show.
    pub faults: Faults,
}

#[derive(Default)]
struct Shared {
    data: Mutex<Data>,
    noticed: Notify,
}

#[derive(Default)]
struct Data {
    offers: Vec<Offer>,
    refused: Vec<ZoneName>,
    instances: BTreeMap<InstanceId, Instance>,
    by_token: HashMap<Arc<str>, InstanceId>,
    notices: Vec<(ReclaimNotice, Instant)>,
    started: u64,
    refusals: u64,
    calls: u64,
}

impl MemoryCloud {
    /// Creates a cloud that sells `offers`.
    pub fn new(offers: Vec<Offer>) -> MemoryCloud {
        let cloud = MemoryCloud::default();
        cloud.shared.data.lock().unwrap().offers = offers;
        cloud
    }

    /// Sets the availability zones in which every start is refused.
    pub fn refuse_zones(&self, zones: Vec<ZoneName>) {
        self.shared.data.lock().unwrap().refused = zones;
    }

    /// Adds an instance that runs already.
    pub fn add(&self, instance: Instance) {
        self.shared.data.lock().unwrap().instances.insert(instance.id.clone(), instance);
    }

    /// Sets the state of an instance.
    pub fn set_state(&self, id: &InstanceId, state: InstanceState) {
        if let Some(instance) = self.shared.data.lock().unwrap().instances.get_mut(id) {
            instance.state = state;
        }
    }

    /// Gives notice that an instance goes after `remaining`.
    pub fn reclaim(&self, id: &InstanceId, remaining: Duration) {
        self.notify(id, remaining, false);
        self.set_state(id, InstanceState::Leaving);
    }

    /// Withdraws the notice of an instance.
    pub fn withdraw(&self, id: &InstanceId) {
        self.notify(id, Duration::ZERO, true);
        self.set_state(id, InstanceState::Running);
    }

    /// Returns how many starts took effect.
    pub fn started(&self) -> u64 {
        self.shared.data.lock().unwrap().started
    }

    /// Returns how many starts were refused for want of capacity.
    pub fn refusals(&self) -> u64 {
        self.shared.data.lock().unwrap().refusals
    }

    /// Returns how many calls were made.
    pub fn calls(&self) -> u64 {
        self.shared.data.lock().unwrap().calls
    }

    /// Returns the instances that are not gone, without counting.
    pub fn peek(&self) -> Vec<Instance> {
        let data = self.shared.data.lock().unwrap();
        data.instances.values().filter(|i| i.state != InstanceState::Gone).cloned().collect()
    }

    fn notify(&self, id: &InstanceId, remaining: Duration, withdrawn: bool) {
        let mut data = self.shared.data.lock().unwrap();
        let sequence = Sequence(data.notices.len() as u64 + 1);
        let notice = ReclaimNotice { sequence, instance: id.clone(), remaining, withdrawn };
        data.notices.push((notice, Instant::now() + remaining));
        self.shared.noticed.notify_waiters();
    }

    async fn call<T>(
        &self,
        act: impl FnOnce(&mut Data) -> Result<T, CloudError>,
    ) -> Result<T, CloudError> {
        let fault = self.faults.next();
        let act = || {
            let mut data = self.shared.data.lock().unwrap();
            data.calls += 1;
            act(&mut data)
        };
        let lost = || CloudError::ResponseLost { reason: "told to lose the answer".into() };
        match fault {
            Fault::None => act(),
            Fault::Refuse => Err(CloudError::Unavailable { reason: "told to refuse".into() }),
            Fault::LoseAnswer => act().and(Err(lost())),
            Fault::Slow(delay) => {
                sleep(delay).await;
                act()
            }
            Fault::SlowThenLoseAnswer(delay) => {
                sleep(delay).await;
                act().and(Err(lost()))
            }
            Fault::Silent => pending().await,
        }
    }
}

#[async_trait(?Send)]
impl Cloud for MemoryCloud {
    async fn offers(&self) -> Result<Vec<Offer>, CloudError> {
        self.call(|data| Ok(data.offers.clone())).await
    }

    async fn start(&self, req: &StartInstance) -> Result<InstanceId, CloudError> {
        self.call(|data| start(data, req)).await
    }

    async fn stop(&self, id: &InstanceId) -> Result<(), CloudError> {
        self.call(|data| {
            if let Some(instance) = data.instances.get_mut(id) {
                instance.state = InstanceState::Gone;
            }
            Ok(())
        })
        .await
    }

    async fn list(&self) -> Result<Vec<Instance>, CloudError> {
        self.call(|data| {
            let is_there = |i: &&Instance| i.state != InstanceState::Gone;
            Ok(data.instances.values().filter(is_there).cloned().collect())
        })
        .await
    }

    async fn reclaim_notices(
        &self,
        after: Sequence,
        wait: Duration,
    ) -> Result<Vec<ReclaimNotice>, CloudError> {
        let ends = Instant::now() + wait;
        loop {
            let noticed = self.shared.noticed.notified();
            let notices = self.call(|data| Ok(notices_after(data, after))).await?;
            let left = ends.saturating_duration_since(Instant::now());
            if !notices.is_empty() || left.is_zero() {
                return Ok(notices);
            }
            let _timed_out = timeout(left, noticed).await;
        }
    }
}

fn start(data: &mut Data, req: &StartInstance) -> Result<InstanceId, CloudError> {
    if let Some(id) = data.by_token.get(&req.token) {
        return Ok(id.clone());
    }
    if data.refused.contains(&req.zone) {
        data.refusals += 1;
        let (class, zone) = (req.class.clone(), req.zone.clone());
        return Err(CloudError::NoCapacity { class, zone });
    }
    data.started += 1;
    let id: InstanceId = format!("started-{}", data.started).parse().unwrap();
    let instance = Instance {
        id: id.clone(),
        service: req.service.clone(),
        zone: req.zone.clone(),
        class: req.class.clone(),
        purchase: req.purchase,
        state: InstanceState::Starting,
    };
    data.instances.insert(id.clone(), instance);
    data.by_token.insert(req.token.clone(), id.clone());
    Ok(id)
}

fn notices_after(data: &Data, after: Sequence) -> Vec<ReclaimNotice> {
    let now = Instant::now();
    let of_now = |(notice, ends): &(ReclaimNotice, Instant)| ReclaimNotice {
        remaining: ends.saturating_duration_since(now),
        ..notice.clone()
    };
    data.notices.iter().filter(|(notice, _)| notice.sequence > after).map(of_now).collect()
}
