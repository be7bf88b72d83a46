//! Nodes that discover each other without seeds in their settings.

use std::{net::SocketAddr, sync::Arc};

use actix::test;
use async_trait::async_trait;
use lycheelatch_fakes::{Fault, MemoryKv};
use lycheelatch_peers::{KvSeeds, SeedDiscovery, SeedError, SeedSource};

use crate::common::{authority, start, wait_members};

/// A source with an address at which there is no node.
struct Wrong;

#[async_trait(?Send)]
impl SeedSource for Wrong {
    async fn seeds(&self) -> Result<Vec<SocketAddr>, SeedError> {
        Ok(vec!["127.0.0.1:9".parse().unwrap()])
    }
}

/// A source that times out.
struct TimedOut;

#[async_trait(?Send)]
impl SeedSource for TimedOut {
    async fn seeds(&self) -> Result<Vec<SocketAddr>, SeedError> {
        Err(SeedError::Timeout)
    }
}

#[test]
async fn start_without_seeds_joins_via_the_key_value_service() {
    let kv = MemoryKv::new();
    let kv = Arc::new(kv);
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let _discovery_a =
        SeedDiscovery::start(a.clone(), vec![Arc::new(KvSeeds(kv.clone()))], kv.clone());
    let b = start(&ca, "b", &[]).await;
    let sources: Vec<Arc<dyn SeedSource>> =
        vec![Arc::new(TimedOut), Arc::new(Wrong), Arc::new(KvSeeds(kv.clone()))];
    let _discovery_b = SeedDiscovery::start(b.clone(), sources, kv.clone());
    wait_members(&a, |m| m.usable_count() == 2).await;
    wait_members(&b, |m| m.usable_count() == 2).await;
}

#[test]
async fn start_with_seeds_joins_while_the_key_value_service_is_down() {
    let kv = MemoryKv::new();
    kv.faults.set_standing(Fault::Silent);
    let kv = Arc::new(kv);
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let b = start(&ca, "b", &[a.local_addr().unwrap()]).await;
    let _discovery =
        SeedDiscovery::start(b.clone(), vec![Arc::new(KvSeeds(kv.clone()))], kv.clone());
    wait_members(&a, |m| m.usable_count() == 2).await;
    wait_members(&b, |m| m.usable_count() == 2).await;
}
