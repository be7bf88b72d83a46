//! Events at upstreams and ends of calls.

use super::*;

impl Simulation {
    pub(super) fn call_at_upstream(&mut self, call: usize) {
        let upstream = self.calls[call].upstream;
        let state = &mut self.upstreams[upstream];
        if state.is_down {
            match self.setup.trigger {
                Trigger::Crash => {
                    let error = Some(Reached::NotRun);
                    self.schedule.after(UPSTREAM_DELAY, Event::CallEnded { call, error });
                }
                Trigger::Unresponsive => {
                    self.schedule.after(Duration::from_secs(1), Event::CallTimeout { call });
                }
            }
            return;
        }
        state.queue.push_back(call);
        self.serve(upstream);
    }

    pub(super) fn serve(&mut self, upstream: usize) {
        let epoch = self.upstreams[upstream].epoch;
        while self.upstreams[upstream].running.len() < self.setup.slots {
            let Some(call) = self.upstreams[upstream].queue.pop_front() else {
                return;
            };
            self.upstreams[upstream].running.push(call);
            let time = exponential(&mut self.rng, self.setup.mean_service.as_secs_f64());
            self.schedule.after(time, Event::Served { upstream, call, epoch });
        }
    }

    pub(super) fn served(&mut self, upstream: usize, call: usize, epoch: u32) {
        let state = &mut self.upstreams[upstream];
        if state.epoch != epoch {
            return;
        }
        state.running.retain(|other| *other != call);
        self.schedule.after(UPSTREAM_DELAY, Event::CallEnded { call, error: None });
        self.serve(upstream);
    }

    pub(super) fn trigger_starts(&mut self) {
        let failing = self.setup.failing_upstreams();
        for state in self.upstreams.iter_mut().take(failing) {
            state.is_down = true;
            state.epoch += 1;
            for call in state.queue.drain(..).chain(state.running.drain(..)) {
                let event = match self.setup.trigger {
                    Trigger::Crash => Event::CallEnded { call, error: Some(Reached::MayHaveRun) },
                    Trigger::Unresponsive => Event::CallTimeout { call },
                };
                let after = match self.setup.trigger {
                    Trigger::Crash => UPSTREAM_DELAY,
                    Trigger::Unresponsive => Duration::from_secs(1),
                };
                self.schedule.after(after, event);
            }
        }
    }

    pub(super) fn end_call(&mut self, call: usize, error: Option<Reached>) {
        if !self.calls[call].open {
            return;
        }
        let (node, ok) = (self.calls[call].node, error.is_none());
        self.record_result(call, ok);
        let Some(reached) = error else {
            return self.finish_call(call, Outcome::Complete);
        };
        if self.setup.strategy != Strategy::Policy {
            let upstream = self.calls[call].upstream;
            self.nodes[node].ejected_until[upstream] =
                self.schedule.elapsed() + BASELINE_EJECTION_TIME;
            return self.finish_call(call, Outcome::Failed);
        }
        self.decide_retry(call, reached);
        self.drain_queue(node);
    }

    pub(super) fn decide_retry(&mut self, call: usize, reached: Reached) {
        let now = self.schedule.now();
        let state = &self.calls[call];
        let permit = state.permit.as_ref().unwrap();
        let node = &mut self.nodes[state.node];
        let failed = FailedAttempt {
            upstream: self.upstream_ids[state.upstream].clone(),
            zone: self.zones[state.upstream % self.zones.len()].clone(),
            reached,
            response_started: false,
        };
        let caller_attempt =
            if self.setup.retry_marking == RetryMarking::AttemptNumber { state.attempt } else { 1 };
        let cx = RetryContext {
            caller_attempt: Attempt(caller_attempt),
            is_caller_retry: permit.is_retry(),
            attempts: state.attempts,
            idempotency: Idempotency::Idempotent,
            deadline: now + self.setup.timeout,
            expected: node.admission.run_time(&self.service),
        };
        let withdraw = || node.admission.withdraw_retry(now, permit);
        match RetryPolicy.decide(now, &failed, &cx, withdraw) {
            RetryDecision::Retry { exclude, avoid_zone } => {
                self.place(call, &[exclude], Some(&avoid_zone));
            }
            RetryDecision::GiveUp(_) => self.finish_call(call, Outcome::Failed),
        }
    }

    pub(super) fn record_result(&mut self, call: usize, ok: bool) {
        let now = self.schedule.now();
        let state = &mut self.calls[call];
        let latency = self.schedule.elapsed() - state.sent_at;
        let result = AttemptResult {
            succeeded: ok,
            latency,
            time_to_first_token: None,
            generated_tokens: 0,
        };
        let node = &mut self.nodes[state.node];
        if let Some(sent) = state.sent.take() {
            node.placement.finish_attempt(sent, now, result);
        }
        if self.setup.strategy != Strategy::Policy {
            node.in_flight[state.upstream] -= 1;
        }
    }

