//! Links between nodes in memory.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_peers::{Member, MemberState, Members, PeerError, PeerHandler, PeerLink, Topic};
use lycheelatch_prelude::{Incarnation, NodeId, RegionName, ZoneName};
use tokio::time::timeout;

type Handlers = HashMap<(NodeId, Topic), Arc<dyn PeerHandler>>;

/// A network of nodes in memory, in which links can be cut.
#[derive(Clone, Default)]
pub struct MemoryNet(Arc<Mutex<Net>>);

#[derive(Default)]
struct Net {
    members: BTreeMap<NodeId, Member>,
    handlers: Handlers,
    cut: HashSet<(NodeId, NodeId)>,
}

impl MemoryNet {
    /// Creates a network without nodes.
    pub fn new() -> MemoryNet {
        MemoryNet::default()
    }

    /// Adds a node and returns its link.
    pub fn join(&self, id: NodeId, zone: ZoneName, region: RegionName) -> Arc<dyn PeerLink> {
        let member = Member {
            id: id.clone(),
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            zone,
            region,
            incarnation: Incarnation(0),
            state: MemberState::Alive,
        };
        self.0.lock().unwrap().members.insert(id.clone(), member);
        Arc::new(MemoryLink { id, net: self.clone() })
    }

    /// Sets the state that every node sees of `id`.
    pub fn set_state(&self, id: &NodeId, state: MemberState) {
        if let Some(member) = self.0.lock().unwrap().members.get_mut(id) {
            member.state = state;
        }
    }

    /// Cuts the link from `a` to `b`, one way.
    pub fn cut(&self, a: &NodeId, b: &NodeId) {
        self.0.lock().unwrap().cut.insert((a.clone(), b.clone()));
    }

    /// Mends the link from `a` to `b`.
    pub fn mend(&self, a: &NodeId, b: &NodeId) {
        self.0.lock().unwrap().cut.remove(&(a.clone(), b.clone()));
    }

    /// Returns the handler at `to`, unless the way from `from` is cut.
    fn route(
        &self,
        from: &NodeId,
        to: &NodeId,
        topic: Topic,
    ) -> Result<Arc<dyn PeerHandler>, PeerError> {
        let net = self.0.lock().unwrap();
        if !net.members.contains_key(to) {
            return Err(PeerError::NotMember { node: to.clone() });
        }
        if net.cut.contains(&(from.clone(), to.clone())) {
            return Err(PeerError::Connect { node: to.clone(), reason: "the link is cut".into() });
        }
        net.handlers.get(&(to.clone(), topic)).cloned().ok_or(PeerError::NoHandler { topic })
    }
}

struct MemoryLink {
    id: NodeId,
    net: MemoryNet,
}

#[async_trait(?Send)]
impl PeerLink for MemoryLink {
    fn local(&self) -> &NodeId {
        &self.id
    }

    fn members(&self) -> Arc<Members> {
        Arc::new(Members(self.net.0.lock().unwrap().members.clone()))
    }

    fn register(&self, topic: Topic, handler: Arc<dyn PeerHandler>) {
        self.net.0.lock().unwrap().handlers.insert((self.id.clone(), topic), handler);
    }

    async fn call(
        &self,
        to: &NodeId,
        topic: Topic,
        msg: Bytes,
        limit: Duration,
    ) -> Result<Bytes, PeerError> {
        let handler = self.net.route(&self.id, to, topic)?;
        let answer = timeout(limit, handler.handle(&self.id, msg)).await;
        let lost =
            |reason: &str| PeerError::ResponseLost { node: to.clone(), reason: reason.into() };
        let answer = answer.map_err(|_| lost("no answer in time"))?;
        match self.net.0.lock().unwrap().cut.contains(&(to.clone(), self.id.clone())) {
            true => Err(lost("the way back is cut")),
            false => answer,
        }
    }

    fn broadcast(&self, topic: Topic, msg: Bytes) {
        for to in self.members().0.keys().filter(|id| **id != self.id) {
            if let Ok(handler) = self.net.route(&self.id, to, topic) {
                let (from, msg) = (self.id.clone(), msg.clone());
                tokio::task::spawn_local(async move {
                    let _best_effort = handler.handle(&from, msg).await;
                });
            }
        }
    }
}
