//! Wire types of heads, segments and messages between nodes.

use std::sync::Arc;

use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_provider::KvError;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    BodyDigest, Settlement, StoredResponse, UnixMillis,
    ops::{Op, OpKind, Reply},
    record::{Claimant, KeyDigest, Record, State, TicketId},
    shard::{Head, Segment, SegmentRef},
};

/// Version of the format of heads and segments.
const FORMAT: u8 = 1;

/// Why stored or received bytes can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum WireError {
    /// the bytes are damaged: {0}
    Damaged(postcard::Error),
    /// format {0} is not known to this version
    UnknownFormat(u8),
}

impl std::error::Error for WireError {}

/// Encodes a wire value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    postcard::to_stdvec(value).map(Bytes::from).expect("plain data in memory encodes")
}

/// Decodes a wire value.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    postcard::from_bytes(bytes).map_err(WireError::Damaged)
}

#[derive(Serialize, Deserialize)]
pub(crate) struct HeadWire {
    format: u8,
    segments: Vec<SegmentRefWire>,
    records: Vec<RecordWire>,
}

#[derive(Serialize, Deserialize)]
struct SegmentRefWire {
    id: String,
    bytes: u64,
    keep_until: u64,
    expires: u64,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct SegmentWire {
    format: u8,
    written: u64,
    records: Vec<RecordWire>,
}

#[derive(Serialize, Deserialize)]
struct RecordWire {
    key: [u8; 16],
    claimant: ClaimantWire,
    state: StateWire,
    withdrawn: Vec<(u64, u64)>,
}

#[derive(Serialize, Deserialize)]
struct ClaimantWire {
    epoch: u64,
    count: u64,
    body: [u8; 8],
    created: u64,
    until: u64,
}

#[derive(Serialize, Deserialize)]
enum StateWire {
    Claimed,
    Freed,
    Unknown,
    Finished(AnswerWire),
}

#[derive(Serialize, Deserialize)]
pub(crate) struct AnswerWire {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

/// An operation that one node asks another to commit.
#[derive(Serialize, Deserialize)]
pub(crate) struct OpWire {
    key: [u8; 16],
    claimant: ClaimantWire,
    settlement: Option<StateWire>,
}

/// The answer to an [`OpWire`].
#[derive(Serialize, Deserialize)]
pub(crate) enum ReplyWire {
    Won,
    Running(u64),
    Finished(AnswerWire),
    Mismatch,
    Unresolved,
    Withdrawn,
    Full,
    Settled,
    Failed { reason: String, may_have_written: bool },
}

impl From<&Head> for HeadWire {
    fn from(head: &Head) -> HeadWire {
        let segments = head.segments.iter().map(SegmentRefWire::from).collect();
        let mut records: Vec<RecordWire> = head.records.values().map(RecordWire::from).collect();
        records.sort_unstable_by_key(|record| record.key);
        HeadWire { format: FORMAT, segments, records }
    }
}

impl TryFrom<HeadWire> for Head {
    type Error = WireError;

    fn try_from(wire: HeadWire) -> Result<Head, WireError> {
        check_format(wire.format)?;
        let segments = wire.segments.into_iter().map(SegmentRef::from).collect();
        Ok(Head { segments, records: index(wire.records) })
    }
}

impl SegmentWire {
    /// Creates a segment that is written at `now`.
    pub(crate) fn new(records: &[Record], now: UnixMillis) -> SegmentWire {
        let records = records.iter().map(RecordWire::from).collect();
        SegmentWire { format: FORMAT, written: now.0, records }
    }

    /// Returns when the segment was written.
    pub(crate) fn written(&self) -> UnixMillis {
        UnixMillis(self.written)
    }
}

impl TryFrom<SegmentWire> for Segment {
    type Error = WireError;

