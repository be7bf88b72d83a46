//! Placement of single requests, and its effect on the time to the first token under load.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use lycheelatch_gateway::{
    Directory, EngineSpec, EngineSpeed, InFlight, Placement, PlacementError, PlacementRequest,
    PrefixChain, Priority, Prompt, PromptPart, ServiceSpec, StoreEra, StoreRevision, Upstream,
    UpstreamEntry, place,
};
use lycheelatch_policy::SpeedSample;
use lycheelatch_prelude::{UpstreamId, ZoneName};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

const ENGINE: EngineSpec =
    EngineSpec { slots: 64, memory_tokens: 590_000, transfer_tokens_per_ms: Some(210.0) };

/// Time after which a prompt sent to an engine can be fetched from it.
const FETCHABLE_AFTER: Duration = Duration::from_secs(1);

const TARGET: Duration = Duration::from_millis(1000);

fn service() -> ServiceSpec {
    ServiceSpec {
        name: "llm".parse().unwrap(),
        connection_limit: 100,
        engine: Some(ENGINE),
        scaling: None,
    }
}

fn zone() -> ZoneName {
    "zone-a".parse().unwrap()
}

fn engines(count: usize) -> Vec<Rc<Upstream>> {
    let directory = Directory::default();
    for at in 0..count {
        let entry = UpstreamEntry {
            id: format!("r-{at}").parse().unwrap(),
            service: "llm".parse().unwrap(),
            address: format!("10.0.0.{}:80", at + 1).parse().unwrap(),
            zone: zone(),
            slots: ENGINE.slots,
            is_ready: true,
            is_reclaimable: true,
            shutdown_in: None,
            started_at_ms: None,
            version: None,
        };
        directory.put(entry, StoreRevision::new(StoreEra(0), 1));
    }
    directory.all()
}

fn chain(shared: u64, shared_tokens: u32, own: u64, own_tokens: u32) -> PrefixChain {
    PrefixChain::from(&Prompt {
        input_tokens: shared_tokens + own_tokens,
        max_output_tokens: 100,
        expected_output_tokens: None,
        parts: vec![
            PromptPart { id: shared, tokens: shared_tokens },
            PromptPart { id: own, tokens: own_tokens },
        ],
    })
}

fn choose(
    chain: &PrefixChain,
    engines: &[Rc<Upstream>],
    now: Instant,
) -> Result<Placement, PlacementError> {
    choose_at(EngineSpeed::default(), chain, engines, now)
}

fn choose_at(
    speed: EngineSpeed,
    chain: &PrefixChain,
    engines: &[Rc<Upstream>],
    now: Instant,
) -> Result<Placement, PlacementError> {
    let (service, zone) = (service(), zone());
    let req = PlacementRequest {
        service: &service,
        speed,
        chain: Some(chain),
        zone: &zone,
        cross_zone_lag: Duration::ZERO,
        all_upstreams: engines,
        tried: &[],
        time_to_target: TARGET,
        priority: Priority(1),
    };
    place(&req, engines, now, 0.5)
}

fn cache_prompt(engine: &Upstream, chain: &PrefixChain, now: Instant) {
    engine.load.borrow_mut().record_prefixes(&chain.links, ENGINE.memory_tokens, now);
}

fn add_load(engine: &Upstream, prefill_tokens: u64) {
    let memory_tokens = prefill_tokens;
    let work = InFlight { requests: 1, prefill_tokens, memory_tokens, shared_tokens: 0 };
    engine.load.borrow_mut().others += work;
}

#[test]
fn place_prefers_the_engine_with_the_prompt_cached() {
    let (engines, now) = (engines(6), Instant::now());
    for at in 0..6 {
        let prompt = chain(at, 13_000, 99, 500);
        cache_prompt(&engines[at as usize], &prompt, now);
        let placement = choose(&chain(at, 13_000, 100, 500), &engines, now).ok().unwrap();
        assert_eq!(placement.upstream.id(), engines[at as usize].id());
        assert_eq!(placement.fetch_from, None);
    }
}

#[test]
fn place_fetches_from_a_busy_engine_with_the_prompt_cached() {
    let (engines, now) = (engines(3), Instant::now());
    let prompt = chain(7, 13_000, 99, 500);
    cache_prompt(&engines[1], &prompt, now);
    add_load(&engines[1], 40_000);
    let later = now + FETCHABLE_AFTER;
    let placement = choose(&chain(7, 13_000, 100, 500), &engines, later).ok().unwrap();
    assert_ne!(placement.upstream.id(), engines[1].id());
    assert_eq!(placement.fetch_from, Some(engines[1].entry.borrow().address));
}

