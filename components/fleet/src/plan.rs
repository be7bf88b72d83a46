//! What becomes of the streams on a runner that leaves.
//!
//! A stream that surely ends in time is left alone. Of the others, those whose
//! export saves the most recomputed tokens within the runner's bandwidth are
//! moved with their KV cache. The rest stay as long as they can, since they
//! may end or be moved after all, and are then resumed elsewhere, paced so
//! that no receiver computes more prompts than it can.

use std::time::Duration;

use lycheelatch_prelude::{RequestId, UpstreamId, ZoneName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::knapsack::{Item, best_subset};

/// Factor on an estimate of the remaining time that makes it sure, in percent.
const SURE_FINISH_PERCENT: u32 = 150;

/// Chance that a stream whose estimate just fits does not end in time, in percent.
const MAX_OVERRUN_PERCENT: f64 = 50.0;

/// One stream on the runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningStream {
    /// Request that it answers.
    pub request: RequestId,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer so far.
    pub generated: u64,
    /// Time until the answer is whole, as far as known.
    pub remaining_estimate: Duration,
    /// Size of its KV cache, in bytes.
    pub kv_bytes: u64,
}

impl RunningStream {
    /// Returns the tokens that a resume without the KV cache computes again.
    pub fn recompute_tokens(&self) -> u64 {
        self.prompt_tokens + self.generated
    }
}

/// What the runner can export before it goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExportLimits {
    /// Rate at which it exports, in bytes a second.
    pub bytes_per_second: u64,
    /// Time that each transfer takes besides its bytes.
    pub per_transfer: Duration,
    /// Time until the runner goes.
    pub notice: Duration,
    /// Time before the end in which nothing is begun or awaited.
    pub margin: Duration,
    /// Time until the export link is free of earlier transfers.
    pub busy: Duration,
}

impl ExportLimits {
    fn usable(&self) -> Duration {
        self.notice.saturating_sub(self.margin)
    }

    fn transfer_time(&self, stream: &RunningStream) -> Duration {
        self.time_of(stream.kv_bytes)
    }

    /// Returns the time that one transfer takes.
    pub(crate) fn time_of(&self, kv_bytes: u64) -> Duration {
        let secs = kv_bytes as f64 / self.bytes_per_second.max(1) as f64;
        self.per_transfer + Duration::from_secs_f64(secs.min(1e6))
    }
}

/// A runner that can take streams over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receiver {
    /// Identity of the runner.
    pub id: UpstreamId,
    /// Availability zone it runs in.
    pub zone: ZoneName,
    /// Tokens of KV cache that are free.
    pub room_tokens: u64,
    /// Streams that it can take beside its own.
    pub room_streams: u32,
    /// Prompt tokens that it computes a second.
    pub prefill_tokens_per_second: u64,
}

/// What becomes of one stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// It ends in time where it is.
    Finish,
    /// Its KV cache is exported, imported at `to`, and it is taken up there.
    Move {
        /// Runner that takes it.
        to: UpstreamId,
    },
    /// It is taken up at `to`, which computes its tokens again.
    Resume {
        /// Runner that takes it.
        to: UpstreamId,
    },
    /// No receiver has room now; it goes on where it is until the next plan.
    Wait,
}

/// One stream's part of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Request of the stream.
    pub request: RequestId,
    /// What becomes of it.
    pub action: Action,
    /// Time at which to begin.
    pub start: Instant,
}

/// Decides what becomes of each stream; the costliest to recompute come first.
pub fn plan(
    now: Instant,
    streams: &[RunningStream],
    limits: &ExportLimits,
    receivers: &[Receiver],
) -> Vec<Step> {
    let (finishing, mut others): (Vec<_>, Vec<_>) =
        streams.iter().partition(|stream| finish_of(stream, limits) == Finish::Sure);
    others.sort_by(|a, b| {
        let by_cost = b.recompute_tokens().cmp(&a.recompute_tokens());
        by_cost.then_with(|| a.request.cmp(&b.request))
    });
    let moved = choose_moves(&others, limits);
    let mut rooms: Vec<Room<'_>> = receivers.iter().map(Room::new).collect();
    let mut steps = Vec::with_capacity(streams.len());
    let mut export_free = limits.busy;
    for (stream, is_moved) in others.into_iter().zip(moved) {
        let step = match is_moved {
            true => move_step(now, stream, limits, &mut export_free, &mut rooms),
            false if finish_of(stream, limits) == Finish::Probable => {
                step(stream, Action::Finish, now)
            }
            false => resume_step(now, stream, limits, &mut rooms),
        };
        steps.push(step);
    }
    let finish = |s: &RunningStream| step(s, Action::Finish, now);
    steps.extend(finishing.into_iter().map(finish));
    steps
}

