//! A reclaim wave in one of four availability zones, under load, on a paused clock.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use lycheelatch_fakes::{
    MemoryCloud, MemoryEngine, MemoryEngineConfig, MemoryInstances, MemoryNet, memory_prompt_hash,
    memory_prompt_token_count, memory_token_text,
};
use lycheelatch_fleet::{
    EngineDirectory, Evacuation, FleetMetrics, Item, LeavingInstances, MovableStream,
    NoticeSources, ReclaimGossip, ReclaimPoller, RelayDeps, Runner, StreamInfo, Streams,
    best_subset, total_value,
};
use lycheelatch_prelude::{InstanceId, Priority, RequestId, ServiceName, UpstreamId};
use lycheelatch_upstream::{Engine, EngineRequest, StreamEvent};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep, sleep_until};

const NODES: usize = 7;
const RUNNERS: usize = 9;
const ZONES: [&str; 4] = ["aberteifi", "llechryd", "cenarth", "aberporth"];

/// Maximum number of streams on one runner.
const MAX_STREAMS: u32 = 64;

/// KV cache capacity of one runner, in tokens.
const CACHE_TOKENS: u64 = 400_000;

/// Parameters of a reclaim wave.
#[derive(Debug, Clone)]
pub(crate) struct Wave {
    /// Seed of the load.
    pub seed: u64,
    /// Notice given by the cloud.
    pub notice: Duration,
    /// KV cache export rate of a runner, in bytes per second.
    pub export_bytes_per_second: u64,
    /// Whether streams may be moved with their KV cache.
    pub allows_moves: bool,
    /// Request rate over all nodes, in requests per second.
    pub requests_per_second: f64,
    /// Maximum error of the expected response length, in percent in either direction.
    pub length_error_percent: u64,
    /// Second zone to be reclaimed, and the delay after the first one.
    pub second: Option<(usize, Duration)>,
    /// Percentage of exports and imports that fail.
    pub failing_percent: u32,
}

impl Default for Wave {
    fn default() -> Wave {
        Wave {
            seed: 1,
            notice: Duration::from_secs(3),
            export_bytes_per_second: 800_000_000,
            allows_moves: true,
            requests_per_second: 20.0,
            length_error_percent: 20,
            second: None,
            failing_percent: 0,
        }
    }
}

/// Result of a reclaim wave.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// Number of accepted requests.
    pub accepted: u64,
    /// Number of requests whose response was incomplete.
    pub lost: u64,
    /// Number of tokens that were repeated, out of order or wrong.
    pub wrong_tokens: u64,
    /// Number of recomputed tokens.
    pub recomputed: u64,
    /// Number of tokens recomputed if every stream on the leaving runners were resumed.
    pub all_recomputed: u64,
    /// Minimum number of recomputed tokens, given the exact length of every response.
    pub oracle: u64,
    /// Number of streams on the leaving runners at the time of the notice.
    pub affected: u64,
    /// Number of new requests sent to a leaving runner more than a second after the notice.
    pub late_requests: u64,
    /// Longest gap between two tokens of any response, in milliseconds.
    pub longest_gap_ms: u64,
}

struct TestCluster {
    engines: BTreeMap<UpstreamId, (Runner, MemoryEngine)>,
}

impl EngineDirectory for TestCluster {
    fn engine(&self, upstream: &UpstreamId) -> Option<Arc<dyn Engine>> {
        let (_, engine) = self.engines.get(upstream)?;
        Some(Arc::new(engine.clone()))
    }

    fn runners(&self, _service: &ServiceName) -> Vec<Runner> {
        let with_room = |(runner, engine): &(Runner, MemoryEngine)| Runner {
            room_streams: MAX_STREAMS.saturating_sub(engine.running() as u32),
            ..runner.clone()
        };
        self.engines.values().map(with_room).collect()
    }
}

struct Node {
    leaving: LeavingInstances,
    deps: RelayDeps,
}

/// A running request, as input for the oracle.
#[derive(Clone)]
struct LiveRequest {
    upstream: UpstreamId,
    prompt_tokens: u64,
    generated: u64,
    length: u64,
}

