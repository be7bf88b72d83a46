//! Keeps the configuration in force on a node that runs alone.

use std::{sync::Arc, time::Duration};

use lycheelatch_config::{ConfigStore, CurrentConfig};
use lycheelatch_platform::WatchIndex;
use tokio::time::sleep;

use crate::Health;

/// Longest time that one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time between two tries when the key-value service fails.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Watches the key-value service and puts each new revision in force.
pub(crate) async fn watch(store: ConfigStore, current: Arc<CurrentConfig>, health: Arc<Health>) {
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
