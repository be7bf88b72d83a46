//! Mutual exclusion of lease holders, also if a process is suspended between two steps.

use std::time::Duration;

use lycheelatch_gateway::LeaderLease;
use lycheelatch_prelude::Fence;
use proptest::prelude::*;

const TTL: Duration = Duration::from_secs(3);

/// Longest time from the sending of a call to its arrival.
const MAX_DELIVERY: Duration = Duration::from_millis(1200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn extend_counts_from_the_request_time() {
    let mut lease = LeaderLease { fence: Fence(1), valid_from: ms(0), valid_until: ms(0) };
    // The response is processed after a suspension of ten seconds, when the lease has expired.
    lease.extend(ms(1000), TTL);
    assert!(!lease.is_valid_at(ms(11_000)));
    assert!(lease.is_valid_at(ms(3000)));
}

#[test]
fn extend_by_an_older_request_does_not_shorten_the_lease() {
    let mut lease = LeaderLease { fence: Fence(1), valid_from: ms(0), valid_until: ms(0) };
    lease.extend(ms(2000), TTL);
    let until = lease.valid_until;
    lease.extend(ms(1000), TTL);
    assert_eq!(lease.valid_until, until);
}

#[test]
fn acquired_acts_soon_unless_the_node_acted_itself() {
    let acts_from = |last_action| {
        LeaderLease::acquired(Fence(1), ms(20_000), last_action, None, TTL, ms(300)).valid_from
    };
    assert_eq!(acts_from(None), ms(21_000));
    assert_eq!(acts_from(Some(ms(3000))), ms(21_000));
    assert_eq!(acts_from(Some(ms(19_500))), ms(22_875), "another node may have acted since");
}

/// With a short lease, an order of the former leader arrived after one of the new leader.
#[test]
fn acquired_acts_after_the_last_delivery_of_the_predecessor() {
    for ttl in [ms(1000), ms(2000), TTL, ms(9000)] {
        let mut predecessor =
            LeaderLease { fence: Fence(1), valid_from: ms(0), valid_until: ms(0) };
        predecessor.extend(ms(0), ttl);
        let last_arrival = predecessor.valid_until + MAX_DELIVERY;
        // The store grants it after the end of the former one.
        let acquired = ttl + ms(1);
        let successor = LeaderLease::acquired(Fence(2), acquired, None, None, ttl, MAX_DELIVERY);
        assert!(last_arrival < successor.valid_from, "{ttl:?}: {successor:?}");
    }
}

proptest! {
    /// Two nodes compete for a lease; the store grants it to the other only after it expired.
    #[test]
    fn is_valid_at_never_overlaps_or_returns_within_a_lease(
        steps in prop::collection::vec((0_u64..4000, 0_u64..3000), 1..40),
    ) {
        let mut now = ms(0);
        let mut lease_ends = ms(0);
        let mut holder = 0_usize;
        let mut leases: [Option<LeaderLease>; 2] = [None, None];
        let mut last_actions = [None, None];
        let mut acts: Vec<(Duration, usize)> = Vec::new();
        for (pause, latency) in steps {
            now += ms(pause);
            let arrives = now + ms(latency);
            if arrives < lease_ends {
                // The holder renews the lease, which it counts from the time of the request.
                lease_ends = arrives + TTL;
                if let Some(lease) = &mut leases[holder] {
                    lease.extend(now, TTL);
                }
            } else {
                holder = 1 - holder;
                lease_ends = arrives + TTL;
                let last_action = last_actions[holder];
                let mut lease =
                    LeaderLease::acquired(Fence(1), arrives, last_action, None, TTL, MAX_DELIVERY);
                lease.extend(now, TTL);
                leases[holder] = Some(lease);
            }
            now = arrives;
            for (at, lease) in leases.iter().enumerate() {
                if lease.is_some_and(|lease| lease.is_valid_at(now)) {
                    acts.push((now, at));
                    last_actions[at] = Some(now);
                }
            }
        }
        for pair in acts.windows(2) {
            let ((before, a), (after, b)) = (pair[0], pair[1]);
            if a != b {
                prop_assert!(after > before, "two holders acted at {after:?}");
            }
        }
        for triple in acts.windows(3) {
            let ((first, a), (_, b), (last, c)) = (triple[0], triple[1], triple[2]);
            if a == c && a != b {
                prop_assert!(last - first > TTL, "A, B, A within a lease");
            }
        }
    }
}
