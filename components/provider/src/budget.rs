//! One node's share of the calls that the key-value service can take.
//!
//! Half of the share is split between the classes of calls, so that none can
//! starve another; the other half goes to whoever asks first.

use std::{
    future::Future,
    num::NonZeroU32,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use governor::{
    Quota, RateLimiter,
    clock::Clock,
    middleware::NoOpMiddleware,
    nanos::Nanos,
    state::{InMemoryState, NotKeyed},
};
use prometheus::{GaugeVec, IntCounterVec, Opts, Registry};
use tokio::time::{Instant, sleep};

use crate::{
    CasOutcome, Entry, KeyValue, KvError, KvKey, LeaseId, Version, WatchIndex, WatchResult,
};

/// Part of a node's share that is split between the classes.
const RESERVED_SHARE: f64 = 0.5;

/// Time whose calls may be made at once after a quiet spell, in seconds.
const BURST_SECONDS: f64 = 10.0;

/// Fewest calls that may be made at once.
const MIN_BURST: u32 = 2;

/// Fewest writes of configuration that may be made at once: one import of the largest one.
const MIN_CONFIGURATION_BURST: u32 = 160;

/// Change of the member count that a new share is worked out for, as a part of the count.
const MIN_MEMBER_CHANGE: f64 = 0.1;

/// What a call to the key-value service is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallClass {
    /// Claims of non-idempotent requests.
    Claims,
    /// Leases of service shards, and the orders under them.
    Leases,
    /// The configuration: changes, watches and reads.
    Configuration,
    /// Registration of nodes and upstreams.
    Registration,
}

impl CallClass {
    /// Every class.
    pub const ALL: [CallClass; 4] =
        [CallClass::Claims, CallClass::Leases, CallClass::Configuration, CallClass::Registration];

    /// Returns the name that metrics give it.
    pub fn as_str(self) -> &'static str {
        match self {
            CallClass::Claims => "claims",
            CallClass::Leases => "leases",
            CallClass::Configuration => "configuration",
            CallClass::Registration => "registration",
        }
    }

    /// Part of the reserved calls that belongs to the class.
    fn weight(self) -> f64 {
        match self {
            CallClass::Claims => 0.4,
            CallClass::Leases => 0.25,
            CallClass::Configuration => 0.25,
            CallClass::Registration => 0.1,
        }
    }
}

/// What the key-value service takes from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvCallLimits {
    /// Writes a second, calls about leases included.
    pub writes_per_second: f64,
    /// Reads a second; a waiting watch counts as one.
    pub reads_per_second: f64,
    /// Longest time that a call waits for its turn.
    pub max_wait: Duration,
}

impl Default for KvCallLimits {
    fn default() -> KvCallLimits {
        KvCallLimits {
            writes_per_second: 300.0,
            reads_per_second: 1_600.0,
            max_wait: Duration::from_secs(1),
        }
    }
}

/// Limits one node's calls to the key-value service and counts them.
pub struct KvCallBudget {
    kv: Arc<dyn KeyValue>,
    limits: KvCallLimits,
    shares: Mutex<Arc<Shares>>,
    calls: IntCounterVec,
    rates: GaugeVec,
}

impl KvCallBudget {
    /// Creates the limiter of a node that knows of no other yet, and registers its metrics.
    pub fn new(
        kv: Arc<dyn KeyValue>,
        limits: KvCallLimits,
        registry: &Registry,
    ) -> Result<Arc<KvCallBudget>, prometheus::Error> {
        let calls = Opts::new(
            "lycheelatch_kv_calls_total",
            "Calls to the key-value service by class, call and result.",
        );
        let calls = IntCounterVec::new(calls, &["class", "call", "result"])?;
        let rates = Opts::new(
            "lycheelatch_kv_share_calls_per_second",
            "This node's share of calls to the key-value service.",
        );
        let rates = GaugeVec::new(rates, &["kind"])?;
        registry.register(Box::new(calls.clone()))?;
        registry.register(Box::new(rates.clone()))?;
        let shares = Shares::new(&limits, 1);
        let shares = Mutex::new(Arc::new(shares));
        let budget = KvCallBudget { kv, limits, shares, calls, rates };
        budget.show_rates(1);
        Ok(Arc::new(budget))
    }

