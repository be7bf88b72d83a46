//! Settings of one node, written in JSON and checked as a whole.
//!
//! [`Settings::from_json`] names every error of a text at once, each with the
//! path of its field. Unknown fields are refused.

mod gateway;
mod reader;
mod settings;
mod units;

pub use gateway::{GatewaySettings, RetryLimit};
pub use settings::{
    CallerSettings, EndpointSettings, KeyValueSettings, LogFormat, LogSettings, NodeSettings,
    OperatorRole, OperatorSettings, OperatorTokenSettings, PeerSettings, PlatformSettings,
    Settings, SettingsError, StopSettings,
};
pub use units::{parse_duration, parse_size};
