//! What of another node's view is taken over.

use async_trait::async_trait;
use lycheelatch_prelude::{InvalidValue, UpstreamId};

use super::*;
use crate::{
    Changes, Commit, CommitOutcome, Freshness, LeaseId, Listing, MachineClock, Store, StoreError,
    StoreLayout, TableSource, TrueTime, UpstreamEntry, test_support,
};

/// A store that can't be reached.
struct NoStore;

fn away<T>() -> Result<T, StoreError> {
    Err(StoreError::Refused("away".into()))
}

#[async_trait(?Send)]
impl Store for NoStore {
    async fn get(&self, _: &str) -> Result<Option<KeyValue>, StoreError> {
        away()
    }

    async fn list(&self, _: &str, _: Freshness) -> Result<Listing, StoreError> {
        away()
    }

    async fn watch(&self, _: &str, _: StoreRevision, _: Duration) -> Result<Changes, StoreError> {
        away()
    }

    async fn commit(&self, _: Commit) -> Result<CommitOutcome, StoreError> {
        away()
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, StoreError> {
        away()
    }

    async fn renew(&self, _: LeaseId) -> Result<(), StoreError> {
        away()
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        away()
    }
}

/// Values are an upstream's port.
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

    fn parse_config(&self, _: &[u8]) -> Result<TableSource, InvalidValue> {
        unreachable!("no configuration comes")
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
        })
    }
}

fn view() -> StoreView {
    let gateway = Rc::new(test_support::gateway(1, TrueTime::new(Rc::new(MachineClock))));
    StoreView::new(gateway, Rc::new(NoStore), Rc::new(PortLayout))
}

/// The whole view of a node that read the store up to a revision.
fn whole(revision: u64, upstreams: &[(&str, u64)]) -> ViewWire {
    let value = |(key, revision): &(&str, u64)| ValueWire {
        key: (*key).to_owned(),
        value: b"80".to_vec(),
        revision: *revision,
    };
    ViewWire {
        incarnation: 1,
        change: revision,
        is_whole: true,
        age_ms: 0,
        revision,
        config: None,
        upstreams: upstreams.iter().map(value).collect(),
        gone: Vec::new(),
    }
}

fn held(view: &StoreView) -> Vec<String> {
    view.gateway().directory.all().iter().map(|up| up.id().to_string()).collect()
}

#[test]
fn take_older_view_brings_nothing_back() {
    let view = view();
    take(&view, whole(10, &[("up/a", 5), ("up/b", 6)]));
    view.remove_upstream(&"up/a".into(), StoreRevision(12));
    // Another node answers late with what it held before.
    take(&view, whole(9, &[("up/a", 5), ("up/b", 6)]));
    assert_eq!(held(&view), ["b"]);
}

#[test]
fn take_older_view_brings_nothing_that_was_gone_before() {
    let view = view();
    take(&view, whole(10, &[("up/b", 6)]));
    take(&view, whole(9, &[("up/a", 5), ("up/b", 6)]));
    assert_eq!(held(&view), ["b"]);
}

#[test]
fn take_entry_that_was_written_again_is_held() {
    let view = view();
    take(&view, whole(10, &[("up/a", 5)]));
    view.remove_upstream(&"up/a".into(), StoreRevision(12));
    take(&view, whole(14, &[("up/a", 13)]));
    assert_eq!(held(&view), ["a"]);
}

#[test]
fn take_older_view_with_a_newer_entry_is_held() {
    let view = view();
    take(&view, whole(10, &[("up/a", 5)]));
    // It has not read the store for long, and missing entries tell nothing.
    let mut wire = whole(20, &[("up/c", 15)]);
    wire.age_ms = 60_000;
    take(&view, wire);
    assert_eq!(held(&view), ["a", "c"]);
}
