//! Formatting of error reports for operators.

use error_stack::Report;
use pomelovale_state::ErrorKind;

/// Formats the kind of an error and its attachments on one line. Logs the full
/// report, with source locations, at debug level.
pub fn describe(report: &Report<ErrorKind>) -> String {
    log::debug!("{report:?}");
    let frames = report.frames();
    let mut texts: Vec<&str> = frames
        .filter_map(|f| f.downcast_ref::<String>())
        .map(String::as_str)
        .collect();
    texts.dedup();
    format!("{}: {}", report.current_context(), texts.join("; "))
}
