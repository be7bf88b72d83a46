//! Lease holders that are paused at any step, lose their lease unnoticed or lose responses.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_fakes::{Fault, MemoryEngine, MemoryEngineConfig, MemoryKv};
use lycheelatch_fleet::{OrderError, Orders, ShardLease};
use lycheelatch_prelude::{Sequence, UpstreamId};
use lycheelatch_provider::{
    CasOutcome, Entry, KeyValue, KvError, KvKey, LeaseId, Version, WatchIndex, WatchResult,
};
use lycheelatch_upstream::{
    CacheEvents, Engine, EngineRequest, EngineStream, KvBlob, LoadReport, Order, OrderKind, Role,
    UpstreamError,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep};

const HOLDERS: usize = 3;

/// Longest pause of a process, in milliseconds; a multiple of the lease's time to live.
const MAX_PAUSE_MS: u64 = 300_000;

/// Random pauses of one process: short at most steps, longer than a lease at some.
struct Pauses {
    rng: std::sync::Mutex<StdRng>,
    percent: u32,
}

impl Pauses {
    async fn step(&self) {
        let pause = {
            let mut rng = self.rng.lock().unwrap();
            match rng.random_ratio(self.percent, 100) {
                true => rng.random_range(0..MAX_PAUSE_MS),
                false => rng.random_range(0..20),
            }
        };
        sleep(Duration::from_millis(pause)).await;
    }
}

/// The key-value service as accessed by one process, with pauses before and after each call.
struct PausedKv {
    kv: MemoryKv,
    pauses: Arc<Pauses>,
}

macro_rules! paused {
    ($self:ident, $call:expr) => {{
        $self.pauses.step().await;
        let result = $call.await;
        $self.pauses.step().await;
        result
    }};
}

#[async_trait(?Send)]
impl KeyValue for PausedKv {
    async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError> {
        paused!(self, self.kv.get(key))
    }

    async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError> {
        paused!(self, self.kv.list(prefix))
    }

    async fn compare_and_swap(
        &self,
        key: &KvKey,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        paused!(self, self.kv.compare_and_swap(key, expected, value))
    }

    async fn delete(&self, key: &KvKey, expected: Version) -> Result<CasOutcome, KvError> {
        paused!(self, self.kv.delete(key, expected))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        paused!(self, self.kv.grant_lease(ttl))
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        paused!(self, self.kv.renew_lease(lease))
    }

    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        paused!(self, self.kv.revoke_lease(lease))
    }

    async fn acquire(
        &self,
        key: &KvKey,
        value: Bytes,
        lease: &LeaseId,
    ) -> Result<CasOutcome, KvError> {
        paused!(self, self.kv.acquire(key, value, lease))
    }

    async fn watch(
        &self,
        prefix: &KvKey,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<WatchResult, KvError> {
        self.kv.watch(prefix, after, wait).await
    }
}

/// The engine as accessed by one process, with a pause between the last check and sending.
struct PausedEngine {
    engine: MemoryEngine,
    pauses: Arc<Pauses>,
}

#[async_trait(?Send)]
impl Engine for PausedEngine {
    async fn generate(&self, req: EngineRequest) -> Result<EngineStream, UpstreamError> {
        self.engine.generate(req).await
    }

    async fn cancel(&self, id: &lycheelatch_prelude::RequestId) -> Result<(), UpstreamError> {
        self.engine.cancel(id).await
    }

    async fn load_report(&self) -> Result<LoadReport, UpstreamError> {
        self.engine.load_report().await
    }

    async fn cache_events(&self, after: Sequence) -> Result<CacheEvents, UpstreamError> {
        self.engine.cache_events(after).await
    }

    async fn order(&self, order: &Order) -> Result<(), UpstreamError> {
        // A paused process doesn't notice its own timeout, so the order is sent in any case.
        let (engine, order, pauses) = (self.engine.clone(), order.clone(), self.pauses.clone());
        let sent = actix::spawn(async move {
            pauses.step().await;
            engine.order(&order).await
        });
        let answer = sent.await.unwrap();
        self.pauses.step().await;
        answer
    }

    async fn export_kv(
        &self,
        id: &lycheelatch_prelude::RequestId,
    ) -> Result<KvBlob, UpstreamError> {
        self.engine.export_kv(id).await
    }

    async fn import_kv(&self, blob: &KvBlob) -> Result<(), UpstreamError> {
        self.engine.import_kv(blob).await
    }
}

#[derive(Debug, Clone)]
struct FaultPlan {
    seed: u64,
    pause_percent: u32,
    kv_fault_percent: u32,
    order_fault_percent: u32,
}

fn faults() -> impl Strategy<Value = FaultPlan> {
    (any::<u64>(), 0_u32..30, 0_u32..30, 0_u32..60).prop_map(
        |(seed, pause_percent, kv_fault_percent, order_fault_percent)| FaultPlan {
            seed,
            pause_percent,
            kv_fault_percent,
            order_fault_percent,
        },
    )
}

