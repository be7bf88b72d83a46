//! Reads the store into this node's view and watches it for changes.

use std::{rc::Rc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    Freshness, StoreError, StoreEvent, StoreRevision,
    entry_source::EntrySource,
    stream_record::{apply_stream_record, is_stream_record},
    sync::{StoreView, WATCH_WAIT},
};

/// Prefix of all keys.
const ALL_KEYS: &str = "";

/// Time between two checks whether another node's view is still followed.
const FOLLOW_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Initial and maximum backoff after a failed call.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

/// Time between two checks for pending removals.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(200);

/// Reads the store and watches it for changes until the task is dropped.
///
/// One watch covers all keys, since each call to the store is billed.
pub(crate) async fn watch_store(view: Rc<StoreView>) {
    let mut after = None;
    let mut backoff = BACKOFF.0;
    loop {
        wait_while_following(&view).await;
        if view.take_settled() {
            after = None;
        }
        let sent = Instant::now();
        match update(&view, after, sent).await {
            Ok(revision) => {
                after = Some(revision);
                backoff = BACKOFF.0;
                view.pause().await;
            }
            Err(StoreError::Compacted | StoreError::Restored) => after = None,
            Err(err) => {
                view.record_failure(&err, sent);
                let is_unreadable = matches!(err, StoreError::BadAnswer(_));
                backoff = sleep_with_jitter(backoff).await;
                // The history may lack changes of a long outage, or hold what can't be read.
                if is_unreadable || backoff == BACKOFF.1 {
                    after = None;
                }
            }
        }
    }
}

/// Waits while another node's view is followed.
async fn wait_while_following(view: &StoreView) {
    while view.is_following.get() {
        sleep(FOLLOW_POLL_INTERVAL).await;
    }
}

/// Applies the changes after a revision, or everything if it is `None`; returns the revision
/// up to which the store was read.
async fn update(
    view: &StoreView,
    after: Option<StoreRevision>,
    sent: Instant,
) -> Result<StoreRevision, StoreError> {
    let Some(after) = after else { return read_all(view, sent).await };
    let changes = view.store.watch(ALL_KEYS, after, WATCH_WAIT).await?;
    view.record_success(sent);
    for event in changes.events {
        apply_event(view, event);
    }
    view.advance_revision(changes.revision);
    Ok(changes.revision.max(after))
}

async fn read_all(view: &StoreView, sent: Instant) -> Result<StoreRevision, StoreError> {
    let operators = view.store.list(view.layout.operator_prefix(), Freshness::Linearizable).await?;
    view.note_era(operators.revision);
    let mut orders = Vec::new();
    for item in operators.items {
        if &*item.key == view.layout.config_key() {
            view.apply_config(item.value, item.revision, EntrySource::Store);
        } else if view.is_rollout_key(&item.key) {
            orders.push(item);
        }
    }
    view.apply_store_orders(orders, operators.revision);
    read_statuses(view).await?;
    let upstreams = view.store.list(view.layout.upstream_prefix(), Freshness::Linearizable).await?;
    view.record_success(sent);
    view.apply_store_listing(upstreams.items, upstreams.revision);
    Ok(operators.revision.min(upstreams.revision))
}

/// Reads the statuses of roll-outs, if these are acted upon.
async fn read_statuses(view: &StoreView) -> Result<(), StoreError> {
    if view.has_rollouts() {
        let prefix = view.layout.rollout_status_prefix();
        let statuses = view.store.list(prefix, Freshness::Linearizable).await?;
        view.apply_rollout_listing(prefix, statuses.items, statuses.revision);
    }
    Ok(())
}

fn apply_event(view: &StoreView, event: StoreEvent) {
    let is_upstream = |key: &str| key.starts_with(view.layout.upstream_prefix());
    match event {
        StoreEvent::Written(item) if &*item.key == view.layout.config_key() => {
            view.apply_config(item.value, item.revision, EntrySource::Store);
        }
        StoreEvent::Written(item) if is_upstream(&item.key) => {
            view.apply_upstream(item);
        }
        StoreEvent::Deleted { key, revision } if is_upstream(&key) => {
            view.handle_deletion(&key, revision);
        }
        StoreEvent::Written(item) if view.is_rollout_key(&item.key) => {
            view.apply_rollout(&item.key, item.value, item.revision);
        }
        StoreEvent::Deleted { key, revision } if view.is_rollout_key(&key) => {
            view.remove_rollout(&key, revision);
        }
        StoreEvent::Written(item) if is_stream_record(&item.key) => {
            apply_stream_record(&view.gateway, &item);
        }
        StoreEvent::Written(_) | StoreEvent::Deleted { .. } => {}
    }
}

/// Finishes pending removals after the grace period, until the task is dropped.
pub(crate) async fn run_pending_removals(view: Rc<StoreView>) {
    loop {
        sleep(REMOVAL_INTERVAL).await;
        view.finish_removals();
    }
}

async fn sleep_with_jitter(backoff: Duration) -> Duration {
    sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
    (backoff * 2).min(BACKOFF.1)
}
