//! Finds out whether an engine's process ended when it closed the connection of a response.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lycheelatch_policy::{ProcessSigns, ProcessState};
use lycheelatch_prelude::UpstreamId;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};

/// Timeout for the connection that shows whether an engine still listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Times after a cut at which the other attempts are looked at. Those of a process that ended may be
/// closed a little later, and later still if a packet is lost.
const LOOKS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(100), Duration::from_millis(500)];

/// Time between two cuts of one engine up to which they have one reason.
const SAME_TIME: Duration = Duration::from_secs(1);

/// Attempts of this node by engine; each has a connection of its own.
#[derive(Debug, Default)]
pub(super) struct EngineAttempts {
    by_engine: Mutex<HashMap<UpstreamId, Attempts>>,
}

#[derive(Debug, Default)]
struct Attempts {
    /// When those under way began.
    running: Vec<Instant>,
    /// When the engine closed the connections of the latest others too early.
    cuts: Vec<Instant>,
}

impl EngineAttempts {
    /// Records an attempt that began at `started`.
    pub(super) fn start(&self, engine: &UpstreamId, started: Instant) {
        self.lock().entry(engine.clone()).or_default().running.push(started);
    }

    /// Records the end of such an attempt, and whether the engine cut it off.
    pub(super) fn end(&self, engine: &UpstreamId, started: Instant, is_cut: bool) {
        let now = Instant::now();
        let mut by_engine = self.lock();
        let Some(attempts) = by_engine.get_mut(engine) else { return };
        if let Some(at) = attempts.running.iter().position(|running| *running == started) {
            attempts.running.swap_remove(at);
        }
        attempts.cuts.retain(|cut| now - *cut < SAME_TIME);
        if is_cut {
            attempts.cuts.push(now);
        }
        if attempts.running.is_empty() && attempts.cuts.is_empty() {
            by_engine.remove(engine);
        }
    }

    /// Returns the signs of attempts besides one that was cut off at `cut_at`.
    fn signs(&self, engine: &UpstreamId, cut_at: Instant) -> ProcessSigns {
        let by_engine = self.lock();
        let Some(attempts) = by_engine.get(engine) else { return ProcessSigns::default() };
        let is_near = |cut: &&Instant| cut_at.max(**cut) - cut_at.min(**cut) < SAME_TIME;
        ProcessSigns {
            open_connections: attempts.running.iter().filter(|started| **started < cut_at).count(),
            ended_connections: attempts.cuts.iter().filter(is_near).count().saturating_sub(1),
            ..ProcessSigns::default()
        }
    }

    /// Finds out what became of an engine's process that has just cut off an attempt.
    pub(super) async fn check(&self, engine: &UpstreamId, address: SocketAddr) -> ProcessState {
        let cut_at = Instant::now();
        let is_refusing = is_refusing(address).await;
        let mut state = ProcessState::Unknown;
        for look in LOOKS {
            if !look.is_zero() {
                sleep_until(cut_at + look).await;
            }
            let signs = ProcessSigns { is_refusing, ..self.signs(engine, cut_at) };
            state = signs.process_state();
            if state == ProcessState::Ended {
                break;
            }
        }
        state
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, Attempts>> {
        self.by_engine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn is_refusing(address: SocketAddr) -> bool {
    let opened = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused)
}
