//! Waits for the signal to stop.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::StartError;

/// The signals that ask a node to stop.
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
