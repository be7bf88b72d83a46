//! Applies changes by a compare-and-swap of the head.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use lycheelatch_prelude::Revision;
use lycheelatch_provider::{CasOutcome, Entry, KvError, KvKey};
use tokio::time::Instant;

use super::{
    ConfigStore, Loaded,
    head::{self, Head, Retired, State, encode},
    history,
    kv_client::Backoff,
    parts::{self, MAX_CONFIG_BYTES, Parts, part_key},
};
use crate::{
    Applied, ApplyEffect, ApplyError, Change, ChangeRecord, ConfigError, Conflict, ObjectChange,
    ObjectKey, Snapshot, Timestamp, change,
};

/// Timeout of a change, excluding the time to write its values.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that each written value adds to the timeout of a change.
const VALUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of attempts to apply a change when concurrent changes are committed first.
const MAX_ATTEMPTS: usize = 16;

/// Time after which a value that the head no longer refers to is deleted, in milliseconds.
const RETIRED_RETENTION_MS: u64 = 60_000;

/// Number of retired values that a change deletes in addition to as many as it retires.
const EXTRA_DELETIONS: usize = 2;

/// Number of later changes up to which the absence of a change's id from the head proves that
/// the change was not committed.
const MAX_LATER_CHANGES: u64 = 200;

/// A change that is ready to be written: values under new keys first, then the head.
struct Prepared {
    head: Head,
    parts: Parts,
    snapshot: Snapshot,
    changes: Vec<ObjectChange>,
    values: Vec<(KvKey, Bytes)>,
}

/// Outcome of the swap of the head.
enum SwapOutcome {
    /// This call committed the change.
    Committed,
    /// Another call committed the same change, at this revision.
    AlreadyCommitted(Arc<Loaded>, Revision),
    /// Another change was committed first; this attempt can no longer take effect.
    LostRace,
}

impl ConfigStore {
    /// Applies a change atomically.
    ///
    /// Retries if concurrent changes are committed first. A change with the id of a recently
    /// committed one is not applied again. Fails with [`ApplyError::OutcomeUnknown`] if the commit
    /// can be neither confirmed nor ruled out in time.
    pub async fn apply(&self, change: Change) -> Result<Applied, ApplyError> {
        let deadline = Instant::now() + APPLY_TIMEOUT;
        for _ in 0..MAX_ATTEMPTS {
            if let Some(applied) = self.try_apply(&change, deadline).await? {
                return Ok(applied);
            }
        }
        Err(ApplyError::Contended)
    }

    /// Validates a change and computes its effect without applying it.
    pub async fn dry_run(&self, change: &Change) -> Result<change::Plan, ApplyError> {
        let base = self.read().await.map_err(ApplyError::NotApplied)?;
        self.check_expected(&base, change).await?;
        let plan = change::plan(&base.snapshot, &change.edits).map_err(ApplyError::Invalid)?;
        let changed = keys_of(&plan.changes);
        base.parts.encode_state(&base.head.state, &plan.snapshot, &changed).map_err(too_large)?;
        Ok(plan)
    }

