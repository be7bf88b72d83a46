//! Transfers buffered responses to other nodes and accepts them from other nodes.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use lycheelatch_peers::{PeerError, PeerHandler, PeerLink, Topic};
use lycheelatch_prelude::{NodeId, RequestId};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    Proxy, StreamCommand,
    locate::{REPLICAS, replica_candidates},
    peer_messages::{
        HandoverReply, HandoverRequest, ResumeReply, ResumeRequest, WireResponse, decode, encode,
    },
};

/// Reciprocal of the share of the remaining time that is reserved for the handover.
const RESERVE_DIVISOR: u32 = 3;

/// Maximum time reserved for the handover.
const MAX_RESERVE: Duration = Duration::from_secs(10);

/// Time limit for one node to accept a response.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of concurrent transfers.
const MAX_CONCURRENT_TRANSFERS: usize = 64;

/// Time limit for a running stream to end after its command was sent.
const STREAM_END_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which open requests and running streams are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Result of the handover of a stopping node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HandoverReport {
    /// Number of responses accepted by at least one other node.
    pub handed_over: usize,
    /// Number of responses accepted by no other node.
    pub lost: usize,
}

/// Registers the handlers for messages of other nodes.
pub(crate) fn register_handlers(proxy: &Arc<Proxy>, link: &Arc<dyn PeerLink>) {
    link.register(Topic::Resume, Arc::new(ResumeHandler(proxy.clone())));
    link.register(Topic::Handover, Arc::new(HandoverHandler(proxy.clone())));
}

struct ResumeHandler(Arc<Proxy>);

#[async_trait(?Send)]
impl PeerHandler for ResumeHandler {
    async fn handle(&self, _from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let req: ResumeRequest = decode(&msg).map_err(bad_message)?;
        Ok(encode(&self.reply(&req).await))
    }
}

impl ResumeHandler {
    async fn reply(&self, req: &ResumeRequest) -> ResumeReply {
        let proxy = &self.0;
        let Some(buffered) = proxy
            .response_buffer
            .get(&req.id)
            .filter(|buffered| buffered.workspace == req.workspace)
        else {
            return ResumeReply::NotFound;
        };
        if buffered.outcome.is_some() || !proxy.running.is_running(&req.id) {
            return ResumeReply::Found(buffered.into());
        }
        if !buffered.is_resumable() {
            return ResumeReply::Running;
        }
        end_stream(proxy, &req.id).await;
        match proxy.response_buffer.get(&req.id) {
            Some(buffered) => ResumeReply::Found(buffered.into()),
            None => ResumeReply::NotFound,
        }
    }
}

struct HandoverHandler(Arc<Proxy>);

#[async_trait(?Send)]
impl PeerHandler for HandoverHandler {
    async fn handle(&self, from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let req: HandoverRequest = decode(&msg).map_err(bad_message)?;
        if self.0.is_leaving() {
            return Ok(encode(&HandoverReply::Stopping));
        }
        log::debug!("handover: received request {} from {from}", req.id);
        if !self.0.running.is_running(&req.id) {
            self.0.response_buffer.merge(&req.id, req.response.into());
        }
        Ok(encode(&HandoverReply::Accepted))
    }
}

fn bad_message(err: postcard::Error) -> PeerError {
    PeerError::BadMessage { reason: err.to_string().into() }
}

/// Ends the running stream on this node, so that its buffered response no longer changes.
async fn end_stream(proxy: &Proxy, id: &RequestId) {
    proxy.running.send_command(id, StreamCommand::HandOver);
    let deadline = Instant::now() + STREAM_END_TIMEOUT;
    while proxy.running.is_running(id) && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits for open requests to finish and hands over the rest before `deadline`.
pub(crate) async fn finish_or_hand_over(proxy: &Arc<Proxy>, deadline: Instant) -> HandoverReport {
    let now = Instant::now();
    let time_left = deadline.saturating_duration_since(now);
    let handover_at = deadline - (time_left / RESERVE_DIVISOR).min(MAX_RESERVE);
    while proxy.open_requests() > 0 && Instant::now() < handover_at {
        sleep(POLL_INTERVAL).await;
    }
    let Some(link) = proxy.link() else {
        return HandoverReport::default();
    };
    let transfers = stream::iter(transfer_order(proxy)).map(|id| async move {
        tokio::select! {
            biased;
            accepted = hand_over(proxy, link, &id) => accepted,
            () = sleep_until(deadline) => Some(false),
        }
    });
    let mut transfers = transfers.buffer_unordered(MAX_CONCURRENT_TRANSFERS);
    let mut report = HandoverReport::default();
    while let Some(accepted) = transfers.next().await {
        match accepted {
            Some(true) => report.handed_over += 1,
            Some(false) => report.lost += 1,
            None => {}
        }
    }
    report
}

/// Returns the responses to hand over: running ones first, then the others, newest first.
fn transfer_order(proxy: &Proxy) -> Vec<RequestId> {
    let (mut running, rest): (Vec<_>, Vec<_>) =
        proxy.response_buffer.unfinished().into_iter().partition(|id| proxy.running.is_running(id));
    running.extend(rest);
    running
}

/// Sends a response to other nodes and returns whether any accepted it.
///
/// Returns `None` if the response no longer exists or is not resumable.
async fn hand_over(proxy: &Proxy, link: &Arc<dyn PeerLink>, id: &RequestId) -> Option<bool> {
    if !proxy.response_buffer.get(id)?.is_resumable() {
        return None;
    }
    end_stream(proxy, id).await;
    let buffered = proxy.response_buffer.get(id)?;
    let msg = encode(&HandoverRequest { id: id.clone(), response: WireResponse::from(buffered) });
    let mut copies = 0;
    for node in replica_candidates(&**link, id) {
        if transfer(link, &node, msg.clone()).await {
            copies += 1;
        }
        if copies == REPLICAS {
            break;
        }
    }
    if copies == 0 {
        log::warn!("handover: no node accepted request {id}");
    }
    Some(copies > 0)
}

async fn transfer(link: &Arc<dyn PeerLink>, node: &NodeId, msg: Bytes) -> bool {
    let reply = link.call(node, Topic::Handover, msg, TRANSFER_TIMEOUT).await;
    match reply {
        Ok(reply) => decode(&reply) == Ok(HandoverReply::Accepted),
        Err(err) => {
            log::debug!("handover: transfer to {node} failed: {err}");
            false
        }
    }
}