#[test]
fn place_does_not_fetch_during_prefill() {
    let (engines, now) = (engines(3), Instant::now());
    cache_prompt(&engines[1], &chain(7, 13_000, 99, 500), now);
    add_load(&engines[1], 40_000);
    let soon = now + Duration::from_millis(100);
    let placement = choose(&chain(7, 13_000, 100, 500), &engines, soon).ok().unwrap();
    assert_eq!(placement.fetch_from, None);
}

#[test]
fn place_spreads_fetches_over_all_engines_with_the_prompt_cached() {
    let (engines, now) = (engines(8), Instant::now());
    for engine in &engines[..4] {
        cache_prompt(engine, &chain(7, 13_000, 99, 500), now);
        add_load(engine, 40_000);
    }
    let now = now + FETCHABLE_AFTER;
    let mut fetches: HashMap<SocketAddr, u32> = HashMap::new();
    for own in 0..80 {
        let placement = choose(&chain(7, 13_000, 1000 + own, 500), &engines, now).ok().unwrap();
        *fetches.entry(placement.fetch_from.unwrap()).or_default() += 1;
    }
    // An engine runs its transfers one after another, so all engines must take part.
    assert_eq!(fetches.len(), 4, "{fetches:?}");
    assert!(fetches.values().all(|count| *count >= 10), "{fetches:?}");
}

#[test]
fn place_rejects_late_requests_with_a_retry_time() {
    let (engines, now) = (engines(2), Instant::now());
    engines.iter().for_each(|engine| add_load(engine, 100_000));
    let Err(PlacementError::Busy(after)) = choose(&chain(1, 1000, 2, 500), &engines, now) else {
        panic!("two seconds of prefill are queued");
    };
    assert!(after > Duration::from_millis(900) && after < Duration::from_millis(1500), "{after:?}");
}

#[test]
fn place_admits_long_prompts_that_fast_engines_process_in_time() {
    let (engines, now) = (engines(2), Instant::now());
    let long = chain(1, 1000, 2, 80_000);
    let fast = EngineSpeed { first_token_ms: 20.0, prefill_tokens_per_ms: 150.0 };
    let placement = choose_at(fast, &long, &engines, now).ok().unwrap();
    assert!(placement.estimate.unwrap().time_to_first_token < TARGET);
}

#[test]
fn place_admits_a_prompt_that_no_engine_processes_in_time() {
    let (engines, now) = (engines(2), Instant::now());
    let long = chain(1, 1000, 2, 80_000);
    assert!(choose(&long, &engines, now).is_ok(), "waiting would not help it");
    engines.iter().for_each(|engine| add_load(engine, 100_000));
    assert!(choose(&long, &engines, now).is_err(), "waiting helps it");
}

#[test]
fn place_is_the_same_on_all_nodes_for_idle_engines() {
    let now = Instant::now();
    for shared in 0..20 {
        let prompt = chain(shared, 5000, 1, 500);
        let first = choose(&prompt, &engines(9), now).ok().unwrap().upstream.id();
        let second = choose(&prompt, &engines(9), now).ok().unwrap().upstream.id();
        assert_eq!(first, second);
    }
}

#[test]
fn place_prefers_an_engine_of_the_own_zone_if_others_are_too_far() {
    let now = Instant::now();
    let choose_far = |shared: u64| {
        let engines = engines(6);
        for engine in &engines[3..] {
            engine.entry.borrow_mut().zone = "zone-b".parse().unwrap();
        }
        let (service, zone, chain) = (service(), zone(), chain(shared, 5000, 1, 500));
        let req = PlacementRequest {
            service: &service,
            speed: EngineSpeed::default(),
            chain: Some(&chain),
            zone: &zone,
            cross_zone_lag: Duration::from_secs(4),
            all_upstreams: &engines,
            tried: &[],
            time_to_target: TARGET,
            priority: Priority(1),
        };
        place(&req, &engines, now, 0.5).ok().unwrap().upstream.id()
    };
    let mut chosen: HashMap<UpstreamId, u32> = HashMap::new();
    (0..120).for_each(|shared| *chosen.entry(choose_far(shared)).or_default() += 1);
    assert_eq!(chosen.len(), 3, "{chosen:?}");
    assert!(chosen.values().all(|count| *count > 25), "spread over the zone: {chosen:?}");
    assert!((0..10).all(|shared| choose_far(shared) == choose_far(shared)));
}

