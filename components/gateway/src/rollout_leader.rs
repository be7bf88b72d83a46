//! Decides the steps of roll-outs while this node is the leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use lycheelatch_policy::{
    RollbackReason, RolloutCounts, RolloutJudge, RolloutLimits, RolloutPhase, RolloutStep, Track,
    decide_rollout,
};
use lycheelatch_prelude::{NodeId, ServiceName};
use tokio::time::{Instant, sleep};

use crate::{
    Gateway, Leadership, StoreRevision,
    event_log::{log_event, millis},
    messages::Digest,
    node_event::{NodeEvent, RolloutCountsLine},
    rollout::Rollout,
    rollout_report::RolloutReport,
    schedule::LEADER_INTERVAL,
};

/// Time between two decisions.
const INTERVAL: Duration = Duration::from_millis(200);

/// Intervals of a new leader's complete digests within which it promotes nothing, since it has not
/// heard what all nodes counted.
const SETTLE_INTERVALS: u32 = 3;

/// Smallest change of the canary's share that is logged.
const LOGGED_SHARE_CHANGE: f64 = 0.01;

/// One process of a node.
type Process = (NodeId, u64);

/// Latest reports of all processes on one order; those of processes that ended still count.
struct Reports {
    order: StoreRevision,
    by_process: BTreeMap<Process, RolloutReport>,
}

/// Reports of all nodes, by service.
#[derive(Default)]
struct ClusterReports(BTreeMap<ServiceName, Reports>);

impl ClusterReports {
    /// Takes over the reports of a digest.
    fn record(&mut self, digest: &Digest) {
        for report in &digest.rollouts {
            let order = StoreRevision::from(report.order);
            let of_service = self
                .0
                .entry(report.service.clone())
                .or_insert_with(|| Reports { order, by_process: BTreeMap::new() });
            if of_service.order < order {
                *of_service = Reports { order, by_process: BTreeMap::new() };
            }
            if of_service.order == order {
                let process = (digest.node.clone(), digest.incarnation);
                of_service.by_process.insert(process, report.clone());
            }
        }
    }

    /// Returns the reports on an order.
    fn on(
        &self,
        service: &ServiceName,
        order: StoreRevision,
    ) -> impl Iterator<Item = &RolloutReport> {
        let reports = self.0.get(service).filter(|reports| reports.order == order);
        reports.into_iter().flat_map(|reports| reports.by_process.values())
    }
}

/// What this leader remembers of each order, by service.
#[derive(Default)]
struct Judges(BTreeMap<ServiceName, (StoreRevision, RolloutJudge)>);

impl Judges {
    /// Returns the judge of an order, an empty one if the last order was another one.
    fn of(&mut self, service: &ServiceName, order: StoreRevision) -> &mut RolloutJudge {
        let entry = self.0.entry(service.clone()).or_insert((order, RolloutJudge::default()));
        if entry.0 != order {
            *entry = (order, RolloutJudge::default());
        }
        &mut entry.1
    }
}

/// Decides until the task is dropped; all nodes also judge by what they counted themselves.
pub(crate) async fn run(gateway: Rc<Gateway>, leader: Rc<Leadership>) {
    let Some(limits) = gateway.rollouts.borrow().limits() else { return };
    let mut reports = ClusterReports::default();
    let mut judges = Judges::default();
    let mut leader_since = None;
    let mut unknown = BTreeSet::new();
    loop {
        sleep(INTERVAL).await;
        if gateway.rollouts.borrow().is_empty() {
            leader_since = leader.fence().map(|_| leader_since.unwrap_or_else(Instant::now));
            continue;
        }
        let now = Instant::now();
        check_alone(&gateway, now);
        gateway.peers.borrow().digests().for_each(|digest| reports.record(digest));
        if leader.fence().is_some() {
            let since = *leader_since.get_or_insert(now);
            let has_settled = now - since >= LEADER_INTERVAL * SETTLE_INTERVALS;
            log_unknown_services(&gateway, &mut unknown);
            decide_all(&gateway, &reports, &mut judges, &limits, has_settled, now);
        } else {
            leader_since = None;
            judges = Judges::default();
        }
        update_metrics(&gateway);
    }
}

