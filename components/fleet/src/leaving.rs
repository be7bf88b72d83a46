//! The instances that leave, as this node knows them.
//!
//! Every statement about an instance carries a [`Stamp`]. The higher stamp
//! wins, so that nodes that have heard the same statements, in any order and
//! any number of times, hold the same set.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use lycheelatch_prelude::{InstanceId, Sequence};
use lycheelatch_provider::ReclaimNotice;
use tokio::{sync::watch, time::Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Time after its deadline for which a statement is kept.
pub(crate) const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// Parts of the set that anti-entropy compares one by one.
pub(crate) const DIGEST_BUCKETS: usize = 16;

/// Instances that leave, with the time at which each goes.
pub type LeavingDeadlines = HashMap<InstanceId, Instant>;

/// Order of the statements about one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// Sequence number of the cloud's latest notice.
    pub sequence: Sequence,
    /// Statements of nodes since that notice.
    pub local: u32,
}

/// What a statement says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// It stays, against an earlier statement.
    Staying,
    /// It leaves and takes no new work.
    Leaving,
}

/// One statement about one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Instance that it speaks of.
    pub instance: InstanceId,
    /// Its place among the statements about the instance.
    pub stamp: Stamp,
    /// What it says.
    pub standing: Standing,
    /// Time at which the instance goes, or at which the withdrawal was made.
    pub deadline: Instant,
}

impl Record {
    fn supersedes(&self, other: &Record) -> bool {
        (self.stamp, self.standing) > (other.stamp, other.standing)
    }

    fn is_same_statement(&self, other: &Record) -> bool {
        (self.stamp, self.standing) == (other.stamp, other.standing)
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        self.deadline + FORGET_AFTER <= now
    }
}

/// The instances that leave; clones share one set.
#[derive(Debug, Clone)]
pub struct LeavingInstances(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    records: Mutex<BTreeMap<InstanceId, Record>>,
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

    /// Returns whether the instance leaves and is to get no new work.
    pub fn is_leaving(&self, instance: &InstanceId) -> bool {
        self.0.set.borrow().contains_key(instance)
    }

    /// Returns the time at which the instance goes, if it leaves.
    pub fn deadline(&self, instance: &InstanceId) -> Option<Instant> {
        self.0.set.borrow().get(instance).copied()
    }

    /// Returns how many instances leave.
    pub fn len(&self) -> usize {
        self.0.set.borrow().len()
    }

    /// Returns whether no instance leaves.
    pub fn is_empty(&self) -> bool {
        self.0.set.borrow().is_empty()
    }

    /// Returns a receiver of the whole set, which changes with each batch of statements.
    pub fn subscribe(&self) -> watch::Receiver<Arc<LeavingDeadlines>> {
        self.0.set.subscribe()
    }

    /// Returns the statement that stands about an instance.
    pub fn record(&self, instance: &InstanceId) -> Option<Record> {
        self.0.records.lock().unwrap().get(instance).cloned()
    }

    /// States that an instance goes after `remaining`, and returns the statement to spread.
    pub fn mark_leaving(&self, now: Instant, instance: &InstanceId, remaining: Duration) -> Record {
        self.state(instance, Standing::Leaving, now + remaining, now)
    }

    /// States that an instance stays, and returns the statement to spread.
    pub fn mark_staying(&self, now: Instant, instance: &InstanceId) -> Record {
        self.state(instance, Standing::Staying, now, now)
    }

    /// Takes notices of the cloud and returns the statements that were new.
    pub fn take_notices(&self, now: Instant, notices: &[ReclaimNotice]) -> Vec<Record> {
        let records = notices.iter().map(|notice| from_notice(now, notice));
        self.merge(now, records.collect())
    }

    /// Takes statements and returns those that were new.
    pub fn merge(&self, now: Instant, records: Vec<Record>) -> Vec<Record> {
        let mut known = self.0.records.lock().unwrap();
        let mut fresh = Vec::new();
        let mut changed = false;
        for record in records.into_iter().filter(|record| !record.is_forgotten(now)) {
            match known.get_mut(&record.instance) {
                Some(old) if record.is_same_statement(old) => {
                    // The least delayed copy names the earliest deadline.
                    changed |= record.deadline < old.deadline;
                    old.deadline = old.deadline.min(record.deadline);
                }
                Some(old) if !record.supersedes(old) => {}
                _ => {
                    known.insert(record.instance.clone(), record.clone());
                    fresh.push(record);
                    changed = true;
                }
            }
        }
        if changed {
            self.publish(&known);
        }
        fresh
    }

    /// Drops the statements that are too old to matter.
    pub fn forget_old(&self, now: Instant) {
        let mut known = self.0.records.lock().unwrap();
        let before = known.len();
        known.retain(|_, record| !record.is_forgotten(now));
        if known.len() < before {
            self.publish(&known);
        }
    }

    /// Returns a hash of each part of the set, for comparison with another node's.
    pub fn digest(&self) -> [u64; DIGEST_BUCKETS] {
        let mut buckets = [0; DIGEST_BUCKETS];
        for record in self.0.records.lock().unwrap().values() {
            buckets[bucket_of(&record.instance)] ^= statement_hash(record);
        }
        buckets
    }

    /// Returns the statements in the parts where the digest differs from `other`.
    pub fn differing(&self, other: &[u64]) -> Vec<Record> {
        let own = self.digest();
        let differs = |record: &&Record| {
            let bucket = bucket_of(&record.instance);
            other.get(bucket) != Some(&own[bucket])
        };
        self.0.records.lock().unwrap().values().filter(differs).cloned().collect()
    }

    fn state(
        &self,
        instance: &InstanceId,
        standing: Standing,
        deadline: Instant,
        now: Instant,
    ) -> Record {
        let stamp = self.record(instance).map(|record| record.stamp).unwrap_or_default();
        // Other nodes send stamps, so that any number may stand here.
        let stamp = Stamp { local: stamp.local.saturating_add(1), ..stamp };
        let record = Record { instance: instance.clone(), stamp, standing, deadline };
        self.merge(now, vec![record.clone()]);
        record
    }

    fn publish(&self, known: &BTreeMap<InstanceId, Record>) {
        let set = known
            .values()
            .filter(|record| record.standing == Standing::Leaving)
            .map(|record| (record.instance.clone(), record.deadline))
            .collect();
        self.0.set.send_replace(Arc::new(set));
    }
}

fn from_notice(now: Instant, notice: &ReclaimNotice) -> Record {
    let stamp = Stamp { sequence: notice.sequence, local: 0 };
    let (standing, deadline) = match notice.withdrawn {
        true => (Standing::Staying, now),
        false => (Standing::Leaving, now + notice.remaining),
    };
    Record { instance: notice.instance.clone(), stamp, standing, deadline }
}

fn bucket_of(instance: &InstanceId) -> usize {
    (xxh3_64(instance.as_str().as_bytes()) % DIGEST_BUCKETS as u64) as usize
}

fn statement_hash(record: &Record) -> u64 {
    let mut buf = Vec::with_capacity(64);
    buf.extend_from_slice(record.instance.as_str().as_bytes());
    buf.extend_from_slice(&record.stamp.sequence.0.to_le_bytes());
    buf.extend_from_slice(&record.stamp.local.to_le_bytes());
    buf.push(u8::from(record.standing == Standing::Leaving));
    xxh3_64(&buf)
}
