//! `pomelovale backend`: lists, adds, drains and removes backend servers.

use pico_args::Arguments;
use pomelovale_state::command::{Command, Item};
use pomelovale_state::document::{Backend, MemberState};

use crate::args::{name, reject_remaining, required_option};
use crate::client::Client;
use crate::error::CliError;
use crate::output;
use crate::table;

/// Usage text.
pub const USAGE: &str = "\
Lists, adds, drains and removes backend servers.

Usage:
    pomelovale backend list [options]
    pomelovale backend put <name> --address IP:PORT --service NAME --region NAME
                       --domain NAME --slots N --connections N [options]
    pomelovale backend drain <name> [options]
    pomelovale backend resume <name> [options]
    pomelovale backend remove <name> [options]

A drained backend server gets no new requests after at most 3 seconds and finishes those
it has.

Examples:
    pomelovale backend drain shop-3
    pomelovale backend put shop-4 --address 127.0.0.1:7104 --service shop \\
        --region north --domain north-a --slots 6 --connections 330
";

/// Runs the command.
pub fn run(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let verb = args.subcommand()?.unwrap_or_default();
    if verb == "list" {
        reject_remaining(args)?;
        return list(client);
    }
    let name = name(&mut args, "backend server name")?;
    let command = match verb.as_str() {
        "put" => Command::PutBackend {
            name: name.clone(),
            backend: parse_item(&mut args)?,
        },
        "drain" => Command::SetBackend {
            name: name.clone(),
            state: MemberState::Leaving,
        },
        "resume" => Command::SetBackend {
            name: name.clone(),
            state: MemberState::Serving,
        },
        "remove" => Command::RemoveBackend(name.clone()),
        other => {
            return Err(CliError::Args(format!(
                "{other:?} is not a backend command"
            )))
        }
    };
    reject_remaining(args)?;
    let base = client.document()?.item_version(&Item::Backend(name));
    let (version, item) = client.propose(Some(base), command)?;
    output::line(format!(
        "accepted as version {version}, backend server version {item}"
    ));
    Ok(())
}

fn parse_item(args: &mut Arguments) -> Result<Backend, CliError> {
    Ok(Backend {
        address: required_option(args, "--address")?,
        service: required_option::<String>(args, "--service")?.into(),
        region: required_option::<String>(args, "--region")?.into(),
        domain: required_option::<String>(args, "--domain")?.into(),
        slots: required_option(args, "--slots")?,
        connections: required_option(args, "--connections")?,
        cold_ms: 0,
        state: MemberState::Serving,
    })
}

fn list(client: &Client) -> Result<(), CliError> {
    let document = client.document()?;
    if client.global().json {
        output::line(serde_json::to_string_pretty(&document.backends)?);
        return Ok(());
    }
    let row = |(name, b): (&pomelovale_state::Name, &Backend)| {
        vec![
            name.to_string(),
            b.service.to_string(),
            b.region.to_string(),
            b.domain.to_string(),
            b.address.to_string(),
            b.slots.to_string(),
            b.connections.to_string(),
            format!("{:?}", b.state).to_lowercase(),
        ]
    };
    let rows: Vec<Vec<String>> = document.backends.iter().map(row).collect();
    table::print(
        &[
            "name",
            "service",
            "region",
            "domain",
            "address",
            "slots",
            "connections",
            "state",
        ],
        &rows,
    );
    Ok(())
}
