//! Limits a node to its share of the call rate of the key-value service.
//!
//! Half of the share is reserved for the call classes, each of which has a fixed
//! part, so that no class can starve another. The other half is available to all
//! classes, first come, first served.

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

/// Fraction of a node's share that is reserved for the classes.
const RESERVED_SHARE: f64 = 0.5;

/// Burst size of a limiter, in seconds of its rate.
const BURST_SECONDS: f64 = 10.0;

/// Minimum burst size, in calls.
const MIN_BURST: u32 = 2;

/// Minimum burst of configuration writes, in calls: an import of the largest configuration.
const MIN_CONFIGURATION_BURST: u32 = 160;

/// Relative change of the member count from which the share is recalculated.
const MIN_MEMBER_CHANGE: f64 = 0.1;

/// Purpose of a call to the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallClass {
    /// Claims of non-idempotent requests.
    Claims,
    /// Leases of service shards and the orders made under them.
    Leases,
    /// Configuration: changes, watches and reads.
    Configuration,
    /// Registration of nodes and upstreams.
    Registration,
}

impl CallClass {
    /// All classes.
    pub const ALL: [CallClass; 4] =
        [CallClass::Claims, CallClass::Leases, CallClass::Configuration, CallClass::Registration];

    /// Returns the value of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            CallClass::Claims => "claims",
            CallClass::Leases => "leases",
            CallClass::Configuration => "configuration",
            CallClass::Registration => "registration",
        }
    }

    /// Returns the fraction of the reserved calls that the class gets.
    fn weight(self) -> f64 {
        match self {
            CallClass::Claims => 0.4,
            CallClass::Leases => 0.25,
            CallClass::Configuration => 0.25,
            CallClass::Registration => 0.1,
        }
    }
}

/// Total call rates of all nodes, and the maximum wait of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvCallLimits {
    /// Writes per second, lease calls included.
    pub writes_per_second: f64,
    /// Reads per second; a watch counts as one read.
    pub reads_per_second: f64,
    /// Maximum time that a call is delayed before it fails.
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
    limiters: Mutex<Arc<Limiters>>,
    calls: IntCounterVec,
    rates: GaugeVec,
}

impl KvCallBudget {
    /// Creates the limiter of a node that is the only member, and registers its metrics.
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
        let limiters = Limiters::new(&limits, 1);
        let limiters = Mutex::new(Arc::new(limiters));
        let budget = KvCallBudget { kv, limits, limiters, calls, rates };
        budget.update_rate_metric(1);
        Ok(Arc::new(budget))
    }

    /// Recalculates the share for a number of member nodes, this one included.
    pub fn set_member_count(&self, members: usize) {
        let members = members.max(1);
        let mut limiters = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        let change = members.abs_diff(limiters.members) as f64;
        if change == 0.0 || change < limiters.members as f64 * MIN_MEMBER_CHANGE {
            return;
        }
        let new = Limiters::new(&self.limits, members);
        // A new share starts without burst allowance, so that membership changes add no calls.
        new.drain();
        *limiters = Arc::new(new);
        self.update_rate_metric(members);
    }

    /// Returns a client of the key-value service for calls of one class.
    pub fn for_class(self: &Arc<KvCallBudget>, class: CallClass) -> Arc<dyn KeyValue> {
        Arc::new(RateLimitedKv { budget: self.clone(), class })
    }

    fn update_rate_metric(&self, members: usize) {
        for kind in [Kind::Read, Kind::Write] {
            let rate = kind.rate(&self.limits) / members as f64;
            self.rates.with_label_values(&[kind.as_str()]).set(rate);
        }
    }

    /// Waits until a call is permitted; returns [`KvError::Throttled`] if that would take longer
    /// than the maximum wait.
    async fn admit(&self, class: CallClass, kind: Kind) -> Result<(), KvError> {
        let deadline = Instant::now() + self.limits.max_wait;
        loop {
            let limiters = self.limiters.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let Err(wait) = limiters.try_take(class, kind) else { return Ok(()) };
            if Instant::now() + wait > deadline {
                return Err(KvError::Throttled);
            }
            sleep(wait).await;
        }
    }
}

/// Kind of a call, with a rate limit of its own.
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

/// Clock of the runtime, which tests can pause.
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

