//! In-memory state of one shard: applies operations without I/O.

use std::{collections::HashMap, sync::Arc};

use crate::{
    ClaimsConfig, Settlement, UnixMillis,
    ops::{Op, OpKind, Reply},
    record::{Claimant, KeyDigest, Record, State, TicketId},
};

/// Maximum size of a head that accepts new claims, in bytes.
const MAX_HEAD_BYTES: usize = 512 * 1024;

/// Identifier of a segment, unique within its shard.
pub(crate) type SegmentId = Arc<str>;

/// Metadata of a segment, stored in the head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SegmentRef {
    pub(crate) id: SegmentId,
    /// Size of the segment, in bytes.
    pub(crate) bytes: u64,
    /// Time before which the segment must not be dropped.
    pub(crate) keep_until: UnixMillis,
    /// Time after which none of its records has any effect.
    pub(crate) expires_at: UnixMillis,
}

/// Mutable part of a shard: recent records and the list of segments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Head {
    /// Segments, oldest first.
    pub(crate) segments: Vec<SegmentRef>,
    /// Records that take precedence over those of the segments.
    pub(crate) records: HashMap<KeyDigest, Record>,
}

/// Immutable set of older records.
pub(crate) type Segment = HashMap<KeyDigest, Record>;

/// Shard as read from the store, with uncommitted changes.
pub(crate) struct Shard<'a> {
    cfg: &'a ClaimsConfig,
    now: UnixMillis,
    head: Head,
    head_bytes: usize,
    segments: Vec<Arc<Segment>>,
    is_changed: bool,
}