#[derive(Default)]
struct Recorder {
    outcome: Outcome,
    live: BTreeMap<RequestId, LiveRequest>,
}

/// Simulates one wave; must be called on a paused clock.
pub(crate) async fn run(wave: &Wave) -> Outcome {
    let cluster = Arc::new(build_cluster(wave));
    let cloud = MemoryCloud::new(Vec::new());
    let nodes = build_nodes(&cluster, &cloud);
    let recorder = Rc::new(RefCell::new(Recorder::default()));
    let at = Instant::now() + Duration::from_secs(25);
    let load = actix::spawn(generate_load(wave.clone(), cluster.clone(), nodes, recorder.clone()));
    sleep_until(at).await;
    record_wave_start(wave, &cluster, &recorder);
    reclaim_zone(wave, &cluster, &cloud, 0);
    if let Some((zone, after)) = wave.second {
        sleep(after).await;
        reclaim_zone(wave, &cluster, &cloud, zone);
    }
    tokio::time::timeout(Duration::from_secs(300), load).await.unwrap().unwrap();
    let mut outcome = recorder.borrow().outcome.clone();
    let engines = || cluster.engines.values().map(|(_, engine)| engine);
    outcome.recomputed = engines().map(MemoryEngine::recomputed_tokens).sum();
    outcome.late_requests = late_requests(&cluster, 0, at);
    if let Some((zone, after)) = wave.second {
        outcome.late_requests += late_requests(&cluster, zone, at + after);
    }
    outcome
}

fn build_cluster(wave: &Wave) -> TestCluster {
    let speed = MemoryEngineConfig {
        export_bytes_per_second: wave.export_bytes_per_second,
        ..MemoryEngineConfig::default()
    };
    let mut rng = StdRng::seed_from_u64(wave.seed);
    let build = |i: usize| {
        let runner = Runner {
            upstream: format!("runner-{i}").parse().unwrap(),
            instance: format!("i-{i}").parse().unwrap(),
            zone: ZONES[i % ZONES.len()].parse().unwrap(),
            room_tokens: CACHE_TOKENS,
            room_streams: MAX_STREAMS,
            prefill_tokens_per_second: speed.prefill_tokens_per_second,
            export_bytes_per_second: if wave.allows_moves {
                wave.export_bytes_per_second
            } else {
                1
            },
        };
        let engine = MemoryEngine::new(speed.clone());
        for faults in [&engine.export_faults, &engine.import_faults] {
            let fails = |rng: &mut StdRng| rng.random_ratio(wave.failing_percent, 100);
            let fault = |rng: &mut StdRng| match fails(rng) {
                true => lycheelatch_fakes::Fault::Refuse,
                false => lycheelatch_fakes::Fault::None,
            };
            faults.script((0..500).map(|_| fault(&mut rng)));
        }
        (runner.upstream.clone(), (runner, engine))
    };
    TestCluster { engines: (0..RUNNERS).map(build).collect() }
}

fn build_nodes(cluster: &Arc<TestCluster>, cloud: &MemoryCloud) -> Vec<Node> {
    let net = MemoryNet::new();
    let links: Vec<_> = (0..NODES)
        .map(|i| {
            let id = format!("node-{i}").parse().unwrap();
            net.join(id, ZONES[i % 4].parse().unwrap(), "ceredigion".parse().unwrap())
        })
        .collect();
    let list = Arc::new(MemoryInstances::new(Duration::from_secs(30)));
    let build = |link: Arc<dyn lycheelatch_peers::PeerLink>| {
        let leaving = LeavingInstances::new();
        let gossip = ReclaimGossip::new(leaving.clone(), link.clone());
        let sources = NoticeSources { cloud: Some(Arc::new(cloud.clone())), list: list.clone() };
        let metrics = FleetMetrics::new(&prometheus::Registry::new()).unwrap();
        let poller = ReclaimPoller::new(sources, leaving.clone(), gossip.clone(), metrics);
        let streams = Streams::new();
        let directory: Arc<dyn EngineDirectory> = cluster.clone();
        let coordinator = gossip.coordinator();
        let evacuation =
            Evacuation::new(leaving.clone(), streams.clone(), directory.clone(), link, coordinator);
        actix::spawn(async move { poller.run().await });
        actix::spawn(async move { gossip.run().await });
        actix::spawn(async move { evacuation.run().await });
        Node { deps: RelayDeps { directory, leaving: leaving.clone(), streams }, leaving }
    };
    links.into_iter().map(build).collect()
}

