//! Simulated engines, and the reports and events that nodes receive from them.

use super::{traffic::mix, *};

impl Run {
    pub(super) fn choose_baseline(&mut self, prompt: &[BlockHash]) -> usize {
        let live: Vec<usize> =
            (0..self.engines.len()).filter(|e| !self.engines[*e].is_lost).collect();
        self.round_robin += 1;
        let load = |e: usize| self.engines[e].prefill.len() + self.engines[e].generating as usize;
        match self.setup.chooser {
            Chooser::LeastLoaded => {
                let turn = self.round_robin;
                let key = |e: &usize| (load(*e), (*e + turn) % self.engines.len());
                *live.iter().min_by_key(|e| key(e)).unwrap()
            }
            Chooser::Rendezvous => {
                let key = prompt.get(2).unwrap_or(&prompt[0]).0;
                *live.iter().max_by_key(|e| mix(key ^ mix(**e as u64 + 7))).unwrap()
            }
            Chooser::Oracle => {
                let cost = |e: usize| {
                    let ahead: u64 = self.engines[e]
                        .prefill
                        .iter()
                        .map(|call| self.uncached_tokens(e, &self.calls[*call].prompt))
                        .sum();
                    let own = self.uncached_tokens(e, prompt) as f64;
                    1.5 * own + ahead as f64 + load(e) as f64 * 16.0
                };
                *live.iter().min_by(|a, b| cost(**a).total_cmp(&cost(**b))).unwrap()
            }
            _ => live[self.round_robin % live.len()],
        }
    }

    pub(super) fn uncached_tokens(&self, engine: usize, prompt: &[BlockHash]) -> u64 {
        (prompt.len() - self.engines[engine].cached_blocks(prompt)) as u64 * BLOCK_TOKENS
    }

    /// Starts to prefill the prompt at the head of an engine's queue.
    pub(super) fn start_prefill(&mut self, engine: usize) {
        let Some(call) = self.engines[engine].prefill.front().copied() else {
            return;
        };
        let prompt = &self.calls[call].prompt;
        let cached_blocks = self.engines[engine].cached_blocks(prompt);
        let uncached = &prompt[cached_blocks..];
        let recomputed = uncached.iter().filter(|block| self.prefilled.contains(*block)).count();
        self.report.recomputed += recomputed as u64 * BLOCK_TOKENS;
        let uncached_tokens = (prompt.len() - cached_blocks) as u64 * BLOCK_TOKENS;
        self.calls[call].uncached_tokens = uncached_tokens;
        let secs = uncached_tokens as f64 / PREFILL_TOKENS_PER_SECOND;
        let incarnation = self.engines[engine].incarnation;
        let time = Duration::from_secs_f64(secs) + Duration::from_millis(5);
        self.schedule.after(time, Event::PrefillDone { engine, incarnation });
    }

    pub(super) fn finish_prefill(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let Some(call) = self.engines[engine].prefill.pop_front() else {
            return;
        };
        let elapsed = self.schedule.elapsed();
        let prompt = self.calls[call].prompt.clone();
        self.prefilled.extend(prompt.iter().copied());
        let max_blocks = (self.setup.cache_tokens / BLOCK_TOKENS) as usize;
        let state = &mut self.engines[engine];
        state.store(&prompt, max_blocks);
        state.generating += 1;
        let each = TOKEN_TIME + TOKEN_TIME_PER_REQUEST * state.generating;
        self.schedule.after(each * ANSWER_TOKENS as u32, Event::AnswerDone { call });
        let state = &mut self.calls[call];
        state.first_token = elapsed - state.arrived;
        self.report.first_token_ms.push(state.first_token.as_secs_f64() * 1000.0);
        if let Some(sent) = &mut state.sent {
            self.placements[state.node].record_first_token(sent);
        }
        self.start_prefill(engine);
    }

    pub(super) fn finish_answer(&mut self, call: usize) {
        let state = &mut self.calls[call];
        let engine = state.engine;
        if self.engines[engine].is_lost {
            return;
        }
        self.engines[engine].generating -= 1;
        let seen = AttemptResult {
            succeeded: true,
            latency: self.schedule.elapsed() - state.arrived,
            time_to_first_token: Some(state.first_token),
            generated_tokens: ANSWER_TOKENS,
        };
        if let Some(sent) = state.sent.take() {
            self.placements[state.node].finish_attempt(sent, self.schedule.now(), seen);
        }
    }

    pub(super) fn poll_events(&mut self) {
        self.schedule.after(EVENTS_POLL_INTERVAL, Event::PollEvents);
        for engine in 0..self.engines.len() {
            let gap = self.rng.random_bool(GAP_PROBABILITY);
            let state = &mut self.engines[engine];
            let mut events = std::mem::take(&mut state.events);
            state.last += events.len() as u64;
            if gap {
                events.truncate(events.len() / 2);
            }
            let load = (state.generating, state.prefill.len() as u32);
            let events = CacheEvents { last: Sequence(state.last), gap, events };
            self.schedule.after(EVENTS_DELAY, Event::EventsDelivered { engine, events, load });
        }
    }

    pub(super) fn deliver_events(&mut self, engine: usize, events: &CacheEvents, load: (u32, u32)) {
        if self.engines[engine].is_lost {
            return;
        }
        let now = self.schedule.now();
        let report = LoadReport {
            running: load.0,
            waiting: load.1,
            cache_used_tokens: 0,
            cache_total_tokens: self.setup.cache_tokens,
            tokens_per_second: 0.0,
            role: Role::Mixed,
            models: Vec::new(),
        };
        for node in 0..self.setup.nodes {
            self.deliver_load(node, engine, &report);
            if self.setup.has_cache_events {
                self.placements[node].apply_cache_events(&self.ids[engine], now, events);
            }
        }
    }

    /// Delivers an engine's load to a node as configured by [`LoadInfo`].
    pub(super) fn deliver_load(&mut self, node: usize, engine: usize, report: &LoadReport) {
        let (now, id) = (self.schedule.now(), &self.ids[engine]);
        let placement = &mut self.placements[node];
        match self.setup.load_info {
            LoadInfo::LocalOnly => {}
            LoadInfo::Reports => placement.apply_load_report(id, now, report),
            LoadInfo::Subset(size) => {
                let first = node * size;
                let place =
                    (engine + self.setup.engines - first % self.setup.engines) % self.setup.engines;
                if place < size {
                    placement.apply_load_report(id, now, report);
                }
            }
            LoadInfo::Digests(seconds) => {
                if self.schedule.elapsed().as_secs().is_multiple_of(seconds) {
                    let seen = ObservedLoad::new(report.running, report.waiting).quantized();
                    placement.apply_load_digest(id, now, seen.running, seen.waiting);
                }
            }
        }
    }

    /// Stops the engines of the first availability zone and resends their queued requests.
    pub(super) fn lose_zone(&mut self) {
        let lost: Vec<usize> = (0..self.engines.len()).step_by(self.zones.len()).collect();
        for engine in lost {
            let state = &mut self.engines[engine];
            state.is_lost = true;
            state.incarnation += 1;
            let calls: Vec<usize> = state.prefill.drain(..).collect();
            for placement in &mut self.placements {
                placement.set_state(&self.ids[engine], CandidateState::Leaving);
            }
            for call in calls {
                let (prompt, arrived) = (self.calls[call].prompt.clone(), self.calls[call].arrived);
                self.send(prompt, arrived);
            }
        }
    }
}
