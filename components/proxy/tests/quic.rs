//! Streams move between nodes over QUIC.

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

/// Time limit for each wait of these tests.
const LIMIT: Duration = Duration::from_secs(30);

struct LinkedNode {
    node: Rc<TestNode>,
    link: Arc<QuicLink>,
}

/// Starts nodes and waits until each sees all others as alive.
async fn start_linked_nodes(cluster: &TestCluster, names: &[&str]) -> Vec<LinkedNode> {
    let cluster_name: Name = "cusco".parse().unwrap();
    let authority = CertificateAuthority::generate(&cluster_name, 1).unwrap();
    let mut nodes: Vec<LinkedNode> = Vec::new();
    for name in names {
        let id: lycheelatch_prelude::NodeId = name.parse().unwrap();
        let issued = authority.issue(&id, 1).unwrap();
        let cfg = PeersConfig {
            node: id.clone(),
            cluster: cluster_name.clone(),
            bind: "127.0.0.1:0".parse().unwrap(),
            advertise: None,
            zone: "lima-a".parse().unwrap(),
            region: "lima".parse().unwrap(),
            seeds: nodes.iter().filter_map(|node| node.link.local_addr()).collect(),
            tls: authority.tls(&issued),
            identity: IdentityCheck::default(),
        };
        let link = QuicLink::start(cfg, &prometheus::Registry::new()).await.unwrap();
        let node = cluster.node_on(id, link.clone() as Arc<dyn PeerLink>).await;
        nodes.push(LinkedNode { node, link });
    }
    for node in &nodes {
        let mut members = node.link.watch_members();
        let sees_all = members.wait_for(|members| {
            let others = members.0.values().filter(|member| member.id != node.node.id);
            others.filter(|member| member.state == MemberState::Alive).count() == names.len() - 1
        });
        timeout(LIMIT, sees_all).await.expect("the nodes discover each other").unwrap();
    }
    nodes
}

/// Reads a stream from the first node and resumes it on the second until it is complete.
async fn read_to_end(id: String, first: Rc<TestNode>, second: Rc<TestNode>) -> Caller {
    let mut caller = Caller::new(&id, 400);
    let mut ending = caller.send(&first).await;
    while ending != StreamEnd::Whole {
        ending = caller.resume(&second).await;
    }
    caller
}

#[actix::test]
async fn stream_resumes_on_other_node_over_quic() {
    let cluster = TestCluster::new(2, INTERVAL);
    let nodes = start_linked_nodes(&cluster, &["a", "b"]).await;
    let mut caller = Caller::new("r-1", 40);
    caller.disconnect_after = Some(15);
    assert_eq!(caller.send(&nodes[0].node).await, StreamEnd::Disconnected);
    caller.disconnect_after = None;
    assert_eq!(caller.resume(&nodes[1].node).await, StreamEnd::Whole);
    assert!(caller.is_exact(), "{:?}", caller.ids);
}

#[actix::test]
async fn stop_hands_over_streams_over_quic() {
    let cluster = TestCluster::new(2, INTERVAL);
    let nodes = start_linked_nodes(&cluster, &["a", "b", "c"]).await;
    let readers = (0..STREAMS)
        .map(|n| read_to_end(format!("r-{n}"), nodes[0].node.clone(), nodes[1].node.clone()));
    let stopping = async {
        // Stops the node once the stream that started last has received ten tokens.
        let mut first = Caller::new("r-first", 400);
        first.disconnect_after = Some(10);
        assert_eq!(first.send(&nodes[0].node).await, StreamEnd::Disconnected);
        let (proxy, deadline) = (&nodes[0].node.proxy, Instant::now() + NOTICE);
        proxy.start_leaving();
        nodes[0].link.leave().await;
        proxy.stop_accepting();
        let report = proxy.hand_over(deadline).await;
        nodes[0].link.shutdown().await;
        (report, proxy.open_requests())
    };
    let all = timeout(LIMIT, join(join_all(readers), stopping)).await;
    let (callers, (report, open)) = all.expect("every stream ends");
    assert!(callers.iter().all(Caller::is_exact), "a token was lost or repeated");
    // Includes the stream whose caller disconnected.
    assert_eq!((report.handed_over, report.lost, open), (STREAMS + 1, 0, 0));
}
