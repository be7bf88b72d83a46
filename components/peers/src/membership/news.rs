//! Updates that wait to be sent, bounded in bytes.

use std::collections::BTreeMap;

use lycheelatch_prelude::NodeId;
use tokio::time::Instant;

use super::msg::Update;

/// Times that an update travels on a probe or an answer after its first sending.
const PIGGYBACKS: u8 = 2;
/// Bytes of updates sent a second, over a longer time.
const BYTES_PER_SECOND: f64 = 6_000.0;
/// Bytes of updates that may go out at once.
const BURST_BYTES: f64 = 48_000.0;

/// Updates by the member they are about; a later one replaces an earlier one.
#[derive(Debug)]
pub(crate) struct News {
    fresh: BTreeMap<NodeId, Update>,
    sent: BTreeMap<NodeId, (Update, u8)>,
    allowance: f64,
    refilled: Instant,
}

impl News {
    pub(crate) fn new(now: Instant) -> News {
        News {
            fresh: BTreeMap::new(),
            sent: BTreeMap::new(),
            allowance: BURST_BYTES,
            refilled: now,
        }
    }

    /// Adds an update to be sent to every neighbour once.
    pub(crate) fn push(&mut self, update: Update) {
        self.sent.remove(update.id());
        self.fresh.insert(update.id().clone(), update);
    }

    /// Takes the fresh updates that fit `max_bytes` and the allowance for `copies` of them.
    pub(crate) fn take_fresh(
        &mut self,
        now: Instant,
        copies: usize,
        max_bytes: usize,
    ) -> Vec<Update> {
        self.refill(now);
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.fresh.first_entry() {
            let len = encoded_len(entry.get());
            let cost = (len * copies) as f64;
            if bytes + len > max_bytes || cost > self.allowance {
                break;
            }
            bytes += len;
            self.allowance -= cost;
            let (id, update) = entry.remove_entry();
            self.sent.insert(id, (update.clone(), PIGGYBACKS));
            batch.push(update);
        }
        batch
    }

    /// Returns updates of `max_bytes` to travel on a message that is sent anyway.
    pub(crate) fn piggyback(&mut self, max_bytes: usize) -> Vec<Update> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        self.sent.retain(|_, (update, left)| {
            let len = encoded_len(update);
            if bytes + len > max_bytes {
                return true;
            }
            bytes += len;
            *left -= 1;
            batch.push(update.clone());
            *left > 0
        });
        batch
    }

    fn refill(&mut self, now: Instant) {
        let secs = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.allowance = (self.allowance + secs * BYTES_PER_SECOND).min(BURST_BYTES);
        self.refilled = now;
    }
}

fn encoded_len(update: &Update) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(usize::MAX)
}