impl<'a> Shard<'a> {
    /// Creates a shard from its head, of `head_bytes` bytes, and its segments, oldest first.
    pub(crate) fn new(
        cfg: &'a ClaimsConfig,
        now: UnixMillis,
        head: Head,
        head_bytes: usize,
        segments: Vec<Arc<Segment>>,
    ) -> Shard<'a> {
        Shard { cfg, now, head, head_bytes, segments, is_changed: false }
    }

    /// Returns the head if it has changed.
    pub(crate) fn into_changed_head(self) -> Option<Head> {
        self.is_changed.then_some(self.head)
    }

    pub(crate) fn apply(&mut self, op: &Op) -> Reply {
        match &op.kind {
            OpKind::Claim => self.claim(op.key, op.claimant),
            OpKind::Settle(settlement) => self.settle(op.key, op.claimant, settlement),
        }
    }

    /// Drops expired records and segments, and the oldest segments while the shard is too large.
    pub(crate) fn evict(&mut self) {
        let (cfg, now) = (self.cfg, self.now);
        let before = (self.head.segments.len(), self.head.records.len());
        self.head.records.retain(|_, record| record.expires_at(cfg) > now);
        let mut bytes = self.bytes();
        let max = cfg.max_shard_bytes();
        self.head.segments.retain(|segment| {
            let is_over_limit = bytes > max && segment.keep_until <= now;
            let is_dropped = is_over_limit || segment.expires_at <= now;
            if is_dropped {
                bytes -= segment.bytes;
            }
            !is_dropped
        });
        self.is_changed |= before != (self.head.segments.len(), self.head.records.len());
    }

    fn bytes(&self) -> u64 {
        let segments: u64 = self.head.segments.iter().map(|segment| segment.bytes).sum();
        segments + self.head_bytes as u64
    }

    fn is_full(&self) -> bool {
        self.head_bytes > MAX_HEAD_BYTES || self.bytes() > self.cfg.max_shard_bytes()
    }

    fn find(&self, key: KeyDigest) -> Option<&Record> {
        let in_segments = || self.segments.iter().rev().find_map(|segment| segment.get(&key));
        let record = self.head.records.get(&key).or_else(in_segments)?;
        (record.expires_at(self.cfg) > self.now).then_some(record)
    }

    fn put(&mut self, record: Record) {
        self.is_changed = true;
        self.head.records.insert(record.key, record);
    }

    fn claim(&mut self, key: KeyDigest, claimant: Claimant) -> Reply {
        let Some(record) = self.find(key) else {
            return self.insert_claim(key, claimant, Vec::new());
        };
        if record.is_withdrawn(claimant.ticket) {
            return Reply::Withdrawn;
        }
        if record.state == State::Released {
            let mut earlier = record.clone();
            earlier.withdraw(earlier.claimant.ticket);
            return self.insert_claim(key, claimant, earlier.withdrawn);
        }
        if record.claimant.ticket == claimant.ticket && record.state == State::Claimed {
            return Reply::Acquired;
        }
        if record.claimant.body != claimant.body {
            return Reply::BodyMismatch;
        }
        match &record.state {
            State::Finished(response) => Reply::Finished(response.clone()),
            State::Claimed if self.now <= record.claimant.deadline.after(self.cfg.grace) => {
                Reply::Running(record.claimant.deadline)
            }
            State::Claimed | State::Unknown | State::Released => Reply::OutcomeUnknown,
        }
    }

    fn insert_claim(
        &mut self,
        key: KeyDigest,
        claimant: Claimant,
        withdrawn: Vec<TicketId>,
    ) -> Reply {
        if self.is_full() {
            return Reply::Full;
        }
        self.put(Record { key, claimant, state: State::Claimed, withdrawn });
        Reply::Acquired
    }

    fn settle(&mut self, key: KeyDigest, claimant: Claimant, settlement: &Settlement) -> Reply {
        let state = match settlement {
            Settlement::Finished(response) => {
                State::Finished(response.clone().limited_to(self.cfg.max_response_bytes))
            }
            Settlement::NotRun => State::Released,
            Settlement::Unknown => State::Unknown,
        };
        let Some(record) = self.find(key) else {
            self.put(Record { key, claimant, state, withdrawn: Vec::new() });
            return Reply::Settled;
        };
        let mut record = record.clone();
        if record.claimant.ticket != claimant.ticket {
            return self.settle_other_ticket(record, claimant, state);
        }
        if record.state != State::Claimed {
            return Reply::Settled;
        }
        record.state = state;
        self.put(record);
        Reply::Settled
    }

    /// Settles a claim whose ticket is not that of the record.
    fn settle_other_ticket(
        &mut self,
        mut record: Record,
        claimant: Claimant,
        state: State,
    ) -> Reply {
        if state == State::Released && !record.is_withdrawn(claimant.ticket) {
            record.withdraw(claimant.ticket);
            self.put(record);
        }
        Reply::Settled
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use bytes::Bytes;

    use super::*;
    use crate::{BodyDigest, StoredResponse};

    const NOW: UnixMillis = UnixMillis(1_000_000_000);
    const KEY: KeyDigest = KeyDigest([7; 16]);

    fn claimant(sequence: u64) -> Claimant {
        let deadline = NOW.after(Duration::from_secs(10));
        let body = BodyDigest::of(b"bale 17");
        Claimant { ticket: TicketId { epoch: 1, sequence }, body, created: NOW, deadline }
    }

    fn claim(sequence: u64) -> Op {
        Op { key: KEY, claimant: claimant(sequence), kind: OpKind::Claim }
    }

    fn settle(sequence: u64, settlement: Settlement) -> Op {
        Op { key: KEY, claimant: claimant(sequence), kind: OpKind::Settle(settlement) }
    }

    fn response() -> StoredResponse {
        StoredResponse { status: 201, headers: Vec::new(), body: Bytes::from_static(b"ok") }
    }

    fn replies(now: UnixMillis, ops: &[Op]) -> Vec<Reply> {
        let cfg = ClaimsConfig::default();
        let mut shard = Shard::new(&cfg, now, Head::default(), 0, Vec::new());
        ops.iter().map(|op| shard.apply(op)).collect()
    }

    #[test]
    fn apply_second_claim_is_reported_running() {
        let running = Reply::Running(claimant(1).deadline);
        assert_eq!(
            replies(NOW, &[claim(1), claim(1), claim(2)]),
            [Reply::Acquired, Reply::Acquired, running]
        );
    }

    #[test]
    fn apply_finished_claim_returns_the_response() {
        let settled = settle(1, Settlement::Finished(response()));
        let got = replies(NOW, &[claim(1), settled, claim(2)]);
        assert_eq!(got[2], Reply::Finished(response()));
    }

    #[test]
    fn apply_different_body_is_refused() {
        let mut other = claim(2);
        other.claimant.body = BodyDigest::of(b"bale 18");
        assert_eq!(replies(NOW, &[claim(1), other])[1], Reply::BodyMismatch);
    }

    #[test]
    fn apply_overdue_claim_has_unknown_outcome() {
        let later = NOW.after(Duration::from_secs(60));
        assert_eq!(replies(later, &[claim(1), claim(2)])[1], Reply::OutcomeUnknown);
    }

    #[test]
    fn apply_not_run_releases_the_key() {
        let got = replies(NOW, &[claim(1), settle(1, Settlement::NotRun), claim(2)]);
        assert_eq!(got[2], Reply::Acquired);
    }

    #[test]
    fn apply_late_claim_of_withdrawn_ticket_is_refused() {
        let withdrawn = settle(1, Settlement::NotRun);
        assert_eq!(replies(NOW, &[withdrawn.clone(), claim(1)])[1], Reply::Withdrawn);
        let released_again =
            [withdrawn, claim(2), settle(2, Settlement::NotRun), claim(1), claim(3)];
        assert_eq!(replies(NOW, &released_again)[3..], [Reply::Withdrawn, Reply::Acquired]);
    }

    #[test]
    fn apply_withdrawal_leaves_other_claim_unchanged() {
        let got = replies(NOW, &[claim(2), settle(1, Settlement::NotRun), claim(3), claim(1)]);
        assert_eq!(got[2], Reply::Running(claimant(2).deadline));
        assert_eq!(got[3], Reply::Withdrawn);
    }

    #[test]
    fn apply_large_response_stores_only_the_status() {
        let large = StoredResponse { body: Bytes::from(vec![0; 1 << 20]), ..response() };
        let settled = settle(1, Settlement::Finished(large));
        let Reply::Finished(kept) = replies(NOW, &[claim(1), settled, claim(2)]).remove(2) else {
            panic!("the outcome was not stored");
        };
        assert_eq!((kept.status, kept.body.len()), (201, 0));
        assert_eq!(kept.headers[0].0.as_ref(), crate::BODY_NOT_KEPT_HEADER);
    }

    #[test]
    fn evict_full_shard_drops_the_oldest_segment() {
        let cfg = ClaimsConfig { max_store_bytes: 16_000, ..ClaimsConfig::default() };
        let segment = |id: &str, keep_until| SegmentRef {
            id: id.into(),
            bytes: 900,
            keep_until,
            expires_at: NOW.after(cfg.ttl),
        };
        let later = NOW.after(Duration::from_secs(1));
        let segments = vec![segment("old", NOW), segment("kept", later)];
        let head = Head { segments, ..Head::default() };
        let mut shard = Shard::new(&cfg, NOW, head, 0, vec![Arc::default(), Arc::default()]);
        shard.evict();
        assert_eq!(shard.apply(&claim(1)), Reply::Acquired);
        let ids: Vec<_> = shard.head.segments.iter().map(|segment| segment.id.as_ref()).collect();
        assert_eq!(ids, ["kept"]);
    }

    #[test]
    fn claim_full_shard_is_refused() {
        let cfg = ClaimsConfig { max_store_bytes: 16_000, ..ClaimsConfig::default() };
        let mut shard = Shard::new(&cfg, NOW, Head::default(), 1001, Vec::new());
        assert_eq!(shard.apply(&claim(1)), Reply::Full);
    }
}
