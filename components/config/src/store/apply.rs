//! Applies changes by compare-and-swap on the head.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use lycheelatch_prelude::Revision;
use lycheelatch_provider::{CasOutcome, Entry, KvError, KvKey};
use tokio::time::Instant;

use super::{
    ConfigStore, Loaded,
    calls::Retry,
    head::{self, Head, Retired, State, encode},
    history,
    parts::{self, MAX_CONFIG_BYTES, Parts, part_key},
};
use crate::{
    Applied, ApplyEffect, ApplyError, Change, ChangeRecord, ConfigError, Conflict, ObjectChange,
    ObjectKey, Snapshot, Timestamp, change,
};

/// Time limit of a change, but for writing its values.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time by which each value that a change writes extends its time limit.
const VALUE_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a change without an expected revision starts again when another comes first.
const MAX_RACES: usize = 16;

/// Time for which a value stays after the head stops referring to it, in milliseconds.
const RETIRED_FOR_MS: u64 = 60_000;

/// How many retired values a change removes beyond as many as it retires.
const EXTRA_REMOVALS: usize = 2;

/// How many changes the head's memory of ids is trusted to cover.
const TRUSTED_RECENT: u64 = 200;

/// What a change writes: values under new names first, then the head.
struct Prepared {
    head: Head,
    parts: Parts,
    snapshot: Snapshot,
    changes: Vec<ObjectChange>,
    values: Vec<(KvKey, Bytes)>,
}

/// What became of the swap of the head.
enum Swap {
    /// The change holds.
    Committed,
    /// Another call has committed the same change.
    CommittedBefore(Arc<Loaded>, Revision),
    /// Another change came first, and this one can no longer take effect.
    Raced,
}

impl ConfigStore {
    /// Applies a change whole, or says why it did not.
    pub async fn apply(&self, change: Change) -> Result<Applied, ApplyError> {
        let deadline = Instant::now() + APPLY_TIMEOUT;
        for _ in 0..MAX_RACES {
            if let Some(applied) = self.try_apply(&change, deadline).await? {
                return Ok(applied);
            }
        }
        Err(ApplyError::Contended)
    }

    /// Works out what a change would do, without applying it.
    pub async fn dry_run(&self, change: &Change) -> Result<change::Plan, ApplyError> {
        let base = self.read().await.map_err(ApplyError::NotApplied)?;
        self.check_expected(&base, change).await?;
        let plan = change::plan(&base.snapshot, &change.edits).map_err(ApplyError::Invalid)?;
        let changed = keys_of(&plan.changes);
        base.parts.store(&base.head.state, &plan.snapshot, &changed).map_err(too_large)?;
        Ok(plan)
    }

    /// Tries once; `None` if another change came first.
    async fn try_apply(
        &self,
        change: &Change,
        deadline: Instant,
    ) -> Result<Option<Applied>, ApplyError> {
        let base = self.read_until(deadline).await.map_err(ApplyError::NotApplied)?;
        if let Some(revision) = base.head.revision_of(change.id) {
            return Ok(Some(already_applied(&base, revision)));
        }
        self.check_expected(&base, change).await?;
        let plan = change::plan(&base.snapshot, &change.edits).map_err(ApplyError::Invalid)?;
        if plan.changes.is_empty() {
            let effect = ApplyEffect::Unchanged;
            return Ok(Some(Applied { effect, ..already_applied(&base, base.head.revision) }));
        }
        let prepared = self.prepare(&base, change, plan).await?;
        let swept = self.list_to_sweep(prepared.head.revision).await;
        let deadline = deadline + VALUE_TIMEOUT * prepared.values.len() as u32;
        if let Err(err) = self.write_values(&prepared, deadline).await {
            self.discard(&prepared).await;
            return Err(ApplyError::NotApplied(err.into()));
        }
        let swap = self.swap_head(&base, change, &prepared.head, deadline).await;
        self.settle(prepared, swap, swept).await
    }

