//! Finds parts of requests under which upstreams crash.
//!
//! Each request whose upstream ended before its response was complete is reported with its parts. A
//! part that was in several crashes and in no complete answer since is taken for their cause, and
//! requests that hold it are refused. All nodes derive the same from the same evidence, which they
//! exchange; times are those of the cluster's clock, so that they compare equal everywhere.

mod answers;
mod causes;
mod evidence;
mod process;
mod reports;
mod weight;

use std::{collections::HashMap, sync::Arc, time::Duration};

use lycheelatch_prelude::{ServiceName, UpstreamId};
use xxhash_rust::xxh3::xxh3_64;

use answers::RecentAnswers;
use causes::Cause;
pub use evidence::{AnsweredPart, CrashEvidence, CrashReport, PartId, SuspectPart};
pub use process::{ProcessSigns, ProcessState, ResponseStage};
use weight::arrival_after;

/// Time after which a crash is forgotten.
const RETENTION: Duration = Duration::from_secs(60 * 60);

/// Time for the response to a trial to end.
const TRIAL_TIME: Duration = Duration::from_secs(10);

/// Maximum number of reports that one node tells another.
const MAX_TOLD_REPORTS: usize = 96;

/// Maximum number of parts of one report.
const MAX_PARTS: usize = 32;

/// How far a report's time may be ahead of this node's clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// None of its parts is known to crash upstreams.
    Allowed,
    /// It holds a part that crashed upstreams; it is sent once, to see whether it still does.
    Trial,
    /// It holds a part that crashes upstreams.
    Refused {
        /// Time after which a request with the part is tried again.
        retry_after: Duration,
    },
}

/// A request whose upstream ended, or may have ended, before the response was complete.
#[derive(Debug, Clone)]
pub struct Crash<'a> {
    /// Service of the upstream.
    pub service: &'a ServiceName,
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Identifier of the request.
    pub request: &'a Arc<str>,
    /// Time at which the connection was closed, since the Unix epoch.
    pub at: Duration,
    /// Time since the request was sent to the upstream.
    pub age: Duration,
    /// How far the response was.
    pub stage: ResponseStage,
    /// What is known of the upstream's process.
    pub process: ProcessState,
    /// Parts that other requests may hold too.
    pub parts: &'a [PartId],
}

/// Evidence of crashes and what follows from it.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    /// Sorted by time.
    reports: Vec<CrashReport>,
    /// Latest complete answer to a request with each part of the reports.
    answered: HashMap<(ServiceName, PartId), LatestAnswer>,
    answers: RecentAnswers,
    causes: Vec<Cause>,
    /// Whether evidence has come since the causes were derived.
    is_outdated: bool,
    /// When the causes have to be derived again, since evidence has settled.
    settles_at: Option<Duration>,
}

/// Latest complete answer to a request with a part; times are 0 if there is none.
#[derive(Debug, Clone, Copy, Default)]
struct LatestAnswer {
    at: Duration,
    /// Time of the latest one that all nodes have heard of.
    told_at: Duration,
}

impl CrashSuspects {
    /// Records a crash; returns the report for the other nodes.
    ///
    /// What is recorded again later, with more known of the process, completes the earlier report.
    pub fn record_crash(&mut self, crash: &Crash<'_>, now: Duration) -> CrashReport {
        let counted = crash.parts.iter().map(|part| SuspectPart {
            id: *part,
            answers: self.answers.count(crash.service, *part, now),
        });
        let mut parts: Vec<_> = counted.collect();
        if parts.len() > MAX_PARTS {
            // Parts that are seldom answered are more likely the cause.
            parts.sort_by_key(|part| part.answers);
            parts.truncate(MAX_PARTS);
        }
        let report = CrashReport {
            service: crash.service.clone(),
            upstream: crash.upstream.clone(),
            request: crash.request.clone(),
            at: crash.at,
            age: crash.age,
            stage: crash.stage,
            process: crash.process,
            answers: self.answers.count_all(crash.service, now),
            parts,
        };
        self.insert(report.clone());
        self.update(now);
        self.drop_excess(now);
        report
    }

    /// Records that the response to a request was complete, which its upstream outlived.
    ///
    /// Returns the parts that other nodes may take for the cause of crashes, and have to hear of.
    pub fn record_answer(
        &mut self,
        service: &ServiceName,
        parts: &[PartId],
        now: Duration,
    ) -> Vec<AnsweredPart> {
        self.answers.record(service, parts, now);
        if self.reports.is_empty() {
            return Vec::new();
        }
        let mut told = Vec::new();
        for part in parts {
            let known = self.latest_answer(service, *part);
            if self.crashes_since(service, *part, known.at) == 0 {
                continue;
            }
            // Other nodes may not have answered requests with the part.
            let is_told = self.crashes_since(service, *part, known.told_at) > 1;
            let told_at = if is_told { now } else { known.told_at };
            self.insert_answer(service, *part, LatestAnswer { at: now, told_at });
            if is_told {
                told.push(AnsweredPart { service: service.clone(), part: *part, at: now });
            }
        }
        told
    }

