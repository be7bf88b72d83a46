//! A placement with many engines, to benchmark single decisions.

use lycheelatch_config::{Effect, PlacementRule, Service, ServiceKind, ServiceLimits};
use lycheelatch_policy::{BlockHash, Candidate, CandidateState, Placement, PlacementRequest};
use lycheelatch_prelude::{Labels, ServiceName, UpstreamId, WorkspaceName, ZoneName};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

/// Availability zones.
const ZONES: [&str; 6] = ["a-1", "a-2", "a-3", "b-1", "b-2", "b-3"];

/// A placement with many engines, and prompts to place.
pub struct Fleet {
    pub placement: Placement,
    pub service: ServiceName,
    pub workspace: WorkspaceName,
    pub zone: ZoneName,
    pub labels: Labels,
    pub prompts: Vec<Vec<BlockHash>>,
    pub now: Instant,
}

impl Fleet {
    /// Creates a fleet of `engines` engines with one `require` rule and one `prefer` rule.
    pub fn new(engines: usize) -> Fleet {
        let now = Instant::now();
        let service: ServiceName = "sack-model".parse().unwrap();
        let config = Service {
            name: service.clone(),
            kind: ServiceKind::Model,
            limits: ServiceLimits::default(),
            latency: Default::default(),
            model: None,
            checks_fences: false,
            fleet: None,
        };
        let mut placement = Placement::new(1);
        placement.set_service(
            &config,
            vec![
                rule("require-tier", "tier=gold", Effect::Require),
                rule("prefer-near", "side=near", Effect::Prefer),
            ],
        );
        for n in 0..engines {
            placement.put(now, &service, candidate(n));
        }
        let mut rng = SmallRng::seed_from_u64(1);
        let prompts = (0..2000).map(|_| (0..16).map(|_| BlockHash(rng.random())).collect());
        Fleet {
            placement,
            service,
            workspace: "cusco".parse().unwrap(),
            zone: ZONES[0].parse().unwrap(),
            labels: Labels::default(),
            prompts: prompts.collect(),
            now,
        }
    }

    /// Places a prompt and returns the chosen engine. If `send` is set, the prompt is also recorded
    /// as sent and then abandoned.
    pub fn place(&mut self, prompt: usize, send: bool) -> UpstreamId {
        let prefix = &self.prompts[prompt % self.prompts.len()];
        let req = PlacementRequest {
            service: &self.service,
            workspace: &self.workspace,
            labels: &self.labels,
            local_zone: &self.zone,
            prefix,
            prompt_tokens: prefix.len() as u64 * 256,
            expected_tokens: 276,
            exclude: &[],
            avoid_zone: None,
            allow_trial: true,
            may_exceed_limit: false,
        };
        let choice = self.placement.choose(self.now, &req).unwrap();
        if send && let Some(sent) = self.placement.start_attempt(self.now, &choice.upstream, &req) {
            self.placement.abandon_attempt(sent);
        }
        choice.upstream
    }
}

fn rule(name: &str, upstreams: &str, effect: Effect) -> PlacementRule {
    PlacementRule {
        name: name.parse().unwrap(),
        service: None,
        requests: Default::default(),
        upstreams: upstreams.parse().unwrap(),
        effect,
    }
}

fn candidate(n: usize) -> Candidate {
    let side = if n.is_multiple_of(3) { "far" } else { "near" };
    Candidate {
        id: format!("engine-{n}").parse().unwrap(),
        zone: ZONES[n % ZONES.len()].parse().unwrap(),
        region: if n % ZONES.len() < 3 { "a" } else { "b" }.parse().unwrap(),
        labels: format!("tier=gold,side={side}").parse().unwrap(),
        price_per_hour: 2.0,
        reclaimable: true,
        state: CandidateState::Live,
    }
}
