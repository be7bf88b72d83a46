//! Platform in memory whose writes end as a script says.

use super::*;

#[derive(Clone)]
pub(super) struct Stored {
    item: KeyValue,
    lease: Option<LeaseId>,
}

/// What a copy of the store holds.
#[derive(Clone)]
pub(super) struct StoreCopy {
    revision: u64,
    values: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Instant>,
}

/// Store contents and the calls that the platform received.
pub(super) struct ModelPlatform {
    pub(super) started: Instant,
    /// How often the store came back from a copy.
    pub(super) era: StoreEra,
    pub(super) revision: u64,
    pub(super) values: BTreeMap<String, Stored>,
    pub(super) leases: BTreeMap<u64, Instant>,
    pub(super) answered_writes: u32,
    pub(super) script: VecDeque<Outcome>,
    pub(super) actions: Vec<Action>,
    pub(super) reports: Vec<Report>,
    /// Number of reads of single keys.
    pub(super) reads: u32,
    /// Start of an outage, in which no call is answered and no lease ends.
    pub(super) paused_since: Option<Instant>,
}

impl ModelPlatform {
    pub(super) fn new(answered_writes: u32, script: VecDeque<Outcome>) -> ModelPlatform {
        ModelPlatform {
            started: Instant::now(),
            era: StoreEra::default(),
            revision: 1,
            values: BTreeMap::new(),
            leases: BTreeMap::new(),
            answered_writes,
            script,
            actions: Vec::new(),
            reports: Vec::new(),
            reads: 0,
            paused_since: None,
        }
    }

    pub(super) fn pause(&mut self) {
        self.paused_since = Some(Instant::now());
    }

    pub(super) fn resume(&mut self) {
        let Some(paused_since) = self.paused_since.take() else { return };
        self.leases.values_mut().for_each(|ends| *ends += paused_since.elapsed());
    }

    pub(super) fn copy(&self) -> StoreCopy {
        StoreCopy {
            revision: self.revision,
            values: self.values.clone(),
            leases: self.leases.clone(),
        }
    }

    /// Replaces what the store holds by a copy, whose leases run on from now.
    pub(super) fn restore(&mut self, copy: StoreCopy) {
        self.era.0 += 1;
        self.revision = copy.revision;
        self.values = copy.values;
        self.leases = copy.leases;
        self.leases.values_mut().for_each(|ends| *ends = Instant::now() + LEASE);
    }

    fn next_outcome(&mut self) -> Outcome {
        if self.answered_writes > 0 {
            self.answered_writes -= 1;
            return Outcome::Answered;
        }
        self.script.pop_front().unwrap_or(Outcome::Answered)
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, ends| *ends > now);
        let leases = &self.leases;
        self.values.retain(|_, value| value.lease.is_none_or(|of| leases.contains_key(&of.number)));
    }

    fn commit(&mut self, commit: Commit) -> Result<CommitOutcome, StoreError> {
        self.expire_leases();
        if commit.lease.is_some_and(|lease| !self.leases.contains_key(&lease.number)) {
            return Err(StoreError::LeaseEnded);
        }
        let current = self.values.get(&*commit.key).map(|stored| stored.item.revision.number);
        if current.unwrap_or_default() != commit.expected.number {
            return Ok(CommitOutcome::Conflict);
        }
        self.revision += 1;
        let revision = StoreRevision::new(self.era, self.revision);
        let item =
            KeyValue { key: commit.key.clone(), value: commit.value, revision, created: revision };
        self.values.insert(commit.key.to_string(), Stored { item, lease: commit.lease });
        let is_of_key = commit.expected != StoreRevision::ABSENT && commit.expected.era != self.era;
        if is_of_key || commit.lease.is_some_and(|lease| lease.era != self.era) {
            return Err(StoreError::Restored);
        }
        Ok(CommitOutcome::Applied(revision))
    }

    fn grant(&mut self, ttl: Duration) -> LeaseId {
        self.revision += 1;
        self.leases.insert(self.revision, Instant::now() + ttl);
        LeaseId { era: self.era, number: self.revision }
    }

    fn renew(&mut self, lease: LeaseId) -> Result<(), StoreError> {
        self.expire_leases();
        let ends = self.leases.get_mut(&lease.number).ok_or(StoreError::LeaseEnded)?;
        *ends = Instant::now() + LEASE;
        if lease.era != self.era {
            return Err(StoreError::LeaseEnded);
        }
        Ok(())
    }
}

#[derive(Clone)]
pub(super) struct ModelStore(pub(super) Rc<RefCell<ModelPlatform>>);

