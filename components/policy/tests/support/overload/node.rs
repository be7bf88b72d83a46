//! What callers and nodes do.

use super::{upstream::*, *};

impl Run {
    pub(super) fn new(setup: Setup) -> Run {
        let service: ServiceName = "sack-desk".parse().unwrap();
        let ids: Vec<UpstreamId> =
            (0..setup.upstreams).map(|i| format!("desk-{i}").parse().unwrap()).collect();
        let zones: Vec<ZoneName> = ZONES.iter().map(|zone| zone.parse().unwrap()).collect();
        let workspaces: Vec<WorkspaceName> =
            (0..setup.rates.len()).map(|i| format!("store-{i}").parse().unwrap()).collect();
        let schedule = Schedule::new();
        let now = schedule.now();
        let node = |n: usize| {
            let mut node = Node {
                admission: Admission::new(setup.seed * 100 + n as u64),
                placement: Placement::new(setup.seed * 100 + n as u64),
                waiting: HashMap::new(),
                wake_at: None,
                turn: n,
                in_flight: vec![0; setup.upstreams],
                left_out: vec![Duration::ZERO; setup.upstreams],
            };
            let config = service_config(&service);
            node.admission.set_service(&service, config.limits.clone());
            for workspace in &workspaces {
                let limits = WorkspaceLimits::default();
                node.admission.set_workspace(workspace, 100, &limits, setup.nodes);
            }
            node.placement.set_service(&config, Vec::new());
            for (i, id) in ids.iter().enumerate() {
                node.placement.put(now, &service, candidate(id, &zones[i % zones.len()]));
            }
            node.admission.set_capacity(&service, node.placement.capacity(&service));
            node
        };
        let upstream =
            |_| Upstream { queue: Default::default(), busy: Vec::new(), gone: false, life: 0 };
        let seconds = setup.run_for.as_secs() as usize + 1;
        Run {
            nodes: (0..setup.nodes).map(node).collect(),
            node_ids: (0..setup.nodes).map(|n| format!("node-{n}").parse().unwrap()).collect(),
            upstreams: (0..setup.upstreams).map(upstream).collect(),
            report: Report {
                seconds: vec![Second::default(); seconds],
                latencies: vec![Vec::new(); setup.rates.len()],
                ..Report::default()
            },
            rng: SmallRng::seed_from_u64(setup.seed),
            work: Vec::new(),
            calls: Vec::new(),
            labels: Labels::default(),
            schedule,
            service,
            workspaces,
            ids,
            zones,
            setup,
        }
    }

