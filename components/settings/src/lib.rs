//! Settings of one node, read from JSON.
//!
//! [`Settings::from_json`] reports all errors at once, each with the path of its
//! field. Unknown fields are errors.

mod gateway;
mod reader;
mod settings;
mod units;

pub use gateway::{GatewaySettings, RetryLimit, RolloutBounds};
pub use settings::{
    CallerSettings, EndpointSettings, KeyValueSettings, LogFormat, LogSettings, NodeSettings,
    OperatorRole, OperatorSettings, OperatorTokenSettings, PeerSettings, PlatformSettings,
    Settings, SettingsError, StopSettings,
};
pub use units::{parse_duration, parse_size};
