//! Timeouts of callers' connections that the routing table sets and changes.

mod entry_support;
mod gateway_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry_support::{Caller, Server};
use gateway_support::{document, keyed, proven, site, Site};
use pomelovale_state::document::Document;
use pomelovale_state::routing::{CallerLimits, Routing};
use tokio::time::{sleep, timeout};

/// Time within which a gateway must follow a new routing table.
const FOLLOW: Duration = Duration::from_millis(600);
/// Allowance for the time that a request is under way, and for a busy machine.
const SLACK: Duration = Duration::from_millis(2_000);

fn limited(server: &Server, version: u64, idle_ms: u64, head_ms: u64) -> Document {
    let mut document = document(&[server]);
    let routing = document.routing.as_deref().cloned().unwrap();
    document.version = version;
    document.routing = Some(Arc::new(Routing {
        version,
        limits: CallerLimits {
            idle_ms,
            head_ms,
            ..CallerLimits::default()
        },
        ..routing
    }));
    document
}

async fn start(idle_ms: u64, head_ms: u64) -> (Server, Site) {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let site = site(Some(limited(&server, 1, idle_ms, head_ms))).await;
    sleep(FOLLOW).await;
    (server, site)
}

async fn is_served(caller: &mut Caller) -> bool {
    let answer = caller.round_trip(&keyed("GET", "/safe/x")).await;
    answer.is_some_and(|a| a.status == 200)
}

async fn open(site: &Site) -> Caller {
    let mut caller = Caller::connect(site.gateway.address()).await;
    assert!(is_served(&mut caller).await);
    caller
}

/// Returns after which time without a request a connection is closed.
async fn idle_time(caller: &mut Caller, limit: Duration) -> Option<Duration> {
    let start = Instant::now();
    let ended = timeout(limit, caller.read()).await.ok()?;
    assert!(ended.is_none(), "{ended:?}");
    Some(start.elapsed())
}

/// Guards against an idle timeout that the gateway does not read.
#[tokio::test]
async fn idle_timeout_of_the_table_applies() {
    let (_server, site) = start(500, 3_000).await;
    let mut caller = open(&site).await;
    let idle = Duration::from_millis(500);
    let spent = idle_time(&mut caller, idle + SLACK).await;
    assert!(spent.is_some_and(|s| s >= idle), "{spent:?}");
}

/// Guards against closing a connection which its caller may use for longer by a new table.
#[tokio::test]
async fn longer_idle_timeout_applies_to_open_connections() {
    let (server, site) = start(300, 3_000).await;
    let mut caller = open(&site).await;
    site.show(limited(&server, 2, 20_000, 3_000));
    sleep(Duration::from_millis(300) + SLACK).await;
    assert!(is_served(&mut caller).await);
}

/// Guards against a shorter idle timeout that does not apply to connections which are idle
/// already, and against one that closes them while their callers still rely on the old one.
#[tokio::test]
async fn shorter_idle_timeout_applies_to_open_connections() {
    let (server, site) = start(20_000, 3_000).await;
    let mut reused = open(&site).await;
    let mut idle = open(&site).await;
    sleep(Duration::from_millis(500)).await;
    site.show(limited(&server, 2, 100, 3_000));
    sleep(Duration::from_millis(500)).await;
    assert!(is_served(&mut reused).await);
    assert!(idle_time(&mut idle, SLACK).await.is_some());
    assert!(idle_time(&mut reused, SLACK).await.is_some());
}

/// Guards against a head that may take longer than the table says.
#[tokio::test]
async fn head_timeout_of_the_table_applies() {
    let (_server, site) = start(20_000, 300).await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    caller.write("GET /safe/x HTTP/1.1\r\nhost:").await;
    let answer = timeout(Duration::from_millis(300) + SLACK, caller.read()).await;
    let answer = answer.expect("an answer in time").expect("a response");
    assert_eq!(answer.status, 408);
}
