//! Configuration changes, their outcomes and their errors.

use std::{collections::BTreeSet, fmt, sync::Arc};

use displaydoc::Display;
use lycheelatch_prelude::{ChangeId, InvalidValue, OperatorName, Revision};
use lycheelatch_provider::{KvError, KvKey};

use crate::{ChangeRecord, Document, Object, ObjectChange, ObjectKey, Snapshot, record, validate};

/// A configuration change, applied atomically.
#[derive(Debug, Clone)]
pub struct Change {
    /// Idempotency key: a change sent again with the same id is applied once.
    pub id: ChangeId,
    /// Operator who makes the change.
    pub author: OperatorName,
    /// Revision that must be the latest one; `None` accepts any.
    pub expected: Option<Revision>,
    /// Edits, applied in order.
    pub edits: Vec<Edit>,
}

/// One edit of a change.
#[derive(Debug, Clone)]
pub enum Edit {
    /// Adds the objects of a document, replacing existing objects with the same keys.
    Apply(Document),
    /// Adds an object, or replaces the object with the same key.
    Put(Object),
    /// Removes an object; invalid if the object does not exist.
    Remove(ObjectKey),
}

/// Result of a successful change.
#[derive(Debug, Clone)]
pub struct Applied {
    /// Effect of this call.
    pub effect: ApplyEffect,
    /// Changed objects; empty for [`ApplyEffect::AlreadyApplied`].
    pub changes: Vec<ObjectChange>,
    /// Revision that contains the change.
    pub revision: Revision,
    /// The configuration after the change, or a later revision of it.
    pub snapshot: Arc<Snapshot>,
}

/// Effect of a successful call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyEffect {
    /// The call committed the change.
    Committed,
    /// The change has no effect on the configuration, and no revision was created.
    Unchanged,
    /// An earlier call committed the change.
    AlreadyApplied,
}

/// Error from applying a change.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyError {
    /// The resulting configuration would be invalid; lists all errors.
    Invalid(Vec<InvalidValue>),
    /// The expected revision is not the latest one.
    Conflict(Conflict),
    /// The resulting configuration would exceed the size limit.
    TooLarge {
        /// Size of the resulting configuration, in bytes.
        bytes: usize,
        /// Size limit, in bytes.
        limit: usize,
    },
    /// Concurrent changes won every attempt; this change was not applied.
    Contended,
    /// This call did not apply the change.
    NotApplied(ConfigError),
    /// The change may or may not have been applied; send it again with the same id to find out.
    OutcomeUnknown(ChangeId, ConfigError),
}

/// Details of a mismatch between the expected and the latest revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Conflict {
    /// Revision that the operator expected.
    pub expected: Revision,
    /// Latest revision.
    pub latest: Revision,
    /// Changes after the expected revision, newest first, limited to one page.
    pub intervening: Vec<ChangeRecord>,
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::Invalid(errors) => {
                let errors: Vec<String> = errors.iter().map(InvalidValue::to_string).collect();
                write!(f, "the configuration would not be valid: {}", errors.join("; "))
            }
            ApplyError::Conflict(Conflict { expected, latest, .. }) => {
                write!(f, "the change expects revision {expected}, and the latest is {latest}")
            }
            ApplyError::TooLarge { bytes, limit } => {
                write!(f, "the configuration would take {bytes} bytes of {limit}")
            }
            ApplyError::Contended => f.write_str("other changes came first; nothing was applied"),
            ApplyError::NotApplied(err) => write!(f, "the change was not applied: {err}"),
            ApplyError::OutcomeUnknown(id, err) => {
                write!(f, "the change {id} may have been applied, send it again to learn: {err}")
            }
        }
    }
}

impl std::error::Error for ApplyError {}

/// Error from reading the stored configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ConfigError {
    /// {0}
    Kv(KvError),
    /// invalid stored value at {key}: {reason}
    InvalidStoredValue {
        /// Key of the value.
        key: KvKey,
        /// Cause of the error.
        reason: Arc<str>,
    },
    /// the key-value service returned revision {found}, but revision {seen} was seen before
    RevisionRegressed {
        /// Highest revision seen before the read.
        seen: Revision,
        /// Revision that the key-value service returned.
        found: Revision,
    },
}

impl std::error::Error for ConfigError {}

impl From<KvError> for ConfigError {
    fn from(err: KvError) -> ConfigError {
        ConfigError::Kv(err)
    }
}

/// Result of applying edits to a snapshot in memory.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The configuration after the edits, at the next revision if they have an effect.
    pub snapshot: Snapshot,
    /// Changed objects; empty if the edits have no effect.
    pub changes: Vec<ObjectChange>,
}

/// Applies `edits` to a copy of `base` and validates the result.
///
/// Returns all validation errors if the result is invalid.
pub fn plan(base: &Snapshot, edits: &[Edit]) -> Result<Plan, Vec<InvalidValue>> {
    let mut snapshot = base.clone();
    let mut keys = BTreeSet::new();
    let mut errors = Vec::new();
    for edit in edits {
        match edit {
            Edit::Apply(document) => {
                for object in document.resolve(&snapshot, &mut errors) {
                    keys.insert(object.key());
                    snapshot.put(object);
                }
            }
            Edit::Put(object) => {
                keys.insert(object.key());
                snapshot.put(object.clone());
            }
            Edit::Remove(key) => {
                if !snapshot.remove(key) {
                    let reason = "does not exist";
                    errors.push(InvalidValue::new(key.kind.plural(), key.name.as_str(), reason));
                }
                keys.insert(key.clone());
            }
        }
    }
    validate::check(&snapshot, &keys, &mut errors);
    if !errors.is_empty() {
        return Err(errors);
    }
    let changes = record::changes_at(base, &snapshot, keys);
    snapshot.revision = if changes.is_empty() { base.revision } else { base.revision.next() };
    Ok(Plan { snapshot, changes })
}
