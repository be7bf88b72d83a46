//! Storage of a large configuration in several values, called parts.
//!
//! Each object is in the part chosen by the hash of its key.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use bytes::Bytes;
use lycheelatch_provider::{Entry, KvKey};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    head::{State, decode, encode},
    kv_client::KvClient,
};
use crate::{ConfigError, Object, ObjectKey, ObjectKind, Snapshot};

/// Key prefix of parts.
pub(super) const PART_PREFIX: &str = "config/part/";

/// Maximum size of a configuration that is stored inline in the head, in bytes.
const MAX_INLINE_BYTES: usize = 12 * 1024;

/// Maximum average size of parts, in bytes.
const MAX_MEAN_PART_BYTES: usize = 32 * 1024;

/// Maximum size of a part, in bytes.
const MAX_PART_BYTES: usize = 512 * 1024;

/// Maximum number of parts.
const MAX_PARTS: usize = 128;

/// Maximum size of a configuration, in bytes.
pub(super) const MAX_CONFIG_BYTES: usize = MAX_PARTS * MAX_MEAN_PART_BYTES;

/// Number of missing parts from which one list call is cheaper than reading each part.
const MIN_LISTED_PARTS: usize = 3;

/// The parts of one revision, by id.
#[derive(Debug, Clone, Default)]
pub(super) struct Parts(HashMap<Uuid, Arc<Part>>);

/// The objects of a part and its encoded size.
#[derive(Debug)]
pub(super) struct Part {
    objects: Vec<Object>,
    bytes: usize,
}

/// A state to store, and the parts to write before the head.
#[derive(Debug)]
pub(super) struct NewState {
    pub(super) state: State,
    pub(super) new_parts: Vec<(Uuid, Bytes)>,
    pub(super) parts: Parts,
}

pub(super) fn part_key(id: Uuid) -> KvKey {
    KvKey::new(&format!("{PART_PREFIX}{id}"))
}

/// Extracts the id of a part from its key.
pub(super) fn part_id(key: &KvKey) -> Option<Uuid> {
    key.as_str().strip_prefix(PART_PREFIX)?.parse().ok()
}

impl Parts {
    /// Returns the parts of `state`, reading those that `self` doesn't contain.
    pub(super) async fn fetch(&self, kv: &KvClient, state: &State) -> Result<Parts, ConfigError> {
        let State::Parts(ids) = state else { return Ok(Parts::default()) };
        let mut parts: HashMap<Uuid, Arc<Part>> =
            ids.iter().filter_map(|id| Some((*id, self.0.get(id)?.clone()))).collect();
        let missing: Vec<Uuid> = ids.iter().filter(|id| !parts.contains_key(id)).copied().collect();
        for entry in read_parts(kv, &missing).await? {
            if let Some(id) = part_id(&entry.key).filter(|id| missing.contains(id)) {
                let objects = decode(&entry.key, &entry.value)?;
                parts.insert(id, Arc::new(Part { objects, bytes: entry.value.len() }));
            }
        }
        match ids.iter().find(|id| !parts.contains_key(id)) {
            Some(id) => Err(missing_part(*id)),
            None => Ok(Parts(parts)),
        }
    }

    /// Builds the snapshot of `state`; its revision is not set.
    pub(super) fn snapshot(&self, state: &State) -> Snapshot {
        match state {
            State::Inline(objects) => objects.iter().cloned().collect(),
            State::Parts(ids) => ids
                .iter()
                .filter_map(|id| self.0.get(id))
                .flat_map(|p| &p.objects)
                .cloned()
                .collect(),
        }
    }

    /// Encodes `snapshot`, which differs from `state` only in the objects `changed`.
    ///
    /// Returns the size in bytes as the error if the configuration doesn't fit into [`MAX_PARTS`]
    /// parts.
    pub(super) fn encode_state(
        &self,
        state: &State,
        snapshot: &Snapshot,
        changed: &BTreeSet<ObjectKey>,
    ) -> Result<NewState, usize> {
        match state {
            State::Inline(_) => encode_all(snapshot),
            State::Parts(ids) => {
                self.encode_changed(ids, snapshot, changed).map_or_else(|| encode_all(snapshot), Ok)
            }
        }
    }