    /// Works out the node's share anew from the number of nodes, this one included.
    pub fn set_member_count(&self, members: usize) {
        let members = members.max(1);
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        let change = members.abs_diff(shares.members) as f64;
        if change == 0.0 || change < shares.members as f64 * MIN_MEMBER_CHANGE {
            return;
        }
        let new = Shares::new(&self.limits, members);
        // A new share starts empty, so that changes of membership add no calls.
        new.drain();
        *shares = Arc::new(new);
        self.show_rates(members);
    }

    /// Returns the service as calls of one class see it.
    pub fn for_class(self: &Arc<KvCallBudget>, class: CallClass) -> Arc<dyn KeyValue> {
        Arc::new(Limited { budget: self.clone(), class })
    }

    fn show_rates(&self, members: usize) {
        for kind in [Kind::Read, Kind::Write] {
            let rate = kind.rate(&self.limits) / members as f64;
            self.rates.with_label_values(&[kind.as_str()]).set(rate);
        }
    }

    /// Waits for the turn of a call; fails if it would not come in time.
    async fn admit(&self, class: CallClass, kind: Kind) -> Result<(), KvError> {
        let deadline = Instant::now() + self.limits.max_wait;
        loop {
            let shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let Err(wait) = shares.try_take(class, kind) else { return Ok(()) };
            if Instant::now() + wait > deadline {
                return Err(KvError::Throttled);
            }
            sleep(wait).await;
        }
    }
}

/// What kind of call the service counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
}

impl Kind {
    fn as_str(self) -> &'static str {
        match self {
            Kind::Read => "read",
            Kind::Write => "write",
        }
    }

    fn rate(self, limits: &KvCallLimits) -> f64 {
        match self {
            Kind::Read => limits.reads_per_second,
            Kind::Write => limits.writes_per_second,
        }
    }
}

/// The runtime's clock, which tests can pause.
#[derive(Debug, Clone)]
struct RuntimeClock {
    start: Instant,
}

impl Clock for RuntimeClock {
    type Instant = Nanos;

    fn now(&self) -> Nanos {
        self.start.elapsed().into()
    }
}

type Limiter = RateLimiter<NotKeyed, InMemoryState, RuntimeClock, NoOpMiddleware<Nanos>>;

/// The limiters that one member count gives.
struct Shares {
    members: usize,
    clock: RuntimeClock,
    reads: KindShares,
    writes: KindShares,
}

struct KindShares {
    reserved: [Limiter; CallClass::ALL.len()],
    common: Limiter,
}

impl Shares {
    fn new(limits: &KvCallLimits, members: usize) -> Shares {
        let clock = RuntimeClock { start: Instant::now() };
        let share = |kind: Kind| KindShares::new(kind, kind.rate(limits) / members as f64, &clock);
        Shares { members, reads: share(Kind::Read), writes: share(Kind::Write), clock }
    }

    fn of(&self, kind: Kind) -> &KindShares {
        match kind {
            Kind::Read => &self.reads,
            Kind::Write => &self.writes,
        }
    }

    /// Takes one call, or returns the time after which to try again.
    fn try_take(&self, class: CallClass, kind: Kind) -> Result<(), Duration> {
        let shares = self.of(kind);
        let Err(reserved) = shares.reserved[class as usize].check() else { return Ok(()) };
        let Err(common) = shares.common.check() else { return Ok(()) };
        let now = self.clock.now();
        Err(reserved.wait_time_from(now).min(common.wait_time_from(now)))
    }

    /// Uses up the calls that may be made at once, but for those that only an operator makes.
    fn drain(&self) {
        for (kind, shares) in [(Kind::Read, &self.reads), (Kind::Write, &self.writes)] {
            for class in CallClass::ALL.into_iter().filter(|c| !is_by_operator(*c, kind)) {
                drain(&shares.reserved[class as usize]);
            }
            drain(&shares.common);
        }
    }
}

