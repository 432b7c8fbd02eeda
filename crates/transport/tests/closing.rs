//! Tests of connections that the server closes while they are idle or while requests
//! arrive.

mod support;

use std::io::Write;
use std::net::TcpStream as BlockingStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use pomelovale_transport::http_server::{Server, ServerLimits};
use support::{
    all_answers, bodies, closed_bodies, get, last, post, send, start_server, start_with,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

async fn pause(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

// Connects and sends text before the server can take notice.
fn send_unnoticed(server: &Server, text: &str) -> BlockingStream {
    let mut stream = BlockingStream::connect(server.address()).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

fn reader(stream: BlockingStream) -> TcpStream {
    stream.set_nonblocking(true).unwrap();
    TcpStream::from_std(stream).unwrap()
}

/// Guards against a stop that waits for callers of idle connections.
#[tokio::test]
async fn stop_closes_idle_connections_at_once() {
    let (server, _) = start_server().await;
    let mut stream = send(&server, &[get("/0/a")]).await;
    assert_eq!(bodies(&mut stream, 1).await, ["a"]);
    pause(600).await;
    let start = Instant::now();
    server.stop().await;
    assert!(start.elapsed() < Duration::from_millis(300));
}

/// Guards against a request that has arrived and is lost in a stop.
#[tokio::test]
async fn stop_serves_a_request_that_has_arrived() {
    let (server, _) = start_server().await;
    let mut stream = send(&server, &[get("/0/a")]).await;
    assert_eq!(bodies(&mut stream, 1).await, ["a"]);
    let stream = stream.into_std().unwrap();
    (&stream).write_all(get("/0/b").as_bytes()).unwrap();
    let stop = tokio::spawn(server.stop());
    assert_eq!(
        closed_bodies(&all_answers(&mut reader(stream)).await),
        ["b"]
    );
    stop.await.unwrap();
}

/// Guards against a connection that is reset in a stop because it was not accepted yet.
#[tokio::test]
async fn stop_serves_connections_that_were_not_accepted() {
    let (server, _) = start_server().await;
    pause(10).await;
    let streams: Vec<BlockingStream> = (0..20)
        .map(|_| send_unnoticed(&server, &get("/50/a")))
        .collect();
    let stop = tokio::spawn(server.stop());
    for stream in streams {
        assert_eq!(
            closed_bodies(&all_answers(&mut reader(stream)).await),
            ["a"]
        );
    }
    stop.await.unwrap();
}

// Sends requests while a streamed answer is being written, which can't announce the
// close any more, and stops the server. The listed bodies must arrive, the last one
// with the announcement, and no other request may be run.
macro_rules! stops_in_a_stream {
    ($($(#[$doc:meta])* $name:ident: $requests:expr => $bodies:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (server, stats) = start_server().await;
            let mut stream = send(&server, &[get("/0/stream")]).await;
            pause(50).await;
            let requests: Vec<String> = $requests.to_vec();
            stream.write_all(requests.concat().as_bytes()).await.unwrap();
            pause(20).await;
            let stop = tokio::spawn(server.stop());
            let got = all_answers(&mut stream).await;
            assert_eq!(closed_bodies(&got), $bodies);
            assert_eq!(stats.started.load(Ordering::SeqCst), $bodies.len());
            drop(stream);
            stop.await.unwrap();
        })*
    };
}

stops_in_a_stream! {
    /// Guards against requests that were read and end without an answer or an
    /// announcement of the close.
    stop_in_a_stream_serves_what_has_arrived: [get("/20/a"), get("/0/b"), get("/0/c")]
        => ["stream", "a", "b", "c"];
    /// The same with a request that is not pipelined.
    stop_in_a_stream_serves_an_unsafe_request: [post("/0/a", ""), get("/0/b")] => ["stream", "a"];
    /// Guards against a request that is started behind one that asks for the close.
    stop_in_a_stream_ends_with_the_last_request: [get("/20/a"), last("/0/b"), get("/0/c")]
        => ["stream", "a", "b"];
}

/// Guards against a request whose head is incomplete in a stop and that gets neither
/// an answer nor a refusal.
#[tokio::test]
async fn stop_refuses_an_incomplete_head() {
    let (server, stats) = start_server().await;
    let mut stream = send(&server, &["GET /0/a HTTP/1.1\r\n".to_owned()]).await;
    pause(50).await;
    let stop = tokio::spawn(server.stop());
    let got = all_answers(&mut stream).await;
    assert_eq!((got.len(), got[0].status), (1, 503));
    assert!(got[0].head.contains("\r\npomelovale-outcome: not-run\r\n"));
    drop(stream);
    stop.await.unwrap();
    assert_eq!(stats.started.load(Ordering::SeqCst), 0);
}

/// Guards against a request that arrives while its connection is evicted and is lost.
#[tokio::test]
async fn eviction_serves_a_request_that_has_arrived() {
    let limits = ServerLimits {
        connections: 1,
        ..ServerLimits::default()
    };
    let (server, _) = start_with(limits).await;
    let mut stream = send(&server, &[get("/0/a")]).await;
    assert_eq!(bodies(&mut stream, 1).await, ["a"]);
    let stream = stream.into_std().unwrap();
    let other = send_unnoticed(&server, &get("/0/c"));
    (&stream).write_all(get("/50/b").as_bytes()).unwrap();
    assert_eq!(bodies(&mut reader(other), 1).await, ["c"]);
    assert_eq!(
        closed_bodies(&all_answers(&mut reader(stream)).await),
        ["b"]
    );
}

/// Guards against a last response that is lost because the caller has sent another
/// request behind it, which is not read.
#[tokio::test]
async fn last_answer_arrives_in_spite_of_a_late_request() {
    let (server, stats) = start_server().await;
    let mut stream = send(&server, &[get("/0/close")]).await;
    pause(50).await;
    for _ in 0..20 {
        stream.write_all(get("/0/b").as_bytes()).await.unwrap();
        pause(5).await;
    }
    assert_eq!(closed_bodies(&all_answers(&mut stream).await), ["close"]);
    assert_eq!(stats.started.load(Ordering::SeqCst), 1);
}

/// Guards against a refusal that a caller does not see because it is still sending.
#[tokio::test]
async fn refusal_reaches_a_caller_that_sends_on() {
    let (server, _) = start_server().await;
    let mut stream = send(&server, &["GET /".to_owned()]).await;
    let long = "x".repeat(200_000);
    let sent = timeout(Duration::from_secs(2), stream.write_all(long.as_bytes())).await;
    sent.expect("no deadlock").unwrap();
    let got = all_answers(&mut stream).await;
    assert_eq!(got.iter().map(|a| a.status).collect::<Vec<_>>(), [431]);
}

/// Guards against a request that crosses the close of an idle connection, is read whole and
/// gets no answer.
#[tokio::test]
async fn request_that_crosses_an_idle_close_is_not_read() {
    let limits = ServerLimits {
        idle_ms: 100,
        ..ServerLimits::default()
    };
    let (server, _) = start_with(limits).await;
    let mut stream = send(&server, &[get("/0/a")]).await;
    assert_eq!(bodies(&mut stream, 1).await, ["a"]);
    assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
    stream
        .write_all(post("/0/b", "x").as_bytes())
        .await
        .unwrap();
    let start = Instant::now();
    // A reset that follows the end of the stream is reported as a broken pipe.
    while stream.take_error().unwrap().is_none() {
        assert!(start.elapsed() < Duration::from_secs(5), "no reset");
        pause(50).await;
    }
}

/// Guards against a head whose first part arrives as the idle timeout passes, and that is
/// dropped.
#[test]
fn head_that_begins_as_the_idle_timeout_passes_is_answered() {
    // With one event handled at a time, timers fire before most of the heads are noticed.
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().max_io_events_per_tick(1).build();
    runtime.unwrap().block_on(async {
        let limits = ServerLimits {
            idle_ms: 300,
            ..ServerLimits::default()
        };
        let (server, _) = start_with(limits).await;
        let connect = |_| BlockingStream::connect(server.address()).unwrap();
        let mut streams: Vec<BlockingStream> = (0..8).map(connect).collect();
        pause(100).await;
        std::thread::sleep(Duration::from_millis(300));
        for stream in &mut streams {
            stream.write_all(b"GET /0/a HTTP/1.1\r\n").unwrap();
        }
        pause(100).await;
        for stream in streams {
            let mut stream = reader(stream);
            let _ = stream.write_all(b"host: a\r\n\r\n").await;
            assert_eq!(bodies(&mut stream, 1).await, ["a"]);
        }
    });
}
/// Guards against a new connection that is closed in a stop though its first request is on
/// its way.
#[tokio::test]
async fn stop_serves_the_first_request_of_a_new_connection() {
    let (server, _) = start_server().await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    pause(50).await;
    let stop = tokio::spawn(server.stop());
    pause(100).await;
    let _ = stream.write_all(get("/0/a").as_bytes()).await;
    assert_eq!(closed_bodies(&all_answers(&mut stream).await), ["a"]);
    stop.await.unwrap();
}

/// Guards against a stop that waits for connections which are opened and not used.
#[tokio::test]
async fn stop_does_not_wait_for_a_first_request_that_does_not_come() {
    let (server, _) = start_server().await;
    let mut new = TcpStream::connect(server.address()).await.unwrap();
    pause(50).await;
    let stop = tokio::spawn(server.stop());
    assert!(all_answers(&mut new).await.is_empty());
    drop(new);
    let stop = timeout(Duration::from_millis(900), stop).await;
    stop.expect("an end of the stop").unwrap();
}