/// Sends requests until ten seconds after the wave, and waits for all responses.
async fn generate_load(
    wave: Wave,
    cluster: Arc<TestCluster>,
    nodes: Vec<Node>,
    recorder: Rc<RefCell<Recorder>>,
) {
    let mut rng = StdRng::seed_from_u64(wave.seed ^ 0x10ad);
    let ends = Instant::now() + Duration::from_secs(35);
    let mut running = Vec::new();
    let mut number = 0;
    while Instant::now() < ends {
        let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / wave.requests_per_second;
        sleep(Duration::from_secs_f64(gap)).await;
        number += 1;
        let node = &nodes[rng.random_range(0..nodes.len())];
        let Some(runner) = pick_runner(&cluster, node, &mut rng) else {
            continue;
        };
        let request = Request::draw(number, &wave, &mut rng);
        recorder.borrow_mut().outcome.accepted += 1;
        let relay = relay(node.deps.clone(), runner, request, recorder.clone());
        running.push(actix::spawn(relay));
    }
    for relay in running {
        relay.await.unwrap();
    }
}

fn pick_runner(cluster: &TestCluster, node: &Node, rng: &mut StdRng) -> Option<Runner> {
    let staying: Vec<_> = cluster
        .engines
        .values()
        .map(|(runner, _)| runner)
        .filter(|runner| !node.leaving.is_leaving(&runner.instance))
        .collect();
    (!staying.is_empty()).then(|| staying[rng.random_range(0..staying.len())].clone())
}

struct Request {
    id: RequestId,
    prompt: String,
    length: u64,
    expected: u64,
}

impl Request {
    /// Generates a request. Lengths are log-uniform: prompts of 400 to 8,000 tokens and
    /// responses of 40 to 600.
    fn draw(number: u64, wave: &Wave, rng: &mut StdRng) -> Request {
        let mut log_uniform =
            |low: f64, high: f64| rng.random_range(low.ln()..high.ln()).exp() as u64;
        let prompt_tokens = log_uniform(400.0, 8_000.0);
        let length = log_uniform(40.0, 600.0);
        let error = wave.length_error_percent;
        let percent = rng.random_range(100 - error..=100 + error);
        let prompt = format!("{number:>width$}", width = prompt_tokens as usize * 4);
        let id = format!("req-{number}").parse().unwrap();
        Request { id, prompt, length, expected: length * percent / 100 }
    }
}

async fn relay(deps: RelayDeps, runner: Runner, request: Request, recorder: Rc<RefCell<Recorder>>) {
    let prompt_tokens = memory_prompt_token_count(&request.prompt);
    let body = serde_json::json!({ "prompt": request.prompt, "max_tokens": request.length });
    let req = EngineRequest {
        id: request.id.clone(),
        path: "/v1/completions".into(),
        body: Bytes::from(body.to_string()),
        stream: true,
        priority: Priority::Normal,
        timeout: Duration::from_secs(120),
        resume: None,
    };
    let info = StreamInfo {
        request: request.id.clone(),
        service: "gwehydd-llm".parse().unwrap(),
        prompt_tokens,
        expected_tokens: request.expected,
        token_interval: Duration::from_millis(30),
        kv_bytes_per_token: MemoryEngineConfig::default().kv_bytes_per_token,
    };
    let live = LiveRequest {
        upstream: runner.upstream.clone(),
        prompt_tokens,
        generated: 0,
        length: request.length,
    };
    recorder.borrow_mut().live.insert(request.id.clone(), live);
    let answer = read_answer(deps, &runner, req, info, &request, &recorder).await;
    let mut recorder = recorder.borrow_mut();
    recorder.live.remove(&request.id);
    if answer != Some(request.length) {
        recorder.outcome.lost += 1;
    }
}

