//! At-most-once execution of non-idempotent requests, retries, and crashes.

mod entry_support;

use entry_support::{
    keyed, ok, setup, until, write_text, Caller, Control, ReceivedResponse, Server, ServerAction,
};
use pomelovale_state::command::Command;
use pomelovale_state::document::MemberState;
use pomelovale_state::Name;
use pomelovaled::entry::EntryHandle;

macro_rules! cases {
    ($run:ident: $($(#[$doc:meta])* $name:ident => ($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() { $run($($arg),*).await })*
    };
}

const SHED: &str = "HTTP/1.1 503 Busy\r\npomelovale-shed: not-run\r\ncontent-length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";

fn total_requests(servers: &[&Server]) -> usize {
    servers.iter().map(|s| s.requests().len()).sum()
}

async fn send_request(entry: &EntryHandle, request: &str) -> ReceivedResponse {
    let mut caller = Caller::connect(entry.address()).await;
    caller.round_trip(request).await.unwrap()
}

/// Sends a request while three servers react with `action` to their first request and
/// with a response to later ones.
async fn check_first_failure(
    method: &str,
    action: ServerAction,
    status: u16,
    outcome: Option<&str>,
    runs: usize,
) {
    let script = |action: ServerAction| {
        move |_: &_, n| match n {
            0 => action.clone(),
            _ => ok("done"),
        }
    };
    let a = Server::start(script(action.clone())).await;
    let b = Server::start(script(action.clone())).await;
    let c = Server::start(script(action)).await;
    let control = setup(&[&a, &b, &c]);
    let entry = control.entry(|c| c.attempt_ms = 100).await;
    let got = send_request(&entry, &keyed(method, "/catalogue/x", "", "")).await;
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (status, outcome),
        "{got:?}"
    );
    assert_eq!(total_requests(&[&a, &b, &c]), runs);
}

cases! { check_first_failure:
    /// Guards against retrying a booking whose connection was cut.
    cut_post => ("POST", ServerAction::Close, 502, Some("unknown"), 1);
    /// Guards against retrying a booking that got no response in time.
    silent_post => ("POST", ServerAction::Silent, 504, Some("unknown"), 1);
    /// Guards against retrying a lookup after it cut two connections.
    cut_get => ("GET", ServerAction::Close, 502, Some("unknown"), 2);
    /// Guards against retrying a lookup that got an error status from a server.
    fault_get => ("GET", write_text(BUSY), 503, None, 1);
    /// Guards against endless retries of a lookup that all servers shed.
    shed_get => ("GET", write_text(SHED), 503, Some("not-run"), 3);
    /// Guards against an unknown outcome of a booking that all servers shed.
    shed_post => ("POST", write_text(SHED), 503, Some("not-run"), 3);
}

/// Sends requests to a faulty and a healthy server, until the balancer has chosen
/// the faulty one first. All must succeed.
async fn check_recovery(method: &str, action: ServerAction) {
    let faulty = Server::start(move |_, _| action.clone()).await;
    let healthy = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&faulty, &healthy]);
    let entry = control.entry(|c| c.attempt_ms = 100).await;
    while faulty.requests().is_empty() {
        let got = send_request(&entry, &keyed(method, "/catalogue/x", "", "")).await;
        assert_eq!((got.status, got.body.as_str()), (200, "done"), "{got:?}");
    }
}

cases! { check_recovery:
    /// Guards against a lookup that fails with its server's connection.
    cut_lookup_is_retried => ("GET", ServerAction::Close);
    /// Guards against a lookup that fails on an unresponsive server.
    silent_lookup_is_retried => ("GET", ServerAction::Silent);
    /// Guards against a lookup that fails with a server that crashes.
    crashed_lookup_is_retried => ("GET", ServerAction::Crash);
    /// Guards against forwarding a truncated response to a lookup.
    short_lookup_is_retried => ("GET", ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nx".to_vec()));
    /// Guards against refusing a booking that a server shed without running it.
    shed_booking_is_retried => ("POST", write_text(SHED));
}

/// Guards against a booking that fails because a server refuses connections.
#[tokio::test]
async fn unreachable_servers_are_skipped() {
    let healthy = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&healthy]);
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    control.add_server("closed", closed);
    let entry = control.entry(|_| {}).await;
    for _ in 0..4 {
        let got = send_request(&entry, &keyed("POST", "/catalogue/x", "", "b")).await;
        assert_eq!(got.status, 200);
    }
}

/// Guards against an unknown outcome although there is no server.
#[tokio::test]
async fn no_server_is_not_run() {
    let control = setup(&[]);
    let entry = control.entry(|_| {}).await;
    let got = send_request(&entry, &keyed("POST", "/catalogue/x", "", "b")).await;
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (503, Some("not-run"))
    );
    assert!(got.head.contains("retry-after"));
}

