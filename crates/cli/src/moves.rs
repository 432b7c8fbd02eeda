//! `pomelovale move`: creates, shows, steps, exports and applies moves.

use pico_args::Arguments;
use pomelovale_state::command::{Command, Item};
use pomelovale_state::moves::{MoveAction, Step};
use pomelovale_state::sheet::{self, MoveStatus, RowChange};
use pomelovale_state::{ErrorKind, Name};
use serde::Serialize;

use crate::args::{name, positional, reject_remaining, required_option};
use crate::client::Client;
use crate::error::CliError;
use crate::output;
use crate::table;

/// Usage text.
pub const USAGE: &str = "\
Creates, shows, steps, exports and applies moves.

Usage:
    pomelovale move create <name> --services LIST --from REGION --to REGION
                    --steps LIST [options]
    pomelovale move show [<name>] [options]
    pomelovale move advance <name> <step> [options]
    pomelovale move reverse <name> <step> [options]
    pomelovale move leave <name> <step> [options]
    pomelovale move hold <name> [--reason TEXT] [options]
    pomelovale move release <name> [options]
    pomelovale move export [<name>] [--out FILE] [options]
    pomelovale move apply <sheet.csv> [options]

Steps are SHARE:CAP pairs in per mille, such as 50:50,200:150,500:300,1000:500.
`advance` applies a step, `reverse` undoes the last one, `leave` undoes several
steps at once if the destination fails.

`export` writes a sheet with one row a step. Fill the column `action` with
advance, reverse, leave, hold, release or plan, and `apply` the same file:
stale rows are refused, the others are applied, and every row is listed.
`plan` rows create a move or replace the steps that have not begun.

Examples:
    pomelovale move create weekend --services shop --from north --to south --steps 100:100,400:300
    pomelovale move export --out sheet.csv
    pomelovale move apply sheet.csv
";

/// Runs the command.
pub fn run(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let verb = args.subcommand()?.unwrap_or_default();
    match verb.as_str() {
        "advance" | "hold" | "leave" | "release" | "reverse" => change_step(client, &verb, args),
        "apply" => apply(client, args),
        "create" => create(client, args),
        "export" => export(client, args),
        "show" => show(client, args),
        other => Err(CliError::Args(format!("{other:?} is not a move command"))),
    }
}

fn create(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let name = name(&mut args, "move name")?;
    let services: String = required_option(&mut args, "--services")?;
    let (from, to): (String, String) = (
        required_option(&mut args, "--from")?,
        required_option(&mut args, "--to")?,
    );
    let steps = read_steps(&required_option::<String>(&mut args, "--steps")?)?;
    reject_remaining(args)?;
    let services = services.split(',').map(Name::from).collect();
    let command = Command::PutMove {
        name,
        services,
        from: from.into(),
        to: to.into(),
        steps,
    };
    let (version, item) = client.propose(Some(0), command)?;
    output::line(format!(
        "accepted as version {version}, move version {item}"
    ));
    Ok(())
}

fn read_steps(text: &str) -> Result<Vec<Step>, CliError> {
    let read = |part: &str| {
        let (share, cap) = part.split_once(':')?;
        Some(Step {
            share: share.parse().ok()?,
            cap: cap.parse().ok()?,
        })
    };
    let bad = |part: &str| CliError::Args(format!("{part:?} is not a step such as 200:150"));
    text.split(',')
        .map(|part| read(part).ok_or_else(|| bad(part)))
        .collect()
}

fn change_step(client: &Client, verb: &str, mut args: Arguments) -> Result<(), CliError> {
    let name = name(&mut args, "move name")?;
    let action = match verb {
        "advance" => MoveAction::Advance {
            to: positional(&mut args, "step")?,
        },
        "hold" => {
            let reason: Option<String> = args.opt_value_from_str("--reason")?;
            MoveAction::Hold {
                reason: reason.unwrap_or_else(|| "held by an operator".to_owned()),
            }
        }
        "leave" => MoveAction::Leave {
            to: positional(&mut args, "step")?,
        },
        "release" => MoveAction::Release,
        _ => MoveAction::Reverse {
            to: positional(&mut args, "step")?,
        },
    };
    reject_remaining(args)?;
    let base = client.document()?.item_version(&Item::Move(name.clone()));
    let (version, item) = client.propose(Some(base), Command::StepMove { name, action })?;
    output::line(format!(
        "accepted as version {version}, move version {item}"
    ));
    Ok(())
}