/// Reads a response to its end and returns its length, or `None` if the stream broke.
async fn read_answer(
    deps: RelayDeps,
    runner: &Runner,
    req: EngineRequest,
    info: StreamInfo,
    request: &Request,
    recorder: &Rc<RefCell<Recorder>>,
) -> Option<u64> {
    let mut stream =
        MovableStream::open(deps, &runner.upstream, &runner.instance, req, info).await.ok()?;
    let tag = memory_prompt_hash(&request.prompt);
    let (mut count, mut last) = (0, None::<Instant>);
    loop {
        let event = stream.next().await.ok()?;
        let StreamEvent::Token { text, .. } = event else {
            return Some(count);
        };
        let mut recorder = recorder.borrow_mut();
        if text != memory_token_text(tag, count) {
            recorder.outcome.wrong_tokens += 1;
        }
        let gap = last.map_or(Duration::ZERO, |last| last.elapsed()).as_millis() as u64;
        recorder.outcome.longest_gap_ms = recorder.outcome.longest_gap_ms.max(gap);
        last = Some(Instant::now());
        count += 1;
        let live = recorder.live.get_mut(&request.id)?;
        live.generated = count;
        live.upstream = stream.upstream().clone();
    }
}

fn in_zone(cluster: &TestCluster, zone: usize) -> Vec<(Runner, MemoryEngine)> {
    let is_there = |(runner, _): &&(Runner, MemoryEngine)| runner.zone.as_str() == ZONES[zone];
    cluster.engines.values().filter(is_there).cloned().collect()
}

fn record_wave_start(wave: &Wave, cluster: &TestCluster, recorder: &Rc<RefCell<Recorder>>) {
    let mut recorder = recorder.borrow_mut();
    for (runner, _) in in_zone(cluster, 0) {
        let on_runner: Vec<LiveRequest> = recorder
            .live
            .values()
            .filter(|live| live.upstream == runner.upstream)
            .cloned()
            .collect();
        recorder.outcome.affected += on_runner.len() as u64;
        let cost = |live: &LiveRequest| live.prompt_tokens + live.generated;
        recorder.outcome.all_recomputed += on_runner.iter().map(cost).sum::<u64>();
        recorder.outcome.oracle += oracle(wave, &on_runner);
    }
}

/// Returns the minimum number of recomputed tokens, given all lengths and the whole notice.
fn oracle(wave: &Wave, on_runner: &[LiveRequest]) -> u64 {
    let speed = MemoryEngineConfig::default();
    let ends = |live: &&LiveRequest| {
        speed.token_interval * (live.length - live.generated) as u32 <= wave.notice
    };
    let items: Vec<Item> = on_runner
        .iter()
        .filter(|live| !ends(live))
        .map(|live| {
            let tokens = live.prompt_tokens + live.generated;
            let bytes = tokens * speed.kv_bytes_per_token;
            let secs = bytes as f64 / wave.export_bytes_per_second as f64;
            Item { weight: speed.export_overhead.as_secs_f64() + secs, value: tokens }
        })
        .collect();
    let chosen = best_subset(&items, wave.notice.as_secs_f64());
    items.iter().map(|item| item.value).sum::<u64>() - total_value(&items, &chosen)
}

fn reclaim_zone(wave: &Wave, cluster: &TestCluster, cloud: &MemoryCloud, zone: usize) {
    for (runner, engine) in in_zone(cluster, zone) {
        cloud.reclaim(&runner.instance, wave.notice);
        let notice = wave.notice;
        actix::spawn(async move {
            sleep(notice).await;
            engine.kill();
        });
    }
}

fn late_requests(cluster: &TestCluster, zone: usize, at: Instant) -> u64 {
    let late_count = |engine: MemoryEngine| {
        let started = engine.started();
        started.iter().filter(|s| s.at > at + Duration::from_secs(1)).count() as u64
    };
    in_zone(cluster, zone).into_iter().map(|(_, engine)| late_count(engine)).sum()
}

/// Returns the instance of a runner, for tests that reclaim single instances.
#[allow(dead_code)]
pub(crate) fn instance_of(i: usize) -> InstanceId {
    format!("i-{i}").parse().unwrap()
}
