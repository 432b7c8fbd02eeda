//! Text of error reports for a person.

use error_stack::Report;
use pomelovale_state::ErrorKind;

/// The kind of an error and what was attached to it, on one line. The full
/// report with places in the source belongs into the log at debug level.
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
