//! Membership, calls, broadcasts and rejected connections.

use std::time::Duration;

use crate::common::{Echo, TEST_TIMEOUT, authority, config, id, start, wait_members};
use actix::test;
use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_peers::{
    CertificateAuthority, IdentityCheck, MemberState, PeerError, PeerHandler, PeerLink, QuicLink,
    StartError, Topic,
};
use lycheelatch_prelude::NodeId;
use prometheus::Registry;
use tokio::{sync::mpsc, time::timeout};

#[test]
async fn start_three_nodes_join_call_and_broadcast() {
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let seed = [a.local_addr().unwrap()];
    let b = start(&ca, "b", &seed).await;
    let c = start(&ca, "c", &seed).await;
    for link in [&a, &b, &c] {
        wait_members(link, |m| m.usable_count() == 3).await;
    }
    let (tx, mut rx) = mpsc::unbounded_channel();
    for link in [&b, &c] {
        link.register(Topic::Reclaim, std::sync::Arc::new(Echo(tx.clone())));
    }
    let msg = Bytes::from_static(b"zone-a is reclaimed");
    let response = b.call(&id("c"), Topic::Reclaim, msg.clone(), TEST_TIMEOUT).await;
    assert_eq!(response.unwrap(), msg);
    assert_eq!(rx.recv().await.unwrap(), (id("b"), msg.clone()));
    a.broadcast(Topic::Reclaim, msg.clone());
    for _ in 0..2 {
        assert_eq!(
            timeout(TEST_TIMEOUT, rx.recv()).await.unwrap().unwrap(),
            (id("a"), msg.clone())
        );
    }
    assert!(rx.try_recv().is_err(), "a message was handled twice");
}

#[test]
async fn leave_and_shutdown_are_announced() {
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let b = start(&ca, "b", &[a.local_addr().unwrap()]).await;
    wait_members(&a, |m| m.usable_count() == 2).await;
    wait_members(&b, |m| m.usable_count() == 2).await;
    b.leave().await;
    wait_members(&a, |m| m.0[&id("b")].state == MemberState::Leaving).await;
    b.shutdown().await;
    wait_members(&a, |m| m.0[&id("b")].state == MemberState::Dead).await;
}

#[test]
async fn call_large_message_is_returned_complete() {
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let b = start(&ca, "b", &[a.local_addr().unwrap()]).await;
    wait_members(&b, |m| m.usable_count() == 2).await;
    let (tx, _rx) = mpsc::unbounded_channel();
    a.register(Topic::Handover, std::sync::Arc::new(Echo(tx)));
    let msg = Bytes::from(vec![7; 3_000_000]);
    let response = b.call(&id("a"), Topic::Handover, msg.clone(), TEST_TIMEOUT).await.unwrap();
    assert!(response == msg);
}

#[test]
async fn call_errors_name_their_cause() {
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let b = start(&ca, "b", &[a.local_addr().unwrap()]).await;
    wait_members(&b, |m| m.usable_count() == 2).await;
    let call = |to: &str| {
        let (b, to) = (b.clone(), id(to));
        async move { b.call(&to, Topic::Load, Bytes::new(), TEST_TIMEOUT).await }
    };
    assert_eq!(call("z").await, Err(PeerError::NotMember { node: id("z") }));
    assert_eq!(call("a").await, Err(PeerError::NoHandler { topic: Topic::Load }));
    a.register(Topic::Load, std::sync::Arc::new(Reject));
    assert_eq!(call("a").await, Err(PeerError::Rejected { reason: "busy".into() }));
}

#[test]
async fn call_timeout_reports_a_lost_response() {
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let b = start(&ca, "b", &[a.local_addr().unwrap()]).await;
    wait_members(&b, |m| m.usable_count() == 2).await;
    a.register(Topic::Load, std::sync::Arc::new(Hang));
    let limit = Duration::from_millis(100);
    let response = b.call(&id("a"), Topic::Load, Bytes::new(), limit).await;
    assert!(matches!(response, Err(PeerError::ResponseLost { .. })), "{response:?}");
}

#[test]
async fn start_with_another_authority_is_rejected() {
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let seed = [a.local_addr().unwrap()];
    let other = start(&authority(), "b", &seed).await;
    expect_rejection(&a, &other).await;
}

#[test]
async fn start_with_expired_certificate_is_rejected() {
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let tls = ca.tls(&ca.issue_expired(&id("b")).unwrap());
    let cfg = config("b", tls, &[a.local_addr().unwrap()]);
    let expired = QuicLink::start(cfg, &Registry::new()).await.unwrap();
    expect_rejection(&a, &expired).await;
}

#[test]
async fn start_in_another_cluster_of_same_authority_is_rejected() {
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let other = "sacks".parse().unwrap();
    let other_ca = CertificateAuthority::load(&other, ca.certificate_pem(), &ca.key_pem()).unwrap();
    let tls = other_ca.tls(&other_ca.issue(&id("b"), 1).unwrap());
    let mut cfg = config("b", tls, &[a.local_addr().unwrap()]);
    cfg.cluster = other;
    let wrong = QuicLink::start(cfg, &Registry::new()).await.unwrap();
    expect_rejection(&a, &wrong).await;
}

#[test]
async fn start_with_id_of_another_node_is_rejected() {
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let tls = ca.tls(&ca.issue(&id("b"), 1).unwrap());
    let cfg = config("c", tls.clone(), &[]);
    let err = QuicLink::start(cfg, &Registry::new()).await.err().unwrap();
    assert!(matches!(err, StartError::Tls(_)), "{err}");
    let mut cfg = config("c", tls, &[a.local_addr().unwrap()]);
    cfg.identity = IdentityCheck::Cluster;
    let impostor = QuicLink::start(cfg, &Registry::new()).await.unwrap();
    expect_rejection(&a, &impostor).await;
}

/// Waits until each node has counted a failed handshake, and checks that neither knows the other.
async fn expect_rejection(a: &QuicLink, other: &QuicLink) {
    let failed_handshakes = |link: &QuicLink| link.metrics().handshakes_failed.get();
    let rejected = async {
        while failed_handshakes(a) == 0 || failed_handshakes(other) == 0 {
            tokio::task::yield_now().await;
        }
    };
    timeout(TEST_TIMEOUT, rejected).await.unwrap();
    assert_eq!(a.members().0.len(), 1);
    assert_eq!(other.members().0.len(), 1);
    let response = other.call(a.local(), Topic::Config, Bytes::new(), TEST_TIMEOUT).await;
    assert_eq!(response, Err(PeerError::NotMember { node: a.local().clone() }));
}

struct Reject;

#[async_trait(?Send)]
impl PeerHandler for Reject {
    async fn handle(&self, _from: &NodeId, _msg: Bytes) -> Result<Bytes, PeerError> {
        Err(PeerError::Rejected { reason: "busy".into() })
    }
}

struct Hang;

#[async_trait(?Send)]
impl PeerHandler for Hang {
    async fn handle(&self, _from: &NodeId, _msg: Bytes) -> Result<Bytes, PeerError> {
        std::future::pending().await
    }
}
