//! Writes of statuses whose answers are lost, that conflict, or come from a replaced leader.

use std::cell::{Cell, RefCell};

use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_prelude::{Fence, InvalidValue, UpstreamId};

use super::*;
use crate::{
    Changes, Freshness, KeyValue, LeaseId, Listing, RolloutOrder, RolloutState, TableSource,
    UpstreamEntry,
    test_support::{self, first_era},
};

const KEY: &str = "status/svc";

/// What happens to the next write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    AnswerLost,
    WrittenByOtherBefore(RolloutState),
}

/// Store with one key.
struct OneKey {
    item: RefCell<Option<KeyValue>>,
    fault: Cell<Fault>,
    writes: Cell<u32>,
}

impl OneKey {
    fn new(fault: Fault) -> OneKey {
        OneKey { item: RefCell::default(), fault: Cell::new(fault), writes: Cell::new(0) }
    }

    fn put(&self, value: Bytes) -> StoreRevision {
        let revision = self.revision();
        let revision = first_era(revision.number + 1);
        let item = KeyValue { key: KEY.into(), value, revision, created: revision };
        self.item.replace(Some(item));
        self.writes.set(self.writes.get() + 1);
        revision
    }

    fn revision(&self) -> StoreRevision {
        self.item.borrow().as_ref().map_or(StoreRevision::ABSENT, |item| item.revision)
    }

    fn status(&self) -> RolloutStatus {
        let item = self.item.borrow();
        test_support::parse_rollout_status(&item.as_ref().unwrap().value).unwrap()
    }
}

#[async_trait(?Send)]
impl Store for OneKey {
    async fn get(&self, _: &str) -> Result<Option<KeyValue>, StoreError> {
        Ok(self.item.borrow().clone())
    }

    async fn list(&self, _: &str, _: Freshness) -> Result<Listing, StoreError> {
        unreachable!("statuses are not listed")
    }

    async fn watch(&self, _: &str, _: StoreRevision, _: Duration) -> Result<Changes, StoreError> {
        unreachable!("statuses are not watched")
    }

    async fn commit(&self, commit: Commit) -> Result<CommitOutcome, StoreError> {
        let fault = self.fault.replace(Fault::None);
        if let Fault::WrittenByOtherBefore(state) = fault {
            self.put(test_support::encode_rollout_status(&wanted(state, 5)));
        }
        if commit.expected != self.revision() {
            return Ok(CommitOutcome::Conflict);
        }
        let revision = self.put(commit.value);
        match fault {
            Fault::AnswerLost => Err(StoreError::NoAnswer("lost".into())),
            _ => Ok(CommitOutcome::Applied(revision)),
        }
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, StoreError> {
        unreachable!("statuses have no lease")
    }

    async fn renew(&self, _: LeaseId) -> Result<(), StoreError> {
        unreachable!("statuses have no lease")
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        unreachable!("statuses have no lease")
    }
}

struct Layout;

impl StoreLayout for Layout {
    fn config_key(&self) -> &'static str {
        "config"
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
        "status/"
    }

    fn parse_config(&self, _: &[u8]) -> Result<TableSource, InvalidValue> {
        unreachable!("the tests have no configuration")
    }

    fn parse_upstream(&self, _: &UpstreamId, _: &[u8]) -> Result<UpstreamEntry, InvalidValue> {
        unreachable!("the tests have no upstreams")
    }

    fn parse_rollout(&self, _: &ServiceName, _: &[u8]) -> Result<RolloutOrder, InvalidValue> {
        unreachable!("the tests read no orders")
    }

    fn parse_rollout_status(&self, value: &[u8]) -> Result<RolloutStatus, InvalidValue> {
        test_support::parse_rollout_status(value)
    }

    fn encode_rollout_status(&self, status: &RolloutStatus) -> Bytes {
        test_support::encode_rollout_status(status)
    }
}

struct Permit(bool);

impl LeaderPermit for Permit {
    fn fence(&self) -> Fence {
        Fence(1)
    }

    fn is_valid(&self) -> bool {
        self.0
    }
}

fn wanted(state: RolloutState, order: u64) -> RolloutStatus {
    RolloutStatus { state, to: "v2".into(), order: Some(first_era(order)), ordered_at_ms: None }
}

async fn write(store: &OneKey, wanted: &RolloutStatus) -> Result<StatusWrite, StoreError> {
    write_status(store, &Layout, &Permit(true), KEY, wanted).await
}

#[tokio::test]
async fn write_status_lost_answer_is_found_by_reading() {
    let store = OneKey::new(Fault::AnswerLost);
    let rolled_back = wanted(RolloutState::RolledBack, 5);
    assert!(write(&store, &rolled_back).await.is_err());
    let found = write(&store, &rolled_back).await.unwrap();
    assert_eq!(found, StatusWrite::Holds(rolled_back, first_era(1)));
    assert_eq!(store.writes.get(), 1);
}

#[tokio::test]
async fn write_status_never_steps_back_from_end() {
    for end in [RolloutState::RolledBack, RolloutState::Completed] {
        let store = OneKey::new(Fault::WrittenByOtherBefore(end));
        for state in [RolloutState::Completed, RolloutState::RolledBack, RolloutState::Running] {
            // The first write conflicts with that of another leader.
            let _conflict = write(&store, &wanted(state, 5)).await.unwrap();
            let found = write(&store, &wanted(state, 5)).await.unwrap();
            assert_eq!(found, StatusWrite::Holds(wanted(end, 5), first_era(1)));
        }
        assert_eq!(store.status(), wanted(end, 5));
    }
}

#[tokio::test]
async fn write_status_replaces_that_of_earlier_order_only() {
    let store = OneKey::new(Fault::None);
    write(&store, &wanted(RolloutState::RolledBack, 5)).await.unwrap();
    write(&store, &wanted(RolloutState::Running, 8)).await.unwrap();
    assert_eq!(store.status(), wanted(RolloutState::Running, 8));
    let late = write(&store, &wanted(RolloutState::Completed, 5)).await.unwrap();
    assert_eq!(late, StatusWrite::Superseded);
    assert_eq!(store.status(), wanted(RolloutState::Running, 8));
}

#[tokio::test]
async fn write_status_without_permit_writes_nothing() {
    let store = OneKey::new(Fault::None);
    let running = wanted(RolloutState::Running, 5);
    let skipped = write_status(&store, &Layout, &Permit(false), KEY, &running).await.unwrap();
    assert_eq!((skipped, store.writes.get()), (StatusWrite::Skipped, 0));
}