/// Stops sending to canaries that this node knows to be bad by its own counts.
fn check_alone(gateway: &Gateway, now: Instant) {
    for (service, rollout) in gateway.rollouts.borrow_mut().iter_mut() {
        if let Some(reason) = rollout.check_alone() {
            log_step(service, rollout, rollout.counts(), Some(&reason), now);
        }
    }
}

/// Logs the orders for services that the configuration does not name, once each.
fn log_unknown_services(gateway: &Gateway, unknown: &mut BTreeSet<(ServiceName, StoreRevision)>) {
    let Some(table) = gateway.table() else { return };
    for (service, rollout) in gateway.rollouts.borrow().iter() {
        let is_unknown = table.service(service).is_none() && !rollout.is_withdrawn;
        if is_unknown && unknown.insert((service.clone(), rollout.order)) {
            log_event(&NodeEvent::RolloutRejected {
                service,
                reason: "service: is not in the configuration",
            });
        }
    }
}

fn decide_all(
    gateway: &Gateway,
    reports: &ClusterReports,
    judges: &mut Judges,
    limits: &RolloutLimits,
    has_settled: bool,
    now: Instant,
) {
    let Some(table) = gateway.table() else { return };
    for (service, rollout) in gateway.rollouts.borrow_mut().iter_mut() {
        if rollout.is_final() || rollout.is_withdrawn || table.service(service).is_none() {
            continue;
        }
        let upstreams = tracks_in_use(gateway, service, rollout);
        let mut counts = rollout.counts().clone();
        for report in reports.on(service, rollout.order) {
            report.add_to(&mut counts);
            follow_peer(rollout, report);
        }
        let in_flight = in_flight_at_stable(gateway, service, rollout, now);
        let evidence = rollout.evidence(counts, in_flight, now);
        let step = match has_settled {
            true => judges.of(service, rollout.order).decide(&evidence, limits),
            false => decide_rollout(&evidence, limits),
        };
        let step = possible_step(step, &upstreams, has_settled, rollout);
        apply_step(service, rollout, &evidence.counts, step, now);
    }
}

/// Takes over the phase that an earlier leader decided.
fn follow_peer(rollout: &mut Rollout, report: &RolloutReport) {
    match report.phase {
        RolloutPhase::Canary => {}
        phase => rollout.follow(phase, rollout.canary_share()),
    }
}

/// Upstreams of each track that accept requests.
struct TracksInUse {
    has_canary: bool,
    has_stable: bool,
}

fn tracks_in_use(gateway: &Gateway, service: &ServiceName, rollout: &Rollout) -> TracksInUse {
    let upstreams = gateway.directory.available(service);
    let has = |track| upstreams.iter().any(|up| rollout.track_of(up) == track);
    TracksInUse { has_canary: has(Track::Canary), has_stable: has(Track::Stable) }
}

/// Returns the step that can be taken now in place of one that can't.
fn possible_step(
    step: RolloutStep,
    upstreams: &TracksInUse,
    has_settled: bool,
    rollout: &Rollout,
) -> RolloutStep {
    let hold = RolloutStep::Continue { canary_share: rollout.followed_share() };
    match step {
        // Without an upstream of the new version nothing is known of it.
        RolloutStep::Promote if !upstreams.has_canary => {
            RolloutStep::RollBack(RollbackReason::NotEnoughEvidence)
        }
        RolloutStep::Promote if !has_settled => hold,
        RolloutStep::RollBack(RollbackReason::NotEnoughEvidence) if !has_settled => hold,
        // The old upstreams stop at once, so the new version must be there.
        RolloutStep::Complete if !upstreams.has_canary && upstreams.has_stable => {
            RolloutStep::RollBack(RollbackReason::NotEnoughEvidence)
        }
        RolloutStep::Continue { .. } if !has_settled => hold,
        step => step,
    }
}

