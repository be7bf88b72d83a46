//! Readiness of a node.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::watch;

/// Readiness of a node to take traffic.
#[derive(Debug, Default)]
pub struct Health {
    has_config: watch::Sender<bool>,
    has_upstreams: AtomicBool,
    is_stopping: AtomicBool,
}

impl Health {
    /// Returns whether the node is ready to take traffic.
    pub fn is_ready(&self) -> bool {
        self.reason_not_ready().is_none()
    }

    /// Returns why the node is not ready, or `None` if it is ready.
    pub fn reason_not_ready(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("the node is stopping");
        }
        if !self.has_config() {
            return Some("the node does not have the latest configuration yet");
        }
        if !self.has_upstreams.load(Ordering::Relaxed) {
            return Some("the instance list was not read yet");
        }
        None
    }

    /// Returns whether the node is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns whether the latest configuration is in force.
    pub(crate) fn has_config(&self) -> bool {
        *self.has_config.borrow()
    }

    /// Returns a receiver that is notified when the latest configuration is in force.
    pub(crate) fn watch_config(&self) -> watch::Receiver<bool> {
        self.has_config.subscribe()
    }

    pub(crate) fn set_config(&self) {
        self.has_config.send_replace(true);
    }

    pub(crate) fn set_upstreams(&self) {
        self.has_upstreams.store(true, Ordering::Relaxed);
    }

    pub(crate) fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}
