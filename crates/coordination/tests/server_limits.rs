//! Limits of backend servers, as the leader collects them from reports.

use pomelovale_coordination::measurements::Measurements;
use pomelovale_coordination::server_limits;
use pomelovale_protocol::report::{LimitReport, Report};
use pomelovale_state::command::Command;
use pomelovale_state::document::{Backend, Document, MemberState};
use pomelovale_state::{Millis, Name};

const NOW: Millis = Millis(10_000);

fn document(recorded: Option<u64>) -> Document {
    let backend = Backend {
        address: "127.0.0.1:1".parse().unwrap(),
        service: "s".into(),
        region: "north".into(),
        domain: "north-a".into(),
        slots: 6,
        connections: 10,
        cold_ms: 0,
        state: MemberState::Serving,
    };
    Document {
        backends: [("b0".into(), backend)].into(),
        limits: recorded
            .map(|rate| ("b0".into(), rate))
            .into_iter()
            .collect(),
        ..Document::default()
    }
}

/// Reports of one instance each: the limit of a server, and the age of the answer.
fn changes(
    recorded: Option<u64>,
    notices: &[(&str, Option<u64>, u64)],
) -> Vec<(Name, Option<u64>)> {
    let mut measurements = Measurements::new(Millis(0));
    for (n, (server, rate, age_ms)) in notices.iter().enumerate() {
        let limit = LimitReport {
            server: (*server).into(),
            rate: *rate,
            age_ms: *age_ms,
        };
        let report = Report {
            instance: format!("g{n}").into(),
            limits: vec![limit],
            ..Report::default()
        };
        measurements.record(NOW, &report);
    }
    match server_limits::changes(&measurements, &document(recorded), NOW) {
        None => Vec::new(),
        Some(Command::SetServerLimits(limits)) => limits,
        Some(other) => panic!("{other:?}"),
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($recorded:expr, $notices:expr, $changes:expr);)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let expected: &[Option<u64>] = $changes;
            let changed = changes($recorded, $notices);
            let rates: Vec<Option<u64>> = changed.iter().map(|(_, rate)| *rate).collect();
            assert_eq!(rates, expected);
        })*
    };
}

cases! {
    /// Guards against a limit that is not recorded.
    limit_is_recorded(None, &[("b0", Some(3_900), 5)], &[Some(3_900)]);
    /// Guards against an older limit that replaces a later one.
    latest_limit_counts(None, &[("b0", Some(3_900), 5), ("b0", Some(9_000), 500)], &[Some(3_900)]);
    /// Guards against a limit that ends for all because one instance was not named it.
    recent_limit_outweighs_an_end(Some(3_900), &[("b0", None, 5), ("b0", Some(3_900), 900)], &[]);
    /// Guards against a limit that is kept after its end.
    end_counts_once_no_limit_is_recent(Some(3_900), &[("b0", None, 5), ("b0", Some(3_900), 2_600)], &[None]);
    /// Guards against a limit that ends because nobody has sent a request for a while.
    old_limit_is_no_end(Some(3_900), &[("b0", Some(3_900), 2_600)], &[]);
    /// Guards against a change of the document for each small change of a limit.
    small_change_is_not_recorded(Some(3_900), &[("b0", Some(4_000), 5)], &[]);
    /// Guards against limits of servers that were removed.
    unknown_server_is_ignored(None, &[("b1", Some(3_900), 5)], &[]);
}
