//! Spreads statements about leaving instances between nodes.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_peers::{Members, PeerError, PeerHandler, PeerLink, Topic};
use lycheelatch_prelude::NodeId;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::{
    Coordinator, Leaving, Record,
    evacuate::answer_ask,
    wire::{Message, WireRecord, decode, encode},
};

/// Time between two comparisons with another node.
pub(crate) const COMPARE_EVERY: Duration = Duration::from_millis(500);

/// Longest wait for the answer to a comparison.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(400);

/// Most statements in one spread message, which keeps it small enough for a datagram.
const MAX_RECORDS_PER_MESSAGE: usize = 16;

/// Spreads statements to every node and takes theirs in.
pub struct ReclaimSpread {
    leaving: Leaving,
    link: Arc<dyn PeerLink>,
    coordinator: Arc<Coordinator>,
}

impl ReclaimSpread {
    /// Creates the spreader and registers it for [`Topic::Reclaim`].
    pub fn new(leaving: Leaving, link: Arc<dyn PeerLink>) -> Arc<ReclaimSpread> {
        let spread =
            Arc::new(ReclaimSpread { leaving, link: link.clone(), coordinator: Arc::default() });
        // The link owns the handler and the spreader the link: a weak
        // reference keeps them from holding each other.
        let handler = Handler { spread: Arc::downgrade(&spread) };
        link.register(Topic::Reclaim, Arc::new(handler));
        spread
    }

    /// Returns the identity of this node.
    pub fn local(&self) -> &NodeId {
        self.link.local()
    }

    /// Returns what this node knows of the others.
    pub fn members(&self) -> Arc<Members> {
        self.link.members()
    }

    /// Returns the plans that this node makes for others.
    pub fn coordinator(&self) -> Arc<Coordinator> {
        self.coordinator.clone()
    }

    /// Sends statements to every node.
    pub fn send(&self, records: &[Record]) {
        for part in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            self.link.broadcast(Topic::Reclaim, encode(&Message::Records(to_wire(part))));
        }
    }

    /// Compares the set with one other node's and evens both out.
    pub async fn compare(&self) {
        let Some(peer) = self.pick_peer() else {
            return;
        };
        let own = self.leaving.digest();
        let Some(answer) = self.call(&peer, &Message::Digest(own.to_vec())).await else {
            return;
        };
        let Ok(Answer { digest, records }) = decode::<Answer>(&answer) else {
            log::warn!("fleet: node {peer} answered a comparison unreadably.");
            return;
        };
        let missing_there = self.leaving.differing(&digest);
        self.leaving.merge(Instant::now(), from_wire(records));
        if !missing_there.is_empty() {
            self.call(&peer, &Message::Records(to_wire(&missing_there))).await;
        }
    }

    /// Compares with other nodes for as long as it is polled.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(COMPARE_EVERY).await;
            self.leaving.forget_old(Instant::now());
            self.compare().await;
        }
    }

    fn pick_peer(&self) -> Option<NodeId> {
        let members = self.link.members();
        let others = members.usable().filter(|member| member.id != *self.link.local());
        others.choose(&mut rand::rng()).map(|member| member.id.clone())
    }

    async fn call(&self, peer: &NodeId, msg: &Message) -> Option<Bytes> {
        let answer = self.link.call(peer, Topic::Reclaim, encode(msg), COMPARE_TIMEOUT).await;
        if let Err(err) = &answer {
            log::debug!("fleet: comparison with node {peer} failed: {err}.");
        }
        answer.ok()
    }

    fn answer(&self, from: &NodeId, msg: Message) -> Bytes {
        match msg {
            Message::Records(records) => {
                self.leaving.merge(Instant::now(), from_wire(records));
                Bytes::new()
            }
            Message::Ask(ask) => encode(&answer_ask(&self.coordinator, from, ask)),
            Message::Digest(theirs) => {
                let records = to_wire(&self.leaving.differing(&theirs));
                encode(&Answer { digest: self.leaving.digest().to_vec(), records })
            }
        }
    }
}

/// Answer to a digest: the other's digest and its statements where they differ.
#[derive(serde::Serialize, serde::Deserialize)]
struct Answer {
    digest: Vec<u64>,
    records: Vec<WireRecord>,
}

struct Handler {
    spread: Weak<ReclaimSpread>,
}

#[async_trait(?Send)]
impl PeerHandler for Handler {
    async fn handle(&self, from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let no_handler = PeerError::NoHandler { topic: Topic::Reclaim };
        let spread = self.spread.upgrade().ok_or(no_handler)?;
        let msg =
            decode(&msg).map_err(|err| PeerError::BadMessage { reason: err.to_string().into() })?;
        Ok(spread.answer(from, msg))
    }
}

fn to_wire(records: &[Record]) -> Vec<WireRecord> {
    let now = Instant::now();
    records.iter().map(|record| WireRecord::new(record, now)).collect()
}

fn from_wire(records: Vec<WireRecord>) -> Vec<Record> {
    let now = Instant::now();
    records.into_iter().filter_map(|record| record.into_record(now)).collect()
}
