//! Property tests of admission and placement under arbitrary sequences of operations.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use lycheelatch_config::{
    Effect, PlacementRule, Service, ServiceKind, ServiceLimits, WorkspaceLimits,
};
use lycheelatch_policy::{
    Admission, AdmissionDecision, AdmissionRequest, AttemptHandle, AttemptResult, Candidate,
    CandidateState, Dequeued, Permit, Placement, PlacementRequest, Ticket,
};
use lycheelatch_prelude::{
    Attempt, Labels, Outcome, Priority, RequestId, ServiceName, UpstreamId, WorkspaceName, ZoneName,
};
use proptest::prelude::*;
use tokio::time::Instant;

const CAPACITY: u64 = 20;
const MAX_COST: u64 = 5;
const UPSTREAMS: usize = 8;

fn service() -> ServiceName {
    "sack-desk".parse().unwrap()
}

#[derive(Debug, Clone)]
enum AdmissionStep {
    Admit { workspace: u8, attempt: u32, cost: u64, deadline_ms: u64 },
    Release,
    Cancel,
    Wait { ms: u64 },
    Capacity { units: u64 },
}

fn admission_step() -> impl Strategy<Value = AdmissionStep> {
    prop_oneof![
        6 => (0_u8..3, 1_u32..4, 1..=MAX_COST, 1_u64..3000).prop_map(
            |(workspace, attempt, cost, deadline_ms)| {
                AdmissionStep::Admit { workspace, attempt, cost, deadline_ms }
            }
        ),
        4 => Just(AdmissionStep::Release),
        1 => Just(AdmissionStep::Cancel),
        3 => (1_u64..400).prop_map(|ms| AdmissionStep::Wait { ms }),
        1 => (0..=CAPACITY).prop_map(|units| AdmissionStep::Capacity { units }),
    ]
}

/// Admission and the expected state of its requests.
struct AdmissionModel {
    admission: Admission,
    now: Instant,
    capacity: u64,
    running: Vec<Permit>,
    waiting: HashMap<Ticket, Instant>,
    ended: HashSet<Ticket>,
}

impl AdmissionModel {
    fn new() -> AdmissionModel {
        let mut admission = Admission::new(1);
        admission.set_service(&service(), ServiceLimits::default());
        admission.set_capacity(&service(), CAPACITY);
        AdmissionModel {
            admission,
            now: Instant::now(),
            capacity: CAPACITY,
            running: Vec::new(),
            waiting: HashMap::new(),
            ended: HashSet::new(),
        }
    }

    fn step(&mut self, step: AdmissionStep) {
        match step {
            AdmissionStep::Admit { workspace, attempt, cost, deadline_ms } => {
                self.admit(workspace, attempt, cost, deadline_ms);
            }
            AdmissionStep::Release => {
                if let Some(permit) = self.running.pop() {
                    self.admission.release(permit, self.now, Outcome::Complete);
                }
            }
            AdmissionStep::Cancel => {
                if let Some(ticket) = self.waiting.keys().min().copied() {
                    self.admission.cancel(self.now, ticket);
                    self.waiting.remove(&ticket);
                    self.ended.insert(ticket);
                }
            }
            AdmissionStep::Wait { ms } => self.now += Duration::from_millis(ms),
            AdmissionStep::Capacity { units } => {
                self.capacity = units;
                self.admission.set_capacity(&service(), units);
            }
        }
        self.drain_queue();
    }

    fn admit(&mut self, workspace: u8, attempt: u32, cost: u64, deadline_ms: u64) {
        let deadline = self.now + Duration::from_millis(deadline_ms);
        let before = self.admission.in_flight(&service());
        let req = AdmissionRequest {
            request: RequestId::new_unique(),
            workspace: format!("store-{workspace}").parse().unwrap(),
            service: service(),
            attempt: Attempt(attempt),
            fingerprint: None,
            failed_before: false,
            deadline,
            cost,
            priority: Priority::Normal,
        };
        match self.admission.admit(self.now, req) {
            AdmissionDecision::Admitted(permit) => {
                assert!(before < self.capacity, "admitted beyond the capacity");
                self.running.push(permit);
            }
            AdmissionDecision::Queued(ticket) => {
                assert!(!self.ended.contains(&ticket));
                self.waiting.insert(ticket, deadline);
            }
            AdmissionDecision::Refused(refusal) => {
                assert!(refusal.retry_after <= Duration::from_secs(75))
            }
        }
    }

