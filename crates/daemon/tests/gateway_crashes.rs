//! Requests under which backend servers end, sent through several gateways.

mod entry_support;
mod gateway_support;

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use entry_support::{header, until, ReceivedRequest, Server, ServerAction};
use gateway_support::fleet::Fleet;
use gateway_support::{document, keyed, proven, send_to, status};
use pomelovale_state::command::QUARANTINE_CRASHES;
use pomelovale_state::document::{Backend, Document, MemberState};
use pomelovaled::gateway::config::GatewayConfig;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Starts servers that end when they are sent a path with `poison`.
async fn start_servers(count: usize) -> Vec<Server> {
    let mut servers = Vec::new();
    for _ in 0..count {
        let script = |seen: &ReceivedRequest, _| match seen.head.contains("poison") {
            true => ServerAction::Crash,
            false => proven("200 OK", "fine"),
        };
        servers.push(Server::start(script).await);
    }
    servers
}

/// Starts a server that ends under popular requests while `failing` is set.
async fn start_failing(failing: Arc<AtomicBool>) -> Server {
    let script = move |seen: &ReceivedRequest, _: usize| match failing.load(Ordering::SeqCst)
        && seen.head.contains("popular")
    {
        true => ServerAction::Crash,
        false => proven("200 OK", "fine"),
    };
    Server::start(script).await
}

async fn start(servers: &[Server], gateways: usize) -> Fleet {
    let all: Vec<&Server> = servers.iter().collect();
    Fleet::start(gateways, document(&all)).await
}

fn ended(servers: &[Server]) -> usize {
    servers.iter().filter(|s| s.is_down()).count()
}

/// Starts gateways with a short time until a quarantined request is tried again.
async fn start_with_trials(servers: &[Server], gateways: usize) -> Fleet {
    let config = GatewayConfig {
        trial_ms: 300,
        ..GatewayConfig::default()
    };
    let all: Vec<&Server> = servers.iter().collect();
    Fleet::start_with(config, gateways, document(&all)).await
}

async fn send_through(fleet: &Fleet, n: usize, request: &str) -> String {
    let gateway = &fleet.gateways[n % fleet.gateways.len()];
    send_to(gateway.address(), request).await
}

