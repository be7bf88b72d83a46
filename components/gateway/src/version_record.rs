//! Record in the store of the versions that were in use lately.
//!
//! After all nodes have been killed, only the store can tell that a version whose upstreams have
//! left meanwhile may have begun a stream that is taken up.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use lycheelatch_prelude::ServiceName;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::{
    Commit, CommitOutcome, Gateway, Store, StoreEra, StoreError, StoreRevision, event_log::millis,
    layout::OWN_PREFIX, software_version::SoftwareVersion,
};

/// Time between two checks whether the record has to be written, and between two attempts.
const INTERVAL: Duration = Duration::from_millis(500);

/// One version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct UsedVersion {
    version: SoftwareVersion,
    /// When its last upstream left, in milliseconds since the Unix epoch; `None` if it is in use.
    left_ms: Option<u64>,
}

/// The record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    /// Era of the store in which it was written.
    era: u64,
    services: BTreeMap<ServiceName, Vec<UsedVersion>>,
}

impl VersionRecord {
    /// Returns whether two records name the same versions as in use and as left.
    fn is_like(&self, other: &VersionRecord) -> bool {
        let of = |record: &VersionRecord| -> Vec<_> {
            let named = record.services.iter().flat_map(|(service, versions)| {
                let used = versions.iter();
                used.map(move |used| {
                    (service.clone(), used.version.clone(), used.left_ms.is_none())
                })
            });
            named.collect()
        };
        self.era == other.era && of(self) == of(other)
    }
}

/// The record as it was last read or written.
struct StoredRecord {
    record: Option<VersionRecord>,
    revision: StoreRevision,
}

/// Returns the key of the record.
pub(crate) fn record_key() -> String {
    format!("{OWN_PREFIX}versions")
}

/// Reads the record at the start, and keeps it up to date on one node of each availability zone,
/// until the task is dropped.
pub(crate) async fn run(gateway: Rc<Gateway>, store: Rc<dyn Store>) {
    let mut stored = read_first(&gateway, &*store).await;
    loop {
        sleep(INTERVAL).await;
        let now = Instant::now();
        let life = gateway.stream_life();
        if let Some(since) = now.checked_sub(life) {
            gateway.directory.versions.borrow_mut().forget_before(since);
            gateway.route_history.borrow_mut().forget_before(since);
        }
        if !is_writer(&gateway, now) {
            continue;
        }
        let wanted = current_record(&gateway, now);
        if stored.record.as_ref().is_some_and(|record| record.is_like(&wanted)) {
            continue;
        }
        match write(&*store, stored.revision, wanted).await {
            Ok(written) => stored = written,
            Err(err) => log::info!("versions: the record was not written: {err}"),
        }
    }
}

/// Reads the record, and takes note of the versions that may have been in use until now.
async fn read_first(gateway: &Gateway, store: &dyn Store) -> StoredRecord {
    loop {
        match read(store).await {
            Ok(stored) => {
                take_note(gateway, &stored);
                return stored;
            }
            Err(err) => log::info!("versions: the record was not read: {err}"),
        }
        sleep(INTERVAL).await;
    }
}

fn take_note(gateway: &Gateway, stored: &StoredRecord) {
    let is_complete =
        stored.record.as_ref().is_some_and(|record| StoreEra(record.era) == stored.revision.era);
    gateway.stream_origins.borrow_mut().is_past_known =
        is_complete || gateway.settings.is_first_start;
    let now = Instant::now();
    let mut versions = gateway.directory.versions.borrow_mut();
    let services = stored.record.iter().flat_map(|record| &record.services);
    for (service, used) in services.flat_map(|(name, all)| all.iter().map(move |it| (name, it))) {
        let left_at = match used.left_ms {
            Some(ms) => {
                let age = gateway.clock.now().saturating_sub(Duration::from_millis(ms));
                now.checked_sub(age)
            }
            None => Some(now),
        };
        if let Some(left_at) = left_at {
            versions.note_past(service, used.version.clone(), left_at);
        }
    }
}

/// Returns whether this node writes the record: the first live one of its availability zone does.
fn is_writer(gateway: &Gateway, now: Instant) -> bool {
    gateway.is_zone_recorder(now) && gateway.is_initialized()
}

fn current_record(gateway: &Gateway, now: Instant) -> VersionRecord {
    let mut services: BTreeMap<ServiceName, Vec<UsedVersion>> = BTreeMap::new();
    for (service, version, left_at) in gateway.directory.versions.borrow().iter() {
        let left_ms = left_at.map(|at| {
            let age = now.saturating_duration_since(at);
            millis(gateway.clock.now().saturating_sub(age))
        });
        let used = UsedVersion { version: version.clone(), left_ms };
        services.entry(service.clone()).or_default().push(used);
    }
    let era = gateway.store_era.get().unwrap_or_default().0;
    VersionRecord { era, services }
}

async fn read(store: &dyn Store) -> Result<StoredRecord, StoreError> {
    let Some(item) = store.get(&record_key()).await? else {
        return Ok(StoredRecord { record: None, revision: StoreRevision::ABSENT });
    };
    let record = serde_json::from_slice(&item.value);
    let record = record.map_err(|err| log::warn!("versions: the record is invalid: {err}")).ok();
    Ok(StoredRecord { record, revision: item.revision })
}

/// Writes the record, unless another node has written; returns the stored one.
async fn write(
    store: &dyn Store,
    expected: StoreRevision,
    record: VersionRecord,
) -> Result<StoredRecord, StoreError> {
    let value =
        serde_json::to_vec(&record).map_err(|err| StoreError::BadAnswer(err.to_string().into()))?;
    let commit = Commit { key: record_key().into(), expected, value: value.into(), lease: None };
    match store.commit(commit).await {
        Ok(CommitOutcome::Applied(revision)) => Ok(StoredRecord { record: Some(record), revision }),
        Ok(CommitOutcome::Conflict) | Err(StoreError::Restored) => read(store).await,
        Err(err) => Err(err),
    }
}
