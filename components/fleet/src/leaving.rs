//! The set of leaving instances, as known to this node.
//!
//! Every record about an instance carries a [`RecordVersion`], and the highest version wins.
//! Nodes that have merged the same records, in any order and any number of times, therefore
//! hold the same set.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use lycheelatch_prelude::{InstanceId, Sequence};
use lycheelatch_provider::ReclaimNotice;
use tokio::{sync::watch, time::Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Time after its deadline for which a record is kept.
pub(crate) const RECORD_RETENTION: Duration = Duration::from_secs(3600);

/// Number of buckets in the digest that anti-entropy compares.
pub(crate) const DIGEST_BUCKETS: usize = 16;

/// Leaving instances and the time at which each will be gone.
pub type LeavingDeadlines = HashMap<InstanceId, Instant>;

/// Version of a record; versions order the records about one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordVersion {
    /// Sequence number of the latest cloud notice.
    pub sequence: Sequence,
    /// Number of updates by nodes since that notice.
    pub local: u32,
}

/// Whether an instance is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceStatus {
    /// The instance stays, contrary to an earlier record.
    Staying,
    /// The instance is leaving and accepts no new requests.
    Leaving,
}

/// A versioned record of whether an instance is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Instance that the record describes.
    pub instance: InstanceId,
    /// Version of the record.
    pub version: RecordVersion,
    /// Whether the instance is leaving.
    pub status: InstanceStatus,
    /// Time at which the instance will be gone, or at which its notice was withdrawn.
    pub deadline: Instant,
}

impl InstanceRecord {
    fn supersedes(&self, other: &InstanceRecord) -> bool {
        (self.version, self.status) > (other.version, other.status)
    }

    fn is_same_update(&self, other: &InstanceRecord) -> bool {
        (self.version, self.status) == (other.version, other.status)
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.deadline + RECORD_RETENTION <= now
    }
}

/// The set of leaving instances; clones share the same set.
#[derive(Debug, Clone)]
pub struct LeavingInstances(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    records: Mutex<BTreeMap<InstanceId, InstanceRecord>>,
    set: watch::Sender<Arc<LeavingDeadlines>>,
}

impl Default for LeavingInstances {
    fn default() -> LeavingInstances {
        LeavingInstances::new()
    }
}

impl LeavingInstances {
    /// Creates an empty set.
    pub fn new() -> LeavingInstances {
        let (set, _) = watch::channel(Arc::default());
        LeavingInstances(Arc::new(Shared { records: Mutex::default(), set }))
    }

    /// Returns whether the instance is leaving and must not receive new requests.
    pub fn is_leaving(&self, instance: &InstanceId) -> bool {
        self.0.set.borrow().contains_key(instance)
    }

    /// Returns the time at which a leaving instance will be gone, or `None` if it is not leaving.
    pub fn deadline(&self, instance: &InstanceId) -> Option<Instant> {
        self.0.set.borrow().get(instance).copied()
    }

    /// Returns the number of leaving instances.
    pub fn len(&self) -> usize {
        self.0.set.borrow().len()
    }

    /// Returns whether no instance is leaving.
    pub fn is_empty(&self) -> bool {
        self.0.set.borrow().is_empty()
    }

    /// Subscribes to the set; the value changes whenever merged records change the set.
    pub fn subscribe(&self) -> watch::Receiver<Arc<LeavingDeadlines>> {
        self.0.set.subscribe()
    }

    /// Returns the current record about an instance.
    pub fn record(&self, instance: &InstanceId) -> Option<InstanceRecord> {
        self.0.records.lock().unwrap().get(instance).cloned()
    }

    /// Marks an instance as gone after `remaining`, and returns the record to broadcast.
    pub fn mark_leaving(
        &self,
        now: Instant,
        instance: &InstanceId,
        remaining: Duration,
    ) -> InstanceRecord {
        self.set_status(instance, InstanceStatus::Leaving, now + remaining, now)
    }

    /// Marks an instance as staying, and returns the record to broadcast.
    pub fn mark_staying(&self, now: Instant, instance: &InstanceId) -> InstanceRecord {
        self.set_status(instance, InstanceStatus::Staying, now, now)
    }

