//! Seeds beyond those of the settings: where to find a first member.
//!
//! A source may be out, lag or be wrong; its seeds are only tried. Within an
//! availability zone the first watcher publishes a few addresses to the
//! key-value service, and only when they change. Nodes read sources while
//! they know no other member; first watchers read them now and then as well,
//! so that parts of the cluster that forgot each other meet again.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{ServiceName, ZoneName};
use lycheelatch_provider::{
    CasOutcome, InstanceList, InstanceListError, KeyValue, KvError, KvKey, ListedState,
};
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep, timeout},
};

use crate::{Members, PeerLink, QuicLink, watchers};

/// Prefix of the keys under which each availability zone publishes its seeds.
const SEEDS_PREFIX: &str = "peers/seeds/";
/// Addresses that an availability zone publishes.
const SEEDS_PER_ZONE: usize = 4;
/// Most addresses taken from all sources together.
const MAX_SEEDS: usize = 64;
/// Time between reads while no other member is known.
const ALONE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between reads of a first watcher.
const WATCHER_INTERVAL: Duration = Duration::from_secs(10 * 60);
/// Shortest time between checks of what is published.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time between checks of what is published.
const PUBLISH_CHECK: Duration = Duration::from_secs(60);
/// Time that one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a source gave no seeds.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SeedError {
    /// {0}
    Kv(KvError),
    /// {0}
    List(InstanceListError),
    /// the source does not answer
    Timeout,
}

impl std::error::Error for SeedError {}

/// Lists addresses at which nodes of this cluster may be found.
#[async_trait(?Send)]
pub trait SeedSource: Send + Sync {
    /// Reads the addresses.
    async fn seeds(&self) -> Result<Vec<SocketAddr>, SeedError>;
}

/// Seeds that nodes published to the key-value service.
pub struct KvSeeds(pub Arc<dyn KeyValue>);

#[async_trait(?Send)]
impl SeedSource for KvSeeds {
    async fn seeds(&self) -> Result<Vec<SocketAddr>, SeedError> {
        let entries = self.0.list(&KvKey::new(SEEDS_PREFIX)).await.map_err(SeedError::Kv)?;
        Ok(entries.iter().flat_map(|entry| decode(&entry.value)).collect())
    }
}

/// Seeds from the instance list: the instances of the service that stands for the nodes.
pub struct InstanceListSeeds {
    /// The instance list.
    pub list: Arc<dyn InstanceList>,
    /// Name under which the list has the nodes.
    pub service: ServiceName,
    /// Port of the peer endpoint on each of them.
    pub port: u16,
}

#[async_trait(?Send)]
impl SeedSource for InstanceListSeeds {
    async fn seeds(&self) -> Result<Vec<SocketAddr>, SeedError> {
        let listed = self.list.list().await.map_err(SeedError::List)?;
        let is_node = |i: &&lycheelatch_provider::ListedInstance| {
            i.service == self.service && i.state == ListedState::Live
        };
        let addr = |i: &lycheelatch_provider::ListedInstance| (i.addr.ip(), self.port).into();
        Ok(listed.iter().filter(is_node).map(addr).collect())
    }
}

/// Finds seeds for a link and publishes those of its availability zone.
pub struct SeedDiscovery(Vec<JoinHandle<()>>);

impl SeedDiscovery {
    /// Starts to read `sources` and to publish to `kv`; must be called within an actix arbiter.
    pub fn start(
        link: Arc<QuicLink>,
        sources: Vec<Arc<dyn SeedSource>>,
        kv: Arc<dyn KeyValue>,
    ) -> SeedDiscovery {
        SeedDiscovery(vec![
            spawn_local(read_sources(link.clone(), sources)),
            spawn_local(publish_changes(link, kv)),
        ])
    }
}

