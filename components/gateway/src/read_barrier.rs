//! Read barrier: lets a conclusion rest on all that the store held when it was asked for.
//!
//! The time of a view's last confirmation says nothing of what came after it. A barrier reads the
//! store's revision after it was asked for, and passes once this node's view has caught up with it.

use std::{rc::Rc, sync::Arc, time::Duration};

use displaydoc::Display;
use tokio::{
    sync::Mutex,
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{Freshness, Store, StoreError, StoreRevision};

#[cfg(test)]
mod tests;

/// Time within which a barrier passes.
const MAX_TIME: Duration = Duration::from_millis(500);

/// Minimum time between two reads; a read serves all callers that came before it began.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks whether the view has caught up.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a barrier did not pass.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum BarrierError {
    /// the store was not read: {0}
    Store(StoreError),
    /// the view did not catch up with the store in time
    Timeout,
    /// the view lacks changes of the store
    Incomplete,
}

/// A view that follows the store's changes.
pub(crate) trait FollowedStore {
    /// Returns the revision up to which the view holds all changes, or `None` if it may lack some.
    fn complete_up_to(&self) -> Option<StoreRevision>;

    /// Ends the pause before the view is next brought up to date.
    fn read_soon(&self);
}

/// A read of the store that has ended.
#[derive(Debug, Clone)]
struct EndedRead {
    began_at: Instant,
    result: Result<(), BarrierError>,
}

/// Read barriers of a node.
pub(crate) struct ReadBarrier {
    store: Rc<dyn Store>,
    view: Rc<dyn FollowedStore>,
    /// Prefix of few keys, which is listed for the store's revision.
    prefix: Arc<str>,
    last_read: Mutex<Option<EndedRead>>,
}

impl ReadBarrier {
    pub(crate) fn new(
        store: Rc<dyn Store>,
        view: Rc<dyn FollowedStore>,
        prefix: Arc<str>,
    ) -> ReadBarrier {
        ReadBarrier { store, view, prefix, last_read: Mutex::default() }
    }

    /// Waits until the view holds all that the store held when this was called.
    pub(crate) async fn pass(&self) -> Result<(), BarrierError> {
        let asked_at = Instant::now();
        let mut last_read = self.last_read.lock().await;
        if let Some(last) = &*last_read {
            if last.began_at > asked_at {
                return last.result.clone();
            }
            sleep_until(last.began_at + MIN_INTERVAL).await;
        }
        let began_at = Instant::now();
        let read = timeout(MAX_TIME, self.catch_up()).await;
        let result = read.unwrap_or(Err(BarrierError::Timeout));
        *last_read = Some(EndedRead { began_at, result: result.clone() });
        result
    }

    /// Reads the store's revision, and waits until the view has caught up with it.
    async fn catch_up(&self) -> Result<(), BarrierError> {
        self.view.complete_up_to().ok_or(BarrierError::Incomplete)?;
        let listing = self.store.list(&self.prefix, Freshness::Linearizable).await;
        let revision = listing.map_err(BarrierError::Store)?.revision;
        loop {
            let reached = self.view.complete_up_to().ok_or(BarrierError::Incomplete)?;
            if reached >= revision {
                return Ok(());
            }
            self.view.read_soon();
            sleep(POLL_INTERVAL).await;
        }
    }
}
