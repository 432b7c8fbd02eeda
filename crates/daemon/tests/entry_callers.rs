//! Misbehaving callers are limited, get a clear status and do not affect other callers.

mod entry_support;

use entry_support::{keyed, ok, setup, Caller, Server, KEY};
use pomelovaled::entry::config::EntryConfig;
use tokio::io::AsyncReadExt;

macro_rules! cases {
    ($run:ident: $($(#[$doc:meta])* $name:ident => ($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() { $run($($arg),*).await })*
    };
}

fn strict_limits(config: &mut EntryConfig) {
    config.server.head_ms = 100;
    config.server.idle_ms = 100;
    config.server.head_bytes = 8_192;
    config.body_ms = 100;
    config.body_bytes = 1_000;
    config.held_bytes = 2_000;
}

/// Writes text on a connection, which must get the listed statuses and then be
/// closed, while a caller on another connection is served.
async fn check_bad_input(text: &str, statuses: &[u16], runs: usize) {
    let server = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&server]);
    let entry = control.entry(strict_limits).await;
    let mut other = Caller::connect(entry.address()).await;
    let mut caller = Caller::connect(entry.address()).await;
    caller.write(text).await;
    assert_eq!(
        other
            .round_trip(&keyed("GET", "/catalogue/y", "", ""))
            .await
            .unwrap()
            .status,
        200
    );
    let mut got = Vec::new();
    while let Some(answer) = caller.read().await {
        got.push(answer.status);
        if answer.status != 200 && answer.status != 400 {
            assert!(answer.outcome().is_none_or(|o| o == "not-run"));
        }
    }
    assert_eq!(got, statuses);
    assert_eq!(server.requests().len(), runs + 1);
}

fn post(headers: &str, body: &str) -> String {
    format!("POST /catalogue/x HTTP/1.1\r\nhost: x\r\nx-api-key: {KEY}\r\n{headers}\r\n{body}")
}

cases! { check_bad_input:
    /// Guards against an incomplete head that keeps its connection open forever.
    slow_head => ("GET /catalogue/x HTTP/1.1\r\nhost:", &[408], 0);
    /// Guards against a connection without requests that is kept open forever.
    idle => ("", &[], 0);
    /// Guards against an incomplete body that keeps its connection open forever.
    slow_body => (&post("content-length: 10\r\n", "abc"), &[408], 0);
    /// Guards against a head of unlimited size.
    large_head => (&post(&format!("x: {}\r\n", "y".repeat(20_000)), ""), &[431], 0);
    /// Guards against an unlimited number of headers.
    many_headers => (&post(&"x: y\r\n".repeat(200), ""), &[431], 0);
    /// Guards against a body of unlimited Content-Length.
    large_body => (&post("content-length: 1001\r\n", "abc"), &[413], 0);
    /// Guards against a chunked body of unlimited size.
    large_chunked_body => (&post("transfer-encoding: chunked\r\n", &format!("3e9\r\n{}", "y".repeat(1_001))), &[413], 0);
    /// Guards against a request with two framings, which another server may read
    /// differently.
    length_before_chunked => (&post("content-length: 3\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n"), &[400], 0);
    /// Guards against the same with the headers in the other order.
    length_after_chunked => (&post("transfer-encoding: chunked\r\ncontent-length: 3\r\n", "0\r\n\r\n"), &[400], 0);
    /// Guards against a request with two different lengths, of which one is guessed.
    two_lengths => (&post("content-length: 3\r\ncontent-length: 4\r\n", "abcd"), &[400], 0);
    /// Guards against accepting a request with two equal lengths.
    equal_lengths => (&post("content-length: 3\r\ncontent-length: 3\r\n", "abc"), &[400], 0);
    /// Guards against accepting a list of lengths.
    listed_lengths => (&post("content-length: 3, 3\r\n", "abc"), &[400], 0);
    /// Guards against a request that is hidden in the body of another one.
    request_smuggling => (&post("content-length: 0\r\ntransfer-encoding: chunked\r\n",
        &format!("0\r\n\r\n{}", keyed("GET", "/catalogue/z", "", ""))), &[400], 0);
    /// Guards against two Host headers, of which another server may use the other one.
    two_hosts => (&format!("{}garbage", post("host: y\r\nconnection: close\r\n", "")), &[400], 0);
    /// Guards against keeping a connection open after input that is not HTTP.
    not_http => ("\u{1}\u{2}\r\n\r\n", &[400], 0);
    /// Guards against a valid request that fails because of garbage after it.
    pipelined_garbage => (&format!("{}\u{1}\u{2}\r\n\r\n", keyed("GET", "/catalogue/x", "", "")), &[200, 400], 1);
    /// Guards against pipelined requests that are answered out of order or not at all.
    pipelined => (&format!("{}{}", keyed("GET", "/catalogue/x", "", ""),
        keyed("GET", "/catalogue/x", "connection: close\r\n", "")), &[200, 200], 2);
}

/// Guards against idle connections that block new ones or exceed the limit.
#[tokio::test]
async fn idle_connections_are_evicted() {
    let server = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&server]);
    let entry = control.entry(|c| c.server.connections = 4).await;
    let mut idle = Vec::new();
    for _ in 0..12 {
        idle.push(Caller::connect(entry.address()).await);
    }
    let mut caller = Caller::connect(entry.address()).await;
    let got = caller
        .round_trip(&keyed("GET", "/catalogue/x", "", ""))
        .await;
    assert_eq!(got.unwrap().status, 200);
    // All idle connections except the last three were closed.
    for mut closed in idle.drain(..9) {
        assert_eq!(closed.stream.read(&mut [0]).await.unwrap_or(0), 0);
    }
    for mut open in idle {
        let got = open.round_trip(&keyed("GET", "/catalogue/x", "", "")).await;
        assert_eq!(got.unwrap().status, 200);
    }
}

/// Guards against unlimited memory for the bodies of many callers together.
#[tokio::test]
async fn held_bodies_are_bounded() {
    let server = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&server]);
    let entry = control.entry(|c| c.held_bytes = 2_000).await;
    let mut first = Caller::connect(entry.address()).await;
    first.write(&post("content-length: 1900\r\n", "abc")).await;
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let mut second = Caller::connect(entry.address()).await;
    let got = second
        .round_trip(&post("content-length: 200\r\n", ""))
        .await
        .unwrap();
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (503, Some("not-run"))
    );
    first.write(&"y".repeat(1897)).await;
    assert_eq!(first.read().await.unwrap().status, 200);
}

/// Guards against a caller that waits for `100 Continue` in vain.
#[tokio::test]
async fn expect_continue_is_answered() {
    let server = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    caller
        .write(&post("expect: 100-continue\r\ncontent-length: 3\r\n", ""))
        .await;
    let mut head = [0; 25];
    caller.stream.read_exact(&mut head).await.unwrap();
    assert_eq!(&head, b"HTTP/1.1 100 Continue\r\n\r\n");
    caller.write("abc").await;
    assert_eq!(caller.read().await.unwrap().status, 200);
    assert!(!server.requests()[0].head.contains("expect"));
}
