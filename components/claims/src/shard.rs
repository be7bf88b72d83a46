//! One shard of the claims, as plain data: decisions without any call.

use std::{collections::HashMap, sync::Arc};

use crate::{
    ClaimsConfig, Settlement, UnixMillis,
    ops::{Op, OpKind, Reply},
    record::{Claimant, KeyDigest, Record, State, TicketId},
};

/// Largest head that takes new claims, in bytes.
const MAX_HEAD_BYTES: usize = 512 * 1024;

/// Identity of a segment, unique within its shard.
pub(crate) type SegmentId = Arc<str>;

/// What a head knows of one of its segments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SegmentRef {
    /// Identity of the segment.
    pub(crate) id: SegmentId,
    /// Size of the segment, in bytes.
    pub(crate) bytes: u64,
    /// Time until which the segment must be kept.
    pub(crate) keep_until: UnixMillis,
    /// Time after which no record of it means anything.
    pub(crate) expires: UnixMillis,
}

/// The part of a shard that changes: recent records and the list of segments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Head {
    /// Segments, oldest first.
    pub(crate) segments: Vec<SegmentRef>,
    /// Records that are newer than those of the segments.
    pub(crate) records: HashMap<KeyDigest, Record>,
}

/// Older records; never changed.
pub(crate) type Segment = HashMap<KeyDigest, Record>;

