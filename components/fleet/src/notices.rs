//! Polls the cloud API and the instance list for reclaimed instances.
//!
//! Two nodes in each availability zone poll and broadcast the results to the others.

use std::{sync::Arc, time::Duration};

use lycheelatch_peers::{Member, Members};
use lycheelatch_prelude::{NodeId, Sequence};
use lycheelatch_provider::{Cloud, InstanceList};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Finding, InstanceRecord, LeavingInstances, ListObserver, ReclaimGossip, metrics::FleetMetrics,
};

/// Number of polling nodes per availability zone.
const POLLERS_PER_ZONE: usize = 2;

/// Long-polling time of one call for notices.
const NOTICE_WAIT: Duration = Duration::from_secs(20);

/// Time added to the long-polling time for the timeout of the call.
const NOTICE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Interval between two readings of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a node checks whether it has to poll.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Initial backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Returns whether `node` is one of the polling nodes of its availability zone.
pub fn is_poller(node: &NodeId, members: &Members) -> bool {
    let Some(own) = members.0.get(node) else {
        return true;
    };
    let seed = xxh3_64_with_seed(own.zone.as_str().as_bytes(), 0);
    let rank = |id: &NodeId| xxh3_64_with_seed(id.as_str().as_bytes(), seed);
    let is_before = |other: &&Member| {
        other.zone == own.zone && other.id != own.id && rank(&other.id) > rank(node)
    };
    members.usable().filter(is_before).count() < POLLERS_PER_ZONE
}

/// Sources of information about reclaimed instances.
#[derive(Clone)]
pub struct NoticeSources {
    /// Cloud API, if available.
    pub cloud: Option<Arc<dyn Cloud>>,
    /// Instance list.
    pub list: Arc<dyn InstanceList>,
}

/// Polls for reclaimed instances while this node is a polling node.
pub struct ReclaimPoller {
    sources: NoticeSources,
    leaving: LeavingInstances,
    gossip: Arc<ReclaimGossip>,
    metrics: FleetMetrics,
}

impl ReclaimPoller {
    /// Creates a poller.
    pub fn new(
        sources: NoticeSources,
        leaving: LeavingInstances,
        gossip: Arc<ReclaimGossip>,
        metrics: FleetMetrics,
    ) -> ReclaimPoller {
        ReclaimPoller { sources, leaving, gossip, metrics }
    }

    /// Polls until the future is dropped.
    pub async fn run(&self) {
        match &self.sources.cloud {
            Some(cloud) => {
                tokio::join!(self.poll_cloud(cloud), self.poll_list());
            }
            None => self.poll_list().await,
        }
    }

    async fn poll_cloud(&self, cloud: &Arc<dyn Cloud>) {
        let mut after = Sequence(0);
        let mut backoff = MIN_BACKOFF;
        loop {
            self.wait_until_poller().await;
            let call = cloud.reclaim_notices(after, NOTICE_WAIT);
            match timeout(NOTICE_WAIT + NOTICE_TIMEOUT_MARGIN, call).await {
                Ok(Ok(notices)) => {
                    backoff = MIN_BACKOFF;
                    let now = Instant::now();
                    after = notices.iter().map(|n| n.sequence).max().unwrap_or(after).max(after);
                    self.publish(&self.leaving.apply_notices(now, &notices));
                }
                Ok(Err(err)) => {
                    log::warn!("fleet: failed to read reclaim notices: {err}.");
                    backoff = self.back_off(backoff).await;
                }
                Err(_) => {
                    log::warn!("fleet: request for reclaim notices timed out; retrying.");
                    backoff = self.back_off(backoff).await;
                }
            }
        }
    }

    async fn poll_list(&self) {
        let mut observer = ListObserver::new();
        loop {
            self.wait_until_poller().await;
            match timeout(LIST_INTERVAL, self.sources.list.list()).await {
                Ok(Ok(list)) => {
                    let now = Instant::now();
                    let findings = observer.observe(now, &list, &self.leaving);
                    self.publish(&self.apply_findings(now, &findings));
                }
                Ok(Err(err)) => log::warn!("fleet: failed to read the instance list: {err}."),
                Err(_) => log::warn!("fleet: reading the instance list timed out."),
            }
            sleep(LIST_INTERVAL).await;
        }
    }

    fn apply_findings(&self, now: Instant, findings: &[Finding]) -> Vec<InstanceRecord> {
        let apply = |finding: &Finding| match finding {
            Finding::Leaving { instance, remaining } => {
                log::warn!(
                    "fleet: instance {instance} is leaving according to the list, without a notice."
                );
                self.leaving.mark_leaving(now, instance, *remaining)
            }
            Finding::Gone(instance) => {
                log::warn!(
                    "fleet: instance {instance} is missing from the list, without a notice."
                );
                self.leaving.mark_leaving(now, instance, Duration::ZERO)
            }
            Finding::Staying(instance) => {
                log::warn!(
                    "fleet: instance {instance} is still listed as live; dropping its notice."
                );
                self.leaving.mark_staying(now, instance)
            }
        };
        findings.iter().map(apply).collect()
    }

    fn publish(&self, records: &[InstanceRecord]) {
        for record in records {
            self.metrics.count_record(record);
            log::info!("fleet: instance {} is {:?}.", record.instance, record.status);
        }
        self.gossip.broadcast(records);
    }

    async fn wait_until_poller(&self) {
        while !is_poller(self.gossip.local(), &self.gossip.members()) {
            sleep(ROLE_CHECK_INTERVAL).await;
        }
    }

    async fn back_off(&self, backoff: Duration) -> Duration {
        sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        (backoff * 2).min(MAX_BACKOFF)
    }
}
