//! Stops a node in good order.

use std::time::Duration;

use lycheelatch_proxy::HandoverReport;
use tokio::time::{Instant, sleep, timeout_at};

use crate::Node;

/// Time between two looks at the requests that are still open.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Part of the notice for which a node that is no longer ready goes on to accept.
const ACCEPT_SHARE: u32 = 10;

/// Longest time for which a node that is no longer ready goes on to accept.
const MAX_ACCEPT: Duration = Duration::from_secs(3);

impl Node {
    /// Stops in good order within the notice.
    pub async fn stop(self) {
        let ends = Instant::now() + self.notice;
        self.health.set_stopping();
        self.proxy.start_leaving();
        self.leave_others(ends).await;
        // The balancer goes on to send requests until it has seen the node as not ready.
        sleep((self.notice / ACCEPT_SHARE).min(MAX_ACCEPT)).await;
        self.proxy.stop_accepting();
        self.finish_requests(ends).await;
        let left = self.proxy.open_requests();
        if left > 0 {
            log::warn!("node: {left} requests are cut off by the stop");
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
        log::info!("node: {} has stopped", self.id);
    }

    /// Tells the other nodes, and hands on what this one decides for services.
    async fn leave_others(&self, ends: Instant) {
        if let Some(link) = &self.link {
            link.leave().await;
        }
        if let Some(cluster) = &self.cluster
            && timeout_at(ends, cluster.hand_on()).await.is_err()
        {
            log::warn!("node: leases are not handed on, they end by themselves");
        }
    }

    /// Lets requests finish, or hands them over, and records what is owed for them.
    async fn finish_requests(&self, ends: Instant) {
        let report = self.proxy.hand_over(ends).await;
        if report != HandoverReport::default() {
            let HandoverReport { handed_over, lost } = report;
            log::info!("node: {handed_over} answers are handed over, {lost} are lost");
        }
        while self.proxy.open_requests() > 0 && Instant::now() < ends {
            sleep(STOP_POLL).await;
        }
        let unsettled = self.proxy.drain_settlements(ends).await;
        if unsettled > 0 {
            log::warn!("node: {unsettled} settlements are not recorded");
        }
    }
}