/// A shard as it was read, with the changes made since.
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

    /// Applies an operation.
    pub(crate) fn apply(&mut self, op: &Op) -> Reply {
        match &op.kind {
            OpKind::Claim => self.claim(op.key, op.claimant),
            OpKind::Settle(settlement) => self.settle(op.key, op.claimant, settlement),
        }
    }

    /// Drops what has expired, and the oldest segments while the shard is too large.
    pub(crate) fn clean(&mut self) {
        let (cfg, now) = (self.cfg, self.now);
        let before = (self.head.segments.len(), self.head.records.len());
        self.head.records.retain(|_, record| record.expires(cfg) > now);
        let mut bytes = self.bytes();
        let max = cfg.max_shard_bytes();
        self.head.segments.retain(|segment| {
            let is_over = bytes > max && segment.keep_until <= now;
            let is_dropped = is_over || segment.expires <= now;
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
        (record.expires(self.cfg) > self.now).then_some(record)
    }

    fn put(&mut self, record: Record) {
        self.is_changed = true;
        self.head.records.insert(record.key, record);
    }

    fn claim(&mut self, key: KeyDigest, claimant: Claimant) -> Reply {
        let Some(record) = self.find(key) else {
            return self.claim_free(key, claimant, Vec::new());
        };
        if record.is_withdrawn(claimant.ticket) {
            return Reply::Withdrawn;
        }
        if record.state == State::Freed {
            let mut earlier = record.clone();
            earlier.withdraw(earlier.claimant.ticket);
            return self.claim_free(key, claimant, earlier.withdrawn);
        }
        if record.claimant.ticket == claimant.ticket && record.state == State::Claimed {
            return Reply::Won;
        }
        if record.claimant.body != claimant.body {
            return Reply::Mismatch;
        }
        match &record.state {
            State::Finished(answer) => Reply::Finished(answer.clone()),
            State::Claimed if self.now <= record.claimant.until.after(self.cfg.grace) => {
                Reply::Running(record.claimant.until)
            }
            State::Claimed | State::Unknown | State::Freed => Reply::Unresolved,
        }
    }

    fn claim_free(
        &mut self,
        key: KeyDigest,
        claimant: Claimant,
        withdrawn: Vec<TicketId>,
    ) -> Reply {
        if self.is_full() {
            return Reply::Full;
        }
        self.put(Record { key, claimant, state: State::Claimed, withdrawn });
        Reply::Won
    }

    fn settle(&mut self, key: KeyDigest, claimant: Claimant, settlement: &Settlement) -> Reply {
        let state = match settlement {
            Settlement::Finished(answer) => {
                State::Finished(answer.clone().limited_to(self.cfg.max_answer_bytes))
            }
            Settlement::NotRun => State::Freed,
            Settlement::Unknown => State::Unknown,
        };
        let Some(record) = self.find(key) else {
            self.put(Record { key, claimant, state, withdrawn: Vec::new() });
            return Reply::Settled;
        };
        let mut record = record.clone();
        if record.claimant.ticket != claimant.ticket {
            return self.settle_other(record, claimant, state);
        }
        if record.state != State::Claimed {
            return Reply::Settled;
        }
        record.state = state;
        self.put(record);
        Reply::Settled
    }

    /// Settles a claim that another one has come before or after.
    fn settle_other(&mut self, mut record: Record, claimant: Claimant, state: State) -> Reply {
        if state == State::Freed && !record.is_withdrawn(claimant.ticket) {
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

    fn claimant(count: u64) -> Claimant {
        let until = NOW.after(Duration::from_secs(10));
        let body = BodyDigest::of(b"bale 17");
        Claimant { ticket: TicketId { epoch: 1, count }, body, created: NOW, until }
    }

    fn claim(count: u64) -> Op {
        Op { key: KEY, claimant: claimant(count), kind: OpKind::Claim }
    }

    fn settle(count: u64, settlement: Settlement) -> Op {
        Op { key: KEY, claimant: claimant(count), kind: OpKind::Settle(settlement) }
    }

    fn answer() -> StoredResponse {
        StoredResponse { status: 201, headers: Vec::new(), body: Bytes::from_static(b"ok") }
    }

    fn replies(now: UnixMillis, ops: &[Op]) -> Vec<Reply> {
        let cfg = ClaimsConfig::default();
        let mut shard = Shard::new(&cfg, now, Head::default(), 0, Vec::new());
        ops.iter().map(|op| shard.apply(op)).collect()
    }

    #[test]
    fn apply_second_claim_waits() {
        let running = Reply::Running(claimant(1).until);
        assert_eq!(
            replies(NOW, &[claim(1), claim(1), claim(2)]),
            [Reply::Won, Reply::Won, running]
        );
    }

    #[test]
    fn apply_finished_claim_is_replayed() {
        let settled = settle(1, Settlement::Finished(answer()));
        let got = replies(NOW, &[claim(1), settled, claim(2)]);
        assert_eq!(got[2], Reply::Finished(answer()));
    }

    #[test]
    fn apply_other_body_is_refused() {
        let mut other = claim(2);
        other.claimant.body = BodyDigest::of(b"bale 18");
        assert_eq!(replies(NOW, &[claim(1), other])[1], Reply::Mismatch);
    }

    #[test]
    fn apply_overdue_claim_is_unresolved() {
        let later = NOW.after(Duration::from_secs(60));
        assert_eq!(replies(later, &[claim(1), claim(2)])[1], Reply::Unresolved);
    }

    #[test]
    fn apply_not_run_frees_the_key() {
        let got = replies(NOW, &[claim(1), settle(1, Settlement::NotRun), claim(2)]);
        assert_eq!(got[2], Reply::Won);
    }

    #[test]
    fn apply_late_claim_of_withdrawn_ticket() {
        let withdrawn = settle(1, Settlement::NotRun);
        assert_eq!(replies(NOW, &[withdrawn.clone(), claim(1)])[1], Reply::Withdrawn);
        let freed_again = [withdrawn, claim(2), settle(2, Settlement::NotRun), claim(1), claim(3)];
        assert_eq!(replies(NOW, &freed_again)[3..], [Reply::Withdrawn, Reply::Won]);
    }

    #[test]
    fn apply_withdrawal_spares_the_other_claim() {
        let got = replies(NOW, &[claim(2), settle(1, Settlement::NotRun), claim(3), claim(1)]);
        assert_eq!(got[2], Reply::Running(claimant(2).until));
        assert_eq!(got[3], Reply::Withdrawn);
    }

    #[test]
    fn apply_large_answer_keeps_the_outcome() {
        let large = StoredResponse { body: Bytes::from(vec![0; 1 << 20]), ..answer() };
        let settled = settle(1, Settlement::Finished(large));
        let Reply::Finished(kept) = replies(NOW, &[claim(1), settled, claim(2)]).remove(2) else {
            panic!("the outcome is not kept");
        };
        assert_eq!((kept.status, kept.body.len()), (201, 0));
        assert_eq!(kept.headers[0].0.as_ref(), crate::BODY_NOT_KEPT_HEADER);
    }

    #[test]
    fn clean_full_shard_drops_the_oldest_segment() {
        let cfg = ClaimsConfig { max_store_bytes: 16_000, ..ClaimsConfig::default() };
        let segment = |id: &str, keep_until| SegmentRef {
            id: id.into(),
            bytes: 900,
            keep_until,
            expires: NOW.after(cfg.ttl),
        };
        let kept = NOW.after(Duration::from_secs(1));
        let segments = vec![segment("old", NOW), segment("kept", kept)];
        let head = Head { segments, ..Head::default() };
        let mut shard = Shard::new(&cfg, NOW, head, 0, vec![Arc::default(), Arc::default()]);
        shard.clean();
        assert_eq!(shard.apply(&claim(1)), Reply::Won);
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
