//! This node's state of the roll-outs of all services.
//!
//! A service without an order is not held here. The phase of a roll-out moves only forward; what
//! the store says of its end is final.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lycheelatch_policy::{CanaryOutcome, RolloutLimits, RolloutPhase};
use lycheelatch_prelude::ServiceName;
use lycheelatch_settings::RolloutBounds;
use tokio::time::Instant;

use crate::{
    RolloutOrder, RolloutState, RolloutStatus, StoreRevision,
    directory::Upstream,
    event_log::{log_event, millis},
    node_event::NodeEvent,
    rollout::Rollout,
    rollout_report::{MAX_REPORTS, RolloutNotice, RolloutReport},
};

#[cfg(test)]
mod tests;

/// Roll-outs of all services that were ordered.
pub(crate) struct Rollouts {
    limits: Option<RolloutLimits>,
    services: BTreeMap<ServiceName, Rollout>,
    /// Latest status in the store, by service.
    statuses: BTreeMap<ServiceName, (RolloutStatus, StoreRevision)>,
}

impl Rollouts {
    /// Creates the state without orders; without bounds no order is acted upon.
    pub(crate) fn new(bounds: Option<RolloutBounds>) -> Rollouts {
        let limits = bounds.map(|bounds| RolloutLimits {
            max_exposure: bounds.exposure,
            extra_requests: bounds.extra,
            rollback_time: bounds.rollback,
        });
        Rollouts { limits, services: BTreeMap::new(), statuses: BTreeMap::new() }
    }

    /// Returns the limits of roll-outs, if orders are acted upon.
    pub(crate) fn limits(&self) -> Option<RolloutLimits> {
        self.limits
    }

    /// Returns whether no service has a roll-out.
    pub(crate) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the roll-out of a service.
    pub(crate) fn get(&self, service: &ServiceName) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// Returns the roll-out of a service.
    pub(crate) fn get_mut(&mut self, service: &ServiceName) -> Option<&mut Rollout> {
        self.services.get_mut(service)
    }

