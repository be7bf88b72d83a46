//! Weighted fair queue of the waiting requests of one service.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use lycheelatch_prelude::{Priority, WorkspaceName};
use tokio::time::Instant;

use crate::Ticket;

/// Number of queues per workspace: one for each priority of fresh requests and one for retries.
const LEVELS: usize = 4;

/// Index of the retry queue, which is served after all fresh requests.
const RETRY_LEVEL: usize = LEVELS - 1;

/// An entry of the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Ticket that identifies the request.
    pub ticket: Ticket,
    /// Cost of the request in units of the service.
    pub cost: u64,
    /// Whether the request is a retry.
    pub is_retry: bool,
    /// Priority among the requests of the same workspace.
    pub priority: Priority,
    /// Time after which the request must not start, because its response would be too late.
    pub expires_at: Instant,
}

impl QueuedRequest {
    fn level(&self) -> usize {
        match self.priority {
            _ if self.is_retry => RETRY_LEVEL,
            Priority::High => 0,
            Priority::Normal => 1,
            Priority::Low => 2,
        }
    }
}

#[derive(Debug, Clone)]
struct WorkspaceQueue {
    weight: f64,
    /// Virtual time at which the work started so far is finished at the workspace's share.
    virtual_finish: f64,
    levels: [VecDeque<QueuedRequest>; LEVELS],
    fresh_cost: u64,
}

impl WorkspaceQueue {
    fn new(weight: u32) -> WorkspaceQueue {
        WorkspaceQueue {
            weight: f64::from(weight.max(1)),
            virtual_finish: 0.0,
            levels: Default::default(),
            fresh_cost: 0,
        }
    }

    fn is_empty(&self) -> bool {
        self.levels.iter().all(VecDeque::is_empty)
    }

    fn subtract_cost(&mut self, entry: &QueuedRequest) {
        if !entry.is_retry {
            self.fresh_cost -= entry.cost;
        }
    }
}

/// Weighted fair queue of requests.
///
/// Workspaces share the capacity by weight; within a workspace, fresh requests
/// are served before retries. The length is bounded by time: expired requests
/// are removed, oldest first.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    workspaces: HashMap<WorkspaceName, WorkspaceQueue>,
    virtual_time: f64,
    len: usize,
}

impl FairQueue {
    /// Sets the weight of a workspace.
    pub fn set_weight(&mut self, workspace: &WorkspaceName, weight: u32) {
        self.queue_of(workspace).weight = f64::from(weight.max(1));
    }

    /// Removes workspaces that have no waiting requests and for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceName) -> bool) {
        self.workspaces.retain(|name, queue| !queue.is_empty() || keep(name));
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no requests are waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn push(&mut self, workspace: &WorkspaceName, entry: QueuedRequest) {
        let virtual_time = self.virtual_time;
        let queue = self.queue_of(workspace);
        if queue.is_empty() {
            queue.virtual_finish = queue.virtual_finish.max(virtual_time);
        }
        if !entry.is_retry {
            queue.fresh_cost += entry.cost;
        }
        queue.levels[entry.level()].push_back(entry);
        self.len += 1;
    }

    /// Charges a workspace for a request that started without being queued.
    pub fn charge(&mut self, workspace: &WorkspaceName, cost: u64) {
        let virtual_time = self.virtual_time;
        let queue = self.queue_of(workspace);
        queue.virtual_finish = queue.virtual_finish.max(virtual_time) + cost as f64 / queue.weight;
    }

    /// Removes and returns the next request to start.
    pub fn pop(&mut self) -> Option<(WorkspaceName, QueuedRequest)> {
        let workspace = self.next_workspace()?.clone();
        let queue = self.workspaces.get_mut(&workspace)?;
        let entry = queue.levels.iter_mut().find_map(VecDeque::pop_front)?;
        queue.subtract_cost(&entry);
        self.virtual_time = self.virtual_time.max(queue.virtual_finish);
        queue.virtual_finish += entry.cost as f64 / queue.weight;
        self.len -= 1;
        Some((workspace, entry))
    }

    /// Removes and returns the request that expired first, if any has expired. Only the front of
    /// each queue is checked.
    pub fn pop_expired(&mut self, now: Instant) -> Option<(WorkspaceName, QueuedRequest)> {
        let (name, queue, level) = self
            .workspaces
            .iter_mut()
            .flat_map(|(name, queue)| {
                let levels = queue.levels.iter().enumerate();
                let level = levels
                    .filter_map(|(level, entries)| Some((entries.front()?.expires_at, level)))
                    .filter(|(expires_at, _)| *expires_at <= now)
                    .min();
                level.map(|(expires_at, level)| (expires_at, name, queue, level))
            })
            .min_by_key(|(expires_at, name, ..)| (*expires_at, (*name).clone()))
            .map(|(_, name, queue, level)| (name.clone(), queue, level))?;
        let entry = queue.levels[level].pop_front()?;
        queue.subtract_cost(&entry);
        self.len -= 1;
        Some((name, entry))
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, workspace: &WorkspaceName, ticket: Ticket) -> Option<QueuedRequest> {
        let queue = self.workspaces.get_mut(workspace)?;
        let (level, at) = queue.levels.iter().enumerate().find_map(|(level, entries)| {
            Some((level, entries.iter().position(|entry| entry.ticket == ticket)?))
        })?;
        let entry = queue.levels[level].remove(at)?;
        queue.subtract_cost(&entry);
        self.len -= 1;
        Some(entry)
    }