    fn try_from(wire: SegmentWire) -> Result<Segment, WireError> {
        check_format(wire.format)?;
        Ok(index(wire.records))
    }
}

fn check_format(format: u8) -> Result<(), WireError> {
    if format != FORMAT {
        return Err(WireError::UnknownFormat(format));
    }
    Ok(())
}

fn index(records: Vec<RecordWire>) -> Segment {
    records.into_iter().map(Record::from).map(|record| (record.key, record)).collect()
}

impl From<&SegmentRef> for SegmentRefWire {
    fn from(segment: &SegmentRef) -> SegmentRefWire {
        SegmentRefWire {
            id: segment.id.as_ref().to_owned(),
            bytes: segment.bytes,
            keep_until: segment.keep_until.0,
            expires: segment.expires.0,
        }
    }
}

impl From<SegmentRefWire> for SegmentRef {
    fn from(wire: SegmentRefWire) -> SegmentRef {
        SegmentRef {
            id: wire.id.into(),
            bytes: wire.bytes,
            keep_until: UnixMillis(wire.keep_until),
            expires: UnixMillis(wire.expires),
        }
    }
}

impl From<&Record> for RecordWire {
    fn from(record: &Record) -> RecordWire {
        RecordWire {
            key: record.key.0,
            claimant: ClaimantWire::from(&record.claimant),
            state: StateWire::from(&record.state),
            withdrawn: record.withdrawn.iter().map(|id| (id.epoch, id.count)).collect(),
        }
    }
}

impl From<RecordWire> for Record {
    fn from(wire: RecordWire) -> Record {
        let ticket = |(epoch, count)| TicketId { epoch, count };
        Record {
            key: KeyDigest(wire.key),
            claimant: wire.claimant.into(),
            state: wire.state.into(),
            withdrawn: wire.withdrawn.into_iter().map(ticket).collect(),
        }
    }
}

impl From<&Claimant> for ClaimantWire {
    fn from(claimant: &Claimant) -> ClaimantWire {
        ClaimantWire {
            epoch: claimant.ticket.epoch,
            count: claimant.ticket.count,
            body: claimant.body.0,
            created: claimant.created.0,
            until: claimant.until.0,
        }
    }
}

impl From<ClaimantWire> for Claimant {
    fn from(wire: ClaimantWire) -> Claimant {
        Claimant {
            ticket: TicketId { epoch: wire.epoch, count: wire.count },
            body: BodyDigest(wire.body),
            created: UnixMillis(wire.created),
            until: UnixMillis(wire.until),
        }
    }
}

impl From<&State> for StateWire {
    fn from(state: &State) -> StateWire {
        match state {
            State::Claimed => StateWire::Claimed,
            State::Freed => StateWire::Freed,
            State::Unknown => StateWire::Unknown,
            State::Finished(answer) => StateWire::Finished(answer.into()),
        }
    }
}

impl From<StateWire> for State {
    fn from(wire: StateWire) -> State {
        match wire {
            StateWire::Claimed => State::Claimed,
            StateWire::Freed => State::Freed,
            StateWire::Unknown => State::Unknown,
            StateWire::Finished(answer) => State::Finished(answer.into()),
        }
    }
}

impl From<&StoredResponse> for AnswerWire {
    fn from(answer: &StoredResponse) -> AnswerWire {
        let header = |(k, v): &(Arc<str>, Bytes)| (k.as_ref().to_owned(), v.to_vec());
        AnswerWire {
            status: answer.status,
            headers: answer.headers.iter().map(header).collect(),
            body: answer.body.to_vec(),
        }
    }
}

impl From<AnswerWire> for StoredResponse {
    fn from(wire: AnswerWire) -> StoredResponse {
        let header = |(k, v): (String, Vec<u8>)| (k.into(), v.into());
        StoredResponse {
            status: wire.status,
            headers: wire.headers.into_iter().map(header).collect(),
            body: wire.body.into(),
        }
    }
}

impl From<&Op> for OpWire {
    fn from(op: &Op) -> OpWire {
        let settlement = match &op.kind {
            OpKind::Claim => None,
            OpKind::Settle(Settlement::Finished(answer)) => {
                Some(StateWire::Finished(answer.into()))
            }
            OpKind::Settle(Settlement::NotRun) => Some(StateWire::Freed),
            OpKind::Settle(Settlement::Unknown) => Some(StateWire::Unknown),
        };
        OpWire { key: op.key.0, claimant: ClaimantWire::from(&op.claimant), settlement }
    }
}

impl From<OpWire> for Op {
    fn from(wire: OpWire) -> Op {
        let kind = match wire.settlement {
            None | Some(StateWire::Claimed) => OpKind::Claim,
            Some(StateWire::Finished(answer)) => {
                OpKind::Settle(Settlement::Finished(answer.into()))
            }
            Some(StateWire::Freed) => OpKind::Settle(Settlement::NotRun),
            Some(StateWire::Unknown) => OpKind::Settle(Settlement::Unknown),
        };
        Op { key: KeyDigest(wire.key), claimant: wire.claimant.into(), kind }
    }
}

impl From<&Reply> for ReplyWire {
    fn from(reply: &Reply) -> ReplyWire {
        match reply {
            Reply::Won => ReplyWire::Won,
            Reply::Running(until) => ReplyWire::Running(until.0),
            Reply::Finished(answer) => ReplyWire::Finished(answer.into()),
            Reply::Mismatch => ReplyWire::Mismatch,
            Reply::Unresolved => ReplyWire::Unresolved,
            Reply::Withdrawn => ReplyWire::Withdrawn,
            Reply::Full => ReplyWire::Full,
            Reply::Settled => ReplyWire::Settled,
        }
    }
}

/// Failure of a commit, as another node reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CommitFailure {
    /// What the key-value service showed last.
    pub(crate) source: KvError,
    /// Whether the operation may have been committed all the same.
    pub(crate) may_have_written: bool,
}

impl From<&CommitFailure> for ReplyWire {
    fn from(failure: &CommitFailure) -> ReplyWire {
        ReplyWire::Failed {
            reason: failure.source.to_string(),
            may_have_written: failure.may_have_written,
        }
    }
}

impl TryFrom<ReplyWire> for Reply {
    type Error = CommitFailure;

