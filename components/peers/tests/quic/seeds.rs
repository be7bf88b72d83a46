//! Nodes that find each other without seeds in their settings.

use std::{net::SocketAddr, sync::Arc};

use actix::test;
use async_trait::async_trait;
use lycheelatch_fakes::{Fault, MemoryKv};
use lycheelatch_peers::{KvSeeds, SeedError, SeedFinder, SeedSource};

use crate::common::{authority, start, wait_members};

/// A source that lists addresses at which there is no node.
struct Wrong;

#[async_trait(?Send)]
impl SeedSource for Wrong {
    async fn seeds(&self) -> Result<Vec<SocketAddr>, SeedError> {
        Ok(vec!["127.0.0.1:9".parse().unwrap()])
    }
}

/// A source that is out.
struct Out;

#[async_trait(?Send)]
impl SeedSource for Out {
    async fn seeds(&self) -> Result<Vec<SocketAddr>, SeedError> {
        Err(SeedError::Silent)
    }
}

#[test]
async fn start_without_seeds_joins_by_the_service() {
    let kv = MemoryKv::new();
    let kv = Arc::new(kv);
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let _finder_a = SeedFinder::start(a.clone(), vec![Arc::new(KvSeeds(kv.clone()))], kv.clone());
    let b = start(&ca, "b", &[]).await;
    let sources: Vec<Arc<dyn SeedSource>> =
        vec![Arc::new(Out), Arc::new(Wrong), Arc::new(KvSeeds(kv.clone()))];
    let _finder_b = SeedFinder::start(b.clone(), sources, kv.clone());
    wait_members(&a, |m| m.usable_count() == 2).await;
    wait_members(&b, |m| m.usable_count() == 2).await;
}

#[test]
async fn start_with_seeds_joins_while_the_service_is_out() {
    let kv = MemoryKv::new();
    kv.faults.set_default(Fault::Silent);
    let kv = Arc::new(kv);
    let ca = authority();
    let a = start(&ca, "a", &[]).await;
    let b = start(&ca, "b", &[a.local_addr().unwrap()]).await;
    let _finder = SeedFinder::start(b.clone(), vec![Arc::new(KvSeeds(kv.clone()))], kv.clone());
    wait_members(&a, |m| m.usable_count() == 2).await;
    wait_members(&b, |m| m.usable_count() == 2).await;
}
