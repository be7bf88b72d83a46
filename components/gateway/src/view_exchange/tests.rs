//! Which entries of another node's view are applied.

use std::net::{Ipv4Addr, SocketAddrV4};

use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_prelude::{InvalidValue, ServiceName, UpstreamId};

use super::*;
use crate::{
    Changes, ClusterClock, Commit, CommitOutcome, Freshness, LeaseId, Listing, RolloutOrder,
    RolloutStatus, Store, StoreEra, StoreError, StoreLayout, SystemBootClock, TableSource,
    UpstreamEntry,
    test_support::{self, first_era},
};

/// The node whose views are applied.
const SOURCE: EntrySource =
    EntrySource::Node(SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1)));

/// A store that can't be reached.
struct UnreachableStore;

fn unavailable<T>() -> Result<T, StoreError> {
    Err(StoreError::Refused("unavailable".into()))
}

#[async_trait(?Send)]
impl Store for UnreachableStore {
    async fn get(&self, _: &str) -> Result<Option<KeyValue>, StoreError> {
        unavailable()
    }

    async fn list(&self, _: &str, _: Freshness) -> Result<Listing, StoreError> {
        unavailable()
    }

    async fn watch(&self, _: &str, _: StoreRevision, _: Duration) -> Result<Changes, StoreError> {
        unavailable()
    }

    async fn commit(&self, _: Commit) -> Result<CommitOutcome, StoreError> {
        unavailable()
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, StoreError> {
        unavailable()
    }

    async fn renew(&self, _: LeaseId) -> Result<(), StoreError> {
        unavailable()
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        unavailable()
    }
}

/// Layout whose values are an upstream's port.
struct PortLayout;

impl StoreLayout for PortLayout {
    fn config_key(&self) -> &'static str {
        "op/config"
    }

    fn operator_prefix(&self) -> &'static str {
        "op/"
    }

    fn upstream_prefix(&self) -> &'static str {
        "up/"
    }

    fn rollout_prefix(&self) -> &'static str {
        "op/rollout/"
    }

    fn rollout_status_prefix(&self) -> &'static str {
        "status/rollout/"
    }

    fn parse_config(&self, _: &[u8]) -> Result<TableSource, InvalidValue> {
        unreachable!("the tests have no configuration")
    }

    fn parse_upstream(&self, id: &UpstreamId, value: &[u8]) -> Result<UpstreamEntry, InvalidValue> {
        let port = std::str::from_utf8(value).unwrap().parse().unwrap();
        Ok(UpstreamEntry {
            id: id.clone(),
            service: "svc".parse().unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: "zone-a".parse().unwrap(),
            slots: 4,
            is_ready: true,
            is_reclaimable: false,
            shutdown_in: None,
            started_at_ms: None,
            version: None,
        })
    }

    fn parse_rollout(
        &self,
        service: &ServiceName,
        value: &[u8],
    ) -> Result<RolloutOrder, InvalidValue> {
        test_support::parse_rollout(service, value)
    }

    fn parse_rollout_status(&self, value: &[u8]) -> Result<RolloutStatus, InvalidValue> {
        test_support::parse_rollout_status(value)
    }

    fn encode_rollout_status(&self, status: &RolloutStatus) -> Bytes {
        test_support::encode_rollout_status(status)
    }
}

fn view() -> StoreView {
    let gateway = Rc::new(test_support::gateway(1, ClusterClock::new(Rc::new(SystemBootClock))));
    StoreView::new(gateway, Rc::new(UnreachableStore), Rc::new(PortLayout))
}

/// Returns the complete view of a node that read the store up to a revision.
fn complete_view(revision: u64, upstreams: &[(&str, u64)]) -> ViewWire {
    let value = |(key, revision): &(&str, u64)| ValueWire {
        key: (*key).to_owned(),
        value: b"80".to_vec(),
        revision: first_era(*revision).into(),
        created: first_era(*revision).into(),
    };
    ViewWire {
        incarnation: 1,
        change: revision,
        is_complete: true,
        age_ms: 0,
        revision: first_era(revision).into(),
        config: None,
        upstreams: upstreams.iter().map(value).collect(),
        tombstones: Vec::new(),
        rollouts: Vec::new(),
    }
}

fn upstream_ids(view: &StoreView) -> Vec<String> {
    view.gateway.directory.all().iter().map(|up| up.id().to_string()).collect()
}

#[test]
fn apply_view_older_one_restores_no_removed_upstream() {
    let view = view();
    apply_view(&view, complete_view(10, &[("up/a", 5), ("up/b", 6)]), SOURCE);
    view.remove_upstream(&"up/a".into(), first_era(12));
    // A delayed response of another node still contains the removed upstream.
    apply_view(&view, complete_view(9, &[("up/a", 5), ("up/b", 6)]), SOURCE);
    assert_eq!(upstream_ids(&view), ["b"]);
}

#[test]
fn apply_view_older_one_adds_no_upstream_removed_before() {
    let view = view();
    apply_view(&view, complete_view(10, &[("up/b", 6)]), SOURCE);
    apply_view(&view, complete_view(9, &[("up/a", 5), ("up/b", 6)]), SOURCE);
    assert_eq!(upstream_ids(&view), ["b"]);
}

