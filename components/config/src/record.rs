//! Audit records of configuration changes.

use std::time::{SystemTime, UNIX_EPOCH};

use lycheelatch_prelude::{ChangeId, OperatorName, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Object, ObjectKey, Snapshot};

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

/// Source of wall-clock time.
pub trait WallClock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Timestamp;
}

/// The system clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl WallClock for SystemClock {
    fn now(&self) -> Timestamp {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Timestamp(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change created.
    pub revision: Revision,
    /// Id of the change.
    pub id: ChangeId,
    /// Operator who made the change.
    pub author: OperatorName,
    /// Time of the commit.
    pub at: Timestamp,
    /// Changed objects, ordered by key.
    pub changes: Vec<ObjectChange>,
}

/// An object before and after a change, with each token replaced by its short id.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// Key of the object.
    pub object: ObjectKey,
    /// The object before the change; `None` if the change added it.
    pub before: Option<Value>,
    /// The object after the change; `None` if the change removed it.
    pub after: Option<Value>,
}

/// Effect of a change on an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The object was added.
    Add,
    /// The object was replaced.
    Replace,
    /// The object was removed.
    Remove,
}

impl ObjectChange {
    /// Returns the effect of the change on the object.
    pub fn action(&self) -> Action {
        match (&self.before, &self.after) {
            (None, _) => Action::Add,
            (Some(_), Some(_)) => Action::Replace,
            (Some(_), None) => Action::Remove,
        }
    }
}

/// Returns the differences between two snapshots, limited to the objects `keys`.
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