fn apply_step(
    service: &ServiceName,
    rollout: &mut Rollout,
    counts: &RolloutCounts,
    step: RolloutStep,
    now: Instant,
) {
    match step {
        RolloutStep::Continue { canary_share } => {
            let before = rollout.canary_share();
            rollout.set_share(canary_share);
            if (rollout.canary_share() - before).abs() >= LOGGED_SHARE_CHANGE {
                log_step(service, rollout, counts, None, now);
            }
        }
        RolloutStep::Promote => {
            rollout.promote();
            log_step(service, rollout, counts, None, now);
        }
        RolloutStep::Complete => {
            if rollout.set_completion_due() {
                log_step(service, rollout, counts, None, now);
            }
        }
        RolloutStep::RollBack(reason) => {
            rollout.roll_back();
            log_step(service, rollout, counts, Some(&reason), now);
        }
    }
}

/// Returns the requests of all live nodes at the stable track; a node that does not know of the
/// promotion counts as at least one request.
fn in_flight_at_stable(
    gateway: &Gateway,
    service: &ServiceName,
    rollout: &Rollout,
    now: Instant,
) -> u32 {
    let peers = gateway.peers.borrow();
    let of_peers = peers.live_digests(now).filter_map(|digest| {
        let mut reports = digest.rollouts.iter();
        let report = reports.find(|report| {
            report.service == *service && StoreRevision::from(report.order) == rollout.order
        })?;
        let is_told = report.phase >= RolloutPhase::Promoting;
        Some(report.in_flight_at_stable.max(u32::from(!is_told)))
    });
    let own = gateway.in_flight_at_stable(service, rollout);
    of_peers.fold(own, u32::saturating_add)
}

impl Gateway {
    /// Returns this node's requests in flight at the stable track of a service.
    pub(crate) fn in_flight_at_stable(&self, service: &ServiceName, rollout: &Rollout) -> u32 {
        let upstreams = self.directory.for_service(service);
        let stable = upstreams.iter().filter(|up| rollout.track_of(up) == Track::Stable);
        stable.map(|up| up.running.get()).fold(0, u32::saturating_add)
    }

    /// Returns what this node counted of each roll-out, for the other nodes.
    pub(crate) fn rollout_reports(&self, now: Instant) -> Vec<RolloutReport> {
        let rollouts = self.rollouts.borrow();
        let mut reports = rollouts.reports(now);
        for report in &mut reports {
            if let Some(rollout) = rollouts.get(&report.service) {
                report.in_flight_at_stable = self.in_flight_at_stable(&report.service, rollout);
            }
        }
        reports
    }

    /// Applies what another node says of roll-outs.
    pub(crate) fn apply_rollouts(&self, digest: &Digest, now: Instant) {
        if digest.rollouts.is_empty() && digest.rollout_notices.is_empty() {
            return;
        }
        let mut rollouts = self.rollouts.borrow_mut();
        digest.rollouts.iter().for_each(|report| rollouts.hear_age(report, now));
        digest.rollout_notices.iter().for_each(|notice| rollouts.apply_notice(notice, now));
    }
}

fn log_step(
    service: &ServiceName,
    rollout: &Rollout,
    counts: &RolloutCounts,
    reason: Option<&RollbackReason>,
    now: Instant,
) {
    log_event(&NodeEvent::RolloutStep {
        service,
        to: &rollout.to,
        phase: rollout.phase(),
        canary_share: rollout.canary_share(),
        counts: RolloutCountsLine::from(counts),
        reason,
        since_order_ms: millis(rollout.age(now)),
    });
}

fn update_metrics(gateway: &Gateway) {
    let metrics = &gateway.metrics;
    for (service, rollout) in gateway.rollouts.borrow().iter() {
        let service = [service.as_str()];
        let counts = rollout.counts();
        metrics.rollout_phase.with_label_values(&service).set(rollout.phase() as i64);
        metrics.rollout_share.with_label_values(&service).set(rollout.canary_share());
        let exposure = counts.sent_to_canary as f64 / counts.sent.max(1) as f64;
        metrics.rollout_exposure.with_label_values(&service).set(exposure);
    }
}
