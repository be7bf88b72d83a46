//! Recognises a request that was sent before.

use std::time::Duration;

use lycheelatch_prelude::{Attempt, IdempotencyKey, NodeId, RequestId, WorkspaceName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Bits of one generation of the filter; about 100,000 failures fit.
const FILTER_BITS: usize = 1 << 20;

/// Bits that one fingerprint sets.
const FILTER_HASHES: u32 = 4;

/// Time after which the older generation is forgotten.
const GENERATION: Duration = Duration::from_secs(15);

/// Most fingerprints that wait to be told to the peers.
const MAX_UNSHARED: usize = 4096;

/// Digest by which a request is known when it comes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u32);

impl Fingerprint {
    /// Fingerprint of a caller's own key.
    pub fn of_key(workspace: &WorkspaceName, key: &IdempotencyKey) -> Fingerprint {
        digest(&[b"key", workspace.as_str().as_bytes(), key.as_str().as_bytes()])
    }

    /// Fingerprint of a request id that the caller gave.
    pub fn of_request_id(workspace: &WorkspaceName, id: &RequestId) -> Fingerprint {
        digest(&[b"id", workspace.as_str().as_bytes(), id.as_str().as_bytes()])
    }

    /// Fingerprint of a request whose caller gave nothing to know it by.
    pub fn of_body(workspace: &WorkspaceName, path: &str, body: &[u8]) -> Fingerprint {
        digest(&[b"body", workspace.as_str().as_bytes(), path.as_bytes(), body])
    }
}

fn digest(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Fingerprint((hasher.digest() >> 32) as u32)
}

/// Returns the node that remembers whether requests with this fingerprint failed.
///
/// A caller's retry comes to any node. The node that refused it has told this
/// one before it answered, and the node that gets the retry asks this one, so
/// each node keeps and carries only its part of the failures of all.
pub fn fingerprint_home(mark: Fingerprint, nodes: &[NodeId]) -> Option<&NodeId> {
    let rank = |node: &&NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), u64::from(mark.0));
    nodes.iter().max_by_key(rank)
}

/// Filter of the requests that failed or were refused lately.
///
/// Only those are kept: equal requests that were answered, such as stock
/// look-ups, are not retries of each other. The filter has a fixed size, may
/// take a fresh request for a retry with a small probability, and forgets
/// within two generations.
#[derive(Debug, Clone)]
pub struct RetryDetector {
    young: Vec<u64>,
    old: Vec<u64>,
    turned: Option<Instant>,
    inserted: Option<Instant>,
    unshared: Vec<Fingerprint>,
}

impl Default for RetryDetector {
    fn default() -> RetryDetector {
        RetryDetector {
            young: vec![0; FILTER_BITS / 64],
            old: vec![0; FILTER_BITS / 64],
            turned: None,
            inserted: None,
            unshared: Vec::new(),
        }
    }
}

impl RetryDetector {
    /// Returns whether a request is a retry.
    pub fn is_retry(&mut self, now: Instant, attempt: Attempt, mark: Option<Fingerprint>) -> bool {
        if !attempt.is_fresh() {
            return true;
        }
        self.turn(now);
        mark.is_some_and(|mark| self.contains(mark))
    }

    /// Remembers a request that failed or was refused at this node.
    pub fn failed(&mut self, now: Instant, mark: Fingerprint) {
        self.turn(now);
        self.inserted = Some(now);
        if !self.insert(mark) && self.unshared.len() < MAX_UNSHARED {
            self.unshared.push(mark);
        }
    }

    /// Returns whether any failure is remembered, here or told by a peer.
    ///
    /// While none is, there is no need to ask a request's home.
    pub fn has_failures(&self, now: Instant) -> bool {
        self.inserted.is_some_and(|at| now.saturating_duration_since(at) < 2 * GENERATION)
    }

    /// Takes up to `max` fingerprints that their homes don't know of yet.
    pub fn take_unsent(&mut self, max: usize) -> Vec<Fingerprint> {
        let rest = self.unshared.len().saturating_sub(max);
        self.unshared.split_off(rest)
    }

    /// Remembers requests that failed at a peer.
    pub fn merge(&mut self, now: Instant, marks: &[Fingerprint]) {
        self.turn(now);
        if !marks.is_empty() {
            self.inserted = Some(now);
        }
        for mark in marks {
            self.insert(*mark);
        }
    }

    fn turn(&mut self, now: Instant) {
        let turned = *self.turned.get_or_insert(now);
        if now.saturating_duration_since(turned) < GENERATION {
            return;
        }
        std::mem::swap(&mut self.young, &mut self.old);
        self.young.fill(0);
        if now.saturating_duration_since(turned) >= 2 * GENERATION {
            self.old.fill(0);
        }
        self.turned = Some(now);
    }

