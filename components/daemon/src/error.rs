//! Startup errors of a node.

use std::{net::SocketAddr, path::PathBuf};

use displaydoc::Display;
use lycheelatch_settings::SettingsError;

/// Startup error of a node.
#[derive(Debug, Display)]
pub enum StartError {
    /// failed to read the settings {path:?}: {source}
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// {0}
    Settings(SettingsError),
    /// failed to listen on {addr}: {source}
    Listen {
        /// Address to listen on.
        addr: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// failed to start the gateway: {0}
    Gateway(std::io::Error),
    /// the settings no longer have a gateway section
    NotGateway,
    /// failed to register the metrics: {0}
    Metrics(prometheus::Error),
    /// failed to start the links to other nodes: {0}
    Peers(lycheelatch_peers::StartError),
    /// failed to install the signal handlers: {0}
    Signals(std::io::Error),
    /// failed to open the log: {0}
    Log(flexi_logger::FlexiLoggerError),
    /// failed to start the log thread: {0}
    LogThread(std::io::Error),
    /// the token hash of operator {0} is malformed
    OperatorToken(lycheelatch_prelude::OperatorName),
}

impl std::error::Error for StartError {}

impl From<prometheus::Error> for StartError {
    fn from(err: prometheus::Error) -> StartError {
        StartError::Metrics(err)
    }
}
