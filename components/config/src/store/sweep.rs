//! Deletes orphaned parts: those written by a node that crashed before it committed the change.

use lycheelatch_prelude::Revision;
use lycheelatch_provider::{Entry, KvError, KvKey};

use super::{
    ConfigStore,
    head::{Head, State},
    parts::{PART_PREFIX, part_id},
};

/// Number of revisions between sweeps.
const SWEEP_INTERVAL: u64 = 1_024;

impl ConfigStore {
    /// Lists all parts if a sweep is due at `revision`; otherwise returns an empty list.
    ///
    /// Must be called before the head is swapped. A concurrent change that wrote one of the
    /// listed parts is based on the head that the swap replaces, so its own swap fails, and the
    /// part can be deleted safely.
    pub(super) async fn list_parts_if_sweep_due(&self, revision: Revision) -> Vec<Entry> {
        if !revision.0.is_multiple_of(SWEEP_INTERVAL) {
            return Vec::new();
        }
        self.kv.list(&KvKey::new(PART_PREFIX)).await.unwrap_or_else(|err| {
            log::warn!("config: skipped the sweep of orphaned parts: {err}");
            Vec::new()
        })
    }

    /// Deletes those of the `listed` parts that the new head does not refer to.
    pub(super) async fn sweep(&self, head: &Head, listed: Vec<Entry>) {
        let orphans: Vec<Entry> = listed.into_iter().filter(|e| !is_referenced(head, e)).collect();
        if orphans.is_empty() {
            return;
        }
        match self.delete_all(&orphans).await {
            Ok(()) => log::info!("config: deleted {} orphaned parts", orphans.len()),
            Err(err) => log::warn!(
                "config: failed to delete orphaned parts, retrying at the next sweep: {err}"
            ),
        }
    }

    async fn delete_all(&self, orphans: &[Entry]) -> Result<(), KvError> {
        for orphan in orphans {
            self.kv.delete(&orphan.key, orphan.version).await?;
        }
        Ok(())
    }
}

fn is_referenced(head: &Head, part: &Entry) -> bool {
    let key = part.key.as_str();
    let is_in_use = match (&head.state, part_id(&part.key)) {
        (State::Parts(ids), Some(id)) => ids.contains(&id),
        _ => false,
    };
    is_in_use || head.retired.iter().any(|retired| retired.key == key)
}
