//! The store of claims stays within its bound and forgets what has expired.

use std::{sync::Arc, time::Duration};

use lycheelatch_claims::{
    BodyDigest, ClaimDecision, ClaimError, Claims, ClaimsConfig, Settlement, StoredResponse,
};
use lycheelatch_fakes::{Fault, MemoryKv};
use tokio::time::{Instant, sleep};

const MAX_STORE_BYTES: u64 = 20_000;
const MIN_TTL: Duration = Duration::from_secs(600);
const TTL: Duration = Duration::from_secs(6000);

fn claims(kv: &MemoryKv) -> Claims {
    let cfg = ClaimsConfig {
        shards: 1,
        seal_bytes: 1000,
        max_store_bytes: MAX_STORE_BYTES,
        min_ttl: MIN_TTL,
        ttl: TTL,
        commit_interval: Duration::from_millis(1),
        ..ClaimsConfig::default()
    };
    Claims::new(Arc::new(kv.clone()), cfg)
}

async fn claim(claims: &Claims, key: u32) -> Result<ClaimDecision, ClaimError> {
    let key = format!("order-{key}").parse().unwrap();
    let (workspace, service) = ("cardigan".parse().unwrap(), "archeb-app".parse().unwrap());
    let (body, request) = (BodyDigest::of(b"six mats"), "request".parse().unwrap());
    let deadline = Duration::from_secs(5);
    claims.claim(&workspace, &service, &key, body, &request, deadline).await
}

/// Books a key and returns whether it was executed now.
async fn book(claims: &Claims, key: u32) -> Result<bool, ClaimError> {
    let ClaimDecision::Acquired(ticket) = claim(claims, key).await? else {
        return Ok(false);
    };
    let answer = StoredResponse { status: 201, headers: Vec::new(), body: "booked".into() };
    claims.settle(ticket, Settlement::Finished(answer)).await?;
    Ok(true)
}

fn stored_bytes(kv: &MemoryKv) -> u64 {
    kv.peek("").iter().map(|entry| entry.value.len() as u64).sum()
}

#[actix::test]
async fn claims_full_store_refuses_rather_than_forgets() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let claims = claims(&kv);
    let mut made = 0;
    while book(&claims, made).await == Ok(true) {
        made += 1;
        assert!(made < 1000, "the store has no bound");
    }
    assert_eq!(claim(&claims, made).await, Err(ClaimError::Full));
    assert!(stored_bytes(&kv) < MAX_STORE_BYTES + 2000, "{} bytes", stored_bytes(&kv));
    for key in 0..made {
        assert_eq!(book(&claims, key).await, Ok(false), "key {key} was forgotten");
    }
}

#[actix::test]
async fn claims_full_store_drops_the_oldest_after_min_ttl() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let claims = claims(&kv);
    let mut made = 0;
    while book(&claims, made).await == Ok(true) {
        made += 1;
    }
    sleep(MIN_TTL + Duration::from_secs(10)).await;
    assert_eq!(book(&claims, made).await, Ok(true));
    assert_eq!(book(&claims, made - 1).await, Ok(false), "the newest was forgotten");
}

#[actix::test]
async fn clean_expired_claims_leave_the_store() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let claims = claims(&kv);
    for key in 0..100 {
        assert_eq!(book(&claims, key).await, Ok(true));
    }
    assert!(kv.peek("").len() > 3, "nothing was sealed");
    claims.clean().await;
    assert_eq!(book(&claims, 3).await, Ok(false), "a key was forgotten before its time");
    sleep(TTL + Duration::from_secs(10)).await;
    claims.clean().await;
    assert_eq!(kv.peek("").len(), 1, "segments were left behind");
    assert!(stored_bytes(&kv) < 100);
}

#[actix::test]
async fn drain_records_what_is_owed() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let claims = claims(&kv);
    let Ok(ClaimDecision::Acquired(ticket)) = claim(&claims, 1).await else {
        panic!("a new key is free");
    };
    kv.faults.set_standing(Fault::Refuse);
    let answer = StoredResponse { status: 201, headers: Vec::new(), body: "booked".into() };
    let deferred = claims.settle(ticket, Settlement::Finished(answer)).await;
    assert_eq!((deferred, claims.owed()), (Err(ClaimError::Deferred), 1));
    assert_eq!(claims.drain(Instant::now() + Duration::from_secs(5)).await, 1);
    kv.faults.clear();
    assert_eq!(claims.drain(Instant::now() + Duration::from_secs(5)).await, 0);
    assert!(matches!(claim(&claims, 1).await, Ok(ClaimDecision::Finished(_))));
}
