//! `pomelovale blocks`: counts and loads client blocks.

use pico_args::Arguments;
use pomelovale_state::blocks::{BlockChange, Prefix};
use pomelovale_state::command::{Command, Item};

use crate::args::{positional, reject_remaining};
use crate::client::Client;
use crate::error::CliError;
use crate::output;

/// Usage text.
pub const USAGE: &str = "\
Counts and loads client blocks.

Usage:
    pomelovale blocks count [options]
    pomelovale blocks load <file> [options]

The file is CSV with the columns prefix and site; an empty site removes the
row. It is sent in changes of 5,000 rows, each of which builds on the one
before; after a conflict, the rows accepted so far stay, and the command prints
the row to continue from.

Example row:
    198.51.100.0/24,north-1
";

// Keeps a change under the listener's limit of 1 MiB.
const ROWS_MAX: usize = 5_000;

/// Runs the command.
pub fn run(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    match args.subcommand()?.unwrap_or_default().as_str() {
        "count" => {
            reject_remaining(args)?;
            let status: serde_json::Value = client.get("/v1/status")?;
            output::line(status["view"]["blocks"].to_string());
            Ok(())
        }
        "load" => {
            let path: String = positional(&mut args, "file")?;
            reject_remaining(args)?;
            load(client, &read(&path)?)
        }
        other => Err(CliError::Args(format!("{other:?} is not a blocks command"))),
    }
}

fn read(path: &str) -> Result<Vec<BlockChange>, CliError> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_path(path)?;
    let mut changes = Vec::new();
    for record in reader.records() {
        let record = record?;
        let line = record.position().map_or(0, csv::Position::line);
        let prefix: Prefix = record[0].parse().map_err(|_| {
            CliError::Args(format!(
                "row {line}, column prefix: {:?} is not a prefix",
                &record[0]
            ))
        })?;
        let site = record.get(1).filter(|s| !s.is_empty()).map(Into::into);
        changes.push(BlockChange { prefix, site });
    }
    Ok(changes)
}

fn load(client: &Client, changes: &[BlockChange]) -> Result<(), CliError> {
    let mut base = client.document()?.item_version(&Item::Blocks);
    let mut done = 0;
    for part in changes.chunks(ROWS_MAX) {
        match client.propose(Some(base), Command::ChangeBlocks(part.to_vec())) {
            Ok((_, item)) => base = item,
            Err(e) => {
                eprintln!(
                    "rows 1 to {done} were accepted; continue from row {}",
                    done + 1
                );
                return Err(e);
            }
        }
        done += part.len();
    }
    output::line(format!("accepted {done} rows"));
    Ok(())
}
