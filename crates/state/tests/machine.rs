//! The state machine: versions, conflicts, retries and references.

use pomelovale_state::command::{
    Applied, Change, Command, Item, CRASH_RECORDS_MAX, QUARANTINE_CRASHES,
};
use pomelovale_state::digest::Digest;
use pomelovale_state::document::{Backend, KeyHolder, MemberState, Region, Service, Workspace};
use pomelovale_state::machine::StateMachine;
use pomelovale_state::moves::{MoveAction, Step};
use pomelovale_state::{ErrorKind, Millis, Name};

fn change(request: &str, sender: &str, base: Option<u64>, at: u64, command: Command) -> Change {
    Change {
        request: request.into(),
        sender: sender.into(),
        base,
        at: Millis(at),
        command,
    }
}

fn region(name: &str) -> Command {
    let domains = vec![format!("{name}-a").into(), format!("{name}-b").into()];
    Command::PutRegion {
        name: name.into(),
        region: Region { domains },
    }
}

fn service(name: &str) -> Command {
    let service = Service {
        routes: Vec::new(),
        timeout_ms: 1_000,
        bytes: 1_000,
    };
    Command::PutService {
        name: name.into(),
        service,
    }
}

fn backend(name: &str, service: &str, region: &str, domain: &str) -> Command {
    let backend = Backend {
        address: "127.0.0.1:1".parse().unwrap(),
        service: service.into(),
        region: region.into(),
        domain: domain.into(),
        slots: 5,
        connections: 330,
        cold_ms: 0,
        state: MemberState::Serving,
    };
    Command::PutBackend {
        name: name.into(),
        backend,
    }
}

fn workspace(rate: u64) -> Command {
    Command::PutWorkspace {
        name: "w".into(),
        workspace: Workspace {
            rate,
            burst: 10,
            weight: 1,
        },
    }
}

fn plan(steps: &[(u16, u16)]) -> Command {
    let steps = steps
        .iter()
        .map(|&(share, cap)| Step { share, cap })
        .collect();
    Command::PutMove {
        name: "m".into(),
        services: vec!["s".into()],
        from: "north".into(),
        to: "south".into(),
        steps,
    }
}

fn step(action: MoveAction) -> Command {
    Command::StepMove {
        name: "m".into(),
        action,
    }
}

fn machine() -> StateMachine {
    let mut machine = StateMachine::default();
    for (i, command) in [
        region("north"),
        region("south"),
        service("s"),
        workspace(10),
    ]
    .into_iter()
    .enumerate()
    {
        accepted(&machine.apply(&change(&format!("setup-{i}"), "setup", None, 0, command)));
    }
    machine
}

fn accepted(applied: &Applied) -> u64 {
    match applied {
        Applied::Accepted { version, .. } => *version,
        other => panic!("expected an accepted change, got {other:?}"),
    }
}

