//! Memory and connections under clients that keep both.

use std::{net::IpAddr, time::Duration};

use lycheelatch_policy::{
    CloseReason, ConnectionLimits, ConnectionPhase, ConnectionProgress, MemoryBudget, NoRoom,
};
use proptest::prelude::*;
use tokio::time::Instant;

const MIB: usize = 1 << 20;

fn address(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

#[test]
fn budget_admits_a_single_body_up_to_all_of_it() {
    let mut budget = MemoryBudget::new(8 * MIB);
    assert_eq!(budget.try_resize(address(1), 0, 8 * MIB), Ok(()));
    assert_eq!(budget.try_resize(address(2), 0, 1), Err(NoRoom::Budget));
}

#[test]
fn budget_keeps_small_requests_out_of_reach_of_large_ones() {
    let mut budget = MemoryBudget::new(8 * MIB);
    let admitted = (0..20).filter(|n| budget.try_resize(address(*n), 0, MIB).is_ok()).count();
    assert_eq!(admitted, 6);
    assert_eq!(budget.try_resize(address(30), 0, 2000), Ok(()));
}

#[test]
fn budget_keeps_room_for_other_addresses() {
    let mut budget = MemoryBudget::new(8 * MIB);
    let admitted = (0..1000).filter(|_| budget.try_resize(address(1), 0, 16384).is_ok()).count();
    assert_eq!(admitted, 460);
    assert_eq!(budget.try_resize(address(1), 0, 16384), Err(NoRoom::Address));
    assert_eq!(budget.try_resize(address(2), 0, MIB / 2), Ok(()));
}

#[test]
fn budget_leaves_small_requests_of_an_address_with_large_ones() {
    let mut budget = MemoryBudget::new(8 * MIB);
    let admitted = (0..20).filter(|_| budget.try_resize(address(1), 0, MIB).is_ok()).count();
    assert_eq!(admitted, 4);
    assert_eq!(budget.try_resize(address(1), 0, 2000), Ok(()));
    assert_eq!(budget.try_resize(address(2), 0, MIB), Ok(()));
}

proptest! {
    #[test]
    fn budget_is_never_exceeded_and_all_is_returned(
        steps in prop::collection::vec((0_u8..6, 0_usize..8, 0_usize..3 * MIB), 1..200),
    ) {
        let mut budget = MemoryBudget::new(8 * MIB);
        let mut held = [[0; 8]; 6];
        for (client, at, wanted) in steps {
            let amount = &mut held[usize::from(client)][at];
            if budget.try_resize(address(client), *amount, wanted).is_ok() {
                *amount = wanted;
            }
            prop_assert_eq!(budget.used(), held.iter().flatten().sum::<usize>());
            prop_assert!(budget.used() <= 8 * MIB);
        }
        for (client, amounts) in (0..).zip(held) {
            amounts.iter().for_each(|amount| budget.resize(address(client), *amount, 0));
        }
        prop_assert_eq!(budget.used(), 0);
    }
}

const LIMITS: ConnectionLimits =
    ConnectionLimits { head: Duration::from_secs(3), idle: Duration::from_secs(15) };

fn progress(phase: ConnectionPhase, since: Instant) -> ConnectionProgress {
    ConnectionProgress { phase, since, deadline: None }
}

#[test]
fn overdue_phases_have_their_own_bounds() {
    let start = Instant::now();
    let after = |phase, seconds| {
        progress(phase, start).overdue(LIMITS, start + Duration::from_secs(seconds))
    };
    assert_eq!(after(ConnectionPhase::Head, 3), None);
    assert_eq!(after(ConnectionPhase::Head, 4), Some(CloseReason::SlowHead));
    assert_eq!(after(ConnectionPhase::Body, 15), None);
    assert_eq!(after(ConnectionPhase::Body, 16), Some(CloseReason::SlowBody));
    assert_eq!(after(ConnectionPhase::Unread, 16), Some(CloseReason::UnreadResponse));
    assert_eq!(after(ConnectionPhase::Idle, 3600), None, "the server's own timer closes it");
    assert_eq!(after(ConnectionPhase::Response, 3600), None);
}

#[test]
fn overdue_response_may_be_read_slowly_until_the_deadline() {
    let start = Instant::now();
    let deadline = Some(start + Duration::from_secs(60));
    let unread = ConnectionProgress { deadline, ..progress(ConnectionPhase::Unread, start) };
    assert_eq!(unread.overdue(LIMITS, start + Duration::from_secs(60)), None);
    let late = start + Duration::from_secs(61);
    assert_eq!(unread.overdue(LIMITS, late), Some(CloseReason::UnreadResponse));
}

#[test]
fn displaceable_never_while_a_request_is_served() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let phases = [ConnectionPhase::Idle, ConnectionPhase::Head, ConnectionPhase::Body];
    for phase in phases {
        assert_eq!(progress(phase, start).displaceable(now), Some(Duration::from_secs(2)));
    }
    assert_eq!(progress(ConnectionPhase::Response, start).displaceable(now), None);
    assert_eq!(progress(ConnectionPhase::Body, now).displaceable(now), None, "it makes progress");
    assert_eq!(progress(ConnectionPhase::Idle, start).frees_memory(now), None);
}
