//! Checks of a traffic shift: each reason to hold it, and the cases that pass.

use pomelovale_coordination::gate::check;
use pomelovale_coordination::measurements::{Measurements, LOST_AFTER_MS};
use pomelovale_protocol::report::{LinkLoad, Report, ServiceLoad};
use pomelovale_state::command::{Change, Command};
use pomelovale_state::document::{Backend, Document, Instance, Link, MemberState, Region, Service};
use pomelovale_state::moves::{Move, MoveAction, Step};
use pomelovale_state::{Millis, Name};

const NOW: Millis = Millis(100_000);

struct Case {
    document: Document,
    measurements: Measurements,
    action: MoveAction,
}

fn document() -> Document {
    let mut d = Document {
        version: 9,
        time: NOW,
        ..Document::default()
    };
    for region in ["north", "south"] {
        let domains = vec![format!("{region}-a").into(), format!("{region}-b").into()];
        d.regions.insert(
            region.into(),
            Region {
                domains: domains.clone(),
            },
        );
        for (i, domain) in domains.into_iter().enumerate() {
            let backend = Backend {
                address: "127.0.0.1:1".parse().unwrap(),
                service: "s".into(),
                region: region.into(),
                domain: domain.clone(),
                slots: 20,
                connections: 100,
                cold_ms: 0,
                state: MemberState::Serving,
            };
            d.backends.insert(format!("{region}-{i}").into(), backend);
            let callers = Some("127.0.0.1:2".parse().unwrap());
            let instance = Instance {
                callers,
                peers: None,
                region: region.into(),
                domain,
                state: MemberState::Serving,
            };
            d.instances
                .insert(format!("e-{region}-{i}").into(), instance);
        }
    }
    d.links.push(Link {
        from: "north".into(),
        to: "south".into(),
        mbits: 100,
    });
    d.services.insert(
        "s".into(),
        Service {
            routes: Vec::new(),
            timeout_ms: 1_000,
            bytes: 10_000,
        },
    );
    let steps = vec![
        Step {
            share: 250,
            cap: 250,
        },
        Step {
            share: 500,
            cap: 250,
        },
        Step {
            share: 750,
            cap: 250,
        },
    ];
    let mut plan = Move::new(vec!["s".into()], "north".into(), "south".into(), steps);
    (plan.done, plan.version, plan.shifted) = (1, 5, NOW.minus(10_000));
    d.moves.insert("m".into(), plan);
    d
}

fn row(region: &str, rate: u64, busy: u64) -> ServiceLoad {
    ServiceLoad {
        service: "s".into(),
        region: region.into(),
        rate,
        failed: 0,
        outstanding: busy / 4,
        busy,
        slots: 40,
        oldest_ms: 100,
    }
}

fn report(instance: &Name, north: u64, south: u64) -> Report {
    Report {
        instance: instance.clone(),
        version: 9,
        view_ms: 200,
        leaving: false,
        down: Vec::new(),
        back: Vec::new(),
        limits: Vec::new(),
        services: vec![row("north", 25, north), row("south", 10, south)],
        links: vec![LinkLoad {
            from: "north".into(),
            to: "south".into(),
            kbits: 1_000,
        }],
    }
}

fn case(north: u64, south: u64, action: MoveAction) -> Case {
    let document = document();
    let mut measurements = Measurements::default();
    for name in document.instances.keys() {
        measurements.record(NOW.minus(300), &report(name, north, south));
    }
    Case {
        document,
        measurements,
        action,
    }
}

impl Case {
    fn plan(mut self, edit: impl FnOnce(&mut Move)) -> Case {
        edit(self.document.moves.get_mut("m").unwrap());
        self
    }

    fn edit(mut self, edit: impl FnOnce(&mut Document)) -> Case {
        edit(&mut self.document);
        self
    }

    fn reported(mut self, name: &str, age: u64, edit: impl FnOnce(&mut Report)) -> Case {
        let mut report = report(&name.into(), 10, 4);
        edit(&mut report);
        self.measurements.record(NOW.minus(age), &report);
        self
    }

    fn run(&self) -> Result<(), String> {
        let command = Command::StepMove {
            name: "m".into(),
            action: self.action.clone(),
        };
        let change = Change {
            request: "r".into(),
            sender: "op".into(),
            base: None,
            at: NOW,
            command,
        };
        check(&self.document, &self.measurements, NOW, &change).map_err(|r| r.text)
    }
}

macro_rules! gate {
    ($($name:ident: $case:expr => $expected:expr;)*) => {$(
        /// Guards against a shift without capacity, without confirmation that the
        /// previous step is in force, or without recent measurements.
        #[test]
        fn $name() {
            let expected: Result<(), &str> = $expected;
            match ($case.run(), expected) {
                (Ok(()), Ok(())) => {}
                (Err(text), Err(part)) if text.contains(part) => {}
                (found, expected) => panic!("found {found:?}, expected {expected:?}"),
            }
        }
    )*};
}

const NEXT: MoveAction = MoveAction::Advance { to: 1 };
const BACK: MoveAction = MoveAction::Reverse { to: 0 };
const LEAVE: MoveAction = MoveAction::Leave { to: 0 };