impl Drop for SeedDiscovery {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

async fn read_sources(link: Arc<QuicLink>, sources: Vec<Arc<dyn SeedSource>>) {
    let mut last_read: Option<Instant> = None;
    loop {
        let members = link.members();
        let is_alone = members.usable_count() <= 1;
        let is_due = last_read.is_none_or(|at| at.elapsed() >= WATCHER_INTERVAL);
        if is_alone || (is_due && first_watcher_zone(&link, &members).is_some()) {
            last_read = Some(Instant::now());
            link.set_discovered_seeds(read_all(&sources).await);
        }
        sleep(ALONE_INTERVAL).await;
    }
}

async fn read_all(sources: &[Arc<dyn SeedSource>]) -> Vec<SocketAddr> {
    let mut found = Vec::new();
    for source in sources {
        let read = timeout(CALL_TIMEOUT, source.seeds()).await.unwrap_or(Err(SeedError::Timeout));
        match read {
            Ok(seeds) => found.extend(seeds),
            Err(err) => log::warn!("peers: a source of seeds failed: {err}"),
        }
    }
    found.truncate(MAX_SEEDS);
    found
}

/// Returns the zone of this node if the node is its first watcher.
fn first_watcher_zone(link: &QuicLink, members: &Members) -> Option<ZoneName> {
    let zone = &members.0.get(link.local())?.zone;
    let first = watchers(members).remove(zone)?.into_iter().next();
    (first.as_ref() == Some(link.local())).then(|| zone.clone())
}

async fn publish_changes(link: Arc<QuicLink>, kv: Arc<dyn KeyValue>) {
    let mut changes = link.watch_members();
    let mut published = Vec::new();
    loop {
        let members = link.members();
        if let Some(zone) = first_watcher_zone(&link, &members) {
            let wanted = seeds_of(&zone, &members, &published);
            if wanted != published {
                match timeout(CALL_TIMEOUT, publish(&kv, &zone, &wanted)).await {
                    Ok(Ok(CasOutcome::Written)) => published = wanted,
                    Ok(Ok(CasOutcome::Conflict)) => {}
                    Ok(Err(err)) => log::warn!("peers: seeds were not published: {err}"),
                    Err(_) => log::warn!("peers: seeds were not published in time"),
                }
            }
        } else {
            published.clear();
        }
        sleep(PUBLISH_INTERVAL).await;
        let _changed_or_due = timeout(PUBLISH_CHECK, changes.changed()).await;
    }
}

/// Returns the addresses to publish: those published that still live, and others to fill up.
fn seeds_of(zone: &ZoneName, members: &Members, published: &[SocketAddr]) -> Vec<SocketAddr> {
    let live: BTreeSet<SocketAddr> =
        members.usable().filter(|m| m.zone == *zone).map(|m| m.addr).collect();
    let mut seeds: Vec<SocketAddr> =
        published.iter().copied().filter(|addr| live.contains(addr)).collect();
    let others = live.iter().copied().filter(|addr| !published.contains(addr));
    seeds.extend(others);
    seeds.truncate(SEEDS_PER_ZONE);
    seeds
}

async fn publish(
    kv: &Arc<dyn KeyValue>,
    zone: &ZoneName,
    seeds: &[SocketAddr],
) -> Result<CasOutcome, KvError> {
    let key = KvKey::new(&format!("{SEEDS_PREFIX}{zone}"));
    let entry = kv.get(&key).await?;
    let value = encode(&with_unknown(seeds, entry.as_ref().map(|entry| &*entry.value)));
    if entry.as_ref().is_some_and(|entry| entry.value == value) {
        return Ok(CasOutcome::Written);
    }
    kv.compare_and_swap(&key, entry.map(|entry| entry.version), value.into()).await
}

/// Adds earlier addresses as far as there is room: a node that lost the others may not know them.
fn with_unknown(seeds: &[SocketAddr], earlier: Option<&[u8]>) -> Vec<SocketAddr> {
    let mut all = seeds.to_vec();
    let earlier = earlier.map(decode).unwrap_or_default();
    all.extend(earlier.into_iter().filter(|addr| !seeds.contains(addr)));
    all.truncate(SEEDS_PER_ZONE);
    all
}

/// Encodes addresses as text, one a line, so that operators can read them.
fn encode(seeds: &[SocketAddr]) -> String {
    seeds.iter().map(|addr| format!("{addr}\n")).collect()
}

/// Decodes addresses and leaves out lines that hold none.
fn decode(value: &[u8]) -> Vec<SocketAddr> {
    String::from_utf8_lossy(value).lines().filter_map(|line| line.parse().ok()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decode_skips_what_is_no_address() {
        let seeds = decode(b"10.0.0.1:7946\nnonsense\n\xff\n[::1]:1\n");
        assert_eq!(seeds, ["10.0.0.1:7946".parse().unwrap(), "[::1]:1".parse().unwrap()]);
        assert_eq!(decode(encode(&seeds).as_bytes()), seeds);
    }
}
