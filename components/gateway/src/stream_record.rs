//! Record in the store of the streams that began while only records tell their origins.
//!
//! The nodes hold the origins of streams for each other. When all of them are killed at once, only
//! the store can tell which version began a stream that is taken up afterwards. The first node of
//! each availability zone writes the streams of its zone, gathered over a short time; entries end
//! with their lease. Nodes that watch the store take over the records of other zones as they are
//! written: a zone may be lost whose streams began before a record was needed.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::{
    Commit, CommitOutcome, Freshness, Gateway, KeyValue, LeaseId, Store, StoreError, StoreRevision,
    event_log::log_event,
    layout::OWN_PREFIX,
    node_event::NodeEvent,
    software_version::ServiceVersion,
    stream_origin::{StreamKey, StreamOrigin},
};

/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the start of a process within which it hears of the other nodes.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Prefix of the records below that of the nodes' own keys.
const RECORDS: &str = "origins/";

/// Maximum number of streams in one entry.
const MAX_STREAMS: usize = 8000;

/// A lease of entries.
#[derive(Debug, Clone, Copy)]
struct EntryLease {
    id: LeaseId,
    granted_at: Instant,
}

fn records_prefix() -> String {
    format!("{OWN_PREFIX}{RECORDS}")
}

/// Reads the records of earlier processes, and writes those of this availability zone, until the
/// task is dropped.
pub(crate) async fn run(gateway: Rc<Gateway>, store: Rc<dyn Store>) {
    if !gateway.settings.is_first_start {
        sleep(SETTLE_TIME).await;
        read_records(&gateway, &*store).await;
    }
    let mut lease = None;
    loop {
        sleep(WRITE_INTERVAL).await;
        if !gateway.is_zone_recorder(Instant::now()) {
            continue;
        }
        let unsaved = gateway.take_unsaved(MAX_STREAMS);
        if unsaved.is_empty() {
            continue;
        }
        if let Err(err) = write_record(&gateway, &*store, &mut lease, &unsaved).await {
            log::info!("streams: {} origins were not written: {err}", unsaved.len());
            gateway.stream_origins.borrow_mut().put_back(unsaved);
        }
    }
}

/// Reads all records, if this node is the one that its availability zone asks.
async fn read_records(gateway: &Gateway, store: &dyn Store) {
    while gateway.is_zone_recorder(Instant::now()) {
        match store.list(&records_prefix(), Freshness::Linearizable).await {
            Ok(listing) => {
                let applied = listing.items.iter().map(|item| apply_stream_record(gateway, item));
                log_event(&NodeEvent::StreamOriginsRead { streams: applied.sum() });
                return;
            }
            Err(err) => log::info!("streams: the records were not read: {err}"),
        }
        sleep(WRITE_INTERVAL).await;
    }
}

/// Returns whether a key is that of a record.
pub(crate) fn is_stream_record(key: &str) -> bool {
    key.strip_prefix(OWN_PREFIX).is_some_and(|name| name.starts_with(RECORDS))
}

/// Takes over the streams of a record, which another availability zone may have written; returns
/// their number.
pub(crate) fn apply_stream_record(gateway: &Gateway, item: &KeyValue) -> usize {
    let origins = decode(&item.key, &item.value).unwrap_or_default();
    let count = origins.len();
    origins.into_iter().for_each(|origin| gateway.record_saved_origin(origin));
    count
}

/// Streams of one version in an entry.
#[derive(Debug, Serialize, Deserialize)]
struct StreamsWire {
    began_at: ServiceVersion,
    streams: Vec<StreamKey>,
}

/// An entry: streams by what began them.
#[derive(Debug, Serialize, Deserialize)]
struct RecordWire(Vec<StreamsWire>);

impl From<&[StreamOrigin]> for RecordWire {
    fn from(origins: &[StreamOrigin]) -> RecordWire {
        let mut groups: BTreeMap<&ServiceVersion, Vec<StreamKey>> = BTreeMap::new();
        for origin in origins {
            groups.entry(&origin.began_at).or_default().push(origin.key);
        }
        let groups = groups.into_iter();
        let wire = |(began_at, streams): (&ServiceVersion, _)| StreamsWire {
            began_at: began_at.clone(),
            streams,
        };
        RecordWire(groups.map(wire).collect())
    }
}

impl From<RecordWire> for Vec<StreamOrigin> {
    fn from(wire: RecordWire) -> Vec<StreamOrigin> {
        let origins = wire.0.into_iter().flat_map(|group| {
            let began_at = group.began_at;
            let streams = group.streams.into_iter();
            streams.map(move |key| StreamOrigin { key, began_at: began_at.clone() })
        });
        origins.collect()
    }
}

fn decode(key: &str, value: &[u8]) -> Option<Vec<StreamOrigin>> {
    let decoded = postcard::from_bytes::<RecordWire>(value).map(Vec::from);
    decoded.map_err(|err| log::warn!("streams: the record {key} is invalid: {err}")).ok()
}

/// Writes one entry with some streams.
async fn write_record(
    gateway: &Gateway,
    store: &dyn Store,
    lease: &mut Option<EntryLease>,
    origins: &[StreamOrigin],
) -> Result<(), StoreError> {
    let life = gateway.stream_life();
    let current = match lease.filter(|lease| lease.granted_at.elapsed() < life / 2) {
        Some(current) => current,
        None => {
            let granted_at = Instant::now();
            // Entries that are written late in the first half must last as long as their streams.
            EntryLease { id: store.grant(life + life / 2).await?, granted_at }
        }
    };
    *lease = None;
    let number: u64 = rand::random();
    let value = postcard::to_stdvec(&RecordWire::from(origins));
    let value = value.map_err(|err| StoreError::BadAnswer(err.to_string().into()))?;
    let commit = Commit {
        key: format!("{}{}/{number:x}", records_prefix(), gateway.settings.node).into(),
        expected: StoreRevision::ABSENT,
        value: Bytes::from(value),
        lease: Some(current.id),
    };
    match store.commit(commit).await? {
        CommitOutcome::Applied(_) => *lease = Some(current),
        CommitOutcome::Conflict => return Err(StoreError::Refused("the key exists".into())),
    }
    Ok(())
}
