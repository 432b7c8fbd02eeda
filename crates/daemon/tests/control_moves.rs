//! Moves with real control instances: the gate, resends and entry membership.

mod control_kit;

use control_kit::{change, until, Cluster, Entry};
use pomelovale_protocol::report::{Report, ServiceLoad};
use pomelovale_state::command::{Applied, Command};
use pomelovale_state::document::{Backend, Instance, Link, MemberState, Region, Service};
use pomelovale_state::moves::{MoveAction, Step};
use pomelovale_state::ErrorKind;

fn initial() -> Vec<Command> {
    let mut commands = Vec::new();
    for region in ["north", "south"] {
        let domains = vec![format!("{region}-a").into(), format!("{region}-b").into()];
        commands.push(Command::PutRegion {
            name: region.into(),
            region: Region { domains },
        });
    }
    commands.push(Command::PutLinks(vec![Link {
        from: "north".into(),
        to: "south".into(),
        mbits: 100,
    }]));
    let service = Service {
        routes: Vec::new(),
        timeout_ms: 1_000,
        bytes: 1_000,
    };
    commands.push(Command::PutService {
        name: "s".into(),
        service,
    });
    for domain in ["north-a", "north-b", "south-a", "south-b"] {
        let backend = Backend {
            address: "127.0.0.1:1".parse().unwrap(),
            service: "s".into(),
            region: domain[..5].into(),
            domain: domain.into(),
            slots: 10,
            connections: 10,
            cold_ms: 0,
            state: MemberState::Serving,
        };
        commands.push(Command::PutBackend {
            name: domain.into(),
            backend,
        });
    }
    for name in ["e1", "e2"] {
        let instance = Instance {
            callers: Some("127.0.0.1:2".parse().unwrap()),
            peers: None,
            region: "north".into(),
            domain: "north-a".into(),
            state: MemberState::Serving,
        };
        commands.push(Command::PutInstance {
            name: name.into(),
            instance,
        });
    }
    let steps = [100, 200].map(|share| Step { share, cap: 100 }).to_vec();
    commands.push(Command::PutMove {
        name: "m".into(),
        services: vec!["s".into()],
        from: "north".into(),
        to: "south".into(),
        steps,
    });
    commands
}

fn advance(request: &str, to: usize) -> pomelovale_state::command::Change {
    let action = MoveAction::Advance { to };
    change(
        request,
        Command::StepMove {
            name: "m".into(),
            action,
        },
    )
}

fn report(entry: &Entry, leaving: bool) {
    let row = |region: &str| ServiceLoad {
        service: "s".into(),
        region: region.into(),
        rate: 10,
        busy: 2,
        slots: 20,
        oldest_ms: 10,
        ..ServiceLoad::default()
    };
    entry.handle.report(Report {
        instance: entry.name.clone(),
        version: entry.version(),
        view_ms: entry.age(),
        leaving,
        down: Vec::new(),
        back: Vec::new(),
        limits: Vec::new(),
        services: vec![row("north"), row("south")],
        links: Vec::new(),
    });
}

async fn site() -> (Cluster, [Entry; 2], usize) {
    let mut cluster = Cluster::start_with(3, initial()).await;
    let leader = cluster.leader().await;
    let entries = [
        cluster.entry("e1", leader).await,
        cluster.entry("e2", leader).await,
    ];
    until("both entries are current", || {
        entries.iter().all(|e| e.version() >= 1)
    })
    .await;
    (cluster, entries, leader)
}

async fn advance_until_accepted(
    cluster: &Cluster,
    leader: usize,
    reporting: &[&Entry],
    request: &str,
) -> Applied {
    loop {
        reporting.iter().for_each(|e| report(e, false));
        let applied = cluster.propose(leader, advance(request, 0)).await;
        if let Applied::Accepted { .. } = applied {
            return applied;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

fn refused(applied: &Applied) -> (ErrorKind, &str) {
    match applied {
        Applied::Refused(r) => (r.kind, &r.text),
        other => panic!("{other:?}"),
    }
}

// Guards against a step that advances without measurements, and against a held
// attempt whose result is stored, which would block a resend of the same request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_step_waits_for_the_measurements_of_every_entry() {
    let (cluster, entries, leader) = site().await;
    let early = cluster.propose(leader, advance("a", 0)).await;
    assert_eq!(refused(&early).0, ErrorKind::MoveHeld);
    report(&entries[0], false);
    let half = cluster.propose(leader, advance("a", 0)).await;
    assert!(refused(&half).1.contains("missing"), "{half:?}");
    advance_until_accepted(&cluster, leader, &[&entries[0], &entries[1]], "a").await;
    until("both entries have the new share", || {
        entries
            .iter()
            .all(|e| e.view.document().moves["m"].share() == 100)
    })
    .await;
}

// Guards against a resend after a lost answer that the gate holds: the operator
// would be told that an accepted step was refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resent_step_gets_its_first_answer() {
    let (mut cluster, entries, leader) = site().await;
    let first = advance_until_accepted(&cluster, leader, &[&entries[0], &entries[1]], "a").await;
    assert_eq!(cluster.propose(leader, advance("a", 0)).await, first);
    let next = cluster.propose(leader, advance("b", 1)).await;
    assert!(refused(&next).1.contains("settles in"), "{next:?}");
    cluster.kill(leader).await;
    let leader = cluster.leader_except(Some(leader)).await;
    assert_eq!(cluster.propose(leader, advance("a", 0)).await, first);
}

// Guards against a hold that is lost in a leader change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hold_survives_a_leader_change() {
    let (mut cluster, entries, leader) = site().await;
    let hold = MoveAction::Hold {
        reason: "lunch".into(),
    };
    let hold = change(
        "h",
        Command::StepMove {
            name: "m".into(),
            action: hold,
        },
    );
    cluster.propose(leader, hold).await;
    cluster.kill(leader).await;
    let leader = cluster.leader_except(Some(leader)).await;
    entries.iter().for_each(|e| report(e, false));
    loop {
        let applied = cluster.propose(leader, advance("a", 0)).await;
        let (kind, text) = refused(&applied);
        assert_eq!(kind, ErrorKind::MoveHeld);
        match text {
            t if t.contains("lunch") => break,
            _ => entries.iter().for_each(|e| report(e, false)),
        }
    }
}

// Guards against callers that are sent to entries which are stopping or no longer
// report.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_and_silent_entries_are_removed_and_restored() {
    let (cluster, entries, _) = site().await;
    let state = |name: &str| entries[0].view.document().instances[name].state;
    let leader = cluster.leader().await;
    until("the stopping entry is removed", || {
        report(&entries[0], false);
        report(&entries[1], true);
        state("e2") == MemberState::Away
    })
    .await;
    until("the entry is restored", || {
        entries.iter().for_each(|e| report(e, false));
        state("e2") == MemberState::Serving
    })
    .await;
    until("the silent entry is removed", || {
        report(&entries[0], false);
        state("e2") == MemberState::Away
    })
    .await;
    assert_eq!(state("e1"), MemberState::Serving);
    assert_eq!(cluster.leader().await, leader);
}
