//! Tests of the gateway role against scripted backend servers.

mod entry_support;
mod gateway_support;

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use entry_support::{ReceivedRequest, Server, ServerAction};
use gateway_support::{
    document, header_value, keyed, peers, proven, request, response, send, site, start_with,
    status, Site, KEY,
};
use pomelovale_protocol::messages::Admitted;
use pomelovale_state::document::{Backend, Document};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Guards against forwarding the key, or a workspace header set by the caller,
/// to a backend server, and against forwarding a request without its expected
/// instance or its deadline.
#[tokio::test]
async fn forwards_request_without_key_or_claimed_workspace() {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let site = site(Some(document(&[&server]))).await;
    let headers = format!("authorization: Bearer {KEY}\r\npomelovale-workspace: other\r\npomelovale-deadline-ms: 900\r\n");
    let answer = send(&site, &request("GET", "/safe/x?y=1", &headers)).await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.contains("pomelovale-proof: p"));
    let seen = server.requests().remove(0);
    assert!(seen.head.starts_with("GET /safe/x?y=1 HTTP/1.1"));
    assert!(!seen.head.contains(KEY));
    assert_eq!(
        header_value(&seen, "pomelovale-workspace").as_deref(),
        Some("w")
    );
    assert_eq!(
        header_value(&seen, "pomelovale-expect").as_deref(),
        Some("b0")
    );
    let left: u64 = header_value(&seen, "pomelovale-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 900);
}

macro_rules! refusals {
    ($($(#[$doc:meta])* $name:ident($request:expr) => $status:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let server = Server::start(|_, _| proven("200 OK", "fine")).await;
            let site = site(Some(document(&[&server]))).await;
            let answer = send(&site, &$request).await;
            assert_eq!(status(&answer), $status, "{answer}");
            assert!(server.requests().is_empty());
        })*
    };
}

refusals! {
    /// Guards against running a request that has no key.
    request_without_key_returns_401(request("GET", "/safe/x", "")) => 401;
    /// Guards against running a request whose key belongs to no workspace.
    unknown_key_returns_401(request("GET", "/safe/x", "authorization: Bearer nobody\r\n")) => 401;
    /// Guards against running a request whose path matches no route.
    path_without_route_returns_404(keyed("GET", "/other/x")) => 404;
    /// Guards against applying the routes of one host to another.
    host_without_route_returns_404(keyed("GET", "/safe/x").replace("shop.example", "x.example")) => 404;
}

/// Guards against a 401 or 404 from a gateway that has no routing table yet.
#[tokio::test]
async fn missing_routing_table_returns_503() {
    let site = site(None).await;
    let answer = send(&site, &keyed("GET", "/safe/x")).await;
    assert_eq!(status(&answer), 503);
    assert!(answer.to_ascii_lowercase().contains("retry-after"));
    assert!(!site.gateway.readiness().is_ready());
}

/// Age of a view that may lack a route or key which others have, in milliseconds.
const OLD_VIEW_MS: u64 = 1_600;

macro_rules! refusals_of_an_old_view {
    ($($(#[$doc:meta])* $name:ident($request:expr);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let site = site(None).await;
            site.show_once(document(&[]));
            sleep(Duration::from_millis(OLD_VIEW_MS)).await;
            let answer = send(&site, &$request).await;
            assert_eq!(status(&answer), 503, "{answer}");
            assert!(answer.to_ascii_lowercase().contains("retry-after"), "{answer}");
        })*
    };
}

refusals_of_an_old_view! {
    /// Guards against a 401 for a key that was added after the last proof of the view.
    key_that_an_old_view_lacks_is_not_denied(request("GET", "/safe/x", "authorization: Bearer nobody\r\n"));
    /// Guards against a 404 for a route that was added after the last proof of the view.
    route_that_an_old_view_lacks_is_not_denied(keyed("GET", "/other/x"));
    /// Guards against a 401 on a route that was opened to all after the last proof of the view.
    missing_key_is_not_denied_by_an_old_view(request("GET", "/safe/x", ""));
}