/// Returns how many requests with prompts that `chain_of` makes an engine has room for at once.
fn room_of_engine(chain_of: impl Fn(u64) -> PrefixChain) -> usize {
    let (engines, now) = (engines(1), Instant::now());
    let has_room = |own: u64| {
        let chain = chain_of(own);
        let mut load = engines[0].load.borrow_mut();
        let estimate = load.estimate(&chain, &ENGINE, EngineSpeed::default(), 0, now);
        load.add_request(&chain, &estimate);
        load.record_prefixes(&chain.links, ENGINE.memory_tokens, now);
        estimate.has_capacity
    };
    (0..1000).take_while(|own| has_room(*own)).count()
}

#[test]
fn estimate_counts_a_shared_prefix_once() {
    let slots = ENGINE.slots as usize;
    assert_eq!(room_of_engine(|own| chain(1, 13_300, 1000 + own, 3720)), slots);
    let by_memory = ENGINE.memory_tokens as usize / (13_300 + 3720 + 100);
    assert_eq!(room_of_engine(|own| chain(2000 + own, 13_300, 1000 + own, 3720)), by_memory);
}

#[test]
fn estimate_has_room_by_slots_for_short_prompts_and_by_memory_for_long_ones() {
    let slots = ENGINE.slots as usize;
    assert_eq!(room_of_engine(|own| chain(1, 350, 1000 + own, 1110)), slots);
    let by_memory = ENGINE.memory_tokens as usize / 40_100;
    assert_eq!(room_of_engine(|own| chain(2000 + own, 100, 1000 + own, 39_900)), by_memory);
}

/// Records that requests took `ratio` times as long as usual at an upstream.
fn observe_speed(upstream: &Upstream, ratio: f64, now: Instant) {
    let sample = SpeedSample { log_ratio: f64::ln(ratio), crowding: 0.0 };
    (0..12).for_each(|_| upstream.speed.borrow_mut().record(sample, 0.0, now));
}

#[test]
fn place_prefers_engines_that_were_learnt_to_be_fast() {
    let (engines, now) = (engines(8), Instant::now());
    engines.iter().for_each(|engine| observe_speed(engine, 1.2, now));
    observe_speed(&engines[5], 0.4, now);
    for shared in 0..20 {
        let placement = choose(&chain(shared, 30_000, 1, 500), &engines, now).ok().unwrap();
        assert_eq!(placement.upstream.id(), engines[5].id());
        assert!(placement.speed.factor < 0.7, "{:?}", placement.speed);
    }
}

#[test]
fn place_leaves_fast_engines_to_long_prompts() {
    let (engines, now) = (engines(8), Instant::now());
    observe_speed(&engines[5], 0.4, now);
    let is_fast = |shared: &u64| {
        let placement = choose(&chain(*shared, 1000, 1, 500), &engines, now).ok().unwrap();
        placement.upstream.id() == engines[5].id()
    };
    assert!((0..40).filter(is_fast).count() < 15, "short prompts are in time anywhere");
}

#[test]
fn place_rejects_by_the_learnt_speed() {
    let (engines, now) = (engines(2), Instant::now());
    engines.iter().for_each(|engine| add_load(engine, 35_000));
    let prompt = chain(1, 1000, 2, 500);
    assert!(choose(&prompt, &engines, now).is_ok());
    engines.iter().for_each(|engine| observe_speed(engine, 3.0, now));
    assert!(choose(&prompt, &engines, now).is_err());
}

/// Returns how often each of some upstreams is chosen for requests that are not prompts.
fn choose_plain(upstreams: &[Rc<Upstream>], now: Instant) -> Vec<u32> {
    let (service, zone) = (service(), zone());
    let req = PlacementRequest {
        service: &service,
        speed: EngineSpeed { first_token_ms: 60.0, prefill_tokens_per_ms: 50.0 },
        chain: None,
        zone: &zone,
        cross_zone_lag: Duration::ZERO,
        all_upstreams: upstreams,
        tried: &[],
        time_to_target: TARGET,
        priority: Priority(1),
    };
    let mut rng = StdRng::seed_from_u64(5);
    let mut counts = vec![0; upstreams.len()];
    for _ in 0..400 {
        let placement = place(&req, upstreams, now, rng.random()).ok().unwrap();
        let id = placement.upstream.id();
        counts[upstreams.iter().position(|up| up.id() == id).unwrap()] += 1;
    }
    counts
}

#[test]
fn place_plain_spreads_equal_upstreams() {
    let counts = choose_plain(&engines(4), Instant::now());
    assert!(counts.iter().all(|count| (70..130).contains(count)), "{counts:?}");
}

