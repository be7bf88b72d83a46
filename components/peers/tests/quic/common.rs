//! Helpers for nodes with UDP sockets on the loopback interface.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_peers::{
    CertificateAuthority, IdentityCheck, Members, PeerError, PeerHandler, PeersConfig, QuicLink,
    TlsFiles,
};
use lycheelatch_prelude::{Name, NodeId};
use prometheus::Registry;
use tokio::{sync::mpsc, time::timeout};

/// Maximum time that a test waits for an event.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn id(name: &str) -> NodeId {
    name.parse().unwrap()
}

pub(crate) fn cluster() -> Name {
    "rushes".parse().unwrap()
}

pub(crate) fn authority() -> CertificateAuthority {
    CertificateAuthority::generate(&cluster(), 1).unwrap()
}

pub(crate) fn config(name: &str, tls: TlsFiles, seeds: &[SocketAddr]) -> PeersConfig {
    PeersConfig {
        node: id(name),
        cluster: cluster(),
        bind: "127.0.0.1:0".parse().unwrap(),
        advertise: None,
        zone: "cenarth".parse().unwrap(),
        region: "ceredigion".parse().unwrap(),
        seeds: seeds.to_vec(),
        tls,
        identity: IdentityCheck::Node,
    }
}

pub(crate) async fn start(
    ca: &CertificateAuthority,
    name: &str,
    seeds: &[SocketAddr],
) -> Arc<QuicLink> {
    let tls = ca.tls(&ca.issue(&id(name), 1).unwrap());
    QuicLink::start(config(name, tls, seeds), &Registry::new()).await.unwrap()
}

/// Waits until the members satisfy `predicate`.
pub(crate) async fn wait_members(link: &QuicLink, predicate: impl Fn(&Members) -> bool) {
    let mut members = link.watch_members();
    let seen = timeout(TEST_TIMEOUT, members.wait_for(|m| predicate(m))).await;
    assert!(seen.is_ok(), "members: {:?}", link.watch_members().borrow());
}

/// Forwards each message to a channel and responds with the same message.
pub(crate) struct Echo(pub(crate) mpsc::UnboundedSender<(NodeId, Bytes)>);

#[async_trait(?Send)]
impl PeerHandler for Echo {
    async fn handle(&self, from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let _test_ended = self.0.send((from.clone(), msg.clone()));
        Ok(msg)
    }
}