#[test]
fn apply_view_accepts_an_upstream_registered_again() {
    let view = view();
    apply_view(&view, complete_view(10, &[("up/a", 5)]), SOURCE);
    view.remove_upstream(&"up/a".into(), first_era(12));
    apply_view(&view, complete_view(14, &[("up/a", 13)]), SOURCE);
    assert_eq!(upstream_ids(&view), ["a"]);
}

#[test]
fn apply_view_old_one_adds_newer_entry_and_removes_none() {
    let view = view();
    apply_view(&view, complete_view(10, &[("up/a", 5)]), SOURCE);
    // The other node has not read the store for a minute, so entries missing there are kept here.
    let mut wire = complete_view(20, &[("up/c", 15)]);
    wire.age_ms = 60_000;
    apply_view(&view, wire, SOURCE);
    assert_eq!(upstream_ids(&view), ["a", "c"]);
}

/// Returns the complete view of a node that read the store after it came back from a copy.
fn restored_view(revision: u64, upstreams: &[(&str, u64)]) -> ViewWire {
    let second_era = |number| StoreRevision::new(StoreEra(1), number).into();
    let mut wire = complete_view(revision, upstreams);
    wire.revision = second_era(revision);
    for (value, (_, number)) in wire.upstreams.iter_mut().zip(upstreams) {
        value.revision = second_era(*number);
    }
    wire
}

#[test]
fn apply_view_later_era_goes_before_higher_revisions() {
    let view = view();
    apply_view(&view, complete_view(100, &[("up/a", 90)]), SOURCE);
    apply_view(&view, restored_view(60, &[("up/a", 50), ("up/b", 55)]), SOURCE);
    assert_eq!(upstream_ids(&view), ["a", "b"]);
    view.remove_upstream(&"up/a".into(), StoreRevision::new(StoreEra(1), 61));
    assert_eq!(upstream_ids(&view), ["b"]);
}

#[test]
fn apply_view_earlier_era_changes_nothing_later() {
    let view = view();
    apply_view(&view, restored_view(60, &[("up/a", 50)]), SOURCE);
    view.remove_upstream(&"up/a".into(), StoreRevision::new(StoreEra(1), 61));
    // A node that has not heard of the restore still answers with higher revisions.
    apply_view(&view, complete_view(100, &[("up/a", 90), ("up/c", 95)]), SOURCE);
    assert!(upstream_ids(&view).is_empty(), "{:?}", upstream_ids(&view));
}

/// Returns a view of a gateway that acts upon roll-outs.
fn view_with_rollouts() -> StoreView {
    let clock = ClusterClock::new(Rc::new(SystemBootClock));
    let gateway = Rc::new(test_support::gateway_with_rollouts(clock));
    StoreView::new(gateway, Rc::new(UnreachableStore), Rc::new(PortLayout))
}

/// Returns the version that `svc` moves to.
fn ordered_version(view: &StoreView) -> Option<String> {
    let rollouts = view.gateway.rollouts.borrow();
    rollouts.get(&"svc".parse().unwrap()).map(|rollout| rollout.to.to_string())
}

fn is_running(view: &StoreView) -> bool {
    view.gateway.rollouts.borrow().is_running(&"svc".parse().unwrap())
}

fn put_order(view: &StoreView, value: &'static str, revision: u64) {
    view.apply_rollout(&"op/rollout/svc".into(), value.into(), first_era(revision));
}

#[tokio::test]
async fn rollout_reaches_nodes_without_store() {
    let (reader, follower) = (view_with_rollouts(), view_with_rollouts());
    put_order(&reader, "v2 60", 5);
    apply_view(&follower, view_wire(&reader, Cursor::default()), SOURCE);
    assert_eq!(ordered_version(&follower).as_deref(), Some("v2"));
    let seen = Cursor { incarnation: reader.incarnation, change: reader.last_change() };
    reader.remove_rollout(&"op/rollout/svc".into(), first_era(7));
    apply_view(&follower, view_wire(&reader, seen), SOURCE);
    assert!(!is_running(&follower), "withdrawn");
}

#[tokio::test]
async fn rollout_older_view_replaces_no_newer_order() {
    let (old, new) = (view_with_rollouts(), view_with_rollouts());
    put_order(&old, "v2 60", 5);
    put_order(&new, "v3 60", 8);
    new.advance_revision(first_era(8));
    apply_view(&new, view_wire(&old, Cursor::default()), SOURCE);
    assert_eq!(ordered_version(&new).as_deref(), Some("v3"));
    new.remove_rollout(&"op/rollout/svc".into(), first_era(9));
    apply_view(&new, view_wire(&old, Cursor::default()), SOURCE);
    assert!(!is_running(&new), "an older view brings no withdrawn order back");
}

#[tokio::test]
async fn rollout_entry_that_cannot_be_read_leaves_others_alone() {
    let view = view_with_rollouts();
    put_order(&view, "v2 60", 5);
    view.apply_rollout(&"op/rollout/a b".into(), "v2 60".into(), first_era(6));
    view.apply_rollout(&"op/rollout/other".into(), "v2".into(), first_era(7));
    view.apply_rollout(&"status/rollout/other".into(), "odd".into(), first_era(8));
    assert!(is_running(&view));
    assert_eq!(view.gateway.rollouts.borrow().iter().count(), 1);
}

#[tokio::test]
async fn rollout_without_bounds_is_not_cached() {
    let view = view();
    put_order(&view, "v2 60", 5);
    assert!(view.rollouts.borrow().is_empty());
}
