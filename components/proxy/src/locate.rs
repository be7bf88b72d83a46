//! Finds the nodes that keep an answer.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use lycheelatch_peers::{MemberState, PeerLink, Topic};
use lycheelatch_prelude::{NodeId, RequestId, WorkspaceName};
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    KeptAnswer,
    peer_messages::{ResumeReply, ResumeRequest, decode, encode},
};

/// Nodes that are given a copy of an answer.
pub(crate) const COPIES: usize = 2;

/// Longest wait for one node's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest search for an answer that some node may be about to get.
const SEARCH_TIME: Duration = Duration::from_secs(2);

/// Pause between two looks at the likely nodes.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);

/// Nodes that are asked at the same time when all are asked.
const ASKED_AT_ONCE: usize = 32;

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Found {
    /// The longest copy.
    Kept(Box<KeptAnswer>),
    /// The answer runs at a node and can't go on elsewhere.
    Running,
    /// No node that answers has it.
    Nowhere,
}

/// Returns the other live nodes, those that keep the answer of `id` first.
pub(crate) fn keepers(link: &dyn PeerLink, id: &RequestId) -> Vec<NodeId> {
    nodes_in(link, id, |state| state == MemberState::Alive)
}

fn nodes_in(
    link: &dyn PeerLink,
    id: &RequestId,
    is_wanted: impl Fn(MemberState) -> bool,
) -> Vec<NodeId> {
    let members = link.members();
    let mut nodes: Vec<NodeId> = members
        .0
        .values()
        .filter(|member| is_wanted(member.state) && member.id != *link.local())
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
    here: Option<KeptAnswer>,
) -> Found {
    let ends = Instant::now() + SEARCH_TIME;
    let mut best = here.map_or(Found::Nowhere, |kept| Found::Kept(Box::new(kept)));
    best = ask_all(link, ask, likely(link, &ask.id), best).await;
    if !is_enough(&best, tokens) {
        let rest = nodes_in(&**link, &ask.id, |state| state != MemberState::Dead);
        best = ask_all(link, ask, rest, best).await;
    }
    // A node that stops may be handing the answer over right now.
    while !is_enough(&best, tokens) && Instant::now() < ends && !likely(link, &ask.id).is_empty() {
        sleep(SEARCH_PAUSE).await;
        best = ask_all(link, ask, likely(link, &ask.id), best).await;
    }
    best
}

/// Returns the nodes that stop now and those that they hand the answer to.
fn likely(link: &Arc<dyn PeerLink>, id: &RequestId) -> Vec<NodeId> {
    let mut nodes = nodes_in(&**link, id, |state| state == MemberState::Leaving);
    nodes.extend(keepers(&**link, id).into_iter().take(COPIES + 1));
    nodes
}

fn is_enough(found: &Found, tokens: u64) -> bool {
    match found {
        Found::Kept(kept) => kept.tokens.len() as u64 >= tokens,
        Found::Running => true,
        Found::Nowhere => false,
    }
}

async fn ask_all(
    link: &Arc<dyn PeerLink>,
    ask: &ResumeRequest,
    nodes: Vec<NodeId>,
    best: Found,
) -> Found {
    let msg = encode(ask);
    let asked = nodes.into_iter().map(|node| {
        let msg = msg.clone();
        async move { link.call(&node, Topic::Resume, msg, ASK_TIMEOUT).await }
    });
    let mut replies = stream::iter(asked).buffer_unordered(ASKED_AT_ONCE);
    let mut best = best;
    while let Some(reply) = replies.next().await {
        let reply = reply.ok().and_then(|reply| decode::<ResumeReply>(&reply).ok());
        best = match reply {
            Some(ResumeReply::Found(kept)) => longer(best, kept.into()),
            Some(ResumeReply::Running) if best == Found::Nowhere => Found::Running,
            _ => best,
        };
    }
    best
}

fn longer(best: Found, kept: KeptAnswer) -> Found {
    match best {
        Found::Kept(best) if best.tokens.len() >= kept.tokens.len() => Found::Kept(best),
        _ => Found::Kept(Box::new(kept)),
    }
}

/// Creates the question for an answer of a workspace.
pub(crate) fn ask_for(id: &RequestId, workspace: &WorkspaceName) -> ResumeRequest {
    ResumeRequest { id: id.clone(), workspace: workspace.clone() }
}
