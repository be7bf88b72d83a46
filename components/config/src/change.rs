//! A change that an operator asks for, and what became of it.

use std::{collections::BTreeSet, fmt, sync::Arc};

use displaydoc::Display;
use lycheelatch_prelude::{ChangeId, InvalidValue, OperatorName, Revision};
use lycheelatch_provider::{KvError, KvKey};

use crate::{ChangeRecord, Document, Object, ObjectChange, ObjectKey, Snapshot, record, validate};

/// A change of the configuration, applied whole or not at all.
#[derive(Debug, Clone)]
pub struct Change {
    /// Identity of the change; sending it again does not apply it twice.
    pub id: ChangeId,
    /// Operator who makes it.
    pub author: OperatorName,
    /// Revision that it must build on; none: the latest one.
    pub expected: Option<Revision>,
    /// What it does, in order.
    pub edits: Vec<Edit>,
}

/// One step of a change.
#[derive(Debug, Clone)]
pub enum Edit {
    /// Adds the objects of a document, or replaces those of the same keys.
    Apply(Document),
    /// Adds an object, or replaces the one of the same key.
    Put(Object),
    /// Removes an object that must exist.
    Remove(ObjectKey),
}

/// A change that holds.
#[derive(Debug, Clone)]
pub struct Applied {
    /// Whether this call wrote the change.
    pub effect: ApplyEffect,
    /// What the change did; empty for [`ApplyEffect::AlreadyApplied`].
    pub changes: Vec<ObjectChange>,
    /// Revision at which the change holds.
    pub revision: Revision,
    /// The configuration after the change, or a later one.
    pub snapshot: Arc<Snapshot>,
}

/// What a successful call did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyEffect {
    /// It committed the change.
    Committed,
    /// The configuration was so already, and no revision was made.
    Unchanged,
    /// A call before it had committed the change.
    AlreadyApplied,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyError {
    /// The configuration would not be valid; every error is named.
    Invalid(Vec<InvalidValue>),
    /// The expected revision is not the latest one.
    Conflict(Conflict),
    /// The configuration would be larger than the store takes.
    TooLarge {
        /// Size that it would have, in bytes.
        bytes: usize,
        /// Largest size, in bytes.
        limit: usize,
    },
    /// Other changes kept coming first; this one was not applied.
    Contended,
    /// This call did not apply the change.
    NotApplied(ConfigError),
    /// The change may have been applied: send it again with the same id to learn.
    OutcomeUnknown(ChangeId, ConfigError),
}

/// The expected revision is not the latest one.
#[derive(Debug, Clone, PartialEq)]
pub struct Conflict {
    /// Revision that the operator expected.
    pub expected: Revision,
    /// Latest revision.
    pub latest: Revision,
    /// What changed after the expected revision, newest first, as far as one page goes.
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

/// Why the stored configuration can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ConfigError {
    /// {0}
    Kv(KvError),
    /// the value under {key} can't be read: {reason}
    InvalidStoredValue {
        /// Key of the value.
        key: KvKey,
        /// What was seen.
        reason: Arc<str>,
    },
    /// the service shows revision {found} after it had shown {seen}
    RevisionRegressed {
        /// Highest revision seen before.
        seen: Revision,
        /// Revision that the service shows now.
        found: Revision,
    },
}

impl std::error::Error for ConfigError {}

impl From<KvError> for ConfigError {
    fn from(err: KvError) -> ConfigError {
        ConfigError::Kv(err)
    }
}

/// What a change would make of a snapshot.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The configuration after the change, at the next revision.
    pub snapshot: Snapshot,
    /// What differs; empty if the change has no effect.
    pub changes: Vec<ObjectChange>,
}

/// Works out what `edits` make of `base`, and checks the whole result.
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