impl KindShares {
    fn new(kind: Kind, rate: f64, clock: &RuntimeClock) -> KindShares {
        let reserved = |class: CallClass| {
            let is_by_operator = is_by_operator(class, kind);
            let min_burst = if is_by_operator { MIN_CONFIGURATION_BURST } else { MIN_BURST };
            limiter(rate * RESERVED_SHARE * class.weight(), min_burst, clock)
        };
        KindShares {
            reserved: CallClass::ALL.map(reserved),
            common: limiter(rate * (1.0 - RESERVED_SHARE), MIN_BURST, clock),
        }
    }
}

/// Returns whether calls are made only when an operator changes something, at one node.
fn is_by_operator(class: CallClass, kind: Kind) -> bool {
    class == CallClass::Configuration && kind == Kind::Write
}

fn limiter(rate: f64, min_burst: u32, clock: &RuntimeClock) -> Limiter {
    let burst = ((rate * BURST_SECONDS) as u32).max(min_burst);
    let burst = NonZeroU32::new(burst).unwrap_or(NonZeroU32::MIN);
    let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
    let interval = interval.clamp(Duration::from_nanos(1), Duration::from_secs(3600));
    let quota = Quota::with_period(interval).expect("the interval is longer than nothing");
    RateLimiter::direct_with_clock(quota.allow_burst(burst), clock.clone())
}

fn drain(limiter: &Limiter) {
    while limiter.check().is_ok() {}
}

/// The service as calls of one class see it.
struct Limited {
    budget: Arc<KvCallBudget>,
    class: CallClass,
}

impl Limited {
    async fn call<T>(
        &self,
        kind: Kind,
        name: &str,
        call: impl Future<Output = Result<T, KvError>>,
    ) -> Result<T, KvError> {
        let mut counted = Counted { limited: self, name, result: "cancelled" };
        let answer = match self.budget.admit(self.class, kind).await {
            Ok(()) => call.await,
            Err(err) => Err(err),
        };
        counted.result = result_of(&answer);
        answer
    }
}

/// Counts a call when it ends, also when its caller gives it up.
struct Counted<'a> {
    limited: &'a Limited,
    name: &'a str,
    result: &'static str,
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        let labels = [self.limited.class.as_str(), self.name, self.result];
        self.limited.budget.calls.with_label_values(&labels).inc();
    }
}

fn result_of<T>(answer: &Result<T, KvError>) -> &'static str {
    match answer {
        Ok(_) => "ok",
        Err(KvError::Unavailable { .. }) => "unavailable",
        Err(KvError::ResponseLost { .. }) => "answer-lost",
        Err(KvError::TooLarge { .. }) => "too-large",
        Err(KvError::LeaseEnded) => "lease-ended",
        Err(KvError::Throttled) => "throttled",
        Err(KvError::InvalidResponse { .. }) => "bad-answer",
    }
}

#[async_trait(?Send)]
impl KeyValue for Limited {
    async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError> {
        self.call(Kind::Read, "get", self.budget.kv.get(key)).await
    }

    async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError> {
        self.call(Kind::Read, "list", self.budget.kv.list(prefix)).await
    }

    async fn compare_and_swap(
        &self,
        key: &KvKey,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        let call = self.budget.kv.compare_and_swap(key, expected, value);
        self.call(Kind::Write, "compare-and-swap", call).await
    }

    async fn delete(&self, key: &KvKey, expected: Version) -> Result<CasOutcome, KvError> {
        self.call(Kind::Write, "delete", self.budget.kv.delete(key, expected)).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        self.call(Kind::Write, "grant-lease", self.budget.kv.grant_lease(ttl)).await
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        self.call(Kind::Write, "renew-lease", self.budget.kv.renew_lease(lease)).await
    }

    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        self.call(Kind::Write, "revoke-lease", self.budget.kv.revoke_lease(lease)).await
    }

    async fn acquire(
        &self,
        key: &KvKey,
        value: Bytes,
        lease: &LeaseId,
    ) -> Result<CasOutcome, KvError> {
        self.call(Kind::Write, "acquire", self.budget.kv.acquire(key, value, lease)).await
    }

    async fn watch(
        &self,
        prefix: &KvKey,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<WatchResult, KvError> {
        self.call(Kind::Read, "watch", self.budget.kv.watch(prefix, after, wait)).await
    }
}
