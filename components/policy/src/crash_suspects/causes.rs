//! What follows from reports of crashes: the parts that caused them.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use lycheelatch_prelude::ServiceName;

use super::{
    CrashReport, CrashSuspects, PartId,
    weight::{Doubt, REFUSAL_WEIGHT, Weighed, doubt, weigh},
};

/// Time that the crashes have to span, unless few requests with the part were answered lately and
/// all responses had just begun. Upstreams that end together for another reason do so in less.
const MIN_SPAN: Duration = Duration::from_secs(1);

/// Share of a service's requests up to which a part counts as rare.
const RARE_SHARE: f64 = 0.25;

/// Minimum time without a crash after which one request with the part is tried again. It grows with
/// the time over which the part has crashed upstreams.
const MIN_HOLD: Duration = Duration::from_secs(60);

/// Maximum of that time.
const MAX_HOLD: Duration = Duration::from_secs(15 * 60);

/// The parts that all the requests of several crashes held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Cause {
    pub(super) service: ServiceName,
    /// More than one if no crash tells them apart; only requests with all of them are refused.
    pub(super) parts: Vec<PartId>,
    first_crash: Duration,
    pub(super) last_crash: Duration,
    /// Until when a trial is awaited.
    pub(super) trial_until: Option<Duration>,
}

impl Cause {
    /// Returns whether a request holds all of the parts.
    pub(super) fn explains(&self, service: &ServiceName, parts: &[PartId]) -> bool {
        self.service == *service && self.parts.iter().all(|part| parts.contains(part))
    }

    /// Returns when a request with the parts may be tried again.
    pub(super) fn next_trial(&self) -> Duration {
        let hold = (self.last_crash - self.first_crash).clamp(MIN_HOLD, MAX_HOLD);
        let due = self.last_crash + hold;
        self.trial_until.map_or(due, |until| until.max(due))
    }
}

/// A part that may be the cause of crashes, with the reports that hold it, sorted by time.
struct Suspect<'a> {
    part: PartId,
    reports: Vec<&'a CrashReport>,
    weighed: Weighed,
}

impl<'a> Suspect<'a> {
    fn new(part: PartId, reports: Vec<&'a CrashReport>) -> Option<Suspect<'a>> {
        let weighed = weigh(&reports, &|_| Doubt::None);
        (weighed.crashes > 1).then_some(Suspect { part, reports, weighed })
    }

    /// Returns the suspect with less weight for crashes at moments when other upstreams ended too,
    /// under requests without the part.
    fn with_doubts(&self, open: &[&CrashReport], now: Duration) -> Suspect<'a> {
        let doubt = |report: &CrashReport| doubt(report, &self.reports, open, now);
        let weighed = weigh(&self.reports, &doubt);
        Suspect { part: self.part, reports: self.reports.clone(), weighed }
    }

    /// Returns whether `other` was in all the same crashes and in fewer requests, so that this part
    /// is rather one that the requests beside the cause held.
    fn is_beside(&self, other: &Suspect<'_>) -> bool {
        let is_shared =
            |report: &&CrashReport| other.reports.iter().any(|known| known.is_same_crash(report));
        other.reports.len() < self.reports.len() && self.reports.iter().all(is_shared)
    }
}

/// Returns whether few requests held a part before its crashes. Of one that many hold, nothing tells
/// crashes from an outage of the service, until a request without it is answered.
fn is_rare(part: PartId, reports: &[&CrashReport]) -> bool {
    let shares = reports.iter().filter_map(|report| report.share_of(part));
    shares.max_by(f64::total_cmp).is_some_and(|share| share < RARE_SHARE)
}

impl CrashSuspects {
    /// Returns the causes, starting with the part that is in most crashes; a crash that it explains
    /// is no evidence against other parts.
    pub(super) fn derive_causes(&self, now: Duration) -> Vec<Cause> {
        let mut open: Vec<&CrashReport> = self.reports.iter().collect();
        let mut causes = Vec::new();
        while let Some(cause) = self.main_cause(&open, now) {
            let is_explained =
                |report: &&&CrashReport| cause.explains(&report.service, &report.part_ids());
            let explained: Vec<_> = open.iter().filter(is_explained).copied().collect();
            open.retain(|report| !explained.iter().any(|known| known.is_same_crash(report)));
            causes.push(cause);
        }
        causes
    }

    fn main_cause(&self, open: &[&CrashReport], now: Duration) -> Option<Cause> {
        let suspects = self.suspects(open);
        let enough: Vec<_> = suspects
            .iter()
            .filter(|suspect| self.is_enough(suspect, now))
            .map(|suspect| suspect.with_doubts(open, now))
            .filter(|suspect| self.is_enough(suspect, now))
            .collect();
        let is_cause =
            |suspect: &&Suspect<'_>| !suspects.iter().any(|other| suspect.is_beside(other));
        let by_crashes = |suspect: &&Suspect<'_>| {
            (suspect.weighed.crashes, Reverse(suspect.reports.len()), Reverse(suspect.part))
        };
        let main = enough.iter().filter(is_cause).max_by_key(by_crashes)?;
        let (first, last) = (main.reports.first()?, main.reports.last()?);
        let is_in_all = |id: &PartId| {
            let since = self.answered_at(&first.service, *id);
            main.reports.iter().all(|report| report.at > since && report.holds(*id))
        };
        Some(Cause {
            service: first.service.clone(),
            parts: first.part_ids().into_iter().filter(is_in_all).collect(),
            first_crash: first.at,
            last_crash: last.at,
            trial_until: None,
        })
    }

    /// Returns the parts of reports that were in no complete answer since.
    fn suspects<'a>(&self, open: &[&'a CrashReport]) -> Vec<Suspect<'a>> {
        let mut by_part: BTreeMap<(&ServiceName, PartId), Vec<&'a CrashReport>> = BTreeMap::new();
        for report in open {
            for part in &report.parts {
                by_part.entry((&report.service, part.id)).or_default().push(report);
            }
        }
        let suspects = by_part.into_iter().filter_map(|((service, part), mut reports)| {
            let since = self.answered_at(service, part);
            reports.retain(|report| report.at > since);
            Suspect::new(part, reports)
        });
        suspects.collect()
    }

    /// Returns whether crashes are enough to take the part for their cause.
    fn is_enough(&self, suspect: &Suspect<'_>, now: Duration) -> bool {
        let Suspect { part, reports, weighed } = suspect;
        let (Some(first), Some(last)) = (reports.first(), reports.last()) else { return false };
        if weighed.weight < REFUSAL_WEIGHT {
            return false;
        }
        let told = reports.iter().map(|report| report.answers_to(*part)).max().unwrap_or(0);
        let answers = told.max(self.answers.count(&first.service, *part, now));
        let is_quick = weighed.is_plain && answers as usize <= weighed.crashes;
        if !is_quick && last.at - first.at < MIN_SPAN {
            return false;
        }
        weighed.is_plain
            || is_rare(*part, reports)
            || self.answers.has_other(&first.service, *part, first.at)
    }
}
