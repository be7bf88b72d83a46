//! Connections that stop delivering datagrams while new ones work.

use std::{sync::Arc, time::Duration};

use crate::common::{Echo, TEST_TIMEOUT, authority, config, id, wait_members};
use crate::relay::Relay;
use actix::test;
use bytes::Bytes;
use lycheelatch_peers::{CertificateAuthority, MemberState, PeerError, PeerLink, QuicLink, Topic};
use prometheus::Registry;
use tokio::{sync::mpsc, time::timeout};

/// Starts a node that others can reach only through a relay.
async fn start_behind_relay(
    relay: &Relay,
    ca: &CertificateAuthority,
    name: &str,
    seed: Option<&Relay>,
) -> Arc<QuicLink> {
    let tls = ca.tls(&ca.issue(&id(name), 1).unwrap());
    let seeds: Vec<_> = seed.map(|relay| relay.addr()).into_iter().collect();
    let mut cfg = config(name, tls, &seeds);
    cfg.advertise = Some(relay.addr());
    let link = QuicLink::start(cfg, &Registry::new()).await.unwrap();
    relay.set_target(link.local_addr().unwrap());
    link
}

#[test]
async fn call_on_unresponsive_connection_replaces_it_without_declaring_the_peer_dead() {
    let ca = authority();
    let (relay_a, relay_b) = (Relay::start().await, Relay::start().await);
    let a = start_behind_relay(&relay_a, &ca, "a", None).await;
    let b = start_behind_relay(&relay_b, &ca, "b", Some(&relay_a)).await;
    wait_members(&a, |m| m.usable_count() == 2).await;
    wait_members(&b, |m| m.usable_count() == 2).await;
    let (tx, _rx) = mpsc::unbounded_channel();
    a.register(Topic::Load, Arc::new(Echo(tx)));
    let mut members_of_b = b.watch_members();
    relay_a.drop_flows();
    relay_b.drop_flows();
    let limit = Duration::from_secs(1);
    let first = b.call(&id("a"), Topic::Load, Bytes::from_static(b"1"), limit).await;
    assert!(matches!(first, Err(PeerError::ResponseLost { .. })), "{first:?}");
    let retried = timeout(TEST_TIMEOUT, async {
        loop {
            let msg = Bytes::from_static(b"2");
            if let Ok(response) = b.call(&id("a"), Topic::Load, msg, limit).await {
                return response;
            }
        }
    });
    assert_eq!(retried.await.unwrap(), Bytes::from_static(b"2"));
    assert!(b.metrics().connections_replaced.get() > 0);
    let state = members_of_b.borrow_and_update().0[&id("a")].state;
    assert_ne!(state, MemberState::Dead);
}
