//! QueuedRequest requests of one service, shared fairly between workspaces.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use lycheelatch_prelude::{Priority, WorkspaceName};
use tokio::time::Instant;

use crate::Ticket;

/// Queues of a workspace: fresh work by falling priority, then retries.
const LEVELS: usize = 4;

/// Level of retried work, after all fresh work.
const RETRIED_LEVEL: usize = LEVELS - 1;

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Ticket that the caller of the policy holds.
    pub ticket: Ticket,
    /// Work that it brings, in the units of the service.
    pub cost: u64,
    /// Whether it is a retry.
    pub is_retry: bool,
    /// Importance within its workspace.
    pub priority: Priority,
    /// When starting it makes no sense any more.
    pub expires_at: Instant,
}

impl QueuedRequest {
    fn level(&self) -> usize {
        match self.priority {
            _ if self.is_retry => RETRIED_LEVEL,
            Priority::High => 0,
            Priority::Normal => 1,
            Priority::Low => 2,
        }
    }
}

#[derive(Debug, Clone)]
struct Lane {
    weight: f64,
    /// Virtual time up to which the workspace has had its share.
    served_to: f64,
    levels: [VecDeque<QueuedRequest>; LEVELS],
    fresh_cost: u64,
}

impl Lane {
    fn new(weight: u32) -> Lane {
        Lane {
            weight: f64::from(weight.max(1)),
            served_to: 0.0,
            levels: Default::default(),
            fresh_cost: 0,
        }
    }

    fn is_empty(&self) -> bool {
        self.levels.iter().all(VecDeque::is_empty)
    }

    fn forget_cost(&mut self, entry: &QueuedRequest) {
        if !entry.is_retry {
            self.fresh_cost -= entry.cost;
        }
    }
}

/// Weighted fair queue: workspaces share by weight, and within a workspace
/// fresh work goes before retries. Its length is bounded by time: whatever
/// can't be in time any more is taken out, the oldest first.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    lanes: HashMap<WorkspaceName, Lane>,
    virtual_time: f64,
    len: usize,
}

impl FairQueue {
    /// Sets the weight of a workspace.
    pub fn set_weight(&mut self, workspace: &WorkspaceName, weight: u32) {
        self.lane(workspace).weight = f64::from(weight.max(1));
    }

    /// Forgets workspaces that `keep` does not know and that have nothing waiting.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceName) -> bool) {
        self.lanes.retain(|name, lane| !lane.is_empty() || keep(name));
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn push(&mut self, workspace: &WorkspaceName, entry: QueuedRequest) {
        let virtual_time = self.virtual_time;
        let lane = self.lane(workspace);
        if lane.is_empty() {
            lane.served_to = lane.served_to.max(virtual_time);
        }
        if !entry.is_retry {
            lane.fresh_cost += entry.cost;
        }
        lane.levels[entry.level()].push_back(entry);
        self.len += 1;
    }

