//! `pomelovale instance`: lists, adds, drains and removes instances.

use std::net::SocketAddr;

use pico_args::Arguments;
use pomelovale_state::command::{Command, Item};
use pomelovale_state::document::{Instance, MemberState};
use pomelovale_state::Name;

use crate::args::{name, reject_remaining, required_option};
use crate::client::Client;
use crate::error::CliError;
use crate::output;
use crate::table;

/// Usage text.
pub const USAGE: &str = "\
Lists, adds, drains and removes instances.

Usage:
    pomelovale instance list [options]
    pomelovale instance put <name> --region NAME --domain NAME
                        [--callers IP:PORT] [--peers IP:PORT] [options]
    pomelovale instance drain <name> [options]
    pomelovale instance resume <name> [options]
    pomelovale instance remove <name> [options]

A drained instance is removed from the entry list, but still serves callers that use
an older list.
";

/// Runs the command.
pub fn run(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let verb = args.subcommand()?.unwrap_or_default();
    if verb == "list" {
        reject_remaining(args)?;
        return list(client);
    }
    let name = name(&mut args, "instance name")?;
    let command = match verb.as_str() {
        "put" => Command::PutInstance {
            name: name.clone(),
            instance: parse_item(&mut args)?,
        },
        "drain" => Command::SetInstance {
            name: name.clone(),
            state: MemberState::Leaving,
        },
        "resume" => Command::SetInstance {
            name: name.clone(),
            state: MemberState::Serving,
        },
        "remove" => Command::RemoveInstance(name.clone()),
        other => {
            return Err(CliError::Args(format!(
                "{other:?} is not an instance command"
            )))
        }
    };
    reject_remaining(args)?;
    let base = client.document()?.item_version(&Item::Instance(name));
    let (version, item) = client.propose(Some(base), command)?;
    output::line(format!(
        "accepted as version {version}, instance version {item}"
    ));
    Ok(())
}

fn parse_item(args: &mut Arguments) -> Result<Instance, CliError> {
    Ok(Instance {
        callers: args.opt_value_from_str("--callers")?,
        peers: args.opt_value_from_str("--peers")?,
        region: required_option::<String>(args, "--region")?.into(),
        domain: required_option::<String>(args, "--domain")?.into(),
        state: MemberState::Serving,
    })
}

fn list(client: &Client) -> Result<(), CliError> {
    let document = client.document()?;
    if client.global().json {
        output::line(serde_json::to_string_pretty(&document.instances)?);
        return Ok(());
    }
    let address = |a: Option<SocketAddr>| a.map(|a| a.to_string()).unwrap_or_default();
    let row = |(name, i): (&Name, &Instance)| {
        vec![
            name.to_string(),
            i.region.to_string(),
            i.domain.to_string(),
            address(i.callers),
            address(i.peers),
            format!("{:?}", i.state).to_lowercase(),
        ]
    };
    let rows: Vec<Vec<String>> = document.instances.iter().map(row).collect();
    table::print(
        &["name", "region", "domain", "callers", "peers", "state"],
        &rows,
    );
    Ok(())
}
