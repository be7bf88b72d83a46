//! The head: the one value whose compare-and-swap commits a change.

use std::collections::VecDeque;

use base64::{Engine as _, engine::general_purpose::STANDARD_NO_PAD};
use bytes::Bytes;
use lycheelatch_prelude::{ChangeId, Revision};
use lycheelatch_provider::KvKey;
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
    /// When the revision was committed.
    pub(super) at: Timestamp,
    recent: RecentIds,
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

/// Ids of the latest changes, oldest first; the last one made the head's revision.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
struct RecentIds(VecDeque<ChangeId>);

impl From<RecentIds> for String {
    fn from(ids: RecentIds) -> String {
        let bytes: Vec<u8> = ids.0.iter().flat_map(|id| id.0.into_bytes()).collect();
        STANDARD_NO_PAD.encode(bytes)
    }
}

impl TryFrom<String> for RecentIds {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<RecentIds, base64::DecodeError> {
        let bytes = STANDARD_NO_PAD.decode(text)?;
        let ids = bytes.chunks(size_of::<Uuid>()).map_while(|id| Uuid::from_slice(id).ok());
        Ok(RecentIds(ids.map(ChangeId).collect()))
    }
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
            at: Timestamp::default(),
            recent: RecentIds::default(),
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
        Err(ConfigError::InvalidStoredValue { key: head_key(), reason: reason.into() })
    }

    /// Returns the revision that the change `id` made, if it is one of the latest.
    pub(super) fn revision_of(&self, id: ChangeId) -> Option<Revision> {
        let age = self.recent.0.iter().rev().position(|recent| *recent == id)?;
        Some(Revision(self.revision.0 - age as u64))
    }

    /// Moves the head to the revision that the change `id` makes.
    pub(super) fn advance(&mut self, id: ChangeId, at: Timestamp) {
        self.revision = self.revision.next();
        self.at = at;
        self.recent.0.push_back(id);
        if self.recent.0.len() > MAX_RECENT {
            self.recent.0.pop_front();
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
    serde_json::from_slice(bytes).map_err(|err| ConfigError::InvalidStoredValue {
        key: key.clone(),
        reason: err.to_string().into(),
    })
}

/// Returns the stored form of a value.
pub(super) fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).expect("stored types have only serializable parts").into()
}
