//! Paginated queries of the history and the audit trail.

use std::collections::BTreeMap;

use lycheelatch_prelude::{ChangeId, OperatorName, Revision};
use serde::{Deserialize, Serialize};

use super::{ConfigStore, head::Head, history::ReverseReader};
use crate::{Action, ChangeRecord, ConfigError, ObjectChange, ObjectKey, Timestamp};

/// Maximum number of records per page.
const MAX_PAGE_RECORDS: usize = 200;

/// Maximum number of records that a query scans.
const MAX_SCANNED_RECORDS: usize = 5000;

/// A change, without the contents of its objects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the change created.
    pub revision: Revision,
    /// Id of the change.
    pub id: ChangeId,
    /// Operator who made the change.
    pub author: OperatorName,
    /// Time of the commit.
    pub at: Timestamp,
    /// Changed objects.
    pub objects: Vec<ChangedObject>,
}

/// An object changed by a change, with the action.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangedObject {
    /// Key of the object.
    pub object: ObjectKey,
    /// Effect of the change on the object.
    pub action: Action,
}

/// A page of the history, newest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryPage {
    /// Entries of the page.
    pub entries: Vec<HistoryEntry>,
    /// Value of `before` for the next page; `None` on the last page.
    pub next: Option<Revision>,
}

/// A page of the audit trail, newest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Records of the page.
    pub records: Vec<ChangeRecord>,
    /// Value of `before` for the next page; `None` on the last page.
    pub next: Option<Revision>,
}

/// Query of the audit trail.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AuditQuery {
    /// Matches only records with a lower revision.
    pub before: Option<Revision>,
    /// Maximum number of records to return, capped at 200.
    pub limit: usize,
    /// Matches only changes by this operator.
    pub author: Option<OperatorName>,
    /// Matches only changes of this object.
    pub object: Option<ObjectKey>,
}

impl AuditQuery {
    fn matches(&self, record: &ChangeRecord) -> bool {
        let changes =
            |object: &ObjectKey| record.changes.iter().any(|change| change.object == *object);
        self.author.as_ref().is_none_or(|author| record.author == *author)
            && self.object.as_ref().is_none_or(changes)
    }
}

impl From<ChangeRecord> for HistoryEntry {
    fn from(record: ChangeRecord) -> HistoryEntry {
        let changed =
            |change: ObjectChange| ChangedObject { action: change.action(), object: change.object };
        HistoryEntry {
            revision: record.revision,
            id: record.id,
            author: record.author,
            at: record.at,
            objects: record.changes.into_iter().map(changed).collect(),
        }
    }
}

impl ConfigStore {
    /// Reads a page of the history: the newest changes, or the newest before the revision `before`.
    pub async fn history(
        &self,
        before: Option<Revision>,
        limit: usize,
    ) -> Result<HistoryPage, ConfigError> {
        let query = AuditQuery { before, limit, ..AuditQuery::default() };
        let page = self.audit(&query).await?;
        let entries = page.records.into_iter().map(HistoryEntry::from).collect();
        Ok(HistoryPage { entries, next: page.next })
    }

    /// Reads a page of the audit trail.
    ///
    /// A page of a filtered query may have fewer records than the limit although further pages
    /// follow, because a query scans at most 5,000 records.
    pub async fn audit(&self, query: &AuditQuery) -> Result<AuditPage, ConfigError> {
        let loaded = self.read().await?;
        let newest = match query.before {
            Some(before) => Revision(before.0.saturating_sub(1)).min(loaded.head.revision),
            None => loaded.head.revision,
        };
        let limit = query.limit.clamp(1, MAX_PAGE_RECORDS);
        let mut page = AuditPage { records: Vec::new(), next: None };
        let mut reader = ReverseReader::from(&self.kv, &loaded.head, newest).await?;
        for _ in 0..MAX_SCANNED_RECORDS {
            let Some(record) = reader.next().await? else {
                page.next = None;
                return Ok(page);
            };
            if page.records.len() == limit {
                return Ok(page);
            }
            page.next = Some(record.revision);
            if query.matches(&record) {
                page.records.push(record);
            }
        }
        Ok(page)
    }

    /// Returns the differences between revision `from` and the later revision `to`.
    ///
    /// Each changed object appears once, with its state at `from` and at `to`.
    pub async fn diff(
        &self,
        from: Revision,
        to: Revision,
    ) -> Result<Vec<ObjectChange>, ConfigError> {
        let loaded = self.read().await?;
        let mut reader = ReverseReader::from(&self.kv, &loaded.head, to).await?;
        let mut changes = BTreeMap::<ObjectKey, ObjectChange>::new();
        while let Some(record) = reader.next().await? {
            if record.revision <= from {
                break;
            }
            for change in record.changes {
                match changes.get_mut(&change.object) {
                    Some(later) => later.before = change.before,
                    None => {
                        changes.insert(change.object.clone(), change);
                    }
                }
            }
        }
        Ok(changes.into_values().filter(|change| change.before != change.after).collect())
    }

    /// Returns the changes after revision `expected`, newest first, limited to one page.
    pub(super) async fn changes_since(
        &self,
        head: &Head,
        expected: Revision,
    ) -> Result<Vec<ChangeRecord>, ConfigError> {
        let mut reader = ReverseReader::from(&self.kv, head, head.revision).await?;
        let mut changes = Vec::new();
        while let Some(record) = reader.next().await? {
            if record.revision <= expected || changes.len() == MAX_PAGE_RECORDS {
                break;
            }
            changes.push(record);
        }
        Ok(changes)
    }
}
