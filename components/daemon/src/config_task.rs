//! Keeps the configuration in force, and the budget of calls in proportion.

use std::{sync::Arc, time::Duration};

use lycheelatch_config::{ConfigStore, CurrentConfig};
use lycheelatch_peers::Members;
use lycheelatch_provider::{KvCallBudget, WatchIndex};
use tokio::{sync::watch, time::sleep};

use crate::Health;

/// Longest time that one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time between two tries when the key-value service fails.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Watches the key-value service, on a node that runs alone, and puts each new revision in force.
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
                log::warn!("config: the configuration can't be read: {err}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Notes when the configuration that peers spread is the latest.
pub(crate) async fn await_ready(mut ready: watch::Receiver<bool>, health: Arc<Health>) {
    if ready.wait_for(|ready| *ready).await.is_ok() {
        health.set_config();
    }
}

/// Keeps the node's share of calls to the key-value service in step with the members.
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
