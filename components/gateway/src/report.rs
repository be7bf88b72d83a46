//! Reports usage: each window once, with the counts of all nodes.
//!
//! The counts of a window are written to the store before they are sent, so
//! that the next holder repeats them exactly and never sends others.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use lycheelatch_prelude::WorkspaceName;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    Commit, CommitOutcome, Gateway, Leadership, PlatformApi, Store, StoreError, StoreRevision,
    decision::{Belief, note},
    layout::OWN_PREFIX,
    usage::{UsageWindow, WindowCounts},
};

/// Time after a window's end at which its counts of all nodes have come.
const COUNTS_COME: Duration = Duration::from_millis(1500);

/// Pause between two looks at the windows.
const INTERVAL: Duration = Duration::from_millis(500);

/// Times that a report is sent again without an answer.
const MAX_SENDS: u32 = 4;

/// The last report, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Recorded {
    window: UsageWindow,
    counts: BTreeMap<WorkspaceName, u64>,
}

/// The last report and its revision in the store.
#[derive(Debug, Clone, Default)]
struct Last {
    recorded: Option<Recorded>,
    revision: StoreRevision,
    is_sent: bool,
}

fn report_key() -> String {
    format!("{OWN_PREFIX}usage")
}

/// Reports usage while this node holds the duties, until the task is dropped.
pub(crate) async fn report_usage(
    gateway: Rc<Gateway>,
    store: Rc<dyn Store>,
    leader: Rc<Leadership>,
    calls: Rc<dyn PlatformApi>,
) {
    let mut last: Option<Last> = None;
    loop {
        sleep(INTERVAL).await;
        if leader.fence().is_none() {
            last = None;
            continue;
        }
        if let Err(err) = step(&gateway, &*store, &leader, &*calls, &mut last).await {
            log::info!("usage: {err}");
            // What the store holds now must be read before anything else is sent.
            last = None;
        }
    }
}

async fn step(
    gateway: &Gateway,
    store: &dyn Store,
    leader: &Leadership,
    calls: &dyn PlatformApi,
    last: &mut Option<Last>,
) -> Result<(), StoreError> {
    if last.is_none() {
        *last = Some(read_last(store).await?);
    }
    let Some(known) = last else { return Ok(()) };
    if !known.is_sent {
        if let Some(recorded) = &known.recorded {
            send(leader, calls, recorded).await;
        }
        known.is_sent = true;
    }
    let Some(window) = next_window(gateway, known) else { return Ok(()) };
    let counts = counts_of(gateway, window);
    if counts.is_empty() {
        known.recorded = Some(Recorded { window, counts: BTreeMap::new() });
        return Ok(());
    }
    let recorded = Recorded { window, counts };
    *known = record(store, known.revision, recorded).await?;
    Ok(())
}

/// Returns the oldest window that is complete, still due and not reported.
fn next_window(gateway: &Gateway, last: &Last) -> Option<UsageWindow> {
    let now = gateway.time.now();
    let usage = gateway.usage.borrow();
    let oldest = usage.window_at(now.saturating_sub(gateway.settings.usage_due));
    let after_last = last.recorded.as_ref().map_or(0, |recorded| recorded.window.0 + 1);
    let window = UsageWindow(oldest.0.max(after_last));
    (usage.end_of(window) + COUNTS_COME <= now).then_some(window)
}

fn counts_of(gateway: &Gateway, window: UsageWindow) -> WindowCounts {
    let mut counts = gateway.peers.borrow().usage(window);
    if let Some(own) = gateway.usage.borrow().windows().get(&window) {
        for (name, count) in own {
            *counts.entry(name.clone()).or_default() += count;
        }
    }
    gateway.peers.borrow_mut().forget_usage(window);
    counts
}

async fn read_last(store: &dyn Store) -> Result<Last, StoreError> {
    let Some(item) = store.get(&report_key()).await? else { return Ok(Last::default()) };
    let recorded = serde_json::from_slice(&item.value)
        .map_err(|err| StoreError::BadAnswer(err.to_string().into()))?;
    Ok(Last { recorded: Some(recorded), revision: item.revision, is_sent: false })
}

/// Writes the counts of a window before they are sent.
async fn record(
    store: &dyn Store,
    expected: StoreRevision,
    recorded: Recorded,
) -> Result<Last, StoreError> {
    let value = serde_json::to_vec(&recorded)
        .map_err(|err| StoreError::BadAnswer(err.to_string().into()))?;
    let commit = Commit { key: report_key().into(), expected, value: value.into(), lease: None };
    match store.commit(commit).await? {
        CommitOutcome::Applied(revision) => {
            Ok(Last { recorded: Some(recorded), revision, is_sent: false })
        }
        CommitOutcome::Conflict => read_last(store).await,
    }
}

async fn send(leader: &Leadership, calls: &dyn PlatformApi, recorded: &Recorded) {
    for _ in 0..MAX_SENDS {
        let Some(fence) = leader.fence() else { return };
        match calls.report_usage(fence, recorded.window, &recorded.counts).await {
            Ok(()) => {
                let total: u64 = recorded.counts.values().sum();
                note(&Belief::UsageReported { window: recorded.window.0, requests: total });
                return;
            }
            Err(err) => {
                note(&Belief::UsageDelayed { window: recorded.window.0, reason: &err.to_string() })
            }
        }
        sleep(INTERVAL).await;
    }
}
