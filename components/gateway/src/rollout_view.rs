//! Applies the store's entries of roll-outs.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use lycheelatch_prelude::{InvalidValue, ServiceName};
use tokio::time::Instant;

use crate::{
    KeyValue, StoreRevision,
    sync::{CachedEntry, StoreView},
    tombstones::Tombstone,
};

/// Service that an entry of a roll-out is about.
enum EntryKey {
    Order(ServiceName),
    Status(ServiceName),
}

impl StoreView {
    /// Returns whether roll-outs are acted upon.
    pub(crate) fn has_rollouts(&self) -> bool {
        self.gateway.settings.rollout.is_some()
    }

    /// Returns whether a key is that of a roll-out's order or status.
    pub(crate) fn is_rollout_key(&self, key: &str) -> bool {
        let layout = &self.layout;
        self.has_rollouts()
            && (key.starts_with(layout.rollout_prefix())
                || key.starts_with(layout.rollout_status_prefix()))
    }

    /// Applies an order or a status, unless the cached entry or tombstone is at least as new.
    ///
    /// An order that can't be read counts as withdrawn.
    pub(crate) fn apply_rollout(&self, key: &Arc<str>, value: Bytes, revision: StoreRevision) {
        let is_up_to_date =
            self.rollouts.borrow().get(key).is_some_and(|cached| cached.revision >= revision);
        if !self.is_rollout_key(key) || is_up_to_date || self.is_deleted(key, revision) {
            return;
        }
        self.cancel_removal(key);
        if let Err(err) = self.read_rollout(key, &value, revision) {
            self.log_rejected(key, &err);
            if let Ok(EntryKey::Order(service)) = self.rollout_key(key) {
                self.gateway.rollouts.borrow_mut().withdraw_order(&service, revision);
            }
        } else {
            self.forget_rejected(key);
        }
        let changed = self.next_change();
        let cached = CachedEntry { value, revision, created: revision, changed };
        self.rollouts.borrow_mut().insert(key.clone(), cached);
        self.announce_change(changed);
    }

    fn read_rollout(
        &self,
        key: &str,
        value: &[u8],
        revision: StoreRevision,
    ) -> Result<(), InvalidValue> {
        let rollouts = &self.gateway.rollouts;
        match self.rollout_key(key)? {
            EntryKey::Order(service) => {
                let order = self.layout.parse_rollout(&service, value)?;
                let now = Instant::now();
                // The order may have been written right after the last read.
                let ordered_at = now.checked_sub(self.max_read_delay()).unwrap_or(now);
                rollouts.borrow_mut().apply_order(order, revision, ordered_at);
                self.learn_order_age(&service);
            }
            EntryKey::Status(service) => {
                let status = self.layout.parse_rollout_status(value)?;
                rollouts.borrow_mut().apply_status(&service, status, revision);
                self.learn_order_age(&service);
            }
        }
        Ok(())
    }

    /// Takes the age of an order from its status, which outlives the processes that saw the order.
    fn learn_order_age(&self, service: &ServiceName) {
        let mut rollouts = self.gateway.rollouts.borrow_mut();
        let Some(ordered_at_ms) = rollouts.ordered_at_ms(service) else { return };
        let clock = self.gateway.clock.now();
        let age = clock.checked_sub(Duration::from_millis(ordered_at_ms));
        if let Some(age) = age {
            rollouts.hear_status_age(service, age, Instant::now());
        }
    }

    fn rollout_key(&self, key: &str) -> Result<EntryKey, InvalidValue> {
        let service = |name: &str| -> Result<ServiceName, InvalidValue> {
            name.parse().map_err(|err: InvalidValue| InvalidValue::new(key, name, err.reason))
        };
        if let Some(name) = key.strip_prefix(self.layout.rollout_prefix()) {
            return service(name).map(EntryKey::Order);
        }
        let name = key.strip_prefix(self.layout.rollout_status_prefix()).unwrap_or(key);
        service(name).map(EntryKey::Status)
    }

    /// Removes an order or a status deleted by `revision`, unless the cached entry is as new.
    pub(crate) fn remove_rollout(&self, key: &Arc<str>, revision: StoreRevision) {
        let is_up_to_date =
            self.rollouts.borrow().get(key).is_some_and(|cached| cached.revision >= revision);
        if !self.is_rollout_key(key) || is_up_to_date || self.is_deleted(key, revision) {
            return;
        }
        self.rollouts.borrow_mut().remove(key);
        self.forget_rejected(key);
        let changed = self.next_change();
        self.tombstones.borrow_mut().put(key.clone(), Tombstone { revision, changed });
        match self.rollout_key(key) {
            Ok(EntryKey::Order(service)) => {
                self.gateway.rollouts.borrow_mut().withdraw_order(&service, revision);
            }
            Ok(EntryKey::Status(service)) => {
                self.gateway.rollouts.borrow_mut().remove_status(&service, revision);
            }
            Err(err) => log::debug!("rollout: {err}"),
        }
        self.announce_change(changed);
    }

    /// Returns whether the key is cached, or the entry is newer than the revision read so far.
    ///
    /// Any other entry was deleted before that revision.
    pub(crate) fn is_current_rollout(&self, key: &str, revision: StoreRevision) -> bool {
        revision > self.revision.get() || self.rollouts.borrow().contains_key(key)
    }

    /// Applies a complete listing of the keys below `prefix`.
    pub(crate) fn apply_rollout_listing(
        &self,
        prefix: &str,
        items: Vec<KeyValue>,
        revision: StoreRevision,
    ) {
        let listed: BTreeSet<_> = items.iter().map(|item| item.key.clone()).collect();
        for item in items {
            self.apply_rollout(&item.key, item.value, item.revision);
        }
        let cached: Vec<_> = self.rollouts.borrow().keys().cloned().collect();
        let is_gone = |key: &&Arc<str>| key.starts_with(prefix) && !listed.contains(*key);
        for key in cached.iter().filter(is_gone) {
            self.handle_deletion(key, revision);
        }
    }
}
