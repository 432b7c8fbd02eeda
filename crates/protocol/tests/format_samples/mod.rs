//! One value of each kind that is stored or sent, with all fields set.

use std::sync::Arc;

use pomelovale_protocol::auth::{Handshake, Role};
use pomelovale_protocol::frame::encode_body;
use pomelovale_protocol::grants::{Grant, GrantReply, GrantRequest, WorkspaceDemand};
use pomelovale_protocol::log::{
    Entry, EntryData, Epoch, LogIndex, LogMessage, Members, Position, Refused, ReplicaId, Snapshot,
};
use pomelovale_protocol::messages::{
    Admitted, Chunk, ClusterStatus, Content, Delta, InstanceStatus, LogPacket, PeerMessage,
    PlaceRequest, Proof, Renew, Request, Response,
};
use pomelovale_protocol::report::{LinkLoad, Report, ServiceLoad};
use pomelovale_state::blocks::BlockChange;
use pomelovale_state::command::{Applied, Change, Command, Refusal, Winner};
use pomelovale_state::document::{
    Backend, Digest, Instance, KeyHolder, Link, MemberState, Region, Route, Service, Site,
    Workspace,
};
use pomelovale_state::intents::{
    IntentAnswer, IntentBegin, IntentEnd, IntentKey, IntentResult, StoredAnswer,
};
use pomelovale_state::machine::StateMachine;
use pomelovale_state::moves::{Move, MoveAction, MoveState, Step};
use pomelovale_state::routing::{
    CallerLimits, HostRoute, Repeat, RoutedService, RoutedWorkspace, Routing, Target, Window,
};
use pomelovale_state::sheet::{MoveStatus, NextStep};
use pomelovale_state::{ErrorKind, Millis, Name};
use pomelovale_steering::estimate::Held;
use pomelovale_steering::placement::{Chosen, LoadReport, PlacementDecision, PlacementEnd};
use serde::Serialize;

pub type Sample = (String, Vec<u8>);

fn name(text: &str) -> Name {
    Name::from(text)
}

pub fn position() -> Position {
    Position {
        epoch: Epoch(3),
        index: LogIndex(300),
    }
}

pub fn change(request: &str, command: Command) -> Change {
    Change {
        request: name(request),
        sender: name("operator"),
        base: Some(7),
        at: Millis(70_000),
        command,
    }
}

fn key() -> IntentKey {
    IntentKey {
        workspace: name("w"),
        key: Digest([3; 32]),
    }
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: vec![("a".to_owned(), b"b".to_vec())],
        body: b"booked".to_vec(),
    }
}

fn routing() -> Arc<Routing> {
    let route = HostRoute {
        name: name("r"),
        prefix: "/".to_owned(),
        repeat: Repeat::Once,
        timeout_ms: 1_000,
        objective_ms: 200,
        priority: 1,
        open: true,
        sticky: true,
        attempts: 2,
        homes: vec![name("north")],
        targets: vec![Target {
            service: name("s"),
            weight: 3,
        }],
    };
    let workspace = RoutedWorkspace {
        priority: Some(1),
        rate: 10,
        burst: 20,
        window: Window {
            ms: 1_000,
            overage: 100,
            slack: 2,
        },
        homes: vec![name("north")],
    };
    let service = RoutedService {
        probe: "/health".to_owned(),
        connections: 300,
        cold_ms: 1_000,
        cold_rate: 2_000,
    };
    Arc::new(Routing {
        version: 1,
        limits: CallerLimits {
            head_bytes: 1_000,
            body_bytes: 2_000,
            head_ms: 3_000,
            idle_ms: 4_000,
        },
        workspaces: [(name("w"), workspace)].into(),
        keys: [(Digest([8; 32]), name("w"))].into(),
        hosts: [(name("h"), vec![route])].into(),
        services: [(name("s"), service)].into(),
    })
}

