//! Audit records: the latest ones are in the head, older ones in a linked list of pages.

use bytes::Bytes;
use lycheelatch_prelude::Revision;
use lycheelatch_provider::KvKey;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{
    head::{Head, PageRef, decode, encode},
    kv_client::KvClient,
};
use crate::{ChangeRecord, ConfigError, ObjectChange};

/// Key prefix of history pages.
const PAGE_PREFIX: &str = "config/history/";

/// Maximum total size of the records in the head, in bytes.
const MAX_TAIL_BYTES: usize = 8 * 1024;

/// Size from which a page is full, in bytes.
const PAGE_BYTES: usize = 128 * 1024;

/// Size beyond which a record is split into fragments, in bytes.
const MAX_FRAGMENT_BYTES: usize = 64 * 1024;

/// A stored history page.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Page {
    /// Records, oldest first; a large record is split into fragments with the same revision.
    records: Vec<ChangeRecord>,
    /// The preceding page.
    previous: Option<PageRef>,
    /// Jump pointer to an earlier page, so that a search takes logarithmic time.
    jump: Option<PageRef>,
}

/// Pages that a change adds, and the page that they replace.
#[derive(Debug, Default)]
pub(super) struct NewPages {
    /// Pages to write before the head.
    pub(super) pending: Vec<(KvKey, Bytes)>,
    /// Key of the page whose records were copied to a pending page.
    pub(super) replaced: Option<KvKey>,
}

/// A page that is being filled.
struct OpenPage {
    number: u64,
    page: Page,
    bytes: usize,
}

fn page_key(page: &PageRef) -> KvKey {
    KvKey::new(&format!("{PAGE_PREFIX}{:010}-{}", page.number, page.id))
}

/// Appends a record to the head; moves the head's records to pages if they exceed
/// [`MAX_TAIL_BYTES`].
pub(super) async fn append(
    kv: &KvClient,
    head: &mut Head,
    record: ChangeRecord,
) -> Result<NewPages, ConfigError> {
    head.tail.extend(split_record(record));
    if encode(&head.tail).len() <= MAX_TAIL_BYTES {
        return Ok(NewPages::default());
    }
    let mut pages = NewPages::default();
    let mut open = match &head.page {
        Some(last) if last.bytes < PAGE_BYTES => {
            pages.replaced = Some(page_key(last));
            let page = fetch(kv, last).await?;
            Some(OpenPage { number: last.number, page, bytes: last.bytes })
        }
        _ => None,
    };
    for record in std::mem::take(&mut head.tail) {
        let mut page = match open.take() {
            Some(page) => page,
            None => open_page(kv, head.page.as_ref(), &pages).await?,
        };
        page.bytes += encode(&record).len();
        page.page.records.push(record);
        if page.bytes >= PAGE_BYTES {
            finish_page(head, &mut pages, &page);
        } else {
            open = Some(page);
        }
    }
    if let Some(page) = open {
        finish_page(head, &mut pages, &page);
    }
    Ok(pages)
}

/// Splits a record into fragments that each fit into a page.
fn split_record(mut record: ChangeRecord) -> Vec<ChangeRecord> {
    let mut fragments = Vec::new();
    let mut bytes = 0;
    let mut changes: Vec<ObjectChange> = Vec::new();
    for change in std::mem::take(&mut record.changes) {
        let size = encode(&change).len();
        if !changes.is_empty() && bytes + size > MAX_FRAGMENT_BYTES {
            let changes = std::mem::take(&mut changes);
            fragments.push(ChangeRecord { changes, ..record.clone() });
            bytes = 0;
        }
        bytes += size;
        changes.push(change);
    }
    fragments.push(ChangeRecord { changes, ..record });
    fragments
}

