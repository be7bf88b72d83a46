//! Group commit across the threads of one node.

use std::{sync::Arc, thread, time::Duration};

use futures_util::future::join_all;
use lycheelatch_claims::{
    BodyDigest, ClaimDecision, ClaimError, Claims, ClaimsConfig, Settlement, StoredResponse,
};
use lycheelatch_fakes::MemoryKv;

const THREADS: u32 = 4;
const KEYS: u32 = 50;
const DEADLINE: Duration = Duration::from_secs(10);

/// Books a key and returns whether this call executed the booking.
async fn book(claims: &Claims, key: u32) -> Result<bool, ClaimError> {
    let key = format!("order-{key}").parse().unwrap();
    let (workspace, service) = ("cardigan".parse().unwrap(), "archeb-app".parse().unwrap());
    let (body, request) = (BodyDigest::of(b"six mats"), "request".parse().unwrap());
    let claim = claims.claim(&workspace, &service, &key, body, &request, DEADLINE);
    let ClaimDecision::Acquired(ticket) = claim.await? else {
        return Ok(false);
    };
    let response = StoredResponse { status: 201, headers: Vec::new(), body: "booked".into() };
    claims.settle(ticket, Settlement::Finished(response)).await?;
    Ok(true)
}

#[test]
fn claims_ending_threads_leave_no_caller_waiting() {
    let kv = MemoryKv::new();
    let cfg = ClaimsConfig { shards: 1, ..ClaimsConfig::default() };
    let claims = Claims::new(Arc::new(kv.clone()), cfg);
    let book_all = |claims: Claims| {
        let system = actix::System::new();
        system.block_on(async { join_all((0..KEYS).map(|key| book(&claims, key))).await })
    };
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let claims = claims.clone();
            thread::spawn(move || book_all(claims))
        })
        .collect();
    let results: Vec<_> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    let executed = results.iter().filter(|result| **result == Ok(true)).count() as u32;
    assert_eq!(executed, KEYS, "{results:?}");
    assert!(results.iter().all(Result::is_ok), "{results:?}");
    let writes = kv.calls().writes;
    assert!(writes < u64::from(KEYS), "{writes} writes for {KEYS} bookings");
}
