//! Logs to the standard error: text or JSON, a fixed prefix for each part.
//!
//! The prefix is the first word of the message, such as `member:`, so that a
//! reader can filter by part whatever the module.

use std::io;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;

/// Starts logging; the handle keeps it going.
pub fn start(level: &str, json: bool) -> Result<LoggerHandle, FlexiLoggerError> {
    let format = if json { json_line } else { text_line };
    Logger::try_with_str(level)?
        .log_to_stderr()
        .format(format)
        .start()
}

fn text_line(
    out: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let at = now.format_rfc3339();
    write!(out, "{at} {:<5} {}", record.level(), record.args())
}

/// One line of a JSON log.
#[derive(serde::Serialize)]
struct Line<'a> {
    at: String,
    level: &'a str,
    part: &'a str,
    text: &'a str,
}

fn json_line(
    out: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let message = record.args().to_string();
    let (part, text) = message.split_once(": ").unwrap_or(("", &message));
    let line = Line {
        at: now.format_rfc3339(),
        level: record.level().as_str(),
        part,
        text,
    };
    serde_json::to_writer(out, &line).map_err(io::Error::from)
}
