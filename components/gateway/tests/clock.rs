//! The cluster clock: steps of single clocks don't change it.

use std::{cell::Cell, rc::Rc, time::Duration};

use lycheelatch_gateway::{BootClock, ClusterClock};

#[derive(Default)]
struct ManualClock(Cell<Duration>);

impl BootClock for ManualClock {
    fn elapsed(&self) -> Duration {
        self.0.get()
    }
}

fn set_seconds(clock: &ManualClock, seconds: u64) {
    clock.0.set(Duration::from_secs(seconds));
}

#[test]
fn now_follows_the_boot_clock() {
    let clock = Rc::new(ManualClock::default());
    set_seconds(&clock, 100);
    let time = ClusterClock::new(clock.clone());
    let before = time.now();
    set_seconds(&clock, 130);
    assert_eq!(time.now() - before, Duration::from_secs(30));
}

#[test]
fn adjust_to_peers_ignores_one_deviating_node() {
    let clock = Rc::new(ManualClock::default());
    set_seconds(&clock, 100);
    let time = ClusterClock::new(clock);
    let now = time.now();
    time.adjust_to_peers(vec![now, now + Duration::from_secs(30), now]);
    assert_eq!(time.now(), now);
}

#[test]
fn adjust_to_peers_corrects_own_deviation() {
    let clock = Rc::new(ManualClock::default());
    set_seconds(&clock, 100);
    let time = ClusterClock::new(clock);
    let truth = time.now() + Duration::from_secs(7);
    time.adjust_to_peers(vec![truth, truth, truth]);
    assert_eq!(time.now(), truth);
}
