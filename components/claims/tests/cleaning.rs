//! Size limit of the claim store and removal of expired claims.

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

/// Books a key and returns whether this call executed the booking.
async fn book(claims: &Claims, key: u32) -> Result<bool, ClaimError> {
    let ClaimDecision::Acquired(ticket) = claim(claims, key).await? else {
        return Ok(false);
    };
    let response = StoredResponse { status: 201, headers: Vec::new(), body: "booked".into() };
    claims.settle(ticket, Settlement::Finished(response)).await?;
    Ok(true)
}

/// Books with one key after the other until the store is full; returns the number of bookings.
async fn book_until_full(claims: &Claims) -> u32 {
    let mut booked = 0;
    while book(claims, booked).await == Ok(true) {
        booked += 1;
        assert!(booked < 1000, "the store has no size limit");
    }
    booked
}

fn stored_bytes(kv: &MemoryKv) -> u64 {
    kv.peek("").iter().map(|entry| entry.value.len() as u64).sum()
}

#[actix::test]
async fn claim_full_store_is_refused_within_min_ttl() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let claims = claims(&kv);
    let booked = book_until_full(&claims).await;
    assert_eq!(claim(&claims, booked).await, Err(ClaimError::Full));
    assert!(stored_bytes(&kv) < MAX_STORE_BYTES + 2000, "{} bytes", stored_bytes(&kv));
    for key in 0..booked {
        assert_eq!(
            book(&claims, key).await,
            Ok(false),
            "key {key} was dropped within the minimum TTL"
        );
    }
}

#[actix::test]
async fn claim_full_store_drops_the_oldest_after_min_ttl() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let claims = claims(&kv);
    let booked = book_until_full(&claims).await;
    sleep(MIN_TTL + Duration::from_secs(10)).await;
    assert_eq!(book(&claims, booked).await, Ok(true));
    assert_eq!(book(&claims, booked - 1).await, Ok(false), "the newest key was dropped");
}

#[actix::test]
async fn remove_expired_empties_the_store() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let claims = claims(&kv);
    for key in 0..100 {
        assert_eq!(book(&claims, key).await, Ok(true));
    }
    assert!(kv.peek("").len() > 3, "no segment was written");
    claims.remove_expired().await;
    assert_eq!(book(&claims, 3).await, Ok(false), "a key was dropped before it expired");
    sleep(TTL + Duration::from_secs(10)).await;
    claims.remove_expired().await;
    assert_eq!(kv.peek("").len(), 1, "expired segments were not deleted");
    assert!(stored_bytes(&kv) < 100);
}

#[actix::test]
async fn drain_records_pending_settlements() {
    tokio::time::pause();
    let kv = MemoryKv::new();
    let claims = claims(&kv);
    let Ok(ClaimDecision::Acquired(ticket)) = claim(&claims, 1).await else {
        panic!("a new key was not acquired");
    };
    kv.faults.set_default(Fault::Refuse);
    let response = StoredResponse { status: 201, headers: Vec::new(), body: "booked".into() };
    let deferred = claims.settle(ticket, Settlement::Finished(response)).await;
    assert_eq!((deferred, claims.pending_settlements()), (Err(ClaimError::Deferred), 1));
    assert_eq!(claims.drain(Instant::now() + Duration::from_secs(5)).await, 1);
    kv.faults.clear();
    assert_eq!(claims.drain(Instant::now() + Duration::from_secs(5)).await, 0);
    assert!(matches!(claim(&claims, 1).await, Ok(ClaimDecision::Finished(_))));
}
