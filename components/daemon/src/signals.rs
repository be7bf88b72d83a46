//! Termination signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::StartError;

/// SIGTERM and SIGINT, which both stop a node.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    pub(crate) fn new() -> Result<Signals, StartError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).map_err(StartError::Signals)?,
            interrupt: signal(SignalKind::interrupt()).map_err(StartError::Signals)?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
