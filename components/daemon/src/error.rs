//! Why a node does not start.

use std::{net::SocketAddr, path::PathBuf};

use displaydoc::Display;
use lycheelatch_settings::SettingsError;

/// Why a node does not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// the settings {path:?} can't be read: {source}
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// {0}
    Settings(SettingsError),
    /// the address {addr} can't be listened on: {source}
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// the gateway does not start: {0}
    Gateway(std::io::Error),
    /// the settings are of a node with its own interface
    OtherNode,
    /// the metrics can't be registered: {0}
    Metrics(prometheus::Error),
    /// the links to the other nodes do not start: {0}
    Peers(lycheelatch_peers::StartError),
    /// the signals can't be listened to: {0}
    Signals(std::io::Error),
    /// the log can't be opened: {0}
    Log(flexi_logger::FlexiLoggerError),
    /// the thread that writes the log does not start: {0}
    LogThread(std::io::Error),
    /// the hash of operator {0}'s token can't be read
    OperatorToken(lycheelatch_prelude::OperatorName),
}

impl std::error::Error for StartError {}

impl From<prometheus::Error> for StartError {
    fn from(err: prometheus::Error) -> StartError {
        StartError::Metrics(err)
    }
}
