//! How a node divides its machine's memory and file descriptors.

use lycheelatch_settings::MachineLimits;

/// Divisor of the machine's memory that gives the part kept for clients.
const CLIENT_MEMORY_DIVISOR: u64 = 4;

/// Minimum amount of memory that is kept for clients, in bytes.
const MIN_CLIENT_MEMORY: u64 = 8 << 20;

/// Descriptors for files and for the runtime.
const FILES: u64 = 200;

/// Buffers and state of one connection, in bytes.
const CONNECTION_BYTES: u64 = 24 * 1024;

/// Minimum number of connections of any listener.
const MIN_CONNECTIONS: u64 = 8;

/// Maximum number of connections for readiness checks, and for metrics.
const MAX_PROBES: u64 = 64;

/// Bounds on what clients of a node's listeners can take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NodeLimits {
    /// Memory kept for requests and responses, in bytes.
    pub(crate) client_memory: usize,
    /// Connections of callers.
    pub(crate) callers: usize,
    /// Connections of other nodes.
    pub(crate) peers: usize,
    /// Connections for readiness checks, and for metrics.
    pub(crate) probes: usize,
}

impl From<MachineLimits> for NodeLimits {
    fn from(machine: MachineLimits) -> NodeLimits {
        let sockets = machine.file_descriptors.saturating_sub(FILES);
        let by_memory = machine.memory_bytes / CLIENT_MEMORY_DIVISOR / CONNECTION_BYTES;
        let count =
            |wanted: u64| usize::try_from(wanted.max(MIN_CONNECTIONS)).unwrap_or(usize::MAX);
        let memory = (machine.memory_bytes / CLIENT_MEMORY_DIVISOR).max(MIN_CLIENT_MEMORY);
        NodeLimits {
            client_memory: usize::try_from(memory).unwrap_or(usize::MAX),
            callers: count((sockets / 2).min(by_memory)),
            peers: count((sockets / 8).min(by_memory)),
            probes: count((sockets / 16).min(MAX_PROBES)),
        }
    }
}
