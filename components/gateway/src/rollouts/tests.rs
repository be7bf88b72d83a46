//! What orders, statuses and the leader's steps do to a node's state, without a network.

use lycheelatch_policy::{LatencyClass, RolloutStep, decide_rollout};

use super::*;
use crate::{
    StoreEra,
    directory::Directory,
    test_support::{self, first_era},
};

const DURATION: Duration = Duration::from_secs(60);

fn service() -> ServiceName {
    "svc".parse().unwrap()
}

fn rollouts() -> Rollouts {
    let rollback = Duration::from_secs(5);
    Rollouts::new(Some(RolloutBounds { exposure: 0.1, extra: 50, rollback }))
}

fn order(to: &str) -> RolloutOrder {
    RolloutOrder { service: service(), to: to.into(), duration: DURATION }
}

fn status(state: RolloutState, to: &str, order: u64) -> RolloutStatus {
    RolloutStatus { state, to: to.into(), order: Some(first_era(order)), ordered_at_ms: None }
}

fn notice(order: u64, phase: RolloutPhase, canary_share: f64) -> RolloutNotice {
    RolloutNotice {
        service: service(),
        order: first_era(order).into(),
        age_ms: 0,
        phase,
        canary_share,
    }
}

fn phase(rollouts: &Rollouts) -> RolloutPhase {
    rollouts.get(&service()).unwrap().phase()
}

fn share(rollouts: &Rollouts) -> f64 {
    rollouts.get(&service()).unwrap().canary_share()
}

fn version(name: &str) -> Arc<str> {
    name.into()
}

#[tokio::test]
async fn apply_order_gives_canary_nothing_until_leader_is_heard() {
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    assert_eq!((phase(&rollouts), share(&rollouts)), (RolloutPhase::Canary, 0.0));
    rollouts.apply_notice(&notice(5, RolloutPhase::Canary, 0.05), Instant::now());
    assert_eq!(share(&rollouts), 0.05);
    rollouts.apply_notice(&notice(4, RolloutPhase::Canary, 0.9), Instant::now());
    assert_eq!(share(&rollouts), 0.05, "the step of an earlier order");
}

#[tokio::test]
async fn apply_order_without_bounds_does_nothing() {
    let mut rollouts = Rollouts::new(None);
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    rollouts.apply_status(&service(), status(RolloutState::Running, "v2", 5), first_era(6));
    assert!(rollouts.is_empty());
}

#[tokio::test]
async fn apply_order_older_one_never_replaces_newer() {
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v3"), first_era(9), Instant::now());
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    assert_eq!(&*rollouts.get(&service()).unwrap().to, "v3");
}

#[tokio::test]
async fn apply_order_second_one_starts_anew() {
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    let rolled_back = status(RolloutState::RolledBack, "v2", 5);
    rollouts.apply_status(&service(), rolled_back, first_era(7));
    assert_eq!(phase(&rollouts), RolloutPhase::RolledBack);
    // The same version again: the status of the first order does not end the second one.
    rollouts.apply_order(order("v2"), first_era(9), Instant::now());
    assert_eq!(phase(&rollouts), RolloutPhase::Canary);
    let wanted = rollouts.status_to_write(&service()).unwrap();
    assert_eq!((wanted.state, wanted.order), (RolloutState::Running, Some(first_era(9))));
}

#[tokio::test]
async fn end_in_store_is_final() {
    for (state, end) in [
        (RolloutState::Completed, RolloutPhase::Completed),
        (RolloutState::RolledBack, RolloutPhase::RolledBack),
    ] {
        let mut rollouts = rollouts();
        rollouts.apply_order(order("v2"), first_era(5), Instant::now());
        rollouts.apply_status(&service(), status(state, "v2", 5), first_era(6));
        for step in [RolloutPhase::Canary, RolloutPhase::Promoting, RolloutPhase::RolledBack] {
            rollouts.apply_notice(&notice(5, step, 1.0), Instant::now());
            assert_eq!(phase(&rollouts), end);
        }
        rollouts.withdraw_order(&service(), first_era(8));
        assert_eq!(phase(&rollouts), end, "withdrawn afterwards");
        assert_eq!(rollouts.status_to_write(&service()), None);
    }
}

