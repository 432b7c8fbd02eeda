//! Backend servers that gateways can't reach, as the leader sees them.
//!
//! With many gateways each one sends a server few requests, so that most of
//! them would neither notice that it was down nor that it came back cold.

use indexmap::IndexMap;
use pomelovale_state::command::Command;
use pomelovale_state::document::{Backend, Document, MemberState};
use pomelovale_state::{Millis, Name};

use crate::measurements::Measurements;

/// Age up to which a report of unreachable servers counts, in milliseconds.
const REPORT_AGE_MAX_MS: u64 = 1_500;
/// A gateway that can't reach more than one in this many servers of its region
/// is believed only if another one agrees: the fault may be its own.
const OWN_FAULT_DIVISOR: usize = 4;

/// The commands that take unreachable servers out, and take them back once no
/// gateway of their region reports them any more. They are as cold as a gateway
/// found them, since they may have started anew.
pub fn changes(measures: &Measurements, document: &Document, now: Millis) -> Vec<Command> {
    let down_reports = down_reports(measures, document, now);
    let mut commands = Vec::new();
    for (name, backend) in &document.backends {
        let down = down_reports.get(name).is_some_and(|c| c.is_confirmed());
        match (backend.state, down) {
            (MemberState::Serving, true) => commands.push(Command::SetBackend {
                name: name.clone(),
                state: MemberState::Away,
            }),
            (MemberState::Away, false) => commands.push(Command::PutBackend {
                name: name.clone(),
                backend: Backend {
                    cold_ms: cold_ms(measures, document, now, name),
                    state: MemberState::Serving,
                    ..backend.clone()
                },
            }),
            (MemberState::Away, true)
            | (MemberState::Leaving, _)
            | (MemberState::Serving, false) => {}
        }
    }
    commands
}

#[derive(Clone, Copy, Debug, Default)]
struct DownReports {
    gateways: usize,
    // Whether one of them reaches most servers of its region.
    reaches_most: bool,
}

impl DownReports {
    fn is_confirmed(&self) -> bool {
        self.reaches_most || self.gateways > 1
    }
}

fn down_reports<'a>(
    measures: &'a Measurements,
    document: &Document,
    now: Millis,
) -> IndexMap<&'a Name, DownReports> {
    let mut down_reports: IndexMap<&Name, DownReports> = IndexMap::new();
    let recent = measures
        .reports()
        .filter(|r| !r.down.is_empty() && measures.age(now, &r.instance) <= REPORT_AGE_MAX_MS);
    for report in recent {
        let Some(instance) = document.instances.get(&report.instance) else {
            continue;
        };
        let in_region = |b: &&Backend| b.region == instance.region;
        let all = document.backends.values().filter(in_region).count();
        let known_in_region =
            |name: &&Name| document.backends.get(*name).is_some_and(|b| in_region(&b));
        let down: Vec<&Name> = report.down.iter().filter(known_in_region).collect();
        let reaches_most = down.len() * OWN_FAULT_DIVISOR <= all;
        for name in down {
            let reports = down_reports.entry(name).or_default();
            reports.gateways += 1;
            reports.reaches_most |= reaches_most;
        }
    }
    down_reports
}

// As a gateway found it; else it may have started just now.
fn cold_ms(measures: &Measurements, document: &Document, now: Millis, name: &Name) -> u64 {
    let recent = measures
        .reports()
        .filter(|r| measures.age(now, &r.instance) <= REPORT_AGE_MAX_MS);
    let found = recent.flat_map(|r| &r.back).filter(|(n, _)| n == name);
    if let Some((_, cold_ms)) = found.max_by_key(|(_, cold_ms)| *cold_ms) {
        return *cold_ms;
    }
    let routing = document.routing.as_ref();
    let backend = document.backends.get(name);
    let service = routing.and_then(|r| r.services.get(&backend?.service));
    service.map_or(0, |s| s.cold_ms)
}
