//! Polls the load reports and cache events of engines.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use lycheelatch_prelude::{NodeId, Sequence, UpstreamId};
use lycheelatch_upstream::{Engine, UpstreamError};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::LoadControl;
use crate::UpstreamClient;

/// Interval between polls of an engine.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of engines that one node polls; each node polls a different subset.
const MAX_POLLED: usize = 24;

/// Returns the seed for random choices of a node.
pub fn node_seed(node: &NodeId) -> u64 {
    xxh3_64(node.as_str().as_bytes())
}

/// Periodically polls the load reports and cache events of the engines assigned to this node.
pub async fn poll_engines(control: Arc<LoadControl>, node: NodeId) {
    let seed = node_seed(&node);
    let mut last_events: HashMap<UpstreamId, Sequence> = HashMap::new();
    loop {
        let engines = polled_engines(&control, seed);
        last_events.retain(|id, _| engines.iter().any(|(engine, _)| engine == id));
        let readings = engines.iter().map(|(id, engine)| {
            let last_event = last_events.get(id).copied().unwrap_or_default();
            poll_engine(&control, id, engine.as_ref(), last_event)
        });
        for (id, last) in join_all(readings).await.into_iter().flatten() {
            last_events.insert(id, last);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the engines that this node polls.
fn polled_engines(control: &LoadControl, seed: u64) -> Vec<(UpstreamId, Arc<dyn Engine>)> {
    let mut engines: Vec<(UpstreamId, Arc<dyn Engine>)> = control
        .registry
        .all()
        .iter()
        .filter_map(|upstream| match &upstream.client {
            UpstreamClient::Engine(engine) => Some((upstream.id().clone(), engine.clone())),
            UpstreamClient::Plain(_) => None,
        })
        .collect();
    if engines.len() > MAX_POLLED {
        engines.sort_by_key(|(id, _)| xxh3_64_with_seed(id.as_str().as_bytes(), seed));
        engines.truncate(MAX_POLLED);
    }
    engines
}

/// Polls an engine and returns the sequence number of its last cache event.
async fn poll_engine(
    control: &LoadControl,
    id: &UpstreamId,
    engine: &dyn Engine,
    after: Sequence,
) -> Option<(UpstreamId, Sequence)> {
    let reading = async {
        let report = engine.load_report().await?;
        control.apply_load_report(id, &report);
        let events = engine.cache_events(after).await?;
        control.apply_cache_events(id, &events);
        Ok::<Sequence, UpstreamError>(events.last)
    };
    match timeout(POLL_TIMEOUT, reading).await {
        Ok(Ok(last)) => Some((id.clone(), last)),
        Ok(Err(err)) => {
            log::debug!("load: poll of upstream {id} failed: {err}");
            None
        }
        Err(_) => {
            log::debug!("load: poll of upstream {id} timed out");
            None
        }
    }
}
