//! `pomelovale status`: shows the version in force on each instance.

use pico_args::Arguments;
use serde_json::Value;

use crate::args::reject_remaining;
use crate::client::Client;
use crate::error::CliError;
use crate::output;
use crate::table;

/// Usage text.
pub const USAGE: &str = "\
Shows, for each instance, the version in force and the age of its view.

Usage:
    pomelovale status [options]

The age is the time since the view was last proven complete; an instance refuses
keyed requests once it is over 4,000 ms.
";

const COLUMNS: [&str; 3] = ["instance", "version", "view_ms"];

/// Runs the command.
pub fn run(client: &Client, args: Arguments) -> Result<(), CliError> {
    reject_remaining(args)?;
    let status: Value = client.get("/v1/status")?;
    if client.global().json {
        output::line(serde_json::to_string_pretty(&status)?);
        return Ok(());
    }
    let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
    let (view, log) = (&status["view"], &status["log"]);
    output::line(format!(
        "{} holds version {}, proven {} ms ago",
        text(&status["instance"]),
        view["version"],
        view["age_ms"]
    ));
    output::line(format!(
        "log: {} of epoch {}, leader {}, commit {}, last {}",
        text(&log["role"]),
        log["epoch"],
        text(&log["leader"]),
        log["commit"],
        log["last"]
    ));
    let rows: Vec<Vec<String>> = status["instances"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|i| COLUMNS.iter().map(|k| text(&i[*k])).collect())
        .collect();
    table::print(&COLUMNS, &rows);
    Ok(())
}
