//! Upstreams that crash on requests whose prompt holds one part.

use std::{
    cell::{Ref, RefCell},
    collections::BTreeMap,
    time::Duration,
};

use lycheelatch_fakes::entry::{Crash, CrashEnd, CrashPoint, CrashRule, prompt_headers};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};

use crate::{
    check::{Violation, is_served},
    load::{CallRecord, RequestKind, send_request, shared_parts},
    nodes::Node,
};

/// Part on which every upstream crashes.
pub(crate) const HARMFUL_PART: u64 = 0xbad;

/// Requests on which upstreams crash.
pub(crate) const CRASH_RULE: CrashRule = CrashRule {
    part: HARMFUL_PART,
    point: CrashPoint::Head,
    end: CrashEnd::Close,
    down: Duration::from_millis(1500),
};

/// Pause between two requests with the part.
const HARMFUL_INTERVAL: Duration = Duration::from_millis(120);

/// Time after the fifth crash from which nodes have to refuse the part.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

/// Maximum number of later requests with the part that may reach upstreams.
const MAX_LATE: usize = 3;

/// Crashes that the nodes are allowed before they have to know the part.
const ALLOWED_CRASHES: usize = 5;

/// A request with the part.
struct HarmfulCall {
    id: String,
    /// Whether neither the store nor its node had been disturbed lately.
    is_quiet: bool,
}

/// Requests with the part.
#[derive(Default)]
pub(crate) struct HarmfulCalls(RefCell<Vec<HarmfulCall>>);

impl HarmfulCalls {
    /// Sends the next request and waits a little.
    pub(crate) async fn send(&self, number: usize, node: &Node, is_quiet: bool) {
        let id = format!("h-{number}");
        self.0.borrow_mut().push(HarmfulCall { id: id.clone(), is_quiet });
        let [first, second] = shared_parts(number);
        let headers = prompt_headers(&[first, second, HARMFUL_PART], number as u64);
        let kind = [RequestKind::Stream, RequestKind::Resume][number % 2];
        if let Ok(mut io) = TcpStream::connect(node.callers).await {
            send_request(&mut io, kind, &id, &headers).await;
        }
        sleep(HARMFUL_INTERVAL).await;
    }

    fn borrow(&self) -> Ref<'_, Vec<HarmfulCall>> {
        self.0.borrow()
    }
}

/// Returns the time from which nodes have to refuse the part, if any upstream crashed.
fn refused_from(crashes: &[Crash]) -> Option<Instant> {
    let last_allowed = crashes.get(ALLOWED_CRASHES - 1).or(crashes.last())?;
    Some(last_allowed.at + STABLE_WINDOW)
}

/// Checks that requests with the part reach upstreams no more than a few times once the nodes have
/// to know it; `crashes` are sorted by time.
pub(crate) fn check_crashes(crashes: &[Crash], calls: &HarmfulCalls) -> Option<Violation> {
    let from = refused_from(crashes)?;
    let calls = calls.borrow();
    let is_quiet = |id: &str| calls.iter().any(|call| call.id == id && call.is_quiet);
    let late = crashes.iter().filter(|crash| crash.at > from && is_quiet(&crash.request)).count();
    (late > MAX_LATE).then(|| Violation {
        guarantee: "a part that crashes upstreams is sent no more",
        detail: format!("{late} late requests of {} crashes", crashes.len()),
    })
}

/// Checks that sound requests that share other parts are served again.
pub(crate) fn check_sound_requests(calls: &[CallRecord], crashes: &[Crash]) -> Option<Violation> {
    let from = refused_from(crashes)? + STABLE_WINDOW;
    let sound: Vec<_> =
        calls.iter().filter(|call| call.kind.is_stream() && call.sent > from).collect();
    let served = sound.iter().filter(|call| is_served(call)).count();
    (served * 2 < sound.len()).then(|| Violation {
        guarantee: "sound requests with the same other parts are served",
        detail: format!("{served} of {} served", sound.len()),
    })
}

/// Returns the number of crashes and how the sound requests for streams ended.
pub(crate) fn summary(calls: &[CallRecord], crashes: &[Crash]) -> String {
    let sound: Vec<_> = calls.iter().filter(|call| call.kind.is_stream()).collect();
    let served = sound.iter().filter(|call| is_served(call)).count();
    let mut others: BTreeMap<Option<u16>, usize> = BTreeMap::new();
    for call in sound.iter().filter(|call| !is_served(call)) {
        *others.entry(call.response.as_ref().map(|response| response.status)).or_default() += 1;
    }
    let crashes = crashes.len();
    format!(
        "{crashes} crashes; sound streams served: {served} of {}, others {others:?}",
        sound.len()
    )
}
