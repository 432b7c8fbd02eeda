//! How entries shift requests during moves.

mod entry_support;

use std::net::SocketAddr;
use std::sync::Arc;

use entry_support::{keyed, ok, ok_bytes, setup, until, Caller, Control, Server, ServerAction};
use pomelovale_state::command::Command;
use pomelovale_state::document::{Backend, Link, MemberState, Region};
use pomelovale_state::moves::{MoveAction, Step};
use pomelovaled::entry::EntryHandle;

macro_rules! cases {
    ($run:ident: $($(#[$doc:meta])* $name:ident => ($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() { $run($($arg),*).await })*
    };
}

fn add_server(control: &Control, name: &str, address: SocketAddr) {
    let backend = Backend {
        address,
        service: "catalogue".into(),
        region: "south".into(),
        domain: "south-a".into(),
        slots: 6,
        connections: 330,
        cold_ms: 0,
        state: MemberState::Serving,
    };
    control.apply(Command::PutBackend {
        name: name.into(),
        backend,
    });
}

fn advance_to(control: &Control, shares: &[u16]) {
    let steps = shares
        .iter()
        .map(|&share| Step { share, cap: 1_000 })
        .collect();
    control.apply(Command::PutMove {
        name: "m".into(),
        services: vec!["catalogue".into()],
        from: "north".into(),
        to: "south".into(),
        steps,
    });
    for to in 0..shares.len() {
        let action = MoveAction::Advance { to };
        control.apply(Command::StepMove {
            name: "m".into(),
            action,
        });
    }
}

async fn send(entry: &EntryHandle, count: usize) {
    let mut caller = Caller::connect(entry.address()).await;
    for _ in 0..count {
        let got = caller
            .round_trip(&keyed("GET", "/catalogue/x", "", ""))
            .await
            .unwrap();
        assert_eq!(got.status, 200);
    }
}

const REQUESTS: usize = 100;

/// Sends requests through an entry in `region`, with a server in the source region
/// and one in the destination region. Checks how many reach the destination.
async fn moves(region: &str, shares: &[u16], least: usize, most: usize) {
    let (north, south) = (
        Server::start(|_, _| ok("n")).await,
        Server::start(|_, _| ok("s")).await,
    );
    let control = setup(&[&north]);
    add_server(&control, "s0", south.address);
    let domains = vec!["west-a".into()];
    control.apply(Command::PutRegion {
        name: "west".into(),
        region: Region { domains },
    });
    let entry = control
        .entry(|c| {
            c.region = region.into();
            c.domain = format!("{region}-a").as_str().into();
        })
        .await;
    advance_to(&control, shares);
    send(&entry, REQUESTS).await;
    let moved = south.requests().len();
    assert!(
        (least..=most).contains(&moved),
        "{moved} of {REQUESTS} moved"
    );
    assert_eq!(north.requests().len() + moved, REQUESTS);
}

cases! { moves:
    /// Guards against shifting more than the share and one request.
    first_step_share => ("north", &[200], 19, 21);
    /// Guards against steps that add up to more than the last share.
    last_step_sets_the_share => ("north", &[200, 500], 49, 51);
    /// Guards against requests that stay in the source region after the last step.
    finished_move => ("north", &[400, 1_000], 100, 100);
    /// Guards against entries in a region without servers that keep using the source
    /// region.
    finished_move_from_a_third_region => ("west", &[1_000], 100, 100);
    /// Guards against entries in the destination that send requests to the source.
    destination_keeps_its_requests => ("south", &[1_000], 100, 100);
}

/// Guards against requests that are queued or refused in a full region although
/// another region has measured headroom.
#[tokio::test]
async fn waiting_requests_spill_to_another_region() {
    let slow = ServerAction::WriteAfter(400, ok_bytes("n"));
    let north = Server::start(move |_, _| slow.clone()).await;
    let south = Server::start(|_, _| ok("s")).await;
    let control = setup(&[&north]);
    add_server(&control, "s0", south.address);
    let link = Link {
        from: "north".into(),
        to: "south".into(),
        mbits: 4_000,
    };
    control.apply(Command::PutLinks(vec![link]));
    control.run_clock();
    let entry = Arc::new(control.entry(|c| c.poll_ms = 50).await);
    let mut callers = Vec::new();
    for _ in 0..60 {
        let entry = Arc::clone(&entry);
        callers.push(tokio::spawn(async move {
            let mut caller = Caller::connect(entry.address()).await;
            for _ in 0..20 {
                let _ = caller
                    .round_trip(&keyed("GET", "/catalogue/x", "", ""))
                    .await;
            }
        }));
    }
    until(|| !south.requests().is_empty()).await;
    callers.iter().for_each(tokio::task::JoinHandle::abort);
}
