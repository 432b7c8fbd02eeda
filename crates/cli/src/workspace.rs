//! `pomelovale workspace`: lists and puts workspaces.

use pico_args::Arguments;
use pomelovale_state::command::{Command, Item};
use pomelovale_state::document::Workspace;

use crate::args::{name, reject_remaining, required_option};
use crate::client::Client;
use crate::error::CliError;
use crate::output;
use crate::table;

/// Usage text.
pub const USAGE: &str = "\
Lists and puts workspaces.

Usage:
    pomelovale workspace list [options]
    pomelovale workspace put <name> --rate N --burst N [--weight N] [options]

The rate is in requests a second over all instances; the weight is the share
in queues relative to the others.
";

/// Runs the command.
pub fn run(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    match args.subcommand()?.unwrap_or_default().as_str() {
        "list" => {
            reject_remaining(args)?;
            list(client)
        }
        "put" => put(client, args),
        other => Err(CliError::Args(format!(
            "{other:?} is not a workspace command"
        ))),
    }
}

fn put(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let name = name(&mut args, "workspace name")?;
    let weight: Option<u32> = args.opt_value_from_str("--weight")?;
    let workspace = Workspace {
        rate: required_option(&mut args, "--rate")?,
        burst: required_option(&mut args, "--burst")?,
        weight: weight.unwrap_or(1),
    };
    reject_remaining(args)?;
    let base = client
        .document()?
        .item_version(&Item::Workspace(name.clone()));
    let (version, item) = client.propose(Some(base), Command::PutWorkspace { name, workspace })?;
    output::line(format!(
        "accepted as version {version}, workspace version {item}"
    ));
    Ok(())
}

fn list(client: &Client) -> Result<(), CliError> {
    let document = client.document()?;
    if client.global().json {
        output::line(serde_json::to_string_pretty(&document.workspaces)?);
        return Ok(());
    }
    let row = |(name, w): (&pomelovale_state::Name, &Workspace)| {
        vec![
            name.to_string(),
            w.rate.to_string(),
            w.burst.to_string(),
            w.weight.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = document.workspaces.iter().map(row).collect();
    table::print(&["name", "rate", "burst", "weight"], &rows);
    Ok(())
}