/// Limiters for one member count.
struct Limiters {
    members: usize,
    clock: RuntimeClock,
    reads: KindLimiters,
    writes: KindLimiters,
}

struct KindLimiters {
    reserved: [Limiter; CallClass::ALL.len()],
    shared: Limiter,
}

impl Limiters {
    fn new(limits: &KvCallLimits, members: usize) -> Limiters {
        let clock = RuntimeClock { start: Instant::now() };
        let of_kind =
            |kind: Kind| KindLimiters::new(kind, kind.rate(limits) / members as f64, &clock);
        Limiters { members, reads: of_kind(Kind::Read), writes: of_kind(Kind::Write), clock }
    }

    fn of(&self, kind: Kind) -> &KindLimiters {
        match kind {
            Kind::Read => &self.reads,
            Kind::Write => &self.writes,
        }
    }

    /// Takes a permit for one call, or returns the delay before the next attempt.
    fn try_take(&self, class: CallClass, kind: Kind) -> Result<(), Duration> {
        let limiters = self.of(kind);
        let Err(reserved) = limiters.reserved[class as usize].check() else { return Ok(()) };
        let Err(shared) = limiters.shared.check() else { return Ok(()) };
        let now = self.clock.now();
        Err(reserved.wait_time_from(now).min(shared.wait_time_from(now)))
    }

    /// Uses up the burst allowance, except for the calls that only an operator causes.
    fn drain(&self) {
        for (kind, limiters) in [(Kind::Read, &self.reads), (Kind::Write, &self.writes)] {
            for class in CallClass::ALL.into_iter().filter(|c| !is_operator_call(*c, kind)) {
                drain(&limiters.reserved[class as usize]);
            }
            drain(&limiters.shared);
        }
    }
}

impl KindLimiters {
    fn new(kind: Kind, rate: f64, clock: &RuntimeClock) -> KindLimiters {
        let reserved = |class: CallClass| {
            let is_operator_call = is_operator_call(class, kind);
            let min_burst = if is_operator_call { MIN_CONFIGURATION_BURST } else { MIN_BURST };
            limiter(rate * RESERVED_SHARE * class.weight(), min_burst, clock)
        };
        KindLimiters {
            reserved: CallClass::ALL.map(reserved),
            shared: limiter(rate * (1.0 - RESERVED_SHARE), MIN_BURST, clock),
        }
    }
}

/// Returns whether such calls occur only when an operator changes something, on one node.
fn is_operator_call(class: CallClass, kind: Kind) -> bool {
    class == CallClass::Configuration && kind == Kind::Write
}

fn limiter(rate: f64, min_burst: u32, clock: &RuntimeClock) -> Limiter {
    let burst = ((rate * BURST_SECONDS) as u32).max(min_burst);
    let burst = NonZeroU32::new(burst).unwrap_or(NonZeroU32::MIN);
    let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
    let interval = interval.clamp(Duration::from_nanos(1), Duration::from_secs(3600));
    let quota = Quota::with_period(interval).expect("the interval is longer than zero");
    RateLimiter::direct_with_clock(quota.allow_burst(burst), clock.clone())
}

fn drain(limiter: &Limiter) {
    while limiter.check().is_ok() {}
}

/// Client of the key-value service that is limited to the rate of one class.
struct RateLimitedKv {
    budget: Arc<KvCallBudget>,
    class: CallClass,
}

impl RateLimitedKv {
    async fn call<T>(
        &self,
        kind: Kind,
        name: &str,
        call: impl Future<Output = Result<T, KvError>>,
    ) -> Result<T, KvError> {
        let mut counter = CountOnDrop { client: self, name, result: "cancelled" };
        let result = match self.budget.admit(self.class, kind).await {
            Ok(()) => call.await,
            Err(err) => Err(err),
        };
        counter.result = result_label(&result);
        result
    }
}

/// Counts a call on drop, so that cancelled calls are counted too.
struct CountOnDrop<'a> {
    client: &'a RateLimitedKv,
    name: &'a str,
    result: &'static str,
}

impl Drop for CountOnDrop<'_> {
    fn drop(&mut self) {
        let labels = [self.client.class.as_str(), self.name, self.result];
        self.client.budget.calls.with_label_values(&labels).inc();
    }
}

fn result_label<T>(result: &Result<T, KvError>) -> &'static str {
    match result {
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
impl KeyValue for RateLimitedKv {
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
