//! Faults by a seed: signals to nodes, the store's moods, what runners do.

use std::time::Duration;

use lycheelatch_fakes::entry::{Behavior, StoreMode};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

/// One fault.
#[derive(Debug, Clone)]
pub(crate) enum Fault {
    /// A node's process is killed and started again after a time.
    Kill { node: usize, down: Duration },
    /// A node gets the signal to stop, and is started again.
    Stop { node: usize },
    /// A node stands still for a time.
    Pause { node: usize, time: Duration },
    /// A node is told to read its settings again.
    Reload { node: usize },
    /// The store treats calls so for a time.
    Store { mode: StoreMode, time: Duration },
    /// The store drops its history.
    Compact,
    /// A runner leaves and comes back under another identity.
    Leave { runner: usize },
    /// A runner does this with its next requests.
    Acts { runner: usize, act: Behavior, times: usize },
    /// The configuration gets a new version.
    Configure,
}

/// A fault and the pause before it.
#[derive(Debug, Clone)]
pub(crate) struct Planned {
    pub(crate) after: Duration,
    pub(crate) fault: Fault,
}

/// Draws the faults of a run.
pub(crate) fn plan(seed: u64, nodes: usize, runners: usize, length: Duration) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let after = Duration::from_millis(rng.random_range(50..1500));
        at += after;
        planned.push(Planned { after, fault: draw(&mut rng, nodes, runners) });
    }
    planned
}

fn draw(rng: &mut StdRng, nodes: usize, runners: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let runner = rng.random_range(0..runners);
    let time = Duration::from_millis(rng.random_range(200..3000));
    match rng.random_range(0..20) {
        0 => Fault::Kill { node, down: time },
        1 => Fault::Stop { node },
        2 => Fault::Pause { node, time },
        3 => Fault::Reload { node },
        4 => {
            let moods = [StoreMode::Unavailable, StoreMode::Silent, StoreMode::LoseWriteResponses];
            Fault::Store { mode: *moods.choose(rng).expect("not empty"), time }
        }
        5 => Fault::Compact,
        6 => Fault::Configure,
        7 | 8 => Fault::Leave { runner },
        _ => {
            let acts = [
                Behavior::Reset,
                Behavior::NotExecuted(503),
                Behavior::NotExecuted(421),
                Behavior::Unsigned,
                Behavior::ExtraResponse(String::new()),
                Behavior::TruncatedEcho,
                Behavior::Hang,
                Behavior::CloseDelimitedReset("half".to_owned()),
            ];
            let act = acts.choose(rng).expect("not empty").clone();
            Fault::Acts { runner, act, times: rng.random_range(1..4) }
        }
    }
}
