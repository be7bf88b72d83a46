//! What a node that has just started learns of the engines' caches.

use super::*;
use crate::{
    CallerLimits, ClusterClock, EngineSpec, PrefixHash, RoutingTable, ServiceSpec, SystemBootClock,
    TableSource, engine_load::PrefixChain, test_support,
};

const ENGINE: EngineSpec =
    EngineSpec { slots: 8, memory_tokens: 100_000, transfer_tokens_per_ms: None };

/// Returns a node that knows one engine.
fn gateway(node: usize) -> Gateway {
    let gateway = test_support::gateway(node, ClusterClock::new(Rc::new(SystemBootClock)));
    gateway.set_table(RoutingTable::from(TableSource {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceSpec {
            name: "svc".parse().unwrap(),
            connection_limit: 10,
            engine: Some(ENGINE),
            scaling: None,
        }],
        workspaces: Vec::new(),
        limits: CallerLimits::default(),
    }));
    let entry = test_support::engine_entry("engine-1", "zone-a");
    gateway.directory.put(entry, test_support::first_era(1));
    gateway
}

/// Returns a prompt with a shared prefix and a part of its own.
fn chain(shared: u64, own: u64) -> PrefixChain {
    let links = vec![(PrefixHash(shared), 5000), (PrefixHash(own), 200)];
    PrefixChain { links, input_tokens: 5200, memory_tokens: 5300 }
}

#[test]
fn apply_caches_shares_prefixes_of_several_requests() {
    let (old, new) = (gateway(1), gateway(2));
    let now = Instant::now();
    for own in 0..5 {
        let upstream = &old.directory.all()[0];
        let links = chain(1, 100 + own).links;
        upstream.load.borrow_mut().record_prefixes(&links, ENGINE.memory_tokens, now);
    }
    let caches = engine_caches(&old);
    assert_eq!(caches[0].links, [(1, 5000)], "parts that one request used are left out");
    apply_caches(&new, &caches);
    let load = new.directory.all()[0].clone();
    assert_eq!(load.load.borrow().cached_tokens(&chain(1, 9)), 5000);
}

#[test]
fn apply_caches_ignores_unknown_engines() {
    let new = gateway(2);
    let unknown = EngineCache { upstream: "engine-9".parse().unwrap(), links: vec![(1, 5000)] };
    apply_caches(&new, &[unknown]);
    assert!(engine_caches(&new).is_empty());
}
