//! Answers of servers and other instances whose status isn't in 100..=599: they reach no caller,
//! and show nothing good about their server.

mod entry_support;
mod gateway_support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use entry_support::{header, Caller, ReceivedRequest, Server, ServerAction};
use gateway_support::fleet::Fleet;
use gateway_support::{document, keyed, proven, response, send, send_to, start_with, status, Site};
use pomelovale_state::document::{Backend, Instance, MemberState};
use pomelovaled::gateway::config::GatewayConfig;
use tokio::time::sleep;

const STATUSES: [&str; 9] = ["000", "0", "99", "099", "600", "999", "2000", "-01", "word"];
/// Objective of the routes in the test of silent servers: the second attempt comes after a
/// few times as long.
const OBJECTIVE_MS: u64 = 100;
/// Time for several probes of a server that is suspended.
const PROBES: Duration = Duration::from_millis(700);
/// Time by which the next probe has found that a server is back.
const RECOVERY: Duration = Duration::from_millis(1_500);

fn odd(status: &str) -> ServerAction {
    proven(&format!("{status} Odd"), "odd body")
}

fn large(status: &str) -> ServerAction {
    let body = "x".repeat(120_000);
    proven(&format!("{status} Odd"), &body)
}

/// An answer on the health path of server `b0`.
fn health(status: &str) -> ServerAction {
    let headers = "pomelovale-backend: b0\r\npomelovale-proof: p\r\ncontent-length: 0\r\n";
    ServerAction::Write(format!("HTTP/1.1 {status} Odd\r\n{headers}\r\n").into_bytes())
}

fn is_health(seen: &ReceivedRequest) -> bool {
    seen.head.starts_with("GET /health ")
}

/// Starts two servers that answer the first request that comes to either in one way, and the
/// others in another way.
async fn servers(first: ServerAction, others: ServerAction) -> (Vec<Server>, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let mut servers = Vec::new();
    for _ in 0..2 {
        let (count, first, others) = (count.clone(), first.clone(), others.clone());
        let react = move |seen: &ReceivedRequest, _: usize| match is_health(seen) {
            true => health("200"),
            false if count.fetch_add(1, Ordering::SeqCst) == 0 => first.clone(),
            false => others.clone(),
        };
        servers.push(Server::start(react).await);
    }
    (servers, count)
}

async fn gateway(servers: &[Server], edit: impl FnOnce(&mut GatewayConfig)) -> Site {
    let servers: Vec<&Server> = servers.iter().collect();
    let site = start_with("g", None, edit).await;
    let mut document = document(&servers);
    if let Some(routing) = document.routing.as_mut().map(Arc::make_mut) {
        for route in routing.hosts.values_mut().flatten() {
            route.objective_ms = OBJECTIVE_MS;
        }
    }
    site.show(document);
    site
}

fn assert_unknown(answer: &str, case: &str) {
    assert!(matches!(status(answer), 502 | 504), "{case}: {answer}");
    let outcome = header(answer, "pomelovale-outcome");
    assert_eq!(outcome.as_deref(), Some("unknown"), "{case}: {answer}");
    assert!(!answer.contains("odd body"), "{case}: {answer}");
}

macro_rules! answers {
    ($($(#[$doc:meta])* $name:ident($method:literal, $path:literal, $first:expr, $others:expr) => ($served:literal, $sent:literal);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            for case in STATUSES {
                let (first, others): (fn(&str) -> _, fn(&str) -> _) = ($first, $others);
                let (servers, count) = servers(first(case), others(case)).await;
                let site = gateway(&servers, |_| {}).await;
                let answer = send(&site, &keyed($method, $path)).await;
                match $served {
                    true => assert_eq!(status(&answer), 200, "{case}: {answer}"),
                    false => assert_unknown(&answer, case),
                }
                assert_eq!(count.load(Ordering::SeqCst), $sent, "{case}");
            }
        })*
    };
}

answers! {
    /// Guards against such a status as the answer to a booking.
    booking_is_unknown("POST", "/once/x", odd, odd) => (false, 1);
    /// Guards against a lookup that isn't repeated after such an answer.
    lookup_is_repeated("GET", "/safe/x", odd, |_| proven("200 OK", "fine")) => (true, 2);
    /// Guards against such a status as the answer to the second attempt of a lookup.
    repeated_lookup_is_unknown("GET", "/safe/x", odd, odd) => (false, 2);
    /// Guards against such a status from the server that is asked after a silent one.
    lookup_after_silence_is_unknown("GET", "/safe/x", |_| ServerAction::Silent, odd) => (false, 2);
    /// Guards against such a status of a response that is streamed.
    streamed_booking_is_unknown("POST", "/once/x", large, large) => (false, 1);
    /// Guards against a streamed response of that kind that a lookup is not repeated after.
    streamed_lookup_is_repeated("GET", "/safe/x", large, |_| proven("200 OK", "fine")) => (true, 2);
}

