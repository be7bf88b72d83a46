//! This node's state of one service's roll-out.

use std::{sync::Arc, time::Duration};

use lycheelatch_policy::{
    CanaryOutcome, ExposureGate, LATENCY_CLASSES, LatencyClass, RollbackReason, RolloutCounts,
    RolloutEvidence, RolloutPhase, Track, find_fault_alone,
};
use lycheelatch_prelude::ServiceName;
use tokio::time::Instant;

use crate::{
    RolloutOrder, RolloutState, RolloutStatus, StoreRevision,
    directory::Upstream,
    event_log::millis,
    rollout_report::{RolloutNotice, RolloutReport},
    rollouts::state_of,
};

/// Upper bound of the lowest latency class of an engine, relative to its estimate.
const LOWEST_RATIO: f64 = 0.25;

/// Upper bound of the lowest latency class of any other upstream, in milliseconds.
const LOWEST_MS: f64 = 4.0;

/// Shortest estimate that latencies are compared with.
const MIN_ESTIMATE: Duration = Duration::from_millis(10);

/// Latency classes per doubling.
const CLASSES_PER_DOUBLING: f64 = 2.0;

/// Time that a decision needs until the store holds it.
const REPORT_TIME: Duration = Duration::from_millis(300);

/// One service's roll-out, as this node knows it.
pub(crate) struct Rollout {
    /// Version that the service moves to.
    pub(crate) to: Arc<str>,
    /// Revision of the order in the store.
    pub(crate) order: StoreRevision,
    /// Whether the order is no longer in the store.
    pub(crate) is_withdrawn: bool,
    /// Time from the order until its deadline.
    pub(crate) duration: Duration,
    ordered_at: Instant,
    phase: RolloutPhase,
    /// Revision at which the store said first that the phase is the last one.
    ended_at: Option<StoreRevision>,
    canary_share: f64,
    /// Whether this node sends nothing to the canary because of what it counted itself.
    is_stopped_here: bool,
    /// Whether the leader decided to report the roll-out as completed.
    is_completion_due: bool,
    counts: RolloutCounts,
    gate: ExposureGate,
}

impl Rollout {
    /// Creates the state of a roll-out that was just ordered; the canary gets nothing yet.
    pub(crate) fn new(
        order: RolloutOrder,
        revision: StoreRevision,
        ordered_at: Instant,
    ) -> Rollout {
        Rollout {
            to: order.to,
            order: revision,
            is_withdrawn: false,
            duration: order.duration,
            ordered_at,
            phase: RolloutPhase::Canary,
            ended_at: None,
            canary_share: 0.0,
            is_stopped_here: false,
            is_completion_due: false,
            counts: RolloutCounts::default(),
            gate: ExposureGate::new(rand::random()),
        }
    }

    /// Creates the state of a roll-out of which only the status is in the store.
    pub(crate) fn from_status(
        service: ServiceName,
        status: &RolloutStatus,
        revision: StoreRevision,
    ) -> Rollout {
        let order = RolloutOrder { service, to: status.to.clone(), duration: Duration::ZERO };
        let order_revision = status.order.unwrap_or(revision);
        let mut rollout = Rollout::new(order, order_revision, Instant::now());
        rollout.apply_status(status, revision);
        rollout.withdraw();
        rollout
    }

    /// Takes note that the order is in the store, after its status was read.
    pub(crate) fn restore(&mut self, order: &RolloutOrder) {
        if !self.is_withdrawn {
            return;
        }
        self.is_withdrawn = false;
        self.duration = order.duration;
        if self.ended_at.is_none() {
            self.phase = RolloutPhase::Canary;
        }
    }

    /// Returns whether an order of a later era is this one, written again or kept in a copy of the
    /// store.
    pub(crate) fn is_repeated_by(&self, order: &RolloutOrder, revision: StoreRevision) -> bool {
        let is_same = self.to == order.to && self.duration == order.duration;
        is_same && !self.is_withdrawn && revision.era > self.order.era
    }

    /// Goes on under the revision of the order in a later era, whose status is written again.
    pub(crate) fn continue_at(&mut self, revision: StoreRevision) {
        self.order = revision;
    }