/// Sends many lookups to servers that all react with `action`, and checks that retries
/// stay within the budget.
async fn check_retry_budget(action: ServerAction) {
    let again = action.clone();
    let a = Server::start(move |_, _| action.clone()).await;
    let b = Server::start(move |_, _| again.clone()).await;
    let control = setup(&[&a, &b]);
    let entry = control.entry(|_| {}).await;
    const REQUESTS: usize = 200;
    const BURST: usize = 10;
    for _ in 0..REQUESTS {
        send_request(&entry, &keyed("GET", "/catalogue/x", "", "")).await;
    }
    assert!(total_requests(&[&a, &b]) <= REQUESTS + REQUESTS / 10 + BURST);
}

cases! { check_retry_budget:
    /// Guards against retries beyond the budget while every server sheds.
    retries_after_shedding => (write_text(SHED));
    /// Guards against retries beyond the budget while every server fails.
    retries_after_failures => (write_text("garbage\r\n\r\n"));
}

/// Guards against a service slower than the attempt timeout whose first attempts
/// time out for as long as the retry budget lasts.
#[tokio::test]
async fn slow_services_get_longer_attempt_timeouts() {
    let script = |_: &_, _| ServerAction::WriteAfter(120, entry_support::ok_bytes("done"));
    let (a, b) = (Server::start(script).await, Server::start(script).await);
    let control = setup(&[&a, &b]);
    control.run_clock();
    let entry = control.entry(|c| c.attempt_ms = 60).await;
    const REQUESTS: usize = 20;
    const FIRST: usize = 2;
    for _ in 0..REQUESTS {
        let got = send_request(&entry, &keyed("GET", "/catalogue/x", "", "")).await;
        assert_eq!(got.status, 200);
    }
    assert!(total_requests(&[&a, &b]) <= REQUESTS + FIRST);
}

async fn start_poison_cluster() -> (Vec<Server>, Control, [EntryHandle; 2]) {
    let mut servers = Vec::new();
    for _ in 0..5 {
        let poison = |seen: &entry_support::ReceivedRequest, _| match seen.head.contains("poison") {
            true => ServerAction::Crash,
            false => ok("done"),
        };
        servers.push(Server::start(poison).await);
    }
    let control = setup(&servers.iter().collect::<Vec<_>>());
    let entries = [control.entry(|_| {}).await, control.entry(|_| {}).await];
    (servers, control, entries)
}

/// Repeats a request that crashes its server through two entries. Checks that only
/// two servers crash and that other requests are served.
async fn check_poison(method: &str) {
    let (servers, control, entries) = start_poison_cluster().await;
    let mut last = None;
    for turn in 0..6 {
        let request = keyed(method, "/catalogue/poison", "", "body");
        last = Some(send_request(&entries[turn % 2], &request).await);
    }
    let last = last.unwrap();
    assert_eq!(
        (last.status, last.outcome().as_deref()),
        (503, Some("not-run")),
        "{last:?}"
    );
    let down = servers.iter().filter(|s| s.is_down()).count();
    assert_eq!(
        (down, total_requests(&servers.iter().collect::<Vec<_>>())),
        (2, 2)
    );
    let recorded = |c: &&Command| matches!(c, Command::RecordCrash { .. });
    assert_eq!(
        control
            .proposed
            .lock()
            .unwrap()
            .iter()
            .filter(recorded)
            .count(),
        2
    );
    let other = keyed(method, "/catalogue/other", "", "body");
    assert_eq!(send_request(&entries[0], &other).await.status, 200);
}

cases! { check_poison:
    /// Guards against a lookup, which is retried once, that crashes more than two
    /// servers.
    poison_lookup => ("GET");
    /// Guards against a booking, which is never retried, that crashes more than two
    /// servers.
    poison_booking => ("POST");
}

/// Guards against a timeout for each pooled connection to a server after one of
/// them became unresponsive.
#[tokio::test]
async fn unresponsive_connections_cost_one_timeout() {
    let server = Server::start(|seen, n| match (n, seen.connection) {
        (0..=2, _) => ServerAction::WriteAfter(50, entry_support::ok_bytes("done")),
        (_, 0..=2) => ServerAction::Silent,
        _ => ok("done"),
    })
    .await;
    let control = setup(&[&server]);
    let entry = control.entry(|c| c.attempt_ms = 100).await;
    let request = keyed("GET", "/catalogue/x", "", "");
    let three = tokio::join!(
        send_request(&entry, &request),
        send_request(&entry, &request),
        send_request(&entry, &request)
    );
    assert_eq!([three.0.status, three.1.status, three.2.status], [200; 3]);
    let slow = send_request(&entry, &request).await;
    assert_eq!(
        (slow.status, slow.outcome().as_deref()),
        (504, Some("unknown"))
    );
    assert_eq!(send_request(&entry, &request).await.status, 200);
    let ended = || server.ended.lock().unwrap().clone();
    until(|| (0..3).all(|connection| ended().contains(&connection))).await;
}