    fn try_from(wire: ReplyWire) -> Result<Reply, CommitFailure> {
        Ok(match wire {
            ReplyWire::Won => Reply::Won,
            ReplyWire::Running(until) => Reply::Running(UnixMillis(until)),
            ReplyWire::Finished(answer) => Reply::Finished(answer.into()),
            ReplyWire::Mismatch => Reply::Mismatch,
            ReplyWire::Unresolved => Reply::Unresolved,
            ReplyWire::Withdrawn => Reply::Withdrawn,
            ReplyWire::Full => Reply::Full,
            ReplyWire::Settled => Reply::Settled,
            ReplyWire::Failed { reason, may_have_written } => {
                let source = KvError::Unavailable { reason: reason.into() };
                return Err(CommitFailure { source, may_have_written });
            }
        })
    }
}

#[cfg(test)]
mod tests {
    use lycheelatch_fakes::Inputs;

    use super::*;

    const INPUTS: usize = 10_000;

    fn record() -> RecordWire {
        RecordWire {
            key: [7; 16],
            claimant: claimant(),
            state: StateWire::Finished(answer()),
            withdrawn: vec![(1, 2)],
        }
    }

    fn claimant() -> ClaimantWire {
        ClaimantWire { epoch: 1, count: 2, body: [3; 8], created: 4, until: u64::MAX }
    }

    fn answer() -> AnswerWire {
        let headers = vec![("content-type".to_owned(), b"text/plain".to_vec())];
        AnswerWire { status: 200, headers, body: b"ok".to_vec() }
    }

    fn segment_ref() -> SegmentRefWire {
        SegmentRefWire { id: "s-1".to_owned(), bytes: 1, keep_until: 2, expires: 3 }
    }

    #[test]
    fn decode_generated_is_refused_or_written_again_the_same() {
        let head =
            HeadWire { format: FORMAT, segments: vec![segment_ref()], records: vec![record()] };
        let segment = SegmentWire { format: FORMAT, written: 1, records: vec![record()] };
        let op = OpWire { key: [7; 16], claimant: claimant(), settlement: Some(StateWire::Freed) };
        let reply = ReplyWire::Finished(answer());
        let samples = [encode(&head), encode(&segment), encode(&op), encode(&reply)];
        for input in Inputs::new(samples.map(|sample| sample.to_vec()).to_vec()).take(INPUTS) {
            if let Ok(head) = decode::<HeadWire>(&input).and_then(Head::try_from) {
                let written = encode(&HeadWire::from(&head));
                let again = decode::<HeadWire>(&written).and_then(Head::try_from).unwrap();
                assert_eq!(encode(&HeadWire::from(&again)), written);
            }
            let _ = decode::<SegmentWire>(&input).and_then(Segment::try_from);
            let _ = decode::<OpWire>(&input).map(Op::from);
            let _ = decode::<ReplyWire>(&input).map(Reply::try_from);
        }
    }
}
