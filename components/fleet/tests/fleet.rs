//! Fleet tasks of several nodes with an in-memory platform, on a paused clock.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lycheelatch_config::{CurrentConfig, Service, Snapshot};
use lycheelatch_fakes::{
    Fault, MemoryCloud, MemoryEngine, MemoryEngineConfig, MemoryInstances, MemoryKv, MemoryNet,
    MemoryWeights,
};
use lycheelatch_fleet::{
    DemandSource, EngineDirectory, Fleet, FleetDeps, LeavingInstances, Runner,
};
use lycheelatch_prelude::{Revision, ServiceName, UpstreamId};
use lycheelatch_provider::{Offer, Purchase, WeightInfo};
use lycheelatch_upstream::{Engine, OrderKind};
use serde_json::json;
use tokio::time::sleep;

const SERVICE: &str = "gwehydd-llm";
const RUNNERS: usize = 8;
const ZONES: [&str; 4] = ["aberteifi", "llechryd", "cenarth", "aberporth"];

struct Runners(BTreeMap<UpstreamId, (Runner, MemoryEngine)>);

impl EngineDirectory for Runners {
    fn engine(&self, upstream: &UpstreamId) -> Option<Arc<dyn Engine>> {
        let (_, engine) = self.0.get(upstream)?;
        Some(Arc::new(engine.clone()))
    }

    fn runners(&self, _service: &ServiceName) -> Vec<Runner> {
        self.0.values().map(|(runner, _)| runner.clone()).collect()
    }
}

struct FixedDemand(f64);

impl DemandSource for FixedDemand {
    fn units_per_second(&self, _service: &ServiceName) -> Option<f64> {
        Some(self.0)
    }
}

struct TestCluster {
    kv: MemoryKv,
    cloud: MemoryCloud,
    config: Arc<CurrentConfig>,
    runners: Arc<Runners>,
    net: MemoryNet,
}

fn service(version: &str, checks_fences: bool) -> Service {
    serde_json::from_value(json!({
        "name": SERVICE,
        "kind": "model",
        "checks_fences": checks_fences,
        "model": { "model": "rush-7b", "version": version },
        "fleet": {
            "classes": [{ "class": "small", "units_per_second": 1000.0 }],
            "min_instances": 2,
            "max_instances": 40,
        },
    }))
    .unwrap()
}

impl TestCluster {
    fn new(checks_fences: bool) -> TestCluster {
        let speed = MemoryEngineConfig { checks_fences, ..MemoryEngineConfig::default() };
        let runner = |i: usize| {
            let runner = Runner {
                upstream: format!("runner-{i}").parse().unwrap(),
                instance: format!("i-{i}").parse().unwrap(),
                zone: ZONES[i % 4].parse().unwrap(),
                room_tokens: 100_000,
                room_streams: 32,
                prefill_tokens_per_second: 20_000,
                export_bytes_per_second: 1_000_000_000,
            };
            (runner.upstream.clone(), (runner, MemoryEngine::new(speed.clone())))
        };
        let cluster = TestCluster {
            kv: MemoryKv::new(),
            cloud: MemoryCloud::new(offers()),
            config: Arc::new(CurrentConfig::new()),
            runners: Arc::new(Runners((0..RUNNERS).map(runner).collect())),
            net: MemoryNet::new(),
        };
        cluster.apply(1, service("v1", checks_fences));
        cluster
    }

    fn apply(&self, revision: u64, service: Service) {
        let services = BTreeMap::from([(service.name.clone(), service)]);
        let revision = Revision(revision);
        assert!(self.config.advance(Snapshot { revision, services, ..Snapshot::default() }));
    }

    fn start(&self, i: usize) -> Fleet {
        let id = format!("node-{i}").parse().unwrap();
        let link = self.net.join(id, ZONES[i % 4].parse().unwrap(), "ceredigion".parse().unwrap());
        let weights = MemoryWeights::new();
        weights.add(WeightInfo {
            model: "rush-7b".parse().unwrap(),
            version: "v1".parse().unwrap(),
            bytes: 14_000_000_000,
            store_bytes_per_second: 4_000_000_000,
        });
        let deps = FleetDeps {
            kv: Arc::new(self.kv.clone()),
            cloud: Some(Arc::new(self.cloud.clone())),
            list: Arc::new(MemoryInstances::new(Duration::ZERO)),
            weights: Some(Arc::new(weights)),
            link,
            config: self.config.clone(),
            directory: self.runners.clone(),
            demand: Some(Arc::new(FixedDemand(5_000.0))),
            leaving: LeavingInstances::new(),
        };
        Fleet::start(deps, &prometheus::Registry::new()).unwrap()
    }

    fn engines(&self) -> impl Iterator<Item = &MemoryEngine> {
        self.runners.0.values().map(|(_, engine)| engine)
    }

    fn versions(&self) -> Vec<String> {
        let last = |engine: &MemoryEngine| match engine.orders().last().map(|o| o.kind.clone()) {
            Some(OrderKind::Models { models, .. }) => models[0].version.to_string(),
            _ => "none".to_owned(),
        };
        self.engines().map(last).collect()
    }

    fn orders(&self) -> usize {
        self.engines().map(|engine| engine.orders().len()).sum()
    }
}

fn offers() -> Vec<Offer> {
    let offer = |zone: &&str| Offer {
        zone: zone.parse().unwrap(),
        class: "small".parse().unwrap(),
        purchase: Purchase::Reclaimable,
        price_per_hour: 0.35,
    };
    ZONES.iter().map(offer).collect()
}

