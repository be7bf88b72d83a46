//! Updates the registry of upstreams from the instance list.

use std::{sync::Arc, time::Duration};

use lycheelatch_config::CurrentConfig;
use lycheelatch_provider::{InstanceList, ListedInstance};
use lycheelatch_proxy::Registry;
use tokio::time::{Instant, sleep_until};

use crate::Health;

/// Polls the instance list; keeps the previous list while reads fail.
///
/// A new revision of the configuration is applied to the last list at once, since it may have other
/// services.
pub(crate) async fn poll(
    list: Arc<dyn InstanceList>,
    registry: Arc<Registry>,
    current: Arc<CurrentConfig>,
    health: Arc<Health>,
    interval: Duration,
) {
    let mut revisions = current.subscribe();
    let mut config_ready = health.watch_config();
    let mut last = None;
    loop {
        read(list.as_ref(), &mut last).await;
        let next_read = Instant::now() + interval;
        loop {
            // Read before the update, so that the update uses the configuration if this is set.
            let has_config = *config_ready.borrow_and_update();
            revisions.borrow_and_update();
            if let Some(listed) = &last {
                registry.update(&current.get(), listed.clone());
                if has_config {
                    health.set_upstreams();
                }
            }
            tokio::select! {
                () = sleep_until(next_read) => break,
                Ok(()) = revisions.changed() => {}
                Ok(()) = config_ready.changed() => {}
            }
        }
    }
}

async fn read(list: &dyn InstanceList, last: &mut Option<Vec<ListedInstance>>) {
    match list.list().await {
        Ok(listed) => *last = Some(listed),
        Err(err) => {
            log::warn!("instances: failed to read the list, keeping the previous one: {err}")
        }
    }
}