gate! {
    advance_with_headroom: case(10, 4, NEXT) => Ok(());
    advance_into_a_full_region: case(10, 17, NEXT) => Err("has headroom for 1 slots, but the shift needs 4");
    advance_without_reserve_for_a_lost_domain: case(24, 11, NEXT) => Err("headroom");
    advance_before_the_last_step_settled: case(10, 4, NEXT).plan(|m| m.shifted = NOW.minus(4_000)) => Err("settles in 1000 ms");
    advance_before_every_entry_confirms_the_version: case(10, 4, NEXT).reported("e-south-1", 0, |r| r.version = 4) => Err("not proven in force on instance e-south-1");
    advance_with_an_entry_that_stopped_reporting: case(10, 4, NEXT).reported("e-south-1", 3_001, |_| {}) => Err("e-south-1");
    first_advance_with_an_entry_that_stopped_reporting: case(10, 4, MoveAction::Advance { to: 0 })
        .plan(|m| (m.done, m.version) = (0, 0)).reported("e-south-1", 3_001, |_| {}) => Err("3001 ms old");
    advance_without_an_entry_that_is_away: case(10, 4, NEXT).reported("e-south-1", 60_000, |_| {})
        .edit(|d| d.instances["e-south-1"].state = MemberState::Away) => Ok(());
    advance_without_a_drained_entry_that_is_down: case(10, 4, NEXT).reported("e-south-1", 60_000, |_| {})
        .edit(|d| d.instances["e-south-1"].state = MemberState::Leaving) => Ok(());
    advance_with_a_drained_entry_that_lags: case(10, 4, NEXT).reported("e-south-1", 0, |r| r.version = 4)
        .edit(|d| d.instances["e-south-1"].state = MemberState::Leaving) => Err("e-south-1");
    advance_without_measurements: Case { measurements: Measurements::default(), ..case(10, 4, NEXT) }
        .plan(|m| m.version = 0) => Err("missing");
    advance_with_old_server_reports: (0..4).fold(case(10, 4, NEXT), |c, i| {
        c.reported(["e-north-0", "e-north-1", "e-south-0", "e-south-1"][i], 0, |r| r.services[1].oldest_ms = 5_000)
    }) => Err("5000 ms old");
    advance_when_servers_report_no_load: case(10, 0, NEXT)
        .reported("e-south-1", 0, |r| (r.services[1].busy, r.services[1].outstanding) = (0, 17)) => Err("headroom");
    advance_over_a_full_link: case(10, 4, NEXT).reported("e-south-1", 0, |r| r.links[0].kbits = 79_000) => Err("link would be used");
    advance_without_a_link: case(10, 4, NEXT).edit(|d| d.links.clear()) => Err("no link");
    reverse_with_headroom: case(10, 4, BACK) => Ok(());
    reverse_into_a_full_region: case(18, 4, BACK) => Err("region north has headroom");
    leave_a_healthy_region: case(10, 4, LEAVE) => Err("healthy by its measurements");
    leave_a_failing_region: case(10, 4, LEAVE).reported("e-south-1", 0, |r| r.services[1].failed = 40) => Ok(());
    leave_a_region_without_servers: case(10, 4, LEAVE).edit(|d| {
        d.backends.values_mut().filter(|b| &*b.region == "south").for_each(|b| b.state = MemberState::Leaving);
    }) => Ok(());
    leave_towards_a_full_region: case(17, 4, LEAVE).plan(|m| m.done = 2)
        .reported("e-south-1", 0, |r| r.services[1].failed = 40) => Err("no headroom");
    leave_as_far_as_there_is_headroom: case(16, 4, LEAVE).plan(|m| m.done = 3)
        .reported("e-south-1", 0, |r| r.services[1].failed = 40) => Err("only down to 2 steps");
}

/// Guards against failed entries that stay in the entry list, and against a
/// leader that receives no reports and therefore empties the list.
#[test]
fn entries_that_stop_reporting_are_removed_unless_most_do() {
    let mut case = case(10, 4, NEXT);
    let later = NOW.plus(LOST_AFTER_MS);
    assert_eq!(
        case.measurements
            .membership_changes(&case.document, later)
            .len(),
        0
    );
    for name in ["e-north-0", "e-north-1", "e-south-0"] {
        case.measurements.record(later, &report(&name.into(), 1, 1));
    }
    let changes = case.measurements.membership_changes(&case.document, later);
    assert_eq!(changes, [("e-south-1".into(), MemberState::Away)]);
    case.document.instances["e-south-1"].state = MemberState::Away;
    case.measurements
        .record(later, &report(&"e-south-1".into(), 1, 1));
    let changes = case.measurements.membership_changes(&case.document, later);
    assert_eq!(changes, [("e-south-1".into(), MemberState::Serving)]);
}

/// Guards against a restart of an entry that undoes an operator's drain, and
/// against a new leader that removes entries before they had time to report.
#[test]
fn drains_and_new_leaders_change_no_membership() {
    let mut case = case(10, 4, NEXT);
    case.document.instances["e-south-1"].state = MemberState::Leaving;
    let later = NOW.plus(LOST_AFTER_MS);
    for name in ["e-north-0", "e-north-1", "e-south-0"] {
        case.measurements.record(later, &report(&name.into(), 1, 1));
    }
    assert_eq!(
        case.measurements.membership_changes(&case.document, later),
        []
    );
    let mut fresh = Measurements::new(NOW);
    for name in ["e-north-0", "e-north-1"] {
        fresh.record(NOW.plus(400), &report(&name.into(), 1, 1));
    }
    assert_eq!(fresh.membership_changes(&case.document, NOW.plus(500)), []);
    let lost = fresh.membership_changes(&case.document, NOW.plus(5_001));
    assert_eq!(lost, [("e-south-0".into(), MemberState::Away)]);
}
