//! Detection of backend server outages from the reports of gateways.

use pomelovale_coordination::measurements::Measurements;
use pomelovale_coordination::outages::changes;
use pomelovale_protocol::report::Report;
use pomelovale_state::command::Command;
use pomelovale_state::document::{Backend, Document, Instance, MemberState};
use pomelovale_state::{Millis, Name};

const NOW: Millis = Millis(50_000);
const SERVERS: usize = 8;

fn document(state: MemberState) -> Document {
    let mut d = Document::default();
    for i in 0..SERVERS {
        let backend = Backend {
            address: "127.0.0.1:1".parse().unwrap(),
            service: "s".into(),
            region: "north".into(),
            domain: "north-a".into(),
            slots: 6,
            connections: 100,
            cold_ms: 0,
            state: if i == 0 { state } else { MemberState::Serving },
        };
        d.backends.insert(format!("b{i}").into(), backend);
    }
    for (name, region) in [("g0", "north"), ("g1", "north"), ("far", "south")] {
        let instance = Instance {
            callers: Some("127.0.0.1:2".parse().unwrap()),
            peers: None,
            region: region.into(),
            domain: format!("{region}-a").into(),
            state: MemberState::Serving,
        };
        d.instances.insert(name.into(), instance);
    }
    d
}

fn report(instance: &str, down: &[usize], back: &[(usize, u64)]) -> Report {
    let name = |i: &usize| Name::from(format!("b{i}"));
    Report {
        instance: instance.into(),
        down: down.iter().map(name).collect(),
        back: back.iter().map(|(i, ms)| (name(i), *ms)).collect(),
        ..Report::default()
    }
}

fn changes_for(state: MemberState, reports: &[Report], age: u64) -> Vec<Command> {
    let mut measurements = Measurements::default();
    for report in reports {
        measurements.record(NOW.minus(age), report);
    }
    changes(&measurements, &document(state), NOW)
}

fn away(i: usize) -> Command {
    Command::SetBackend {
        name: format!("b{i}").into(),
        state: MemberState::Away,
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($state:ident, $reports:expr, $age:expr) => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(changes_for(MemberState::$state, &$reports, $age), $expected);
        })*
    };
}

cases! {
    /// Guards against gateways that send requests to a server which another gateway
    /// has found to be down.
    one_gateway_reports_an_outage(Serving, [report("g0", &[0], &[])], 100) => vec![away(0)];

    /// Guards against a gateway that is cut off and has all servers removed.
    gateway_that_reaches_few_servers_is_ignored(Serving, [report("g0", &[0, 1, 2, 3, 4], &[])], 100) => vec![];

    /// Guards against a failure domain that is down but never removed from service.
    two_gateways_confirm_an_outage(Serving, [report("g0", &[0, 1, 2, 3], &[]), report("g1", &[0, 1, 2, 3], &[])], 100)
        => (0..4).map(away).collect::<Vec<_>>();

    /// Guards against a network partition between regions that removes servers.
    gateway_of_another_region_is_ignored(Serving, [report("far", &[0], &[])], 100) => vec![];

    /// Guards against decisions based on outdated reports.
    old_report_is_ignored(Serving, [report("g0", &[0], &[])], 5_000) => vec![];

    /// Guards against a server that returns to service while it is still reported
    /// as down.
    stays_out_while_reported(Away, [report("g0", &[0], &[])], 100) => vec![];
}

/// Guards against overload of a server that returns with cold caches.
#[test]
fn returned_server_keeps_the_reported_cold_time() {
    let commands = changes_for(MemberState::Away, &[report("g0", &[], &[(0, 2_400)])], 100);
    let backend = match commands.as_slice() {
        [Command::PutBackend { name, backend }] if name.as_str() == "b0" => backend.clone(),
        other => panic!("{other:?}"),
    };
    assert_eq!(
        (backend.state, backend.cold_ms),
        (MemberState::Serving, 2_400)
    );
}
