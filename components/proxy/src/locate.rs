//! Search for buffered responses on other nodes.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use lycheelatch_peers::{MemberState, PeerLink, Topic};
use lycheelatch_prelude::{NodeId, RequestId, WorkspaceName};
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    BufferedResponse,
    peer_messages::{ResumeReply, ResumeRequest, decode, encode},
};

/// Number of nodes that receive a copy of a response on handover.
pub(crate) const REPLICAS: usize = 2;

/// Timeout of a call to one node.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit of a search, for a response that may still be in handover to another node.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between queries of the likely nodes.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of concurrent calls.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SearchResult {
    /// The copy with the most tokens.
    Found(Box<BufferedResponse>),
    /// The request is running on another node and can't be resumed elsewhere.
    Running,
    /// No reachable node has the response.
    NotFound,
}

/// Returns the other live nodes, in order of their rank for copies of the response of `id`.
pub(crate) fn replica_candidates(link: &dyn PeerLink, id: &RequestId) -> Vec<NodeId> {
    ranked_nodes(link, id, |state| state == MemberState::Alive)
}

fn ranked_nodes(
    link: &dyn PeerLink,
    id: &RequestId,
    accepts: impl Fn(MemberState) -> bool,
) -> Vec<NodeId> {
    let members = link.members();
    let mut nodes: Vec<NodeId> = members
        .0
        .values()
        .filter(|member| accepts(member.state) && member.id != *link.local())
        .map(|member| member.id.clone())
        .collect();
    let seed = xxh3_64_with_seed(id.as_str().as_bytes(), 0);
    nodes.sort_by_key(|node| xxh3_64_with_seed(node.as_str().as_bytes(), seed));
    nodes
}

/// Searches the other nodes for a copy of a response with at least `tokens` tokens.
///
/// `local` is the copy on this node.
pub(crate) async fn search(
    link: &Arc<dyn PeerLink>,
    req: &ResumeRequest,
    tokens: u64,
    local: Option<BufferedResponse>,
) -> SearchResult {
    let deadline = Instant::now() + SEARCH_TIMEOUT;
    let mut best = local.map_or(SearchResult::NotFound, |copy| SearchResult::Found(Box::new(copy)));
    best = query_nodes(link, req, likely_nodes(link, &req.id), best).await;
    if !is_enough(&best, tokens) {
        let all_nodes = ranked_nodes(&**link, &req.id, |state| state != MemberState::Dead);
        best = query_nodes(link, req, all_nodes, best).await;
    }
    // A stopping node may be transferring the response at this time.
    while !is_enough(&best, tokens)
        && Instant::now() < deadline
        && !likely_nodes(link, &req.id).is_empty()
    {
        sleep(SEARCH_INTERVAL).await;
        best = query_nodes(link, req, likely_nodes(link, &req.id), best).await;
    }
    best
}

/// Returns the stopping nodes and the nodes to which they transfer the response.
fn likely_nodes(link: &Arc<dyn PeerLink>, id: &RequestId) -> Vec<NodeId> {
    let mut nodes = ranked_nodes(&**link, id, |state| state == MemberState::Leaving);
    nodes.extend(replica_candidates(&**link, id).into_iter().take(REPLICAS + 1));
    nodes
}

fn is_enough(found: &SearchResult, tokens: u64) -> bool {
    match found {
        SearchResult::Found(copy) => copy.tokens.len() as u64 >= tokens,
        SearchResult::Running => true,
        SearchResult::NotFound => false,
    }
}

async fn query_nodes(
    link: &Arc<dyn PeerLink>,
    req: &ResumeRequest,
    nodes: Vec<NodeId>,
    best: SearchResult,
) -> SearchResult {
    let msg = encode(req);
    let calls = nodes.into_iter().map(|node| {
        let msg = msg.clone();
        async move { link.call(&node, Topic::Resume, msg, CALL_TIMEOUT).await }
    });
    let mut replies = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_CALLS);
    let mut best = best;
    while let Some(reply) = replies.next().await {
        let reply = reply.ok().and_then(|reply| decode::<ResumeReply>(&reply).ok());
        best = match reply {
            Some(ResumeReply::Found(copy)) => longest(best, copy.into()),
            Some(ResumeReply::Running) if best == SearchResult::NotFound => SearchResult::Running,
            _ => best,
        };
    }
    best
}

fn longest(best: SearchResult, copy: BufferedResponse) -> SearchResult {
    match best {
        SearchResult::Found(best) if best.tokens.len() >= copy.tokens.len() => {
            SearchResult::Found(best)
        }
        _ => SearchResult::Found(Box::new(copy)),
    }
}

/// Creates the query for a response of a workspace.
pub(crate) fn lookup_request(id: &RequestId, workspace: &WorkspaceName) -> ResumeRequest {
    ResumeRequest { id: id.clone(), workspace: workspace.clone() }
}