/// The commands that all formats have.
pub fn commands() -> Vec<Command> {
    let backend = Backend {
        address: "127.0.0.1:80".parse().unwrap(),
        service: name("s"),
        region: name("north"),
        domain: name("north-a"),
        slots: 10,
        connections: 300,
        cold_ms: 1_000,
        state: MemberState::Serving,
    };
    let instance = Instance {
        callers: Some("127.0.0.1:81".parse().unwrap()),
        peers: Some("[::1]:82".parse().unwrap()),
        region: name("north"),
        domain: name("north-a"),
        state: MemberState::Leaving,
    };
    let route = Route {
        prefix: "/bookings".to_owned(),
        open: true,
        idempotent: Some(vec!["POST".to_owned()]),
        deferrable: true,
    };
    let service = Service {
        routes: vec![route],
        timeout_ms: 1_000,
        bytes: 2_000,
    };
    let domains = vec![name("north-a")];
    let region = |domains| Region { domains };
    let site = Site {
        region: name("north"),
        domain: name("north-a"),
    };
    let link = Link {
        from: name("north"),
        to: name("south"),
        mbits: 100,
    };
    let step = Step {
        share: 300,
        cap: 300,
    };
    let workspace = Workspace {
        rate: 10,
        burst: 20,
        weight: 2,
    };
    vec![
        Command::PutRegion {
            name: name("north"),
            region: region(domains),
        },
        Command::PutRegion {
            name: name("south"),
            region: region(vec![name("south-a")]),
        },
        Command::PutLinks(vec![link]),
        Command::PutSite {
            name: name("n"),
            site,
        },
        Command::ChangeBlocks(vec![BlockChange {
            prefix: "10.0.0.0/8".parse().unwrap(),
            site: Some(name("n")),
        }]),
        Command::PutService {
            name: name("s"),
            service,
        },
        Command::PutBackend {
            name: name("north-1"),
            backend,
        },
        Command::PutInstance {
            name: name("e1"),
            instance,
        },
        Command::PutWorkspace {
            name: name("w"),
            workspace,
        },
        Command::PutKey {
            id: name("k1"),
            holder: KeyHolder::Workspace(name("w")),
            digest: Digest([1; 32]),
        },
        Command::PutMove {
            name: name("m"),
            services: vec![name("s")],
            from: name("north"),
            to: name("south"),
            steps: vec![step],
        },
        Command::BeginIntent(IntentBegin {
            key: key(),
            fingerprint: Digest([4; 32]),
            owner: name("e1-1"),
        }),
        Command::EndIntent(IntentEnd {
            key: key(),
            owner: name("e1-1"),
            result: IntentResult::Answer(answer()),
        }),
        Command::RecordCrash {
            fingerprint: Digest([5; 32]),
            crash: name("north-1-1"),
        },
        Command::ClearCrash(Digest([6; 32])),
        Command::ReplaceRouting {
            base: 0,
            routing: routing(),
            source: Arc::from("source"),
        },
        Command::EvacuateDomain(name("south-a")),
        Command::EvacuateDomain(name("north-a")),
        Command::ReadmitDomain(name("north-a")),
        Command::SetBackend {
            name: name("north-1"),
            state: MemberState::Away,
        },
        Command::SetInstance {
            name: name("e1"),
            state: MemberState::Serving,
        },
        Command::Batch(vec![
            Command::RemoveInstance(name("e1")),
            Command::RevokeKey(name("k1")),
            Command::EvacuateDomain(name("north-a")),
        ]),
        Command::StepMove {
            name: name("m"),
            action: MoveAction::Hold {
                reason: "maintenance".to_owned(),
            },
        },
        Command::StepMove {
            name: name("m"),
            action: MoveAction::Leave { to: 0 },
        },
        Command::RevokeKey(name("k1")),
    ]
}

/// Commands that don't leave anything in the document of [`commands`].
pub fn removals() -> Vec<Command> {
    vec![
        Command::RemoveBackend(name("north-1")),
        Command::RemoveInstance(name("e1")),
    ]
}

fn members() -> Members {
    Members {
        learners: [replica("c3")].into(),
        voters: [replica("c1"), replica("c2")].into(),
    }
}

fn replica(text: &str) -> ReplicaId {
    ReplicaId {
        name: name(text),
        incarnation: 0x0123_4567_89ab_cdef,
    }
}

pub fn entries() -> Vec<Entry> {
    let entry = |index, data| Entry {
        data,
        epoch: Epoch(3),
        index: LogIndex(index),
    };
    vec![
        entry(301, EntryData::Empty),
        entry(302, EntryData::Members(members())),
        entry(303, EntryData::Change(vec![1, 2, 3].into())),
    ]
}

pub fn snapshot() -> Snapshot {
    Snapshot {
        epoch: Epoch(3),
        index: LogIndex(300),
        members: members(),
        payload: vec![4, 5].into(),
    }
}

