//! `pomelovale key`: makes, adds, lists and revokes keys.

use pico_args::Arguments;
use pomelovale_state::command::{Command, Item};
use pomelovale_state::digest::Digest;
use pomelovale_state::document::{Key, KeyHolder};
use pomelovale_state::Name;
use rand::Rng;

use crate::args::{name, reject_remaining};
use crate::client::Client;
use crate::error::CliError;
use crate::output;
use crate::table;

/// Usage text.
pub const USAGE: &str = "\
Makes, adds, lists and revokes keys.

Usage:
    pomelovale key make <id>
    pomelovale key add <id> (--workspace NAME | --operator NAME) [options]
    pomelovale key list [options]
    pomelovale key revoke <id> [options]

`make` prints a new key and its digest for a settings file and sends nothing.
`add` makes a key, sends only its digest, and prints the key once.
A revoked key is refused everywhere within 5 seconds, and its identifier is
never used again.
";

/// Runs the command.
pub fn run(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    match args.subcommand()?.unwrap_or_default().as_str() {
        "add" => add(client, args),
        "list" => {
            reject_remaining(args)?;
            list(client)
        }
        "make" => {
            let id = name(&mut args, "key identifier")?;
            reject_remaining(args)?;
            let (key, digest) = make(&id)?;
            output::line(format!("key     {key}\ndigest  {digest}"));
            Ok(())
        }
        "revoke" => revoke(client, args),
        other => Err(CliError::Args(format!("{other:?} is not a key command"))),
    }
}

fn make(id: &Name) -> Result<(String, Digest), CliError> {
    if id.contains('.') {
        return Err(CliError::Args(
            "a key identifier can't contain '.'".to_owned(),
        ));
    }
    let secret: [u8; 24] = rand::rng().random();
    let secret: String = secret.iter().map(|b| format!("{b:02x}")).collect();
    let key = format!("pk.{id}.{secret}");
    let digest = Digest::of_key(&key);
    Ok((key, digest))
}

fn add(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let id = name(&mut args, "key identifier")?;
    let workspace: Option<String> = args.opt_value_from_str("--workspace")?;
    let operator: Option<String> = args.opt_value_from_str("--operator")?;
    reject_remaining(args)?;
    let holder = match (workspace, operator) {
        (Some(w), None) => KeyHolder::Workspace(w.into()),
        (None, Some(o)) => KeyHolder::Operator(o.into()),
        _ => {
            return Err(CliError::Args(
                "give either --workspace or --operator".to_owned(),
            ))
        }
    };
    let (key, digest) = make(&id)?;
    let (version, _) = client.propose(Some(0), Command::PutKey { id, holder, digest })?;
    output::line(key);
    eprintln!("accepted as version {version}; the key is not shown again");
    Ok(())
}

fn revoke(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let id = name(&mut args, "key identifier")?;
    reject_remaining(args)?;
    let base = client.document()?.item_version(&Item::Key(id.clone()));
    let (version, _) = client.propose(Some(base), Command::RevokeKey(id))?;
    output::line(format!("accepted as version {version}"));
    Ok(())
}

fn list(client: &Client) -> Result<(), CliError> {
    let document = client.document()?;
    if client.global().json {
        output::line(serde_json::to_string_pretty(&document.keys)?);
        return Ok(());
    }
    let row = |(id, key): (&Name, &Key)| {
        let (kind, holder) = match &key.holder {
            KeyHolder::Operator(o) => ("operator", o),
            KeyHolder::Workspace(w) => ("workspace", w),
        };
        let state = if key.revoked { "revoked" } else { "valid" };
        vec![
            id.to_string(),
            kind.to_owned(),
            holder.to_string(),
            state.to_owned(),
        ]
    };
    let rows: Vec<Vec<String>> = document.keys.iter().map(row).collect();
    table::print(&["id", "kind", "holder", "state"], &rows);
    Ok(())
}
