//! Detection of retries by callers.

use std::time::Duration;

use lycheelatch_prelude::{Attempt, IdempotencyKey, NodeId, RequestId, WorkspaceName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Size of one generation of the filter in bits; holds about 100,000 failures.
const FILTER_BITS: usize = 1 << 20;

/// Number of bits that one fingerprint sets.
const FILTER_HASHES: u32 = 4;

/// Time after which the older generation is cleared and a new one begins.
const GENERATION_TIME: Duration = Duration::from_secs(15);

/// Maximum number of fingerprints waiting to be sent to their home nodes.
const MAX_UNSENT: usize = 4096;

/// Hash that identifies a request and its retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u32);

impl Fingerprint {
    /// Returns the fingerprint of a request with an idempotency key.
    pub fn of_key(workspace: &WorkspaceName, key: &IdempotencyKey) -> Fingerprint {
        hash(&[b"key", workspace.as_str().as_bytes(), key.as_str().as_bytes()])
    }

    /// Returns the fingerprint of a request whose id was given by the caller.
    pub fn of_request_id(workspace: &WorkspaceName, id: &RequestId) -> Fingerprint {
        hash(&[b"id", workspace.as_str().as_bytes(), id.as_str().as_bytes()])
    }

    /// Returns the fingerprint of a request without an identifier from the caller.
    pub fn of_body(workspace: &WorkspaceName, path: &str, body: &[u8]) -> Fingerprint {
        hash(&[b"body", workspace.as_str().as_bytes(), path.as_bytes(), body])
    }
}

fn hash(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Fingerprint((hasher.digest() >> 32) as u32)
}

/// Returns the home node of a fingerprint, which stores whether the request failed.
///
/// A retry may arrive at any node. The node that refused the request notifies
/// the home node before it responds, and the node that receives the retry queries
/// the home node. Each node thus stores and sends only its share of the failures.
pub fn fingerprint_home(fingerprint: Fingerprint, nodes: &[NodeId]) -> Option<&NodeId> {
    let rank =
        |node: &&NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), u64::from(fingerprint.0));
    nodes.iter().max_by_key(rank)
}

/// Detects retries by a Bloom filter of recently failed or refused requests.
///
/// Requests that succeeded are not stored, because equal requests such as stock
/// look-ups are not retries of each other. The filter has a fixed size and two
/// generations; an entry expires after at most two generations. With a small
/// probability, a fresh request is classified as a retry.
#[derive(Debug, Clone)]
pub struct RetryDetector {
    current: Vec<u64>,
    previous: Vec<u64>,
    rotated_at: Option<Instant>,
    inserted_at: Option<Instant>,
    unsent: Vec<Fingerprint>,
}

impl Default for RetryDetector {
    fn default() -> RetryDetector {
        RetryDetector {
            current: vec![0; FILTER_BITS / 64],
            previous: vec![0; FILTER_BITS / 64],
            rotated_at: None,
            inserted_at: None,
            unsent: Vec::new(),
        }
    }
}

impl RetryDetector {
    /// Returns whether a request is a retry, by its attempt number or because it failed recently.
    pub fn is_retry(
        &mut self,
        now: Instant,
        attempt: Attempt,
        fingerprint: Option<Fingerprint>,
    ) -> bool {
        if !attempt.is_fresh() {
            return true;
        }
        self.rotate(now);
        fingerprint.is_some_and(|fingerprint| self.contains(fingerprint))
    }

    /// Records a request that failed or was refused at this node.
    pub fn record_failure(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.rotate(now);
        self.inserted_at = Some(now);
        if !self.insert(fingerprint) && self.unsent.len() < MAX_UNSENT {
            self.unsent.push(fingerprint);
        }
    }

    /// Returns whether any failure is stored, whether of this node or received from another node.
    ///
    /// If there is none, the home node of a request need not be queried.
    pub fn has_failures(&self, now: Instant) -> bool {
        self.inserted_at.is_some_and(|at| now.saturating_duration_since(at) < 2 * GENERATION_TIME)
    }

    /// Removes and returns up to `max` fingerprints that were not yet sent to their home nodes.
    pub fn take_unsent(&mut self, max: usize) -> Vec<Fingerprint> {
        let kept = self.unsent.len().saturating_sub(max);
        self.unsent.split_off(kept)
    }

    /// Records requests that failed at other nodes.
    pub fn merge(&mut self, now: Instant, fingerprints: &[Fingerprint]) {
        self.rotate(now);
        if !fingerprints.is_empty() {
            self.inserted_at = Some(now);
        }
        for fingerprint in fingerprints {
            self.insert(*fingerprint);
        }
    }

