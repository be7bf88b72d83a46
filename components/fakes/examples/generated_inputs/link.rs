//! A link without other nodes that hands out the registered handlers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::FutureExt;
use lycheelatch_peers::{Members, PeerError, PeerHandler, PeerLink, Topic};
use lycheelatch_prelude::NodeId;

/// A link that keeps the handlers.
pub(crate) struct HandlerLink {
    local: NodeId,
    handlers: Mutex<HashMap<Topic, Arc<dyn PeerHandler>>>,
}

impl HandlerLink {
    pub(crate) fn new() -> Arc<HandlerLink> {
        let local = "node-1".parse().expect("a valid name");
        Arc::new(HandlerLink { local, handlers: Mutex::default() })
    }

    /// Gives a message to the handler of a topic; returns whether it was not refused as bad.
    pub(crate) fn deliver(&self, topic: Topic, msg: &[u8]) -> bool {
        let handler = self.handlers.lock().expect("not poisoned")[&topic].clone();
        let answer = handler.handle(&self.local, Bytes::copy_from_slice(msg)).now_or_never();
        !matches!(answer, Some(Err(_)))
    }
}

#[async_trait(?Send)]
impl PeerLink for HandlerLink {
    fn local(&self) -> &NodeId {
        &self.local
    }

    fn members(&self) -> Arc<Members> {
        Arc::default()
    }

    fn register(&self, topic: Topic, handler: Arc<dyn PeerHandler>) {
        self.handlers.lock().expect("not poisoned").insert(topic, handler);
    }

    async fn call(
        &self,
        node: &NodeId,
        _topic: Topic,
        _msg: Bytes,
        _timeout: Duration,
    ) -> Result<Bytes, PeerError> {
        Err(PeerError::NotMember { node: node.clone() })
    }

    fn broadcast(&self, _topic: Topic, _msg: Bytes) {}
}