/// Opens the page after `last`, with a jump pointer chosen as in a skew-binary list.
async fn open_page(
    kv: &KvClient,
    last: Option<&PageRef>,
    pages: &NewPages,
) -> Result<OpenPage, ConfigError> {
    let Some(last) = last else {
        let page = Page { records: Vec::new(), previous: None, jump: None };
        return Ok(OpenPage { number: 0, page, bytes: 0 });
    };
    let previous = fetch_or_pending(kv, last, pages).await?;
    let mut jump = Some(last.clone());
    if let Some(near) = &previous.jump {
        let far = fetch_or_pending(kv, near, pages).await?.jump;
        let far_number = far.as_ref().map_or(0, |far| far.number);
        if last.number - near.number == near.number - far_number {
            jump = far.or(Some(near.clone()));
        }
    }
    let page = Page { records: Vec::new(), previous: Some(last.clone()), jump };
    Ok(OpenPage { number: last.number + 1, page, bytes: 0 })
}

/// Adds a page to the pending pages and sets it as the head's latest page.
fn finish_page(head: &mut Head, pages: &mut NewPages, open: &OpenPage) {
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
    pages.pending.push((page_key(&page), value));
    head.page = Some(page);
}

/// Returns a page that may still be pending.
async fn fetch_or_pending(
    kv: &KvClient,
    page: &PageRef,
    pages: &NewPages,
) -> Result<Page, ConfigError> {
    let key = page_key(page);
    match pages.pending.iter().find(|(pending, _)| *pending == key) {
        Some((_, value)) => decode(&key, value),
        None => fetch(kv, page).await,
    }
}

async fn fetch(kv: &KvClient, page: &PageRef) -> Result<Page, ConfigError> {
    let key = page_key(page);
    match kv.get(&key).await? {
        Some(entry) => decode(&key, &entry.value),
        None => {
            Err(ConfigError::InvalidStoredValue { key, reason: "the key does not exist".into() })
        }
    }
}

/// Reads records from newest to oldest, starting at a given revision.
pub(super) struct ReverseReader<'a> {
    kv: &'a KvClient,
    /// Buffered records, in ascending order; the next one to return is the last.
    buffered: Vec<ChangeRecord>,
    /// Page to read when the buffer is empty.
    next_page: Option<PageRef>,
}

impl<'a> ReverseReader<'a> {
    /// Starts at the newest record with a revision of at most `newest`.
    pub(super) async fn from(
        kv: &'a KvClient,
        head: &Head,
        newest: Revision,
    ) -> Result<ReverseReader<'a>, ConfigError> {
        let buffered: Vec<_> =
            head.tail.iter().filter(|record| record.revision <= newest).cloned().collect();
        let mut next_page = head.page.clone();
        while let Some(page) = next_page.take_if(|page| page.first > newest) {
            let Page { previous, jump, .. } = fetch(kv, &page).await?;
            next_page = jump.filter(|jump| jump.last > newest).or(previous);
        }
        let mut reader = ReverseReader { kv, buffered, next_page };
        if reader.buffered.is_empty() {
            reader.read_page().await?;
            reader.buffered.retain(|record| record.revision <= newest);
        }
        Ok(reader)
    }

    /// Returns the next record, with its fragments joined.
    pub(super) async fn next(&mut self) -> Result<Option<ChangeRecord>, ConfigError> {
        let Some(mut record) = self.next_fragment().await? else { return Ok(None) };
        while let Some(mut fragment) = self.next_fragment().await? {
            if fragment.revision != record.revision {
                self.buffered.push(fragment);
                break;
            }
            fragment.changes.append(&mut record.changes);
            record = fragment;
        }
        Ok(Some(record))
    }

    async fn next_fragment(&mut self) -> Result<Option<ChangeRecord>, ConfigError> {
        if self.buffered.is_empty() {
            self.read_page().await?;
        }
        Ok(self.buffered.pop())
    }

    async fn read_page(&mut self) -> Result<(), ConfigError> {
        if let Some(page) = self.next_page.take() {
            let Page { records, previous, .. } = fetch(self.kv, &page).await?;
            self.buffered = records;
            self.next_page = previous;
        }
        Ok(())
    }
}
