//! The log: text or JSON lines on the standard error.

use flexi_logger::{LogSpecification, Logger, LoggerHandle};
use lycheelatch_settings::{LogFormat, LogSettings};

use crate::StartError;

/// Opens the log.
pub(crate) fn open(cfg: &LogSettings) -> Result<LoggerHandle, StartError> {
    let spec = LogSpecification::builder()
        .default(cfg.level)
        .module("quinn", log::LevelFilter::Warn)
        .module("rustls", log::LevelFilter::Warn)
        .module("actix_server", log::LevelFilter::Warn)
        .build();
    let format = match cfg.format {
        LogFormat::Text => flexi_logger::detailed_format,
        LogFormat::Json => flexi_logger::json_format,
    };
    Logger::with(spec).format(format).log_to_stderr().start().map_err(StartError::Log)
}
