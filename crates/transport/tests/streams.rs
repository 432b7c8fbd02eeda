//! Tests of streamed answers to pipelined requests.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use support::{answers, bodies, get, send, start_server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

async fn pause(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

// Sends requests, and 50 ms later another one, which must not be started within the
// next 30 ms. All listed bodies must arrive.
macro_rules! waits {
    ($($(#[$doc:meta])* $name:ident: $requests:expr => $bodies:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (server, stats) = start_server().await;
            let mut stream = send(&server, &$requests).await;
            pause(50).await;
            stream.write_all(get("/0/last").as_bytes()).await.unwrap();
            pause(30).await;
            assert_eq!(stats.started.load(Ordering::SeqCst), $requests.len());
            assert_eq!(bodies(&mut stream, $bodies.len()).await, $bodies);
        })*
    };
}

waits! {
    /// Guards against a request that is started behind a stream, which ends the
    /// connection if it breaks off.
    request_waits_for_a_stream: [get("/0/stream")] => ["stream", "last"];
    /// The same if the stream is the answer to a pipelined request.
    request_waits_for_a_pipelined_stream: [get("/0/a"), get("/0/stream")] => ["a", "stream", "last"];
    /// The same if the stream waits for the answer before it.
    request_waits_for_a_held_stream: [get("/300/a"), get("/0/stream")] => ["a", "stream", "last"];
}

// Sends requests, and another one 50 ms later, which must not be started. Returns what
// is received before the end of the connection.
async fn read_cut(requests: &[String]) -> String {
    let (server, stats) = start_server().await;
    let mut stream = send(&server, requests).await;
    pause(50).await;
    stream.write_all(get("/0/last").as_bytes()).await.unwrap();
    let mut text = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut text)).await;
    read.expect("an end within 5 s").expect("no reset");
    assert_eq!(stats.started.load(Ordering::SeqCst), requests.len());
    String::from_utf8(text).unwrap()
}

// Sends requests of which one is answered with a stream that breaks off. The
// connection must end within that answer, behind the given number of others.
macro_rules! cuts {
    ($($(#[$doc:meta])* $name:ident: $requests:expr => $answers:literal;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let text = read_cut(&$requests).await;
            assert_eq!(text.matches("HTTP/1.1 200 OK\r\n").count(), $answers + 1, "{text}");
            assert!(text.ends_with("\r\n\r\nstr"), "{text}");
        })*
    };
}

cuts! {
    /// Guards against an incomplete answer that the caller takes for a complete one.
    broken_stream: [get("/0/cut")] => 0;
    /// The same if the stream is the answer to a pipelined request.
    broken_pipelined_stream: [get("/0/a"), get("/0/b"), get("/0/cut")] => 2;
    /// Guards against an answer that the caller takes for the rest of the stream.
    broken_stream_before_others: [get("/0/cut"), get("/0/b"), get("/300/c")] => 0;
}

/// Guards against a stream that breaks off while it waits for the answers before it,
/// and then ends the connection without an answer, and under other requests.
#[tokio::test]
async fn broken_held_stream_is_refused() {
    let (server, _) = start_server().await;
    let requests = [get("/300/a"), get("/0/cut"), get("/0/c")];
    let mut stream = send(&server, &requests).await;
    let got = answers(&mut stream, 3).await;
    let statuses: Vec<u16> = got.iter().map(|a| a.status).collect();
    assert_eq!(statuses, [200, 502, 200]);
    assert!(got[1].head.contains("\r\npomelovale-outcome: unknown\r\n"));
    stream.write_all(get("/0/d").as_bytes()).await.unwrap();
    assert_eq!(bodies(&mut stream, 1).await, ["d"]);
}

/// Guards against a held stream whose length or parts get lost.
#[tokio::test]
async fn held_stream_is_complete() {
    let (server, _) = start_server().await;
    let requests = [get("/300/a"), get("/0/stream"), get("/0/c")];
    let mut stream = send(&server, &requests).await;
    assert_eq!(bodies(&mut stream, 3).await, ["a", "stream", "c"]);
}

// Sends requests and reads all answers, of which one is a stream; its end must be
// reported as listed.
macro_rules! reuses {
    ($($(#[$doc:meta])* $name:ident: $requests:expr => $reusable:literal;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (server, stats) = start_server().await;
            let mut stream = send(&server, &$requests).await;
            answers(&mut stream, $requests.len()).await;
            pause(20).await;
            assert_eq!(*stats.reusable.lock().unwrap(), [$reusable]);
        })*
    };
}

reuses! {
    /// Guards against a complete answer that is taken for one which was broken off.
    complete_stream_is_reusable: [get("/0/stream")] => true;
    /// The same if it waits for the answer before it.
    complete_held_stream_is_reusable: [get("/300/a"), get("/0/stream")] => true;
    /// Guards against an answer that is broken off and taken for a complete one.
    broken_stream_is_not_reusable: [get("/0/cut")] => false;
}