/// Guards against a booking on a connection that may have become unresponsive since
/// its last response.
#[tokio::test]
async fn bookings_use_proven_connections() {
    let server = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&server]);
    let entry = control.entry(|c| c.proven_ms = 20).await;
    let request = keyed("POST", "/catalogue/x", "", "b");
    send_request(&entry, &request).await;
    tokio::time::sleep(std::time::Duration::from_millis(40)).await;
    send_request(&entry, &request).await;
    let seen = server.requests();
    assert_ne!(seen[0].connection, seen[1].connection);
}

/// Guards against a queued or retried request that is sent to a server that has
/// left, or that runs although its key has been revoked.
#[tokio::test]
async fn queued_requests_recheck_key_and_server() {
    let limit = min_concurrency();
    let server = Server::start(move |_, n| match n {
        n if n < limit => ServerAction::WriteAfter(200, entry_support::ok_bytes("done")),
        _ => ok("done"),
    })
    .await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let address = entry.address();
    let send = |path: &'static str, headers: &'static str| {
        let request = match headers {
            "" => format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n"),
            key => format!("GET {path} HTTP/1.1\r\nhost: x\r\nx-api-key: {key}\r\n\r\n"),
        };
        tokio::spawn(async move {
            let mut caller = Caller::connect(address).await;
            caller.round_trip(&request).await.unwrap()
        })
    };
    let running: Vec<_> = (0..limit)
        .map(|_| send("/catalogue/public/x", ""))
        .collect();
    until(|| server.requests().len() == limit).await;
    let revoked = send("/catalogue/x", "pk.k1.secret-1");
    let leaving = send("/catalogue/public/y", "");
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    control.apply(Command::RevokeKey(Name::from("k1")));
    control.apply(Command::SetBackend {
        name: Name::from("b0"),
        state: MemberState::Leaving,
    });
    for task in running {
        assert_eq!(task.await.unwrap().status, 200);
    }
    let got = revoked.await.unwrap();
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (401, Some("not-run"))
    );
    let got = leaving.await.unwrap();
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (503, Some("not-run"))
    );
    assert_eq!(server.requests().len(), limit);
}

// The lowest concurrency limit of the only entry is twice its share of the slots.
fn min_concurrency() -> usize {
    const SLOTS: usize = 6;
    2 * SLOTS
}

/// Disconnects a caller while its request runs, and checks whether the request
/// completes.
async fn check_disconnect(method: &str, completes: bool) {
    let server =
        Server::start(|_, _| ServerAction::WriteAfter(100, entry_support::ok_bytes("done"))).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    caller.write(&keyed(method, "/catalogue/x", "", "")).await;
    until(|| server.requests().len() == 1).await;
    drop(caller);
    if completes {
        // The complete response returns the connection to the pool for reuse.
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        send_request(&entry, &keyed(method, "/catalogue/x", "", "")).await;
        let seen = server.requests();
        assert_eq!(seen[0].connection, seen[1].connection);
    } else {
        until(|| server.closed.load(std::sync::atomic::Ordering::SeqCst) == 1).await;
    }
}

cases! { check_disconnect:
    /// Guards against a lookup that keeps a server busy after its caller disconnected.
    lookup_is_cancelled => ("GET", false);
    /// Guards against a booking that is interrupted when its caller disconnects.
    booking_is_completed => ("POST", true);
}

/// Guards against sending a request after its deadline, and against a refusal that
/// claims that it ran.
#[tokio::test]
async fn requests_past_their_deadline_are_not_run() {
    let server = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let request = keyed("POST", "/catalogue/x", "pomelovale-deadline-ms: 0\r\n", "b");
    let got = send_request(&entry, &request).await;
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (504, Some("not-run"))
    );
    let request = keyed(
        "POST",
        "/catalogue/x",
        "pomelovale-deadline-ms: 500\r\n",
        "b",
    );
    assert_eq!(send_request(&entry, &request).await.status, 200);
    let seen = server.requests();
    let left = entry_support::header(&seen[0].head, "pomelovale-deadline-ms").unwrap();
    assert!(seen.len() == 1 && left.parse::<u64>().unwrap() <= 500);
}
