//! Reports of crashes and answers, in bounded memory.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use lycheelatch_prelude::ServiceName;

use super::{CrashReport, CrashSuspects, LatestAnswer, PartId, RETENTION, weight::count_crashes};

/// Maximum number of reports that are kept; one crash may take many requests along.
const MAX_REPORTS: usize = 256;

/// Maximum number of reports of one cause that are kept.
const MAX_REPORTS_OF_CAUSE: usize = 8;

impl CrashSuspects {
    /// Inserts a report, or completes a known one; returns whether that changes anything.
    pub(super) fn insert(&mut self, report: CrashReport) -> bool {
        let known = self.reports.iter_mut().find(|known| known.is_same(&report));
        if let Some(known) = known {
            let is_completed = report.process > known.process;
            known.process = known.process.max(report.process);
            self.is_outdated |= is_completed;
            return is_completed;
        }
        let at = self.reports.partition_point(|known| known.sort_key() <= report.sort_key());
        self.reports.insert(at, report);
        self.is_outdated = true;
        true
    }

    /// Inserts an answer; returns whether that changes anything.
    pub(super) fn insert_answer(
        &mut self,
        service: &ServiceName,
        part: PartId,
        answer: LatestAnswer,
    ) -> bool {
        let known = self.answered.entry((service.clone(), part)).or_default();
        let is_newer = answer.at > known.at;
        known.at = known.at.max(answer.at);
        known.told_at = known.told_at.max(answer.told_at);
        self.is_outdated |= is_newer;
        is_newer
    }

    /// Returns the latest known answer to a request with a part.
    pub(super) fn latest_answer(&self, service: &ServiceName, part: PartId) -> LatestAnswer {
        self.answered.get(&(service.clone(), part)).copied().unwrap_or_default()
    }

    /// Returns the time of the latest known answer to a request with a part; 0 if there is none.
    pub(super) fn answered_at(&self, service: &ServiceName, part: PartId) -> Duration {
        self.latest_answer(service, part).at
    }

    /// Returns whether no request with the part was answered after the crash.
    pub(super) fn is_open(&self, report: &CrashReport, part: PartId) -> bool {
        report.at > self.answered_at(&report.service, part)
    }

    /// Returns the number of crashes under a part after a time.
    pub(super) fn crashes_since(
        &self,
        service: &ServiceName,
        part: PartId,
        since: Duration,
    ) -> usize {
        let is_open = |report: &&CrashReport| {
            report.service == *service && report.at > since && report.holds(part)
        };
        count_crashes(self.reports.iter().filter(is_open))
    }

    /// Returns the reports with a part that was in several crashes and in no answer since.
    pub(super) fn recurring(&self) -> impl Iterator<Item = &CrashReport> {
        let mut first: HashMap<(&ServiceName, PartId), &CrashReport> = HashMap::new();
        let mut recurring: HashSet<(&ServiceName, PartId)> = HashSet::new();
        for report in &self.reports {
            for part in report.parts.iter().filter(|part| self.is_open(report, part.id)) {
                let key = (&report.service, part.id);
                let known = first.entry(key).or_insert(report);
                if !known.is_same_crash(report) {
                    recurring.insert(key);
                }
            }
        }
        self.reports.iter().filter(move |report| {
            let mut open = report.parts.iter().filter(|part| self.is_open(report, part.id));
            open.any(|part| recurring.contains(&(&report.service, part.id)))
        })
    }

    /// Drops what is too old or too much.
    pub(super) fn drop_excess(&mut self, now: Duration) {
        let before = self.reports.len();
        self.reports.retain(|report| report.at + RETENTION > now);
        if self.reports.len() > MAX_REPORTS {
            self.update(now);
        }
        while self.reports.len() > MAX_REPORTS {
            let least = self.least_suspect();
            self.reports.remove(least);
        }
        self.is_outdated |= self.reports.len() < before;
        let held: HashSet<_> = self.reports.iter().flat_map(CrashReport::keys).collect();
        self.answered.retain(|key, _| held.contains(key));
    }

    /// Returns the position of the report that matters least: the oldest one whose parts were in one
    /// crash only, or that no cause explains.
    fn least_suspect(&self) -> usize {
        let recurring: HashSet<_> = self.recurring().map(CrashReport::sort_key).collect();
        let is_single = |report: &CrashReport| !recurring.contains(&report.sort_key());
        let single = self.reports.iter().position(is_single);
        let unexplained = || self.reports.iter().position(|report| !self.is_explained(report));
        single.or_else(unexplained).unwrap_or(0)
    }

    /// Keeps the first and the last report of each cause, and of the others those furthest apart.
    pub(super) fn drop_repeated(&mut self) {
        for cause in &self.causes {
            loop {
                let of_cause =
                    |report: &CrashReport| cause.explains(&report.service, &report.part_ids());
                let positions = (0..self.reports.len()).filter(|at| of_cause(&self.reports[*at]));
                let positions: Vec<_> = positions.collect();
                if positions.len() <= MAX_REPORTS_OF_CAUSE {
                    break;
                }
                let gap = |pair: &&[usize]| self.reports[pair[1]].at - self.reports[pair[0]].at;
                let inner = &positions[..positions.len() - 1];
                let Some(closest) = inner.windows(2).min_by_key(gap) else { break };
                let dropped = self.reports.remove(closest[1]);
                // The requests beside it have no other explanation.
                let is_beside = |report: &CrashReport| {
                    report.is_same_crash(&dropped)
                        && !cause.explains(&report.service, &report.part_ids())
                };
                self.reports.retain(|report| !is_beside(report));
            }
        }
    }

    fn is_explained(&self, report: &CrashReport) -> bool {
        let parts = report.part_ids();
        self.causes.iter().any(|cause| cause.explains(&report.service, &parts))
    }
}