/// Returns the fencing numbers of the accepted orders, in the order of their effect.
fn run(faults: &FaultPlan, checks_fences: bool) -> Vec<u64> {
    let faults = faults.clone();
    actix::System::new().block_on(async move {
        tokio::time::pause();
        let kv = MemoryKv::new();
        let engine = MemoryEngine::new(MemoryEngineConfig {
            checks_fences,
            ..MemoryEngineConfig::default()
        });
        let mut rng = StdRng::seed_from_u64(faults.seed);
        let kv_faults = [
            Fault::Refuse,
            Fault::LoseResponse,
            Fault::Slow(Duration::from_secs(2)),
            Fault::Silent,
        ];
        let order_faults = [
            Fault::LoseResponse,
            Fault::Slow(Duration::from_secs(5)),
            Fault::SlowThenLoseResponse(Duration::from_secs(15)),
            Fault::Refuse,
        ];
        kv.faults.script(script(&mut rng, faults.kv_fault_percent, &kv_faults));
        engine.order_faults.script(script(&mut rng, faults.order_fault_percent, &order_faults));
        let ends = Instant::now() + Duration::from_secs(2_400);
        let errors = Rc::new(RefCell::new(Vec::new()));
        let holders = (0..HOLDERS).map(|i| {
            let pauses = Arc::new(Pauses {
                rng: std::sync::Mutex::new(StdRng::seed_from_u64(faults.seed ^ i as u64)),
                percent: faults.pause_percent,
            });
            let kv = Arc::new(PausedKv { kv: kv.clone(), pauses: pauses.clone() });
            let engine = PausedEngine { engine: engine.clone(), pauses };
            actix::spawn(run_holder(i, kv, engine, checks_fences, ends, errors.clone()))
        });
        for holder in holders.collect::<Vec<_>>() {
            holder.await.unwrap();
        }
        sleep(Duration::from_secs(120)).await;
        engine.orders().iter().filter(|order| order.accepted).map(|order| order.fence.0).collect()
    })
}

fn script(rng: &mut StdRng, percent: u32, faults: &[Fault]) -> Vec<Fault> {
    let mut draw = || match rng.random_ratio(percent, 100) {
        true => faults[rng.random_range(0..faults.len())],
        false => Fault::None,
    };
    (0..2_400).map(|_| draw()).collect()
}

async fn run_holder(
    i: usize,
    kv: Arc<dyn KeyValue>,
    engine: PausedEngine,
    checks_fences: bool,
    ends: Instant,
    errors: Rc<RefCell<Vec<OrderError>>>,
) {
    let upstream: UpstreamId = "runner-0".parse().unwrap();
    let node = format!("node-{i}").parse().unwrap();
    let lease = Arc::new(ShardLease::new(kv.clone(), node, "gwehydd-llm"));
    let orders = Orders::new(lease.clone(), kv);
    while Instant::now() < ends {
        let is_holder = match lease.is_held() {
            true => lease.renew().await.is_ok(),
            false => lease.try_acquire().await.unwrap_or(false),
        };
        if is_holder || lease.is_held() {
            let kind = OrderKind::Role { role: Role::Mixed };
            if let Err(err) = orders.send(&upstream, &engine, checks_fences, kind).await {
                errors.borrow_mut().push(err);
            }
        }
        sleep(Duration::from_secs(2)).await;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn send_fenced_engine_never_takes_older_order(faults in faults()) {
        let fences = run(&faults, true);
        prop_assert!(fences.is_sorted(), "{fences:?}");
    }

    #[test]
    fn send_unfenced_engine_never_gets_interleaved_orders(faults in faults()) {
        let fences = run(&faults, false);
        prop_assert!(fences.is_sorted(), "{fences:?}");
    }
}

#[test]
fn send_without_faults_sends_many_orders() {
    let no_faults =
        FaultPlan { seed: 1, pause_percent: 0, kv_fault_percent: 0, order_fault_percent: 0 };
    assert!(run(&no_faults, true).len() > 200);
    assert!(run(&no_faults, false).len() > 200);
}

#[actix::test]
async fn permit_ends_before_its_lease() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let lease = ShardLease::new(Arc::new(kv.clone()), "node-0".parse().unwrap(), "gwehydd-llm");
    assert!(lease.try_acquire().await.unwrap());
    kv.faults.set_default(Fault::Silent);
    assert!(lease.renew().await.is_err());
    assert!(lease.permit(Instant::now()).is_some());
    sleep(Duration::from_secs(10)).await;
    assert!(lease.permit(Instant::now()).is_none());
}

#[actix::test]
async fn try_acquire_fails_during_an_outage() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let lease = |node: &str| ShardLease::new(Arc::new(kv.clone()), node.parse().unwrap(), "llm");
    let (first, second) = (lease("node-0"), lease("node-1"));
    assert!(first.try_acquire().await.unwrap());
    kv.faults.set_default(Fault::Refuse);
    sleep(Duration::from_secs(120)).await;
    assert!(second.try_acquire().await.is_err());
    assert!(second.permit(Instant::now()).is_none());
    assert!(first.permit(Instant::now()).is_none());
    kv.faults.clear();
    assert!(first.renew().await.is_err());
    assert!(second.try_acquire().await.unwrap());
}

#[actix::test]
async fn release_lets_another_node_acquire_at_once() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let lease = |node: &str| ShardLease::new(Arc::new(kv.clone()), node.parse().unwrap(), "llm");
    let (first, second) = (lease("node-0"), lease("node-1"));
    assert!(first.try_acquire().await.unwrap());
    assert!(!second.try_acquire().await.unwrap());
    first.release().await.unwrap();
    assert!(second.try_acquire().await.unwrap());
    let permit = second.permit(Instant::now()).unwrap();
    assert!(permit.unfenced_from <= Instant::now());
}
