//! `pomelovale service`: lists and puts services.

use pico_args::Arguments;
use pomelovale_state::command::{Command, Item};
use pomelovale_state::document::Service;

use crate::args::{name, positional, reject_remaining};
use crate::client::Client;
use crate::error::CliError;
use crate::output;
use crate::table;

/// Usage text.
pub const USAGE: &str = "\
Lists and puts services.

Usage:
    pomelovale service list [options]
    pomelovale service put <name> <file> [options]

The file is a JSON object such as
    {\"timeout_ms\": 2000, \"bytes\": 16384,
     \"routes\": [{\"prefix\": \"/stock\", \"open\": true}, {\"prefix\": \"/bookings\"}]}
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
            "{other:?} is not a service command"
        ))),
    }
}

fn put(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let name = name(&mut args, "service name")?;
    let path: String = positional(&mut args, "file")?;
    reject_remaining(args)?;
    let service: Service = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let base = client
        .document()?
        .item_version(&Item::Service(name.clone()));
    let (version, item) = client.propose(Some(base), Command::PutService { name, service })?;
    output::line(format!(
        "accepted as version {version}, service version {item}"
    ));
    Ok(())
}

fn list(client: &Client) -> Result<(), CliError> {
    let document = client.document()?;
    if client.global().json {
        output::line(serde_json::to_string_pretty(&document.services)?);
        return Ok(());
    }
    let mut rows = Vec::new();
    for (name, service) in &document.services {
        for route in &service.routes {
            let access = if route.open { "open" } else { "keyed" };
            let timeout = service.timeout_ms.to_string();
            rows.push(vec![
                name.to_string(),
                route.prefix.clone(),
                access.to_owned(),
                timeout,
            ]);
        }
    }
    table::print(&["service", "prefix", "access", "timeout_ms"], &rows);
    Ok(())
}
