//! In-memory cloud API.

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

/// In-memory cloud API; clones share their content.
#[derive(Clone, Default)]
pub struct MemoryCloud {
    shared: Arc<Shared>,
    /// Faults to inject.
    pub faults: Faults,
}

#[derive(Default)]
struct Shared {
    data: Mutex<Data>,
    notice_added: Notify,
}

#[derive(Default)]
struct Data {
    offers: Vec<Offer>,
    full_zones: Vec<ZoneName>,
    instances: BTreeMap<InstanceId, Instance>,
    by_token: HashMap<Arc<str>, InstanceId>,
    notices: Vec<(ReclaimNotice, Instant)>,
    started: u64,
    refusals: u64,
    calls: u64,
}

impl MemoryCloud {
    /// Creates a cloud without instances that lists `offers`.
    pub fn new(offers: Vec<Offer>) -> MemoryCloud {
        let cloud = MemoryCloud::default();
        cloud.shared.data.lock().unwrap().offers = offers;
        cloud
    }

    /// Sets the availability zones in which every start fails with [`CloudError::NoCapacity`].
    pub fn refuse_zones(&self, zones: Vec<ZoneName>) {
        self.shared.data.lock().unwrap().full_zones = zones;
    }

    /// Adds an instance without a call to `start`.
    pub fn add(&self, instance: Instance) {
        self.shared.data.lock().unwrap().instances.insert(instance.id.clone(), instance);
    }

    /// Sets the state of an instance.
    pub fn set_state(&self, id: &InstanceId, state: InstanceState) {
        if let Some(instance) = self.shared.data.lock().unwrap().instances.get_mut(id) {
            instance.state = state;
        }
    }

    /// Announces that an instance is reclaimed after `remaining`.
    pub fn reclaim(&self, id: &InstanceId, remaining: Duration) {
        self.add_notice(id, remaining, false);
        self.set_state(id, InstanceState::Leaving);
    }

    /// Withdraws the reclaim notice of an instance.
    pub fn withdraw(&self, id: &InstanceId) {
        self.add_notice(id, Duration::ZERO, true);
        self.set_state(id, InstanceState::Running);
    }

    /// Returns the number of started instances.
    pub fn started(&self) -> u64 {
        self.shared.data.lock().unwrap().started
    }

    /// Returns how many starts failed for lack of capacity.
    pub fn refusals(&self) -> u64 {
        self.shared.data.lock().unwrap().refusals
    }

    /// Returns the number of calls; those with `Fault::Refuse` or `Fault::Silent` do not count.
    pub fn calls(&self) -> u64 {
        self.shared.data.lock().unwrap().calls
    }

    /// Returns the instances that are not gone; not counted as a call, and never faulty.
    pub fn peek(&self) -> Vec<Instance> {
        let data = self.shared.data.lock().unwrap();
        data.instances.values().filter(|i| i.state != InstanceState::Gone).cloned().collect()
    }

    fn add_notice(&self, id: &InstanceId, remaining: Duration, withdrawn: bool) {
        let mut data = self.shared.data.lock().unwrap();
        let sequence = Sequence(data.notices.len() as u64 + 1);
        let notice = ReclaimNotice { sequence, instance: id.clone(), remaining, withdrawn };
        data.notices.push((notice, Instant::now() + remaining));
        self.shared.notice_added.notify_waiters();
    }

    async fn call<T>(
        &self,
        op: impl FnOnce(&mut Data) -> Result<T, CloudError>,
    ) -> Result<T, CloudError> {
        let fault = self.faults.next();
        let call = || {
            let mut data = self.shared.data.lock().unwrap();
            data.calls += 1;
            op(&mut data)
        };
        let lost = || CloudError::ResponseLost { reason: "injected fault: response lost".into() };
        match fault {
            Fault::None => call(),
            Fault::Refuse => {
                Err(CloudError::Unavailable { reason: "injected fault: call refused".into() })
            }
            Fault::LoseResponse => call().and(Err(lost())),
            Fault::Slow(delay) => {
                sleep(delay).await;
                call()
            }
            Fault::SlowThenLoseResponse(delay) => {
                sleep(delay).await;
                call().and(Err(lost()))
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
            let exists = |i: &&Instance| i.state != InstanceState::Gone;
            Ok(data.instances.values().filter(exists).cloned().collect())
        })
        .await
    }

    async fn reclaim_notices(
        &self,
        after: Sequence,
        wait: Duration,
    ) -> Result<Vec<ReclaimNotice>, CloudError> {
        let deadline = Instant::now() + wait;
        loop {
            let notice_added = self.shared.notice_added.notified();
            let notices = self.call(|data| Ok(notices_after(data, after))).await?;
            let left = deadline.saturating_duration_since(Instant::now());
            if !notices.is_empty() || left.is_zero() {
                return Ok(notices);
            }
            let _timed_out = timeout(left, notice_added).await;
        }
    }
}

fn start(data: &mut Data, req: &StartInstance) -> Result<InstanceId, CloudError> {
    if let Some(id) = data.by_token.get(&req.token) {
        return Ok(id.clone());
    }
    if data.full_zones.contains(&req.zone) {
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
    let with_remaining = |(notice, ends): &(ReclaimNotice, Instant)| ReclaimNotice {
        remaining: ends.saturating_duration_since(now),
        ..notice.clone()
    };
    data.notices.iter().filter(|(notice, _)| notice.sequence > after).map(with_remaining).collect()
}