    /// Makes one attempt; returns `None` if another change was committed first.
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
        let prepared = self.prepare_change(&base, change, plan).await?;
        let listed_parts = self.list_parts_if_sweep_due(prepared.head.revision).await;
        let deadline = deadline + VALUE_TIMEOUT * prepared.values.len() as u32;
        if let Err(err) = self.write_values(&prepared, deadline).await {
            self.discard(&prepared).await;
            return Err(ApplyError::NotApplied(err.into()));
        }
        let swap = self.swap_head(&base, change, &prepared.head, deadline).await;
        self.finish_attempt(prepared, swap, listed_parts).await
    }

    /// Completes an attempt after the swap of the head, deleting values that are no longer needed.
    async fn finish_attempt(
        &self,
        prepared: Prepared,
        swap: Result<SwapOutcome, ApplyError>,
        listed_parts: Vec<Entry>,
    ) -> Result<Option<Applied>, ApplyError> {
        match swap {
            Ok(SwapOutcome::Committed) => {
                self.sweep(&prepared.head, listed_parts).await;
                Ok(Some(self.committed(prepared)))
            }
            // The committed head may refer to this call's values, so only a sweep may delete them.
            Ok(SwapOutcome::AlreadyCommitted(loaded, revision)) => {
                Ok(Some(already_applied(&loaded, revision)))
            }
            Ok(SwapOutcome::LostRace) => {
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

    async fn prepare_change(
        &self,
        base: &Loaded,
        change: &Change,
        plan: change::Plan,
    ) -> Result<Prepared, ApplyError> {
        let changed = keys_of(&plan.changes);
        let new = base
            .parts
            .encode_state(&base.head.state, &plan.snapshot, &changed)
            .map_err(too_large)?;
        let at = self.clock.now().max(base.head.at);
        let record = ChangeRecord {
            revision: plan.snapshot.revision,
            id: change.id,
            author: change.author.clone(),
            at,
            changes: plan.changes.clone(),
        };
        let mut head = base.head.clone();
        let pages = history::append(&self.kv, &mut head, record).await;
        let pages = pages.map_err(ApplyError::NotApplied)?;
        let mut retired: Vec<String> = replaced_parts(&base.head.state, &new.state);
        retired.extend(pages.replaced.map(|key| key.to_string()));
        self.delete_retired(&mut head, at, retired.len() + EXTRA_DELETIONS).await;
        head.retired.extend(retired.into_iter().map(|key| Retired { key, at }));
        head.state = new.state;
        head.advance(change.id, at);
        let parts = new.new_parts.into_iter().map(|(id, value)| (part_key(id), value));
        Ok(Prepared {
            head,
            parts: new.parts,
            snapshot: plan.snapshot,
            changes: plan.changes,
            values: parts.chain(pages.pending).collect(),
        })
    }

    /// Deletes up to `limit` retired values that are due and removes them from the head.
    async fn delete_retired(&self, head: &mut Head, now: Timestamp, limit: usize) {
        for _ in 0..limit {
            let is_due = |retired: &Retired| retired.at.0 + RETIRED_RETENTION_MS <= now.0;
            let Some(retired) = head.retired.front().filter(|retired| is_due(retired)) else {
                return;
            };
            if self.kv.delete_if_exists(&KvKey::new(&retired.key)).await.is_err() {
                return;
            }
            head.retired.pop_front();
        }
    }

    async fn write_values(&self, prepared: &Prepared, deadline: Instant) -> Result<(), KvError> {
        for (key, value) in &prepared.values {
            self.kv.create(key, value.clone(), self.backoff_until(deadline)).await?;
        }
        Ok(())
    }

    /// Deletes the values of a change that did not take effect; stops at the first error.
    ///
    /// A sweep deletes the parts that remain.
    async fn discard(&self, prepared: &Prepared) {
        for (key, _) in &prepared.values {
            if self.kv.delete_if_exists(key).await.is_err() {
                return;
            }
        }
    }

    /// Swaps the head and determines whether the swap took effect.
    async fn swap_head(
        &self,
        base: &Loaded,
        change: &Change,
        head: &Head,
        deadline: Instant,
    ) -> Result<SwapOutcome, ApplyError> {
        let key = head::head_key();
        let value = encode(head);
        let mut backoff = self.backoff_until(deadline);
        let mut may_have_written = false;
        loop {
            let swap = self.kv.compare_and_swap(&key, base.version, value.clone());
            let err = match swap.await {
                Ok(CasOutcome::Written) => return Ok(SwapOutcome::Committed),
                Ok(CasOutcome::Conflict) => {
                    return self.resolve_conflict(base, change, may_have_written, deadline).await;
                }
                Err(err) => err,
            };
            may_have_written |= err.may_have_written();
            let is_final = matches!(err, KvError::TooLarge { .. });
            // Retrying the same swap is safe: at most one attempt can match the old version.
            if is_final || !backoff.wait().await {
                return Err(commit_error(change, may_have_written, err.into()));
            }
        }
    }

    /// Reads the latest head to determine whether an earlier swap of this change took effect.
    async fn resolve_conflict(
        &self,
        base: &Loaded,
        change: &Change,
        may_have_written: bool,
        deadline: Instant,
    ) -> Result<SwapOutcome, ApplyError> {
        let latest = self.read_until(deadline).await;
        let latest = latest.map_err(|err| commit_error(change, may_have_written, err))?;
        match latest.head.revision_of(change.id) {
            Some(_) if may_have_written => Ok(SwapOutcome::Committed),
            Some(revision) => Ok(SwapOutcome::AlreadyCommitted(latest, revision)),
            None if latest.head.revision.0 > base.head.revision.0 + MAX_LATER_CHANGES => {
                let reason =
                    "too many later changes were committed to tell whether it took effect".into();
                let err = KvError::ResponseLost { reason };
                Err(commit_error(change, may_have_written, err.into()))
            }
            None => Ok(SwapOutcome::LostRace),
        }
    }

    async fn read_until(&self, deadline: Instant) -> Result<Arc<Loaded>, ConfigError> {
        let mut backoff = self.backoff_until(deadline);
        loop {
            match self.read().await {
                Err(ConfigError::Kv(err)) if backoff.wait().await => {
                    log::debug!("config: retrying the read after an error: {err}");
                }
                loaded => return loaded,
            }
        }
    }

    fn backoff_until(&self, deadline: Instant) -> Backoff {
        Backoff::until(deadline, self.clock.now().0)
    }

    fn committed(&self, prepared: Prepared) -> Applied {
        let Prepared { head, parts, snapshot, changes, .. } = prepared;
        let (revision, snapshot) = (head.revision, Arc::new(snapshot));
        // The version of the new head is unknown, so only the cached parts can be reused.
        self.update_cache(&Arc::new(Loaded {
            head,
            version: None,
            parts,
            snapshot: snapshot.clone(),
        }));
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

fn commit_error(change: &Change, may_have_written: bool, err: ConfigError) -> ApplyError {
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
