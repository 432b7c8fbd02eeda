//! `pomelovale explain`: prints the log lines that explain one request.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use pico_args::Arguments;
use pomelovale_state::ErrorKind;
use serde_json::Value;

use crate::client::Client;
use crate::error::CliError;
use crate::output;

/// Usage text.
pub const USAGE: &str = "\
Prints the log lines of one request in order of time, and other events around it:
changed routing tables, unreachable servers, control instances lost or found.

Usage:
    pomelovale explain ID FILE... [--around MS] [options]

FILE holds log lines of one or several processes, one JSON object a line; text
before the object is ignored. Other lines are counted on stderr.

Options:
    --around MS    Print other events up to this long before and after [3000]

Examples:
    pomelovale explain 9c41d07be2a35f68 g1.log g2.log c1.log
";

const AROUND_MS: i64 = 3_000;
/// Events of single requests. Those of other requests are left out.
const REQUEST_EVENTS: [&str; 1] = ["request"];

struct Line {
    at: i64,
    file: String,
    value: Value,
}

/// Runs the command.
pub fn run(client: &Client, mut args: Arguments) -> Result<(), CliError> {
    let around = args.opt_value_from_str("--around")?.unwrap_or(AROUND_MS);
    let id: String = args.free_from_str()?;
    let files = args.finish();
    if files.is_empty() {
        return Err(CliError::Args("no log file is given".to_owned()));
    }
    let mut lines = Vec::new();
    for file in files {
        read_lines(&PathBuf::from(file), &mut lines)?;
    }
    lines.sort_by_key(|line| line.at);
    let own = |line: &&Line| line.value["id"] == Value::String(id.clone());
    let times: Vec<i64> = lines.iter().filter(own).map(|line| line.at).collect();
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        let text = format!("no line names the request {id}; it may not have been logged");
        return Err(CliError::kind(ErrorKind::NotFound, text));
    };
    let selected = lines.iter().filter(|line| {
        let near = line.at >= first - around && line.at <= last + around;
        own(line) || near && !REQUEST_EVENTS.contains(&line.value["event"].as_str().unwrap_or(""))
    });
    for line in selected {
        match client.global().json {
            true => output::line(line.value.to_string()),
            false => output::line(text(line, line.at - first)),
        }
    }
    Ok(())
}

fn read_lines(path: &PathBuf, lines: &mut Vec<Line>) -> Result<(), CliError> {
    let (mut bad, mut first) = (0, None);
    for (number, line) in BufReader::new(File::open(path)?).lines().enumerate() {
        let line = line?;
        let object = line.find('{').map_or("", |at| &line[at..]);
        let value: Option<Value> = serde_json::from_str(object).ok();
        let time = value
            .as_ref()
            .and_then(|v| parse_timestamp(v["timestamp"].as_str()?));
        match (value, time) {
            (Some(value), Some(at)) => lines.push(Line {
                at,
                file: path.display().to_string(),
                value,
            }),
            // The record of dropped log lines has no timestamp.
            (Some(value), None) if value["event"] == "dropped" => {
                eprintln!(
                    "{}: {} lines were dropped here",
                    path.display(),
                    value["lines"]
                );
            }
            _ => {
                bad += 1;
                first = first.or(Some(number + 1));
            }
        }
    }
    if let Some(first) = first {
        eprintln!(
            "{}: {bad} lines are not log lines, the first is line {first}",
            path.display()
        );
    }
    Ok(())
}

// Parses a UTC timestamp such as `2026-12-04T05:41:00.123456Z` into milliseconds since a
// fixed date. Days are counted in the Gregorian calendar with years that begin in March,
// so that the leap day is the last of its year.
fn parse_timestamp(text: &str) -> Option<i64> {
    let (date, time) = text.trim_end_matches('Z').split_once('T')?;
    let mut day = date.split('-').map(str::parse::<i64>);
    let (year, month, day) = (day.next()?.ok()?, day.next()?.ok()?, day.next()?.ok()?);
    let mut parts = time.split(':');
    let (hour, minute): (i64, i64) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    let seconds: f64 = parts.next()?.parse().ok()?;
    let shifted = (month + 9) % 12;
    let years = year - i64::from(month < 3);
    let days = 365 * years + years / 4 - years / 100 + years / 400 + (153 * shifted + 2) / 5 + day;
    Some(((days * 24 + hour) * 60 + minute) * 60_000 + (seconds * 1_000.0) as i64)
}

fn text(line: &Line, offset: i64) -> String {
    let empty = serde_json::Map::new();
    let fields = line.value.as_object().unwrap_or(&empty).iter();
    let shown = fields.filter(|(name, _)| {
        !matches!(name.as_str(), "timestamp" | "level" | "event") && !name.starts_with("log.")
    });
    let shown: Vec<String> = shown
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let event = line.value["event"].as_str().unwrap_or("-");
    format!(
        "{offset:+6} ms  {}  {event}  {}",
        line.file,
        shown.join(" ")
    )
}
