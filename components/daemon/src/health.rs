//! Whether a node takes traffic.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a node takes traffic.
#[derive(Debug, Default)]
pub struct Health {
    has_config: AtomicBool,
    has_upstreams: AtomicBool,
    is_stopping: AtomicBool,
}

impl Health {
    /// Returns whether the node takes traffic.
    pub fn is_ready(&self) -> bool {
        self.has_config.load(Ordering::Relaxed)
            && self.has_upstreams.load(Ordering::Relaxed)
            && !self.is_stopping()
    }

    /// Returns whether the node stops.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn set_config(&self) {
        self.has_config.store(true, Ordering::Relaxed);
    }

    pub(crate) fn set_upstreams(&self) {
        self.has_upstreams.store(true, Ordering::Relaxed);
    }

    pub(crate) fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}
