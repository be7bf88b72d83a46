//! Recent answers by part, in bounded memory.

use std::{
    collections::{HashMap, VecDeque},
    mem,
    time::Duration,
};

use lycheelatch_prelude::ServiceName;

use super::PartId;

/// Time for which an answer counts; at most twice as long.
const GENERATION_TIME: Duration = Duration::from_secs(30);

/// Maximum number of parts in one of the two generations.
const MAX_PARTS: usize = 4096;

/// Number of the latest answers whose parts are kept.
const MAX_LATEST: usize = 32;

/// Answers of one generation.
#[derive(Debug, Default)]
struct Counts {
    by_part: HashMap<(ServiceName, PartId), u32>,
    by_service: HashMap<ServiceName, u32>,
}

/// An answered request.
#[derive(Debug)]
struct Answer {
    service: ServiceName,
    parts: Vec<PartId>,
    at: Duration,
}

/// Counts answers by part in two generations, of which the older one is dropped when the newer one
/// is full or old. Parts that are answered often stay.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    current: Counts,
    previous: Counts,
    since: Duration,
    latest: VecDeque<Answer>,
}

impl RecentAnswers {
    pub(super) fn record(&mut self, service: &ServiceName, parts: &[PartId], now: Duration) {
        let is_old = now.abs_diff(self.since) >= GENERATION_TIME;
        if self.current.by_part.len() >= MAX_PARTS || is_old {
            self.previous = mem::take(&mut self.current);
            self.since = now;
        }
        for part in parts {
            increment(self.current.by_part.entry((service.clone(), *part)).or_default());
        }
        increment(self.current.by_service.entry(service.clone()).or_default());
        self.latest.truncate(MAX_LATEST - 1);
        let answer = Answer { service: service.clone(), parts: parts.to_vec(), at: now };
        self.latest.push_front(answer);
    }

    /// Returns the number of answers to requests with a part.
    pub(super) fn count(&self, service: &ServiceName, part: PartId, now: Duration) -> u32 {
        let key = (service.clone(), part);
        self.sum(now, |counts| counts.by_part.get(&key))
    }

    /// Returns the number of answers of a service.
    pub(super) fn count_all(&self, service: &ServiceName, now: Duration) -> u32 {
        self.sum(now, |counts| counts.by_service.get(service))
    }

    /// Returns whether a request without the part was answered after `since`.
    pub(super) fn has_other(&self, service: &ServiceName, part: PartId, since: Duration) -> bool {
        self.latest.iter().any(|answer| {
            answer.at > since && answer.service == *service && !answer.parts.contains(&part)
        })
    }

    fn sum(&self, now: Duration, of: impl Fn(&Counts) -> Option<&u32>) -> u32 {
        if now.abs_diff(self.since) >= 2 * GENERATION_TIME {
            return 0;
        }
        let count = |counts| of(counts).copied().unwrap_or(0);
        count(&self.current).saturating_add(count(&self.previous))
    }
}

fn increment(count: &mut u32) {
    *count = count.saturating_add(1);
}
