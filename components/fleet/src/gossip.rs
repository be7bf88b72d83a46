//! Exchanges records about leaving instances between nodes.

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
    Coordinator, InstanceRecord, LeavingInstances,
    evacuate::handle_plan_request,
    wire::{Message, WireRecord, decode, encode},
};

/// Interval of the anti-entropy exchange with another node.
pub(crate) const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of an anti-entropy call.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of records per broadcast message, so that it fits in a datagram.
const MAX_RECORDS_PER_MESSAGE: usize = 16;

/// Broadcasts records to all nodes and merges the received ones.
pub struct ReclaimGossip {
    leaving: LeavingInstances,
    link: Arc<dyn PeerLink>,
    coordinator: Arc<Coordinator>,
}

impl ReclaimGossip {
    /// Creates the gossip and registers its handler for [`Topic::Reclaim`].
    pub fn new(leaving: LeavingInstances, link: Arc<dyn PeerLink>) -> Arc<ReclaimGossip> {
        let gossip =
            Arc::new(ReclaimGossip { leaving, link: link.clone(), coordinator: Arc::default() });
        // The link owns the handler and the gossip owns the link, so the handler holds a weak
        // reference to avoid a cycle.
        let handler = Handler { gossip: Arc::downgrade(&gossip) };
        link.register(Topic::Reclaim, Arc::new(handler));
        gossip
    }

    /// Returns the identity of this node.
    pub fn local(&self) -> &NodeId {
        self.link.local()
    }

    /// Returns the cluster members known to this node.
    pub fn members(&self) -> Arc<Members> {
        self.link.members()
    }

    /// Returns the coordinator that answers the plan requests of other nodes.
    pub fn coordinator(&self) -> Arc<Coordinator> {
        self.coordinator.clone()
    }

    /// Broadcasts records to all nodes.
    pub fn broadcast(&self, records: &[InstanceRecord]) {
        for part in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            self.link.broadcast(Topic::Reclaim, encode(&Message::Records(to_wire(part))));
        }
    }

    /// Exchanges missing records with one random node in both directions.
    pub async fn sync(&self) {
        let Some(peer) = self.pick_peer() else {
            return;
        };
        let own = self.leaving.digest();
        let Some(answer) = self.call(&peer, &Message::Digest(own.to_vec())).await else {
            return;
        };
        let Ok(DigestReply { digest, records }) = decode::<DigestReply>(&answer) else {
            log::warn!("fleet: invalid digest reply from node {peer}.");
            return;
        };
        let missing_at_peer = self.leaving.records_differing_from(&digest);
        self.leaving.merge(Instant::now(), from_wire(records));
        if !missing_at_peer.is_empty() {
            self.call(&peer, &Message::Records(to_wire(&missing_at_peer))).await;
        }
    }

    /// Exchanges records with other nodes until the future is dropped.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(SYNC_INTERVAL).await;
            self.leaving.remove_expired(Instant::now());
            self.sync().await;
        }
    }

    fn pick_peer(&self) -> Option<NodeId> {
        let members = self.link.members();
        let others = members.usable().filter(|member| member.id != *self.link.local());
        others.choose(&mut rand::rng()).map(|member| member.id.clone())
    }

    async fn call(&self, peer: &NodeId, msg: &Message) -> Option<Bytes> {
        let answer = self.link.call(peer, Topic::Reclaim, encode(msg), SYNC_TIMEOUT).await;
        if let Err(err) = &answer {
            log::debug!("fleet: record exchange with node {peer} failed: {err}.");
        }
        answer.ok()
    }

    fn handle_message(&self, from: &NodeId, msg: Message) -> Bytes {
        match msg {
            Message::Records(records) => {
                self.leaving.merge(Instant::now(), from_wire(records));
                Bytes::new()
            }
            Message::PlanRequest(request) => {
                encode(&handle_plan_request(&self.coordinator, from, request))
            }
            Message::Digest(digest) => {
                let records = to_wire(&self.leaving.records_differing_from(&digest));
                encode(&DigestReply { digest: self.leaving.digest().to_vec(), records })
            }
        }
    }
}

/// Reply to a digest: the sender's digest and its records in the buckets that differ.
#[derive(serde::Serialize, serde::Deserialize)]
struct DigestReply {
    digest: Vec<u64>,
    records: Vec<WireRecord>,
}

struct Handler {
    gossip: Weak<ReclaimGossip>,
}

#[async_trait(?Send)]
impl PeerHandler for Handler {
    async fn handle(&self, from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let no_handler = PeerError::NoHandler { topic: Topic::Reclaim };
        let gossip = self.gossip.upgrade().ok_or(no_handler)?;
        let msg =
            decode(&msg).map_err(|err| PeerError::BadMessage { reason: err.to_string().into() })?;
        Ok(gossip.handle_message(from, msg))
    }
}

fn to_wire(records: &[InstanceRecord]) -> Vec<WireRecord> {
    let now = Instant::now();
    records.iter().map(|record| WireRecord::new(record, now)).collect()
}

fn from_wire(records: Vec<WireRecord>) -> Vec<InstanceRecord> {
    let now = Instant::now();
    records.into_iter().filter_map(|record| record.into_record(now)).collect()
}
