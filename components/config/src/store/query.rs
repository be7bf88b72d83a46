//! Reads the history and the audit trail, page by page.

use std::collections::BTreeMap;

use lycheelatch_prelude::{ChangeId, OperatorName, Revision};
use serde::{Deserialize, Serialize};

use super::{ConfigStore, head::Head, history::Backwards};
use crate::{Action, ChangeRecord, ConfigError, ObjectChange, ObjectKey, Timestamp};

/// Most records on one page of an answer.
const MAX_PAGE_RECORDS: usize = 200;

/// Most records that one filtered read looks at.
const MAX_SCANNED: usize = 5000;

/// One change, without the content of its objects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the change made.
    pub revision: Revision,
    /// Identity of the change.
    pub id: ChangeId,
    /// Operator who made it.
    pub author: OperatorName,
    /// When it was committed.
    pub at: Timestamp,
    /// What it did to which object.
    pub objects: Vec<ChangedObject>,
}

/// What a change did to one object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangedObject {
    /// The object.
    pub object: ObjectKey,
    /// What the change did to it.
    pub action: Action,
}

/// A page of the history, newest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryPage {
    /// The changes.
    pub entries: Vec<HistoryEntry>,
    /// Where the next page starts: pass it as `before`; none on the last page.
    pub next: Option<Revision>,
}

/// A page of the audit trail, newest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditPage {
    /// The records.
    pub records: Vec<ChangeRecord>,
    /// Where the next page starts: pass it as `before`; none on the last page.
    pub next: Option<Revision>,
}

/// Which audit records to read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AuditQuery {
    /// Only records of lower revisions.
    pub before: Option<Revision>,
    /// Most records; 200 at most.
    pub limit: usize,
    /// Only changes by this operator.
    pub author: Option<OperatorName>,
    /// Only changes of this object.
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
    /// Reads a page of the history: the newest changes, or those before a revision.
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
    /// A filtered page may hold fewer records than asked for and still have a next one.
    pub async fn audit(&self, query: &AuditQuery) -> Result<AuditPage, ConfigError> {
        let loaded = self.read().await?;
        let newest = match query.before {
            Some(before) => Revision(before.0.saturating_sub(1)).min(loaded.head.revision),
            None => loaded.head.revision,
        };
        let limit = query.limit.clamp(1, MAX_PAGE_RECORDS);
        let mut page = AuditPage { records: Vec::new(), next: None };
        let mut backwards = Backwards::from(&self.calls, &loaded.head, newest).await?;
        for _ in 0..MAX_SCANNED {
            let Some(record) = backwards.next().await? else {
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

    /// Returns what differs between two revisions, `from` being the earlier one.
    ///
    /// Each object appears once, as it was at `from` and at `to`.
    pub async fn diff(
        &self,
        from: Revision,
        to: Revision,
    ) -> Result<Vec<ObjectChange>, ConfigError> {
        let loaded = self.read().await?;
        let mut backwards = Backwards::from(&self.calls, &loaded.head, to).await?;
        let mut changes = BTreeMap::<ObjectKey, ObjectChange>::new();
        while let Some(record) = backwards.next().await? {
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

    /// Returns the changes after `expected`, newest first, as far as one page goes.
    pub(super) async fn changes_since(
        &self,
        head: &Head,
        expected: Revision,
    ) -> Result<Vec<ChangeRecord>, ConfigError> {
        let mut backwards = Backwards::from(&self.calls, head, head.revision).await?;
        let mut changes = Vec::new();
        while let Some(record) = backwards.next().await? {
            if record.revision <= expected || changes.len() == MAX_PAGE_RECORDS {
                break;
            }
            changes.push(record);
        }
        Ok(changes)
    }
}
