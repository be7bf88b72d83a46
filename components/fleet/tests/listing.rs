//! Detection of leaving instances by the instance list and the cloud API.

use std::{sync::Arc, time::Duration};

use lycheelatch_fakes::{Fault, MemoryCloud, MemoryInstances, MemoryNet};
use lycheelatch_fleet::{
    Finding, FleetMetrics, LeavingInstances, ListObserver, NoticeSources, ReclaimGossip,
    ReclaimPoller, is_poller,
};
use lycheelatch_prelude::{InstanceId, Sequence};
use lycheelatch_provider::{ListedInstance, ListedState, Purchase, ReclaimNotice};
use tokio::time::{Instant, sleep};

const NODES: usize = 7;

fn instance(i: usize) -> InstanceId {
    format!("i-{i}").parse().unwrap()
}

fn listed(i: usize, state: ListedState) -> ListedInstance {
    ListedInstance {
        instance: instance(i),
        upstream: format!("runner-{i}").parse().unwrap(),
        service: "sack-model".parse().unwrap(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "lima-a".parse().unwrap(),
        region: "lima".parse().unwrap(),
        class: "small".parse().unwrap(),
        purchase: Purchase::Reclaimable,
        state,
        labels: Default::default(),
    }
}

fn live(range: std::ops::Range<usize>) -> Vec<ListedInstance> {
    range.map(|i| listed(i, ListedState::Live)).collect()
}

#[test]
fn observe_gone_without_notice_needs_two_readings() {
    let (now, leaving, mut observer) =
        (Instant::now(), LeavingInstances::new(), ListObserver::new());
    assert!(observer.observe(now, &live(0..8), &leaving).is_empty());
    assert!(observer.observe(now, &live(0..7), &leaving).is_empty());
    assert_eq!(observer.observe(now, &live(0..7), &leaving), [Finding::Gone(instance(7))]);
}

#[test]
fn observe_truncated_list_is_ignored() {
    let (now, leaving, mut observer) =
        (Instant::now(), LeavingInstances::new(), ListObserver::new());
    observer.observe(now, &live(0..8), &leaving);
    for _ in 0..4 {
        assert!(observer.observe(now, &live(0..3), &leaving).is_empty());
    }
}

#[test]
fn observe_lagging_list_does_not_override_a_notice() {
    let (now, leaving, mut observer) =
        (Instant::now(), LeavingInstances::new(), ListObserver::new());
    leaving.mark_leaving(now, &instance(0), Duration::from_secs(3));
    let later = now + Duration::from_secs(30);
    assert!(observer.observe(later, &live(0..4), &leaving).is_empty());
    let much_later = now + Duration::from_secs(90);
    let findings = observer.observe(much_later, &live(0..4), &leaving);
    assert_eq!(findings, [Finding::Staying(instance(0))]);
}

#[test]
fn observe_lagging_list_does_not_override_a_withdrawal() {
    let (now, leaving, mut observer) =
        (Instant::now(), LeavingInstances::new(), ListObserver::new());
    let notice = |sequence, withdrawn| ReclaimNotice {
        sequence: Sequence(sequence),
        instance: instance(0),
        remaining: Duration::from_secs(3),
        withdrawn,
    };
    leaving.apply_notices(now, &[notice(1, false), notice(2, true)]);
    let list = [listed(0, ListedState::Leaving)];
    assert!(observer.observe(now + Duration::from_secs(30), &list, &leaving).is_empty());
    let findings = observer.observe(now + Duration::from_secs(90), &list, &leaving);
    assert!(matches!(&findings[..], [Finding::Leaving { .. }]), "{findings:?}");
}

struct TestCluster {
    net: MemoryNet,
    cloud: MemoryCloud,
    list: MemoryInstances,
    leaving: Vec<LeavingInstances>,
}

/// Starts nodes that poll the same cloud API and instance list.
fn start() -> TestCluster {
    let cluster = TestCluster {
        net: MemoryNet::new(),
        cloud: MemoryCloud::new(Vec::new()),
        list: MemoryInstances::new(Duration::from_secs(5)),
        leaving: (0..NODES).map(|_| LeavingInstances::new()).collect(),
    };
    for (i, leaving) in cluster.leaving.iter().enumerate() {
        let zone = format!("lima-{}", i % 2).parse().unwrap();
        let id = format!("node-{i}").parse().unwrap();
        let link = cluster.net.join(id, zone, "lima".parse().unwrap());
        let gossip = ReclaimGossip::new(leaving.clone(), link);
        let sources = NoticeSources {
            cloud: Some(Arc::new(cluster.cloud.clone())),
            list: Arc::new(cluster.list.clone()),
        };
        let metrics = FleetMetrics::new(&prometheus::Registry::new()).unwrap();
        let poller = ReclaimPoller::new(sources, leaving.clone(), gossip.clone(), metrics);
        actix::spawn(async move { poller.run().await });
        actix::spawn(async move { gossip.run().await });
    }
    cluster
}

#[actix::test]
async fn run_notice_reaches_every_node_within_a_second() {
    tokio::time::pause();
    let cluster = start();
    sleep(Duration::from_secs(30)).await;
    cluster.cloud.reclaim(&instance(0), Duration::from_secs(3));
    sleep(Duration::from_secs(1)).await;
    assert!(cluster.leaving.iter().all(|leaving| leaving.is_leaving(&instance(0))));
    cluster.cloud.withdraw(&instance(0));
    sleep(Duration::from_secs(1)).await;
    assert!(cluster.leaving.iter().all(|leaving| !leaving.is_leaving(&instance(0))));
}

#[actix::test]
async fn run_unresponsive_cloud_is_covered_by_the_list() {
    tokio::time::pause();
    let cluster = start();
    cluster.list.set(live(0..8));
    sleep(Duration::from_secs(30)).await;
    cluster.cloud.faults.set_default(Fault::Silent);
    cluster.list.set(live(0..7));
    sleep(Duration::from_secs(20)).await;
    assert!(cluster.leaving.iter().all(|leaving| leaving.is_leaving(&instance(7))));
    assert!(cluster.leaving.iter().all(|leaving| leaving.len() == 1));
}

#[actix::test]
async fn is_poller_selects_two_nodes_per_zone() {
    let net = MemoryNet::new();
    let links: Vec<_> = (0..390)
        .map(|i| {
            let zone = format!("zone-{}", i % 6).parse().unwrap();
            net.join(format!("node-{i}").parse().unwrap(), zone, "lima".parse().unwrap())
        })
        .collect();
    let members = links[0].members();
    let pollers = links.iter().filter(|link| is_poller(link.local(), &members)).count();
    assert_eq!(pollers, 12);
}
