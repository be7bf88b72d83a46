//! Which track gets attempts in each phase of a roll-out.

use std::time::Duration;

use lycheelatch_prelude::{UpstreamId, ZoneName};

use super::*;
use crate::{
    ClusterClock, EngineSpeed, Priority, RolloutOrder, ServiceSpec, SystemBootClock, UpstreamEntry,
    test_support,
};

struct Bed {
    gateway: Gateway,
    service: ServiceSpec,
    zone: ZoneName,
}

impl Bed {
    /// Creates a gateway with upstreams of versions, whose names they begin with.
    fn new(upstreams: &[&str]) -> Bed {
        let clock = ClusterClock::new(Rc::new(SystemBootClock));
        let gateway = test_support::gateway_with_rollouts(clock);
        for id in upstreams {
            let version = id.split('-').next().map(Into::into);
            let entry = test_support::engine_entry(id, "zone-a");
            gateway.directory.put(UpstreamEntry { version, ..entry }, test_support::first_era(1));
        }
        let name = "svc".parse().unwrap();
        let service = ServiceSpec { name, connection_limit: 100, engine: None, scaling: None };
        Bed { gateway, service, zone: "zone-a".parse().unwrap() }
    }

    fn order(&self) {
        let order = RolloutOrder {
            service: self.service.name.clone(),
            to: "v2".into(),
            duration: Duration::from_secs(60),
        };
        self.gateway.rollouts.borrow_mut().apply_order(
            order,
            test_support::first_era(5),
            Instant::now(),
        );
    }

    fn follow(&self, phase: RolloutPhase, share: f64) {
        let mut rollouts = self.gateway.rollouts.borrow_mut();
        let rollout = rollouts.get_mut(&self.service.name).unwrap();
        rollout.follow(phase, share);
    }

    /// Returns how many of `count` requests go to upstreams of version `v2`, or `None` if one is
    /// refused.
    fn placed_on_canary(&self, count: usize, tried: &[UpstreamId]) -> Option<usize> {
        let mut on_canary = 0;
        for _ in 0..count {
            let all = self.gateway.directory.for_service(&self.service.name);
            let req = PlacementRequest {
                service: &self.service,
                speed: EngineSpeed::default(),
                chain: None,
                zone: &self.zone,
                cross_zone_lag: Duration::ZERO,
                all_upstreams: &all,
                tried,
                time_to_target: Duration::from_secs(1),
                priority: Priority(0),
            };
            let now = Instant::now();
            let placed = place_permitted(&self.gateway, &req, all.clone(), now, 0.3).ok()?;
            let version = placed.upstream.entry.borrow().version.clone();
            on_canary += usize::from(version.as_deref() == Some("v2"));
            self.gateway.rollouts.borrow_mut().record_sent(
                &self.service.name,
                version.as_ref(),
                true,
            );
        }
        Some(on_canary)
    }
}

#[tokio::test]
async fn place_permitted_without_order_uses_one_pool() {
    let bed = Bed::new(&["v2-a"]);
    assert_eq!(bed.placed_on_canary(10, &[]), Some(10));
}

#[tokio::test]
async fn place_permitted_keeps_share() {
    let bed = Bed::new(&["v1-a", "v1-b", "v2-a", "v2-b"]);
    bed.order();
    assert_eq!(bed.placed_on_canary(100, &[]), Some(0), "before a step of the leader");
    bed.follow(RolloutPhase::Canary, 0.05);
    let on_canary = bed.placed_on_canary(1000, &[]).unwrap();
    assert!((49..=51).contains(&on_canary), "{on_canary}");
}

#[tokio::test]
async fn place_permitted_retries_keep_share() {
    let bed = Bed::new(&["v1-a", "v2-a"]);
    bed.order();
    bed.follow(RolloutPhase::Canary, 0.05);
    bed.placed_on_canary(1, &[]);
    // The only stable upstream was tried: the canary takes its place within its share only.
    let tried = ["v1-a".parse().unwrap()];
    let retries = (0..100).filter_map(|_| bed.placed_on_canary(1, &tried)).sum::<usize>();
    assert!((4..=6).contains(&retries), "{retries}");
}

#[tokio::test]
async fn place_permitted_canary_without_room_gives_its_turn_back() {
    let bed = Bed::new(&["v1-a", "v2-a"]);
    bed.order();
    bed.follow(RolloutPhase::Canary, 0.05);
    let tried = ["v2-a".parse().unwrap()];
    assert_eq!(bed.placed_on_canary(100, &tried), Some(0));
}

#[tokio::test]
async fn place_permitted_follows_phase() {
    let bed = Bed::new(&["v1-a", "v2-a"]);
    bed.order();
    bed.placed_on_canary(1, &[]);
    bed.follow(RolloutPhase::Promoting, 1.0);
    assert_eq!(bed.placed_on_canary(10, &[]), Some(10));
    bed.follow(RolloutPhase::RolledBack, 0.0);
    assert_eq!(bed.placed_on_canary(10, &[]), Some(0));
}

#[tokio::test]
async fn place_permitted_promoted_version_without_upstreams_leaves_old_one() {
    let bed = Bed::new(&["v1-a"]);
    bed.order();
    bed.follow(RolloutPhase::Promoting, 1.0);
    assert_eq!(bed.placed_on_canary(10, &[]), Some(0));
}

#[tokio::test]
async fn place_permitted_version_that_runs_already_is_not_refused() {
    let bed = Bed::new(&["v2-a"]);
    bed.order();
    assert_eq!(bed.placed_on_canary(10, &[]), Some(10));
}
