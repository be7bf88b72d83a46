//! Callers of a barrier and a view that lags behind, on the paused clock.

use std::cell::{Cell, RefCell};

use async_trait::async_trait;

use super::*;
use crate::{Changes, Commit, CommitOutcome, KeyValue, LeaseId, Listing, test_support::first_era};

/// Time from a read's beginning until its answer.
const READ_TIME: Duration = Duration::from_millis(4);

/// A store of which only the revision matters.
#[derive(Default)]
struct RevisionStore {
    revision: Cell<u64>,
    error: RefCell<Option<StoreError>>,
    is_silent: Cell<bool>,
    reads: Cell<u32>,
}

#[async_trait(?Send)]
impl Store for RevisionStore {
    async fn get(&self, _: &str) -> Result<Option<KeyValue>, StoreError> {
        unreachable!("one value does not tell the store's revision")
    }

    async fn list(&self, _: &str, freshness: Freshness) -> Result<Listing, StoreError> {
        assert_eq!(freshness, Freshness::Linearizable);
        self.reads.set(self.reads.get() + 1);
        let revision = first_era(self.revision.get());
        while self.is_silent.get() {
            sleep(READ_TIME).await;
        }
        sleep(READ_TIME).await;
        match &*self.error.borrow() {
            Some(err) => Err(err.clone()),
            None => Ok(Listing { items: Vec::new(), revision }),
        }
    }

    async fn watch(&self, _: &str, _: StoreRevision, _: Duration) -> Result<Changes, StoreError> {
        unreachable!("the view watches")
    }

    async fn commit(&self, _: Commit) -> Result<CommitOutcome, StoreError> {
        unreachable!("a barrier only reads")
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, StoreError> {
        unreachable!("a barrier only reads")
    }

    async fn renew(&self, _: LeaseId) -> Result<(), StoreError> {
        unreachable!("a barrier only reads")
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        unreachable!("a barrier only reads")
    }
}

/// A view that is brought up to date when it is asked to.
struct TestView {
    store: Rc<RevisionStore>,
    complete_up_to: Cell<Option<u64>>,
    follows: Cell<bool>,
}

impl FollowedStore for TestView {
    fn complete_up_to(&self) -> Option<StoreRevision> {
        self.complete_up_to.get().map(first_era)
    }

    fn read_soon(&self) {
        if self.follows.get() {
            self.complete_up_to.set(Some(self.store.revision.get()));
        }
    }
}

fn bed() -> (Rc<RevisionStore>, Rc<TestView>, Rc<ReadBarrier>) {
    let store = Rc::new(RevisionStore::default());
    store.revision.set(7);
    let view = TestView {
        store: store.clone(),
        complete_up_to: Cell::new(Some(7)),
        follows: Cell::new(true),
    };
    let view = Rc::new(view);
    let barrier = ReadBarrier::new(store.clone(), view.clone(), "versions".into());
    (store, view, Rc::new(barrier))
}

#[tokio::test(start_paused = true)]
async fn pass_waits_until_the_view_holds_a_change() {
    let (store, view, barrier) = bed();
    assert_eq!(barrier.pass().await, Ok(()));
    store.revision.set(8);
    assert_eq!(barrier.pass().await, Ok(()));
    assert_eq!(view.complete_up_to.get(), Some(8));
}

// Guards against ORDER of review/9: a view that was confirmed shortly before lacked a version.
#[tokio::test(start_paused = true)]
async fn pass_fails_while_the_store_is_out_of_reach() {
    let (store, _view, barrier) = bed();
    assert_eq!(barrier.pass().await, Ok(()));
    let refused = StoreError::Refused("unavailable".into());
    store.error.replace(Some(refused.clone()));
    assert_eq!(barrier.pass().await, Err(BarrierError::Store(refused)));
    store.error.replace(None);
    store.is_silent.set(true);
    let asked_at = Instant::now();
    assert_eq!(barrier.pass().await, Err(BarrierError::Timeout));
    assert!(asked_at.elapsed() <= MAX_TIME + MIN_INTERVAL, "{:?}", asked_at.elapsed());
    store.is_silent.set(false);
    assert_eq!(barrier.pass().await, Ok(()), "the store is back");
}

#[tokio::test(start_paused = true)]
async fn pass_fails_while_the_view_lags_or_lacks_changes() {
    let (store, view, barrier) = bed();
    view.follows.set(false);
    store.revision.set(8);
    assert_eq!(barrier.pass().await, Err(BarrierError::Timeout));
    view.complete_up_to.set(None);
    assert_eq!(barrier.pass().await, Err(BarrierError::Incomplete));
}

#[tokio::test(start_paused = true)]
async fn pass_shares_a_read_that_began_after_it_was_asked_for() {
    let (store, _view, barrier) = bed();
    let ask = |count: usize| {
        let barriers = vec![barrier.clone(); count].into_iter();
        futures_util::future::join_all(barriers.map(|barrier| async move { barrier.pass().await }))
    };
    let first = ask(1);
    let (first, later) = futures_util::future::join(first, async {
        sleep(READ_TIME / 2).await;
        // They come while the first read is under way, which began before.
        ask(30).await
    })
    .await;
    assert!(first.iter().chain(&later).all(|result| *result == Ok(())));
    assert_eq!(store.reads.get(), 2);
}