#[test]
fn place_plain_tries_an_upstream_of_which_nothing_is_known() {
    let (upstreams, now) = (engines(2), Instant::now());
    observe_speed(&upstreams[1], 0.1, now);
    let counts = choose_plain(&upstreams, now);
    assert!(counts[0] > 120, "{counts:?}");
}

#[test]
fn place_plain_sends_less_to_slow_upstreams_but_tries_them() {
    let (upstreams, now) = (engines(4), Instant::now());
    observe_speed(&upstreams[2], 3.0, now);
    let counts = choose_plain(&upstreams, now);
    assert!(counts[2] < 40, "{counts:?}");
    let later = now + Duration::from_secs(120);
    let counts = choose_plain(&upstreams, later);
    assert!(counts[2] > 60, "what was learnt fades: {counts:?}");
}

/// Placement policy of the simulation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Policy {
    Ours,
    Random,
    FewestRequests,
}

/// Simulated engines: when each completes its prefill queue, and the prompts it has cached.
#[derive(Default)]
struct EngineModel {
    free_at: HashMap<UpstreamId, f64>,
    cached: HashMap<UpstreamId, Vec<u64>>,
}

/// Simulates open-loop arrivals on nine engines; returns the share of requests whose first
/// token meets the target.
fn replay(policy: Policy, per_second: f64) -> f64 {
    let engines = engines(9);
    let mut rng = StdRng::seed_from_u64(7);
    let start = Instant::now();
    let mut model = EngineModel::default();
    let ended: RefCell<Vec<(f64, Rc<Upstream>, InFlight)>> = RefCell::default();
    let (mut at, mut in_time, mut all) = (0.0_f64, 0_u32, 0_u32);
    while at < 60.0 {
        at += -rng.random::<f64>().max(1e-9).ln() / per_second;
        let now = start + Duration::from_secs_f64(at);
        ended.borrow_mut().retain(|(end, engine, work)| {
            let is_running = *end > at;
            if !is_running {
                engine.load.borrow_mut().remove_request(*work);
                engine.running.set(engine.running.get() - 1);
            }
            is_running
        });
        let shared = rng.random_range(0..76);
        let prompt = chain(shared, 13_300, rng.random(), rng.random_range(500..7000));
        all += 1;
        let Some(engine) = pick(policy, &prompt, &engines, now, &mut rng) else { continue };
        let cached = model.cached.entry(engine.id()).or_default();
        let is_cached = cached.contains(&shared);
        cached.retain(|known| *known != shared);
        cached.push(shared);
        let max_cached = 25;
        let surplus = cached.len().saturating_sub(max_cached);
        cached.drain(..surplus);
        let prefill = if is_cached { prompt.input_tokens - 13_300 } else { prompt.input_tokens };
        let free_at = model.free_at.entry(engine.id()).or_default();
        *free_at = free_at.max(at) + f64::from(prefill) / 44_000.0;
        in_time += u32::from(*free_at + 0.03 - at <= TARGET.as_secs_f64());
        let mut load = engine.load.borrow_mut();
        let estimate = load.estimate(&prompt, &ENGINE, EngineSpeed::default(), 0, now);
        let work = load.add_request(&prompt, &estimate);
        load.record_prefixes(&prompt.links, ENGINE.memory_tokens, now);
        drop(load);
        engine.running.set(engine.running.get() + 1);
        ended.borrow_mut().push((*free_at, engine, work));
    }
    f64::from(in_time) / f64::from(all)
}

fn pick(
    policy: Policy,
    prompt: &PrefixChain,
    engines: &[Rc<Upstream>],
    now: Instant,
    rng: &mut StdRng,
) -> Option<Rc<Upstream>> {
    match policy {
        Policy::Ours => choose(prompt, engines, now).ok().map(|placement| placement.upstream),
        Policy::Random => Some(engines[rng.random_range(0..engines.len())].clone()),
        Policy::FewestRequests => engines.iter().min_by_key(|engine| engine.running.get()).cloned(),
    }
}

#[test]
fn place_under_load_beats_the_baselines() {
    // Nine engines prefill 396,000 tokens per second; without caching, 20 requests per second
    // need 340,000.
    let share = |policy| replay(policy, 20.0);
    let (ours, random, fewest) =
        (share(Policy::Ours), share(Policy::Random), share(Policy::FewestRequests));
    assert!(ours > 0.95, "ours {ours:.3}");
    assert!(ours > random + 0.02, "ours {ours:.3}, random {random:.3}");
    assert!(ours >= fewest, "ours {ours:.3}, fewest requests {fewest:.3}");
}
