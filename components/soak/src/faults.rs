//! Seeded plan of faults: signals to nodes, cut links, store modes, upstream behavior and
//! configuration.

use std::time::Duration;

use lycheelatch_fakes::entry::{Behavior, StoreMode};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::nodes::Cut;

/// Separates the random numbers of cuts from those of the other faults, whose seeds predate them.
const CUTS_SEED: u64 = 0xc075;

/// One fault.
#[derive(Debug, Clone)]
pub(crate) enum Fault {
    /// Kills a node's process and restarts it after `down`.
    Kill { node: usize, down: Duration },
    /// Sends SIGTERM to a node and restarts it later.
    Stop { node: usize },
    /// Suspends a node's process for `time`.
    Pause { node: usize, time: Duration },
    /// Makes a node reload its settings.
    Reload { node: usize },
    /// Sets the mode of the store for `time`.
    Store { mode: StoreMode, time: Duration },
    /// Drops the change history of the store.
    Compact,
    /// Drains an upstream, then replaces it by a new one.
    ReplaceUpstream { upstream: usize },
    /// Sets how an upstream handles its next requests.
    UpstreamBehavior { upstream: usize, behavior: Behavior, count: usize },
    /// Publishes a new version of the configuration.
    UpdateConfig,
    /// Cuts links of a node to the platform for `time`.
    Cut { node: usize, cut: Cut, time: Duration },
    /// The same for the node that last acted as the leader.
    CutLeader { cut: Cut, time: Duration },
}

/// A fault and the delay before it.
#[derive(Debug, Clone)]
pub(crate) struct PlannedFault {
    pub(crate) after: Duration,
    pub(crate) fault: Fault,
}

/// Returns the faults of a run; they depend only on the arguments.
pub(crate) fn plan(
    seed: u64,
    nodes: usize,
    upstreams: usize,
    length: Duration,
) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < length {
        let after = Duration::from_millis(rng.random_range(50..1500));
        elapsed += after;
        planned.push(PlannedFault { after, fault: random_fault(&mut rng, nodes, upstreams) });
    }
    planned
}

/// Returns the cuts of a run, which happen beside the faults of [`plan`].
pub(crate) fn plan_cuts(seed: u64, nodes: usize, length: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ CUTS_SEED);
    let mut planned = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < length {
        let after = Duration::from_millis(rng.random_range(1000..6000));
        elapsed += after;
        let node = rng.random_range(0..nodes);
        let cut = *Cut::ALL.choose(&mut rng).expect("not empty");
        let time = Duration::from_millis(rng.random_range(300..6500));
        let fault = match rng.random_bool(0.5) {
            true => Fault::CutLeader { cut, time },
            false => Fault::Cut { node, cut, time },
        };
        planned.push(PlannedFault { after, fault });
    }
    planned
}

fn random_fault(rng: &mut StdRng, nodes: usize, upstreams: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let upstream = rng.random_range(0..upstreams);
    let time = Duration::from_millis(rng.random_range(200..3000));
    match rng.random_range(0..20) {
        0 => Fault::Kill { node, down: time },
        1 => Fault::Stop { node },
        2 => Fault::Pause { node, time },
        3 => Fault::Reload { node },
        4 => {
            let modes = [StoreMode::Unavailable, StoreMode::Silent, StoreMode::LoseWriteResponses];
            Fault::Store { mode: *modes.choose(rng).expect("not empty"), time }
        }
        5 => Fault::Compact,
        6 => Fault::UpdateConfig,
        7 | 8 => Fault::ReplaceUpstream { upstream },
        _ => {
            let behaviors = [
                Behavior::Reset,
                Behavior::NotExecuted(503),
                Behavior::NotExecuted(421),
                Behavior::Unsigned,
                Behavior::ExtraResponse(String::new()),
                Behavior::TruncatedEcho,
                Behavior::Hang,
                Behavior::CloseDelimitedReset("half".to_owned()),
            ];
            let behavior = behaviors.choose(rng).expect("not empty").clone();
            Fault::UpstreamBehavior { upstream, behavior, count: rng.random_range(1..4) }
        }
    }
}