    /// Adds the evidence of another node; returns whether any of it was new.
    pub fn merge(&mut self, evidence: CrashEvidence, now: Duration) -> bool {
        let is_plausible = |at: Duration| at < now + MAX_CLOCK_SKEW && at + RETENTION > now;
        let mut is_new = false;
        for report in evidence.reports {
            if is_plausible(report.at) && report.parts.len() <= MAX_PARTS {
                is_new |= self.insert(report);
            }
        }
        for answered in evidence.answered {
            if is_plausible(answered.at) {
                let AnsweredPart { service, part, at } = answered;
                is_new |= self.insert_answer(&service, part, LatestAnswer { at, told_at: at });
            }
        }
        self.drop_excess(now);
        is_new
    }

    /// Returns the evidence that may matter to other nodes.
    pub fn evidence(&self) -> CrashEvidence {
        let mut reports: Vec<_> = self.recurring().cloned().collect();
        let excess = reports.len().saturating_sub(MAX_TOLD_REPORTS);
        reports.drain(..excess);
        let is_told = |service: &ServiceName, part: PartId| {
            reports.iter().any(|report| report.service == *service && report.holds(part))
        };
        let answered = self.answered.iter().filter(|((service, part), _)| is_told(service, *part));
        let answered = answered.map(|((service, part), answer)| AnsweredPart {
            service: service.clone(),
            part: *part,
            at: answer.at,
        });
        let answered = answered.collect();
        CrashEvidence { reports, answered }
    }

    /// Returns a hash that is equal on nodes with the same evidence that matters; 0 if there is none.
    pub fn fingerprint(&self) -> u64 {
        let hash_of = |report: &CrashReport| {
            let open = report.parts.iter().filter(|part| self.is_open(report, part.id));
            let open = open.fold(0, |sum, part| sum ^ part.id.0.rotate_left(17));
            let process = (report.process as u64).rotate_left(31);
            let upstream = xxh3_64(report.upstream.as_str().as_bytes());
            xxh3_64(report.request.as_bytes()) ^ upstream ^ process ^ open
        };
        self.recurring().map(hash_of).fold(0, |sum, hash| sum ^ hash)
    }

    /// Returns whether a request may be sent.
    ///
    /// A part that crashed upstreams is tried again by the one node of the cluster that has
    /// `may_try` set, with one request at a time.
    pub fn verdict(
        &mut self,
        service: &ServiceName,
        parts: &[PartId],
        may_try: bool,
        now: Duration,
    ) -> CrashVerdict {
        self.update(now);
        let causes = self.causes.iter().filter(|cause| cause.explains(service, parts));
        let Some(due) = causes.map(Cause::next_trial).max() else { return CrashVerdict::Allowed };
        if !may_try || now < due {
            let retry_after = due.saturating_sub(now).max(TRIAL_TIME);
            return CrashVerdict::Refused { retry_after };
        }
        for cause in self.causes.iter_mut().filter(|cause| cause.explains(service, parts)) {
            cause.trial_until = Some(now + TRIAL_TIME);
        }
        CrashVerdict::Trial
    }

    /// Returns the parts that requests are refused for; those of one entry have to come together.
    pub fn refused_parts(
        &mut self,
        now: Duration,
    ) -> impl Iterator<Item = (&ServiceName, &[PartId])> {
        self.update(now);
        self.causes.iter().map(|cause| (&cause.service, &cause.parts[..]))
    }

    /// Derives the causes anew if evidence has come.
    fn update(&mut self, now: Duration) {
        if !self.is_outdated && self.settles_at.is_none_or(|at| now < at) {
            return;
        }
        self.is_outdated = false;
        self.settles_at = arrival_after(&self.reports, now);
        let causes = self.derive_causes(now);
        let before = std::mem::replace(&mut self.causes, causes);
        for cause in &mut self.causes {
            let known = before.iter().find(|known| {
                known.parts == cause.parts
                    && known.service == cause.service
                    && known.last_crash == cause.last_crash
            });
            cause.trial_until = known.and_then(|known| known.trial_until);
        }
        self.drop_repeated();
    }
}