/// Guards against an open route that requires a key.
#[tokio::test]
async fn open_route_needs_no_key() {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let site = site(Some(document(&[&server]))).await;
    assert_eq!(
        status(&send(&site, &request("GET", "/open/x", "")).await),
        200
    );
}

/// Guards against running a request beyond the rate limit, and against a
/// refusal without a Retry-After header.
#[tokio::test]
async fn request_over_rate_limit_returns_429() {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let site = site(Some(document(&[&server]))).await;
    *site.verdict.lock().unwrap() = Admitted::Refused { retry_ms: 350 };
    let answer = send(&site, &keyed("GET", "/safe/x")).await;
    assert_eq!(status(&answer), 429);
    assert!(
        answer.to_ascii_lowercase().contains("retry-after: 0.350"),
        "{answer}"
    );
    assert!(server.requests().is_empty());
}

/// Guards against a retry of a request that may have run, and against a
/// response which says that it was not run. The server responds with a 503 that
/// lacks the header `pomelovale-shed`, so that the request may have run.
#[tokio::test]
async fn unmarked_503_is_returned_as_502() {
    let server = Server::start(|_, _| proven("503 Service Unavailable", "")).await;
    let site = site(Some(document(&[&server]))).await;
    let answer = send(&site, &keyed("POST", "/once/x")).await;
    assert_eq!(status(&answer), 502, "{answer}");
    assert!(!answer.contains("pomelovale-proof"));
    assert_eq!(server.requests().len(), 1);
}

/// Guards against returning the refusal of one server to the caller while
/// another server has a free slot.
#[tokio::test]
async fn marked_refusal_is_retried_on_another_server() {
    let count = Arc::new(AtomicUsize::new(0));
    let script = |count: Arc<AtomicUsize>| {
        move |_: &ReceivedRequest, _: usize| match count.fetch_add(1, Ordering::SeqCst) {
            0 => response(
                "503 Service Unavailable",
                "pomelovale-shed: not-run\r\n",
                "",
            ),
            _ => proven("200 OK", "fine"),
        }
    };
    let (a, b) = (
        Server::start(script(count.clone())).await,
        Server::start(script(count.clone())).await,
    );
    let site = site(Some(document(&[&a, &b]))).await;
    assert_eq!(status(&send(&site, &keyed("POST", "/once/x")).await), 200);
    assert_eq!((a.requests().len(), b.requests().len()), (1, 1));
}

/// Guards against a setting that doesn't reach the placement: with few moves, a server that has
/// shed one request with free slots keeps its objects.
#[tokio::test]
async fn object_returns_to_a_server_that_has_shed_a_request() {
    for stable in [false, true] {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let script = |name: char| {
            let seen = seen.clone();
            move |_: &ReceivedRequest, _: usize| {
                let mut seen = seen.lock().unwrap();
                seen.push(name);
                let headers = "pomelovale-shed: not-run\r\npomelovale-load: 0,0,6\r\n";
                match seen.len() {
                    1 => response("503 Service Unavailable", headers, ""),
                    _ => proven("200 OK", "fine"),
                }
            }
        };
        let (a, b) = (
            Server::start(script('a')).await,
            Server::start(script('b')).await,
        );
        let site = start_with("g", None, |c| c.stable_placement = stable).await;
        site.show(document(&[&a, &b]));
        for _ in 0..2 {
            assert_eq!(status(&send(&site, &object(1)).await), 200);
        }
        let seen = seen.lock().unwrap().clone();
        assert_ne!(seen[0], seen[1], "{seen:?}");
        assert_eq!(seen[0] == seen[2], stable, "{seen:?}");
    }
}