/// Whether a stream ends before its runner goes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Finish {
    Sure,
    Probable,
    No,
}

fn finish_of(stream: &RunningStream, limits: &ExportLimits) -> Finish {
    let remaining = stream.remaining_estimate;
    if remaining * SURE_FINISH_PERCENT / 100 <= limits.usable() {
        return Finish::Sure;
    }
    if remaining <= limits.usable() { Finish::Probable } else { Finish::No }
}

/// Returns the tokens that moving a stream saves on average, in hundredths.
fn worth_of_move(stream: &RunningStream, limits: &ExportLimits) -> u64 {
    let percent = match finish_of(stream, limits) {
        Finish::Sure => 0.0,
        Finish::Probable => overrun_percent(stream, limits),
        Finish::No => 100.0,
    };
    (stream.recompute_tokens() as f64 * percent) as u64
}

/// Returns the chance that a stream does not end in time, rising from none where its end is sure.
fn overrun_percent(stream: &RunningStream, limits: &ExportLimits) -> f64 {
    let used = stream.remaining_estimate.as_secs_f64() / limits.usable().as_secs_f64();
    let sure = 100.0 / f64::from(SURE_FINISH_PERCENT);
    MAX_OVERRUN_PERCENT * (used - sure).max(0.0) / (1.0 - sure)
}

fn choose_moves(streams: &[&RunningStream], limits: &ExportLimits) -> Vec<bool> {
    let items: Vec<Item> = streams
        .iter()
        .map(|stream| Item {
            weight: limits.transfer_time(stream).as_secs_f64(),
            value: worth_of_move(stream, limits),
        })
        .collect();
    best_subset(&items, limits.usable().saturating_sub(limits.busy).as_secs_f64())
}

fn move_step(
    now: Instant,
    stream: &RunningStream,
    limits: &ExportLimits,
    export_free: &mut Duration,
    rooms: &mut [Room<'_>],
) -> Step {
    let Some(room) = roomiest(rooms, stream) else {
        return step(stream, Action::Wait, now);
    };
    room.take(stream);
    let start = now + *export_free;
    *export_free += limits.transfer_time(stream);
    step(stream, Action::Move { to: room.receiver.id.clone() }, start)
}

fn resume_step(
    now: Instant,
    stream: &RunningStream,
    limits: &ExportLimits,
    rooms: &mut [Room<'_>],
) -> Step {
    let Some(room) = roomiest(rooms, stream) else {
        return step(stream, Action::Wait, now);
    };
    room.take(stream);
    room.add_prefill(stream);
    let start = now + limits.usable().saturating_sub(room.prefill_busy);
    step(stream, Action::Resume { to: room.receiver.id.clone() }, start)
}

fn step(stream: &RunningStream, action: Action, start: Instant) -> Step {
    Step { request: stream.request.clone(), action, start }
}

/// A receiver with what this plan has given it so far.
struct Room<'a> {
    receiver: &'a Receiver,
    tokens: u64,
    streams: u32,
    prefill_busy: Duration,
}

impl<'a> Room<'a> {
    fn new(receiver: &'a Receiver) -> Room<'a> {
        Room { receiver, tokens: 0, streams: 0, prefill_busy: Duration::ZERO }
    }

    fn fits(&self, stream: &RunningStream) -> bool {
        self.tokens + stream.recompute_tokens() <= self.receiver.room_tokens
            && self.streams < self.receiver.room_streams
    }

    fn take(&mut self, stream: &RunningStream) {
        self.tokens += stream.recompute_tokens();
        self.streams += 1;
    }

    fn add_prefill(&mut self, stream: &RunningStream) {
        let rate = self.receiver.prefill_tokens_per_second.max(1) as f64;
        self.prefill_busy += Duration::from_secs_f64(stream.recompute_tokens() as f64 / rate);
    }

    /// Share of the room that is taken once `stream` is added.
    fn fill(&self, stream: &RunningStream) -> f64 {
        let tokens = (self.tokens + stream.recompute_tokens()) as f64;
        let streams = f64::from(self.streams + 1);
        let by_tokens = tokens / self.receiver.room_tokens.max(1) as f64;
        by_tokens.max(streams / f64::from(self.receiver.room_streams.max(1)))
    }
}

fn roomiest<'r, 'a>(rooms: &'r mut [Room<'a>], stream: &RunningStream) -> Option<&'r mut Room<'a>> {
    rooms.iter_mut().filter(|room| room.fits(stream)).min_by(|a, b| {
        let by_fill = a.fill(stream).total_cmp(&b.fill(stream));
        by_fill.then_with(|| a.receiver.id.cmp(&b.receiver.id))
    })
}
