//! Encoding of heads, segments and messages between nodes.

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

/// Format version of heads and segments.
const FORMAT: u8 = 1;

/// Decoding error of stored or received bytes.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum WireError {
    /// failed to decode the value: {0}
    Decode(postcard::Error),
    /// format version {0} is not supported by this build
    UnsupportedFormat(u8),
}

impl std::error::Error for WireError {}

pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    postcard::to_stdvec(value).map(Bytes::from).expect("plain data in memory can be encoded")
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    postcard::from_bytes(bytes).map_err(WireError::Decode)
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
    expires_at: u64,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct SegmentWire {
    format: u8,
    written_at: u64,
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
    sequence: u64,
    body: [u8; 8],
    created: u64,
    deadline: u64,
}

#[derive(Serialize, Deserialize)]
enum StateWire {
    Claimed,
    Released,
    Unknown,
    Finished(ResponseWire),
}

#[derive(Serialize, Deserialize)]
pub(crate) struct ResponseWire {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

/// Operation that a node forwards to the owner of a shard.
#[derive(Serialize, Deserialize)]
pub(crate) struct OpWire {
    key: [u8; 16],
    claimant: ClaimantWire,
    settlement: Option<StateWire>,
}

/// Reply to an [`OpWire`].
#[derive(Serialize, Deserialize)]
pub(crate) enum ReplyWire {
    Acquired,
    Running(u64),
    Finished(ResponseWire),
    BodyMismatch,
    OutcomeUnknown,
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
        Ok(Head { segments, records: index_by_key(wire.records) })
    }
}

impl SegmentWire {
    /// Creates a segment with `now` as its write time.
    pub(crate) fn new(records: &[Record], now: UnixMillis) -> SegmentWire {
        let records = records.iter().map(RecordWire::from).collect();
        SegmentWire { format: FORMAT, written_at: now.0, records }
    }

    /// Returns the write time of the segment.
    pub(crate) fn written_at(&self) -> UnixMillis {
        UnixMillis(self.written_at)
    }
}

impl TryFrom<SegmentWire> for Segment {
    type Error = WireError;

    fn try_from(wire: SegmentWire) -> Result<Segment, WireError> {
        check_format(wire.format)?;
        Ok(index_by_key(wire.records))
    }
}

fn check_format(format: u8) -> Result<(), WireError> {
    if format != FORMAT {
        return Err(WireError::UnsupportedFormat(format));
    }
    Ok(())
}

fn index_by_key(records: Vec<RecordWire>) -> Segment {
    records.into_iter().map(Record::from).map(|record| (record.key, record)).collect()
}

impl From<&SegmentRef> for SegmentRefWire {
    fn from(segment: &SegmentRef) -> SegmentRefWire {
        SegmentRefWire {
            id: segment.id.as_ref().to_owned(),
            bytes: segment.bytes,
            keep_until: segment.keep_until.0,
            expires_at: segment.expires_at.0,
        }
    }
}

impl From<SegmentRefWire> for SegmentRef {
    fn from(wire: SegmentRefWire) -> SegmentRef {
        SegmentRef {
            id: wire.id.into(),
            bytes: wire.bytes,
            keep_until: UnixMillis(wire.keep_until),
            expires_at: UnixMillis(wire.expires_at),
        }
    }
}

impl From<&Record> for RecordWire {
    fn from(record: &Record) -> RecordWire {
        RecordWire {
            key: record.key.0,
            claimant: ClaimantWire::from(&record.claimant),
            state: StateWire::from(&record.state),
            withdrawn: record.withdrawn.iter().map(|id| (id.epoch, id.sequence)).collect(),
        }
    }
}

impl From<RecordWire> for Record {
    fn from(wire: RecordWire) -> Record {
        let ticket = |(epoch, sequence)| TicketId { epoch, sequence };
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
            sequence: claimant.ticket.sequence,
            body: claimant.body.0,
            created: claimant.created.0,
            deadline: claimant.deadline.0,
        }
    }
}

impl From<ClaimantWire> for Claimant {
    fn from(wire: ClaimantWire) -> Claimant {
        Claimant {
            ticket: TicketId { epoch: wire.epoch, sequence: wire.sequence },
            body: BodyDigest(wire.body),
            created: UnixMillis(wire.created),
            deadline: UnixMillis(wire.deadline),
        }
    }
}

impl From<&State> for StateWire {
    fn from(state: &State) -> StateWire {
        match state {
            State::Claimed => StateWire::Claimed,
            State::Released => StateWire::Released,
            State::Unknown => StateWire::Unknown,
            State::Finished(response) => StateWire::Finished(response.into()),
        }
    }
}

impl From<StateWire> for State {
    fn from(wire: StateWire) -> State {
        match wire {
            StateWire::Claimed => State::Claimed,
            StateWire::Released => State::Released,
            StateWire::Unknown => State::Unknown,
            StateWire::Finished(response) => State::Finished(response.into()),
        }
    }
}