    /// Counts work of a workspace that started without waiting.
    pub fn charge(&mut self, workspace: &WorkspaceName, cost: u64) {
        let virtual_time = self.virtual_time;
        let lane = self.lane(workspace);
        lane.served_to = lane.served_to.max(virtual_time) + cost as f64 / lane.weight;
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<(WorkspaceName, QueuedRequest)> {
        let workspace = self.turn()?.clone();
        let lane = self.lanes.get_mut(&workspace)?;
        let entry = lane.levels.iter_mut().find_map(VecDeque::pop_front)?;
        lane.forget_cost(&entry);
        self.virtual_time = self.virtual_time.max(lane.served_to);
        lane.served_to += entry.cost as f64 / lane.weight;
        self.len -= 1;
        Some((workspace, entry))
    }

    /// Takes out a request that can't be in time any more, the oldest first.
    pub fn pop_expired(&mut self, now: Instant) -> Option<(WorkspaceName, QueuedRequest)> {
        let (name, lane, level) = self
            .lanes
            .iter_mut()
            .flat_map(|(name, lane)| {
                let fronts = lane.levels.iter().enumerate();
                let level = fronts
                    .filter_map(|(level, queue)| Some((queue.front()?.expires_at, level)))
                    .filter(|(expires_at, _)| *expires_at <= now)
                    .min();
                level.map(|(expires_at, level)| (expires_at, name, lane, level))
            })
            .min_by_key(|(expires_at, name, ..)| (*expires_at, (*name).clone()))
            .map(|(_, name, lane, level)| (name.clone(), lane, level))?;
        let entry = lane.levels[level].pop_front()?;
        lane.forget_cost(&entry);
        self.len -= 1;
        Some((name, entry))
    }

    /// Takes out a request whose caller is gone.
    pub fn cancel(&mut self, workspace: &WorkspaceName, ticket: Ticket) -> Option<QueuedRequest> {
        let lane = self.lanes.get_mut(workspace)?;
        let (level, at) = lane.levels.iter().enumerate().find_map(|(level, queue)| {
            Some((level, queue.iter().position(|entry| entry.ticket == ticket)?))
        })?;
        let entry = lane.levels[level].remove(at)?;
        lane.forget_cost(&entry);
        self.len -= 1;
        Some(entry)
    }

    /// Returns when the next request becomes hopeless.
    pub fn next_expiry(&self) -> Option<Instant> {
        let fronts = self.lanes.values().flat_map(|lane| lane.levels.iter());
        fronts.filter_map(|queue| Some(queue.front()?.expires_at)).min()
    }

    /// Estimates how long fresh work of a workspace waits at `rate` units a second.
    pub fn expected_wait(&self, workspace: &WorkspaceName, rate: f64) -> Duration {
        let waiting = |lane: &Lane| lane.fresh_cost > 0;
        let Some(lane) = self.lanes.get(workspace).filter(|lane| waiting(lane)) else {
            return Duration::ZERO;
        };
        let weights: f64 = self.lanes.values().filter(|l| waiting(l)).map(|l| l.weight).sum();
        let own_rate = (rate * lane.weight / weights).max(1e-3);
        Duration::from_secs_f64((lane.fresh_cost as f64 / own_rate).min(3600.0))
    }

    /// Returns the waiting fresh work of all workspaces, in units.
    pub fn fresh_cost(&self) -> u64 {
        self.lanes.values().map(|lane| lane.fresh_cost).sum()
    }

    fn lane(&mut self, workspace: &WorkspaceName) -> &mut Lane {
        self.lanes.entry(workspace.clone()).or_insert_with(|| Lane::new(100))
    }

    fn turn(&self) -> Option<&WorkspaceName> {
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.is_empty());
        let by_turn = |a: &(&WorkspaceName, &Lane), b: &(&WorkspaceName, &Lane)| {
            a.1.served_to.total_cmp(&b.1.served_to).then_with(|| a.0.cmp(b.0))
        };
        waiting.min_by(by_turn).map(|(name, _)| name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn waiting(ticket: u64, is_retry: bool, expires_at: Instant) -> QueuedRequest {
        let priority = Priority::Normal;
        QueuedRequest { ticket: Ticket(ticket), cost: 1, is_retry, priority, expires_at }
    }

    fn name(text: &str) -> WorkspaceName {
        text.parse().unwrap()
    }

    #[test]
    fn pop_fresh_before_retried() {
        let at = Instant::now();
        let mut queue = FairQueue::default();
        queue.push(&name("a"), waiting(1, true, at));
        queue.push(&name("a"), waiting(2, false, at));
        assert_eq!(queue.pop().unwrap().1.ticket, Ticket(2));
        assert_eq!(queue.pop().unwrap().1.ticket, Ticket(1));
        assert!(queue.pop().is_none());
    }

    #[test]
    fn pop_high_priority_first() {
        let at = Instant::now();
        let mut queue = FairQueue::default();
        queue.push(&name("a"), waiting(1, false, at));
        let high = QueuedRequest { priority: Priority::High, ..waiting(2, false, at) };
        queue.push(&name("a"), high);
        assert_eq!(queue.pop().unwrap().1.ticket, Ticket(2));
    }

    #[test]
    fn pop_shares_by_weight() {
        let at = Instant::now();
        let mut queue = FairQueue::default();
        queue.set_weight(&name("large"), 300);
        queue.set_weight(&name("small"), 100);
        for n in 0..1000 {
            queue.push(&name("large"), waiting(n, false, at));
            queue.push(&name("small"), waiting(n, false, at));
        }
        let large = (0..400).filter(|_| queue.pop().unwrap().0 == name("large")).count();
        assert!((298..=302).contains(&large), "{large} of 400");
    }

    #[test]
    fn pop_idle_workspace_saves_up_nothing() {
        let at = Instant::now();
        let mut queue = FairQueue::default();
        for n in 0..500 {
            queue.push(&name("a"), waiting(n, false, at));
        }
        for _ in 0..300 {
            queue.pop();
        }
        for n in 0..100 {
            queue.push(&name("b"), waiting(n, false, at));
        }
        let b = (0..100).filter(|_| queue.pop().unwrap().0 == name("b")).count();
        assert!((49..=51).contains(&b), "{b} of 100");
    }

    #[test]
    fn pop_hopeless_oldest_first() {
        let now = Instant::now();
        let mut queue = FairQueue::default();
        let second = Duration::from_secs(1);
        queue.push(&name("a"), waiting(1, false, now + 2 * second));
        queue.push(&name("b"), waiting(2, true, now + second));
        queue.push(&name("b"), waiting(3, false, now + 9 * second));
        assert!(queue.pop_expired(now).is_none());
        assert_eq!(queue.next_expiry(), Some(now + second));
        let later = now + 3 * second;
        assert_eq!(queue.pop_expired(later).unwrap().1.ticket, Ticket(2));
        assert_eq!(queue.pop_expired(later).unwrap().1.ticket, Ticket(1));
        assert!(queue.pop_expired(later).is_none());
        assert_eq!((queue.len(), queue.fresh_cost()), (1, 1));
    }

    #[test]
    fn cancel_takes_out() {
        let at = Instant::now();
        let mut queue = FairQueue::default();
        queue.push(&name("a"), waiting(1, false, at));
        assert!(queue.cancel(&name("a"), Ticket(1)).is_some());
        assert!(queue.cancel(&name("a"), Ticket(1)).is_none());
        assert!(queue.is_empty());
    }
}