    async fn settle(
        &self,
        prepared: Prepared,
        swap: Result<Swap, ApplyError>,
        swept: Vec<Entry>,
    ) -> Result<Option<Applied>, ApplyError> {
        match swap {
            Ok(Swap::Committed) => {
                self.sweep(&prepared.head, swept).await;
                Ok(Some(self.committed(prepared)))
            }
            // Its values may be those that hold: only a sweep may remove them.
            Ok(Swap::CommittedBefore(loaded, revision)) => {
                Ok(Some(already_applied(&loaded, revision)))
            }
            Ok(Swap::Raced) => {
                self.discard(&prepared).await;
                Ok(None)
            }
            Err(err @ ApplyError::NotApplied(_)) => {
                self.discard(&prepared).await;
                Err(err)
            }
            Err(err) => Err(err),
        }
    }

    async fn check_expected(&self, base: &Loaded, change: &Change) -> Result<(), ApplyError> {
        let latest = base.head.revision;
        let Some(expected) = change.expected.filter(|expected| *expected != latest) else {
            return Ok(());
        };
        let intervening = self.changes_since(&base.head, expected).await.unwrap_or_default();
        Err(ApplyError::Conflict(Conflict { expected, latest, intervening }))
    }

    async fn prepare(
        &self,
        base: &Loaded,
        change: &Change,
        plan: change::Plan,
    ) -> Result<Prepared, ApplyError> {
        let changed = keys_of(&plan.changes);
        let new =
            base.parts.store(&base.head.state, &plan.snapshot, &changed).map_err(too_large)?;
        let at = self.clock.now().max(base.head.at);
        let record = ChangeRecord {
            revision: plan.snapshot.revision,
            id: change.id,
            author: change.author.clone(),
            at,
            changes: plan.changes.clone(),
        };
        let mut head = base.head.clone();
        let pages = history::append(&self.calls, &mut head, record).await;
        let pages = pages.map_err(ApplyError::NotApplied)?;
        let mut retired: Vec<String> = replaced_parts(&base.head.state, &new.state);
        retired.extend(pages.retired.map(|key| key.to_string()));
        self.remove_retired(&mut head, at, retired.len() + EXTRA_REMOVALS).await;
        head.retired.extend(retired.into_iter().map(|key| Retired { key, at }));
        head.state = new.state;
        head.advance(change.id, at);
        let parts = new.new_parts.into_iter().map(|(id, value)| (part_key(id), value));
        Ok(Prepared {
            head,
            parts: new.parts,
            snapshot: plan.snapshot,
            changes: plan.changes,
            values: parts.chain(pages.written).collect(),
        })
    }

    /// Removes retired values that are due, `limit` at most, and forgets those that are gone.
    async fn remove_retired(&self, head: &mut Head, now: Timestamp, limit: usize) {
        for _ in 0..limit {
            let is_due = |retired: &Retired| retired.at.0 + RETIRED_FOR_MS <= now.0;
            let Some(retired) = head.retired.front().filter(|retired| is_due(retired)) else {
                return;
            };
            if self.calls.remove(&KvKey::new(&retired.key)).await.is_err() {
                return;
            }
            head.retired.pop_front();
        }
    }

    async fn write_values(&self, prepared: &Prepared, deadline: Instant) -> Result<(), KvError> {
        for (key, value) in &prepared.values {
            self.calls.create(key, value.clone(), self.retry_until(deadline)).await?;
        }
        Ok(())
    }

    /// Removes the values of a change that did not take effect, as far as the service lets it.
    async fn discard(&self, prepared: &Prepared) {
        for (key, _) in &prepared.values {
            if self.calls.remove(key).await.is_err() {
                return;
            }
        }
    }