#[tokio::test]
async fn end_in_store_overrides_step_of_replaced_leader() {
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    rollouts.apply_notice(&notice(5, RolloutPhase::RolledBack, 0.0), Instant::now());
    rollouts.apply_status(&service(), status(RolloutState::Completed, "v2", 5), first_era(6));
    assert_eq!(phase(&rollouts), RolloutPhase::Completed);
}

#[tokio::test]
async fn end_is_known_after_restart_from_status_alone() {
    let mut rollouts = rollouts();
    let rolled_back = status(RolloutState::RolledBack, "v2", 5);
    rollouts.apply_status(&service(), rolled_back, first_era(6));
    assert!(rollouts.bars(&service(), Some(&version("v2"))));
    assert!(!rollouts.bars(&service(), Some(&version("v1"))));
    assert!(!rollouts.bars(&service(), None));
}

// Guards against LOST of review/7: a completed roll-out barred every version but its own, for good.
#[tokio::test]
async fn completed_end_bars_no_version_and_replaces_what_had_registered() {
    let upstreams = Directory::default();
    let put = |id: &str, at: u64| {
        let entry = test_support::engine_entry(id, "zone-a");
        let entry = crate::UpstreamEntry { version: Some(id[..2].into()), ..entry };
        upstreams.put(entry, first_era(at));
    };
    for (id, at) in [("v1-a", 2), ("v2-a", 4), ("v1-b", 6), ("v1-c", 8), ("v3-a", 8)] {
        put(id, at);
    }
    let completed = status(RolloutState::Completed, "v2", 5);
    let mut ordered = rollouts();
    ordered.apply_order(order("v2"), first_era(5), Instant::now());
    let mut restarted = rollouts();
    for rollouts in [&mut ordered, &mut restarted] {
        rollouts.apply_status(&service(), completed.clone(), first_era(7));
        for name in ["v1", "v2", "v3"] {
            assert!(!rollouts.bars(&service(), Some(&version(name))), "{name}");
        }
        assert!(!rollouts.bars(&service(), None));
        let left = upstreams.all().into_iter();
        let left = left.filter(|upstream| rollouts.leaves_in_use(&service(), upstream));
        let left: Vec<_> = left.map(|upstream| upstream.id().to_string()).collect();
        assert_eq!(left, ["v1-c", "v2-a", "v3-a"]);
    }
}

#[tokio::test]
async fn running_status_before_its_order_does_not_end_it() {
    let mut rollouts = rollouts();
    rollouts.apply_status(&service(), status(RolloutState::Running, "v2", 5), first_era(6));
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    assert_eq!(phase(&rollouts), RolloutPhase::Canary);
    assert_eq!(rollouts.get(&service()).unwrap().duration, DURATION);
    assert_eq!(rollouts.status_to_write(&service()), None);
}

#[tokio::test]
async fn withdraw_order_rolls_back() {
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    rollouts.apply_status(&service(), status(RolloutState::Running, "v2", 5), first_era(6));
    rollouts.withdraw_order(&service(), first_era(4));
    assert_eq!(phase(&rollouts), RolloutPhase::Canary, "by an older revision");
    rollouts.withdraw_order(&service(), first_era(7));
    assert_eq!(phase(&rollouts), RolloutPhase::RolledBack);
    let wanted = rollouts.status_to_write(&service()).unwrap();
    assert_eq!(wanted.state, RolloutState::RolledBack);
}

#[tokio::test]
async fn restarted_node_hears_age_of_order() {
    tokio::time::pause();
    tokio::time::advance(DURATION).await;
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    let old = RolloutNotice { age_ms: 20_000, ..notice(5, RolloutPhase::Canary, 0.05) };
    rollouts.apply_notice(&old, Instant::now());
    let age = rollouts.get(&service()).unwrap().age(Instant::now());
    assert_eq!(age, Duration::from_secs(20));
}

#[tokio::test]
async fn age_of_order_outlives_all_nodes_in_its_status() {
    tokio::time::pause();
    tokio::time::advance(DURATION).await;
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    let running =
        RolloutStatus { ordered_at_ms: Some(1_000_000), ..status(RolloutState::Running, "v2", 5) };
    rollouts.apply_status(&service(), running, first_era(6));
    assert_eq!(rollouts.ordered_at_ms(&service()), Some(1_000_000));
    let age = |rollouts: &Rollouts| rollouts.get(&service()).unwrap().age(Instant::now());
    rollouts.hear_status_age(&service(), 2 * DURATION, Instant::now());
    assert_eq!(age(&rollouts), Duration::ZERO, "the clock was set since");
    rollouts.hear_status_age(&service(), DURATION / 2, Instant::now());
    assert_eq!(age(&rollouts), DURATION / 2);
}

