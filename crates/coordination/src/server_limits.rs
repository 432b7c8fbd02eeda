//! Limits that backend servers name, which the leader collects from the reports of the
//! instances and records in the document.

use indexmap::IndexMap;
use pomelovale_protocol::report::LIMIT_HOLD_MS;
use pomelovale_state::command::Command;
use pomelovale_state::document::Document;
use pomelovale_state::{Millis, Name};

use crate::measurements::Measurements;

/// Largest age at which a report counts, in milliseconds.
const REPORT_AGE_MAX_MS: u64 = 3_000;
/// A limit that differs from the recorded one by less than this percentage is not
/// recorded, so that one which changes with each answer doesn't change the document each
/// time.
const CHANGE_PERCENT: u64 = 10;

/// Returns the command that records what the reports say about limits, if there are
/// changes. The latest limit of a server counts, and its end only once no instance has been
/// named a limit for a while.
pub fn changes(measurements: &Measurements, document: &Document, now: Millis) -> Option<Command> {
    let mut latest: IndexMap<&Name, (u64, Option<u64>)> = IndexMap::new();
    for report in measurements.reports() {
        let received_ms = measurements.age(now, &report.instance);
        if received_ms > REPORT_AGE_MAX_MS {
            continue;
        }
        for limit in &report.limits {
            let age_ms = received_ms.saturating_add(limit.age_ms);
            let rate = limit.rate.filter(|_| age_ms < LIMIT_HOLD_MS);
            // An old notice of a limit is no notice of its end.
            if rate.is_none() && limit.rate.is_some() {
                continue;
            }
            let known = latest.entry(&limit.server).or_insert((age_ms, rate));
            let is_later = (rate.is_some(), known.0) > (known.1.is_some(), age_ms);
            if is_later {
                *known = (age_ms, rate);
            }
        }
    }
    let changed = latest.into_iter().filter_map(|(server, (_, rate))| {
        let recorded = document.limits.get(server).copied();
        let known = document.backends.contains_key(server);
        (known && differs(recorded, rate)).then(|| (server.clone(), rate))
    });
    let changed: Vec<(Name, Option<u64>)> = changed.collect();
    (!changed.is_empty()).then_some(Command::SetServerLimits(changed))
}

/// Whether a command starts or ends a limit.
pub fn is_start_or_end(document: &Document, command: &Command) -> bool {
    let Command::SetServerLimits(limits) = command else {
        return false;
    };
    let is_limited = |server| document.limits.contains_key(server);
    limits
        .iter()
        .any(|(server, rate)| is_limited(server) != rate.is_some())
}

fn differs(recorded: Option<u64>, named: Option<u64>) -> bool {
    match (recorded, named) {
        (Some(recorded), Some(named)) => recorded.abs_diff(named) * 100 > recorded * CHANGE_PERCENT,
        (recorded, named) => recorded != named,
    }
}
