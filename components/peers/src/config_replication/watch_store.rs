//! Watches the key-value service for new revisions while this node is a watcher.

use std::{future::pending, sync::Arc, time::Duration};

use lycheelatch_config::Snapshot;
use lycheelatch_prelude::Revision;
use lycheelatch_provider::WatchIndex;
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::{FROM_STORE, Shared, watchers::rank_of};

/// Time for which the key-value service holds a watch without a change (long polling).
const WATCH_WAIT: Duration = Duration::from_secs(50);
/// Time beyond [`WATCH_WAIT`] after which a watch times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);
/// Interval between checks whether this node is a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between the starts of watches that return without a change.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Backoff after the first failed watch; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff after a failed watch.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Delay per rank before a watcher broadcasts a revision that a watcher of a higher rank may
/// broadcast first.
const RANK_DELAY: Duration = Duration::from_millis(40);

/// Runs the watch whenever this node is a watcher; never returns.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = watch(&shared), if is_watcher(&shared) => {}
            () = wait_for_role_change(&shared) => {}
        }
    }
}

fn is_watcher(shared: &Shared) -> bool {
    rank_of(shared.link.local(), &shared.link.members()).is_some()
}

async fn wait_for_role_change(shared: &Shared) {
    let before = is_watcher(shared);
    while is_watcher(shared) == before {
        sleep(ROLE_CHECK_INTERVAL).await;
    }
}

/// Watches the key-value service; never returns.
async fn watch(shared: &Shared) {
    let mut after = WatchIndex::default();
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let start = Instant::now();
        let watched =
            timeout(WATCH_WAIT + WATCH_TIMEOUT_MARGIN, shared.store.watch(after, WATCH_WAIT));
        let (result, reason) = match watched.await {
            Ok(Ok((index, snapshot))) => {
                after = index;
                backoff = INITIAL_BACKOFF;
                match snapshot {
                    Some(snapshot) => apply(shared, snapshot).await,
                    // The service returns immediately if it has no configuration.
                    None => sleep_until(start + MIN_WATCH_INTERVAL).await,
                }
                ("done", None)
            }
            Ok(Err(err)) => ("failed", Some(err.to_string())),
            Err(_) => ("silent", Some("no response in time".to_owned())),
        };
        shared.metrics.watches.with_label_values(&[result]).inc();
        let Some(reason) = reason else { continue };
        log::warn!("config: watch of the key-value service failed: {reason}");
        sleep(backoff.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn apply(shared: &Shared, snapshot: Snapshot) {
    wait_for_rank(shared, snapshot.revision).await;
    shared.advance(snapshot, FROM_STORE);
    shared.set_ready();
}

/// Waits until the revision has been applied, or for the delay of this node's rank.
///
/// A node that is not ready does not wait.
async fn wait_for_rank(shared: &Shared, revision: Revision) {
    let rank = rank_of(shared.link.local(), &shared.link.members()).unwrap_or_default();
    if !*shared.ready.borrow() {
        return;
    }
    let mut revisions = shared.current.subscribe();
    let applied = async {
        if revisions.wait_for(|current| *current >= revision).await.is_err() {
            pending::<()>().await;
        }
    };
    let _delay_or_applied = timeout(RANK_DELAY * rank as u32, applied).await;
}