fn moves(client: &Client, args: &mut Arguments) -> Result<Vec<MoveStatus>, CliError> {
    let wanted: Option<String> = args.opt_free_from_str()?;
    let mut moves: Vec<MoveStatus> = client.get("/v1/moves")?;
    if let Some(wanted) = wanted {
        moves.retain(|m| m.name.as_str() == wanted);
        if moves.is_empty() {
            return Err(CliError::kind(
                ErrorKind::NotFound,
                format!("there is no move named {wanted}"),
            ));
        }
    }
    Ok(moves)
}

fn show(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let moves = moves(client, &mut args)?;
    reject_remaining(args)?;
    if client.global().json {
        output::line(serde_json::to_string_pretty(&moves)?);
        return Ok(());
    }
    let row = |m: &MoveStatus| {
        let reason = m
            .next
            .as_ref()
            .map(|n| n.reason.clone())
            .unwrap_or_default();
        let reason = if m.plan.reason.is_empty() {
            reason
        } else {
            m.plan.reason.clone()
        };
        vec![
            m.name.to_string(),
            m.plan.from.to_string(),
            m.plan.to.to_string(),
            format!("{}/{}", m.plan.done, m.plan.steps.len()),
            m.plan.share().to_string(),
            m.version.to_string(),
            reason,
        ]
    };
    let rows: Vec<Vec<String>> = moves.iter().map(row).collect();
    table::print(
        &["move", "from", "to", "steps", "share", "version", "reason"],
        &rows,
    );
    Ok(())
}

fn export(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let out: Option<String> = args.opt_value_from_str("--out")?;
    let moves = moves(client, &mut args)?;
    reject_remaining(args)?;
    let text = sheet::write(&moves)?;
    match out {
        Some(path) => std::fs::write(path, text)?,
        None => output::text(text),
    }
    Ok(())
}

#[derive(Serialize)]
struct RowResult {
    rows: Vec<u64>,
    result: &'static str,
    text: String,
}

fn apply(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let path: String = positional(&mut args, "sheet")?;
    reject_remaining(args)?;
    let sheet = sheet::read(&std::fs::read_to_string(path)?, &client.global().sender);
    let mut results: Vec<RowResult> = sheet.changes.iter().map(|c| send(client, c)).collect();
    for f in &sheet.faults {
        let text = match f.column.as_str() {
            "" => f.text.clone(),
            column => format!("column {column}: {}", f.text),
        };
        results.push(RowResult {
            rows: vec![f.row],
            result: "refused",
            text,
        });
    }
    for row in sheet.idle {
        results.push(RowResult {
            rows: vec![row],
            result: "no action",
            text: String::new(),
        });
    }
    results.sort_by_key(|r| r.rows[0]);
    print_results(client, &results)?;
    match results.iter().filter(|r| r.result == "refused").count() {
        0 => Ok(()),
        n => Err(CliError::Rows(n)),
    }
}

fn send(client: &Client, row: &RowChange) -> RowResult {
    let rows = row.rows.clone();
    match client.send(&row.change) {
        Ok((version, _)) => RowResult {
            rows,
            result: "applied",
            text: format!("version {version}"),
        },
        Err(e) => RowResult {
            rows,
            result: "refused",
            text: e.to_string(),
        },
    }
}

fn print_results(client: &Client, results: &[RowResult]) -> Result<(), CliError> {
    if client.global().json {
        output::line(serde_json::to_string_pretty(results)?);
        return Ok(());
    }
    for r in results {
        let rows: Vec<String> = r.rows.iter().map(u64::to_string).collect();
        output::line(format!("row {}: {} {}", rows.join(","), r.result, r.text));
    }
    Ok(())
}