/// Guards against a request that is sent to a server because its answer to a probe, whatever
/// the status, shows that it stays.
#[tokio::test]
async fn probe_before_a_request_shows_nothing() {
    for case in STATUSES.into_iter().chain(["200"]) {
        let probes = Arc::new(AtomicUsize::new(0));
        let counter = probes.clone();
        let react = move |seen: &ReceivedRequest, _: usize| match is_health(seen) {
            true => {
                counter.fetch_add(1, Ordering::SeqCst);
                health(case)
            }
            false => proven("200 OK", "fine"),
        };
        let servers = [Server::start(react).await];
        // Without a list, the gateway probes servers before it sends them requests.
        let site = gateway(&servers, |c| c.has_list = true).await;
        let answer = send(&site, &keyed("POST", "/once/x")).await;
        assert_eq!(status(&answer) == 200, case == "200", "{case}: {answer}");
        assert!(probes.load(Ordering::SeqCst) > 0, "{case}: no probe");
        let sent = servers[0].requests().len();
        assert_eq!(sent, usize::from(case == "200"), "{case}");
    }
}

/// Guards against a suspended server that returns because it answers probes, whatever the status.
#[tokio::test]
async fn health_path_does_not_bring_a_server_back() {
    for case in STATUSES {
        let is_back = Arc::new(AtomicBool::new(false));
        let probes = Arc::new(AtomicUsize::new(0));
        let (back, counter) = (is_back.clone(), probes.clone());
        let first = AtomicBool::new(true);
        let react = move |seen: &ReceivedRequest, _: usize| match is_health(seen) {
            true if back.load(Ordering::SeqCst) => health("200"),
            true => {
                counter.fetch_add(1, Ordering::SeqCst);
                health(case)
            }
            // Another server at the address; suspends the expected one.
            false if first.swap(false, Ordering::SeqCst) => response("421 Misdirected", "", ""),
            false => proven("200 OK", "fine"),
        };
        let servers = [Server::start(react).await];
        let site = gateway(&servers, |_| {}).await;
        send(&site, &keyed("POST", "/once/x")).await;
        sleep(PROBES).await;
        let answer = send(&site, &keyed("POST", "/once/y")).await;
        assert_ne!(status(&answer), 200, "{case}: {answer}");
        assert!(probes.load(Ordering::SeqCst) > 0, "{case}: no probe");
        is_back.store(true, Ordering::SeqCst);
        sleep(RECOVERY).await;
        let answer = send(&site, &keyed("POST", "/once/z")).await;
        assert_eq!(status(&answer), 200, "{case}: {answer}");
    }
}

/// Starts a gateway all of whose servers refuse connections, and two instances that it may ask.
async fn relaying(others: &[Server]) -> Fleet {
    let mut document = document(&others.iter().collect::<Vec<_>>());
    let backend = document.backends["b0"].clone();
    for n in 0..4u16 {
        let closed = Backend {
            address: ([127, 0, 0, 3], 1_000 + n).into(),
            ..backend.clone()
        };
        document.backends.insert(format!("b{n}").into(), closed);
    }
    for (n, other) in others.iter().enumerate() {
        let instance = Instance {
            callers: Some(other.address),
            peers: None,
            region: "north".into(),
            domain: "north-a".into(),
            state: MemberState::Serving,
        };
        let name = format!("other-{n}");
        document.instances.insert(name.into(), instance);
    }
    let fleet = Fleet::start(1, document).await;
    sleep(Duration::from_millis(100)).await;
    fleet
}

/// Guards against such a status that an instance passes on from one that it has asked.
#[tokio::test]
async fn relayed_request_gets_no_such_answer() {
    for case in STATUSES {
        for (method, path, is_large) in [
            ("POST", "/once/x", false),
            ("POST", "/once/x", true),
            ("GET", "/safe/x", false),
        ] {
            let action = if is_large { large(case) } else { odd(case) };
            let (others, count) = servers(action, proven("200 OK", "fine")).await;
            let fleet = relaying(&others).await;
            let answer = send_to(fleet.gateways[0].address(), &keyed(method, path)).await;
            match method {
                "GET" => assert_eq!(status(&answer), 200, "{case}: {answer}"),
                _ => assert_unknown(&answer, case),
            }
            let sent = count.load(Ordering::SeqCst);
            assert_eq!(sent, 1 + usize::from(method == "GET"), "{case}");
        }
    }
}

/// Guards against such a status as the answer of an entry.
#[tokio::test]
async fn entry_passes_no_such_answer_on() {
    for case in STATUSES {
        let text = format!("HTTP/1.1 {case} Odd\r\ncontent-length: 8\r\n\r\nodd body");
        let react = move |_: &ReceivedRequest, _: usize| ServerAction::Write(text.clone().into());
        let server = Server::start(react).await;
        let control = entry_support::setup(&[&server]);
        let entry = control.entry(|_| {}).await;
        let mut caller = Caller::connect(entry.address()).await;
        let post = entry_support::keyed("POST", "/catalogue/book", "", "one");
        let got = caller.round_trip(&post).await.expect("an answer");
        assert_eq!(got.status, 502, "{case}: {got:?}");
        assert_eq!(got.outcome().as_deref(), Some("unknown"), "{case}");
    }
}