    /// Encodes only the parts that change; returns `None` if the configuration must be split anew,
    /// because the number of parts no longer suits its size or a part has grown too large.
    fn encode_changed(
        &self,
        ids: &[Uuid],
        snapshot: &Snapshot,
        changed: &BTreeSet<ObjectKey>,
    ) -> Option<NewState> {
        let changed_parts: BTreeSet<usize> =
            changed.iter().map(|key| part_index_of_key(key, ids.len())).collect();
        let mut buckets: BTreeMap<usize, Vec<Object>> =
            changed_parts.iter().map(|index| (*index, Vec::new())).collect();
        for object in snapshot.object_refs() {
            let index = part_index(object.kind(), object.name(), ids.len());
            if let Some(bucket) = buckets.get_mut(&index) {
                bucket.push(object.to_object());
            }
        }
        let mut ids = ids.to_vec();
        let mut parts = self.clone();
        let mut new_parts = Vec::new();
        for (index, objects) in buckets {
            parts.0.remove(&ids[index]);
            let (id, bytes) = parts.encode_part(objects);
            ids[index] = id;
            new_parts.push((id, bytes));
        }
        let bytes: usize = parts.0.values().map(|part| part.bytes).sum();
        let largest = parts.0.values().map(|part| part.bytes).max().unwrap_or(0);
        let fits = bytes > MAX_INLINE_BYTES / 2
            && bytes <= ids.len() * MAX_MEAN_PART_BYTES
            && bytes * 8 >= ids.len() * MAX_MEAN_PART_BYTES
            && largest <= MAX_PART_BYTES;
        fits.then_some(NewState { state: State::Parts(ids), new_parts, parts })
    }

    fn encode_part(&mut self, objects: Vec<Object>) -> (Uuid, Bytes) {
        let id = Uuid::now_v7();
        let encoded = encode(&objects);
        self.0.insert(id, Arc::new(Part { objects, bytes: encoded.len() }));
        (id, encoded)
    }
}

async fn read_parts(kv: &KvClient, ids: &[Uuid]) -> Result<Vec<Entry>, ConfigError> {
    if ids.len() >= MIN_LISTED_PARTS {
        return Ok(kv.list(&KvKey::new(PART_PREFIX)).await?);
    }
    let mut entries = Vec::new();
    for id in ids {
        entries.extend(kv.get(&part_key(*id)).await?);
    }
    Ok(entries)
}

fn missing_part(id: Uuid) -> ConfigError {
    ConfigError::InvalidStoredValue { key: part_key(id), reason: "the key does not exist".into() }
}

fn encode_all(snapshot: &Snapshot) -> Result<NewState, usize> {
    let objects: Vec<Object> = snapshot.objects().collect();
    let bytes = encode(&objects).len();
    if bytes <= MAX_INLINE_BYTES {
        let state = State::Inline(objects);
        return Ok(NewState { state, new_parts: Vec::new(), parts: Parts::default() });
    }
    // Twice as many parts as needed, so that the configuration can grow before the next split.
    let mut count = (2 * bytes).div_ceil(MAX_MEAN_PART_BYTES).next_power_of_two().min(MAX_PARTS);
    if bytes > MAX_CONFIG_BYTES {
        return Err(bytes);
    }
    loop {
        let state = split_into(&objects, count);
        let largest = state.parts.0.values().map(|part| part.bytes).max().unwrap_or(0);
        if largest <= MAX_PART_BYTES {
            return Ok(state);
        }
        if count == MAX_PARTS {
            return Err(bytes);
        }
        count *= 2;
    }
}

fn split_into(objects: &[Object], count: usize) -> NewState {
    let mut buckets = vec![Vec::new(); count];
    for object in objects {
        buckets[part_index_of_key(&object.key(), count)].push(object.clone());
    }
    let mut parts = Parts::default();
    let new_parts: Vec<(Uuid, Bytes)> = buckets.into_iter().map(|b| parts.encode_part(b)).collect();
    let state = State::Parts(new_parts.iter().map(|(id, _)| *id).collect());
    NewState { state, new_parts, parts }
}

fn part_index_of_key(key: &ObjectKey, count: usize) -> usize {
    part_index(key.kind, key.name.as_str(), count)
}

fn part_index(kind: ObjectKind, name: &str, count: usize) -> usize {
    // Changing the seeds would break the assignment of stored objects to parts.
    let seed = match kind {
        ObjectKind::Service => 1,
        ObjectKind::Workspace => 2,
        ObjectKind::Rule => 3,
    };
    (xxh3_64_with_seed(name.as_bytes(), seed) % count as u64) as usize
}
