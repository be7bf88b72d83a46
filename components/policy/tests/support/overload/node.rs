//! Events at callers and nodes.

use super::{upstream::*, *};

impl Simulation {
    pub(super) fn new(setup: Setup) -> Simulation {
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
                next_upstream: n,
                in_flight: vec![0; setup.upstreams],
                ejected_until: vec![Duration::ZERO; setup.upstreams],
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
        let upstream = |_| Upstream {
            queue: Default::default(),
            running: Vec::new(),
            is_down: false,
            epoch: 0,
        };
        let seconds = setup.run_for.as_secs() as usize + 1;
        Simulation {
            nodes: (0..setup.nodes).map(node).collect(),
            node_ids: (0..setup.nodes).map(|n| format!("node-{n}").parse().unwrap()).collect(),
            upstreams: (0..setup.upstreams).map(upstream).collect(),
            report: Report {
                seconds: vec![Second::default(); seconds],
                latencies: vec![Vec::new(); setup.rates.len()],
                ..Report::default()
            },
            rng: SmallRng::seed_from_u64(setup.seed),
            requests: Vec::new(),
            calls: Vec::new(),
            labels: Labels::default(),
            schedule,
            service,
            workspaces,
            upstream_ids: ids,
            zones,
            setup,
        }
    }

    pub(super) fn start(&mut self) {
        for workspace in 0..self.setup.rates.len() {
            self.schedule.after(Duration::ZERO, Event::NewRequest { workspace });
        }
        self.schedule.after(self.setup.trigger_at, Event::TriggerStarts);
        let ends = self.setup.trigger_at + self.setup.trigger_for;
        self.schedule.after(ends, Event::TriggerEnds);
        self.schedule.after(REPORT_INTERVAL, Event::SendReports);
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::NewRequest { workspace } => self.new_request(workspace),
            Event::RequestAtNode { request, attempt } => self.request_at_node(request, attempt),
            Event::NodeWakeup { node } => {
                self.nodes[node].wake_at = None;
                self.drain_queue(node);
            }
            Event::CallAtUpstream { call } => self.call_at_upstream(call),
            Event::Served { upstream, call, epoch } => self.served(upstream, call, epoch),
            Event::CallEnded { call, error } => self.end_call(call, error),
            Event::CallerTimeout { request, attempt } => self.caller_timeout(request, attempt),
            Event::CallTimeout { call } => self.end_call(call, Some(Reached::MayHaveRun)),
            Event::TriggerStarts => self.trigger_starts(),
            Event::TriggerEnds => self.upstreams.iter_mut().for_each(|u| u.is_down = false),
            Event::SendReports => self.send_reports(),
            Event::ReportsAtNode { node, loads } => self.reports_at_node(node, &loads),
            Event::FailureAtHome { home, fingerprint } => {
                let now = self.schedule.now();
                self.nodes[home].admission.retry_detector_mut().merge(now, &[fingerprint]);
            }
            Event::HomeReplied { request, attempt, node } => self.admit(request, attempt, node),
            Event::RequestRefused { request, attempt, retry_after } => {
                self.request_refused(request, attempt, retry_after)
            }
        }
    }

    pub(super) fn current_second(&mut self) -> &mut Second {
        let at = self.schedule.elapsed().as_secs() as usize;
        &mut self.report.seconds[at]
    }

    pub(super) fn new_request(&mut self, workspace: usize) {
        let (factor, from) = self.setup.surge;
        let is_surging = workspace == 0 && self.schedule.elapsed().as_secs() >= from;
        let rate = self.setup.rates[workspace] * if is_surging { factor } else { 1.0 };
        let gap = exponential(&mut self.rng, 1.0 / rate);
        self.schedule.after(gap, Event::NewRequest { workspace });
        let arrived = self.schedule.elapsed();
        self.requests.push(Request {
            workspace,
            arrived,
            attempt: 0,
            completed: false,
            is_delayed_retry: false,
            call: None,
            ticket: None,
        });
        self.current_second().arrived += 1;
        self.send(self.requests.len() - 1, Duration::ZERO);
    }

    /// Sends the next attempt of a request after `wait`, unless its retries are exhausted.
    pub(super) fn send(&mut self, request: usize, wait: Duration) {
        let state = &mut self.requests[request];
        if state.attempt > self.setup.max_retries {
            return;
        }
        state.attempt += 1;
        (state.call, state.ticket) = (None, None);
        let attempt = state.attempt;
        self.schedule.after(wait + CALLER_DELAY, Event::RequestAtNode { request, attempt });
        self.schedule.after(wait + self.setup.timeout, Event::CallerTimeout { request, attempt });
    }

    pub(super) fn request_at_node(&mut self, request: usize, attempt: u32) {
        if self.requests[request].is_delayed_retry && attempt > 1 {
            self.report.delayed_retries += 1;
        }
        let node = self.rng.random_range(0..self.setup.nodes);
        if self.setup.strategy != Strategy::Policy {
            return self.forward_baseline(request, attempt, node);
        }
        if self.setup.retry_marking == RetryMarking::Fingerprint {
            self.schedule.after(2 * PEER_DELAY, Event::HomeReplied { request, attempt, node });
        } else {
            self.admit(request, attempt, node);
        }
    }

    pub(super) fn admit(&mut self, request: usize, attempt: u32, node: usize) {
        if self.requests[request].attempt != attempt {
            return;
        }
        let req = self.admission_request(request, attempt);
        let now = self.schedule.now();
        match self.nodes[node].admission.admit(now, req) {
            AdmissionDecision::Admitted(permit) => self.dispatch(request, attempt, node, permit),
            AdmissionDecision::Queued(ticket) => {
                self.nodes[node].waiting.insert(ticket, (request, attempt));
                self.requests[request].ticket = Some((node, ticket));
            }
            AdmissionDecision::Refused(refusal) => self.refuse(request, attempt, refusal),
        }
        self.drain_queue(node);
    }

    pub(super) fn admission_request(&mut self, request: usize, attempt: u32) -> AdmissionRequest {
        let workspace = self.workspaces[self.requests[request].workspace].clone();
        let has_attempt_number = self.setup.retry_marking == RetryMarking::AttemptNumber;
        let fingerprint = Fingerprint::of_body(&workspace, "/", &request.to_le_bytes());
        let (home, now) = (self.home(fingerprint), self.schedule.now());
        let detector = self.nodes[home].admission.retry_detector_mut();
        let failed_before = self.setup.retry_marking == RetryMarking::Fingerprint
            && detector.is_retry(now, Attempt::FIRST, Some(fingerprint));
        AdmissionRequest {
            request: RequestId::new_unique(),
            service: self.service.clone(),
            attempt: Attempt(if has_attempt_number { attempt } else { 1 }),
            fingerprint: Some(fingerprint),
            failed_before,
            workspace,
            deadline: self.schedule.now() + self.setup.timeout - 2 * CALLER_DELAY,
            cost: 1,
            priority: Priority::Normal,
        }
    }

    pub(super) fn refuse(&mut self, request: usize, attempt: u32, refusal: Refusal) {
        self.current_second().refused += 1;
        if self.schedule.elapsed() < self.setup.trigger_at {
            *self.report.refusals_before_trigger.entry(refusal.reason.to_string()).or_default() +=
                1;
        }
        let retry_after = refusal.retry_after;
        // The home node is notified before the caller gets the refusal.
        let notify_delay = if self.setup.retry_marking == RetryMarking::Fingerprint {
            2 * PEER_DELAY
        } else {
            Duration::ZERO
        };
        let event = Event::RequestRefused { request, attempt, retry_after };
        self.schedule.after(notify_delay + CALLER_DELAY, event);
    }

    pub(super) fn request_refused(&mut self, request: usize, attempt: u32, retry_after: Duration) {
        if self.requests[request].attempt != attempt || self.requests[request].completed {
            return;
        }
        let waits = self.setup.retry_delay == RetryDelay::RetryAfter;
        self.requests[request].is_delayed_retry = waits;
        self.send(request, if waits { retry_after } else { Duration::ZERO });
    }

    /// Starts and drops the queued requests of a node until none can leave the queue.
    pub(super) fn drain_queue(&mut self, node: usize) {
        let now = self.schedule.now();
        loop {
            let state = &mut self.nodes[node];
            state.admission.set_capacity(&self.service, state.placement.capacity(&self.service));
            let Some(dequeued) = state.admission.dequeue(now) else {
                break;
            };
            match dequeued {
                Dequeued::Admitted(ticket, permit) => {
                    let (request, attempt) = state.waiting.remove(&ticket).unwrap();
                    self.dispatch(request, attempt, node, permit);
                }
                Dequeued::Dropped(ticket, refusal) => {
                    let (request, attempt) = state.waiting.remove(&ticket).unwrap();
                    self.refuse(request, attempt, refusal);
                }
            }
        }
        self.notify_homes(node);
        let state = &mut self.nodes[node];
        if let Some(at) = state.admission.next_wakeup()
            && state.wake_at.is_none_or(|earlier| at < earlier)
        {
            state.wake_at = Some(at);
            self.schedule.at(at, Event::NodeWakeup { node });
        }
    }

    pub(super) fn dispatch(&mut self, request: usize, attempt: u32, node: usize, permit: Permit) {
        self.calls.push(Call {
            request,
            attempt,
            node,
            upstream: 0,
            attempts: 0,
            sent_at: self.schedule.elapsed(),
            sent: None,
            permit: Some(permit),
            open: true,
        });
        let call = self.calls.len() - 1;
        self.requests[request].call = Some(call);
        self.requests[request].ticket = None;
        self.place(call, &[], None);
    }

    /// Places a call and sends it, or ends it if no upstream has capacity.
    pub(super) fn place(&mut self, call: usize, exclude: &[UpstreamId], avoid: Option<&ZoneName>) {
        let now = self.schedule.now();
        let state = &mut self.calls[call];
        let node = &mut self.nodes[state.node];
        let req = PlacementRequest {
            service: &self.service,
            workspace: &self.workspaces[self.requests[state.request].workspace],
            labels: &self.labels,
            local_zone: &self.zones[state.node % self.zones.len()],
            prefix: &[],
            prompt_tokens: 0,
            expected_tokens: 0,
            exclude,
            avoid_zone: avoid,
            allow_trial: true,
            may_exceed_limit: state.attempts > 0,
        };
        let Ok(choice) = node.placement.choose(now, &req) else {
            self.report.placement_failures += 1;
            return self.finish_call(call, Outcome::NotRun);
        };
        state.sent = node.placement.start_attempt(now, &choice.upstream, &req);
        state.upstream = self.upstream_ids.iter().position(|id| *id == choice.upstream).unwrap();
        state.attempts += 1;
        state.sent_at = self.schedule.elapsed();
        let is_retry = state.attempt > 1 || state.attempts > 1;
        self.count_sent(is_retry);
        self.schedule.after(UPSTREAM_DELAY, Event::CallAtUpstream { call });
    }

    pub(super) fn count_sent(&mut self, is_retry: bool) {
        let second = self.current_second();
        second.retries_sent += u32::from(is_retry);
        second.fresh_sent += u32::from(!is_retry);
    }

    pub(super) fn forward_baseline(&mut self, request: usize, attempt: u32, node: usize) {
        let elapsed = self.schedule.elapsed();
        let state = &mut self.nodes[node];
        let available: Vec<usize> =
            (0..self.setup.upstreams).filter(|u| state.ejected_until[*u] <= elapsed).collect();
        let available =
            if available.is_empty() { (0..self.setup.upstreams).collect() } else { available };
        state.next_upstream += 1;
        let upstream = match self.setup.strategy {
            Strategy::LeastLoaded => {
                *available.iter().min_by_key(|u| state.in_flight[**u]).unwrap()
            }
            Strategy::Rendezvous => {
                let hash = |u: &usize| xxh((request as u64) << 16 | *u as u64);
                available.iter().copied().max_by_key(hash).unwrap()
            }
            _ => available[state.next_upstream % available.len()],
        };
        state.in_flight[upstream] += 1;
        self.calls.push(Call {
            request,
            attempt,
            node,
            upstream,
            attempts: 1,
            sent_at: elapsed,
            sent: None,
            permit: None,
            open: true,
        });
        let call = self.calls.len() - 1;
        self.requests[request].call = Some(call);
        self.count_sent(attempt > 1);
        self.schedule.after(UPSTREAM_DELAY, Event::CallAtUpstream { call });
    }
}
