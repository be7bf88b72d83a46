//! The head: the one value whose compare-and-swap commits a change.

use std::collections::VecDeque;

use bytes::Bytes;
use lycheelatch_platform::KvKey;
use lycheelatch_prelude::{ChangeId, Revision};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{ChangeRecord, ConfigError, Object, Timestamp};

/// Key of the head.
pub(super) const HEAD_KEY: &str = "config/head";

/// Format of the head and of everything that it refers to.
const FORMAT: u32 = 1;

/// How many of the latest change ids the head remembers.
const MAX_RECENT: usize = 256;

/// The latest revision, and where its parts are.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) format: u32,
    pub(super) revision: Revision,
    pub(super) state: State,
    /// Ids of the latest changes, oldest first.
    pub(super) recent: VecDeque<Recent>,
    /// The latest records, oldest first, that no history page holds yet.
    pub(super) tail: Vec<ChangeRecord>,
    /// The latest history page.
    pub(super) page: Option<PageRef>,
    /// Keys that nothing refers to any more, oldest first.
    pub(super) retired: VecDeque<Retired>,
}

/// The objects, or where they are.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum State {
    /// The objects themselves.
    Inline(Vec<Object>),
    /// Ids of the parts; an object is in the part that its hash chooses.
    Parts(Vec<Uuid>),
}

/// One of the latest changes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Recent {
    pub(super) id: ChangeId,
    pub(super) revision: Revision,
    pub(super) at: Timestamp,
}

/// A key that nothing refers to any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Retired {
    pub(super) key: String,
    pub(super) at: Timestamp,
}

/// Where a page of the history is, and what it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PageRef {
    pub(super) id: Uuid,
    pub(super) number: u64,
    pub(super) first: Revision,
    pub(super) last: Revision,
    pub(super) bytes: usize,
}

impl Head {
    /// Returns the head of the empty configuration, which is not stored.
    pub(super) fn empty() -> Head {
        Head {
            format: FORMAT,
            revision: Revision::default(),
            state: State::Inline(Vec::new()),
            recent: VecDeque::new(),
            tail: Vec::new(),
            page: None,
            retired: VecDeque::new(),
        }
    }

    /// Reads a stored head.
    pub(super) fn decode(bytes: &[u8]) -> Result<Head, ConfigError> {
        let head: Head = decode(&head_key(), bytes)?;
        if head.format == FORMAT {
            return Ok(head);
        }
        let reason = format!("the format {} is not known to this version", head.format);
        Err(ConfigError::BadStored { key: head_key(), reason: reason.into() })
    }

    /// Returns the revision that the change `id` made, if it is one of the latest.
    pub(super) fn revision_of(&self, id: ChangeId) -> Option<Revision> {
        self.recent.iter().find(|recent| recent.id == id).map(|recent| recent.revision)
    }

    /// Remembers the id of a new change.
    pub(super) fn remember(&mut self, id: ChangeId, revision: Revision, at: Timestamp) {
        self.recent.push_back(Recent { id, revision, at });
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
    }
}

/// Returns the key of the head.
pub(super) fn head_key() -> KvKey {
    KvKey::new(HEAD_KEY)
}

/// Reads a stored value.
pub(super) fn decode<T: for<'de> Deserialize<'de>>(
    key: &KvKey,
    bytes: &[u8],
) -> Result<T, ConfigError> {
    serde_json::from_slice(bytes)
        .map_err(|err| ConfigError::BadStored { key: key.clone(), reason: err.to_string().into() })
}

/// Returns the stored form of a value.
pub(super) fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).expect("stored types have only serializable parts").into()
}
