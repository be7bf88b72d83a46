//! Streams move between nodes over real links.

mod bench;

use std::{rc::Rc, sync::Arc, time::Duration};

use bench::{Caller, StreamEnd, TestCluster, TestNode};
use futures_util::future::{join, join_all};
use lycheelatch_peers::{
    CertificateAuthority, IdentityCheck, MemberState, PeerLink, PeersConfig, QuicLink,
};
use lycheelatch_prelude::Name;
use tokio::time::{Instant, timeout};

const INTERVAL: Duration = Duration::from_millis(5);
const NOTICE: Duration = Duration::from_millis(1500);
const STREAMS: usize = 20;

/// Longest wait for anything here.
const LIMIT: Duration = Duration::from_secs(30);

struct LinkedNode {
    node: Rc<TestNode>,
    link: Arc<QuicLink>,
}

/// Starts nodes that all know one another.
async fn linked_nodes(bench: &TestCluster, names: &[&str]) -> Vec<LinkedNode> {
    let cluster: Name = "cusco".parse().unwrap();
    let authority = CertificateAuthority::generate(&cluster, 1).unwrap();
    let mut nodes: Vec<LinkedNode> = Vec::new();
    for name in names {
        let id: lycheelatch_prelude::NodeId = name.parse().unwrap();
        let issued = authority.issue(&id, 1).unwrap();
        let cfg = PeersConfig {
            node: id.clone(),
            cluster: cluster.clone(),
            bind: "127.0.0.1:0".parse().unwrap(),
            advertise: None,
            zone: "lima-a".parse().unwrap(),
            region: "lima".parse().unwrap(),
            seeds: nodes.iter().filter_map(|node| node.link.local_addr()).collect(),
            tls: authority.tls(&issued),
            identity: IdentityCheck::default(),
        };
        let link = QuicLink::start(cfg, &prometheus::Registry::new()).await.unwrap();
        let node = bench.node_on(id, link.clone() as Arc<dyn PeerLink>).await;
        nodes.push(LinkedNode { node, link });
    }
    for node in &nodes {
        let mut members = node.link.watch_members();
        let knows_all = members.wait_for(|members| {
            let others = members.0.values().filter(|member| member.id != node.node.id);
            others.filter(|member| member.state == MemberState::Alive).count() == names.len() - 1
        });
        timeout(LIMIT, knows_all).await.expect("the nodes find one another").unwrap();
    }
    nodes
}

/// Reads a stream at the first node, and goes on at the second one until it is whole.
async fn read_on(id: String, first: Rc<TestNode>, second: Rc<TestNode>) -> Caller {
    let mut caller = Caller::new(&id, 400);
    let mut ending = caller.send(&first).await;
    while ending != StreamEnd::Whole {
        ending = caller.resume(&second).await;
    }
    caller
}

#[actix::test]
async fn stream_left_is_taken_up_over_a_real_link() {
    let bench = TestCluster::new(2, INTERVAL);
    let nodes = linked_nodes(&bench, &["a", "b"]).await;
    let mut caller = Caller::new("r-1", 40);
    caller.disconnect_after = Some(15);
    assert_eq!(caller.send(&nodes[0].node).await, StreamEnd::Disconnected);
    caller.disconnect_after = None;
    assert_eq!(caller.resume(&nodes[1].node).await, StreamEnd::Whole);
    assert!(caller.is_exact(), "{:?}", caller.ids);
}

#[actix::test]
async fn stop_hands_streams_over_real_links() {
    let bench = TestCluster::new(2, INTERVAL);
    let nodes = linked_nodes(&bench, &["a", "b", "c"]).await;
    let readers = (0..STREAMS)
        .map(|n| read_on(format!("r-{n}"), nodes[0].node.clone(), nodes[1].node.clone()));
    let stopping = async {
        // The stop begins when a stream that started last has ten tokens.
        let mut first = Caller::new("r-first", 400);
        first.disconnect_after = Some(10);
        assert_eq!(first.send(&nodes[0].node).await, StreamEnd::Disconnected);
        let (proxy, ends) = (&nodes[0].node.proxy, Instant::now() + NOTICE);
        proxy.start_leaving();
        nodes[0].link.leave().await;
        proxy.stop_accepting();
        let report = proxy.hand_over(ends).await;
        nodes[0].link.shutdown().await;
        (report, proxy.open_requests())
    };
    let all = timeout(LIMIT, join(join_all(readers), stopping)).await;
    let (callers, (report, open)) = all.expect("every stream ends");
    assert!(callers.iter().all(Caller::is_exact), "a token was lost or repeated");
    // The stream that its caller left is handed over, too.
    assert_eq!((report.handed_over, report.lost, open), (STREAMS + 1, 0, 0));
}
