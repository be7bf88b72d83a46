//! Graceful shutdown of a node.

use std::time::Duration;

use lycheelatch_proxy::HandoverReport;
use tokio::time::{Instant, sleep, timeout_at};

use crate::Node;

/// Interval at which the number of open requests is checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The notice period divided by this is the time for which a node that is no longer ready still
/// accepts requests.
const ACCEPT_DIVISOR: u32 = 10;

/// Maximum time for which a node that is no longer ready still accepts requests.
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(3);

impl Node {
    /// Shuts the node down gracefully within the notice period.
    pub async fn stop(self) {
        let deadline = Instant::now() + self.notice;
        self.health.set_stopping();
        self.proxy.start_leaving();
        self.leave_cluster(deadline).await;
        // The load balancer keeps sending requests until its readiness check fails.
        sleep((self.notice / ACCEPT_DIVISOR).min(MAX_ACCEPT_TIME)).await;
        self.proxy.stop_accepting();
        self.finish_requests(deadline).await;
        let left = self.proxy.open_requests();
        if left > 0 {
            log::warn!(
                "node: aborting {left} requests that are still open at the end of the notice period"
            );
        }
        for server in &self.servers {
            server.stop(left == 0).await;
        }
        for task in &self.tasks {
            task.abort();
        }
        if let Some(link) = &self.link {
            link.shutdown().await;
        }
        log::info!("node: {} stopped", self.id);
    }

    /// Leaves the membership and releases the leases that this node holds.
    async fn leave_cluster(&self, deadline: Instant) {
        if let Some(link) = &self.link {
            link.leave().await;
        }
        if let Some(cluster) = &self.cluster
            && timeout_at(deadline, cluster.release_shards()).await.is_err()
        {
            log::warn!("node: leases were not released in time and will expire");
        }
    }

    /// Hands requests over to other nodes, waits for the rest and records the settlements.
    async fn finish_requests(&self, deadline: Instant) {
        let report = self.proxy.hand_over(deadline).await;
        if report != HandoverReport::default() {
            let HandoverReport { handed_over, lost } = report;
            log::info!("node: handed over {handed_over} responses, lost {lost}");
        }
        while self.proxy.open_requests() > 0 && Instant::now() < deadline {
            sleep(STOP_POLL_INTERVAL).await;
        }
        let unsettled = self.proxy.drain_settlements(deadline).await;
        if unsettled > 0 {
            log::warn!("node: {unsettled} settlements were not recorded");
        }
    }
}
