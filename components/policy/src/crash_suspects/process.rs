//! What a node's other connections say of an upstream that closed one of them too early.

use serde::{Deserialize, Serialize};

/// How far a response was when its connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseStage {
    /// The head had not been received.
    Waiting,
    /// The head had been received, but no complete event.
    Begun,
    /// At least one event, or a part of the body that was passed on, had been received.
    Streaming,
}

/// What is known of an upstream's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    /// It goes on.
    Running,
    /// Nothing tells whether it goes on.
    Unknown,
    /// It has ended.
    Ended,
}

/// Signs of whether an upstream's process ended when it closed a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessSigns {
    /// A new connection was refused.
    pub is_refusing: bool,
    /// Other connections, opened before, that are still open.
    pub open_connections: usize,
    /// Other connections, opened before, that ended at about the same time.
    pub ended_connections: usize,
    /// Its entry has gone, or another start of it has registered, without notice.
    pub is_replaced: bool,
}

impl ProcessSigns {
    /// Returns what the signs say.
    ///
    /// A process takes all its connections along. That a new connection is accepted says nothing:
    /// the next process, or a supervisor that keeps the listener, may have accepted it.
    pub fn process_state(self) -> ProcessState {
        if self.is_replaced {
            return ProcessState::Ended;
        }
        if self.open_connections > 0 {
            return ProcessState::Running;
        }
        match self.is_refusing || self.ended_connections > 0 {
            true => ProcessState::Ended,
            false => ProcessState::Unknown,
        }
    }
}
