//! The operators' command line of pomelovale.

mod apply;
mod args;
mod backend;
mod blocks;
mod client;
mod error;
mod explain;
mod instance;
mod key;
mod moves;
mod output;
mod service;
mod status;
mod table;
mod workspace;

use std::ffi::OsString;
use std::process::exit;

use pico_args::Arguments;

use client::Client;
use error::CliError;

const USAGE: &str = "\
Manages a pomelovale site.

Usage:
    pomelovale <command> [<args>...] [options]
    pomelovale <command> --help

Commands:
    apply      Send a JSON list of commands as one change
    backend    List, add, drain and remove backend servers
    blocks     Count and load client blocks
    explain    Print what log files hold about a request
    instance   List, add, drain and remove instances
    key        Make, add, list and revoke keys
    move       Create, show, step, export and apply moves
    service    List and put services
    status     Show what is in force on each instance
    workspace  List and put workspaces

Options:
    --operators LIST   Operators' listeners, comma-separated [POMELOVALE_OPERATORS]
    --key-file FILE    File with the operator's key [POMELOVALE_KEY_FILE, POMELOVALE_KEY]
    --request ID       Request identifier, to send a change again after a lost answer
    --base N           Version that the change builds on [the version read just before]
    --json             Print lists as JSON

Exit codes:
    0 done   2 bad arguments   5 try again later   6 key refused   7 move held
    8 not found   9 outcome unknown   10 version conflict   11 file error
    12 some rows refused   70 internal error

Examples:
    pomelovale status --operators 127.0.0.1:9081
    pomelovale move export --out sheet.csv
    pomelovale move apply sheet.csv
    pomelovale key revoke k7
";

type Handler = fn(&Client, Arguments) -> Result<(), CliError>;

fn main() {
    env_logger::init();
    let words: Vec<OsString> = std::env::args_os().skip(1).collect();
    if let Err(e) = run(Arguments::from_vec(words)) {
        eprintln!("pomelovale: {e}");
        exit(e.exit());
    }
}

fn run(mut args: Arguments) -> Result<(), CliError> {
    let command = args.subcommand()?.unwrap_or_default();
    let (usage, start): (&str, Handler) = match command.as_str() {
        "apply" => (apply::USAGE, apply::run),
        "backend" => (backend::USAGE, backend::run),
        "blocks" => (blocks::USAGE, blocks::run),
        "explain" => (explain::USAGE, explain::run),
        "instance" => (instance::USAGE, instance::run),
        "key" => (key::USAGE, key::run),
        "move" => (moves::USAGE, moves::run),
        "service" => (service::USAGE, service::run),
        "status" => (status::USAGE, status::run),
        "workspace" => (workspace::USAGE, workspace::run),
        "" => {
            output::text(USAGE);
            return Ok(());
        }
        other => {
            return Err(CliError::Args(format!(
                "{other:?} is not a command; see pomelovale --help"
            )))
        }
    };
    if args.contains(["-h", "--help"]) {
        output::text(usage);
        return Ok(());
    }
    let global = args::global(&mut args)?;
    start(&Client::new(global), args)
}