    /// Merges notices of the cloud API and returns the new records.
    pub fn apply_notices(&self, now: Instant, notices: &[ReclaimNotice]) -> Vec<InstanceRecord> {
        let records = notices.iter().map(|notice| from_notice(now, notice));
        self.merge(now, records.collect())
    }

    /// Merges records and returns the new ones.
    pub fn merge(&self, now: Instant, records: Vec<InstanceRecord>) -> Vec<InstanceRecord> {
        let mut known = self.0.records.lock().unwrap();
        let mut added = Vec::new();
        let mut changed = false;
        for record in records.into_iter().filter(|record| !record.is_expired(now)) {
            match known.get_mut(&record.instance) {
                Some(old) if record.is_same_update(old) => {
                    // The least delayed copy of a record has the earliest deadline.
                    changed |= record.deadline < old.deadline;
                    old.deadline = old.deadline.min(record.deadline);
                }
                Some(old) if !record.supersedes(old) => {}
                _ => {
                    known.insert(record.instance.clone(), record.clone());
                    added.push(record);
                    changed = true;
                }
            }
        }
        if changed {
            self.publish(&known);
        }
        added
    }

    /// Removes records that are past their retention time.
    pub fn remove_expired(&self, now: Instant) {
        let mut known = self.0.records.lock().unwrap();
        let before = known.len();
        known.retain(|_, record| !record.is_expired(now));
        if known.len() < before {
            self.publish(&known);
        }
    }

    /// Returns one hash per bucket of the set, for comparison with another node.
    pub fn digest(&self) -> [u64; DIGEST_BUCKETS] {
        let mut buckets = [0; DIGEST_BUCKETS];
        for record in self.0.records.lock().unwrap().values() {
            buckets[bucket_of(&record.instance)] ^= record_hash(record);
        }
        buckets
    }

    /// Returns the records in the buckets where the digest differs from `other`.
    pub fn records_differing_from(&self, other: &[u64]) -> Vec<InstanceRecord> {
        let own = self.digest();
        let differs = |record: &&InstanceRecord| {
            let bucket = bucket_of(&record.instance);
            other.get(bucket) != Some(&own[bucket])
        };
        self.0.records.lock().unwrap().values().filter(differs).cloned().collect()
    }

    fn set_status(
        &self,
        instance: &InstanceId,
        status: InstanceStatus,
        deadline: Instant,
        now: Instant,
    ) -> InstanceRecord {
        let version = self.record(instance).map(|record| record.version).unwrap_or_default();
        // Other nodes may have sent any number, including the maximum.
        let version = RecordVersion { local: version.local.saturating_add(1), ..version };
        let record = InstanceRecord { instance: instance.clone(), version, status, deadline };
        self.merge(now, vec![record.clone()]);
        record
    }

    fn publish(&self, known: &BTreeMap<InstanceId, InstanceRecord>) {
        let set = known
            .values()
            .filter(|record| record.status == InstanceStatus::Leaving)
            .map(|record| (record.instance.clone(), record.deadline))
            .collect();
        self.0.set.send_replace(Arc::new(set));
    }
}

fn from_notice(now: Instant, notice: &ReclaimNotice) -> InstanceRecord {
    let version = RecordVersion { sequence: notice.sequence, local: 0 };
    let (status, deadline) = match notice.withdrawn {
        true => (InstanceStatus::Staying, now),
        false => (InstanceStatus::Leaving, now + notice.remaining),
    };
    InstanceRecord { instance: notice.instance.clone(), version, status, deadline }
}

fn bucket_of(instance: &InstanceId) -> usize {
    (xxh3_64(instance.as_str().as_bytes()) % DIGEST_BUCKETS as u64) as usize
}

fn record_hash(record: &InstanceRecord) -> u64 {
    let mut buf = Vec::with_capacity(64);
    buf.extend_from_slice(record.instance.as_str().as_bytes());
    buf.extend_from_slice(&record.version.sequence.0.to_le_bytes());
    buf.extend_from_slice(&record.version.local.to_le_bytes());
    buf.push(u8::from(record.status == InstanceStatus::Leaving));
    xxh3_64(&buf)
}