/// Guards against a retry of a request that may run only once, after its
/// connection was closed without a response.
#[tokio::test]
async fn cut_request_is_not_retried_without_idempotence() {
    let a = Server::start(|_, _| ServerAction::Close).await;
    let b = Server::start(|_, _| ServerAction::Close).await;
    let site = site(Some(document(&[&a, &b]))).await;
    assert_eq!(status(&send(&site, &keyed("POST", "/once/x")).await), 502);
    assert_eq!(a.requests().len() + b.requests().len(), 1);
}

/// Guards against returning a response that carries the identifier of another
/// request.
#[tokio::test]
async fn response_to_another_request_is_returned_as_502() {
    let foreign = "HTTP/1.1 200 OK\r\npomelovale-request: q9\r\npomelovale-proof: p\r\ncontent-length: 1\r\n\r\nx";
    let server = Server::start(move |_, _| ServerAction::Write(foreign.as_bytes().to_vec())).await;
    let site = site(Some(document(&[&server]))).await;
    assert_eq!(status(&send(&site, &keyed("POST", "/once/x")).await), 502);
}

/// Guards against a caller that waits longer than the timeout of its route
/// because the server does not respond.
#[tokio::test]
async fn silent_server_returns_504_at_route_timeout() {
    let server = Server::start(|_, _| ServerAction::Silent).await;
    let site = site(Some(document(&[&server]))).await;
    assert_eq!(status(&send(&site, &keyed("POST", "/once/x")).await), 504);
}

/// Guards against a lookup that leaves a slow server for a retry that no server has room for.
#[tokio::test]
async fn lookup_stays_with_a_slow_server_if_there_is_no_other() {
    let response = "HTTP/1.1 200 OK\r\npomelovale-request: q1\r\npomelovale-proof: p\r\ncontent-length: 4\r\n\r\nfine";
    let server =
        Server::start(move |_, _| ServerAction::WriteAfter(1_200, response.as_bytes().to_vec()))
            .await;
    let site = site(Some(document(&[&server]))).await;
    let answer = send(&site, &keyed("GET", "/safe/x")).await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert_eq!(server.requests().len(), 1);
}

/// Guards against a stop that aborts a request while its server still runs it.
#[tokio::test]
async fn stop_finishes_requests_in_flight() {
    let response = "HTTP/1.1 200 OK\r\npomelovale-request: q1\r\npomelovale-proof: p\r\ncontent-length: 4\r\n\r\nfine";
    let server =
        Server::start(move |_, _| ServerAction::WriteAfter(700, response.as_bytes().to_vec()))
            .await;
    let site = site(Some(document(&[&server]))).await;
    let mut stream = TcpStream::connect(site.gateway.address()).await.unwrap();
    stream
        .write_all(keyed("GET", "/safe/x").as_bytes())
        .await
        .unwrap();
    while server.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let ready = site.gateway.readiness();
    let stopping = tokio::spawn(site.gateway.stop());
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let text = String::from_utf8_lossy(&answer);
    assert!(
        text.starts_with("HTTP/1.1 200") && text.ends_with("fine"),
        "{text}"
    );
    assert!(!ready.is_ready());
    stopping.await.unwrap();
}

fn object(n: usize) -> String {
    let headers = format!("authorization: Bearer {KEY}\r\ncookie: pomelovale-object=o{n}\r\n");
    request("GET", "/safe/x", &headers)
}

