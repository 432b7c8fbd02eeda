//! Responses that a gateway, or one that relays its requests, forwards while it receives
//! them, from servers that pause.

mod entry_support;
mod gateway_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry_support::{Caller, ReceivedRequest, Server, ServerAction};
use gateway_support::fleet::Fleet;
use gateway_support::{document, header_value, keyed, proven, request, start_with, Site, KEY};
use pomelovale_state::document::{Backend, Document, Instance, MemberState};
use pomelovaled::gateway::config::GatewayConfig;
use tokio::time::sleep;

/// Silence that ends a response after the deadline of its request.
const PAUSE_MS: u64 = 150;
/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Allowance for a busy machine.
const SLACK: Duration = Duration::from_millis(700);

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\npomelovale-request: q1\r\npomelovale-proof: p\r\ncontent-length: 40\r\n\r\n0123456789abcdefghij";
const REST: &[u8] = b"klmnopqrstuvwxyz0123";

fn config() -> GatewayConfig {
    GatewayConfig {
        pause_ms: PAUSE_MS,
        answer_bytes: 8,
        ..GatewayConfig::default()
    }
}

async fn gateway(server: &Server) -> Site {
    let edit = |c: &mut GatewayConfig| (c.pause_ms, c.answer_bytes) = (PAUSE_MS, 8);
    let site = start_with("g", None, edit).await;
    site.show(document(&[server]));
    site
}

fn paused(ms: u64) -> ServerAction {
    ServerAction::WriteParts(vec![(0, HEAD.into()), (ms, REST.into())])
}

/// Guards against a response that is cut because its server pauses within the time that
/// its caller grants.
#[tokio::test]
async fn pause_before_the_deadline_does_not_cut_a_response() {
    let server = Server::start(|_, _| paused(700)).await;
    let site = gateway(&server).await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    for path in ["/safe/x", "/safe/y"] {
        let answer = caller.round_trip(&keyed("GET", path)).await;
        assert_eq!(answer.expect("a whole response").body.len(), 40);
    }
}

/// Guards against a caller that waits on for a silent server after its deadline.
#[tokio::test]
async fn silent_response_ends_after_the_deadline() {
    let server = Server::start(|_, _| paused(60_000)).await;
    let site = gateway(&server).await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    let start = Instant::now();
    assert!(caller.round_trip(&keyed("GET", "/safe/x")).await.is_none());
    let spent = start.elapsed();
    assert!(spent >= TIMEOUT, "{spent:?}");
    assert!(
        spent < TIMEOUT + Duration::from_millis(PAUSE_MS) + SLACK,
        "{spent:?}"
    );
}

/// Guards against a relayed response that is cut because the other gateway pauses.
#[tokio::test]
async fn pause_before_the_deadline_does_not_cut_a_relayed_response() {
    let react = |_: &ReceivedRequest, _: usize| paused(700);
    let other = Arc::new(Server::start(react).await);
    let server = Server::start(|_, _| ServerAction::Close).await;
    let mut document: Document = document(&[&server]);
    let backend = document.backends["b0"].clone();
    for n in 0..4u16 {
        let closed = Backend {
            address: ([127, 0, 0, 3], 1_000 + n).into(),
            ..backend.clone()
        };
        document.backends.insert(format!("b{n}").into(), closed);
    }
    let instance = Instance {
        callers: Some(other.address),
        peers: None,
        region: "north".into(),
        domain: "north-a".into(),
        state: MemberState::Serving,
    };
    document.instances.insert("other".into(), instance);
    let fleet = Fleet::start_with(config(), 1, document).await;
    sleep(Duration::from_millis(100)).await;
    let mut caller = Caller::connect(fleet.gateways[0].address()).await;
    let answer = caller.round_trip(&keyed("GET", "/safe/x")).await;
    assert_eq!(answer.expect("a whole response").body.len(), 40);
    assert_eq!(other.requests().len(), 1);
}

/// Guards against a request that is sent to a server with a longer deadline than its caller
/// has set, since it has waited behind a stream on its connection.
#[tokio::test]
async fn deadline_of_a_request_behind_a_stream_counts_from_its_arrival() {
    let react = |seen: &ReceivedRequest, _: usize| match seen.head.contains("/safe/second") {
        true => proven("200 OK", "fine"),
        false => paused(800),
    };
    // The server of the stream counts as too slow for the second request.
    let servers = [Server::start(react).await, Server::start(react).await];
    let site = gateway(&servers[0]).await;
    site.show(Document {
        version: 2,
        ..document(&[&servers[0], &servers[1]])
    });
    let mut caller = Caller::connect(site.gateway.address()).await;
    caller.write(&keyed("GET", "/safe/first")).await;
    sleep(Duration::from_millis(100)).await;
    let headers = format!("authorization: Bearer {KEY}\r\npomelovale-deadline-ms: 1000\r\n");
    caller
        .write(&request("GET", "/safe/second", &headers))
        .await;
    for _ in 0..2 {
        assert_eq!(caller.read().await.expect("a response").status, 200);
    }
    let requests = servers.iter().flat_map(Server::requests);
    let mut second = requests.filter(|seen| seen.head.contains("/safe/second"));
    let deadline = second
        .next()
        .and_then(|seen| header_value(&seen, "pomelovale-deadline-ms"));
    let deadline: u64 = deadline.unwrap().parse().unwrap();
    assert!(deadline <= 400, "{deadline}");
}
