//! The pomelovale daemon: `pomelovaled --config FILE`.

use std::path::{Path, PathBuf};
use std::process::exit;

use error_stack::Report;
use metrics_exporter_prometheus::PrometheusBuilder;
use pico_args::Arguments;
use pomelovale_state::{Clock, ErrorKind};
use pomelovaled::error_report::describe;
use pomelovaled::node::Node;
use pomelovaled::settings::Settings;
use tokio::signal::unix::{signal, SignalKind};

const USAGE: &str = "\
Runs an instance of pomelovale.

Usage:
    pomelovaled --config FILE
    pomelovaled check FILE
    pomelovaled --help

`check` reads a settings file and prints every error with its JSON path; it does
not start an instance. SIGTERM and SIGINT stop the instance gracefully.

Exit codes:
    0 stopped gracefully, or the settings are valid   2 bad arguments
    3 bad settings   70 the instance could not start or run
    74 the data is damaged, or of a build whose format this one can't read

Examples:
    pomelovaled check examples/north.json
    pomelovaled --config examples/north.json
";

enum CliCommand {
    Check(PathBuf),
    Help,
    Run(PathBuf),
}

fn parse_args() -> Result<CliCommand, pico_args::Error> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(CliCommand::Help);
    }
    match args.subcommand()?.as_deref() {
        Some("check") => Ok(CliCommand::Check(args.free_from_str()?)),
        Some(other) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("{other:?} is not a command"),
        }),
        None => Ok(CliCommand::Run(args.value_from_str("--config")?)),
    }
}

fn main() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let code = match parse_args() {
        Err(e) => {
            eprintln!("pomelovaled: {e}; see pomelovaled --help");
            2
        }
        Ok(CliCommand::Help) => {
            print!("{USAGE}");
            0
        }
        Ok(CliCommand::Check(path)) => check(&path),
        Ok(CliCommand::Run(path)) => run(&path),
    };
    exit(code);
}

fn load(path: &Path) -> Option<Settings> {
    match Settings::load(path) {
        Ok(settings) => Some(settings),
        Err(errors) => {
            for error in errors {
                eprintln!("{}: {}: {}", path.display(), error.path, error.text);
            }
            None
        }
    }
}

fn check(path: &Path) -> i32 {
    match load(path) {
        Some(settings) => {
            println!(
                "{}: the settings of {} are valid",
                path.display(),
                settings.instance
            );
            0
        }
        None => ErrorKind::BadSettings.answer().exit,
    }
}

fn run(path: &Path) -> i32 {
    let Some(settings) = load(path) else {
        return ErrorKind::BadSettings.answer().exit;
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("pomelovaled: can't start the async runtime: {e}");
            return ErrorKind::Internal.answer().exit;
        }
    };
    match runtime.block_on(serve(&settings)) {
        Ok(()) => 0,
        Err(report) => {
            eprintln!("pomelovaled: {}", describe(&report));
            report.current_context().answer().exit
        }
    }
}

async fn serve(settings: &Settings) -> Result<(), Report<ErrorKind>> {
    let internal = |text: String| Report::new(ErrorKind::Internal).attach(text);
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| internal(e.to_string()))?;
    let mut node = Node::start(settings, Clock::monotonic(), metrics).await?;
    let callers = node.callers().map(|a| a.to_string()).unwrap_or_default();
    println!(
        "{} serves callers on {callers:?} and operators on {}",
        settings.instance,
        node.operators()
    );
    let (mut term, mut int) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let fault = match (&mut term, &mut int) {
        (Ok(term), Ok(int)) => tokio::select! {
            _ = term.recv() => None,
            _ = int.recv() => None,
            fault = node.failed() => Some(fault),
        },
        _ => {
            return Err(internal(
                "can't install the handlers for SIGTERM and SIGINT".to_owned(),
            ))
        }
    };
    // Also after a fault, so that requests in flight are answered.
    node.stop().await;
    println!("{} stopped", settings.instance);
    fault.map_or(Ok(()), Err)
}
