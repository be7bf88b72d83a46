//! Watches the key-value service while this node is a watcher.

use std::{future::pending, sync::Arc, time::Duration};

use lycheelatch_config::Snapshot;
use lycheelatch_prelude::Revision;
use lycheelatch_provider::WatchIndex;
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::{FROM_STORE, Shared, watchers::rank_of};

/// Time that one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(50);
/// Time beyond [`WATCH_WAIT`] after which a watch counts as silent.
const WATCH_GRACE: Duration = Duration::from_secs(5);
/// Time between checks whether this node is a watcher.
const ROLE_CHECK: Duration = Duration::from_secs(1);
/// Shortest time from one watch that saw no change to the next.
const EMPTY_PAUSE: Duration = Duration::from_millis(250);
/// Pause after the first failed watch; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest pause after a failed watch.
const LONGEST_BACKOFF: Duration = Duration::from_secs(4);
/// Time that each watcher leaves to the ones before it to spread a revision.
const TURN: Duration = Duration::from_millis(40);

/// Watches while this node is a watcher, for ever.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = watch(&shared), if is_watcher(&shared) => {}
            () = until_role_changes(&shared) => {}
        }
    }
}

fn is_watcher(shared: &Shared) -> bool {
    rank_of(shared.link.local(), &shared.link.members()).is_some()
}

async fn until_role_changes(shared: &Shared) {
    let before = is_watcher(shared);
    while is_watcher(shared) == before {
        sleep(ROLE_CHECK).await;
    }
}

/// Watches until dropped.
async fn watch(shared: &Shared) {
    let mut after = WatchIndex::default();
    let mut backoff = FIRST_BACKOFF;
    loop {
        let start = Instant::now();
        let watched = timeout(WATCH_WAIT + WATCH_GRACE, shared.store.watch(after, WATCH_WAIT));
        let (result, reason) = match watched.await {
            Ok(Ok((index, snapshot))) => {
                after = index;
                backoff = FIRST_BACKOFF;
                match snapshot {
                    Some(snapshot) => take(shared, snapshot).await,
                    // An empty service answers at once.
                    None => sleep_until(start + EMPTY_PAUSE).await,
                }
                ("done", None)
            }
            Ok(Err(err)) => ("failed", Some(err.to_string())),
            Err(_) => ("silent", Some("no answer in time".to_owned())),
        };
        shared.metrics.watches.with_label_values(&[result]).inc();
        let Some(reason) = reason else { continue };
        log::warn!("config: watch of the key-value service failed: {reason}");
        sleep(backoff.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        backoff = (backoff * 2).min(LONGEST_BACKOFF);
    }
}

async fn take(shared: &Shared, snapshot: Snapshot) {
    await_turn(shared, snapshot.revision).await;
    shared.advance(snapshot, FROM_STORE);
    shared.set_ready();
}

/// Waits until the revision is in force, or no watcher before this one has spread it.
async fn await_turn(shared: &Shared, revision: Revision) {
    let rank = rank_of(shared.link.local(), &shared.link.members()).unwrap_or_default();
    if !*shared.ready.borrow() {
        return;
    }
    let mut revisions = shared.current.subscribe();
    let in_force = async {
        if revisions.wait_for(|current| *current >= revision).await.is_err() {
            pending::<()>().await;
        }
    };
    let _turn_or_in_force = timeout(TURN * rank as u32, in_force).await;
}