#[actix::test]
async fn fleet_loads_the_model_on_every_runner() {
    tokio::time::pause();
    let cluster = TestCluster::new(true);
    let _fleets: Vec<_> = (0..7).map(|i| cluster.start(i)).collect();
    sleep(Duration::from_secs(900)).await;
    assert_eq!(cluster.versions(), vec!["v1"; RUNNERS]);
    let sent = cluster.orders();
    sleep(Duration::from_secs(900)).await;
    assert_eq!(cluster.orders(), sent, "orders are repeated without need");
}

#[actix::test]
async fn fleet_replaces_a_version_gradually() {
    tokio::time::pause();
    let cluster = TestCluster::new(true);
    let _fleets: Vec<_> = (0..3).map(|i| cluster.start(i)).collect();
    sleep(Duration::from_secs(900)).await;
    cluster.apply(2, service("v2", true));
    sleep(Duration::from_secs(15)).await;
    let changed = cluster.versions().iter().filter(|version| *version == "v2").count();
    assert!((1..=RUNNERS / 4).contains(&changed), "{changed} changed at once");
    sleep(Duration::from_secs(1_800)).await;
    assert_eq!(cluster.versions(), vec!["v2"; RUNNERS]);
}

#[actix::test]
async fn fleet_starts_elsewhere_when_a_zone_refuses() {
    tokio::time::pause();
    let cluster = TestCluster::new(true);
    cluster.cloud.refuse_zones(vec![ZONES[0].parse().unwrap()]);
    let _fleets: Vec<_> = (0..7).map(|i| cluster.start(i)).collect();
    sleep(Duration::from_secs(120)).await;
    let instances = cluster.cloud.peek();
    for zone in &ZONES[1..] {
        let left = instances.iter().filter(|i| i.zone.as_str() != *zone).count();
        assert!(left >= 5, "{left} are left without {zone}");
    }
    assert!(instances.iter().all(|i| i.zone.as_str() != ZONES[0]));
    assert!(cluster.cloud.refusals() < 20, "{} refusals", cluster.cloud.refusals());
}

#[actix::test]
async fn fleet_lost_responses_start_no_instance_twice() {
    tokio::time::pause();
    let (baseline, cluster) = (TestCluster::new(true), TestCluster::new(true));
    let _baseline: Vec<_> = (0..3).map(|i| baseline.start(i)).collect();
    let faults = [Fault::None, Fault::None, Fault::LoseResponse];
    cluster.cloud.faults.script(faults.iter().cycle().take(60).copied());
    let _fleets: Vec<_> = (0..3).map(|i| cluster.start(i)).collect();
    sleep(Duration::from_secs(300)).await;
    assert_eq!(cluster.cloud.started(), baseline.cloud.started());
}

#[actix::test]
async fn release_shards_lets_another_node_hold() {
    tokio::time::pause();
    let cluster = TestCluster::new(false);
    let mut fleets: Vec<_> = (0..3).map(|i| cluster.start(i)).collect();
    sleep(Duration::from_secs(900)).await;
    for fleet in fleets.drain(..2) {
        fleet.release_shards().await;
    }
    cluster.net.set_state(&"node-0".parse().unwrap(), lycheelatch_peers::MemberState::Dead);
    cluster.net.set_state(&"node-1".parse().unwrap(), lycheelatch_peers::MemberState::Dead);
    cluster.apply(2, service("v2", false));
    sleep(Duration::from_secs(1_800)).await;
    assert_eq!(cluster.versions(), vec!["v2"; RUNNERS]);
    for engine in cluster.engines() {
        assert!(engine.orders().iter().map(|order| order.fence).is_sorted());
    }
}

#[actix::test]
async fn fleet_sends_no_orders_during_an_outage() {
    tokio::time::pause();
    let cluster = TestCluster::new(true);
    let _fleets: Vec<_> = (0..3).map(|i| cluster.start(i)).collect();
    sleep(Duration::from_secs(900)).await;
    cluster.kv.faults.set_default(Fault::Refuse);
    sleep(Duration::from_secs(30)).await;
    let (sent, started) = (cluster.orders(), cluster.cloud.started());
    cluster.apply(2, service("v2", true));
    sleep(Duration::from_secs(3_600)).await;
    assert_eq!((cluster.orders(), cluster.cloud.started()), (sent, started));
    cluster.kv.faults.clear();
    sleep(Duration::from_secs(1_800)).await;
    assert_eq!(cluster.versions(), vec!["v2"; RUNNERS]);
}

/// Maximum rate of reads and writes to the key-value service for one shard.
const MAX_CALLS_PER_SECOND: f64 = 1.0;

#[actix::test]
async fn fleet_call_rate_stays_low_with_many_nodes() {
    tokio::time::pause();
    for nodes in [3, 24] {
        let cluster = TestCluster::new(true);
        let _fleets: Vec<_> = (0..nodes).map(|i| cluster.start(i)).collect();
        sleep(Duration::from_secs(900)).await;
        let before = cluster.kv.calls();
        sleep(Duration::from_secs(600)).await;
        let after = cluster.kv.calls();
        let calls = after.reads + after.writes - before.reads - before.writes;
        assert!(calls as f64 / 600.0 < MAX_CALLS_PER_SECOND, "{calls} at {nodes} nodes");
    }
}
