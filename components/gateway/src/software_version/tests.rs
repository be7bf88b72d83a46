//! Which versions count as in use.

use std::time::Duration;

use super::*;
use crate::test_support::engine_entry;

const LIFE: Duration = Duration::from_secs(20);

fn entry(version: &str) -> UpstreamEntry {
    UpstreamEntry { version: Some(version.into()), ..engine_entry("r-1", "zone-a") }
}

fn only(history: &VersionHistory, now: Instant) -> Option<SoftwareVersion> {
    history.only_since(&entry("v1").service, now - LIFE)
}

#[tokio::test(start_paused = true)]
async fn only_since_counts_versions_that_left_lately() {
    tokio::time::advance(2 * LIFE).await;
    let mut history = VersionHistory::default();
    let (old, new) = (entry("v1"), entry("v2"));
    history.add(&old, Instant::now());
    history.add(&old, Instant::now());
    assert_eq!(only(&history, Instant::now()), Some((&old).into()));
    history.add(&new, Instant::now());
    history.remove(&old, Instant::now());
    history.remove(&old, Instant::now());
    assert_eq!(only(&history, Instant::now()), None, "the old one has just left");
    assert!(history.has_several_since(Instant::now() - LIFE));
    tokio::time::advance(LIFE + Duration::from_secs(1)).await;
    assert_eq!(only(&history, Instant::now()), Some((&new).into()));
}

#[tokio::test(start_paused = true)]
async fn only_since_knows_what_was_noted_of_the_past() {
    tokio::time::advance(2 * LIFE).await;
    let mut history = VersionHistory::default();
    let (old, new) = (entry("v1"), entry("v2"));
    history.add(&new, Instant::now());
    history.note_past(&old.service, (&old).into(), Instant::now());
    assert_eq!(only(&history, Instant::now()), None);
    history.forget_before(Instant::now() + LIFE);
    assert_eq!(only(&history, Instant::now()), Some((&new).into()), "it is forgotten");
}
