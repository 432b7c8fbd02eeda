//! Tests of the gateway role against scripted backend servers.

mod entry_support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use entry_support::{ReceivedRequest, Server, ServerAction};
use pomelovale_coordination::control::{ControlCall, ControlHandle};
use pomelovale_coordination::view::View;
use pomelovale_protocol::auth::Secret;
use pomelovale_protocol::messages::Admitted;
use pomelovale_state::command::Applied;
use pomelovale_state::digest::Digest;
use pomelovale_state::document::{Backend, Document, Instance, MemberState, Region, Workspace};
use pomelovale_state::routing::{
    CallerLimits, HostRoute, Repeat, RoutedService, RoutedWorkspace, Routing, Target, Window,
};
use pomelovale_state::{Clock, Millis};
use pomelovale_steering::spread::{hash, hash_bytes};
use pomelovaled::gateway::config::{GatewayConfig, Peering};
use pomelovaled::gateway::{Gateway, GatewayHandle};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const KEY: &str = "xd9dnn2ctnfz";

fn route(name: &str, prefix: &str, repeat: Repeat) -> HostRoute {
    HostRoute {
        name: name.into(),
        prefix: prefix.into(),
        repeat,
        timeout_ms: 1_500,
        objective_ms: 400,
        priority: 1,
        open: false,
        sticky: true,
        attempts: 2,
        homes: Vec::new(),
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
    }
}

fn document(servers: &[&Server]) -> Document {
    let workspace = RoutedWorkspace {
        priority: None,
        rate: 10,
        burst: 10,
        window: Window {
            ms: 5_000,
            overage: 0,
            slack: 0,
        },
        homes: Vec::new(),
    };
    let service = RoutedService {
        probe: "/health".into(),
        connections: 100,
        cold_ms: 0,
        cold_rate: 0,
    };
    let routes = vec![
        route("safe", "/safe/", Repeat::Idempotent),
        route("once", "/once/", Repeat::Once),
        HostRoute {
            open: true,
            ..route("open", "/open/", Repeat::Idempotent)
        },
    ];
    let mut document = Document {
        version: 1,
        routing: Some(Arc::new(Routing {
            version: 1,
            limits: CallerLimits::default(),
            workspaces: [("w".into(), workspace)].into(),
            keys: [(Digest::of_key(KEY), "w".into())].into(),
            hosts: [("shop.example".into(), routes)].into(),
            services: [("s".into(), service)].into(),
        })),
        ..Document::default()
    };
    let limited = Workspace {
        rate: 10,
        burst: 10,
        weight: 1,
    };
    document.workspaces.insert("w".into(), limited);
    let domains = vec!["north-a".into()];
    document.regions.insert("north".into(), Region { domains });
    for (i, server) in servers.iter().enumerate() {
        let backend = Backend {
            address: server.address,
            service: "s".into(),
            region: "north".into(),
            domain: "north-a".into(),
            slots: 6,
            connections: 100,
            cold_ms: 0,
            state: MemberState::Serving,
        };
        document.backends.insert(format!("b{i}").into(), backend);
    }
    document
}

/// Answers every admission with `verdict`, and sets `down` once a server is
/// reported unreachable.
fn control(verdict: Arc<Mutex<Admitted>>, down: Arc<AtomicBool>) -> ControlHandle {
    let (handle, calls) = ControlHandle::new(1_024);
    tokio::spawn(async move {
        while let Ok(call) = calls.recv_async().await {
            match call {
                ControlCall::Admit(_, reply) => {
                    let _ = reply.send(Ok(*verdict.lock().unwrap()));
                }
                ControlCall::Propose(_, reply) => {
                    let _ = reply.send(Ok(Applied::Accepted {
                        version: 1,
                        item: 1,
                    }));
                }
                ControlCall::Report(report) if !report.down.is_empty() => {
                    down.store(true, Ordering::SeqCst);
                }
                ControlCall::Grant(..) | ControlCall::Report(_) => {}
            }
        }
    });
    handle
}

