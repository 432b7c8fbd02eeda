//! Requests that a gateway refuses before it has read their bodies.

mod entry_support;
mod gateway_support;

use std::time::{Duration, Instant};

use entry_support::{header, Caller, ReceivedResponse, Server};
use gateway_support::{document, keyed, proven, site, start_with, Site, KEY};
use pomelovale_protocol::messages::Admitted;

/// Time within which a refusal must arrive.
const AT_ONCE: Duration = Duration::from_millis(900);

async fn refusing_site() -> (Server, Site) {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let site = site(Some(document(&[&server]))).await;
    (server, site)
}

fn post(path: &str, headers: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\npomelovale-request: q1\r\n{headers}content-length: {length}\r\n\r\n"
    )
}

fn closes(answer: &ReceivedResponse) -> bool {
    header(&answer.head, "connection").as_deref() == Some("close")
}

/// Sends a request whose body comes in parts, and another one behind it.
async fn check_next_request(headers: &str, path: &str, status: u16) {
    let (_server, site) = refusing_site().await;
    if status == 429 {
        *site.verdict.lock().unwrap() = Admitted::Refused { retry_ms: 350 };
    }
    let mut caller = Caller::connect(site.gateway.address()).await;
    let half = "x".repeat(20_000);
    caller.write(&post(path, headers, 40_000)).await;
    caller.write(&half).await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    caller.write(&half).await;
    let answer = caller.read().await.expect("a refusal");
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(!closes(&answer), "{answer:?}");
    *site.verdict.lock().unwrap() = Admitted::Granted;
    let next = caller.round_trip(&keyed("GET", "/safe/x")).await;
    assert_eq!(next.expect("a response").status, 200);
}

macro_rules! refusals {
    ($($(#[$doc:meta])* $name:ident($headers:expr, $path:literal) => $status:literal;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            check_next_request(&$headers, $path, $status).await;
        })*
    };
}

fn key() -> String {
    format!("authorization: Bearer {KEY}\r\n")
}

refusals! {
    /// Guards against a refusal without a key that ends the connection unannounced.
    request_behind_one_without_key_is_served("", "/once/x") => 401;
    /// Guards against the same where no route matches.
    request_behind_one_without_route_is_served(key(), "/other/x") => 404;
    /// Guards against the same beyond the rate of a workspace.
    request_behind_one_over_the_limit_is_served(key(), "/once/x") => 429;
}

/// Guards against a refusal that waits for a body which does not come, and against an
/// unannounced close.
#[tokio::test]
async fn refusal_does_not_wait_for_a_body_that_stalls() {
    let (_server, site) = refusing_site().await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    let start = Instant::now();
    caller.write(&post("/once/x", "", 40_000)).await;
    let answer = caller.read().await.expect("a refusal");
    assert_eq!(answer.status, 401, "{answer:?}");
    assert!(closes(&answer), "{answer:?}");
    assert!(start.elapsed() < AT_ONCE, "{:?}", start.elapsed());
}

/// Guards against a refused request whose caller is told to send its body.
#[tokio::test]
async fn refusal_asks_for_no_body() {
    let (_server, site) = refusing_site().await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    let request = post("/once/x", "expect: 100-continue\r\n", 40_000);
    let start = Instant::now();
    let answer = caller.round_trip(&request).await.expect("a refusal");
    assert_eq!(answer.status, 401, "{answer:?}");
    assert!(closes(&answer), "{answer:?}");
    assert!(
        start.elapsed() < Duration::from_millis(250),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against a relayed request that is refused while its body arrives, so that the
/// other instance can't know that it was not run.
#[tokio::test]
async fn relayed_request_is_refused_after_its_body() {
    let (server, site) = refusing_site().await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    let marker = format!("{}pomelovale-relay: version=9;attempts=2\r\n", key());
    caller.write(&post("/once/x", &marker, 600_000)).await;
    caller.write(&"x".repeat(600_000)).await;
    let answer = caller.read().await.expect("a refusal");
    assert_eq!(answer.status, 503, "{answer:?}");
    let relay = header(&answer.head, "pomelovale-relay");
    assert_eq!(relay.as_deref(), Some("refused"));
    let next = caller.round_trip(&keyed("GET", "/safe/x")).await;
    assert_eq!(next.expect("a response").status, 200);
    assert_eq!(server.requests().len(), 1);
}

/// Limit on the bodies that a gateway holds, in bytes.
const HELD_BYTES: usize = 2_000;

fn chunk(length: usize) -> String {
    format!("{length:x}\r\n{}\r\n", "y".repeat(length))
}

/// Guards against bodies without a length that take any amount of memory together.
#[tokio::test]
async fn held_chunked_bodies_are_bounded() {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let site = start_with("g", None, |config| config.held_bytes = HELD_BYTES).await;
    site.show(document(&[&server]));
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: shop.example\r\npomelovale-request: q1\r\n{}transfer-encoding: chunked\r\n\r\n",
        key()
    );
    let mut first = Caller::connect(site.gateway.address()).await;
    first.write(&format!("{head}{}", chunk(1_500))).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut second = Caller::connect(site.gateway.address()).await;
    let request = format!("{head}{}0\r\n\r\n", chunk(1_000));
    let refused = second.round_trip(&request).await.expect("a refusal");
    let outcome = refused.outcome();
    assert_eq!((refused.status, outcome.as_deref()), (503, Some("not-run")));
    first.write("0\r\n\r\n").await;
    assert_eq!(first.read().await.expect("a response").status, 200);
    let served = second.round_trip(&request).await.expect("a response");
    assert_eq!(served.status, 200);
    assert_eq!(server.requests().len(), 2);
}
