//! True time that neither local jumps nor old news move.

use std::{cell::Cell, rc::Rc, time::Duration};

use lycheelatch_gateway::{BootClock, TrueTime};

#[derive(Default)]
struct SetClock(Cell<Duration>);

impl BootClock for SetClock {
    fn elapsed(&self) -> Duration {
        self.0.get()
    }
}

fn at(clock: &SetClock, seconds: u64) {
    clock.0.set(Duration::from_secs(seconds));
}

#[test]
fn now_goes_by_the_boot_clock() {
    let clock = Rc::new(SetClock::default());
    at(&clock, 100);
    let time = TrueTime::new(clock.clone());
    let before = time.now();
    at(&clock, 130);
    assert_eq!(time.now() - before, Duration::from_secs(30));
}

#[test]
fn compare_one_jumped_node_changes_nothing() {
    let clock = Rc::new(SetClock::default());
    at(&clock, 100);
    let time = TrueTime::new(clock);
    let now = time.now();
    time.compare(vec![now, now + Duration::from_secs(30), now]);
    assert_eq!(time.now(), now);
}

#[test]
fn compare_own_jump_is_put_right() {
    let clock = Rc::new(SetClock::default());
    at(&clock, 100);
    let time = TrueTime::new(clock);
    let truth = time.now() + Duration::from_secs(7);
    time.compare(vec![truth, truth, truth]);
    assert_eq!(time.now(), truth);
}