pub fn log_messages() -> Vec<LogMessage> {
    let epoch = Epoch(3);
    let refused = Refused {
        hint: LogIndex(1),
        previous: LogIndex(2),
    };
    vec![
        LogMessage::Announce { vacant: true },
        LogMessage::Append {
            age_ms: Some(20),
            commit: LogIndex(301),
            echo: 5,
            entries: entries(),
            epoch,
            previous: position(),
            round: 9,
        },
        LogMessage::AppendReply {
            counter: 6,
            epoch,
            matched: LogIndex(301),
            refused: Some(refused),
            round: 9,
            verified: LogIndex(303),
        },
        LogMessage::HandOver { epoch },
        LogMessage::Install {
            epoch,
            round: 9,
            snapshot: snapshot(),
        },
        LogMessage::PreVote {
            epoch,
            last: position(),
        },
        LogMessage::PreVoteReply {
            epoch,
            granted: true,
        },
        LogMessage::Vote {
            epoch,
            last: position(),
            transfer: true,
        },
        LogMessage::VoteReply {
            epoch,
            granted: false,
        },
        LogMessage::Relay { id: replica("c3") },
    ]
}

fn moves() -> MoveStatus {
    let mut plan = Move::new(
        vec![name("s")],
        name("north"),
        name("south"),
        vec![Step {
            share: 300,
            cap: 300,
        }],
    );
    plan.state = MoveState::Held;
    let next = NextStep {
        headroom: 1,
        needed: 2,
        link: Some(3),
        oldest: Some(4),
        reason: "held".to_owned(),
    };
    MoveStatus {
        name: name("m"),
        version: 4,
        plan,
        next: Some(next),
    }
}

fn requests() -> Vec<Request> {
    let demand = WorkspaceDemand {
        workspace: name("w"),
        rate: 1,
        cap: 2,
        level: 3,
        wanted: 4,
        demand: 5,
        returned: 6,
    };
    vec![
        Request::Admit(name("w")),
        Request::Grant(GrantRequest {
            instance: name("c1-1"),
            seq: 2,
            epoch: 3,
            wants: vec![demand],
        }),
        Request::Propose(change("r1", Command::RevokeKey(name("k1")))),
        Request::Propose(change("r2", Command::PutLinks(Vec::new()))),
        Request::Status,
    ]
}

fn responses() -> Vec<Response> {
    let grant = Grant {
        workspace: name("w"),
        rate: 1,
        cap: 2,
        tokens: 3,
        retry_ms: 4,
        short: true,
    };
    let refusal = Refusal {
        kind: ErrorKind::VersionConflict,
        text: "conflict".to_owned(),
        winner: Some(Winner {
            sender: name("operator"),
            request: name("r1"),
            version: 3,
        }),
    };
    let instance = InstanceStatus {
        instance: name("e1"),
        version: 4,
        view_ms: 20,
    };
    vec![
        Response::Admitted(Admitted::Granted),
        Response::Admitted(Admitted::Refused { retry_ms: 9 }),
        Response::Applied(Applied::Accepted {
            version: 3,
            item: 1,
        }),
        Response::Applied(Applied::Intent(IntentAnswer::Done(answer()))),
        Response::Applied(Applied::Refused(refusal)),
        Response::Failed(ErrorKind::Unavailable),
        Response::Grant(GrantReply {
            instance: name("c1-1"),
            seq: 2,
            epoch: 3,
            life_ms: 900,
            grants: vec![grant],
        }),
        Response::Status(ClusterStatus {
            instances: vec![instance],
            moves: vec![moves()],
        }),
    ]
}

/// The report without what the first format lacks.
pub fn report() -> Report {
    Report {
        instance: name("e1"),
        version: 4,
        view_ms: 20,
        leaving: true,
        down: vec![name("north-1")],
        back: vec![(name("south-1"), 800)],
        services: vec![ServiceLoad {
            service: name("s"),
            region: name("north"),
            rate: 1,
            failed: 2,
            outstanding: 3,
            busy: 4,
            slots: 5,
            oldest_ms: 6,
        }],
        links: vec![LinkLoad {
            from: name("north"),
            to: name("south"),
            kbits: 800,
        }],
        ..Report::default()
    }
}

pub fn load() -> Option<LoadReport> {
    Some(LoadReport {
        running: 3,
        waiting: 1,
        slots: 6,
        pace: None,
    })
}