    /// Ends the roll-out, as its order was withdrawn.
    pub(crate) fn withdraw(&mut self) {
        self.is_withdrawn = true;
        self.advance(RolloutPhase::RolledBack);
    }

    /// Returns whether a status in the store is that of this roll-out.
    pub(crate) fn owns(&self, status: &RolloutStatus, written: StoreRevision) -> bool {
        match status.order {
            // A copy of the store may hold the order, which then is read in a later era.
            Some(order) => order.number == self.order.number && status.to == self.to,
            None => status.to == self.to && written >= self.order,
        }
    }

    /// Applies the status that the store holds.
    pub(crate) fn apply_status(&mut self, status: &RolloutStatus, written: StoreRevision) {
        if !self.owns(status, written) || self.ended_at.is_some() {
            return;
        }
        let phase = match status.state {
            RolloutState::Running => return,
            RolloutState::Completed => RolloutPhase::Completed,
            RolloutState::RolledBack => RolloutPhase::RolledBack,
        };
        self.ended_at = Some(written);
        self.phase = phase;
    }

    /// Moves to a later phase; the last ones are kept.
    fn advance(&mut self, phase: RolloutPhase) {
        if !self.is_final() && phase > self.phase {
            self.phase = phase;
        }
    }

    /// Moves all new requests to the canary.
    pub(crate) fn promote(&mut self) {
        self.advance(RolloutPhase::Promoting);
    }

    /// Stops sending to the canary.
    pub(crate) fn roll_back(&mut self) {
        self.advance(RolloutPhase::RolledBack);
    }

    /// Lets the roll-out be reported as completed.
    ///
    /// Returns whether it could not be until now.
    pub(crate) fn set_completion_due(&mut self) -> bool {
        !std::mem::replace(&mut self.is_completion_due, true)
    }

    /// Sets the canary's share of the requests.
    pub(crate) fn set_share(&mut self, canary_share: f64) {
        self.canary_share = canary_share;
    }

    /// Follows a step of the leader. The end of a promoted roll-out is read from the store.
    pub(crate) fn follow(&mut self, phase: RolloutPhase, canary_share: f64) {
        match phase {
            RolloutPhase::Canary => self.set_share(canary_share),
            RolloutPhase::Promoting | RolloutPhase::Completed => self.promote(),
            RolloutPhase::RolledBack => self.roll_back(),
        }
    }

    /// Takes note that the order is at least as old as another node says.
    pub(crate) fn hear_age(&mut self, age: Duration, now: Instant) {
        if let Some(at) = now.checked_sub(age) {
            self.ordered_at = self.ordered_at.min(at);
        }
    }

