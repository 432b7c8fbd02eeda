//! The end of the grace period of a gateway that stops.

mod entry_support;
mod gateway_support;

use std::time::Duration;

use entry_support::{header, until, Caller, ReceivedResponse, Server, ServerAction};
use gateway_support::{document, keyed, request, response, start_with, Site, KEY};
use tokio::time::{timeout, Instant};

const GRACE_MS: u64 = 1_200;
/// Part of the grace period in which requests that a server runs may be answered without
/// its response.
const LAST_SIXTH_MS: u64 = GRACE_MS / 6;
const SHED: &str = "pomelovale-shed: not-run\r\n";

async fn site(servers: &[&Server]) -> Site {
    serving_for(servers, 100).await
}

/// Starts a gateway that still takes requests for `serving_ms` once it stops.
async fn serving_for(servers: &[&Server], serving_ms: u64) -> Site {
    let site = start_with("g", None, |config| {
        config.deregistration_delay_ms = serving_ms;
        config.grace_ms = GRACE_MS;
    });
    let site = site.await;
    site.show(document(servers));
    site
}

/// Stops a gateway while it handles a request. Returns the response, which must arrive
/// before the gateway has stopped, and when it arrived.
async fn answer_in_stop(
    site: Site,
    mut caller: Caller,
    stop: Instant,
) -> (ReceivedResponse, Duration) {
    let stopping = tokio::spawn(site.gateway.stop());
    let grace = Duration::from_millis(GRACE_MS);
    let answer = timeout(grace, caller.read()).await;
    let spent = stop.elapsed();
    stopping.await.unwrap();
    let answer = answer.expect("a response within the grace period");
    (answer.expect("a whole response"), spent)
}

async fn send_and_stop(servers: &[&Server], request: &str) -> (ReceivedResponse, Duration) {
    let site = site(servers).await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    caller.write(request).await;
    let arrived = || servers.iter().any(|s| !s.requests().is_empty());
    until(arrived).await;
    answer_in_stop(site, caller, Instant::now()).await
}

/// Guards against a caller whose connection ends because a server is still at work on its
/// request at the end of a stop, and against breaking the request off earlier.
#[tokio::test]
async fn request_at_a_server_is_answered_as_unknown_at_the_end() {
    let server = Server::start(|_, _| ServerAction::Silent).await;
    let (answer, spent) = send_and_stop(&[&server], &keyed("POST", "/once/x")).await;
    assert_eq!(
        (answer.status, answer.outcome().as_deref()),
        (502, Some("unknown"))
    );
    assert!(
        spent >= Duration::from_millis(GRACE_MS - LAST_SIXTH_MS),
        "{spent:?}"
    );
}

/// Guards against a response that comes in the last moments of a stop and is dropped.
#[tokio::test]
async fn late_response_of_a_server_is_returned() {
    let server = Server::start(|_, _| slow(GRACE_MS - LAST_SIXTH_MS + 20)).await;
    let (answer, _) = send_and_stop(&[&server], &keyed("POST", "/once/x")).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "fine"));
}

/// Guards against sending a request to another server when there is no time left to wait
/// for its response.
#[tokio::test]
async fn refused_request_is_not_sent_again_at_the_end() {
    let after_ms = GRACE_MS - LAST_SIXTH_MS + 20;
    let react = move |_: &_, _| match response("503 Service Unavailable", SHED, "") {
        ServerAction::Write(bytes) => ServerAction::WriteAfter(after_ms, bytes),
        other => other,
    };
    let servers = [Server::start(react).await, Server::start(react).await];
    let (answer, _) = send_and_stop(&[&servers[0], &servers[1]], &keyed("GET", "/safe/x")).await;
    assert_eq!(
        (answer.status, answer.outcome().as_deref()),
        (503, Some("not-run"))
    );
    assert_eq!(servers.iter().map(|s| s.requests().len()).sum::<usize>(), 1);
}

