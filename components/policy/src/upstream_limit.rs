//! A node's part of the limit that an upstream names for all nodes together.
//!
//! In each turn some nodes may send to the upstream, so many that each of them may send about one
//! request a second, and all others may not. All nodes derive the same ones from the upstream's
//! name, the turn and the nodes that they know; over several turns every node gets its part.

use std::time::Duration;

use lycheelatch_prelude::{NodeId, UpstreamId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Minimum length of a turn.
const MIN_TURN: Duration = Duration::from_secs(4);

/// Share of a limit that is used. The rest covers nodes whose clocks differ and so their turns.
const USED_SHARE: f64 = 0.9;

/// Requests a second that an upstream gets at least, so that it can name another limit.
const MIN_RATE: f64 = 0.1;

/// Number of further turns in which the next one of a node is looked for.
const TURNS_AHEAD: u64 = 8;

/// A limit as an upstream named it in a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeardLimit {
    /// Requests a second from all nodes together, at least 0; `None` if it named none.
    pub per_second: Option<f64>,
    /// Time of the response by the cluster's clock, since the Unix epoch.
    pub at: Duration,
}

/// Nodes that share an upstream's limit, this one included.
#[derive(Debug, Clone, Copy)]
pub struct LimitSharers<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// This node.
    pub node: &'a NodeId,
    /// All nodes, without repetition.
    pub nodes: &'a [NodeId],
}

/// The rate at which the nodes of one turn send.
#[derive(Debug, Clone, Copy)]
struct Turns {
    length: Duration,
    /// Number of nodes that may send in one turn.
    senders: usize,
    /// Time between two requests of one of them.
    interval: Duration,
}

impl Turns {
    fn new(per_second: f64, nodes: usize) -> Turns {
        let rate = (per_second * USED_SHARE).max(MIN_RATE);
        let senders = (rate as usize).clamp(1, nodes.max(1));
        let interval = Duration::from_secs_f64(senders as f64 / rate);
        Turns { length: interval.max(MIN_TURN), senders, interval }
    }

    fn at(&self, now: Duration) -> u64 {
        let turn = now.as_nanos() / self.length.as_nanos();
        u64::try_from(turn).unwrap_or(u64::MAX)
    }

    fn start_of(&self, turn: u64) -> Duration {
        self.length.mul_f64(turn as f64)
    }
}

/// From when this node may send in or after a turn, as worked out for a number of nodes.
#[derive(Debug, Clone, Copy)]
struct KnownTurn {
    turn: u64,
    nodes: usize,
    sends_from: Duration,
}

/// The limit that an upstream names, and what this node sent to it.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimit {
    heard: Option<HeardLimit>,
    last_sent: Option<Duration>,
    known_turn: Option<KnownTurn>,
}

impl UpstreamLimit {
    /// Records what a response named, here or on another node; returns whether the limit changed.
    ///
    /// A response before the latest known one changes nothing.
    pub fn record(&mut self, heard: HeardLimit) -> bool {
        if self.heard.is_some_and(|known| known.at >= heard.at) {
            return false;
        }
        let is_changed = self.per_second() != heard.per_second;
        // That there is still none needs no record.
        if is_changed || heard.per_second.is_some() {
            self.heard = Some(heard);
        }
        if is_changed {
            self.known_turn = None;
        }
        is_changed
    }

    /// Returns the limit, or when it was gone; `None` if the upstream never named one.
    pub fn heard(&self) -> Option<HeardLimit> {
        self.heard
    }

    /// Returns the limit, if there is one.
    pub fn per_second(&self) -> Option<f64> {
        self.heard.and_then(|heard| heard.per_second)
    }

    /// Returns a hash of the limit, 0 if there is none; equal on all nodes that know the same.
    pub fn fingerprint(&self, upstream: &UpstreamId) -> u64 {
        let hash = |limit: f64| xxh3_64_with_seed(upstream.as_str().as_bytes(), limit.to_bits());
        self.per_second().map_or(0, hash)
    }

    /// Returns the time until this node may send a request to the upstream; 0 if it may at once.
    ///
    /// If none of the next turns is this node's, it is the time until they are over.
    pub fn time_to_send(&mut self, sharers: &LimitSharers<'_>, now: Duration) -> Duration {
        let Some(per_second) = self.per_second() else { return Duration::ZERO };
        let turns = Turns::new(per_second, sharers.nodes.len());
        let sends_from = self.sends_from(sharers, &turns, turns.at(now));
        let due = self.last_sent.map_or(Duration::ZERO, |sent| sent + turns.interval);
        sends_from.max(due).saturating_sub(now)
    }

    /// Records that this node sends a request to the upstream.
    pub fn record_sent(&mut self, now: Duration) {
        self.last_sent = Some(now);
    }

    /// Returns from when this node may send, in `turn` or a later one.
    fn sends_from(&mut self, sharers: &LimitSharers<'_>, turns: &Turns, turn: u64) -> Duration {
        let nodes = sharers.nodes.len();
        if let Some(known) = self.known_turn
            && known.turn == turn
            && known.nodes == nodes
        {
            return known.sends_from;
        }
        let mut ahead = turn..=turn + TURNS_AHEAD;
        let next = ahead.find(|turn| is_sender(sharers, turns.senders, *turn));
        let sends_from = turns.start_of(next.unwrap_or(turn + TURNS_AHEAD));
        self.known_turn = Some(KnownTurn { turn, nodes, sends_from });
        sends_from
    }
}

/// Returns whether this node is among the `count` nodes that may send in a turn.
fn is_sender(sharers: &LimitSharers<'_>, count: usize, turn: u64) -> bool {
    let seed = xxh3_64_with_seed(sharers.upstream.as_str().as_bytes(), turn);
    let rank = |node: &NodeId| (xxh3_64(node.as_str().as_bytes()) ^ seed).wrapping_mul(seed | 1);
    let own = rank(sharers.node);
    let others = sharers.nodes.iter().filter(|node| *node != sharers.node);
    others.filter(|node| rank(node) > own).count() < count
}
