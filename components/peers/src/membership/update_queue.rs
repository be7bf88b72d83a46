//! Queue of updates to distribute, with a limit on the send rate.

use std::collections::BTreeMap;

use lycheelatch_prelude::NodeId;
use tokio::time::Instant;

use super::message::Update;

/// Number of times an update is piggybacked on probes or responses after it was first sent.
const PIGGYBACK_COUNT: u8 = 2;
/// Sustained rate at which updates are sent, in bytes per second.
const BYTES_PER_SECOND: f64 = 6_000.0;
/// Maximum burst of updates, in bytes.
const BURST_BYTES: f64 = 48_000.0;

/// Updates by member; a later update of a member replaces an earlier one.
#[derive(Debug)]
pub(crate) struct UpdateQueue {
    unsent: BTreeMap<NodeId, Update>,
    /// Updates already sent, with the number of times to piggyback them.
    sent: BTreeMap<NodeId, (Update, u8)>,
    byte_budget: f64,
    last_refill: Instant,
}

impl UpdateQueue {
    pub(crate) fn new(now: Instant) -> UpdateQueue {
        UpdateQueue {
            unsent: BTreeMap::new(),
            sent: BTreeMap::new(),
            byte_budget: BURST_BYTES,
            last_refill: now,
        }
    }

    /// Queues an update to be sent to every neighbour once.
    pub(crate) fn push(&mut self, update: Update) {
        self.sent.remove(update.id());
        self.unsent.insert(update.id().clone(), update);
    }

    /// Takes unsent updates up to `max_bytes` and the byte budget, which `copies` of each use.
    pub(crate) fn take_unsent(
        &mut self,
        now: Instant,
        copies: usize,
        max_bytes: usize,
    ) -> Vec<Update> {
        self.refill(now);
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.unsent.first_entry() {
            let len = encoded_len(entry.get());
            let cost = (len * copies) as f64;
            if bytes + len > max_bytes || cost > self.byte_budget {
                break;
            }
            bytes += len;
            self.byte_budget -= cost;
            let (id, update) = entry.remove_entry();
            self.sent.insert(id, (update.clone(), PIGGYBACK_COUNT));
            batch.push(update);
        }
        batch
    }

    /// Returns updates up to `max_bytes` to piggyback on a message that is sent anyway.
    pub(crate) fn piggyback(&mut self, max_bytes: usize) -> Vec<Update> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        self.sent.retain(|_, (update, remaining)| {
            let len = encoded_len(update);
            if bytes + len > max_bytes {
                return true;
            }
            bytes += len;
            *remaining -= 1;
            batch.push(update.clone());
            *remaining > 0
        });
        batch
    }

    fn refill(&mut self, now: Instant) {
        let secs = now.saturating_duration_since(self.last_refill).as_secs_f64();
        self.byte_budget = (self.byte_budget + secs * BYTES_PER_SECOND).min(BURST_BYTES);
        self.last_refill = now;
    }
}

fn encoded_len(update: &Update) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(usize::MAX)
}
