//! Upstreams in processes of their own that crash on requests whose prompt holds one part.

use std::{process::Command, time::Duration};

use lycheelatch_fakes::entry::{
    Crash, CrashEnd, CrashPoint, CrashRule, CrashSignal, ExecutedRequest, FakeStore, ListenerOwner,
    UpstreamProcess, upstream_entry,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::crashing_part::HARMFUL_PART;

/// Number of such upstreams.
const PROCESSES: usize = 4;

const POINTS: [CrashPoint; 6] = [
    CrashPoint::Nothing,
    CrashPoint::PartOfHead,
    CrashPoint::Head,
    CrashPoint::PartOfEvent,
    CrashPoint::Events(1),
    CrashPoint::Events(3),
];

const SIGNALS: [CrashSignal; 3] =
    [CrashSignal::Abort, CrashSignal::Kill, CrashSignal::SegmentationFault];

/// Longest time until a process is started again.
const MAX_DOWN: Duration = Duration::from_millis(2500);

/// Upstreams in processes of their own.
#[derive(Default)]
pub(crate) struct UpstreamProcesses(Vec<UpstreamProcess>);

impl UpstreamProcesses {
    /// Starts the upstreams, whose way to crash depends on the seed, and registers them.
    pub(crate) fn start(store: &FakeStore, seed: u64) -> UpstreamProcesses {
        let mut rng = StdRng::seed_from_u64(seed);
        let point = *POINTS.choose(&mut rng).expect("not empty");
        let signal = *SIGNALS.choose(&mut rng).expect("not empty");
        let owner = match rng.random_bool(0.5) {
            true => ListenerOwner::Process,
            false => ListenerOwner::Supervisor,
        };
        let down = match rng.random_bool(0.3) {
            true => Duration::ZERO,
            false => rng.random_range(Duration::ZERO..MAX_DOWN),
        };
        let rule = CrashRule { part: HARMFUL_PART, point, end: CrashEnd::Signal(signal), down };
        let start = |_| UpstreamProcess::start(own_program, rule, owner);
        let processes: Vec<_> = (0..PROCESSES).map(start).collect();
        for (at, process) in processes.iter().enumerate() {
            store.put(&format!("servers/p-{at}"), &upstream_entry(process.address(), "ready"));
        }
        UpstreamProcesses(processes)
    }

    /// Returns the requests on which they crashed.
    pub(crate) fn crashes(&self) -> Vec<Crash> {
        self.0.iter().flat_map(UpstreamProcess::crashes).collect()
    }

    /// Returns the requests whose execution started.
    pub(crate) fn executed(&self) -> Vec<ExecutedRequest> {
        self.0.iter().flat_map(UpstreamProcess::executed).collect()
    }
}

/// Returns the command of this program, which serves as an upstream if it is started as one.
fn own_program() -> Command {
    Command::new(std::env::current_exe().expect("this program has a path"))
}
