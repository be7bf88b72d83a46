//! Discovery of seeds in addition to those in the settings.
//!
//! A seed is an address used to contact the first other member. A source may
//! be unavailable, stale or wrong, so nodes only try to connect to its seeds and
//! do not rely on them. The primary watcher of each availability zone publishes a
//! few addresses to the key-value service, and only when they change. A node reads the sources
//! while it knows no other member. Primary watchers also read them
//! periodically, so that partitions which have removed each other's members
//! can merge again.

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

/// Prefix of the keys that hold the published seeds of each availability zone.
const SEEDS_PREFIX: &str = "peers/seeds/";
/// Number of addresses published per availability zone.
const SEEDS_PER_ZONE: usize = 4;
/// Maximum number of addresses used from all sources together.
const MAX_SEEDS: usize = 64;
/// Interval between reads of the sources while no other member is known.
const ISOLATED_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between reads of the sources by a primary watcher.
const WATCHER_READ_INTERVAL: Duration = Duration::from_secs(10 * 60);
/// Minimum interval between checks whether the published seeds need an update.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum interval between checks whether the published seeds need an update.
const MAX_PUBLISH_INTERVAL: Duration = Duration::from_secs(60);
/// Timeout of a call to a source or to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Error from reading a source of seeds.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SeedError {
    /// {0}
    Kv(KvError),
    /// {0}
    List(InstanceListError),
    /// the source did not respond within 5 s
    Timeout,
}

impl std::error::Error for SeedError {}

/// Lists addresses at which nodes of this cluster may be reachable.
#[async_trait(?Send)]
pub trait SeedSource: Send + Sync {
    /// Reads the addresses.
    ///
    /// # Errors
    /// Fails if the source can't be read.
    async fn seeds(&self) -> Result<Vec<SocketAddr>, SeedError>;
}

/// Seeds that nodes have published to the key-value service.
pub struct KvSeeds(pub Arc<dyn KeyValue>);

#[async_trait(?Send)]
impl SeedSource for KvSeeds {
    async fn seeds(&self) -> Result<Vec<SocketAddr>, SeedError> {
        let entries = self.0.list(&KvKey::new(SEEDS_PREFIX)).await.map_err(SeedError::Kv)?;
        Ok(entries.iter().flat_map(|entry| decode(&entry.value)).collect())
    }
}

/// Seeds from the instance list: the live instances of the service that the nodes belong to.
pub struct InstanceListSeeds {
    /// The instance list.
    pub list: Arc<dyn InstanceList>,
    /// Service name of the nodes in the list.
    pub service: ServiceName,
    /// Port of the peer endpoint on each node.
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

/// Discovers seeds for a link and publishes those of its availability zone.
pub struct SeedDiscovery(Vec<JoinHandle<()>>);

impl SeedDiscovery {
    /// Starts reading `sources` and publishing to `kv`; must be called within an actix arbiter.
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
        let is_isolated = members.usable_count() <= 1;
        let is_due = last_read.is_none_or(|at| at.elapsed() >= WATCHER_READ_INTERVAL);
        if is_isolated || (is_due && primary_watcher_zone(&link, &members).is_some()) {
            last_read = Some(Instant::now());
            link.set_discovered_seeds(read_all(&sources).await);
        }
        sleep(ISOLATED_READ_INTERVAL).await;
    }
}

async fn read_all(sources: &[Arc<dyn SeedSource>]) -> Vec<SocketAddr> {
    let mut found = Vec::new();
    for source in sources {
        let read = timeout(CALL_TIMEOUT, source.seeds()).await.unwrap_or(Err(SeedError::Timeout));
        match read {
            Ok(seeds) => found.extend(seeds),
            Err(err) => log::warn!("peers: failed to read a source of seeds: {err}"),
        }
    }
    found.truncate(MAX_SEEDS);
    found
}

/// Returns the zone of the local node if the node is the zone's primary (first-ranked) watcher.
fn primary_watcher_zone(link: &QuicLink, members: &Members) -> Option<ZoneName> {
    let zone = &members.0.get(link.local())?.zone;
    let first = watchers(members).remove(zone)?.into_iter().next();
    (first.as_ref() == Some(link.local())).then(|| zone.clone())
}

async fn publish_changes(link: Arc<QuicLink>, kv: Arc<dyn KeyValue>) {
    let mut changes = link.watch_members();
    let mut published = Vec::new();
    loop {
        let members = link.members();
        if let Some(zone) = primary_watcher_zone(&link, &members) {
            let seeds = pick_seeds(&zone, &members, &published);
            if seeds != published {
                match timeout(CALL_TIMEOUT, publish(&kv, &zone, &seeds)).await {
                    Ok(Ok(CasOutcome::Written)) => published = seeds,
                    Ok(Ok(CasOutcome::Conflict)) => {}
                    Ok(Err(err)) => {
                        log::warn!("peers: failed to publish the seeds of zone {zone}: {err}")
                    }
                    Err(_) => log::warn!("peers: publishing the seeds of zone {zone} timed out"),
                }
            }
        } else {
            published.clear();
        }
        sleep(MIN_PUBLISH_INTERVAL).await;
        let _changed_or_due = timeout(MAX_PUBLISH_INTERVAL, changes.changed()).await;
    }
}

/// Returns the addresses to publish: published ones that are still usable, then others.
fn pick_seeds(zone: &ZoneName, members: &Members, published: &[SocketAddr]) -> Vec<SocketAddr> {
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
    let value = encode(&merge_published(seeds, entry.as_ref().map(|entry| &*entry.value)));
    if entry.as_ref().is_some_and(|entry| entry.value == value) {
        return Ok(CasOutcome::Written);
    }
    kv.compare_and_swap(&key, entry.map(|entry| entry.version), value.into()).await
}

/// Fills up `seeds` with the addresses in the stored entry, up to the maximum.
///
/// An address in the entry may belong to a member that this node does not know
/// because it is partitioned from it.
fn merge_published(seeds: &[SocketAddr], earlier: Option<&[u8]>) -> Vec<SocketAddr> {
    let mut all = seeds.to_vec();
    let earlier = earlier.map(decode).unwrap_or_default();
    all.extend(earlier.into_iter().filter(|addr| !seeds.contains(addr)));
    all.truncate(SEEDS_PER_ZONE);
    all
}

/// Encodes addresses as text, one per line, so that operators can read them.
fn encode(seeds: &[SocketAddr]) -> String {
    seeds.iter().map(|addr| format!("{addr}\n")).collect()
}

/// Decodes addresses and skips invalid lines.
fn decode(value: &[u8]) -> Vec<SocketAddr> {
    String::from_utf8_lossy(value).lines().filter_map(|line| line.parse().ok()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decode_invalid_lines_are_skipped() {
        let seeds = decode(b"10.0.0.1:7946\nnonsense\n\xff\n[::1]:1\n");
        assert_eq!(seeds, ["10.0.0.1:7946".parse().unwrap(), "[::1]:1".parse().unwrap()]);
        assert_eq!(decode(encode(&seeds).as_bytes()), seeds);
    }
}
