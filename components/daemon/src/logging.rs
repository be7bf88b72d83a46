//! Set-up of the log.

use std::io::{self, Write};

use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle, Record};
use lycheelatch_gateway::DECISION_LOG_TARGET;
use lycheelatch_settings::{LogFormat, LogSettings};
use prometheus::IntCounter;

use crate::{StartError, line_queue::LineQueue};

/// Opens the log of a node: text or JSON lines on the standard error.
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

/// Opens the log of a gateway: JSON lines on the standard output.
pub(crate) fn open_lines(
    cfg: &LogSettings,
    dropped: IntCounter,
) -> Result<LoggerHandle, StartError> {
    let spec = LogSpecification::builder().default(cfg.level).build();
    let queue =
        LineQueue::start(io::stdout(), json_line, dropped).map_err(StartError::LogThread)?;
    Logger::with(spec).log_to_writer(Box::new(queue)).start().map_err(StartError::Log)
}

/// Formats a record as one JSON line; decision records are JSON already.
fn json_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    if record.target() == DECISION_LOG_TARGET {
        return write!(w, "{}", record.args());
    }
    let line = serde_json::json!({
        "event": "log",
        "time": now.now().to_rfc3339(),
        "level": record.level().as_str(),
        "text": record.args().to_string(),
    });
    write!(w, "{line}")
}