    fn rotate(&mut self, now: Instant) {
        let rotated_at = *self.rotated_at.get_or_insert(now);
        if now.saturating_duration_since(rotated_at) < GENERATION_TIME {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.fill(0);
        if now.saturating_duration_since(rotated_at) >= 2 * GENERATION_TIME {
            self.previous.fill(0);
        }
        self.rotated_at = Some(now);
    }

    fn contains(&self, fingerprint: Fingerprint) -> bool {
        let is_set = |bits: &[u64]| {
            bit_positions(fingerprint).all(|at| bits[at / 64] & (1 << (at % 64)) != 0)
        };
        is_set(&self.current) || is_set(&self.previous)
    }

    /// Inserts a fingerprint and returns whether the current generation already contained it.
    fn insert(&mut self, fingerprint: Fingerprint) -> bool {
        let mut was_present = true;
        for at in bit_positions(fingerprint) {
            was_present &= self.current[at / 64] & (1 << (at % 64)) != 0;
            self.current[at / 64] |= 1 << (at % 64);
        }
        was_present
    }
}

fn bit_positions(fingerprint: Fingerprint) -> impl Iterator<Item = usize> {
    let mixed = u64::from(fingerprint.0).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let (first, step) = (mixed >> 32, (mixed & 0xFFFF_FFFF) | 1);
    (0..u64::from(FILTER_HASHES))
        .map(move |i| (first.wrapping_add(i.wrapping_mul(step)) as usize) % FILTER_BITS)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fingerprint(n: u32) -> Fingerprint {
        let workspace = "capel".parse().unwrap();
        Fingerprint::of_body(&workspace, "/v1/completions", &n.to_le_bytes())
    }

    #[test]
    fn is_retry_by_attempt() {
        let mut detector = RetryDetector::default();
        assert!(detector.is_retry(Instant::now(), Attempt(2), None));
        assert!(!detector.is_retry(Instant::now(), Attempt::FIRST, None));
    }

    #[test]
    fn is_retry_only_after_failure() {
        let now = Instant::now();
        let mut detector = RetryDetector::default();
        assert!(!detector.is_retry(now, Attempt::FIRST, Some(fingerprint(1))));
        assert!(!detector.is_retry(now, Attempt::FIRST, Some(fingerprint(1))));
        detector.record_failure(now, fingerprint(1));
        assert!(detector.is_retry(now, Attempt::FIRST, Some(fingerprint(1))));
        assert!(!detector.is_retry(now, Attempt::FIRST, Some(fingerprint(2))));
    }

    #[test]
    fn has_failures_until_they_expire() {
        let now = Instant::now();
        let mut detector = RetryDetector::default();
        assert!(!detector.has_failures(now));
        detector.merge(now, &[fingerprint(1)]);
        assert!(detector.has_failures(now + GENERATION_TIME));
        assert!(!detector.has_failures(now + 2 * GENERATION_TIME));
    }

    #[test]
    fn is_retry_expires() {
        let now = Instant::now();
        let mut detector = RetryDetector::default();
        detector.record_failure(now, fingerprint(1));
        assert!(detector.is_retry(now + GENERATION_TIME, Attempt::FIRST, Some(fingerprint(1))));
        assert!(!detector.is_retry(
            now + 3 * GENERATION_TIME,
            Attempt::FIRST,
            Some(fingerprint(1))
        ));
    }

    #[test]
    fn is_retry_few_false_positives_at_capacity() {
        let now = Instant::now();
        let mut detector = RetryDetector::default();
        for n in 0..100_000 {
            detector.record_failure(now, fingerprint(n));
        }
        let false_positives = (1_000_000..1_010_000)
            .filter(|n| detector.is_retry(now, Attempt::FIRST, Some(fingerprint(*n))))
            .count();
        assert!(
            false_positives < 200,
            "{false_positives} of 10000 fresh requests classified as retries"
        );
    }

    #[test]
    fn merge_records_failures_of_another_node() {
        let now = Instant::now();
        let (mut a, mut b) = (RetryDetector::default(), RetryDetector::default());
        a.record_failure(now, fingerprint(1));
        a.record_failure(now, fingerprint(2));
        b.merge(now, &a.take_unsent(100));
        assert!(b.is_retry(now, Attempt::FIRST, Some(fingerprint(2))));
        assert!(b.take_unsent(100).is_empty());
        assert!(a.take_unsent(100).is_empty());
    }

    #[test]
    fn fingerprint_home_same_on_all_nodes_and_even() {
        let nodes: Vec<NodeId> = (0..7).map(|n| format!("node-{n}").parse().unwrap()).collect();
        let reversed: Vec<NodeId> = nodes.iter().rev().cloned().collect();
        let mut hits = [0; 7];
        for n in 0..7000 {
            let home = fingerprint_home(fingerprint(n), &nodes);
            assert_eq!(home, fingerprint_home(fingerprint(n), &reversed));
            hits[nodes.iter().position(|node| Some(node) == home).unwrap()] += 1;
        }
        assert!(hits.iter().all(|n| (850..1150).contains(n)), "{hits:?}");
        assert_eq!(fingerprint_home(fingerprint(1), &[]), None);
    }

    #[test]
    fn fingerprint_separates_parts() {
        let (a, b) = ("ab".parse().unwrap(), "a".parse().unwrap());
        assert_ne!(Fingerprint::of_body(&a, "c", b""), Fingerprint::of_body(&b, "bc", b""));
    }
}
