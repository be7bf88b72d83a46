//! Listens for reclaims at the cloud API and at the instance list.
//!
//! A few nodes in each availability zone ask; they spread what they hear.

use std::{sync::Arc, time::Duration};

use lycheelatch_peers::{Member, Members};
use lycheelatch_prelude::{NodeId, Sequence};
use lycheelatch_provider::{Cloud, InstanceList};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Finding, LeavingInstances, ListObserver, ReclaimGossip, Record, metrics::FleetMetrics,
};

/// Nodes of each availability zone that listen.
const POLLERS_PER_ZONE: usize = 2;

/// Longest wait of one call for notices.
const NOTICE_WAIT: Duration = Duration::from_secs(20);

/// Time beyond the wait after which a call for notices is given up.
const NOTICE_GRACE: Duration = Duration::from_secs(2);

/// Time between two readings of the instance list.
const LIST_EVERY: Duration = Duration::from_secs(2);

/// Time between two looks at whether this node is to listen.
const ROLE_EVERY: Duration = Duration::from_millis(500);

/// Shortest pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Returns whether `node` is one of the few of its availability zone that listen.
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

/// Where reclaims are heard of.
#[derive(Clone)]
pub struct NoticeSources {
    /// The cloud API, if there is one.
    pub cloud: Option<Arc<dyn Cloud>>,
    /// The instance list.
    pub list: Arc<dyn InstanceList>,
}

/// Listens for reclaims while this node is one of the few that do.
pub struct ReclaimListener {
    sources: NoticeSources,
    leaving: LeavingInstances,
    spread: Arc<ReclaimGossip>,
    metrics: FleetMetrics,
}

impl ReclaimListener {
    /// Creates a listener.
    pub fn new(
        sources: NoticeSources,
        leaving: LeavingInstances,
        spread: Arc<ReclaimGossip>,
        metrics: FleetMetrics,
    ) -> ReclaimListener {
        ReclaimListener { sources, leaving, spread, metrics }
    }

    /// Listens for as long as it is polled.
    pub async fn run(&self) {
        match &self.sources.cloud {
            Some(cloud) => {
                tokio::join!(self.follow_cloud(cloud), self.follow_list());
            }
            None => self.follow_list().await,
        }
    }

    async fn follow_cloud(&self, cloud: &Arc<dyn Cloud>) {
        let mut after = Sequence(0);
        let mut pause = MIN_PAUSE;
        loop {
            self.wait_for_role().await;
            let call = cloud.reclaim_notices(after, NOTICE_WAIT);
            match timeout(NOTICE_WAIT + NOTICE_GRACE, call).await {
                Ok(Ok(notices)) => {
                    pause = MIN_PAUSE;
                    let now = Instant::now();
                    after = notices.iter().map(|n| n.sequence).max().unwrap_or(after).max(after);
                    self.tell(&self.leaving.take_notices(now, &notices));
                }
                Ok(Err(err)) => {
                    log::warn!("fleet: reclaim notices can't be read: {err}.");
                    pause = self.rest(pause).await;
                }
                Err(_) => {
                    log::warn!("fleet: the cloud API is silent; asking again.");
                    pause = self.rest(pause).await;
                }
            }
        }
    }

    async fn follow_list(&self) {
        let mut observer = ListObserver::new();
        loop {
            self.wait_for_role().await;
            match timeout(LIST_EVERY, self.sources.list.list()).await {
                Ok(Ok(list)) => {
                    let now = Instant::now();
                    let findings = observer.observe(now, &list, &self.leaving);
                    self.tell(&self.take_findings(now, &findings));
                }
                Ok(Err(err)) => log::warn!("fleet: the instance list can't be read: {err}."),
                Err(_) => log::warn!("fleet: the instance list is silent."),
            }
            sleep(LIST_EVERY).await;
        }
    }

    fn take_findings(&self, now: Instant, findings: &[Finding]) -> Vec<Record> {
        let take = |finding: &Finding| match finding {
            Finding::Leaves { instance, remaining } => {
                log::warn!("fleet: instance {instance} leaves by the list; no notice came.");
                self.leaving.mark_leaving(now, instance, *remaining)
            }
            Finding::Gone(instance) => {
                log::warn!("fleet: instance {instance} is gone from the list; no notice came.");
                self.leaving.mark_leaving(now, instance, Duration::ZERO)
            }
            Finding::Stays(instance) => {
                log::warn!("fleet: instance {instance} is still live; its notice is dropped.");
                self.leaving.mark_staying(now, instance)
            }
        };
        findings.iter().map(take).collect()
    }

    fn tell(&self, fresh: &[Record]) {
        for record in fresh {
            self.metrics.count_statement(record);
            log::info!("fleet: instance {} is {:?}.", record.instance, record.standing);
        }
        self.spread.send(fresh);
    }

    async fn wait_for_role(&self) {
        while !is_poller(self.spread.local(), &self.spread.members()) {
            sleep(ROLE_EVERY).await;
        }
    }

    async fn rest(&self, pause: Duration) -> Duration {
        sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        (pause * 2).min(MAX_PAUSE)
    }
}