#[tokio::test]
async fn frozen_leader_leaves_share_as_it_is() {
    tokio::time::pause();
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    rollouts.apply_notice(&notice(5, RolloutPhase::Canary, 0.05), Instant::now());
    tokio::time::advance(2 * DURATION).await;
    assert_eq!((phase(&rollouts), share(&rollouts)), (RolloutPhase::Canary, 0.05));
}

/// Counts requests at a version, of which `failed` in ten fail.
fn count(rollouts: &mut Rollouts, to: &str, requests: u32, failed: u32) {
    let route: Arc<str> = "route".into();
    let version = version(to);
    for number in 0..requests {
        rollouts.record_sent(&service(), Some(&version), true);
        let outcome = match number % 10 < failed {
            true => CanaryOutcome::Failed,
            false => CanaryOutcome::Answered(LatencyClass(4)),
        };
        rollouts.record_outcome(&service(), Some(&version), &route, outcome);
    }
}

#[tokio::test]
async fn node_without_leader_stops_sending_to_bad_canary() {
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    rollouts.apply_notice(&notice(5, RolloutPhase::Canary, 0.05), Instant::now());
    count(&mut rollouts, "v1", 1000, 0);
    count(&mut rollouts, "v2", 50, 4);
    let rollout = rollouts.get_mut(&service()).unwrap();
    assert!(rollout.check_alone().is_some());
    assert!(!rollout.admit_to_canary());
    rollout.follow(RolloutPhase::Canary, 0.05);
    assert_eq!(rollout.canary_share(), 0.0, "a step of the leader does not undo it");
}

#[tokio::test]
async fn reports_of_halves_add_up() {
    let (mut one, mut other) = (rollouts(), rollouts());
    for half in [&mut one, &mut other] {
        half.apply_order(order("v2"), first_era(5), Instant::now());
        count(half, "v1", 100, 0);
        count(half, "v2", 10, 4);
    }
    let now = Instant::now();
    let mut sum = one.get(&service()).unwrap().counts().clone();
    other.reports(now).iter().for_each(|report| report.add_to(&mut sum));
    assert_eq!((sum.sent, sum.sent_to_canary), (220, 20));
    let route = &sum.routes["route"];
    assert_eq!((route.canary.failed, route.canary.answered[4]), (8, 12));
    assert_eq!((route.stable.failed, route.stable.answered[4]), (0, 200));
    let evidence = one.get(&service()).unwrap().evidence(sum, 0, now);
    let step = decide_rollout(&evidence, &one.limits().unwrap());
    assert!(matches!(step, RolloutStep::RollBack(_)), "{step:?}");
}

#[tokio::test]
async fn reports_hold_only_roll_outs_under_way() {
    let mut rollouts = rollouts();
    assert!(rollouts.reports(Instant::now()).is_empty());
    rollouts.apply_order(order("v2"), first_era(5), Instant::now());
    assert_eq!(rollouts.reports(Instant::now()).len(), 1);
    rollouts.apply_status(&service(), status(RolloutState::Completed, "v2", 5), first_era(6));
    assert!(rollouts.reports(Instant::now()).is_empty());
}

#[test]
fn rollouts_order_written_again_after_a_restore_goes_on() {
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v2"), first_era(50), Instant::now());
    rollouts.apply_status(&service(), status(RolloutState::RolledBack, "v2", 50), first_era(51));
    let again = StoreRevision::new(StoreEra(1), 30);
    rollouts.apply_order(order("v2"), again, Instant::now());
    assert!(!rollouts.is_running(&service()), "the version that was rolled back gets requests");
    let wanted = rollouts.status_to_write(&service()).unwrap();
    assert_eq!((wanted.state, wanted.order), (RolloutState::RolledBack, Some(again)));
}

#[test]
fn rollouts_new_order_at_a_lower_revision_after_a_restore_is_carried_out() {
    let mut rollouts = rollouts();
    rollouts.apply_order(order("v2"), first_era(50), Instant::now());
    rollouts.apply_status(&service(), status(RolloutState::Completed, "v2", 50), first_era(51));
    rollouts.apply_order(order("v3"), StoreRevision::new(StoreEra(1), 30), Instant::now());
    assert!(rollouts.is_running(&service()));
}
