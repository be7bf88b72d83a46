//! Generates prompts and sends them to engines.

use super::*;

impl Run {
    pub(super) fn new(setup: Setup) -> Run {
        let service: ServiceName = "sack-model".parse().unwrap();
        let ids: Vec<UpstreamId> =
            (0..setup.engines).map(|i| format!("engine-{i}").parse().unwrap()).collect();
        let zones: Vec<ZoneName> = ZONES.iter().map(|zone| zone.parse().unwrap()).collect();
        let schedule = Schedule::new();
        let now = schedule.now();
        let placement = |n: usize| {
            let mut placement = Placement::new(setup.seed * 100 + n as u64);
            placement.set_service(&model_service(&service), Vec::new());
            for (i, id) in ids.iter().enumerate() {
                placement.put(now, &service, candidate(id, &zones[i % zones.len()]));
            }
            placement
        };
        let mut run = Run {
            placements: (0..setup.nodes).map(placement).collect(),
            engines: (0..setup.engines).map(|_| Engine::default()).collect(),
            rng: SmallRng::seed_from_u64(setup.seed),
            calls: Vec::new(),
            sources: Vec::new(),
            next_block: 0,
            prefilled: HashSet::new(),
            round_robin: 0,
            report: Report::default(),
            workspace: "cusco".parse().unwrap(),
            labels: Labels::default(),
            schedule,
            service,
            ids,
            zones,
            setup,
        };
        for n in 0..run.setup.conversations {
            let source = run.conversation(n as u64 % 4);
            run.sources.push(source);
        }
        for n in 0..run.setup.histories {
            let source = run.history(n as u64 % 2);
            run.sources.push(source);
        }
        run
    }

    pub(super) fn new_block(&mut self) -> BlockHash {
        self.next_block += 1;
        BlockHash(mix(self.setup.seed ^ mix(self.next_block)))
    }

    /// Creates a conversation: a shared system prompt of two blocks and one block of its own.
    pub(super) fn conversation(&mut self, system: u64) -> PromptSource {
        let mut blocks = vec![BlockHash(mix(system + 1)), BlockHash(mix(system + 101))];
        blocks.push(self.new_block());
        PromptSource { system, blocks, is_history: false }
    }

    /// Creates a long history: a shared system prompt of two blocks and 16 to 47 blocks of its own.
    pub(super) fn history(&mut self, system: u64) -> PromptSource {
        let mut blocks = vec![BlockHash(mix(system + 1001)), BlockHash(mix(system + 1101))];
        for _ in 0..self.rng.random_range(16..48) {
            let block = self.new_block();
            blocks.push(block);
        }
        PromptSource { system, blocks, is_history: true }
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::PrefillDone { engine, incarnation } => self.finish_prefill(engine, incarnation),
            Event::AnswerDone { call } => self.finish_answer(call),
            Event::PollEvents => self.poll_events(),
            Event::EventsDelivered { engine, events, load } => {
                self.deliver_events(engine, &events, load)
            }
            Event::ZoneLost => self.lose_zone(),
        }
    }

    pub(super) fn arrive(&mut self) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / self.setup.rate;
        self.schedule.after(Duration::from_secs_f64(gap), Event::Arrive);
        let prompt = self.prompt();
        self.report.requests += 1;
        self.report.prompt_tokens += prompt.len() as u64 * BLOCK_TOKENS;
        let arrived = self.schedule.elapsed();
        self.send(prompt, arrived);
    }

    /// Returns the next turn of a conversation or a question about a history.
    pub(super) fn prompt(&mut self) -> Vec<BlockHash> {
        let at = self.rng.random_range(0..self.sources.len());
        let added = self.new_block();
        if self.sources[at].is_history {
            let question = [self.sources[at].blocks.as_slice(), &[added]];
            return question.concat();
        }
        if self.sources[at].blocks.len() > 24 {
            let system = self.sources[at].system;
            self.sources[at] = self.conversation(system);
        }
        self.sources[at].blocks.push(added);
        self.sources[at].blocks.clone()
    }

    pub(super) fn send(&mut self, prompt: Vec<BlockHash>, arrived: Duration) {
        let node = self.rng.random_range(0..self.setup.nodes);
        let now = self.schedule.now();
        let req = PlacementRequest {
            service: &self.service,
            workspace: &self.workspace,
            labels: &self.labels,
            local_zone: &self.zones[node % self.zones.len()],
            prefix: &prompt,
            prompt_tokens: prompt.len() as u64 * BLOCK_TOKENS,
            expected_tokens: ANSWER_TOKENS,
            exclude: &[],
            avoid_zone: None,
            allow_trial: true,
            may_exceed_limit: true,
        };
        let (engine, sent) = if self.setup.chooser == Chooser::Policy {
            let placement = &mut self.placements[node];
            let Ok(choice) = placement.choose(now, &req) else {
                self.report.refused += 1;
                return;
            };
            let sent = placement.start_attempt(now, &choice.upstream, &req);
            (self.ids.iter().position(|id| *id == choice.upstream).unwrap(), sent)
        } else {
            (self.choose_baseline(&prompt), None)
        };
        let call = self.calls.len();
        self.calls.push(Call {
            node,
            engine,
            arrived,
            sent,
            prompt,
            uncached_tokens: 0,
            first_token: Duration::ZERO,
        });
        self.engines[engine].prefill.push_back(call);
        if self.engines[engine].prefill.len() == 1 {
            self.start_prefill(engine);
        }
    }
}

pub(super) fn mix(n: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&n.to_le_bytes())
}

pub(super) fn model_service(name: &ServiceName) -> Service {
    Service {
        name: name.clone(),
        kind: ServiceKind::Model,
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
        region: "ceredigion".parse().unwrap(),
        labels: Labels::default(),
        price_per_hour: 2.0,
        reclaimable: true,
        state: CandidateState::Live,
    }
}
