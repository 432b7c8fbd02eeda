//! Text for standard output.

use std::io::Write;
use std::process::exit;

/// Prints a line. A reader that closed the pipe early, such as `head`, ends
/// the command without an error.
pub fn line(text: impl AsRef<str>) {
    let mut out = std::io::stdout().lock();
    if writeln!(out, "{}", text.as_ref()).is_err() {
        exit(0);
    }
}

/// Prints text as it is, without adding a line end.
pub fn text(text: impl AsRef<str>) {
    let mut out = std::io::stdout().lock();
    if write!(out, "{}", text.as_ref()).is_err() {
        exit(0);
    }
}
