//! Hands answers over to other nodes, and takes them from others.

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
        HandoverReply, HandoverRequest, ResumeReply, ResumeRequest, WireAnswer, decode, encode,
    },
};

/// Part of the time before the end that is kept for the handover.
const RESERVE_SHARE: u32 = 3;

/// Longest time that is kept for the handover.
const MAX_RESERVE: Duration = Duration::from_secs(10);

/// Longest wait for one node to take an answer.
const TAKE_TIMEOUT: Duration = Duration::from_millis(300);

/// Answers that are sent at the same time.
const SENT_AT_ONCE: usize = 64;

/// Longest wait for a running answer to end after it was told to.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between two looks at whether requests are still open.
const POLL: Duration = Duration::from_millis(10);

/// What became of the answers of a node that stopped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HandoverReport {
    /// Answers that another node keeps now.
    pub handed_over: usize,
    /// Answers that no other node took.
    pub lost: usize,
}

/// Links a proxy to those of other nodes.
pub(crate) fn register_handlers(proxy: &Arc<Proxy>, link: &Arc<dyn PeerLink>) {
    link.register(Topic::Resume, Arc::new(ResumeHandler(proxy.clone())));
    link.register(Topic::Handover, Arc::new(HandoverHandler(proxy.clone())));
}

struct ResumeHandler(Arc<Proxy>);

#[async_trait(?Send)]
impl PeerHandler for ResumeHandler {
    async fn handle(&self, _from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let ask: ResumeRequest = decode(&msg).map_err(bad_message)?;
        Ok(encode(&self.reply(&ask).await))
    }
}

impl ResumeHandler {
    async fn reply(&self, ask: &ResumeRequest) -> ResumeReply {
        let proxy = &self.0;
        let Some(kept) =
            proxy.response_buffer.get(&ask.id).filter(|k| k.workspace == ask.workspace)
        else {
            return ResumeReply::NotFound;
        };
        if kept.outcome.is_some() || !proxy.running.is_running(&ask.id) {
            return ResumeReply::Found(kept.into());
        }
        if !kept.is_resumable() {
            return ResumeReply::Running;
        }
        end_running(proxy, &ask.id).await;
        match proxy.response_buffer.get(&ask.id) {
            Some(kept) => ResumeReply::Found(kept.into()),
            None => ResumeReply::NotFound,
        }
    }
}

struct HandoverHandler(Arc<Proxy>);

#[async_trait(?Send)]
impl PeerHandler for HandoverHandler {
    async fn handle(&self, from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let ask: HandoverRequest = decode(&msg).map_err(bad_message)?;
        if self.0.is_leaving() {
            return Ok(encode(&HandoverReply::Stopping));
        }
        log::debug!("handover: request {} comes from {from}", ask.id);
        if !self.0.running.is_running(&ask.id) {
            self.0.response_buffer.merge(&ask.id, ask.answer.into());
        }
        Ok(encode(&HandoverReply::Accepted))
    }
}

fn bad_message(err: postcard::Error) -> PeerError {
    PeerError::BadMessage { reason: err.to_string().into() }
}

/// Ends a running answer here, so that what is kept of it grows no more.
async fn end_running(proxy: &Proxy, id: &RequestId) {
    proxy.running.send_command(id, StreamCommand::HandOver);
    let ends = Instant::now() + END_TIMEOUT;
    while proxy.running.is_running(id) && Instant::now() < ends {
        sleep(POLL).await;
    }
}

/// Lets requests finish, and hands over what can't before `ends`.
pub(crate) async fn finish_or_hand_over(proxy: &Arc<Proxy>, ends: Instant) -> HandoverReport {
    let now = Instant::now();
    let left = ends.saturating_duration_since(now);
    let handover_at = ends - (left / RESERVE_SHARE).min(MAX_RESERVE);
    while proxy.open_requests() > 0 && Instant::now() < handover_at {
        sleep(POLL).await;
    }
    let Some(link) = proxy.link() else {
        return HandoverReport::default();
    };
    let sent = stream::iter(in_order(proxy)).map(|id| async move {
        tokio::select! {
            biased;
            is_taken = hand_over(proxy, link, &id) => is_taken,
            () = sleep_until(ends) => Some(false),
        }
    });
    let mut sent = sent.buffer_unordered(SENT_AT_ONCE);
    let mut report = HandoverReport::default();
    while let Some(is_taken) = sent.next().await {
        match is_taken {
            Some(true) => report.handed_over += 1,
            Some(false) => report.lost += 1,
            None => {}
        }
    }
    report
}

/// Returns the answers to hand over: running ones first, then the newest.
fn in_order(proxy: &Proxy) -> Vec<RequestId> {
    let (mut first, rest): (Vec<_>, Vec<_>) =
        proxy.response_buffer.unfinished().into_iter().partition(|id| proxy.running.is_running(id));
    first.extend(rest);
    first
}

/// Hands one answer over; none if it needs no other node.
async fn hand_over(proxy: &Proxy, link: &Arc<dyn PeerLink>, id: &RequestId) -> Option<bool> {
    if !proxy.response_buffer.get(id)?.is_resumable() {
        return None;
    }
    end_running(proxy, id).await;
    let kept = proxy.response_buffer.get(id)?;
    let msg = encode(&HandoverRequest { id: id.clone(), answer: WireAnswer::from(kept) });
    let mut copies = 0;
    for node in replica_candidates(&**link, id) {
        if is_taken(link, &node, msg.clone()).await {
            copies += 1;
        }
        if copies == REPLICAS {
            break;
        }
    }
    if copies == 0 {
        log::warn!("handover: no node takes request {id}");
    }
    Some(copies > 0)
}

async fn is_taken(link: &Arc<dyn PeerLink>, node: &NodeId, msg: Bytes) -> bool {
    let reply = link.call(node, Topic::Handover, msg, TAKE_TIMEOUT).await;
    match reply {
        Ok(reply) => decode(&reply) == Ok(HandoverReply::Accepted),
        Err(err) => {
            log::debug!("handover: {err}");
            false
        }
    }
}
