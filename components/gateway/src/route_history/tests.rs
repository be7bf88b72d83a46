//! At which services a route's streams may have begun.

use std::time::Duration;

use super::*;
use crate::test_support::table;

const LIFE: Duration = Duration::from_secs(20);

/// Returns the key of the only route.
fn key() -> RouteKey {
    RouteKey(xxh3_64(b"route"))
}

/// Applies configurations with the shares of one route; returns its only service since a life ago.
fn only_after(shares: &[&[(&str, u32)]]) -> Option<String> {
    let mut history = RouteHistory::default();
    let mut before = None;
    for (shares, version) in shares.iter().zip(1..) {
        let next = table(version, shares);
        history.replace(before.as_ref(), &next, Instant::now());
        before = Some(next);
    }
    let only = history.only_since(&key(), Instant::now() - LIFE);
    only.map(|service| service.to_string())
}

#[tokio::test(start_paused = true)]
async fn only_since_counts_services_of_the_configurations_before() {
    tokio::time::advance(2 * LIFE).await;
    assert_eq!(only_after(&[&[("a", 1)]]).as_deref(), Some("a"));
    assert_eq!(only_after(&[&[("a", 1)], &[("a", 9)]]).as_deref(), Some("a"));
    assert_eq!(only_after(&[&[("a", 1), ("b", 0)]]).as_deref(), Some("a"), "no share");
    assert_eq!(only_after(&[&[("a", 90), ("b", 10)]]), None);
    assert_eq!(only_after(&[&[("a", 1)], &[("b", 1)]]), None, "it was moved");
    assert_eq!(only_after(&[&[("a", 1)], &[("b", 1)], &[("a", 1)]]), None, "and moved back");
}

#[tokio::test(start_paused = true)]
async fn only_since_forgets_a_service_whose_streams_have_ended() {
    tokio::time::advance(2 * LIFE).await;
    let (first, second) = (table(1, &[("a", 1)]), table(2, &[("b", 1)]));
    let mut history = RouteHistory::default();
    history.replace(None, &first, Instant::now());
    history.replace(Some(&first), &second, Instant::now());
    tokio::time::advance(LIFE + Duration::from_secs(1)).await;
    let only = history.only_since(&key(), Instant::now() - LIFE);
    assert_eq!(only, Some("b".parse().unwrap()));
}
