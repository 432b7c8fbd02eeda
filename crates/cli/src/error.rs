//! Errors of the commands and their exit codes.

use std::fmt;

use pomelovale_state::command::Refusal;
use pomelovale_state::ErrorKind;

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// The command line or an input file is invalid.
    Args(String),
    /// A local file can't be read or written.
    Io(std::io::Error),
    /// Some rows of a sheet were refused; the rows were printed.
    Rows(usize),
    /// The system refused the request, did not answer, or did not tell the outcome.
    Refused(Refusal),
}

impl CliError {
    /// Creates an error of a kind with a text.
    pub fn kind(kind: ErrorKind, text: impl Into<String>) -> CliError {
        CliError::Refused(Refusal::new(kind, text))
    }

    /// Exit code, as documented in the usage text.
    pub fn exit(&self) -> i32 {
        match self {
            CliError::Args(_) => 2,
            CliError::Io(_) => 11,
            CliError::Rows(_) => 12,
            CliError::Refused(refusal) => refusal.kind.answer().exit,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Args(text) => f.write_str(text),
            CliError::Io(e) => write!(f, "{e}"),
            CliError::Rows(n) => write!(f, "{n} rows were refused"),
            CliError::Refused(r) => match &r.winner {
                None => write!(f, "{}: {}", r.kind, r.text),
                Some(w) => write!(
                    f,
                    "{}: {}; change {} of {} was accepted before",
                    r.kind, r.text, w.request, w.sender
                ),
            },
        }
    }
}

impl From<std::io::Error> for CliError {
    fn from(e: std::io::Error) -> CliError {
        CliError::Io(e)
    }
}

impl From<pico_args::Error> for CliError {
    fn from(e: pico_args::Error) -> CliError {
        CliError::Args(e.to_string())
    }
}

impl From<serde_json::Error> for CliError {
    fn from(e: serde_json::Error) -> CliError {
        CliError::Args(format!("bad JSON: {e}"))
    }
}

impl From<csv::Error> for CliError {
    fn from(e: csv::Error) -> CliError {
        CliError::Args(format!("bad CSV: {e}"))
    }
}
