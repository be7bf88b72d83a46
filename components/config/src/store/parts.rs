//! The objects of a large configuration, spread over several values.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use bytes::Bytes;
use lycheelatch_provider::{Entry, KvKey};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    calls::Calls,
    head::{State, decode, encode},
};
use crate::{ConfigError, Object, ObjectKey, ObjectKind, Snapshot};

/// Prefix of the keys of parts.
pub(super) const PART_PREFIX: &str = "config/part/";

/// Largest configuration that the head holds itself, in bytes.
const MAX_INLINE_BYTES: usize = 12 * 1024;

/// Size of an average part, in bytes.
const PART_BYTES: usize = 32 * 1024;

/// Largest part, in bytes.
const MAX_PART_BYTES: usize = 512 * 1024;

/// Most parts.
const MAX_PARTS: usize = 128;

/// Largest configuration, in bytes.
pub(super) const MAX_CONFIG_BYTES: usize = MAX_PARTS * PART_BYTES;

/// Missing parts from which one listing is cheaper than a read of each.
const MIN_LISTED_PARTS: usize = 3;

/// The parts of one revision, as last read or written.
#[derive(Debug, Clone, Default)]
pub(super) struct Parts(HashMap<Uuid, Arc<Part>>);

/// One part: its objects, and its size as stored.
#[derive(Debug)]
pub(super) struct Part {
    objects: Vec<Object>,
    bytes: usize,
}

/// A state to be stored, with the parts that are new in it.
#[derive(Debug)]
pub(super) struct NewState {
    pub(super) state: State,
    pub(super) new_parts: Vec<(Uuid, Bytes)>,
    pub(super) parts: Parts,
}

/// Returns the key of a part.
pub(super) fn part_key(id: Uuid) -> KvKey {
    KvKey::new(&format!("{PART_PREFIX}{id}"))
}

/// Returns the id of the part under `key`.
pub(super) fn part_id(key: &KvKey) -> Option<Uuid> {
    key.as_str().strip_prefix(PART_PREFIX)?.parse().ok()
}

impl Parts {
    /// Returns the parts of `state`: known ones from here, the rest from the service.
    pub(super) async fn fetch(&self, calls: &Calls, state: &State) -> Result<Parts, ConfigError> {
        let State::Parts(ids) = state else { return Ok(Parts::default()) };
        let mut parts: HashMap<Uuid, Arc<Part>> =
            ids.iter().filter_map(|id| Some((*id, self.0.get(id)?.clone()))).collect();
        let missing: Vec<Uuid> = ids.iter().filter(|id| !parts.contains_key(id)).copied().collect();
        for entry in read_parts(calls, &missing).await? {
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

    /// Returns the objects of `state`.
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

    /// Works out how to store `snapshot`, which differs from `state` at the objects `changed`.
    ///
    /// Fails with the size in bytes if it is larger than the store takes.
    pub(super) fn store(
        &self,
        state: &State,
        snapshot: &Snapshot,
        changed: &BTreeSet<ObjectKey>,
    ) -> Result<NewState, usize> {
        match state {
            State::Inline(_) => store_anew(snapshot),
            State::Parts(ids) => {
                self.store_changed(ids, snapshot, changed).map_or_else(|| store_anew(snapshot), Ok)
            }
        }
    }

    /// Writes only the parts that change; `None` if their number or sizes no longer fit.
    fn store_changed(
        &self,
        ids: &[Uuid],
        snapshot: &Snapshot,
        changed: &BTreeSet<ObjectKey>,
    ) -> Option<NewState> {
        let touched: BTreeSet<usize> =
            changed.iter().map(|key| part_of_key(key, ids.len())).collect();
        let mut buckets: BTreeMap<usize, Vec<Object>> =
            touched.iter().map(|index| (*index, Vec::new())).collect();
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
            let (id, bytes) = parts.add(objects);
            ids[index] = id;
            new_parts.push((id, bytes));
        }
        let bytes: usize = parts.0.values().map(|part| part.bytes).sum();
        let largest = parts.0.values().map(|part| part.bytes).max().unwrap_or(0);
        let fits = bytes > MAX_INLINE_BYTES / 2
            && bytes <= ids.len() * PART_BYTES
            && bytes * 8 >= ids.len() * PART_BYTES
            && largest <= MAX_PART_BYTES;
        fits.then_some(NewState { state: State::Parts(ids), new_parts, parts })
    }

    fn add(&mut self, objects: Vec<Object>) -> (Uuid, Bytes) {
        let id = Uuid::now_v7();
        let encoded = encode(&objects);
        self.0.insert(id, Arc::new(Part { objects, bytes: encoded.len() }));
        (id, encoded)
    }
}

async fn read_parts(calls: &Calls, ids: &[Uuid]) -> Result<Vec<Entry>, ConfigError> {
    if ids.len() >= MIN_LISTED_PARTS {
        return Ok(calls.list(&KvKey::new(PART_PREFIX)).await?);
    }
    let mut entries = Vec::new();
    for id in ids {
        entries.extend(calls.get(&part_key(*id)).await?);
    }
    Ok(entries)
}

fn missing_part(id: Uuid) -> ConfigError {
    ConfigError::InvalidStoredValue { key: part_key(id), reason: "is missing".into() }
}

fn store_anew(snapshot: &Snapshot) -> Result<NewState, usize> {
    let objects: Vec<Object> = snapshot.objects().collect();
    let bytes = encode(&objects).len();
    if bytes <= MAX_INLINE_BYTES {
        let state = State::Inline(objects);
        return Ok(NewState { state, new_parts: Vec::new(), parts: Parts::default() });
    }
    // Room to grow before the number of parts changes again.
    let mut count = (2 * bytes).div_ceil(PART_BYTES).next_power_of_two().min(MAX_PARTS);
    if bytes > MAX_CONFIG_BYTES {
        return Err(bytes);
    }
    loop {
        let state = store_in(&objects, count);
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

fn store_in(objects: &[Object], count: usize) -> NewState {
    let mut buckets = vec![Vec::new(); count];
    for object in objects {
        buckets[part_of_key(&object.key(), count)].push(object.clone());
    }
    let mut parts = Parts::default();
    let new_parts: Vec<(Uuid, Bytes)> = buckets.into_iter().map(|b| parts.add(b)).collect();
    let state = State::Parts(new_parts.iter().map(|(id, _)| *id).collect());
    NewState { state, new_parts, parts }
}

fn part_of_key(key: &ObjectKey, count: usize) -> usize {
    part_index(key.kind, key.name.as_str(), count)
}

fn part_index(kind: ObjectKind, name: &str, count: usize) -> usize {
    // The seeds are part of the stored form.
    let seed = match kind {
        ObjectKind::Service => 1,
        ObjectKind::Workspace => 2,
        ObjectKind::Rule => 3,
    };
    (xxh3_64_with_seed(name.as_bytes(), seed) % count as u64) as usize
}