    /// Ends a call and sends the result to its caller.
    pub(super) fn finish_call(&mut self, call: usize, outcome: Outcome) {
        let now = self.schedule.now();
        let state = &mut self.calls[call];
        state.open = false;
        let (request, attempt, node) = (state.request, state.attempt, state.node);
        if let Some(permit) = state.permit.take() {
            self.nodes[node].admission.release(permit, now, outcome);
        }
        if outcome != Outcome::Complete {
            let retry_after = Duration::ZERO;
            let notify_delay = if self.setup.retry_marking == RetryMarking::Fingerprint {
                2 * PEER_DELAY
            } else {
                Duration::ZERO
            };
            self.schedule.after(
                notify_delay + CALLER_DELAY,
                Event::RequestRefused { request, attempt, retry_after },
            );
            return self.drain_queue_if_policy(node);
        }
        self.complete(request, attempt);
        self.drain_queue_if_policy(node);
    }

    pub(super) fn drain_queue_if_policy(&mut self, node: usize) {
        if self.setup.strategy == Strategy::Policy {
            self.drain_queue(node);
        }
    }

    pub(super) fn complete(&mut self, request: usize, attempt: u32) {
        let state = &mut self.requests[request];
        if state.completed || state.attempt != attempt {
            return;
        }
        state.completed = true;
        let (arrived, workspace) = (state.arrived, state.workspace);
        if state.is_delayed_retry {
            self.report.delayed_retries_completed += 1;
        }
        let latency = self.schedule.elapsed() + CALLER_DELAY - arrived;
        let second = &mut self.report.seconds[arrived.as_secs() as usize];
        second.completed += 1;
        if attempt == 1 {
            second.fresh_completed += 1;
            if arrived.as_secs() >= self.setup.surge.1 {
                self.report.latencies[workspace].push(latency.as_secs_f64() * 1000.0);
            }
            self.current_second().fresh_goodput += 1;
        }
    }

    pub(super) fn caller_timeout(&mut self, request: usize, attempt: u32) {
        let state = &mut self.requests[request];
        if state.completed || state.attempt != attempt {
            return;
        }
        let now = self.schedule.now();
        if let Some((node, ticket)) = state.ticket.take() {
            self.nodes[node].admission.cancel(now, ticket);
            self.nodes[node].waiting.remove(&ticket);
        }
        if let Some(call) = state.call.take().filter(|call| self.calls[*call].open) {
            let node = self.calls[call].node;
            self.record_result(call, false);
            self.calls[call].open = false;
            if let Some(permit) = self.calls[call].permit.take() {
                self.nodes[node].admission.release(permit, now, Outcome::Failed);
            }
            self.drain_queue_if_policy(node);
        }
        self.send(request, Duration::ZERO);
    }

    pub(super) fn send_reports(&mut self) {
        self.schedule.after(REPORT_INTERVAL, Event::SendReports);
        let loads: Vec<(u32, u32)> = self
            .upstreams
            .iter()
            .map(
                |u| if u.is_down { (0, 0) } else { (u.running.len() as u32, u.queue.len() as u32) },
            )
            .collect();
        for node in 0..self.setup.nodes {
            let event = Event::ReportsAtNode { node, loads: loads.clone() };
            self.schedule.after(REPORT_LAG, event);
        }
    }

    pub(super) fn reports_at_node(&mut self, node: usize, loads: &[(u32, u32)]) {
        let now = self.schedule.now();
        for (id, (running, waiting)) in self.upstream_ids.iter().zip(loads) {
            if self.upstreams[self.upstream_ids.iter().position(|i| i == id).unwrap()].is_down {
                continue;
            }
            let report = load_report(*running, *waiting);
            self.nodes[node].placement.apply_load_report(id, now, &report);
        }
        self.drain_queue_if_policy(node);
    }

    /// Notifies the home nodes of failed requests.
    pub(super) fn notify_homes(&mut self, node: usize) {
        if self.setup.retry_marking != RetryMarking::Fingerprint {
            return;
        }
        for fingerprint in self.nodes[node].admission.retry_detector_mut().take_unsent(usize::MAX) {
            let home = self.home(fingerprint);
            self.schedule.after(PEER_DELAY, Event::FailureAtHome { home, fingerprint });
        }
    }

    pub(super) fn home(&self, fingerprint: Fingerprint) -> usize {
        let home = fingerprint_home(fingerprint, &self.node_ids).unwrap();
        self.node_ids.iter().position(|id| id == home).unwrap()
    }
}

pub(super) fn xxh(n: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&n.to_le_bytes())
}

pub(super) fn exponential(rng: &mut SmallRng, mean_secs: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean_secs)
}

pub(super) fn service_config(name: &ServiceName) -> Service {
    Service {
        name: name.clone(),
        kind: ServiceKind::Plain,
        limits: ServiceLimits::default(),
        latency: Default::default(),
        model: None,
        checks_fences: false,
        fleet: None,
    }
}

pub(super) fn candidate(id: &UpstreamId, zone: &ZoneName) -> Candidate {
    Candidate {
        id: id.clone(),
        zone: zone.clone(),
        region: "lima".parse().unwrap(),
        labels: Labels::default(),
        price_per_hour: 0.4,
        reclaimable: true,
        state: CandidateState::Live,
    }
}

pub(super) fn load_report(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        cache_used_tokens: 0,
        cache_total_tokens: 0,
        tokens_per_second: 0.0,
        role: Role::Mixed,
        models: Vec::new(),
    }
}
