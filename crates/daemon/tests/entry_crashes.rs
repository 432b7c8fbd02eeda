//! Requests that were in flight at a crash but did not cause it.

mod entry_support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use entry_support::{
    keyed, ok, setup, until, Caller, Control, ReceivedRequest, Server, ServerAction,
};
use pomelovale_state::command::Command;
use pomelovale_state::document::{Backend, MemberState};
use pomelovaled::entry::EntryHandle;

/// Starts a server that crashes on the first request for `/popular` once `armed` is
/// set.
async fn crashes_when(armed: Arc<AtomicBool>) -> Server {
    Server::start(move |seen, _| match seen.head.contains("popular") {
        true if armed.load(Ordering::SeqCst) => ServerAction::Crash,
        _ => ok("done"),
    })
    .await
}

async fn lookup(entry: &EntryHandle) -> u16 {
    let mut caller = Caller::connect(entry.address()).await;
    let request = keyed("GET", "/catalogue/popular", "", "");
    caller.round_trip(&request).await.unwrap().status
}

fn add_server(control: &Control, name: &str, address: SocketAddr, domain: &str) {
    let backend = Backend {
        address,
        service: "catalogue".into(),
        region: "north".into(),
        domain: domain.into(),
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

/// Guards against a popular lookup that is refused for ten minutes because it was
/// in flight at two crashes, although it completed in between.
#[tokio::test]
async fn an_answered_lookup_is_not_quarantined() {
    let armed = [true, false].map(|b| Arc::new(AtomicBool::new(b)));
    let first = crashes_when(armed[0].clone()).await;
    let second = crashes_when(armed[1].clone()).await;
    let healthy = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&first, &second, &healthy]);
    let entry = control.entry(|_| {}).await;
    let cleared = |control: &Control| {
        let proposed = control.proposed.lock().unwrap();
        proposed
            .iter()
            .filter(|c| matches!(c, Command::ClearCrash(_)))
            .count()
    };
    let prove = control.prover();
    for (n, server) in [&first, &second].into_iter().enumerate() {
        armed[n].store(true, Ordering::SeqCst);
        while !server.is_down() {
            // Crashes right after an answer don't count.
            control.clock.advance(11_000);
            prove();
            assert_eq!(lookup(&entry).await, 200);
        }
        until(|| cleared(&control) == n + 1).await;
        // The entry has seen the record disappear before its clock goes on.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(lookup(&entry).await, 200);
}

/// Guards against a retry in the failure domain that is failing, which would make
/// the loss of the domain look like a request that crashes servers.
#[tokio::test]
async fn a_retry_after_a_crash_uses_another_failure_domain() {
    let armed = Arc::new(AtomicBool::new(true));
    let mut failing = Vec::new();
    for _ in 0..4 {
        failing.push(crashes_when(armed.clone()).await);
    }
    let other = Server::start(|_, _| ok("done")).await;
    let control = setup(&failing.iter().collect::<Vec<_>>());
    add_server(&control, "far", other.address, "north-b");
    let entry = control.entry(|_| {}).await;
    while !failing.iter().any(Server::is_down) {
        assert_eq!(lookup(&entry).await, 200);
    }
    assert_eq!(failing.iter().filter(|s| s.is_down()).count(), 1);
}

/// Guards against a popular lookup that is quarantined because servers that end
/// together were all running it.
#[tokio::test]
async fn a_lookup_at_servers_that_end_together_is_served() {
    let mut failing = Vec::new();
    for _ in 0..4 {
        failing.push(Server::start(|_, _| ServerAction::CrashAfter(100)).await);
    }
    let other = Server::start(|_, _| ok("done")).await;
    let control = setup(&failing.iter().collect::<Vec<_>>());
    let entries = [control.entry(|_| {}).await, control.entry(|_| {}).await];
    let all = async {
        tokio::join!(
            lookup(&entries[0]),
            lookup(&entries[1]),
            lookup(&entries[0]),
            lookup(&entries[1]),
        )
    };
    let in_flight = async {
        until(|| failing.iter().map(|s| s.requests().len()).sum::<usize>() == 4).await;
        add_server(&control, "far", other.address, "north-b");
    };
    let (statuses, ()) = tokio::join!(all, in_flight);
    assert!(failing.iter().filter(|s| s.is_down()).count() > 1);
    assert_eq!(statuses, (200, 200, 200, 200));
    for n in 0..failing.len() {
        control.apply(Command::RemoveBackend(format!("b{n}").into()));
    }
    assert_eq!(lookup(&entries[0]).await, 200);
    assert_eq!(lookup(&entries[1]).await, 200);
}

/// Guards against a request whose caller leaves before the server ends, so that nobody
/// sees its connection cut.
#[tokio::test]
async fn a_crash_after_the_caller_has_left_is_recorded() {
    let mut servers = Vec::new();
    for _ in 0..3 {
        let script = |seen: &ReceivedRequest, _| match seen.head.contains("poison") {
            true => ServerAction::CrashAfter(100),
            false => ok("done"),
        };
        servers.push(Server::start(script).await);
    }
    let control = setup(&servers.iter().collect::<Vec<_>>());
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    let poison = keyed("GET", "/catalogue/poison", "", "");
    caller.write(&poison).await;
    until(|| servers.iter().any(|s| !s.requests().is_empty())).await;
    drop(caller);
    until(|| servers.iter().any(Server::is_down)).await;
    let recorded = |control: &Control| {
        let proposed = control.proposed.lock().unwrap();
        proposed
            .iter()
            .any(|c| matches!(c, Command::RecordCrash { .. }))
    };
    let found = async {
        // A lookup that meets the ended server has it checked.
        while !recorded(&control) {
            lookup(&entry).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let limit = Duration::from_secs(10);
    tokio::time::timeout(limit, found).await.unwrap();
}

/// Guards against a caller that waits past its deadline until the crash of a server is
/// recorded.
#[tokio::test]
async fn unrecorded_crash_does_not_delay_an_answer_past_the_deadline() {
    let server = Server::start(|_, _| ServerAction::CrashAfter(100)).await;
    let control = setup(&[&server]);
    let entry = control.entry(|c| c.spread_ms = 4_000).await;
    control.ignore_changes.store(true, Ordering::SeqCst);
    let mut caller = Caller::connect(entry.address()).await;
    let start = Instant::now();
    let request = keyed("GET", "/catalogue/x", "pomelovale-deadline-ms: 400\r\n", "");
    let answer = caller.round_trip(&request).await.expect("a response");
    assert_eq!(answer.outcome().as_deref(), Some("unknown"));
    assert!(
        start.elapsed() < Duration::from_millis(1_400),
        "{:?}",
        start.elapsed()
    );
}