    /// Returns the time at which the next request expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        let levels = self.workspaces.values().flat_map(|queue| queue.levels.iter());
        levels.filter_map(|entries| Some(entries.front()?.expires_at)).min()
    }

    /// Estimates the waiting time of a fresh request of a workspace when the service completes
    /// `rate` units per second.
    pub fn expected_wait(&self, workspace: &WorkspaceName, rate: f64) -> Duration {
        let has_fresh = |queue: &WorkspaceQueue| queue.fresh_cost > 0;
        let Some(queue) = self.workspaces.get(workspace).filter(|queue| has_fresh(queue)) else {
            return Duration::ZERO;
        };
        let weights: f64 = self
            .workspaces
            .values()
            .filter(|queue| has_fresh(queue))
            .map(|queue| queue.weight)
            .sum();
        let own_rate = (rate * queue.weight / weights).max(1e-3);
        Duration::from_secs_f64((queue.fresh_cost as f64 / own_rate).min(3600.0))
    }

    /// Returns the total cost of the waiting fresh requests, in units of the service.
    pub fn fresh_cost(&self) -> u64 {
        self.workspaces.values().map(|queue| queue.fresh_cost).sum()
    }

    fn queue_of(&mut self, workspace: &WorkspaceName) -> &mut WorkspaceQueue {
        self.workspaces.entry(workspace.clone()).or_insert_with(|| WorkspaceQueue::new(100))
    }

    fn next_workspace(&self) -> Option<&WorkspaceName> {
        let waiting = self.workspaces.iter().filter(|(_, queue)| !queue.is_empty());
        let by_finish = |a: &(&WorkspaceName, &WorkspaceQueue),
                         b: &(&WorkspaceName, &WorkspaceQueue)| {
            a.1.virtual_finish.total_cmp(&b.1.virtual_finish).then_with(|| a.0.cmp(b.0))
        };
        waiting.min_by(by_finish).map(|(name, _)| name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(ticket: u64, is_retry: bool, expires_at: Instant) -> QueuedRequest {
        let priority = Priority::Normal;
        QueuedRequest { ticket: Ticket(ticket), cost: 1, is_retry, priority, expires_at }
    }

    fn name(text: &str) -> WorkspaceName {
        text.parse().unwrap()
    }

    #[test]
    fn pop_fresh_before_retries() {
        let at = Instant::now();
        let mut queue = FairQueue::default();
        queue.push(&name("a"), request(1, true, at));
        queue.push(&name("a"), request(2, false, at));
        assert_eq!(queue.pop().unwrap().1.ticket, Ticket(2));
        assert_eq!(queue.pop().unwrap().1.ticket, Ticket(1));
        assert!(queue.pop().is_none());
    }

    #[test]
    fn pop_high_priority_first() {
        let at = Instant::now();
        let mut queue = FairQueue::default();
        queue.push(&name("a"), request(1, false, at));
        let high = QueuedRequest { priority: Priority::High, ..request(2, false, at) };
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
            queue.push(&name("large"), request(n, false, at));
            queue.push(&name("small"), request(n, false, at));
        }
        let large = (0..400).filter(|_| queue.pop().unwrap().0 == name("large")).count();
        assert!((298..=302).contains(&large), "{large} of 400");
    }

    #[test]
    fn pop_idle_workspace_accumulates_no_credit() {
        let at = Instant::now();
        let mut queue = FairQueue::default();
        for n in 0..500 {
            queue.push(&name("a"), request(n, false, at));
        }
        for _ in 0..300 {
            queue.pop();
        }
        for n in 0..100 {
            queue.push(&name("b"), request(n, false, at));
        }
        let b = (0..100).filter(|_| queue.pop().unwrap().0 == name("b")).count();
        assert!((49..=51).contains(&b), "{b} of 100");
    }

    #[test]
    fn pop_expired_oldest_first() {
        let now = Instant::now();
        let mut queue = FairQueue::default();
        let second = Duration::from_secs(1);
        queue.push(&name("a"), request(1, false, now + 2 * second));
        queue.push(&name("b"), request(2, true, now + second));
        queue.push(&name("b"), request(3, false, now + 9 * second));
        assert!(queue.pop_expired(now).is_none());
        assert_eq!(queue.next_expiry(), Some(now + second));
        let later = now + 3 * second;
        assert_eq!(queue.pop_expired(later).unwrap().1.ticket, Ticket(2));
        assert_eq!(queue.pop_expired(later).unwrap().1.ticket, Ticket(1));
        assert!(queue.pop_expired(later).is_none());
        assert_eq!((queue.len(), queue.fresh_cost()), (1, 1));
    }

    #[test]
    fn cancel_removes_request() {
        let at = Instant::now();
        let mut queue = FairQueue::default();
        queue.push(&name("a"), request(1, false, at));
        assert!(queue.cancel(&name("a"), Ticket(1)).is_some());
        assert!(queue.cancel(&name("a"), Ticket(1)).is_none());
        assert!(queue.is_empty());
    }
}
