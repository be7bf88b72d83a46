//! Upstreams that name limits of requests a second for all nodes together.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use lycheelatch_fakes::entry::{ExecutedRequest, ScriptedUpstream};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::time::{Instant, sleep};

use crate::{
    check::{Violation, is_served},
    load::CallRecord,
};

/// Values that upstreams name; the last ones are none and no number.
const LIMITS: [Option<&str>; 7] =
    [Some("0"), Some("0.5"), Some("1"), Some("2.5"), Some("10"), None, Some("many")];

/// Time after an upstream named a limit from which it is to be kept.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor and number of requests by which a window may exceed the limit.
const OVERAGE: f64 = 1.5;
const ALLOWANCE: f64 = 5.0;

/// A limit that an upstream began to name.
#[derive(Debug, Clone)]
struct LimitChange {
    upstream: usize,
    at: Instant,
    limit: Option<&'static str>,
}

/// Limits that upstreams named in a run.
pub(crate) struct LimitLog {
    rng: RefCell<StdRng>,
    changes: RefCell<Vec<LimitChange>>,
}

impl LimitLog {
    pub(crate) fn new(seed: u64) -> LimitLog {
        LimitLog { rng: RefCell::new(StdRng::seed_from_u64(seed)), changes: RefCell::default() }
    }

    /// Returns which of the upstreams in use changes its limit next.
    pub(crate) fn next_upstream(&self, count: usize) -> usize {
        self.rng.borrow_mut().random_range(0..count)
    }

    /// Changes the limit of an upstream and waits for the next change.
    pub(crate) async fn change(&self, at: usize, upstream: &ScriptedUpstream) {
        let limit = *LIMITS.choose(&mut *self.rng.borrow_mut()).expect("not empty");
        upstream.set_limit(limit);
        let change = LimitChange { upstream: at, at: Instant::now(), limit };
        self.changes.borrow_mut().push(change);
        let pause = self.rng.borrow_mut().random_range(500..4000);
        sleep(Duration::from_millis(pause)).await;
    }

    /// Lets no upstream name a limit any more.
    pub(crate) fn end(&self, upstreams: &[ScriptedUpstream]) {
        for (at, upstream) in upstreams.iter().enumerate() {
            upstream.set_limit(None);
            let change = LimitChange { upstream: at, at: Instant::now(), limit: None };
            self.changes.borrow_mut().push(change);
        }
    }

    /// Returns each limit with the time during which an upstream named it.
    fn spans(&self) -> Vec<(LimitChange, Option<Instant>)> {
        let changes = self.changes.borrow();
        let end_of = |at: usize| {
            let change = &changes[at];
            let later = changes[at + 1..].iter().find(|later| later.upstream == change.upstream);
            later.map(|later| later.at)
        };
        changes.iter().enumerate().map(|(at, change)| (change.clone(), end_of(at))).collect()
    }
}

/// Checks that no upstream got more requests in a window than its limit allows; `executed` holds the
/// requests of each upstream.
pub(crate) fn check_limits(
    log: &LimitLog,
    calls: &[CallRecord],
    executed: &[Vec<ExecutedRequest>],
) -> Vec<Violation> {
    let counted = calls.iter().filter(|call| call.is_node_quiet);
    let counted: HashSet<&str> = counted.map(|call| call.id.as_str()).collect();
    let violation = |(change, end): (LimitChange, Option<Instant>)| {
        let limit: f64 = change.limit?.parse().ok()?;
        let from = change.at + STABLE_WINDOW;
        let is_counted = |req: &&ExecutedRequest| {
            req.at >= from
                && end.is_none_or(|end| req.at < end)
                && counted.contains(req.id.as_str())
        };
        let requests: Vec<_> = executed[change.upstream].iter().filter(is_counted).collect();
        let most = most_in_window(&requests);
        let allowed = WINDOW.as_secs_f64() * limit * OVERAGE + ALLOWANCE;
        (most as f64 > allowed).then(|| Violation {
            guarantee: "an upstream gets no more than the limit that it names",
            detail: format!("{most} requests in {WINDOW:?}, {allowed} allowed; {change:?}"),
        })
    };
    log.spans().into_iter().filter_map(violation).collect()
}

fn most_in_window(requests: &[&ExecutedRequest]) -> usize {
    let count_from = |start: Instant| {
        requests.iter().filter(|req| req.at >= start && req.at < start + WINDOW).count()
    };
    requests.iter().map(|req| count_from(req.at)).max().unwrap_or(0)
}

/// Returns the number of changes and how requests ended.
pub(crate) fn limit_summary(log: &LimitLog, calls: &[CallRecord]) -> String {
    let served = calls.iter().filter(|call| is_served(call)).count();
    let mut others: BTreeMap<Option<u16>, usize> = BTreeMap::new();
    for call in calls.iter().filter(|call| !is_served(call)) {
        *others.entry(call.response.as_ref().map(|response| response.status)).or_default() += 1;
    }
    let changes = log.changes.borrow().len();
    format!("{changes} limits; served: {served} of {}, others {others:?}", calls.len())
}
