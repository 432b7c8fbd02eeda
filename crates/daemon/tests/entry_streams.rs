//! Responses that an entry forwards while it receives them, from servers that pause.

mod entry_support;

use std::time::{Duration, Instant};

use entry_support::{header, keyed, setup, Caller, ReceivedRequest, Server, ServerAction};
use pomelovaled::entry::config::EntryConfig;
use pomelovaled::entry::EntryHandle;
use tokio::time::sleep;

/// Silence that ends a response after the deadline of its request.
const PAUSE_MS: u64 = 150;
/// Timeout of the service.
const TIMEOUT: Duration = Duration::from_millis(2_000);
/// Allowance for a busy machine.
const SLACK: Duration = Duration::from_millis(700);

async fn entry(server: &Server) -> EntryHandle {
    let edit = |c: &mut EntryConfig| (c.pause_ms, c.answer_bytes) = (PAUSE_MS, 8);
    setup(&[server]).entry(edit).await
}

fn paused(ms: u64) -> ServerAction {
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n0123456789abcdefghij";
    let rest = b"klmnopqrstuvwxyz0123";
    ServerAction::WriteParts(vec![(0, head.to_vec()), (ms, rest.to_vec())])
}

async fn paused_server(ms: u64) -> Server {
    Server::start(move |_, _| paused(ms)).await
}

/// Guards against a response that is cut because its server pauses within the time that
/// its caller grants.
#[tokio::test]
async fn pause_before_the_deadline_does_not_cut_a_response() {
    let server = paused_server(700).await;
    let entry = entry(&server).await;
    let mut caller = Caller::connect(entry.address()).await;
    let request = keyed("GET", "/catalogue/x", "", "");
    let answer = caller.round_trip(&request).await;
    assert_eq!(answer.expect("a whole response").body.len(), 40);
}

/// Guards against a caller that waits on for a silent server after its deadline.
#[tokio::test]
async fn silent_response_ends_after_the_deadline() {
    let server = paused_server(60_000).await;
    let entry = entry(&server).await;
    let mut caller = Caller::connect(entry.address()).await;
    let start = Instant::now();
    let request = keyed("GET", "/catalogue/x", "", "");
    assert!(caller.round_trip(&request).await.is_none());
    let spent = start.elapsed();
    assert!(spent >= TIMEOUT, "{spent:?}");
    assert!(
        spent < TIMEOUT + Duration::from_millis(PAUSE_MS) + SLACK,
        "{spent:?}"
    );
}

/// Guards against a request that is sent to a server with a longer deadline than its caller
/// has set, since it has waited behind a stream on its connection.
#[tokio::test]
async fn deadline_of_a_request_behind_a_stream_counts_from_its_arrival() {
    let server = Server::start(
        |seen: &ReceivedRequest, _| match seen.head.contains("/second") {
            true => paused(0),
            false => paused(800),
        },
    );
    let server = server.await;
    let entry = entry(&server).await;
    let mut caller = Caller::connect(entry.address()).await;
    caller
        .write(&keyed("GET", "/catalogue/first", "", ""))
        .await;
    sleep(Duration::from_millis(100)).await;
    let deadline = "pomelovale-deadline-ms: 1000\r\n";
    caller
        .write(&keyed("GET", "/catalogue/second", deadline, ""))
        .await;
    for _ in 0..2 {
        assert_eq!(caller.read().await.expect("a response").status, 200);
    }
    let requests = server.requests();
    let second = requests.iter().find(|seen| seen.head.contains("/second"));
    let deadline = second.and_then(|seen| header(&seen.head, "pomelovale-deadline-ms"));
    let deadline: u64 = deadline.unwrap().parse().unwrap();
    assert!(deadline <= 400, "{deadline}");
}