/// Runs futures at the same time and returns their results in order.
async fn join_all<F: Future>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output> {
    let mut tasks: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut results: Vec<Option<F::Output>> = tasks.iter().map(|_| None).collect();
    std::future::poll_fn(|cx| {
        for (task, result) in tasks.iter_mut().zip(&mut results) {
            if result.is_none() {
                if let std::task::Poll::Ready(output) = task.as_mut().poll(cx) {
                    *result = Some(output);
                }
            }
        }
        match results.iter().all(Option::is_some) {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
    results.into_iter().flatten().collect()
}

macro_rules! resends {
    ($($(#[$doc:meta])* $name:ident($method:literal, $path:literal, $gateways:literal);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let servers = start_servers(10).await;
            let fleet = start(&servers, $gateways).await;
            let mut last = String::new();
            for turn in 0..8 {
                last = send_through(&fleet, turn, &keyed($method, $path)).await;
            }
            assert_eq!(ended(&servers), QUARANTINE_CRASHES);
            assert_eq!(status(&last), 503, "{last}");
            assert_eq!(header(&last, "pomelovale-outcome").as_deref(), Some("not-run"));
            let other = keyed($method, &$path.replace("poison", "other"));
            assert_eq!(status(&send_through(&fleet, 0, &other).await), 200);
        })*
    };
}

resends! {
    /// Guards against a lookup that ends one server after another through one gateway.
    resent_lookup_through_one_gateway("GET", "/safe/poison", 1);
    /// Guards against a lookup that ends servers through each gateway in turn.
    resent_lookup_through_all_gateways("GET", "/safe/poison", 4);
    /// Guards against a booking that ends one server after another through one gateway.
    resent_booking_through_one_gateway("POST", "/once/poison", 1);
    /// Guards against a booking that ends servers through each gateway in turn.
    resent_booking_through_all_gateways("POST", "/once/poison", 4);
}

fn popular() -> String {
    keyed("GET", "/safe/popular")
}

async fn send_popular(fleet: &Fleet, n: usize) -> u16 {
    status(&send_through(fleet, n, &popular()).await)
}

/// Guards against a request that is refused by its own gateway before others know of the
/// crash, since its route allows one more attempt.
#[tokio::test]
async fn resent_lookup_with_an_attempt_left() {
    let servers = start_servers(10).await;
    let all: Vec<&Server> = servers.iter().collect();
    let mut document = document(&all);
    let mut routing = (*document.routing.unwrap()).clone();
    for route in routing.hosts.values_mut().flatten() {
        route.attempts = 4;
    }
    document.routing = Some(Arc::new(routing));
    let fleet = Fleet::start(4, document).await;
    for turn in 0..8 {
        send_through(&fleet, turn, &keyed("GET", "/safe/poison")).await;
    }
    assert_eq!(ended(&servers), QUARANTINE_CRASHES);
}

/// Adds a server in a failure domain of its own.
fn add_far_server(fleet: &Fleet, server: &Server) {
    fleet.edit(|document| {
        let backend = Backend {
            address: server.address,
            domain: "north-b".into(),
            ..document.backends["b0"].clone()
        };
        document.backends.insert("far".into(), backend);
    });
}

/// Guards against a popular lookup that is quarantined because servers that end
/// together were all running it.
#[tokio::test]
async fn popular_lookup_at_servers_that_end_together_is_served() {
    let mut failing = Vec::new();
    for _ in 0..4 {
        let script = |seen: &ReceivedRequest, _| match seen.head.contains("popular") {
            true => ServerAction::CrashAfter(100),
            false => proven("200 OK", "fine"),
        };
        failing.push(Server::start(script).await);
    }
    let other = Server::start(|_, _| proven("200 OK", "fine")).await;
    let fleet = start(&failing, 3).await;
    let in_flight = async {
        until(|| failing.iter().map(|s| s.requests().len()).sum::<usize>() == 6).await;
        add_far_server(&fleet, &other);
    };
    let sends = (0..6).map(|n| send_popular(&fleet, n));
    let (statuses, ()) = tokio::join!(join_all(sends), in_flight);
    assert!(ended(&failing) > 1);
    assert_eq!(statuses, [200; 6]);
    fleet.edit(|document| document.backends.retain(|name, _| name.as_str() == "far"));
    for n in 0..3 {
        assert_eq!(send_popular(&fleet, n).await, 200);
    }
}

/// Guards against a popular lookup that is quarantined because servers which run it end
/// one after another.
#[tokio::test]
async fn popular_lookup_at_servers_that_end_in_turn_is_served() {
    let armed: Vec<Arc<AtomicBool>> = (0..4).map(|_| Arc::default()).collect();
    let mut servers = Vec::new();
    for armed in &armed {
        servers.push(start_failing(armed.clone()).await);
    }
    for _ in 0..4 {
        servers.push(Server::start(|_, _| proven("200 OK", "fine")).await);
    }
    let fleet = start(&servers, 3).await;
    let stopped = AtomicBool::new(false);
    let callers = (0..6).map(|n| {
        let (fleet, stopped) = (&fleet, &stopped);
        async move {
            let mut statuses = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                statuses.push(send_popular(fleet, n).await);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            statuses
        }
    });
    let ends = async {
        for armed in &armed {
            armed.store(true, Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        stopped.store(true, Ordering::SeqCst);
    };
    let (statuses, ()) = tokio::join!(join_all(callers), ends);
    assert_eq!(ended(&servers), 4);
    let refused = statuses.iter().flatten().filter(|s| **s == 503).count();
    assert_eq!(refused, 0, "{statuses:?}");
    remove_ended_servers(&fleet, &servers);
    for n in 0..3 {
        assert_eq!(send_popular(&fleet, n).await, 200);
    }
}

/// Removes the servers that have ended from the document.
fn remove_ended_servers(fleet: &Fleet, servers: &[Server]) {
    let up = servers.iter().enumerate().filter(|(_, s)| !s.is_down());
    let up: Vec<String> = up.map(|(n, _)| format!("b{n}")).collect();
    fleet.edit(|document| {
        let backends = &mut document.backends;
        backends.retain(|name, _| up.iter().any(|u| name.as_str() == u));
    });
}

/// Guards against a popular lookup that is quarantined because all servers of a small site
/// end within moments, so that no answer comes between two of them.
#[tokio::test]
async fn lookup_that_was_answered_a_moment_ago_is_not_suspected() {
    let failing = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for _ in 0..8 {
        servers.push(start_failing(failing.clone()).await);
    }
    let fleet = start(&servers, 1).await;
    assert_eq!(send_popular(&fleet, 0).await, 200);
    failing.store(true, Ordering::SeqCst);
    for _ in 0..2 {
        assert_eq!(send_popular(&fleet, 0).await, 502);
    }
    assert_eq!(ended(&servers), 4);
    failing.store(false, Ordering::SeqCst);
    remove_ended_servers(&fleet, &servers);
    assert_eq!(send_popular(&fleet, 0).await, 200);
}

/// Guards against a request that is quarantined although another gateway has just answered
/// it.
#[tokio::test]
async fn request_that_another_gateway_has_answered_is_not_suspected() {
    let failing = Arc::new(AtomicBool::new(true));
    let mut servers = Vec::new();
    for _ in 0..8 {
        servers.push(start_failing(failing.clone()).await);
    }
    let fleet = start(&servers, 2).await;
    let request = keyed("POST", "/once/popular");
    let send = async |n| status(&send_through(&fleet, n, &request).await);
    assert_eq!(send(1).await, 502);
    until(|| !fleet.document().crashes.is_empty()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    failing.store(false, Ordering::SeqCst);
    assert_eq!(send(0).await, 200);
    until(|| fleet.document().crashes.is_empty()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    failing.store(true, Ordering::SeqCst);
    for _ in 0..QUARANTINE_CRASHES {
        assert_eq!(send(1).await, 502);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    failing.store(false, Ordering::SeqCst);
    remove_ended_servers(&fleet, &servers);
    assert_eq!(send(1).await, 200);
}

/// Guards against a request that is quarantined by gateways that have not answered it,
/// although another one did a moment before the servers ended.
#[tokio::test]
async fn request_that_another_gateway_answered_before_the_crashes_is_not_suspected() {
    let failing = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for _ in 0..8 {
        servers.push(start_failing(failing.clone()).await);
    }
    let fleet = start(&servers, 2).await;
    let request = keyed("POST", "/once/popular");
    let send = async |n| status(&send_through(&fleet, n, &request).await);
    assert_eq!(send(0).await, 200);
    failing.store(true, Ordering::SeqCst);
    for _ in 0..QUARANTINE_CRASHES {
        assert_eq!(send(1).await, 502);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    failing.store(false, Ordering::SeqCst);
    remove_ended_servers(&fleet, &servers);
    assert_eq!(send(1).await, 200);
}

/// Guards against counting connections that a full server closes, or something on the way
/// to it, as crashes.
#[tokio::test]
async fn closed_connections_are_no_crashes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut part = [0; 64];
            let limit = Duration::from_millis(5);
            let _ = tokio::time::timeout(limit, stream.read(&mut part)).await;
        }
    });
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let mut document = document(&[&server]);
    document.backends["b0"].address = address;
    let fleet = Fleet::start(2, document).await;
    for n in 0..6 {
        let answer = send_through(&fleet, n, &keyed("POST", "/once/x")).await;
        assert_ne!(status(&answer), 503, "{answer}");
    }
    assert!(fleet.document().crashes.is_empty());
    accepting.abort();
}

/// Sends a request and closes the connection before it is answered.
async fn send_and_leave(fleet: &Fleet, n: usize, request: &str, after_ms: u64) {
    let gateway = &fleet.gateways[n % fleet.gateways.len()];
    let mut stream = TcpStream::connect(gateway.address()).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(after_ms)).await;
}

/// Sends other requests until the gateways know which servers have ended.
async fn find_ended_servers(fleet: &Fleet, servers: &[Server]) {
    let away = |document: Document| {
        let states = document.backends.into_values().map(|b| b.state);
        states.filter(|s| *s == MemberState::Away).count()
    };
    let mut n = 0;
    while away(fleet.document()) < ended(servers) {
        send_through(fleet, n, &keyed("GET", &format!("/safe/other{n}"))).await;
        n += 1;
    }
    // Until the abandoned runs are checked and the crash is recorded.
    tokio::time::sleep(Duration::from_millis(500)).await;
}

/// Guards against a request whose caller leaves before the server ends, so that nobody
/// sees its connection cut.
#[tokio::test]
async fn crash_after_the_caller_has_left_counts() {
    let mut servers = Vec::new();
    for _ in 0..8 {
        let script = |seen: &ReceivedRequest, _| match seen.head.contains("poison") {
            true => ServerAction::CrashAfter(150),
            false => proven("200 OK", "fine"),
        };
        servers.push(Server::start(script).await);
    }
    let fleet = start(&servers, 2).await;
    for n in 0..6 {
        send_and_leave(&fleet, n, &keyed("GET", "/safe/poison"), 60).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        find_ended_servers(&fleet, &servers).await;
    }
    assert_eq!(ended(&servers), QUARANTINE_CRASHES);
}

/// Guards against a streamed answer that is cut by the end of its server and does not
/// count, because its head has been passed on.
#[tokio::test]
async fn crash_in_a_streamed_answer_counts() {
    let mut servers = Vec::new();
    for _ in 0..8 {
        let script = |seen: &ReceivedRequest, _| match seen.head.contains("poison") {
            true => ServerAction::WriteAndCrash(started_answer()),
            false => proven("200 OK", "fine"),
        };
        servers.push(Server::start(script).await);
    }
    let fleet = start(&servers, 2).await;
    for n in 0..6 {
        send_through(&fleet, n, &keyed("GET", "/safe/poison")).await;
        find_ended_servers(&fleet, &servers).await;
    }
    assert_eq!(ended(&servers), QUARANTINE_CRASHES);
}

/// Guards against a crash that doesn't count because the server sent bytes that are no
/// answer before it ended.
#[tokio::test]
async fn crash_after_bytes_that_are_no_answer_counts() {
    let mut servers = Vec::new();
    for _ in 0..8 {
        let script = |seen: &ReceivedRequest, _| match seen.head.contains("poison") {
            true => ServerAction::WriteAndCrash(b"no answer\r\n\r\n".to_vec()),
            false => proven("200 OK", "fine"),
        };
        servers.push(Server::start(script).await);
    }
    let fleet = start(&servers, 2).await;
    for n in 0..6 {
        send_through(&fleet, n, &keyed("POST", "/once/poison")).await;
        find_ended_servers(&fleet, &servers).await;
    }
    assert_eq!(ended(&servers), QUARANTINE_CRASHES);
}

// The head of an answer and enough of its body that the gateway passes it on.
fn started_answer() -> Vec<u8> {
    let head = "HTTP/1.1 200 OK\r\npomelovale-request: q1\r\npomelovale-proof: p\r\ncontent-length: 900000\r\n\r\n";
    [head.as_bytes(), &[b'x'; 500_000]].concat()
}

/// Guards against crashes that are forgotten because no leader accepts them at the time.
#[tokio::test]
async fn crashes_are_recorded_once_a_leader_is_back() {
    let servers = start_servers(6).await;
    let mut fleet = start(&servers, 1).await;
    fleet.set_reachable(false);
    send_through(&fleet, 0, &keyed("GET", "/safe/poison")).await;
    assert_eq!(ended(&servers), QUARANTINE_CRASHES);
    fleet.set_reachable(true);
    until(|| {
        fleet
            .document()
            .crashes
            .values()
            .any(|r| r.crashed.len() == QUARANTINE_CRASHES)
    })
    .await;
    fleet.add_gateway().await;
    let answer = send_through(&fleet, 1, &keyed("GET", "/safe/poison")).await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert_eq!(ended(&servers), QUARANTINE_CRASHES);
}

/// Guards against a server that comes back under its name and is ended by the same
/// request again and again.
#[tokio::test]
async fn server_that_crashes_again_under_its_name_counts_again() {
    let mut server = start_servers(1).await.remove(0);
    let fleet = Fleet::start(2, document(&[&server])).await;
    let mut crashes = 0;
    for n in 0..6 {
        send_through(&fleet, n, &keyed("POST", "/once/poison")).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        if server.is_down() {
            crashes += 1;
            server = start_servers(1).await.remove(0);
            fleet.edit(|document| {
                document.backends["b0"].address = server.address;
                document.backends["b0"].state = MemberState::Serving;
            });
        }
    }
    assert_eq!(crashes, QUARANTINE_CRASHES);
}

/// Guards against copies of a request that each gateway sends on because it only counts
/// the crashes that it has seen itself.
#[tokio::test]
async fn copies_through_all_gateways_at_once_are_quarantined() {
    let servers = start_servers(20).await;
    let fleet = start(&servers, 4).await;
    let request = keyed("POST", "/once/poison");
    for _ in 0..QUARANTINE_CRASHES {
        join_all((0..4).map(|n| send_through(&fleet, n, &request))).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let after_waves = ended(&servers);
    assert!(after_waves <= 4 * QUARANTINE_CRASHES);
    for n in 0..12 {
        let answer = send_through(&fleet, n, &request).await;
        assert_eq!(status(&answer), 503, "{answer}");
    }
    assert_eq!(ended(&servers), after_waves);
}

/// Guards against an innocent request that is quarantined and refused by all gateways, so
/// that no answer can clear it.
#[tokio::test]
async fn quarantined_request_that_is_innocent_is_served_again() {
    let failing = Arc::new(AtomicBool::new(true));
    let mut servers = Vec::new();
    for _ in 0..6 {
        servers.push(start_failing(failing.clone()).await);
    }
    let fleet = start_with_trials(&servers, 3).await;
    while send_popular(&fleet, 0).await != 503 {}
    failing.store(false, Ordering::SeqCst);
    let recovered = async {
        let mut n = 0;
        while send_popular(&fleet, n).await != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            n += 1;
        }
    };
    let limit = Duration::from_secs(5);
    tokio::time::timeout(limit, recovered).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    for n in 0..6 {
        assert_eq!(send_popular(&fleet, n).await, 200);
    }
}

/// Guards against trials of a quarantined request that end servers at a steady rate.
#[tokio::test]
async fn trials_of_a_request_that_ends_servers_become_rarer() {
    let servers = start_servers(20).await;
    let fleet = start_with_trials(&servers, 3).await;
    let start = Instant::now();
    // Trials are due 300, 2,400 and 19,200 ms after the last crash.
    let mut n = 0;
    while start.elapsed() < Duration::from_secs(4) {
        send_through(&fleet, n, &keyed("POST", "/once/poison")).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
        n += 1;
    }
    let trials = ended(&servers) - QUARANTINE_CRASHES;
    assert!((1..=2).contains(&trials), "{trials} trials");
}