    fn drain_queue(&mut self) {
        loop {
            let before = self.admission.in_flight(&service());
            let Some(dequeued) = self.admission.dequeue(self.now) else {
                break;
            };
            let ticket = match dequeued {
                Dequeued::Admitted(ticket, permit) => {
                    assert!(before < self.capacity, "dequeued beyond the capacity");
                    assert!(self.waiting[&ticket] > self.now, "dequeued after its deadline");
                    self.running.push(permit);
                    ticket
                }
                Dequeued::Dropped(ticket, _) => ticket,
            };
            assert!(self.waiting.remove(&ticket).is_some(), "a ticket ended twice");
            assert!(self.ended.insert(ticket), "a ticket ended twice");
        }
        let cost: u64 = self.running.iter().map(Permit::cost).sum();
        assert_eq!(cost, self.admission.in_flight(&service()));
        assert_eq!(self.waiting.len(), self.admission.queue_len(&service()));
        assert!(self.waiting.is_empty() || self.admission.next_wakeup().unwrap() > self.now);
    }
}

#[derive(Debug, Clone)]
enum PlacementStep {
    Send { gold: bool, exclude: usize },
    Finish { ok: bool },
    Abandon,
    State { upstream: usize, state: u8 },
    Remove { upstream: usize },
    Add { upstream: usize },
    Wait { ms: u64 },
}

fn placement_step() -> impl Strategy<Value = PlacementStep> {
    let upstream = 0..UPSTREAMS;
    prop_oneof![
        8 => (any::<bool>(), 0..UPSTREAMS).prop_map(|(gold, exclude)| {
            PlacementStep::Send { gold, exclude }
        }),
        6 => any::<bool>().prop_map(|ok| PlacementStep::Finish { ok }),
        1 => Just(PlacementStep::Abandon),
        1 => (upstream.clone(), 0_u8..3)
            .prop_map(|(upstream, state)| PlacementStep::State { upstream, state }),
        1 => upstream.clone().prop_map(|upstream| PlacementStep::Remove { upstream }),
        2 => upstream.prop_map(|upstream| PlacementStep::Add { upstream }),
        2 => (1_u64..2000).prop_map(|ms| PlacementStep::Wait { ms }),
    ]
}

/// Placement and the expected state of its upstreams and attempts.
struct PlacementModel {
    placement: Placement,
    now: Instant,
    states: HashMap<usize, CandidateState>,
    /// Attempts in flight, with their upstream and its generation.
    sent: Vec<(AttemptHandle, usize, u32)>,
    /// How often each upstream was added; attempts at an earlier generation no longer count.
    generations: HashMap<usize, u32>,
}

fn id(upstream: usize) -> UpstreamId {
    format!("desk-{upstream}").parse().unwrap()
}

impl PlacementModel {
    fn new() -> PlacementModel {
        let mut placement = Placement::new(1);
        let config = Service {
            name: service(),
            kind: ServiceKind::Plain,
            limits: ServiceLimits::default(),
            latency: Default::default(),
            model: None,
            checks_fences: false,
            fleet: None,
        };
        let rule = PlacementRule {
            name: "gold".parse().unwrap(),
            service: None,
            requests: "gold".parse().unwrap(),
            upstreams: "tier=gold".parse().unwrap(),
            effect: Effect::Require,
        };
        let spread = PlacementRule {
            name: "spread".parse().unwrap(),
            service: None,
            requests: Default::default(),
            upstreams: Default::default(),
            effect: Effect::Spread { key: "tier".parse().unwrap() },
        };
        placement.set_service(&config, vec![rule, spread]);
        PlacementModel {
            placement,
            now: Instant::now(),
            states: HashMap::new(),
            sent: Vec::new(),
            generations: HashMap::new(),
        }
    }

    fn is_gold(upstream: usize) -> bool {
        upstream.is_multiple_of(2)
    }