/// Guards against a request that is neither sent to a server nor answered when the stop
/// ends.
#[tokio::test]
async fn request_without_a_server_is_refused_at_the_end() {
    let server = Server::start(|_, _| ServerAction::Silent).await;
    let site = site(&[&server]).await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\ncontent-length: 9\r\n\r\nhalf"
    );
    caller.write(&head).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (answer, _) = answer_in_stop(site, caller, Instant::now()).await;
    assert_eq!(
        (answer.status, answer.outcome().as_deref()),
        (503, Some("not-run"))
    );
    assert!(header(&answer.head, "retry-after").is_some());
    assert!(server.requests().is_empty());
}

/// Answers of a server that takes `after_ms` for each request.
fn slow(after_ms: u64) -> ServerAction {
    let text = "HTTP/1.1 200 OK\r\npomelovale-request: q1\r\npomelovale-proof: p\r\ncontent-length: 4\r\n\r\nfine";
    ServerAction::WriteAfter(after_ms, text.into())
}

/// Sends a request on a kept connection in the second half of the grace period. Returns the
/// answer, the time that it took, and whether the connection was closed after it.
async fn send_late(server: &Server, request: &str) -> (ReceivedResponse, Duration, bool) {
    let site = serving_for(&[server], GRACE_MS * 9 / 10).await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    let stopping = tokio::spawn(site.gateway.stop());
    tokio::time::sleep(Duration::from_millis(GRACE_MS * 6 / 10)).await;
    let start = Instant::now();
    let answer = caller.round_trip(request).await.expect("a whole response");
    let spent = start.elapsed();
    let closes = caller.read().await.is_none();
    stopping.await.unwrap();
    (answer, spent, closes)
}

/// Guards against a late request that is sent to a server and then broken off, since it may
/// take longer than the grace period.
#[tokio::test]
async fn late_request_that_may_outlast_the_stop_is_refused_at_once() {
    let server = Server::start(|_, _| ServerAction::Silent).await;
    let (answer, spent, closes) = send_late(&server, &keyed("POST", "/once/x")).await;
    assert_eq!(
        (answer.status, answer.outcome().as_deref()),
        (503, Some("not-run"))
    );
    assert!(spent < Duration::from_millis(LAST_SIXTH_MS), "{spent:?}");
    assert!(header(&answer.head, "retry-after").is_some());
    assert_eq!(header(&answer.head, "connection").as_deref(), Some("close"));
    assert!(closes && server.requests().is_empty());
}

/// Guards against refusing a late request whose deadline comes before the end of the stop.
#[tokio::test]
async fn late_request_with_enough_time_is_served() {
    let server = Server::start(|_, _| slow(50)).await;
    let headers = format!("authorization: Bearer {KEY}\r\npomelovale-deadline-ms: 250\r\n");
    let request = request("GET", "/safe/x", &headers);
    let (answer, _, closes) = send_late(&server, &request).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "fine"));
    assert_eq!(header(&answer.head, "connection").as_deref(), Some("close"));
    assert!(closes);
}

/// Guards against a relayed request that a stopping gateway refuses in the name of all, so
/// that the instance that relays it does not try another one.
#[tokio::test]
async fn late_relayed_request_is_left_to_other_instances() {
    let server = Server::start(|_, _| slow(0)).await;
    let headers =
        format!("authorization: Bearer {KEY}\r\npomelovale-relay: version=1;attempts=2\r\n");
    let (answer, _, closes) = send_late(&server, &request("POST", "/once/x", &headers)).await;
    let outcome = answer.outcome();
    assert_eq!((answer.status, outcome.as_deref()), (503, Some("not-run")));
    let relay = header(&answer.head, "pomelovale-relay");
    assert_eq!(relay.as_deref(), Some("refused"));
    assert_eq!(header(&answer.head, "connection").as_deref(), Some("close"));
    assert!(closes && server.requests().is_empty());
}
