//! Differences between revisions, and the wire format in which nodes exchange them.

use displaydoc::Display;
use lycheelatch_prelude::Revision;
use serde::{Deserialize, Serialize};

use crate::{Object, ObjectKey, Snapshot, object::ObjectRef};

/// Version of the wire format of deltas and snapshots.
const WIRE_FORMAT: u32 = 1;

/// The difference between a revision and a later one.
#[derive(Debug, Clone, PartialEq)]
pub struct Delta {
    /// Base revision, to which the delta applies.
    pub from: Revision,
    /// Revision that results from applying the delta.
    pub to: Revision,
    /// Objects to add or replace.
    pub puts: Vec<Object>,
    /// Keys of the objects to remove.
    pub removals: Vec<ObjectKey>,
}

/// Error from decoding or applying a delta or a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DeltaError {
    /// the delta applies to revision {needed}, but this node has revision {found}
    WrongBase {
        /// Base revision of the delta.
        needed: Revision,
        /// Revision of the snapshot that it was applied to.
        found: Revision,
    },
    /// the delta goes from revision {from} to revision {to}, which is not higher
    NotNewer {
        /// Base revision of the delta.
        from: Revision,
        /// Target revision of the delta.
        to: Revision,
    },
    /// unsupported wire format {0}
    UnknownFormat(u32),
    /// malformed JSON: {0}
    Malformed(String),
}

impl std::error::Error for DeltaError {}

impl Delta {
    /// Computes the delta that turns `before` into `after`.
    pub fn between(before: &Snapshot, after: &Snapshot) -> Delta {
        let is_changed = |object: &ObjectRef<'_>| object.counterpart_in(before) != Some(*object);
        let is_removed = |object: &ObjectRef<'_>| object.counterpart_in(after).is_none();
        let removed = before.object_refs().filter(is_removed);
        Delta {
            from: before.revision,
            to: after.revision,
            puts: after.object_refs().filter(is_changed).map(ObjectRef::to_object).collect(),
            removals: removed.map(|object| object.to_object().key()).collect(),
        }
    }

    /// Encodes the delta in the wire format.
    pub fn encode(&self) -> Vec<u8> {
        let wire = WireDelta {
            format: WIRE_FORMAT,
            from: self.from,
            to: self.to,
            puts: self.puts.clone(),
            removals: self.removals.clone(),
        };
        serde_json::to_vec(&wire).expect("a delta has only serializable fields")
    }

    /// Decodes a delta encoded by [`Delta::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Delta, DeltaError> {
        decode::<WireDelta>(bytes)?.try_into()
    }
}

impl Snapshot {
    /// Returns the snapshot that results from applying `delta`.
    pub fn apply_delta(&self, delta: &Delta) -> Result<Snapshot, DeltaError> {
        if delta.from != self.revision {
            return Err(DeltaError::WrongBase { needed: delta.from, found: self.revision });
        }
        if delta.to <= delta.from {
            return Err(DeltaError::NotNewer { from: delta.from, to: delta.to });
        }
        let mut snapshot = self.clone();
        for key in &delta.removals {
            snapshot.remove(key);
        }
        for object in &delta.puts {
            snapshot.put(object.clone());
        }
        snapshot.revision = delta.to;
        Ok(snapshot)
    }

    /// Encodes the snapshot in the wire format, for nodes that can't apply a delta.
    pub fn encode(&self) -> Vec<u8> {
        let wire = WireSnapshot {
            format: WIRE_FORMAT,
            revision: self.revision,
            objects: self.objects().collect(),
        };
        serde_json::to_vec(&wire).expect("a snapshot has only serializable fields")
    }

    /// Decodes a snapshot encoded by [`Snapshot::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, DeltaError> {
        decode::<WireSnapshot>(bytes)?.try_into()
    }
}

fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, DeltaError> {
    serde_json::from_slice(bytes).map_err(|err| DeltaError::Malformed(err.to_string()))
}

#[derive(Serialize, Deserialize)]
struct WireDelta {
    format: u32,
    from: Revision,
    to: Revision,
    puts: Vec<Object>,
    removals: Vec<ObjectKey>,
}

impl TryFrom<WireDelta> for Delta {
    type Error = DeltaError;

    fn try_from(wire: WireDelta) -> Result<Delta, DeltaError> {
        check_format(wire.format)?;
        if wire.to <= wire.from {
            return Err(DeltaError::NotNewer { from: wire.from, to: wire.to });
        }
        Ok(Delta { from: wire.from, to: wire.to, puts: wire.puts, removals: wire.removals })
    }
}

#[derive(Serialize, Deserialize)]
struct WireSnapshot {
    format: u32,
    revision: Revision,
    objects: Vec<Object>,
}

impl TryFrom<WireSnapshot> for Snapshot {
    type Error = DeltaError;

    fn try_from(wire: WireSnapshot) -> Result<Snapshot, DeltaError> {
        check_format(wire.format)?;
        let snapshot: Snapshot = wire.objects.into_iter().collect();
        Ok(Snapshot { revision: wire.revision, ..snapshot })
    }
}

fn check_format(format: u32) -> Result<(), DeltaError> {
    if format == WIRE_FORMAT { Ok(()) } else { Err(DeltaError::UnknownFormat(format)) }
}
