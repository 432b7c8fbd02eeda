//! Outages of backend servers, which the leader detects from the reports of
//! gateways.
//!
//! With many gateways, each one sends few requests to a given server. Most
//! gateways would therefore notice neither that the server is down nor that it
//! has returned with cold caches.

use indexmap::IndexMap;
use pomelovale_protocol::report::Report;
use pomelovale_state::command::Command;
use pomelovale_state::document::{Backend, Document, MemberState};
use pomelovale_state::{Millis, Name};

use crate::measurements::Measurements;

/// Largest age at which a report of unreachable servers counts, in milliseconds.
const REPORT_AGE_MAX_MS: u64 = 1_500;
/// If a gateway can't reach more than one in this many servers of its region,
/// the fault may be its own. Its report counts only if another gateway confirms
/// it.
const OWN_FAULT_DIVISOR: usize = 4;

/// Returns the commands that remove servers from service whose outage the reports
/// confirm, and that restore servers once the reports no longer confirm it. A
/// restored server may have restarted; it gets the cold time that a gateway
/// measured.
pub fn changes(measurements: &Measurements, document: &Document, now: Millis) -> Vec<Command> {
    let down_reports = down_reports(measurements, document, now);
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
                    cold_ms: cold_ms(measurements, document, now, name),
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

/// The instances whose recent reports name servers as down, and how many they name.
pub fn reporters(measurements: &Measurements, now: Millis) -> Vec<(&Name, usize)> {
    let reports = recent_reports(measurements, now);
    reports.map(|r| (&r.instance, r.down.len())).collect()
}

// Recent reports that name servers as down.
fn recent_reports(measurements: &Measurements, now: Millis) -> impl Iterator<Item = &Report> {
    measurements
        .reports()
        .filter(|r| !r.down.is_empty())
        .filter(move |r| measurements.age(now, &r.instance) <= REPORT_AGE_MAX_MS)
}

/// Reports that one server is down.
#[derive(Clone, Copy, Debug, Default)]
struct DownReports {
    gateways: usize,
    // Whether one of the gateways reaches most servers of its region.
    reaches_most: bool,
}

impl DownReports {
    fn is_confirmed(&self) -> bool {
        self.reaches_most || self.gateways > 1
    }
}

fn down_reports<'a>(
    measurements: &'a Measurements,
    document: &Document,
    now: Millis,
) -> IndexMap<&'a Name, DownReports> {
    let mut down_reports: IndexMap<&Name, DownReports> = IndexMap::new();
    for report in recent_reports(measurements, now) {
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

// The largest cold time that a gateway reported. Without a report the server may
// have just started, so the cold time of its service applies.
fn cold_ms(measurements: &Measurements, document: &Document, now: Millis, name: &Name) -> u64 {
    let recent = measurements
        .reports()
        .filter(|r| measurements.age(now, &r.instance) <= REPORT_AGE_MAX_MS);
    let found = recent.flat_map(|r| &r.back).filter(|(n, _)| n == name);
    if let Some((_, cold_ms)) = found.max_by_key(|(_, cold_ms)| *cold_ms) {
        return *cold_ms;
    }
    let routing = document.routing.as_ref();
    let backend = document.backends.get(name);
    let service = routing.and_then(|r| r.services.get(&backend?.service));
    service.map_or(0, |s| s.cold_ms)
}