impl ModelStore {
    /// Applies a write with the next outcome of the script.
    async fn write<T: 'static>(
        &self,
        effect: impl Fn(&mut ModelPlatform) -> Result<T, StoreError> + 'static,
    ) -> Result<T, StoreError> {
        let platform = self.0.clone();
        if platform.borrow().paused_since.is_some() {
            sleep(CALL_TIMEOUT).await;
            return Err(StoreError::NoAnswer("paused".into()));
        }
        let outcome = platform.borrow_mut().next_outcome();
        let apply = move || effect(&mut platform.borrow_mut());
        sleep(NETWORK_DELAY).await;
        let no_answer = Err(StoreError::NoAnswer("lost".into()));
        match outcome {
            Outcome::Answered => {
                let result = apply();
                sleep(NETWORK_DELAY).await;
                result
            }
            Outcome::ResponseLost => {
                drop(apply());
                sleep(CALL_TIMEOUT).await;
                no_answer
            }
            Outcome::RequestLost => {
                sleep(CALL_TIMEOUT).await;
                no_answer
            }
            Outcome::Delayed => {
                spawn_delayed(LATE_DELAY, apply);
                sleep(CALL_TIMEOUT).await;
                no_answer
            }
            Outcome::DelayedPastLease => {
                spawn_delayed(VERY_LATE_DELAY, apply);
                sleep(CALL_TIMEOUT).await;
                no_answer
            }
            Outcome::Suspended => {
                let result = apply();
                sleep(SUSPENSION).await;
                result
            }
            Outcome::Repeated => {
                let result = apply();
                spawn_delayed(LATE_DELAY, apply);
                sleep(NETWORK_DELAY).await;
                result
            }
        }
    }
}

fn spawn_delayed<T: 'static>(time: Duration, apply: impl Fn() -> Result<T, StoreError> + 'static) {
    spawn_local(async move {
        sleep(time).await;
        drop(apply());
    });
}

#[async_trait(?Send)]
impl Store for ModelStore {
    async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        sleep(NETWORK_DELAY).await;
        let mut platform = self.0.borrow_mut();
        platform.reads += 1;
        platform.expire_leases();
        let era = platform.era;
        let item = platform.values.get(key).map(|stored| stored.item.clone());
        Ok(item.map(|item| KeyValue { revision: StoreRevision { era, ..item.revision }, ..item }))
    }

    async fn list(&self, prefix: &str, _: Freshness) -> Result<Listing, StoreError> {
        sleep(NETWORK_DELAY).await;
        let mut platform = self.0.borrow_mut();
        platform.expire_leases();
        let matching = platform.values.iter().filter(|(key, _)| key.starts_with(prefix));
        let items = matching.map(|(_, stored)| stored.item.clone()).collect();
        Ok(Listing { items, revision: StoreRevision::new(platform.era, platform.revision) })
    }

    async fn watch(&self, _: &str, _: StoreRevision, _: Duration) -> Result<Changes, StoreError> {
        Err(StoreError::Refused("watch is not implemented".into()))
    }

    async fn commit(&self, commit: Commit) -> Result<CommitOutcome, StoreError> {
        self.write(move |platform| platform.commit(commit.clone())).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.write(move |platform| Ok(platform.grant(ttl))).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(move |platform| platform.renew(lease)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(move |platform| {
            platform.leases.remove(&lease.number);
            Ok(())
        })
        .await
    }
}

pub(super) struct ModelPlatformApi {
    pub(super) platform: Rc<RefCell<ModelPlatform>>,
    pub(super) node: usize,
}

#[async_trait(?Send)]
impl PlatformApi for ModelPlatformApi {
    fn max_delivery(&self) -> Duration {
        MAX_DELIVERY
    }

    async fn report_usage(
        &self,
        permit: Rc<dyn LeaderPermit>,
        window: UsageWindow,
        counts: &WindowCounts,
    ) -> Result<(), PlatformApiError> {
        let outcome = {
            let mut platform = self.platform.borrow_mut();
            let outcome = platform.next_outcome();
            if outcome != Outcome::RequestLost {
                let at = platform.started.elapsed();
                let action = Action { at, node: self.node, fence: permit.fence() };
                platform.actions.push(action.clone());
                platform.reports.push(Report { action, window, counts: counts.clone() });
            }
            outcome
        };
        match outcome {
            Outcome::Answered | Outcome::Repeated => Ok(()),
            _ => {
                sleep(CALL_TIMEOUT).await;
                Err(PlatformApiError::NoAnswer("lost".into()))
            }
        }
    }

    async fn order_capacity(
        &self,
        _: Rc<dyn LeaderPermit>,
        _: &CapacityOrder,
    ) -> Result<(), PlatformApiError> {
        Err(PlatformApiError::NoneAvailable)
    }
}
