//! Tasks that apply new revisions of the configuration and adjust the call budget.

use std::{sync::Arc, time::Duration};

use lycheelatch_config::{ConfigStore, CurrentConfig};
use lycheelatch_peers::Members;
use lycheelatch_provider::{KvCallBudget, WatchIndex};
use tokio::{sync::watch, time::sleep};

use crate::Health;

/// Maximum wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Delay before a retry when the key-value service fails.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Watches the key-value service for new revisions and applies them, on a node without peers.
pub(crate) async fn watch(
    store: Arc<ConfigStore>,
    current: Arc<CurrentConfig>,
    health: Arc<Health>,
) {
    let mut index = WatchIndex::default();
    loop {
        match store.watch(index, WATCH_WAIT).await {
            Ok((next, snapshot)) => {
                index = next;
                if let Some(snapshot) = snapshot {
                    let revision = snapshot.revision;
                    if current.advance(snapshot) {
                        log::info!("config: revision {revision} is in force");
                    }
                }
                health.set_config();
            }
            Err(err) => {
                log::warn!("config: failed to read the configuration: {err}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Marks the configuration as ready once the replica from the peers is up to date.
pub(crate) async fn await_ready(mut ready: watch::Receiver<bool>, health: Arc<Health>) {
    if ready.wait_for(|ready| *ready).await.is_ok() {
        health.set_config();
    }
}

/// Adjusts the node's share of the calls to the key-value service when the members change.
pub(crate) async fn share_budget(
    mut members: watch::Receiver<Arc<Members>>,
    budget: Arc<KvCallBudget>,
) {
    loop {
        let usable = members.borrow_and_update().usable_count();
        budget.set_member_count(usable);
        if members.changed().await.is_err() {
            return;
        }
    }
}