struct Site {
    gateway: GatewayHandle,
    verdict: Arc<Mutex<Admitted>>,
    view: Arc<View>,
    down: Arc<AtomicBool>,
}

async fn site(document: Option<Document>) -> Site {
    let site = start("g", None).await;
    if let Some(document) = document {
        site.show(document);
    }
    site
}

async fn start(name: &str, peering: Option<Peering>) -> Site {
    let view = Arc::new(View::default());
    let verdict = Arc::new(Mutex::new(Admitted::Granted));
    let config = GatewayConfig {
        instance: name.into(),
        region: "north".into(),
        domain: "north-a".into(),
        peering,
        deregistration_delay_ms: 100,
        grace_ms: 3_000,
        ..GatewayConfig::default()
    };
    let down = Arc::new(AtomicBool::new(false));
    let control = control(verdict.clone(), down.clone());
    let gateway = Gateway::start(config, view.clone(), control, Clock::monotonic()).await;
    Site {
        gateway: gateway.expect("the gateway starts"),
        verdict,
        view,
        down,
    }
}

impl Site {
    fn show(&self, document: Document) {
        self.view.publish(document);
        self.view.prove(Millis(0));
    }
}

/// Starts connected gateways of one failure domain. The first one is the
/// coordinator of the service `s`.
async fn peers(count: usize, mut document: Document) -> Vec<Site> {
    let secret: Secret = String::from("a secret of the tests").try_into().unwrap();
    let mut sites = Vec::new();
    for i in 0..count {
        let peering = Peering {
            listen: "127.0.0.1:0".parse().unwrap(),
            secret: secret.clone(),
        };
        sites.push((
            format!("g{i}"),
            start(&format!("g{i}"), Some(peering)).await,
        ));
    }
    for (name, site) in &sites {
        let instance = Instance {
            callers: Some(site.gateway.address()),
            peers: site.gateway.peers(),
            region: "north".into(),
            domain: "north-a".into(),
            state: MemberState::Serving,
        };
        document.instances.insert(name.as_str().into(), instance);
    }
    let rank = |name: &str| hash(&[hash_bytes(b"s"), hash_bytes(name.as_bytes())]);
    sites.sort_by_key(|(name, _)| std::cmp::Reverse(rank(name)));
    sites
        .iter()
        .for_each(|(_, site)| site.show(document.clone()));
    // The maintenance tasks open the connections between gateways.
    tokio::time::sleep(Duration::from_millis(600)).await;
    sites.into_iter().map(|(_, site)| site).collect()
}

async fn send(site: &Site, request: &str) -> String {
    let mut stream = TcpStream::connect(site.gateway.address()).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut part));
        match read.await {
            Ok(Ok(0)) | Ok(Err(_)) | Err(_) => break,
            Ok(Ok(n)) => answer.extend_from_slice(&part[..n]),
        }
        if String::from_utf8_lossy(&answer).contains("\r\n\r\n")
            && !answer.starts_with(b"HTTP/1.1 1")
        {
            break;
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(method: &str, path: &str, headers: &str) -> String {
    let length = if method == "POST" {
        "content-length: 2\r\n"
    } else {
        ""
    };
    let body = if method == "POST" { "hi" } else { "" };
    format!("{method} {path} HTTP/1.1\r\nhost: shop.example\r\npomelovale-request: q1\r\n{headers}{length}\r\n{body}")
}

fn keyed(method: &str, path: &str) -> String {
    request(method, path, &format!("authorization: Bearer {KEY}\r\n"))
}

fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0)
}

fn header_value(seen: &ReceivedRequest, name: &str) -> Option<String> {
    let mut lines = seen.head.lines().filter_map(|l| l.split_once(": "));
    lines
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.to_owned())
}

fn response(status: &str, headers: &str, body: &str) -> ServerAction {
    let length = body.len();
    ServerAction::Write(format!("HTTP/1.1 {status}\r\npomelovale-request: q1\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes())
}

fn proven(status: &str, body: &str) -> ServerAction {
    response(status, "pomelovale-proof: p\r\n", body)
}

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
    assert_eq!(used, Some(2));
}