    /// Returns the time since the order.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.ordered_at)
    }

    pub(crate) fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Returns whether the roll-out has ended.
    pub(crate) fn is_final(&self) -> bool {
        matches!(self.phase, RolloutPhase::Completed | RolloutPhase::RolledBack)
    }

    /// Returns the canary's share of this node's requests.
    pub(crate) fn canary_share(&self) -> f64 {
        match self.phase {
            RolloutPhase::Completed => 1.0,
            RolloutPhase::RolledBack => 0.0,
            _ if self.is_stopped_here => 0.0,
            RolloutPhase::Promoting => 1.0,
            RolloutPhase::Canary => self.canary_share,
        }
    }

    /// Returns the canary's share that the leader named last.
    pub(crate) fn followed_share(&self) -> f64 {
        self.canary_share
    }

    /// Counts an attempt and returns whether it may go to the canary.
    pub(crate) fn admit_to_canary(&mut self) -> bool {
        let share = self.canary_share();
        self.gate.admit(share)
    }

    /// Notes that an admitted attempt did not go to the canary.
    pub(crate) fn refund(&mut self) {
        self.gate.refund();
    }

    /// Returns the track of a version.
    pub(crate) fn track(&self, version: Option<&Arc<str>>) -> Track {
        if version == Some(&self.to) { Track::Canary } else { Track::Stable }
    }

    /// Returns whether the end of the roll-out takes a version out of use: one that was rolled back.
    ///
    /// A completed roll-out says nothing of other versions, which may come later without an order.
    pub(crate) fn bars(&self, version: Option<&Arc<str>>) -> bool {
        self.phase == RolloutPhase::RolledBack && self.track(version) == Track::Canary
    }

    /// Returns whether an upstream was replaced when the roll-out was completed: one of another
    /// version that had registered by then, which stops soon.
    pub(crate) fn replaced(&self, upstream: &Upstream) -> bool {
        let had_registered = self.ended_at.is_some_and(|end| upstream.is_registered_by(end));
        let is_completed = self.phase == RolloutPhase::Completed;
        is_completed && had_registered && self.track_of(upstream) == Track::Stable
    }

    /// Returns the track of an upstream.
    pub(crate) fn track_of(&self, upstream: &Upstream) -> Track {
        self.track(upstream.entry.borrow().version.as_ref())
    }

    pub(crate) fn record_sent(&mut self, version: Option<&Arc<str>>, is_first: bool) {
        if self.is_final() {
            return;
        }
        self.counts.sent += u64::from(is_first);
        self.counts.sent_to_canary += u64::from(self.track(version) == Track::Canary);
    }

    pub(crate) fn record_outcome(
        &mut self,
        version: Option<&Arc<str>>,
        route: &Arc<str>,
        outcome: CanaryOutcome,
    ) {
        if self.is_final() {
            return;
        }
        let track = self.track(version);
        let of_route = self.counts.routes.entry(route.clone()).or_default();
        let counts = match track {
            Track::Stable => &mut of_route.stable,
            Track::Canary => &mut of_route.canary,
        };
        match outcome {
            CanaryOutcome::Failed => counts.failed += 1,
            CanaryOutcome::Answered(class) => {
                counts.answered[usize::from(class.0).min(LATENCY_CLASSES - 1)] += 1;
            }
        }
    }

    /// Returns what this node counted.
    pub(crate) fn counts(&self) -> &RolloutCounts {
        &self.counts
    }

    /// Returns what is known of the roll-out, with the counts of some nodes.
    pub(crate) fn evidence(
        &self,
        counts: RolloutCounts,
        in_flight_at_stable: u32,
        now: Instant,
    ) -> RolloutEvidence {
        RolloutEvidence {
            counts,
            since_order: self.age(now) + REPORT_TIME,
            duration: self.duration,
            phase: self.phase,
            in_flight_at_stable,
        }
    }

    /// Stops sending to the canary if what this node counted itself shows that it is bad; returns
    /// why, when it does.
    pub(crate) fn check_alone(&mut self) -> Option<RollbackReason> {
        if self.is_stopped_here {
            return None;
        }
        let reason = find_fault_alone(&self.counts, self.phase)?;
        self.is_stopped_here = true;
        Some(reason)
    }

    /// Returns the status that the store should hold.
    pub(crate) fn wanted_status(&self) -> RolloutStatus {
        let state = match state_of(self.phase) {
            RolloutState::Running if self.is_completion_due => RolloutState::Completed,
            state => state,
        };
        RolloutStatus { state, to: self.to.clone(), order: Some(self.order), ordered_at_ms: None }
    }

    pub(crate) fn report(&self, service: &ServiceName, now: Instant) -> RolloutReport {
        let age_ms = millis(self.age(now));
        RolloutReport::new(service.clone(), self.order, age_ms, self.phase, &self.counts)
    }

    pub(crate) fn notice(&self, service: &ServiceName, now: Instant) -> RolloutNotice {
        RolloutNotice {
            service: service.clone(),
            order: self.order.into(),
            age_ms: millis(self.age(now)),
            phase: self.phase,
            canary_share: self.canary_share,
        }
    }
}

/// Returns the class of a latency: relative to the estimate of an engine, in milliseconds for any
/// other upstream.
pub(crate) fn latency_class(latency: Duration, estimate: Option<Duration>) -> LatencyClass {
    let in_units = match estimate {
        Some(estimate) => latency.as_secs_f64() / estimate.max(MIN_ESTIMATE).as_secs_f64(),
        None => latency.as_secs_f64() * 1000.0,
    };
    let lowest = if estimate.is_some() { LOWEST_RATIO } else { LOWEST_MS };
    let class = (in_units / lowest).log2() * CLASSES_PER_DOUBLING;
    // Below the lowest class the logarithm is negative, or infinite for 0.
    LatencyClass(class.ceil().clamp(0.0, (LATENCY_CLASSES - 1) as f64) as u8)
}
