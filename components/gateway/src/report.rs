//! Usage reports to the platform: one per window, with the counts of all nodes.
//!
//! The leader writes a report to the store before it sends it, so that a new
//! leader repeats exactly that report and never sends a different one. If the
//! store has come back from a copy since, the copy may lack the last report; then
//! windows that may have been reported before are left out.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use lycheelatch_prelude::WorkspaceName;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    Commit, CommitOutcome, Gateway, Leadership, PlatformApi, Store, StoreEra, StoreError,
    StoreRevision,
    event_log::log_event,
    layout::OWN_PREFIX,
    node_event::NodeEvent,
    platform_api::call_while_valid,
    schedule::LEADER_INTERVAL,
    usage::{UsageWindow, WindowCounts, add_count},
};

/// Minimum time after a window's end by which the counts of all nodes have arrived.
const MIN_COLLECTION_DELAY: Duration = Duration::from_millis(1500);

/// The same as a number of intervals between two complete messages of a node to the leader; the
/// longer time applies.
const COLLECTION_INTERVALS: u32 = 3;

/// Time between two checks for a window to report, and between two attempts.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of attempts to send a report.
const MAX_ATTEMPTS: u32 = 4;

/// A report, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct UsageReport {
    window: UsageWindow,
    counts: BTreeMap<WorkspaceName, u64>,
    /// Era of the store in which the report was written.
    #[serde(default)]
    era: u64,
}

/// The last report with its revision in the store and whether it was sent.
#[derive(Debug, Clone)]
struct LastReport {
    report: Option<UsageReport>,
    revision: StoreRevision,
    era: StoreEra,
    is_sent: bool,
    /// First window that no report can have been sent for that the store lost.
    first_unreported: UsageWindow,
}

fn last_report_key() -> String {
    format!("{OWN_PREFIX}usage")
}

/// Reports usage while this node is the leader, until the task is dropped.
pub(crate) async fn report_usage(
    gateway: Rc<Gateway>,
    store: Rc<dyn Store>,
    leader: Rc<Leadership>,
    calls: Rc<dyn PlatformApi>,
) {
    let mut last: Option<LastReport> = None;
    loop {
        sleep(POLL_INTERVAL).await;
        if leader.fence().is_none() {
            last = None;
            continue;
        }
        if let Err(err) = report_next_window(&gateway, &*store, &leader, &*calls, &mut last).await {
            log::info!("usage: failed to read or write the last report: {err}");
            // The stored report must be read again before any other is sent.
            last = None;
        }
    }
}

async fn report_next_window(
    gateway: &Gateway,
    store: &dyn Store,
    leader: &Rc<Leadership>,
    calls: &dyn PlatformApi,
    last: &mut Option<LastReport>,
) -> Result<(), StoreError> {
    if last.is_none() {
        *last = Some(read_last_report(gateway, store, leader).await?);
    }
    let Some(current) = last else { return Ok(()) };
    if !current.is_sent {
        if let Some(report) = &current.report {
            send_report(leader, calls, report).await;
        }
        current.is_sent = true;
    }
    let Some(window) = next_window(gateway, current) else { return Ok(()) };
    let counts = window_counts(gateway, window);
    let is_empty = counts.is_empty();
    let report = UsageReport { window, counts, era: current.era.0 };
    if is_empty {
        current.report = Some(report);
        return Ok(());
    }
    *current = write_report(gateway, store, leader, current, report).await?;
    Ok(())
}

/// Returns the oldest window that is complete, not yet reported and not past its due time.
fn next_window(gateway: &Gateway, last: &LastReport) -> Option<UsageWindow> {
    let now = gateway.clock.now();
    let usage = gateway.usage.borrow();
    let oldest = usage.window_at(now.saturating_sub(gateway.settings.usage_due));
    let after_last = last.report.as_ref().map_or(0, |report| report.window.0 + 1);
    let window = UsageWindow(oldest.0.max(after_last).max(last.first_unreported.0));
    (usage.end_of(window) + collection_delay(gateway) <= now).then_some(window)
}

fn collection_delay(gateway: &Gateway) -> Duration {
    let interval = gateway.peers.borrow().cross_zone_interval().min(LEADER_INTERVAL);
    (interval * COLLECTION_INTERVALS).max(MIN_COLLECTION_DELAY)
}

fn window_counts(gateway: &Gateway, window: UsageWindow) -> WindowCounts {
    let mut counts = gateway.peers.borrow().usage(window);
    if let Some(own) = gateway.usage.borrow().windows().get(&window) {
        for (name, count) in own {
            add_count(&mut counts, name, *count);
        }
    }
    gateway.peers.borrow_mut().remove_usage_before(window);
    counts
}

async fn read_last_report(
    gateway: &Gateway,
    store: &dyn Store,
    leader: &Leadership,
) -> Result<LastReport, StoreError> {
    let Some(item) = store.get(&last_report_key()).await? else {
        let era = leader.era();
        let first_unreported = first_unreported(gateway, era == StoreEra::default());
        let revision = StoreRevision::ABSENT;
        return Ok(LastReport { report: None, revision, era, is_sent: false, first_unreported });
    };
    let report: UsageReport = serde_json::from_slice(&item.value)
        .map_err(|err| StoreError::BadAnswer(err.to_string().into()))?;
    let era = item.revision.era;
    let is_last_held = report.era == era.0;
    Ok(LastReport {
        report: Some(report),
        revision: item.revision,
        era,
        // If the store lost a later report, that one may have been of the same window.
        is_sent: !is_last_held,
        first_unreported: first_unreported(gateway, is_last_held),
    })
}

/// Returns the first window for which no report can have been lost: any, if the store holds what
/// was written last, otherwise the first one that is not complete yet.
fn first_unreported(gateway: &Gateway, is_last_held: bool) -> UsageWindow {
    if is_last_held {
        return UsageWindow(0);
    }
    let complete_before = gateway.clock.now().saturating_sub(collection_delay(gateway));
    gateway.usage.borrow().window_at(complete_before)
}

/// Writes a report, unless another one was written; returns the stored one.
async fn write_report(
    gateway: &Gateway,
    store: &dyn Store,
    leader: &Leadership,
    last: &LastReport,
    report: UsageReport,
) -> Result<LastReport, StoreError> {
    let value =
        serde_json::to_vec(&report).map_err(|err| StoreError::BadAnswer(err.to_string().into()))?;
    let expected = last.revision;
    let commit =
        Commit { key: last_report_key().into(), expected, value: value.into(), lease: None };
    match store.commit(commit).await? {
        // What was written since the copy, and lost, may have been another report of the window.
        CommitOutcome::Applied(revision) if revision.era != last.era => Err(StoreError::Restored),
        CommitOutcome::Applied(revision) => {
            Ok(LastReport { report: Some(report), revision, is_sent: false, ..last.clone() })
        }
        CommitOutcome::Conflict => read_last_report(gateway, store, leader).await,
    }
}

async fn send_report(leader: &Rc<Leadership>, calls: &dyn PlatformApi, report: &UsageReport) {
    for _ in 0..MAX_ATTEMPTS {
        let Some(permit) = leader.permit() else { return };
        let call = calls.report_usage(permit.clone(), report.window, &report.counts);
        match call_while_valid(&*permit, call).await {
            Ok(()) => {
                let requests: u64 = report.counts.values().sum();
                log_event(&NodeEvent::UsageReported { window: report.window.0, requests });
                return;
            }
            Err(err) => log_event(&NodeEvent::UsageDelayed {
                window: report.window.0,
                reason: &err.to_string(),
            }),
        }
        sleep(POLL_INTERVAL).await;
    }
}