pub fn proof() -> Proof {
    let delta = |version, command| {
        Arc::new(Delta {
            position: position(),
            version,
            change: change(&format!("r{version}"), command),
        })
    };
    Proof {
        seq: Some(5),
        age_ms: 20,
        position: position(),
        leader: Some(name("c1")),
        changes: vec![
            delta(4, Command::RevokeKey(name("k1"))),
            delta(5, Command::EvacuateDomain(name("south-a"))),
        ],
    }
}

/// The messages whose fields are the same in all formats. `finished` has one more in the
/// second format.
pub fn messages(finished: PeerMessage) -> Vec<PeerMessage> {
    let chosen = Chosen {
        server: name("north-1"),
        address: "127.0.0.1:80".parse().unwrap(),
        region: name("north"),
        held: Held::Likely,
        expected_ms: 30,
        idle: true,
        load: 1.5,
    };
    let place = PlaceRequest {
        service: name("s"),
        route: name("r"),
        object: 7,
        priority: 1,
        objective_ms: 200,
        left_ms: 900,
        homes: vec![name("north")],
        tried: vec![name("north-2")],
    };
    let chunk = |content| Chunk {
        content,
        offset: 1,
        size: 4,
        bytes: vec![1, 2, 3],
    };
    let mut messages = vec![
        PeerMessage::Chunk(chunk(Content::Document(position()))),
        PeerMessage::Chunk(chunk(Content::Log)),
        finished,
        PeerMessage::Ping,
        PeerMessage::Place {
            id: 8,
            request: place,
        },
        PeerMessage::Placed {
            id: 8,
            verdict: Some(PlacementDecision::Send(chosen)),
            part: 0.25,
        },
        PeerMessage::Placed {
            id: 8,
            verdict: Some(PlacementDecision::Refuse { retry_ms: 40 }),
            part: 0.0,
        },
        PeerMessage::Proof(proof()),
        PeerMessage::Renew(Renew {
            seq: 5,
            position: Some(position()),
        }),
        PeerMessage::Report(report()),
    ];
    let log = log_messages().into_iter().map(|message| {
        PeerMessage::Log(LogPacket {
            from: replica("c1"),
            to: replica("c2"),
            message,
        })
    });
    messages.extend(log);
    let call = |request| PeerMessage::Call { id: 8, request };
    messages.extend(requests().into_iter().map(call));
    let reply = |response| PeerMessage::Reply { id: 8, response };
    messages.extend(responses().into_iter().map(reply));
    messages
}

pub fn machine(commands: &[Command]) -> StateMachine {
    let mut machine = StateMachine::default();
    for (i, command) in commands.iter().enumerate() {
        let mut change = change(&format!("r{i}"), command.clone());
        change.base = None;
        machine.apply(&change);
    }
    machine
}

pub fn ended() -> PlacementEnd {
    PlacementEnd::Answered
}

fn sample(kind: &str, i: usize, value: &impl Serialize) -> Sample {
    (format!("{kind}-{i}"), encode_body(value).unwrap())
}

pub fn changes(commands: &[Command]) -> Vec<Change> {
    let removals = removals();
    let all = removals.iter().chain(commands);
    all.map(|command| change("r", command.clone())).collect()
}

/// Encodes each value as the build that runs this does.
pub fn encode(commands: &[Command], messages: &[PeerMessage]) -> Vec<Sample> {
    let machine = machine(commands);
    let changes = changes(commands);
    let handshakes = [
        Handshake::Hello {
            name: name("c1"),
            role: Role::Control,
            nonce: [1; 32],
        },
        Handshake::Challenge([2; 32]),
        Handshake::Confirm([3; 32]),
        Handshake::Welcome([4; 32]),
    ];
    let mut samples = vec![
        sample("document", 0, &machine.document),
        sample("state", 0, &(&machine, position())),
        sample("snapshot", 0, &snapshot()),
        sample("entries", 0, &entries()),
    ];
    let rows = changes.iter().enumerate();
    samples.extend(rows.map(|(i, value)| sample("change", i, value)));
    let rows = messages.iter().enumerate();
    samples.extend(rows.map(|(i, value)| sample("message", i, value)));
    let rows = handshakes.iter().enumerate();
    samples.extend(rows.map(|(i, value)| sample("handshake", i, value)));
    samples
}

pub fn to_text(samples: &[Sample]) -> String {
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    samples
        .iter()
        .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)))
        .collect()
}