/// Guards against attempts of several gateways on a server that their
/// coordinator already knows to be unreachable.
#[tokio::test]
async fn coordinator_spares_other_gateways_an_unreachable_server() {
    let closed_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed_listener.local_addr().unwrap();
    drop(closed_listener);
    let reachable = Server::start(|_, _| proven("200 OK", "fine")).await;
    let with_unreachable_server = |mut document: Document| {
        document.backends[0].address = address;
        document
    };
    let document = with_unreachable_server(document(&[&reachable, &reachable]));
    let sites = peers(3, document).await;
    for n in 0..12 {
        assert_eq!(status(&send(&sites[0], &object(n)).await), 200);
    }
    for n in 20..40 {
        assert_eq!(status(&send(&sites[1 + n % 2], &object(n)).await), 200);
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    let down = |site: &Site| site.down.load(Ordering::SeqCst);
    let reported: Vec<bool> = sites.iter().map(down).collect();
    assert_eq!(reported, [true, false, false]);
}

/// Guards against failed or slow requests after the coordinator has stopped.
#[tokio::test]
async fn gateways_select_servers_themselves_without_coordinator() {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let mut sites = peers(3, document(&[&server])).await;
    drop(sites.remove(0));
    for n in 0..10 {
        let start = std::time::Instant::now();
        assert_eq!(status(&send(&sites[n % 2], &object(n)).await), 200);
        assert!(start.elapsed() < Duration::from_millis(400));
    }
}

/// Guards against a second request of unknown outcome because a server drops
/// idle connections. After the first one, other connections that have been idle
/// for as long must not be reused.
#[tokio::test]
async fn idle_connections_are_not_reused_after_one_broke() {
    // The server drops the first two connections when they are reused.
    let script = |seen: &ReceivedRequest, _: usize| match proven("200 OK", "fine") {
        _ if seen.connection < 2 && seen.head.contains("/once/late") => ServerAction::Close,
        ServerAction::Write(bytes) => ServerAction::WriteAfter(60, bytes),
        act => act,
    };
    let server = Server::start(script).await;
    let site = site(Some(document(&[&server]))).await;
    let first = keyed("POST", "/once/x");
    let (a, b) = tokio::join!(send(&site, &first), send(&site, &first));
    assert_eq!((status(&a), status(&b)), (200, 200));
    tokio::time::sleep(Duration::from_millis(120)).await;
    let late = keyed("POST", "/once/late");
    assert_eq!(status(&send(&site, &late).await), 502);
    assert_eq!(status(&send(&site, &late).await), 200);
    let used = server.requests().last().map(|seen| seen.connection);
    assert!(used.is_some_and(|connection| connection >= 2), "{used:?}");
}

/// Guards against a retry budget that grows with attempts that send nothing, while many
/// servers can't be connected to.
#[tokio::test]
async fn unsent_attempts_add_nothing_to_the_retry_budget() {
    // Each path is cut when it arrives first, and answered when it is retried.
    let paths: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut servers = Vec::new();
    for _ in 0..3 {
        let paths = paths.clone();
        let script = move |seen: &ReceivedRequest, _: usize| {
            let path = seen.head.split(' ').nth(1).unwrap_or("").to_owned();
            match paths.lock().unwrap().insert(path) {
                true => ServerAction::Close,
                false => proven("200 OK", "fine"),
            }
        };
        servers.push(Server::start(script).await);
    }
    let open = document(&servers.iter().collect::<Vec<_>>());
    let site = site(Some(open.clone())).await;
    let count_retries = async |requests: std::ops::Range<u32>| {
        let mut retries = 0;
        for n in requests {
            let answer = send(&site, &keyed("GET", &format!("/safe/{n}"))).await;
            retries += u32::from(status(&answer) == 200);
        }
        retries
    };
    // Spends the initial budget of 12 retries.
    assert!(count_retries(0..20).await >= 12);
    // A closed port for each attempt, since a server is suspended after one.
    let mut closed = open.clone();
    let backend = closed.backends["b0"].clone();
    closed.backends.clear();
    closed.version = 2;
    for n in 0..180u16 {
        let backend = Backend {
            address: ([127, 0, 0, 2], 1_000 + n).into(),
            ..backend.clone()
        };
        closed
            .backends
            .insert(format!("closed-{n}").into(), backend);
    }
    site.show(closed);
    count_retries(100..160).await;
    site.show(Document { version: 3, ..open });
    // 60 per mille of 80 requests, and what was left of a retry before.
    let retries = count_retries(200..220).await;
    assert!(retries <= 5, "{retries} retries");
    assert!(retries >= 2, "{retries} retries");
}
