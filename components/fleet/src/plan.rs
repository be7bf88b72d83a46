//! Plans how to handle the streams on a leaving runner.
//!
//! A stream that is certain to finish in time is left alone. Of the others, those whose
//! export saves the most recomputed tokens within the runner's bandwidth are moved with
//! their KV cache. The rest stay as long as possible, because they may still finish or be
//! moved, and are then resumed elsewhere. Resumes are paced so that no receiver exceeds its
//! prefill rate.

use std::time::Duration;

use lycheelatch_prelude::{RequestId, UpstreamId, ZoneName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::knapsack::{Item, best_subset};

/// A stream is certain to finish if this percentage of its estimated remaining time is left.
const SAFE_ESTIMATE_PERCENT: u32 = 150;

/// Probability, in percent, that a stream whose estimate just fits does not finish in time.
const MAX_OVERRUN_PERCENT: f64 = 50.0;

/// A stream running on the leaving runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningStream {
    /// Request that the stream responds to.
    pub request: RequestId,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens generated so far.
    pub generated: u64,
    /// Estimated time until the response is complete.
    pub remaining_estimate: Duration,
    /// Size of the KV cache, in bytes.
    pub kv_bytes: u64,
}

impl RunningStream {
    /// Returns the number of tokens to recompute if the stream is resumed without its KV cache.
    pub fn recompute_tokens(&self) -> u64 {
        self.prompt_tokens + self.generated
    }
}

/// Export capacity of the runner until it is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExportLimits {
    /// Export rate, in bytes per second.
    pub bytes_per_second: u64,
    /// Fixed time per transfer, in addition to the time for its bytes.
    pub transfer_overhead: Duration,
    /// Time until the runner is gone.
    pub notice: Duration,
    /// Time before the deadline in which nothing is started or awaited.
    pub margin: Duration,
    /// Time until the export link has finished earlier transfers.
    pub link_busy: Duration,
}

impl ExportLimits {
    fn usable_notice(&self) -> Duration {
        self.notice.saturating_sub(self.margin)
    }

    fn stream_transfer_time(&self, stream: &RunningStream) -> Duration {
        self.transfer_time(stream.kv_bytes)
    }

    /// Returns the duration of one transfer.
    pub(crate) fn transfer_time(&self, kv_bytes: u64) -> Duration {
        let secs = kv_bytes as f64 / self.bytes_per_second.max(1) as f64;
        self.transfer_overhead + Duration::from_secs_f64(secs.min(1e6))
    }
}

/// A runner that can take over streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receiver {
    /// Identity of the runner.
    pub id: UpstreamId,
    /// Availability zone of the runner.
    pub zone: ZoneName,
    /// Free KV cache capacity, in tokens.
    pub room_tokens: u64,
    /// Number of additional streams that the runner can accept.
    pub room_streams: u32,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_tokens_per_second: u64,
}

/// Action planned for one stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Let the stream finish on its current runner.
    Finish,
    /// Export the KV cache, import it at `to` and resume the stream there.
    Move {
        /// Receiving runner.
        to: UpstreamId,
    },
    /// Resume the stream at `to`, which recomputes its tokens.
    Resume {
        /// Receiving runner.
        to: UpstreamId,
    },
    /// Leave the stream where it is until the next plan, because no receiver has capacity.
    Wait,
}

/// Planned action for one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Request that the stream belongs to.
    pub request: RequestId,
    /// Action to take.
    pub action: Action,
    /// Time at which to start the action.
    pub start: Instant,
}

/// Plans an action for each stream; the streams with most tokens to recompute come first.
pub fn plan(
    now: Instant,
    streams: &[RunningStream],
    limits: &ExportLimits,
    receivers: &[Receiver],
) -> Vec<Step> {
    let (finishing, mut others): (Vec<_>, Vec<_>) = streams
        .iter()
        .partition(|stream| estimate_finish(stream, limits) == FinishEstimate::Certain);
    others.sort_by(|a, b| {
        let by_cost = b.recompute_tokens().cmp(&a.recompute_tokens());
        by_cost.then_with(|| a.request.cmp(&b.request))
    });
    let moved = choose_moves(&others, limits);
    let mut usages: Vec<ReceiverUsage<'_>> = receivers.iter().map(ReceiverUsage::new).collect();
    let mut steps = Vec::with_capacity(streams.len());
    let mut link_free_in = limits.link_busy;
    for (stream, is_moved) in others.into_iter().zip(moved) {
        let step = match is_moved {
            true => move_step(now, stream, limits, &mut link_free_in, &mut usages),
            false if estimate_finish(stream, limits) == FinishEstimate::Likely => {
                step(stream, Action::Finish, now)
            }
            false => resume_step(now, stream, limits, &mut usages),
        };
        steps.push(step);
    }
    let finish = |s: &RunningStream| step(s, Action::Finish, now);
    steps.extend(finishing.into_iter().map(finish));
    steps
}

/// Estimate of whether a stream finishes before its runner is gone.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FinishEstimate {
    Certain,
    Likely,
    Unlikely,
}

