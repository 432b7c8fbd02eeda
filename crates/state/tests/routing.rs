//! The routing table: replacement by compare-and-set, validation and lookups.

use std::sync::Arc;

use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::machine::StateMachine;
use pomelovale_state::routing::{
    HostRoute, Repeat, RoutedService, RoutedWorkspace, Routing, Target, Window,
};
use pomelovale_state::{ErrorKind, Millis};

fn route(name: &str, prefix: &str) -> HostRoute {
    HostRoute {
        name: name.into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        timeout_ms: 2_000,
        objective_ms: 400,
        priority: 1,
        open: false,
        sticky: true,
        attempts: 2,
        homes: Vec::new(),
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
    }
}

fn routing(version: u64) -> Routing {
    let service = RoutedService {
        probe: "/health".into(),
        connections: 100,
        cold_ms: 3_000,
        cold_rate: 9_500,
    };
    Routing {
        version,
        hosts: [(
            "shop.example".into(),
            vec![route("all", "/"), route("a", "/a/"), route("ab", "/a/b/")],
        )]
        .into(),
        services: [("s".into(), service)].into(),
        ..Routing::default()
    }
}

fn replace(request: &str, base: u64, routing: Routing) -> Change {
    Change {
        request: request.into(),
        sender: "operator".into(),
        base: None,
        at: Millis(0),
        command: Command::ReplaceRouting {
            base,
            source: Arc::from(format!("version {}", routing.version)),
            routing: Arc::new(routing),
        },
    }
}

fn refusal(applied: Applied) -> Option<ErrorKind> {
    match applied {
        Applied::Refused(refusal) => Some(refusal.kind),
        _ => None,
    }
}

/// Guards against two accepted tables that are based on the same version, a
/// retry that is refused, and a refused table that takes effect.
#[test]
fn one_of_two_racing_tables_wins() {
    let mut machine = StateMachine::default();
    assert_eq!(refusal(machine.apply(&replace("a", 0, routing(5)))), None);
    assert_eq!(refusal(machine.apply(&replace("b", 5, routing(7)))), None);
    let lost = machine.apply(&replace("c", 5, routing(8)));
    assert_eq!(refusal(lost), Some(ErrorKind::VersionConflict));
    assert_eq!(refusal(machine.apply(&replace("b", 5, routing(7)))), None);
    assert_eq!(
        machine.document.routing.as_ref().map(|r| r.version),
        Some(7)
    );
    assert_eq!(&*machine.routing_source, "version 7");
}

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident($change:expr);)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let change: fn(&mut Routing) = $change;
            let mut table = routing(3);
            change(&mut table);
            let mut machine = StateMachine::default();
            let applied = machine.apply(&replace("r", 0, table));
            assert_eq!(refusal(applied), Some(ErrorKind::BadRequest));
            assert!(machine.document.routing.is_none());
            assert_eq!(machine.document.version, 0);
        })*
    };
}

fn first(table: &mut Routing) -> &mut HostRoute {
    &mut table.hosts["shop.example"][0]
}

faults! {
    /// Guards against a route to a service that the table does not define.
    unknown_service(|t| first(t).targets[0].service = "x".into());
    /// Guards against a route without a target service.
    no_target(|t| first(t).targets.clear());
    /// Guards against a route that allows no attempt.
    no_attempt(|t| first(t).attempts = 0);
    /// Guards against a timeout of more than ten minutes.
    long_timeout(|t| first(t).timeout_ms = 600_001);
    /// Guards against an objective that is a minute or more above the timeout.
    objective_far_above_timeout(|t| first(t).objective_ms = 62_000);
    /// Guards against a table with version 0, which stands for no table.
    version_zero(|t| t.version = 0);
}

macro_rules! lookups {
    ($($(#[$doc:meta])* $name:ident($host:literal, $path:literal) => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let table = routing(1);
            let found = table.route($host, $path).map(|r| r.name.to_string());
            assert_eq!(found.as_deref(), $expected);
        })*
    };
}

lookups! {
    /// Guards against a match of a shorter prefix instead of a longer one.
    longest_prefix("shop.example", "/a/b/c") => Some("ab");
    /// Guards against a prefix that matches a part of a path segment.
    whole_segments("shop.example", "/abc") => Some("all");
    /// Guards against a host that is not found because of its port or case.
    port_and_case("Shop.Example:8080", "/a/1") => Some("a");
    /// Guards against a match of a route of another host.
    other_host("other.example", "/a/1") => None;
}

/// Guards against an evacuation that is refused when it is repeated, or that
/// stays in force after it was ended.
#[test]
fn evacuations_may_be_repeated() {
    let mut machine = StateMachine::default();
    let order = |request: &str, command| Change {
        request: request.into(),
        sender: "operator".into(),
        base: None,
        at: Millis(0),
        command,
    };
    for (request, begin) in [("1", true), ("2", true), ("3", false), ("4", false)] {
        let command = match begin {
            true => Command::EvacuateDomain("north-a".into()),
            false => Command::ReadmitDomain("north-a".into()),
        };
        assert_eq!(refusal(machine.apply(&order(request, command))), None);
        assert_eq!(machine.document.evacuated.contains("north-a"), begin);
    }
}

/// Guards against a token bucket that admits more in a window than the limit and
/// its tolerance, or that refills more slowly than the rate.
#[test]
fn bucket_keeps_the_window() {
    for (rate, burst) in [(1, 0), (5, 5), (24, 24), (156, 156), (1_000, 10)] {
        let workspace = RoutedWorkspace {
            priority: None,
            rate,
            burst,
            window: Window {
                ms: 5_000,
                overage: 100,
                slack: 20,
            },
            homes: Vec::new(),
        };
        let (refill, capacity) = workspace.token_bucket().expect("a limit");
        let most = (rate * 5 + burst) as f64 * 1.1 + 20.0;
        assert!((refill * 5 + capacity) as f64 <= most, "{rate} {burst}");
        assert!(refill >= rate, "{rate} {burst}");
    }
}