impl From<&StoredResponse> for ResponseWire {
    fn from(response: &StoredResponse) -> ResponseWire {
        let header = |(k, v): &(Arc<str>, Bytes)| (k.as_ref().to_owned(), v.to_vec());
        ResponseWire {
            status: response.status,
            headers: response.headers.iter().map(header).collect(),
            body: response.body.to_vec(),
        }
    }
}

impl From<ResponseWire> for StoredResponse {
    fn from(wire: ResponseWire) -> StoredResponse {
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
            OpKind::Settle(Settlement::Finished(response)) => {
                Some(StateWire::Finished(response.into()))
            }
            OpKind::Settle(Settlement::NotRun) => Some(StateWire::Released),
            OpKind::Settle(Settlement::Unknown) => Some(StateWire::Unknown),
        };
        OpWire { key: op.key.0, claimant: ClaimantWire::from(&op.claimant), settlement }
    }
}

impl From<OpWire> for Op {
    fn from(wire: OpWire) -> Op {
        let kind = match wire.settlement {
            None | Some(StateWire::Claimed) => OpKind::Claim,
            Some(StateWire::Finished(response)) => {
                OpKind::Settle(Settlement::Finished(response.into()))
            }
            Some(StateWire::Released) => OpKind::Settle(Settlement::NotRun),
            Some(StateWire::Unknown) => OpKind::Settle(Settlement::Unknown),
        };
        Op { key: KeyDigest(wire.key), claimant: wire.claimant.into(), kind }
    }
}

impl From<&Reply> for ReplyWire {
    fn from(reply: &Reply) -> ReplyWire {
        match reply {
            Reply::Acquired => ReplyWire::Acquired,
            Reply::Running(deadline) => ReplyWire::Running(deadline.0),
            Reply::Finished(response) => ReplyWire::Finished(response.into()),
            Reply::BodyMismatch => ReplyWire::BodyMismatch,
            Reply::OutcomeUnknown => ReplyWire::OutcomeUnknown,
            Reply::Withdrawn => ReplyWire::Withdrawn,
            Reply::Full => ReplyWire::Full,
            Reply::Settled => ReplyWire::Settled,
        }
    }
}

/// Failure of a commit, on this node or another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CommitFailure {
    /// Last error of the key-value service.
    pub(crate) source: KvError,
    /// Whether the operation may have been committed nevertheless.
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
            ReplyWire::Acquired => Reply::Acquired,
            ReplyWire::Running(deadline) => Reply::Running(UnixMillis(deadline)),
            ReplyWire::Finished(response) => Reply::Finished(response.into()),
            ReplyWire::BodyMismatch => Reply::BodyMismatch,
            ReplyWire::OutcomeUnknown => Reply::OutcomeUnknown,
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
    use lycheelatch_fakes::FuzzInputs;

    use super::*;

    const INPUTS: usize = 10_000;

    fn record() -> RecordWire {
        RecordWire {
            key: [7; 16],
            claimant: claimant(),
            state: StateWire::Finished(response()),
            withdrawn: vec![(1, 2)],
        }
    }

    fn claimant() -> ClaimantWire {
        ClaimantWire { epoch: 1, sequence: 2, body: [3; 8], created: 4, deadline: u64::MAX }
    }

    fn response() -> ResponseWire {
        let headers = vec![("content-type".to_owned(), b"text/plain".to_vec())];
        ResponseWire { status: 200, headers, body: b"ok".to_vec() }
    }

    fn segment_ref() -> SegmentRefWire {
        SegmentRefWire { id: "s-1".to_owned(), bytes: 1, keep_until: 2, expires_at: 3 }
    }

    #[test]
    fn decode_generated_input_is_refused_or_encodes_stably() {
        let head =
            HeadWire { format: FORMAT, segments: vec![segment_ref()], records: vec![record()] };
        let segment = SegmentWire { format: FORMAT, written_at: 1, records: vec![record()] };
        let op =
            OpWire { key: [7; 16], claimant: claimant(), settlement: Some(StateWire::Released) };
        let reply = ReplyWire::Finished(response());
        let samples = [encode(&head), encode(&segment), encode(&op), encode(&reply)];
        for input in FuzzInputs::new(samples.map(|sample| sample.to_vec()).to_vec()).take(INPUTS) {
            if let Ok(head) = decode::<HeadWire>(&input).and_then(Head::try_from) {
                let encoded = encode(&HeadWire::from(&head));
                let decoded = decode::<HeadWire>(&encoded).and_then(Head::try_from).unwrap();
                assert_eq!(encode(&HeadWire::from(&decoded)), encoded);
            }
            let _ = decode::<SegmentWire>(&input).and_then(Segment::try_from);
            let _ = decode::<OpWire>(&input).map(Op::from);
            let _ = decode::<ReplyWire>(&input).map(Reply::try_from);
        }
    }
}
