//! Keeps the upstreams up to date from the instance list.

use std::{sync::Arc, time::Duration};

use lycheelatch_config::CurrentConfig;
use lycheelatch_platform::InstanceList;
use lycheelatch_proxy::Registry;
use tokio::time::sleep;

use crate::Health;

/// Reads the instance list again and again; while it fails, the last one stays.
pub(crate) async fn poll(
    list: Arc<dyn InstanceList>,
    registry: Arc<Registry>,
    current: Arc<CurrentConfig>,
    health: Arc<Health>,
    interval: Duration,
) {
    let mut was_failing = false;
    loop {
        match list.list().await {
            Ok(listed) => {
                registry.update(&current.get(), listed);
                health.set_upstreams();
                was_failing = false;
            }
            Err(err) if !was_failing => {
                log::warn!("instances: the list can't be read: {err}");
                was_failing = true;
            }
            Err(_) => {}
        }
        sleep(interval).await;
    }
}
