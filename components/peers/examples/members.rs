//! Simulates the membership state machine in virtual time for up to 390 nodes.
//!
//! For each cluster size, prints the bytes and messages that an idle node sends
//! and receives, the time to detect a failed node, and the peak traffic after
//! the failure of a whole availability zone. Each message is counted with 68
//! bytes of headers.
#![allow(clippy::print_stdout)]

#[allow(dead_code)]
#[path = "../tests/membership/net.rs"]
mod net;

use std::time::Duration;

use lycheelatch_peers::{MemberState, TICK_INTERVAL};
use lycheelatch_prelude::NodeId;
use net::{Faults, Net};
use tokio::time::Instant;

/// Simulated cluster sizes, in nodes.
const SIZES: [usize; 7] = [5, 10, 20, 30, 100, 200, 390];
/// Duration of the traffic measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(120);
/// Time between the join and the traffic measurement, for the updates of the join to be sent.
const SETTLE_TIME: Duration = Duration::from_secs(120);
/// Number of node failures whose detection is timed at each size.
const FAILURES: usize = 5;
/// Maximum time to wait for the nodes to agree.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(120);

fn main() {
    println!(
        "nodes join_s rest_out_B/s rest_in_B/s rest_msgs/s max_out_B/s detect_p50_s detect_max_s \
         zone_s zone_peak_out_B/s false_deaths cpu_us/node/s"
    );
    for nodes in SIZES {
        measure(nodes);
    }
}

fn measure(nodes: usize) {
    let faults = Faults { loss: 0.01, duplication: 0.0, max_delay: Duration::from_millis(10) };
    let mut net = Net::new(nodes as u64, faults);
    for n in 0..nodes {
        net.start(n);
    }
    let join_time = run_until(&mut net, agrees).0;
    net.run(SETTLE_TIME);
    let wall = Instant::now();
    let idle = traffic(&mut net, MEASUREMENT_DURATION);
    let cpu =
        wall.elapsed().as_secs_f64() * 1e6 / nodes as f64 / MEASUREMENT_DURATION.as_secs_f64();
    let false_deaths = count_dead(&net);
    let mut detections: Vec<f64> =
        (0..FAILURES.min(nodes / 2)).map(|n| time_detection(&mut net, n)).collect();
    detections.sort_by(f64::total_cmp);
    let zone = "zone-3".parse().unwrap();
    for node in net.nodes.values_mut().filter(|n| n.record.zone == zone) {
        node.is_crashed = true;
    }
    let (zone_time, zone_peak) = run_until(&mut net, agrees);
    println!(
        "{nodes} {:.1} {:.0} {:.0} {:.2} {:.0} {:.1} {:.1} {:.1} {:.0} {false_deaths} {cpu:.0}",
        join_time.as_secs_f64(),
        idle.bytes_out,
        idle.bytes_in,
        idle.messages,
        idle.max_bytes_out,
        detections[detections.len() / 2],
        detections.last().copied().unwrap_or_default(),
        zone_time.as_secs_f64(),
        zone_peak,
    );
}

/// Average traffic per node and second, and the maximum over all nodes of the bytes sent.
struct Traffic {
    bytes_out: f64,
    bytes_in: f64,
    messages: f64,
    max_bytes_out: f64,
}

fn traffic(net: &mut Net, time: Duration) -> Traffic {
    for node in net.nodes.values_mut() {
        (node.bytes_out, node.bytes_in, node.messages_out) = (0, 0, 0);
    }
    net.run(time);
    let count = net.running().count() as f64 * time.as_secs_f64();
    let sum = |f: fn(&net::Node) -> u64| net.running().map(|(_, n)| f(n)).sum::<u64>() as f64;
    let max = net.running().map(|(_, n)| n.bytes_out).max().unwrap_or_default();
    Traffic {
        bytes_out: sum(|n| n.bytes_out) / count,
        bytes_in: sum(|n| n.bytes_in) / count,
        messages: sum(|n| n.messages_out) / count,
        max_bytes_out: max as f64 / time.as_secs_f64(),
    }
}

/// Crashes one node and returns the time until all others have detected it, in seconds.
fn time_detection(net: &mut Net, n: usize) -> f64 {
    let id: NodeId = net.running().nth(n + 1).unwrap().0.clone();
    net.nodes.get_mut(&id).unwrap().is_crashed = true;
    run_until(net, |net| net.running().all(|(_, n)| is_dead(n, &id))).0.as_secs_f64()
}

fn is_dead(node: &net::Node, id: &NodeId) -> bool {
    node.membership.members().0.get(id).is_some_and(|m| m.state == MemberState::Dead)
}

fn count_dead(net: &Net) -> usize {
    let dead = |n: &net::Node| {
        n.membership.members().0.values().filter(|m| m.state == MemberState::Dead).count()
    };
    net.running().map(|(_, n)| dead(n)).sum()
}

/// Runs until `is_done`, or for [`AGREEMENT_TIMEOUT`].
///
/// Returns the time taken and the maximum number of bytes that a node sent in a second.
fn run_until(net: &mut Net, is_done: impl Fn(&Net) -> bool) -> (Duration, f64) {
    let start = net.now;
    let mut peak = 0;
    while !is_done(net) && net.now < start + AGREEMENT_TIMEOUT {
        for node in net.nodes.values_mut() {
            node.bytes_out = 0;
        }
        for _ in 0..10 {
            if !is_done(net) {
                net.run(TICK_INTERVAL);
            }
        }
        peak = peak.max(net.running().map(|(_, n)| n.bytes_out).max().unwrap_or_default());
    }
    (net.now - start, peak as f64)
}

fn agrees(net: &Net) -> bool {
    let count = net.running().count();
    let has_correct_view = |n: &net::Node| {
        let members = n.membership.members();
        let live = members.0.values().filter(|m| m.state != MemberState::Dead);
        live.filter(|m| !net.nodes[&m.id].is_crashed).count() == count
            && members.0.values().filter(|m| m.state != MemberState::Dead).count() == count
    };
    net.running().all(|(_, n)| has_correct_view(n))
}