    fn step(&mut self, step: PlacementStep) {
        match step {
            PlacementStep::Send { gold, exclude } => self.send(gold, exclude),
            PlacementStep::Finish { ok } => {
                if !self.sent.is_empty() {
                    let (sent, ..) = self.sent.remove(0);
                    let latency = Duration::from_millis(20);
                    let result = AttemptResult {
                        succeeded: ok,
                        latency,
                        time_to_first_token: None,
                        generated_tokens: 0,
                    };
                    self.placement.finish_attempt(sent, self.now, result);
                }
            }
            PlacementStep::Abandon => {
                if let Some((sent, ..)) = self.sent.pop() {
                    self.placement.abandon_attempt(sent);
                }
            }
            PlacementStep::State { upstream, state } => {
                let states = [CandidateState::Live, CandidateState::Leaving, CandidateState::Down];
                let state = states[usize::from(state)];
                if let Some(known) = self.states.get_mut(&upstream) {
                    *known = state;
                    self.placement.set_state(&id(upstream), state);
                }
            }
            PlacementStep::Remove { upstream } => {
                self.states.remove(&upstream);
                self.placement.remove(&id(upstream));
            }
            PlacementStep::Add { upstream } => self.add(upstream),
            PlacementStep::Wait { ms } => self.now += Duration::from_millis(ms),
        }
        self.check_counts();
    }

    fn add(&mut self, upstream: usize) {
        if self.states.insert(upstream, CandidateState::Live).is_none() {
            *self.generations.entry(upstream).or_default() += 1;
        }
        let tier = if PlacementModel::is_gold(upstream) { "tier=gold" } else { "tier=plain" };
        let candidate = Candidate {
            id: id(upstream),
            zone: "lima-a".parse().unwrap(),
            region: "lima".parse().unwrap(),
            labels: tier.parse().unwrap(),
            price_per_hour: 1.0,
            reclaimable: true,
            state: CandidateState::Live,
        };
        assert!(self.placement.put(self.now, &service(), candidate));
    }

    fn send(&mut self, gold: bool, exclude: usize) {
        let labels: Labels = if gold { "gold=yes" } else { "" }.parse().unwrap();
        let (service, exclude) = (service(), [id(exclude)]);
        let workspace: WorkspaceName = "cusco".parse().unwrap();
        let zone: ZoneName = "lima-a".parse().unwrap();
        let req = PlacementRequest {
            service: &service,
            workspace: &workspace,
            labels: &labels,
            local_zone: &zone,
            prefix: &[],
            prompt_tokens: 0,
            expected_tokens: 0,
            exclude: &exclude,
            avoid_zone: None,
            allow_trial: true,
            may_exceed_limit: false,
        };
        let Ok(choice) = self.placement.choose(self.now, &req) else {
            return;
        };
        let upstream = (0..UPSTREAMS).find(|n| id(*n) == choice.upstream).unwrap();
        assert_eq!(self.states.get(&upstream), Some(&CandidateState::Live));
        assert_ne!(choice.upstream, exclude[0], "an excluded upstream was chosen");
        assert!(!gold || PlacementModel::is_gold(upstream), "a `require` rule was violated");
        let sent = self.placement.start_attempt(self.now, &choice.upstream, &req).unwrap();
        self.sent.push((sent, upstream, self.generations[&upstream]));
    }

    fn check_counts(&self) {
        for upstream in self.states.keys() {
            let generation = self.generations[upstream];
            let expected =
                self.sent.iter().filter(|(_, u, g)| u == upstream && *g == generation).count();
            assert_eq!(self.placement.in_flight(&id(*upstream)) as usize, expected);
        }
        let in_flight = self
            .sent
            .iter()
            .filter(|(_, u, g)| self.states.contains_key(u) && self.generations[u] == *g);
        let capacity = self.placement.capacity(&service());
        assert!(
            capacity >= in_flight.count() as u64,
            "the capacity is less than the requests in flight"
        );
    }
}

proptest! {
    #[test]
    fn admission_each_ticket_ends_once(steps in prop::collection::vec(admission_step(), 1..200)) {
        let mut model = AdmissionModel::new();
        for workspace in 0..3 {
            let name: WorkspaceName = format!("store-{workspace}").parse().unwrap();
            let limits = WorkspaceLimits::default();
            model.admission.set_workspace(&name, 100 * (workspace + 1), &limits, 1);
        }
        for step in steps {
            model.step(step);
        }
        model.now += Duration::from_secs(10);
        model.drain_queue();
        prop_assert!(model.waiting.is_empty(), "a request waits forever");
    }

    #[test]
    fn placement_keeps_rules_and_counts(steps in prop::collection::vec(placement_step(), 1..200)) {
        let mut model = PlacementModel::new();
        for upstream in 0..UPSTREAMS {
            model.add(upstream);
        }
        for step in steps {
            model.step(step);
        }
    }
}
