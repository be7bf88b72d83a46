//! The audit record of one change.

use std::time::{SystemTime, UNIX_EPOCH};

use lycheelatch_prelude::{ChangeId, OperatorName, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Object, ObjectKey, Snapshot};

/// A moment of the wall clock, in milliseconds since 1970 UTC.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

/// A clock that tells the time of day.
pub trait WallClock: Send + Sync {
    /// Returns the present moment.
    fn now(&self) -> Timestamp;
}

/// The machine's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl WallClock for SystemClock {
    fn now(&self) -> Timestamp {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Timestamp(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Who changed what and when: one entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change made.
    pub revision: Revision,
    /// Identity of the change.
    pub id: ChangeId,
    /// Operator who made it.
    pub author: OperatorName,
    /// When it was committed.
    pub at: Timestamp,
    /// What it changed, ordered by object.
    pub changes: Vec<ObjectChange>,
}

/// One object before and after a change; tokens appear by their short ids only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// The object.
    pub object: ObjectKey,
    /// The object before; none if the change added it.
    pub before: Option<Value>,
    /// The object after; none if the change removed it.
    pub after: Option<Value>,
}

/// What a change did to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// It added the object.
    Add,
    /// It replaced the object.
    Replace,
    /// It removed the object.
    Remove,
}

impl ObjectChange {
    /// Returns what the change did to the object.
    pub fn action(&self) -> Action {
        match (&self.before, &self.after) {
            (None, _) => Action::Add,
            (Some(_), Some(_)) => Action::Replace,
            (Some(_), None) => Action::Remove,
        }
    }
}

/// Returns what differs between two snapshots at the objects `keys`.
pub(crate) fn changes_at(
    before: &Snapshot,
    after: &Snapshot,
    keys: impl IntoIterator<Item = ObjectKey>,
) -> Vec<ObjectChange> {
    let change = |object: ObjectKey| {
        let (old, new) = (before.object(&object), after.object(&object));
        if old == new {
            return None;
        }
        let view = |object: Option<Object>| object.map(|object| object.view());
        Some(ObjectChange { object, before: view(old), after: view(new) })
    };
    keys.into_iter().filter_map(change).collect()
}
