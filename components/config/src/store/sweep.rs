//! Removes parts that changes left behind when their nodes died before the commit.

use lycheelatch_prelude::Revision;
use lycheelatch_provider::{Entry, KvError, KvKey};

use super::{
    ConfigStore,
    head::{Head, State},
    parts::{PART_PREFIX, part_id},
};

/// Revisions from one sweep to the next.
const SWEEP_INTERVAL: u64 = 1_024;

impl ConfigStore {
    /// Lists all parts, if the change to `revision` is to sweep.
    ///
    /// Must be called before the swap of the head: a change that wrote one of these parts
    /// has read a head that the swap replaces, so that its own swap fails from then on.
    pub(super) async fn list_to_sweep(&self, revision: Revision) -> Vec<Entry> {
        if !revision.0.is_multiple_of(SWEEP_INTERVAL) {
            return Vec::new();
        }
        self.calls.list(&KvKey::new(PART_PREFIX)).await.unwrap_or_else(|err| {
            log::warn!("config: the sweep is left to the next one: {err}");
            Vec::new()
        })
    }

    /// Removes the `listed` parts that the new head does not name.
    pub(super) async fn sweep(&self, head: &Head, listed: Vec<Entry>) {
        let orphans: Vec<Entry> = listed.into_iter().filter(|e| !is_named(head, e)).collect();
        if orphans.is_empty() {
            return;
        }
        match self.remove_all(&orphans).await {
            Ok(()) => log::info!("config: swept {} parts that nothing names", orphans.len()),
            Err(err) => log::warn!("config: the sweep is left to the next one: {err}"),
        }
    }

    async fn remove_all(&self, orphans: &[Entry]) -> Result<(), KvError> {
        for orphan in orphans {
            self.calls.delete(&orphan.key, orphan.version).await?;
        }
        Ok(())
    }
}

fn is_named(head: &Head, part: &Entry) -> bool {
    let key = part.key.as_str();
    let is_in_use = match (&head.state, part_id(&part.key)) {
        (State::Parts(ids), Some(id)) => ids.contains(&id),
        _ => false,
    };
    is_in_use || head.retired.iter().any(|retired| retired.key == key)
}