    /// Swaps the head and finds out for certain whether that took effect.
    async fn swap_head(
        &self,
        base: &Loaded,
        change: &Change,
        head: &Head,
        deadline: Instant,
    ) -> Result<Swap, ApplyError> {
        let key = head::head_key();
        let value = encode(head);
        let mut retry = self.retry_until(deadline);
        let mut may_have_written = false;
        loop {
            let swap = self.calls.compare_and_swap(&key, base.version, value.clone());
            let err = match swap.await {
                Ok(CasOutcome::Written) => return Ok(Swap::Committed),
                Ok(CasOutcome::Conflict) => {
                    return self.read_back(base, change, may_have_written, deadline).await;
                }
                Err(err) => err,
            };
            may_have_written |= err.may_have_written();
            let is_final = matches!(err, KvError::TooLarge { .. });
            // Repeating the same swap is safe: only one of them can find the old version.
            if is_final || !retry.pause().await {
                return Err(uncertain(change, may_have_written, err.into()));
            }
        }
    }

    /// Learns from the latest head whether an earlier swap of this change took effect.
    async fn read_back(
        &self,
        base: &Loaded,
        change: &Change,
        may_have_written: bool,
        deadline: Instant,
    ) -> Result<Swap, ApplyError> {
        let latest = self.read_until(deadline).await;
        let latest = latest.map_err(|err| uncertain(change, may_have_written, err))?;
        match latest.head.revision_of(change.id) {
            Some(_) if may_have_written => Ok(Swap::Committed),
            Some(revision) => Ok(Swap::CommittedBefore(latest, revision)),
            None if latest.head.revision.0 > base.head.revision.0 + TRUSTED_RECENT => {
                let reason = "too many changes came after it".into();
                let err = KvError::ResponseLost { reason };
                Err(uncertain(change, may_have_written, err.into()))
            }
            None => Ok(Swap::Raced),
        }
    }

    async fn read_until(&self, deadline: Instant) -> Result<Arc<Loaded>, ConfigError> {
        let mut retry = self.retry_until(deadline);
        loop {
            match self.read().await {
                Err(ConfigError::Kv(err)) if retry.pause().await => {
                    log::debug!("config: read again after: {err}");
                }
                loaded => return loaded,
            }
        }
    }

    fn retry_until(&self, deadline: Instant) -> Retry {
        Retry::until(deadline, self.clock.now().0)
    }

    fn committed(&self, prepared: Prepared) -> Applied {
        let Prepared { head, parts, snapshot, changes, .. } = prepared;
        let (revision, snapshot) = (head.revision, Arc::new(snapshot));
        // Without its version, the copy serves only for its parts.
        self.keep(&Arc::new(Loaded { head, version: None, parts, snapshot: snapshot.clone() }));
        Applied { effect: ApplyEffect::Committed, changes, revision, snapshot }
    }
}

fn already_applied(base: &Loaded, revision: Revision) -> Applied {
    Applied {
        effect: ApplyEffect::AlreadyApplied,
        changes: Vec::new(),
        revision,
        snapshot: base.snapshot.clone(),
    }
}

fn uncertain(change: &Change, may_have_written: bool, err: ConfigError) -> ApplyError {
    if may_have_written {
        ApplyError::OutcomeUnknown(change.id, err)
    } else {
        ApplyError::NotApplied(err)
    }
}

fn too_large(bytes: usize) -> ApplyError {
    ApplyError::TooLarge { bytes, limit: MAX_CONFIG_BYTES }
}

fn keys_of(changes: &[ObjectChange]) -> BTreeSet<ObjectKey> {
    changes.iter().map(|change| change.object.clone()).collect()
}

fn replaced_parts(before: &State, after: &State) -> Vec<String> {
    let State::Parts(old) = before else { return Vec::new() };
    let new = match after {
        State::Parts(new) => &new[..],
        State::Inline(_) => &[],
    };
    let replaced = old.iter().filter(|id| !new.contains(id));
    replaced.map(|id| parts::part_key(*id).to_string()).collect()
}