    /// Returns all roll-outs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &Rollout)> {
        self.services.iter()
    }

    /// Returns all roll-outs.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&ServiceName, &mut Rollout)> {
        self.services.iter_mut()
    }

    /// Applies an order that was written at `ordered_at` or later, unless a later one is known.
    pub(crate) fn apply_order(
        &mut self,
        order: RolloutOrder,
        revision: StoreRevision,
        ordered_at: Instant,
    ) {
        if self.limits.is_none() {
            return;
        }
        if let Some(known) = self.services.get_mut(&order.service) {
            if known.order == revision {
                known.restore(&order);
            }
            if known.order >= revision {
                return;
            }
            if known.is_repeated_by(&order, revision) {
                known.continue_at(revision);
                return;
            }
        }
        log_event(&NodeEvent::RolloutOrdered {
            service: &order.service,
            to: &order.to,
            duration_ms: millis(order.duration),
            at: revision.into(),
        });
        let service = order.service.clone();
        let mut rollout = Rollout::new(order, revision, ordered_at);
        if let Some((status, written)) = self.statuses.get(&service) {
            rollout.apply_status(status, *written);
        }
        self.services.insert(service, rollout);
    }

    /// Takes note that an order was withdrawn by `revision`.
    pub(crate) fn withdraw_order(&mut self, service: &ServiceName, revision: StoreRevision) {
        if let Some(rollout) = self.services.get_mut(service)
            && rollout.order < revision
        {
            rollout.withdraw();
        }
    }

    /// Applies the status that the store holds, unless a later one is known.
    pub(crate) fn apply_status(
        &mut self,
        service: &ServiceName,
        status: RolloutStatus,
        revision: StoreRevision,
    ) {
        let is_known = self.statuses.get(service).is_some_and(|(_, known)| *known >= revision);
        if is_known || self.limits.is_none() {
            return;
        }
        match self.services.get_mut(service) {
            Some(rollout) => rollout.apply_status(&status, revision),
            None => {
                let rollout = Rollout::from_status(service.clone(), &status, revision);
                self.services.insert(service.clone(), rollout);
            }
        }
        self.statuses.insert(service.clone(), (status, revision));
    }

    /// Forgets a status that was deleted by `revision`.
    pub(crate) fn remove_status(&mut self, service: &ServiceName, revision: StoreRevision) {
        if self.statuses.get(service).is_some_and(|(_, known)| *known < revision) {
            self.statuses.remove(service);
        }
    }

    /// Returns the status to be written for a service, if the store does not hold it.
    pub(crate) fn status_to_write(&self, service: &ServiceName) -> Option<RolloutStatus> {
        let rollout = self.services.get(service)?;
        let wanted = rollout.wanted_status();
        let written = self.statuses.get(service).filter(|(status, at)| rollout.owns(status, *at));
        let is_written = written
            .is_some_and(|(status, _)| status.state == wanted.state || status.state.is_final());
        // A roll-out that is known by its status only has nothing to report but its withdrawal.
        let is_old = rollout.is_withdrawn && written.is_none();
        (!is_written && !is_old).then_some(wanted)
    }

    /// Counts a request that is sent to an upstream of a version.
    pub(crate) fn record_sent(
        &mut self,
        service: &ServiceName,
        version: Option<&Arc<str>>,
        is_first: bool,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.record_sent(version, is_first);
        }
    }

    /// Counts the end of an attempt at an upstream of a version.
    pub(crate) fn record_outcome(
        &mut self,
        service: &ServiceName,
        version: Option<&Arc<str>>,
        route: &Arc<str>,
        outcome: CanaryOutcome,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.record_outcome(version, route, outcome);
        }
    }

    /// Returns whether the roll-out of a service is under way.
    pub(crate) fn is_running(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|rollout| !rollout.is_final())
    }

    /// Returns whether the end of a roll-out bars a version of a service from all requests.
    pub(crate) fn bars(&self, service: &ServiceName, version: Option<&Arc<str>>) -> bool {
        self.services.get(service).is_some_and(|rollout| rollout.bars(version))
    }

    /// Returns whether the end of a roll-out leaves an upstream of a service in use.
    pub(crate) fn leaves_in_use(&self, service: &ServiceName, upstream: &Upstream) -> bool {
        let Some(rollout) = self.services.get(service) else { return true };
        let is_barred = rollout.bars(upstream.entry.borrow().version.as_ref());
        !is_barred && !rollout.replaced(upstream)
    }

    /// Returns what this node counted, for the other nodes.
    pub(crate) fn reports(&self, now: Instant) -> Vec<RolloutReport> {
        let running = self.services.iter().filter(|(_, rollout)| !rollout.is_final());
        running.take(MAX_REPORTS).map(|(service, rollout)| rollout.report(service, now)).collect()
    }

    /// Returns the steps of this node, for the other nodes while it is the leader.
    pub(crate) fn notices(&self, now: Instant) -> Vec<RolloutNotice> {
        let known = self.services.iter().filter(|(_, rollout)| !rollout.is_withdrawn);
        known.take(MAX_REPORTS).map(|(service, rollout)| rollout.notice(service, now)).collect()
    }

    /// Applies a step of the leader.
    pub(crate) fn apply_notice(&mut self, notice: &RolloutNotice, now: Instant) {
        let order = StoreRevision::from(notice.order);
        let rollout = self.services.get_mut(&notice.service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order == order) {
            rollout.hear_age(Duration::from_millis(notice.age_ms), now);
            rollout.follow(notice.phase, notice.canary_share);
        }
    }

    /// Returns the time of the order that a service's status names, in milliseconds since the Unix
    /// epoch.
    pub(crate) fn ordered_at_ms(&self, service: &ServiceName) -> Option<u64> {
        self.statuses.get(service).and_then(|(status, _)| status.ordered_at_ms)
    }

    /// Takes note of how long ago an order was written by the clock with which its status was.
    ///
    /// An age beyond the deadline is ignored: the clock may have been set since.
    pub(crate) fn hear_status_age(&mut self, service: &ServiceName, age: Duration, now: Instant) {
        let status = self.statuses.get(service);
        let Some(rollout) = self.services.get_mut(service) else { return };
        let is_own = status.is_some_and(|(status, at)| rollout.owns(status, *at));
        if is_own && age <= rollout.duration {
            rollout.hear_age(age, now);
        }
    }

    /// Takes note of how long ago another node saw an order.
    pub(crate) fn hear_age(&mut self, report: &RolloutReport, now: Instant) {
        let order = StoreRevision::from(report.order);
        let rollout = self.services.get_mut(&report.service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order == order) {
            rollout.hear_age(Duration::from_millis(report.age_ms), now);
        }
    }
}

/// Returns the state that the store shows for a phase.
pub(crate) fn state_of(phase: RolloutPhase) -> RolloutState {
    match phase {
        RolloutPhase::Canary | RolloutPhase::Promoting => RolloutState::Running,
        RolloutPhase::Completed => RolloutState::Completed,
        RolloutPhase::RolledBack => RolloutState::RolledBack,
    }
}
