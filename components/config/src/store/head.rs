//! The head: the value whose compare-and-swap commits a change.

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

/// Version of the format of the head and of all values that it refers to.
const FORMAT: u32 = 1;

/// Number of latest change ids that the head stores for deduplication.
const MAX_RECENT_IDS: usize = 256;

/// The latest revision, with references to its parts and its history.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) format: u32,
    pub(super) revision: Revision,
    pub(super) state: State,
    /// Time of the revision's commit.
    pub(super) at: Timestamp,
    recent: RecentIds,
    /// Latest audit records that are not in a history page yet, oldest first.
    pub(super) tail: Vec<ChangeRecord>,
    /// The latest history page.
    pub(super) page: Option<PageRef>,
    /// Keys that are no longer referred to and will be deleted, oldest first.
    pub(super) retired: VecDeque<Retired>,
}

/// The objects of a revision, or references to them.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum State {
    /// The objects, stored in the head.
    Inline(Vec<Object>),
    /// Ids of the parts; the hash of an object's key selects its part.
    Parts(Vec<Uuid>),
}

/// Ids of the latest changes, oldest first; the last one created the head's revision.
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

/// A key that is no longer referred to, and the time of the change that replaced it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Retired {
    pub(super) key: String,
    pub(super) at: Timestamp,
}

/// Reference to a history page, with the revisions that it covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PageRef {
    pub(super) id: Uuid,
    pub(super) number: u64,
    pub(super) first: Revision,
    pub(super) last: Revision,
    pub(super) bytes: usize,
}

impl Head {
    /// Returns the head of the initial, empty configuration, which is never stored.
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

    /// Decodes a stored head.
    pub(super) fn decode(bytes: &[u8]) -> Result<Head, ConfigError> {
        let head: Head = decode(&head_key(), bytes)?;
        if head.format == FORMAT {
            return Ok(head);
        }
        let reason = format!("unsupported format {}", head.format);
        Err(ConfigError::InvalidStoredValue { key: head_key(), reason: reason.into() })
    }

    /// Returns the revision created by the change `id`, if it is one of the latest changes.
    pub(super) fn revision_of(&self, id: ChangeId) -> Option<Revision> {
        let age = self.recent.0.iter().rev().position(|recent| *recent == id)?;
        Some(Revision(self.revision.0 - age as u64))
    }

    /// Advances the head to the next revision, created by the change `id`.
    pub(super) fn advance(&mut self, id: ChangeId, at: Timestamp) {
        self.revision = self.revision.next();
        self.at = at;
        self.recent.0.push_back(id);
        if self.recent.0.len() > MAX_RECENT_IDS {
            self.recent.0.pop_front();
        }
    }
}

pub(super) fn head_key() -> KvKey {
    KvKey::new(HEAD_KEY)
}

/// Decodes a stored value.
pub(super) fn decode<T: for<'de> Deserialize<'de>>(
    key: &KvKey,
    bytes: &[u8],
) -> Result<T, ConfigError> {
    serde_json::from_slice(bytes).map_err(|err| ConfigError::InvalidStoredValue {
        key: key.clone(),
        reason: err.to_string().into(),
    })
}

/// Encodes a value for storage.
pub(super) fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).expect("stored types have only serializable fields").into()
}
