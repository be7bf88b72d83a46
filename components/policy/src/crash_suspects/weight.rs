//! How much crashes speak for a part being their cause.

use std::time::Duration;

use lycheelatch_prelude::UpstreamId;

use super::{CrashReport, ProcessState, ResponseStage};

/// Weight of crashes from which a part is taken for their cause.
pub(super) const REFUSAL_WEIGHT: u32 = 12;

/// Time after a crash in which what other nodes saw of the same moment is still arriving.
const ARRIVAL_TIME: Duration = Duration::from_millis(600);

/// Returns the weight of one report.
///
/// When a process ends, few responses have just begun, and many wait or stream.
fn weight(report: &CrashReport) -> u32 {
    match (report.process, report.stage) {
        (ProcessState::Running, _) => 0,
        (ProcessState::Unknown, _) => 2,
        (ProcessState::Ended, ResponseStage::Begun) => 4,
        (ProcessState::Ended, ResponseStage::Waiting | ResponseStage::Streaming) => 3,
    }
}

/// Crashes under one part.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct Weighed {
    /// Sum of their weights.
    pub(super) weight: u32,
    /// Number of crashes that count.
    pub(super) crashes: usize,
    /// Whether all of them are sure to be crashes of processes, at responses that had just begun.
    pub(super) is_plain: bool,
}

/// Weighs reports, sorted by time, that hold one part; `doubt` says how much a reason that is common
/// to several upstreams takes from each.
///
/// Several requests may be reported for one crash.
pub(super) fn weigh(reports: &[&CrashReport], doubt: &dyn Fn(&CrashReport) -> Doubt) -> Weighed {
    let mut counted: Vec<(&CrashReport, u32)> = Vec::new();
    for report in reports {
        let weight = match doubt(report) {
            Doubt::None => weight(report),
            Doubt::Some => weight(report) / 2,
            Doubt::Full => continue,
        };
        let repeats =
            |known: &CrashReport| known.is_same_crash(report) || report.is_coincident(known);
        match counted.iter_mut().find(|(known, _)| repeats(known)) {
            Some(known) if weight > known.1 => *known = (report, weight),
            Some(_) => {}
            None => counted.push((report, weight)),
        }
    }
    let is_plain = |(report, _): &(&CrashReport, u32)| {
        report.process == ProcessState::Ended && report.stage == ResponseStage::Begun
    };
    Weighed {
        weight: counted.iter().map(|(_, weight)| weight).sum(),
        crashes: counted.len(),
        is_plain: counted.iter().all(is_plain),
    }
}

/// Returns when evidence of the crashes of `reports` has arrived, if that is later than `now`.
pub(super) fn arrival_after(reports: &[CrashReport], now: Duration) -> Option<Duration> {
    reports.iter().map(|report| report.at + ARRIVAL_TIME).filter(|at| *at > now).min()
}

/// Whether a crash may have a reason that is common to several upstreams, and is no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Doubt {
    None,
    Some,
    Full,
}

/// Returns the doubt about a report from the other upstreams that ended at its moment under requests
/// without its part, which the requests of `holding` hold; `all` has the reports of all requests.
pub(super) fn doubt(
    report: &CrashReport,
    holding: &[&CrashReport],
    all: &[&CrashReport],
    now: Duration,
) -> Doubt {
    let mut others: Vec<&UpstreamId> = Vec::new();
    for other in all.iter().filter(|other| other.is_beside(report)) {
        let is_new = !others.contains(&&other.upstream);
        if is_new && !holding.iter().any(|known| known.is_same_crash(other)) {
            others.push(&other.upstream);
        }
        if others.len() > 1 {
            break;
        }
    }
    match others.len() {
        0 => Doubt::None,
        1 if now >= report.at + ARRIVAL_TIME => Doubt::Some,
        _ => Doubt::Full,
    }
}

/// Counts the crashes; several requests may be reported for one crash of an upstream.
pub(super) fn count_crashes<'a>(reports: impl Iterator<Item = &'a CrashReport>) -> usize {
    let mut counted: Vec<&CrashReport> = Vec::new();
    for report in reports {
        if !counted.iter().any(|known| known.is_same_crash(report)) {
            counted.push(report);
        }
    }
    counted.len()
}
