//! Compact encoding of the load of many upstreams.
//!
//! Each upstream has a home node, which reads its load reports and sends the
//! load of all its upstreams to the other nodes in one digest: one byte for each
//! upstream, in the order of their names. All nodes know the names, so a digest
//! does not contain them; a checksum of the names detects nodes that disagree.

use displaydoc::Display;
use lycheelatch_prelude::{NodeId, UpstreamId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Request counts represented by the values of four bits.
const LEVELS: [u32; 16] = [0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192];

/// Size of the header: the checksum and the round number.
const HEADER_BYTES: usize = 8;

/// Returns the home node of an upstream, which reads its load reports (rendezvous hashing).
pub fn report_home<'a>(upstream: &UpstreamId, nodes: &'a [NodeId]) -> Option<&'a NodeId> {
    let seed = xxh3_64(upstream.as_str().as_bytes());
    nodes.iter().max_by_key(|node| xxh3_64_with_seed(node.as_str().as_bytes(), seed))
}

/// Load of one upstream, in number of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
}

impl ObservedLoad {
    /// Creates a load.
    pub fn new(running: u32, waiting: u32) -> ObservedLoad {
        ObservedLoad { running, waiting }
    }

    /// Returns the load with the precision of a digest, as after encoding and decoding.
    pub fn quantized(self) -> ObservedLoad {
        ObservedLoad::from_byte(self.to_byte())
    }

    fn to_byte(self) -> u8 {
        level(self.running) << 4 | level(self.waiting)
    }

    fn from_byte(byte: u8) -> ObservedLoad {
        let of = |level: u8| LEVELS[usize::from(level)];
        ObservedLoad { running: of(byte >> 4), waiting: of(byte & 15) }
    }
}

/// Returns the index of the nearest level.
fn level(count: u32) -> u8 {
    let above = LEVELS.partition_point(|level| *level < count).min(LEVELS.len() - 1);
    let below = above.saturating_sub(1);
    let is_nearer_below = count.abs_diff(LEVELS[below]) < count.abs_diff(LEVELS[above]);
    (if is_nearer_below { below } else { above }) as u8
}

/// Load digest of the upstreams of one home node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadDigest {
    /// Round number; receivers discard digests of earlier rounds.
    pub round: u32,
    /// Loads, in the order of the names of the upstreams.
    pub loads: Vec<ObservedLoad>,
}

/// Error when decoding a load digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum DigestError {
    /// load digest truncated: {0} bytes, shorter than its header
    TooShort(usize),
    /// load digest has {digest} upstreams, expected {known}
    CountMismatch {
        /// Number of upstreams in the digest.
        digest: usize,
        /// Number of known upstreams of the home node.
        known: usize,
    },
    /// load digest checksum does not match the known upstreams
    UpstreamsMismatch,
}

impl std::error::Error for DigestError {}

impl LoadDigest {
    /// Encodes the digest; `upstreams` must be in the order of their names.
    pub fn encode(&self, upstreams: &[UpstreamId]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.loads.len());
        bytes.extend(checksum(upstreams).to_le_bytes());
        bytes.extend(self.round.to_le_bytes());
        bytes.extend(self.loads.iter().map(|load| load.to_byte()));
        bytes
    }

    /// Decodes a digest; `upstreams` must be in the order of their names.
    pub fn decode(bytes: &[u8], upstreams: &[UpstreamId]) -> Result<LoadDigest, DigestError> {
        let too_short = || DigestError::TooShort(bytes.len());
        let (sum, rest) = bytes.split_first_chunk::<4>().ok_or_else(too_short)?;
        let (round, loads) = rest.split_first_chunk::<4>().ok_or_else(too_short)?;
        if loads.len() != upstreams.len() {
            let (digest, known) = (loads.len(), upstreams.len());
            return Err(DigestError::CountMismatch { digest, known });
        }
        if u32::from_le_bytes(*sum) != checksum(upstreams) {
            return Err(DigestError::UpstreamsMismatch);
        }
        Ok(LoadDigest {
            round: u32::from_le_bytes(*round),
            loads: loads.iter().map(|byte| ObservedLoad::from_byte(*byte)).collect(),
        })
    }
}

fn checksum(upstreams: &[UpstreamId]) -> u32 {
    let mut hasher = Xxh3::new();
    for upstream in upstreams {
        hasher.update(upstream.as_str().as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest() as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    fn upstreams(n: usize) -> Vec<UpstreamId> {
        (0..n).map(|n| format!("engine-{n:04}").parse().unwrap()).collect()
    }

    fn nodes(n: usize) -> Vec<NodeId> {
        (0..n).map(|n| format!("node-{n}").parse().unwrap()).collect()
    }

    #[test]
    fn encode_decode_rounds_within_a_quarter() {
        let upstreams = upstreams(150);
        let loads: Vec<_> = (0..150).map(|n| ObservedLoad::new(n, n / 3)).collect();
        let digest = LoadDigest { round: 7, loads: loads.clone() };
        let bytes = digest.encode(&upstreams);
        assert_eq!(bytes.len(), HEADER_BYTES + 150);
        let decoded = LoadDigest::decode(&bytes, &upstreams).unwrap();
        assert_eq!(decoded.round, 7);
        for (original, quantized) in loads.iter().zip(&decoded.loads) {
            assert!(
                original.running.abs_diff(quantized.running) * 4 <= original.running,
                "{original:?} {quantized:?}"
            );
            assert_eq!(original.quantized(), *quantized);
        }
    }

    #[test]
    fn decode_rejects_other_upstreams() {
        let digest = LoadDigest { round: 1, loads: vec![ObservedLoad::default(); 20] };
        let known = upstreams(21);
        let bytes = digest.encode(&known[..20]);
        assert_eq!(LoadDigest::decode(&bytes, &known[1..]), Err(DigestError::UpstreamsMismatch));
        let mismatch = DigestError::CountMismatch { digest: 20, known: 21 };
        assert_eq!(LoadDigest::decode(&bytes, &known), Err(mismatch));
        assert_eq!(LoadDigest::decode(&bytes[..5], &known), Err(DigestError::TooShort(5)));
    }

    #[test]
    fn report_home_changes_only_for_removed_node() {
        let (upstreams, mut nodes) = (upstreams(2000), nodes(50));
        let homes: Vec<NodeId> =
            upstreams.iter().map(|u| report_home(u, &nodes).unwrap().clone()).collect();
        let removed = nodes.remove(17);
        for (upstream, home) in upstreams.iter().zip(&homes) {
            let now = report_home(upstream, &nodes).unwrap();
            assert!(*home == removed || now == home);
        }
        assert_eq!(report_home(&upstreams[0], &[]), None);
    }
}
