//! The audit records: the latest in the head, the others in a chain of pages.

use bytes::Bytes;
use lycheelatch_prelude::Revision;
use lycheelatch_provider::KvKey;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{
    calls::Calls,
    head::{Head, PageRef, decode, encode},
};
use crate::{ChangeRecord, ConfigError, ObjectChange};

/// Prefix of the keys of pages.
const PAGE_PREFIX: &str = "config/history/";

/// Largest sum of the records that the head holds, in bytes.
const MAX_TAIL_BYTES: usize = 8 * 1024;

/// Size from which a page takes no more records, in bytes.
const PAGE_BYTES: usize = 128 * 1024;

/// Size from which a record is split, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// One value of the history.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Page {
    /// Records, oldest first; a large one spans several of the same revision.
    records: Vec<ChangeRecord>,
    /// The page before this one.
    previous: Option<PageRef>,
    /// A page further back, so that a search takes logarithmic time.
    jump: Option<PageRef>,
}

/// Pages that a change writes, and the one that they replace.
#[derive(Debug, Default)]
pub(super) struct NewPages {
    pub(super) written: Vec<(KvKey, Bytes)>,
    pub(super) retired: Option<KvKey>,
}

/// A page that takes records.
struct OpenPage {
    number: u64,
    page: Page,
    bytes: usize,
}

/// Returns the key of a page.
fn page_key(page: &PageRef) -> KvKey {
    KvKey::new(&format!("{PAGE_PREFIX}{:010}-{}", page.number, page.id))
}

/// Adds a record to the head; moves the head's records to pages when they grow large.
pub(super) async fn append(
    calls: &Calls,
    head: &mut Head,
    record: ChangeRecord,
) -> Result<NewPages, ConfigError> {
    head.tail.extend(split(record));
    if encode(&head.tail).len() <= MAX_TAIL_BYTES {
        return Ok(NewPages::default());
    }
    let mut pages = NewPages::default();
    let mut open = match &head.page {
        Some(last) if last.bytes < PAGE_BYTES => {
            pages.retired = Some(page_key(last));
            let page = fetch(calls, last).await?;
            Some(OpenPage { number: last.number, page, bytes: last.bytes })
        }
        _ => None,
    };
    for record in std::mem::take(&mut head.tail) {
        let mut page = match open.take() {
            Some(page) => page,
            None => open_page(calls, head.page.as_ref(), &pages).await?,
        };
        page.bytes += encode(&record).len();
        page.page.records.push(record);
        if page.bytes >= PAGE_BYTES {
            close(head, &mut pages, &page);
        } else {
            open = Some(page);
        }
    }
    if let Some(page) = open {
        close(head, &mut pages, &page);
    }
    Ok(pages)
}

/// Splits a record, so that each piece fits in a page.
fn split(mut record: ChangeRecord) -> Vec<ChangeRecord> {
    let mut pieces = Vec::new();
    let mut bytes = 0;
    let mut changes: Vec<ObjectChange> = Vec::new();
    for change in std::mem::take(&mut record.changes) {
        let size = encode(&change).len();
        if !changes.is_empty() && bytes + size > PIECE_BYTES {
            let changes = std::mem::take(&mut changes);
            pieces.push(ChangeRecord { changes, ..record.clone() });
            bytes = 0;
        }
        bytes += size;
        changes.push(change);
    }
    pieces.push(ChangeRecord { changes, ..record });
    pieces
}

/// Opens the page after `last` and chooses its jump as a skew-binary list does.
async fn open_page(
    calls: &Calls,
    last: Option<&PageRef>,
    pages: &NewPages,
) -> Result<OpenPage, ConfigError> {
    let Some(last) = last else {
        let page = Page { records: Vec::new(), previous: None, jump: None };
        return Ok(OpenPage { number: 0, page, bytes: 0 });
    };
    let previous = fetch_new(calls, last, pages).await?;
    let mut jump = Some(last.clone());
    if let Some(near) = &previous.jump {
        let far = fetch_new(calls, near, pages).await?.jump;
        let far_number = far.as_ref().map_or(0, |far| far.number);
        if last.number - near.number == near.number - far_number {
            jump = far.or(Some(near.clone()));
        }
    }
    let page = Page { records: Vec::new(), previous: Some(last.clone()), jump };
    Ok(OpenPage { number: last.number + 1, page, bytes: 0 })
}

/// Adds a page to those that are to be written, and lets the head refer to it.
fn close(head: &mut Head, pages: &mut NewPages, open: &OpenPage) {
    let OpenPage { number, page, .. } = open;
    let (Some(first), Some(last)) = (page.records.first(), page.records.last()) else { return };
    let value = encode(page);
    let page = PageRef {
        id: Uuid::now_v7(),
        number: *number,
        first: first.revision,
        last: last.revision,
        bytes: value.len(),
    };
    pages.written.push((page_key(&page), value));
    head.page = Some(page);
}

async fn fetch_new(calls: &Calls, page: &PageRef, pages: &NewPages) -> Result<Page, ConfigError> {
    let key = page_key(page);
    match pages.written.iter().find(|(written, _)| *written == key) {
        Some((_, value)) => decode(&key, value),
        None => fetch(calls, page).await,
    }
}

async fn fetch(calls: &Calls, page: &PageRef) -> Result<Page, ConfigError> {
    let key = page_key(page);
    match calls.get(&key).await? {
        Some(entry) => decode(&key, &entry.value),
        None => Err(ConfigError::InvalidStoredValue { key, reason: "is missing".into() }),
    }
}

/// Reads records backwards from the newest one of at most a given revision.
pub(super) struct Backwards<'a> {
    calls: &'a Calls,
    /// Records read ahead, the next one last.
    ahead: Vec<ChangeRecord>,
    /// Page that comes after them.
    next: Option<PageRef>,
}

impl<'a> Backwards<'a> {
    /// Starts at the newest record of at most revision `newest`.
    pub(super) async fn from(
        calls: &'a Calls,
        head: &Head,
        newest: Revision,
    ) -> Result<Backwards<'a>, ConfigError> {
        let ahead: Vec<_> =
            head.tail.iter().filter(|record| record.revision <= newest).cloned().collect();
        let mut next = head.page.clone();
        while let Some(page) = next.take_if(|page| page.first > newest) {
            let Page { previous, jump, .. } = fetch(calls, &page).await?;
            next = jump.filter(|jump| jump.last > newest).or(previous);
        }
        let mut backwards = Backwards { calls, ahead, next };
        if backwards.ahead.is_empty() {
            backwards.read_page().await?;
            backwards.ahead.retain(|record| record.revision <= newest);
        }
        Ok(backwards)
    }

    /// Returns the next record, whole.
    pub(super) async fn next(&mut self) -> Result<Option<ChangeRecord>, ConfigError> {
        let Some(mut record) = self.next_piece().await? else { return Ok(None) };
        while let Some(mut piece) = self.next_piece().await? {
            if piece.revision != record.revision {
                self.ahead.push(piece);
                break;
            }
            piece.changes.append(&mut record.changes);
            record = piece;
        }
        Ok(Some(record))
    }

    async fn next_piece(&mut self) -> Result<Option<ChangeRecord>, ConfigError> {
        if self.ahead.is_empty() {
            self.read_page().await?;
        }
        Ok(self.ahead.pop())
    }

    async fn read_page(&mut self) -> Result<(), ConfigError> {
        if let Some(page) = self.next.take() {
            let Page { records, previous, .. } = fetch(self.calls, &page).await?;
            self.ahead = records;
            self.next = previous;
        }
        Ok(())
    }
}