fn estimate_finish(stream: &RunningStream, limits: &ExportLimits) -> FinishEstimate {
    let remaining = stream.remaining_estimate;
    if remaining * SAFE_ESTIMATE_PERCENT / 100 <= limits.usable_notice() {
        return FinishEstimate::Certain;
    }
    if remaining <= limits.usable_notice() {
        FinishEstimate::Likely
    } else {
        FinishEstimate::Unlikely
    }
}

/// Returns the expected number of tokens saved by moving a stream, in hundredths of a token.
fn expected_saving(stream: &RunningStream, limits: &ExportLimits) -> u64 {
    let percent = match estimate_finish(stream, limits) {
        FinishEstimate::Certain => 0.0,
        FinishEstimate::Likely => overrun_percent(stream, limits),
        FinishEstimate::Unlikely => 100.0,
    };
    (stream.recompute_tokens() as f64 * percent) as u64
}

/// Returns the probability, in percent, that a stream does not finish in time.
///
/// It rises linearly from zero at the longest estimate that counts as certain.
fn overrun_percent(stream: &RunningStream, limits: &ExportLimits) -> f64 {
    let used = stream.remaining_estimate.as_secs_f64() / limits.usable_notice().as_secs_f64();
    let certain = 100.0 / f64::from(SAFE_ESTIMATE_PERCENT);
    MAX_OVERRUN_PERCENT * (used - certain).max(0.0) / (1.0 - certain)
}

fn choose_moves(streams: &[&RunningStream], limits: &ExportLimits) -> Vec<bool> {
    let items: Vec<Item> = streams
        .iter()
        .map(|stream| Item {
            weight: limits.stream_transfer_time(stream).as_secs_f64(),
            value: expected_saving(stream, limits),
        })
        .collect();
    best_subset(&items, limits.usable_notice().saturating_sub(limits.link_busy).as_secs_f64())
}

fn move_step(
    now: Instant,
    stream: &RunningStream,
    limits: &ExportLimits,
    link_free_in: &mut Duration,
    usages: &mut [ReceiverUsage<'_>],
) -> Step {
    let Some(usage) = least_used_receiver(usages, stream) else {
        return step(stream, Action::Wait, now);
    };
    usage.reserve(stream);
    let start = now + *link_free_in;
    *link_free_in += limits.stream_transfer_time(stream);
    step(stream, Action::Move { to: usage.receiver.id.clone() }, start)
}

fn resume_step(
    now: Instant,
    stream: &RunningStream,
    limits: &ExportLimits,
    usages: &mut [ReceiverUsage<'_>],
) -> Step {
    let Some(usage) = least_used_receiver(usages, stream) else {
        return step(stream, Action::Wait, now);
    };
    usage.reserve(stream);
    usage.add_prefill(stream);
    let start = now + limits.usable_notice().saturating_sub(usage.prefill_busy);
    step(stream, Action::Resume { to: usage.receiver.id.clone() }, start)
}

fn step(stream: &RunningStream, action: Action, start: Instant) -> Step {
    Step { request: stream.request.clone(), action, start }
}

/// A receiver and the capacity that the current plan has reserved on it.
struct ReceiverUsage<'a> {
    receiver: &'a Receiver,
    tokens: u64,
    streams: u32,
    prefill_busy: Duration,
}

impl<'a> ReceiverUsage<'a> {
    fn new(receiver: &'a Receiver) -> ReceiverUsage<'a> {
        ReceiverUsage { receiver, tokens: 0, streams: 0, prefill_busy: Duration::ZERO }
    }

    fn fits(&self, stream: &RunningStream) -> bool {
        self.tokens + stream.recompute_tokens() <= self.receiver.room_tokens
            && self.streams < self.receiver.room_streams
    }

    fn reserve(&mut self, stream: &RunningStream) {
        self.tokens += stream.recompute_tokens();
        self.streams += 1;
    }

    fn add_prefill(&mut self, stream: &RunningStream) {
        let rate = self.receiver.prefill_tokens_per_second.max(1) as f64;
        self.prefill_busy += Duration::from_secs_f64(stream.recompute_tokens() as f64 / rate);
    }

    /// Returns the fraction of the receiver's capacity in use once `stream` is added.
    fn fill_ratio(&self, stream: &RunningStream) -> f64 {
        let tokens = (self.tokens + stream.recompute_tokens()) as f64;
        let streams = f64::from(self.streams + 1);
        let by_tokens = tokens / self.receiver.room_tokens.max(1) as f64;
        by_tokens.max(streams / f64::from(self.receiver.room_streams.max(1)))
    }
}

fn least_used_receiver<'r, 'a>(
    usages: &'r mut [ReceiverUsage<'a>],
    stream: &RunningStream,
) -> Option<&'r mut ReceiverUsage<'a>> {
    usages.iter_mut().filter(|usage| usage.fits(stream)).min_by(|a, b| {
        let by_fill = a.fill_ratio(stream).total_cmp(&b.fill_ratio(stream));
        by_fill.then_with(|| a.receiver.id.cmp(&b.receiver.id))
    })
}