    fn contains(&self, mark: Fingerprint) -> bool {
        let is_in = |bits: &[u64]| places(mark).all(|at| bits[at / 64] & (1 << (at % 64)) != 0);
        is_in(&self.young) || is_in(&self.old)
    }

    /// Inserts a fingerprint and returns whether the young generation had it.
    fn insert(&mut self, mark: Fingerprint) -> bool {
        let mut was_in = true;
        for at in places(mark) {
            was_in &= self.young[at / 64] & (1 << (at % 64)) != 0;
            self.young[at / 64] |= 1 << (at % 64);
        }
        was_in
    }
}

fn places(mark: Fingerprint) -> impl Iterator<Item = usize> {
    let mixed = u64::from(mark.0).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let (first, step) = (mixed >> 32, (mixed & 0xFFFF_FFFF) | 1);
    (0..u64::from(FILTER_HASHES))
        .map(move |i| (first.wrapping_add(i.wrapping_mul(step)) as usize) % FILTER_BITS)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn mark(n: u32) -> Fingerprint {
        let workspace = "capel".parse().unwrap();
        Fingerprint::of_body(&workspace, "/v1/completions", &n.to_le_bytes())
    }

    #[test]
    fn is_retry_by_attempt() {
        let mut sense = RetryDetector::default();
        assert!(sense.is_retry(Instant::now(), Attempt(2), None));
        assert!(!sense.is_retry(Instant::now(), Attempt::FIRST, None));
    }

    #[test]
    fn is_retry_only_after_failure() {
        let now = Instant::now();
        let mut sense = RetryDetector::default();
        assert!(!sense.is_retry(now, Attempt::FIRST, Some(mark(1))));
        assert!(!sense.is_retry(now, Attempt::FIRST, Some(mark(1))));
        sense.failed(now, mark(1));
        assert!(sense.is_retry(now, Attempt::FIRST, Some(mark(1))));
        assert!(!sense.is_retry(now, Attempt::FIRST, Some(mark(2))));
    }

    #[test]
    fn has_failures_while_failures_are_remembered() {
        let now = Instant::now();
        let mut sense = RetryDetector::default();
        assert!(!sense.has_failures(now));
        sense.merge(now, &[mark(1)]);
        assert!(sense.has_failures(now + GENERATION));
        assert!(!sense.has_failures(now + 2 * GENERATION));
    }

    #[test]
    fn is_retry_forgets() {
        let now = Instant::now();
        let mut sense = RetryDetector::default();
        sense.failed(now, mark(1));
        assert!(sense.is_retry(now + GENERATION, Attempt::FIRST, Some(mark(1))));
        assert!(!sense.is_retry(now + 3 * GENERATION, Attempt::FIRST, Some(mark(1))));
    }

    #[test]
    fn is_retry_few_false_at_capacity() {
        let now = Instant::now();
        let mut sense = RetryDetector::default();
        for n in 0..100_000 {
            sense.failed(now, mark(n));
        }
        let wrong = (1_000_000..1_010_000)
            .filter(|n| sense.is_retry(now, Attempt::FIRST, Some(mark(*n))))
            .count();
        assert!(wrong < 200, "{wrong} of 10000 fresh requests taken for retries");
    }

    #[test]
    fn merge_tells_peer() {
        let now = Instant::now();
        let (mut a, mut b) = (RetryDetector::default(), RetryDetector::default());
        a.failed(now, mark(1));
        a.failed(now, mark(2));
        b.merge(now, &a.take_unsent(100));
        assert!(b.is_retry(now, Attempt::FIRST, Some(mark(2))));
        assert!(b.take_unsent(100).is_empty());
        assert!(a.take_unsent(100).is_empty());
    }

    #[test]
    fn sense_home_same_for_all_and_even() {
        let nodes: Vec<NodeId> = (0..7).map(|n| format!("node-{n}").parse().unwrap()).collect();
        let turned: Vec<NodeId> = nodes.iter().rev().cloned().collect();
        let mut hits = [0; 7];
        for n in 0..7000 {
            let home = fingerprint_home(mark(n), &nodes);
            assert_eq!(home, fingerprint_home(mark(n), &turned));
            hits[nodes.iter().position(|node| Some(node) == home).unwrap()] += 1;
        }
        assert!(hits.iter().all(|n| (850..1150).contains(n)), "{hits:?}");
        assert_eq!(fingerprint_home(mark(1), &[]), None);
    }

    #[test]
    fn fingerprint_parts_do_not_run_together() {
        let (a, b) = ("ab".parse().unwrap(), "a".parse().unwrap());
        assert_ne!(Fingerprint::of_body(&a, "c", b""), Fingerprint::of_body(&b, "bc", b""));
    }
}