fn refused(applied: &Applied) -> ErrorKind {
    match applied {
        Applied::Refused(refusal) => refusal.kind,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

macro_rules! refusals {
    ($($name:ident: $command:expr => $kind:ident,)*) => {$(
        /// Guards against a change that leaves a dangling reference or exceeds a cap.
        #[test]
        fn $name() {
            let mut machine = machine();
            let before = machine.document.clone();
            assert_eq!(refused(&machine.apply(&change("r", "op", None, 0, $command))), ErrorKind::$kind);
            assert_eq!(machine.document, before);
        }
    )*};
}

refusals! {
    backend_of_unknown_service: backend("b", "none", "north", "north-a") => NotFound,
    backend_in_unknown_region: backend("b", "s", "west", "north-a") => NotFound,
    backend_in_foreign_domain: backend("b", "s", "north", "south-a") => NotFound,
    backend_with_bad_name: backend("b c", "s", "north", "north-a") => BadRequest,
    batch_with_one_bad_command: Command::Batch(vec![region("west"), backend("b", "x", "west", "west-a")]) => NotFound,
    batch_in_batch: Command::Batch(vec![Command::Batch(vec![])]) => BadRequest,
    key_of_unknown_workspace: Command::PutKey {
        id: "k".into(), holder: KeyHolder::Workspace("none".into()), digest: Digest([0; 32]),
    } => NotFound,
    revoking_an_unknown_key: Command::RevokeKey("k".into()) => NotFound,
    workspace_without_rate: workspace(0) => BadRequest,
    move_over_its_cap: plan(&[(100, 100), (400, 200)]) => BadRequest,
    move_with_decreasing_shares: plan(&[(200, 200), (100, 200)]) => BadRequest,
    move_share_above_1000_per_mille: plan(&[(1_001, 1_001)]) => BadRequest,
    step_of_unknown_move: step(MoveAction::Advance { to: 0 }) => NotFound,
}

/// Guards against two operators both succeeding on the same version.
#[test]
fn one_of_two_racing_operators_wins() {
    let mut machine = machine();
    let base = Some(machine.document.item_version(&Item::Workspace("w".into())));
    accepted(&machine.apply(&change("first", "ann", base, 1, workspace(20))));
    match machine.apply(&change("second", "bob", base, 2, workspace(30))) {
        Applied::Refused(refusal) => {
            assert_eq!(refusal.kind, ErrorKind::VersionConflict);
            let winner = refusal.winner.unwrap();
            assert_eq!(
                (winner.sender.as_str(), winner.request.as_str()),
                ("ann", "first")
            );
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(machine.document.workspaces["w"].rate, 20);
}

/// Guards against a change that is applied twice when it is retried after a lost
/// answer.
#[test]
fn a_resend_gets_the_first_answer() {
    let mut machine = machine();
    let first = machine.apply(&change("again", "ann", Some(1), 1, workspace(20)));
    accepted(&machine.apply(&change("other", "bob", None, 2, workspace(30))));
    assert_eq!(
        machine.apply(&change("again", "ann", Some(1), 3, workspace(20))),
        first
    );
    assert_eq!(machine.document.workspaces["w"].rate, 30);
}

/// Guards against a document on entries that diverges from the one on control
/// instances.
#[test]
fn applied_deltas_give_the_same_document() {
    let mut machine = StateMachine::default();
    let mut follower = pomelovale_state::document::Document::default();
    let commands = [
        region("north"),
        region("south"),
        Command::Batch(vec![
            service("s"),
            backend("b", "s", "north", "north-a"),
            workspace(5),
        ]),
        plan(&[(100, 100), (200, 100)]),
        step(MoveAction::Advance { to: 0 }),
        step(MoveAction::Hold {
            reason: "wait".into(),
        }),
        Command::RecordCrash {
            fingerprint: Digest([7; 32]),
            crash: "1".into(),
        },
        Command::SetBackend {
            name: "b".into(),
            state: MemberState::Leaving,
        },
    ];
    for (i, command) in commands.into_iter().enumerate() {
        let change = change(&format!("c{i}"), "op", None, i as u64 * 10, command);
        let version = accepted(&machine.apply(&change));
        follower.apply_accepted(&change, version).unwrap();
        assert_eq!(machine.document, follower, "after change {i}");
    }
}

/// Guards against a request that crashes one backend server after another, and
/// against a quarantine without an end.
#[test]
fn two_crashes_quarantine_a_fingerprint_for_a_while() {
    let mut machine = machine();
    let fingerprint = Digest([9; 32]);
    for i in 0..QUARANTINE_CRASHES {
        assert!(!machine.document.is_quarantined(&fingerprint, Millis(0)));
        let crash = Name::from(i.to_string());
        let command = Command::RecordCrash { fingerprint, crash };
        accepted(&machine.apply(&change(&format!("crash-{i}"), "e", None, 5, command)));
    }
    assert!(machine
        .document
        .is_quarantined(&fingerprint, Millis(600_004)));
    assert!(!machine
        .document
        .is_quarantined(&fingerprint, Millis(600_005)));
}

/// Guards against crash records without a bound, and against dropping the record of a
/// quarantined request when many servers end at once.
#[test]
fn crash_records_are_bounded_and_keep_quarantined_requests() {
    let mut machine = machine();
    let mut record = |n: u64, crash: &str| {
        let mut fingerprint = Digest([0; 32]);
        fingerprint.0[..8].copy_from_slice(&n.to_le_bytes());
        let crash = Name::from(crash);
        let request = format!("crash-{n}-{crash}");
        let command = Command::RecordCrash { fingerprint, crash };
        accepted(&machine.apply(&change(&request, "e", None, n, command)));
        (fingerprint, machine.document.clone())
    };
    record(1, "1");
    let (quarantined, _) = record(1, "2");
    for n in 2..2 * CRASH_RECORDS_MAX as u64 {
        let (latest, document) = record(n, "1");
        assert!(document.crashes.len() <= CRASH_RECORDS_MAX);
        assert!(document.crashes.contains_key(&latest));
        assert!(document.is_quarantined(&quarantined, Millis(n)));
    }
}

/// Guards against a step that is taken out of order or on a held move, and
/// against a change of a step in force.
#[test]
fn steps_are_taken_in_order_and_a_hold_stops_them() {
    let mut machine = machine();
    let mut n = 0;
    let mut send = |command: Command| {
        n += 1;
        machine.apply(&change(&format!("m{n}"), "op", None, n, command))
    };
    accepted(&send(plan(&[(100, 100), (200, 100)])));
    assert_eq!(
        refused(&send(step(MoveAction::Advance { to: 1 }))),
        ErrorKind::MoveHeld
    );
    accepted(&send(step(MoveAction::Advance { to: 0 })));
    accepted(&send(step(MoveAction::Hold {
        reason: "lunch".into(),
    })));
    assert_eq!(
        refused(&send(step(MoveAction::Advance { to: 1 }))),
        ErrorKind::MoveHeld
    );
    assert_eq!(
        refused(&send(step(MoveAction::Reverse { to: 0 }))),
        ErrorKind::MoveHeld
    );
    accepted(&send(step(MoveAction::Release)));
    assert_eq!(
        refused(&send(plan(&[(90, 100), (200, 150)]))),
        ErrorKind::MoveHeld
    );
    accepted(&send(plan(&[(100, 100), (150, 100)])));
    accepted(&send(step(MoveAction::Reverse { to: 0 })));
    assert_eq!(machine.document.moves["m"].share(), 0);
}