    pub(super) fn begin(&mut self) {
        for workspace in 0..self.setup.rates.len() {
            self.schedule.after(Duration::ZERO, Event::Arrive { workspace });
        }
        self.schedule.after(self.setup.trigger_at, Event::TriggerStarts);
        let ends = self.setup.trigger_at + self.setup.trigger_for;
        self.schedule.after(ends, Event::TriggerEnds);
        self.schedule.after(REPORT_INTERVAL, Event::Reports);
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { workspace } => self.arrive(workspace),
            Event::AtNode { work, attempt } => self.at_node(work, attempt),
            Event::NodeWakes { node } => {
                self.nodes[node].wake_at = None;
                self.turns(node);
            }
            Event::AtUpstream { call } => self.at_upstream(call),
            Event::Served { upstream, call, life } => self.served(upstream, call, life),
            Event::Answered { call, error } => self.answered(call, error),
            Event::CallerGone { work, attempt } => self.caller_gone(work, attempt),
            Event::Silent { call } => self.answered(call, Some(Reached::MayHaveRun)),
            Event::TriggerStarts => self.trigger_starts(),
            Event::TriggerEnds => self.upstreams.iter_mut().for_each(|u| u.gone = false),
            Event::Reports => self.reports(),
            Event::ReportsCome { node, loads } => self.reports_come(node, &loads),
            Event::AtHome { home, mark } => {
                let now = self.schedule.now();
                self.nodes[home].admission.retry_detector_mut().merge(now, &[mark]);
            }
            Event::Asked { work, attempt, node } => self.offer(work, attempt, node),
            Event::Refused { work, attempt, retry_after } => {
                self.refused(work, attempt, retry_after)
            }
        }
    }

    pub(super) fn second(&mut self) -> &mut Second {
        let at = self.schedule.elapsed().as_secs() as usize;
        &mut self.report.seconds[at]
    }

    pub(super) fn arrive(&mut self, workspace: usize) {
        let (factor, from) = self.setup.surge;
        let surges = workspace == 0 && self.schedule.elapsed().as_secs() >= from;
        let rate = self.setup.rates[workspace] * if surges { factor } else { 1.0 };
        let gap = exponential(&mut self.rng, 1.0 / rate);
        self.schedule.after(gap, Event::Arrive { workspace });
        let arrived = self.schedule.elapsed();
        self.work.push(Work {
            workspace,
            arrived,
            attempt: 0,
            done: false,
            told_to_wait: false,
            call: None,
            ticket: None,
        });
        self.second().arrived += 1;
        self.send(self.work.len() - 1, Duration::ZERO);
    }

    /// The caller sends the next attempt.
    pub(super) fn send(&mut self, work: usize, wait: Duration) {
        let state = &mut self.work[work];
        if state.attempt > self.setup.max_retries {
            return;
        }
        state.attempt += 1;
        (state.call, state.ticket) = (None, None);
        let attempt = state.attempt;
        self.schedule.after(wait + CALLER_DELAY, Event::AtNode { work, attempt });
        self.schedule.after(wait + self.setup.timeout, Event::CallerGone { work, attempt });
    }

    pub(super) fn at_node(&mut self, work: usize, attempt: u32) {
        if self.work[work].told_to_wait && attempt > 1 {
            self.report.came_back += 1;
        }
        let node = self.rng.random_range(0..self.setup.nodes);
        if self.setup.strategy != Strategy::Policy {
            return self.forward_baseline(work, attempt, node);
        }
        if self.setup.marks == Marks::Digest {
            self.schedule.after(2 * PEER_DELAY, Event::Asked { work, attempt, node });
        } else {
            self.offer(work, attempt, node);
        }
    }

    pub(super) fn offer(&mut self, work: usize, attempt: u32, node: usize) {
        if self.work[work].attempt != attempt {
            return;
        }
        let ask = self.ask(work, attempt);
        let now = self.schedule.now();
        match self.nodes[node].admission.admit(now, ask) {
            AdmissionDecision::Admitted(permit) => self.dispatch(work, attempt, node, permit),
            AdmissionDecision::Queued(ticket) => {
                self.nodes[node].waiting.insert(ticket, (work, attempt));
                self.work[work].ticket = Some((node, ticket));
            }
            AdmissionDecision::Refused(refusal) => self.refuse(work, attempt, refusal),
        }
        self.turns(node);
    }

    pub(super) fn ask(&mut self, work: usize, attempt: u32) -> AdmissionRequest {
        let workspace = self.workspaces[self.work[work].workspace].clone();
        let told = self.setup.marks == Marks::Attempt;
        let fingerprint = Fingerprint::of_body(&workspace, "/", &work.to_le_bytes());
        let (home, now) = (self.home(fingerprint), self.schedule.now());
        let sense = self.nodes[home].admission.retry_detector_mut();
        let failed_before = self.setup.marks == Marks::Digest
            && sense.is_retry(now, Attempt::FIRST, Some(fingerprint));
        AdmissionRequest {
            request: RequestId::new_unique(),
            service: self.service.clone(),
            attempt: Attempt(if told { attempt } else { 1 }),
            fingerprint: Some(fingerprint),
            failed_before,
            workspace,
            deadline: self.schedule.now() + self.setup.timeout - 2 * CALLER_DELAY,
            cost: 1,
            priority: Priority::Normal,
        }
    }

    pub(super) fn refuse(&mut self, work: usize, attempt: u32, refusal: Refusal) {
        self.second().refused += 1;
        if self.schedule.elapsed() < self.setup.trigger_at {
            *self.report.early_refusals.entry(refusal.reason.to_string()).or_default() += 1;
        }
        let retry_after = refusal.retry_after;
        // The home of an unmarked request is told before the caller is.
        let told = if self.setup.marks == Marks::Digest { 2 * PEER_DELAY } else { Duration::ZERO };
        let event = Event::Refused { work, attempt, retry_after };
        self.schedule.after(told + CALLER_DELAY, event);
    }

    pub(super) fn refused(&mut self, work: usize, attempt: u32, retry_after: Duration) {
        if self.work[work].attempt != attempt || self.work[work].done {
            return;
        }
        let waits = self.setup.patience == Patience::Waits;
        self.work[work].told_to_wait = waits;
        self.send(work, if waits { retry_after } else { Duration::ZERO });
    }

    /// Starts and drops what waits at a node.
    pub(super) fn turns(&mut self, node: usize) {
        let now = self.schedule.now();
        loop {
            let state = &mut self.nodes[node];
            state.admission.set_capacity(&self.service, state.placement.capacity(&self.service));
            let Some(turn) = state.admission.dequeue(now) else {
                break;
            };
            match turn {
                Dequeued::Admitted(ticket, permit) => {
                    let (work, attempt) = state.waiting.remove(&ticket).unwrap();
                    self.dispatch(work, attempt, node, permit);
                }
                Dequeued::Dropped(ticket, refusal) => {
                    let (work, attempt) = state.waiting.remove(&ticket).unwrap();
                    self.refuse(work, attempt, refusal);
                }
            }
        }
        self.tell_homes(node);
        let state = &mut self.nodes[node];
        if let Some(at) = state.admission.next_wakeup()
            && state.wake_at.is_none_or(|earlier| at < earlier)
        {
            state.wake_at = Some(at);
            self.schedule.at(at, Event::NodeWakes { node });
        }
    }

    pub(super) fn dispatch(&mut self, work: usize, attempt: u32, node: usize, permit: Permit) {
        self.calls.push(Call {
            work,
            attempt,
            node,
            upstream: 0,
            tries: 0,
            sent_at: self.schedule.elapsed(),
            sent: None,
            permit: Some(permit),
            open: true,
        });
        let call = self.calls.len() - 1;
        self.work[work].call = Some(call);
        self.work[work].ticket = None;
        self.place(call, &[], None);
    }

    /// Places an attempt of a node; false if no upstream takes it.
    pub(super) fn place(&mut self, call: usize, exclude: &[UpstreamId], avoid: Option<&ZoneName>) {
        let now = self.schedule.now();
        let state = &mut self.calls[call];
        let node = &mut self.nodes[state.node];
        let req = PlacementRequest {
            service: &self.service,
            workspace: &self.workspaces[self.work[state.work].workspace],
            labels: &self.labels,
            local_zone: &self.zones[state.node % self.zones.len()],
            prefix: &[],
            prompt_tokens: 0,
            expected_tokens: 0,
            exclude,
            avoid_zone: avoid,
            allow_trial: true,
            may_exceed_limit: state.tries > 0,
        };
        let Ok(choice) = node.placement.choose(now, &req) else {
            self.report.placement_full += 1;
            return self.settle(call, Outcome::NotRun);
        };
        state.sent = node.placement.start_attempt(now, &choice.upstream, &req);
        state.upstream = self.ids.iter().position(|id| *id == choice.upstream).unwrap();
        state.tries += 1;
        state.sent_at = self.schedule.elapsed();
        let is_retry = state.attempt > 1 || state.tries > 1;
        self.count_sent(is_retry);
        self.schedule.after(UPSTREAM_DELAY, Event::AtUpstream { call });
    }

    pub(super) fn count_sent(&mut self, is_retry: bool) {
        let second = self.second();
        second.retried_sent += u32::from(is_retry);
        second.fresh_sent += u32::from(!is_retry);
    }

    pub(super) fn forward_baseline(&mut self, work: usize, attempt: u32, node: usize) {
        let elapsed = self.schedule.elapsed();
        let state = &mut self.nodes[node];
        let used: Vec<usize> =
            (0..self.setup.upstreams).filter(|u| state.left_out[*u] <= elapsed).collect();
        let used = if used.is_empty() { (0..self.setup.upstreams).collect() } else { used };
        state.turn += 1;
        let upstream = match self.setup.strategy {
            Strategy::LeastLoaded => *used.iter().min_by_key(|u| state.in_flight[**u]).unwrap(),
            Strategy::Rendezvous => {
                let hash = |u: &usize| xxh((work as u64) << 16 | *u as u64);
                used.iter().copied().max_by_key(hash).unwrap()
            }
            _ => used[state.turn % used.len()],
        };
        state.in_flight[upstream] += 1;
        self.calls.push(Call {
            work,
            attempt,
            node,
            upstream,
            tries: 1,
            sent_at: elapsed,
            sent: None,
            permit: None,
            open: true,
        });
        let call = self.calls.len() - 1;
        self.work[work].call = Some(call);
        self.count_sent(attempt > 1);
        self.schedule.after(UPSTREAM_DELAY, Event::AtUpstream { call });
    }
}
