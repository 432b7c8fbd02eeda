//! `pomelovale apply`: sends a JSON list of commands as one change.

use pico_args::Arguments;
use pomelovale_state::command::Command;

use crate::args::{positional, reject_remaining};
use crate::client::Client;
use crate::error::CliError;
use crate::output;

/// Usage text.
pub const USAGE: &str = "\
Sends a JSON list of commands as one change: all are accepted, or none.

Usage:
    pomelovale apply <file> [options]

The file holds a list such as
    [{\"put_workspace\": {\"name\": \"shop\", \"workspace\": {\"rate\": 50, \"burst\": 100, \"weight\": 1}}},
     {\"revoke_key\": \"k7\"}]

The change is not checked against the document's version unless --base gives one.
";

/// Runs the command.
pub fn run(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let path: String = positional(&mut args, "file")?;
    reject_remaining(args)?;
    let commands: Vec<Command> = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let count = commands.len();
    let (version, _) = client.propose(None, Command::Batch(commands))?;
    output::line(format!("accepted {count} commands as version {version}"));
    Ok(())
}
