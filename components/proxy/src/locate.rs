//! Finds the nodes that keep an answer.

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

/// Nodes that are given a copy of an answer.
pub(crate) const REPLICAS: usize = 2;

/// Longest wait for one node's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest search for an answer that some node may be about to get.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two looks at the likely nodes.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Nodes that are asked at the same time when all are asked.
const MAX_CONCURRENT_CALLS: usize = 32;

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SearchResult {
    /// The longest copy.
    Found(Box<BufferedResponse>),
    /// The answer runs at a node and can't go on elsewhere.
    Running,
    /// No node that answers has it.
    NotFound,
}

/// Returns the other live nodes, those that keep the answer of `id` first.
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

/// Searches the other nodes for at least `tokens` tokens of an answer.
pub(crate) async fn search(
    link: &Arc<dyn PeerLink>,
    ask: &ResumeRequest,
    tokens: u64,
    local: Option<BufferedResponse>,
) -> SearchResult {
    let deadline = Instant::now() + SEARCH_TIMEOUT;
    let mut best = local.map_or(SearchResult::NotFound, |kept| SearchResult::Found(Box::new(kept)));
    best = query_nodes(link, ask, likely_nodes(link, &ask.id), best).await;
    if !is_enough(&best, tokens) {
        let rest = ranked_nodes(&**link, &ask.id, |state| state != MemberState::Dead);
        best = query_nodes(link, ask, rest, best).await;
    }
    // A node that stops may be handing the answer over right now.
    while !is_enough(&best, tokens)
        && Instant::now() < deadline
        && !likely_nodes(link, &ask.id).is_empty()
    {
        sleep(SEARCH_INTERVAL).await;
        best = query_nodes(link, ask, likely_nodes(link, &ask.id), best).await;
    }
    best
}

/// Returns the nodes that stop now and those that they hand the answer to.
fn likely_nodes(link: &Arc<dyn PeerLink>, id: &RequestId) -> Vec<NodeId> {
    let mut nodes = ranked_nodes(&**link, id, |state| state == MemberState::Leaving);
    nodes.extend(replica_candidates(&**link, id).into_iter().take(REPLICAS + 1));
    nodes
}

fn is_enough(found: &SearchResult, tokens: u64) -> bool {
    match found {
        SearchResult::Found(kept) => kept.tokens.len() as u64 >= tokens,
        SearchResult::Running => true,
        SearchResult::NotFound => false,
    }
}

async fn query_nodes(
    link: &Arc<dyn PeerLink>,
    ask: &ResumeRequest,
    nodes: Vec<NodeId>,
    best: SearchResult,
) -> SearchResult {
    let msg = encode(ask);
    let asked = nodes.into_iter().map(|node| {
        let msg = msg.clone();
        async move { link.call(&node, Topic::Resume, msg, CALL_TIMEOUT).await }
    });
    let mut replies = stream::iter(asked).buffer_unordered(MAX_CONCURRENT_CALLS);
    let mut best = best;
    while let Some(reply) = replies.next().await {
        let reply = reply.ok().and_then(|reply| decode::<ResumeReply>(&reply).ok());
        best = match reply {
            Some(ResumeReply::Found(kept)) => longest(best, kept.into()),
            Some(ResumeReply::Running) if best == SearchResult::NotFound => SearchResult::Running,
            _ => best,
        };
    }
    best
}

fn longest(best: SearchResult, kept: BufferedResponse) -> SearchResult {
    match best {
        SearchResult::Found(best) if best.tokens.len() >= kept.tokens.len() => {
            SearchResult::Found(best)
        }
        _ => SearchResult::Found(Box::new(kept)),
    }
}

/// Creates the question for an answer of a workspace.
pub(crate) fn lookup_request(id: &RequestId, workspace: &WorkspaceName) -> ResumeRequest {
    ResumeRequest { id: id.clone(), workspace: workspace.clone() }
}
