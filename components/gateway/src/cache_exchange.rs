//! Lets a node that has just started learn which prompts the engines have cached.
//!
//! Nodes tell each other of prompts only when they send them, so a new process would know
//! nothing of earlier ones and have them processed again.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::Uri;
use lycheelatch_prelude::UpstreamId;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::{
    Gateway,
    directory::Upstream,
    messages::{decode_links, encode_links},
    peer_http::{FetchError, connect, get},
};

#[cfg(test)]
mod tests;

/// Path of a node's picture of the engines' caches.
pub(crate) const CACHES_PATH: &str = "/caches";

/// Maximum number of prefixes of one engine.
const MAX_PREFIXES: usize = 48;

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time after the start from which a node has seen enough requests itself.
const GIVE_UP_AFTER: Duration = Duration::from_secs(6);

/// Prefixes that an engine is assumed to have cached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EngineCache {
    upstream: UpstreamId,
    /// Hash and tokens of each prefix.
    links: Vec<(u64, u32)>,
}

/// Returns this node's picture of the engines' caches.
pub(crate) fn engine_caches(gateway: &Gateway) -> Vec<EngineCache> {
    let upstreams = gateway.directory.all();
    let caches = upstreams.iter().map(|up| EngineCache {
        upstream: up.id(),
        links: encode_links(&up.load.borrow().shared_cache(MAX_PREFIXES)),
    });
    caches.filter(|cache| !cache.links.is_empty()).collect()
}

/// Fetches the picture of another node, preferably of the same availability zone, once.
///
/// When the whole cluster starts for the first time, no node has one.
pub(crate) async fn learn_caches(gateway: Rc<Gateway>) {
    if gateway.settings.is_first_start {
        return;
    }
    let started = Instant::now();
    while started.elapsed() < GIVE_UP_AFTER {
        sleep(RETRY_INTERVAL).await;
        let Some(address) = node_to_ask(&gateway) else { continue };
        match fetch_caches(address).await {
            Ok(caches) if caches.is_empty() => {}
            Ok(caches) => {
                apply_caches(&gateway, &caches);
                return;
            }
            Err(err) => log::debug!("peers: failed to fetch the caches of {address}: {err}"),
        }
    }
}

fn node_to_ask(gateway: &Gateway) -> Option<SocketAddr> {
    if !gateway.is_initialized() {
        return None;
    }
    let now = Instant::now();
    let near = gateway.peers.borrow().live_in_zone(&gateway.settings.zone, now);
    if let Some((_, address)) = near.choose(&mut rand::rng()) {
        return Some(*address);
    }
    gateway.peers.borrow().live_addresses(now).choose(&mut rand::rng()).copied()
}

async fn fetch_caches(address: SocketAddr) -> Result<Vec<EngineCache>, FetchError> {
    let mut connection = connect(address).await?;
    let uri = Uri::from_static(CACHES_PATH);
    Ok(get(&mut connection, uri, Duration::ZERO).await?.resource)
}

fn apply_caches(gateway: &Gateway, caches: &[EngineCache]) {
    let now = Instant::now();
    for cache in caches {
        if let Some(upstream) = gateway.directory.get(&cache.upstream) {
            record_prompt(gateway, &upstream, &cache.links, now);
        }
    }
}

/// Records in the engine's estimated prefix cache a prompt that another node sent to it.
pub(crate) fn record_prompt(
    gateway: &Gateway,
    upstream: &Upstream,
    links: &[(u64, u32)],
    now: Instant,
) {
    let Some(table) = gateway.table() else { return };
    let service = upstream.entry.borrow().service.clone();
    let engine = table.service(&service).and_then(|service| service.engine.as_ref());
    let memory = engine.map_or(0, |engine| engine.memory_tokens);
    upstream.load.borrow_mut().record_prefixes(&decode_links(links), memory, now);
}
