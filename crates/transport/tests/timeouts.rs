//! Tests of the head timeout and the idle timeout, and of changes of both.

mod support;

use std::time::{Duration, Instant};

use pomelovale_transport::http_server::{Server, ServerLimits, Timeouts};
use support::{answers, bodies, get, post, send, start_with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

async fn start(head_ms: u64, idle_ms: u64) -> Server {
    let limits = ServerLimits {
        head_ms,
        idle_ms,
        ..ServerLimits::default()
    };
    start_with(limits).await.0
}

/// Reads until the connection ends. Returns the text and the time since `start`, in
/// milliseconds.
async fn read_to_end(stream: &mut TcpStream, start: Instant) -> (String, u64) {
    let mut text = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut text)).await;
    read.expect("an end within 5 s").expect("no reset");
    let text = String::from_utf8_lossy(&text).into_owned();
    (text, start.elapsed().as_millis() as u64)
}

async fn pause(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

// Head timeout, idle timeout, what is sent, and start of the text and range of the
// time in which the connection ends.
macro_rules! ends {
    ($($(#[$doc:meta])* $name:ident: ($head:literal, $idle:literal, $text:expr) => ($start:literal, $range:expr);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let server = start($head, $idle).await;
            let sent = Instant::now();
            let mut stream = send(&server, &[$text.to_owned()]).await;
            let (text, ms) = read_to_end(&mut stream, sent).await;
            assert!(text.starts_with($start) && text.is_empty() == $start.is_empty(), "{text}");
            assert!($range.contains(&ms), "{ms} ms");
        })*
    };
}

ends! {
    /// Guards against a head timeout that runs before the first byte of a head.
    without_a_byte_idle_timeout_holds: (100, 400, "") => ("", 390..1_500);
    /// Guards against an idle timeout that ends a head in progress.
    after_a_byte_head_timeout_holds: (400, 100, "G") => ("HTTP/1.1 408", 390..1_500);
    /// Guards against line ends before a head that count as its first byte.
    line_ends_are_no_head: (100, 400, "\r\n") => ("", 390..1_500);
}

/// Guards against a head behind a request in progress that gets no answer, an answer
/// before that of the request, or time from the end of the request on.
#[tokio::test]
async fn head_behind_a_request_is_answered_after_it() {
    let server = start(400, 2_000).await;
    let start = Instant::now();
    let mut stream = send(&server, &[get("/600/a"), "GET /0/b".to_owned()]).await;
    let got = answers(&mut stream, 2).await;
    let ms = start.elapsed().as_millis();
    let statuses: Vec<u16> = got.iter().map(|a| a.status).collect();
    assert_eq!((statuses, got[1].closes()), (vec![200, 408], true));
    assert!((590..990).contains(&ms), "{ms} ms");
}

/// Guards against a head that is ended though its rest arrives in time.
#[tokio::test]
async fn head_in_two_parts_is_answered() {
    let server = start(400, 100).await;
    let mut stream = send(&server, &["GET /0/a HTTP/1.1\r\n".to_owned()]).await;
    pause(250).await;
    stream.write_all(b"host: a\r\n\r\n").await.unwrap();
    assert_eq!(bodies(&mut stream, 1).await, ["a"]);
}

/// Guards against a timeout that ends a connection while a body arrives.
#[tokio::test]
async fn body_in_parts_is_answered() {
    let server = start(100, 100).await;
    let request = post("/0/a", "123456");
    let (first, rest) = request.split_at(request.len() - 4);
    let mut stream = send(&server, &[first.to_owned()]).await;
    pause(400).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    assert_eq!(bodies(&mut stream, 1).await, ["a123456"]);
}

// Timeouts (head and idle) before, what is sent, timeouts 100 ms later, and range of
// the time from the sending or from the change to the end of the connection.
macro_rules! changes {
    ($($(#[$doc:meta])* $name:ident: ($before:expr, $text:expr, $after:expr) => $from:ident $range:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (head_ms, idle_ms) = $before;
            let server = start(head_ms, idle_ms).await;
            let sent = Instant::now();
            let mut stream = send(&server, &[$text.to_owned()]).await;
            pause(100).await;
            let (head_ms, idle_ms) = $after;
            let changed = Instant::now();
            server.timeouts().set(Timeouts { head_ms, idle_ms });
            let start = match stringify!($from) {
                "sent" => sent,
                _ => changed,
            };
            let (_, ms) = read_to_end(&mut stream, start).await;
            assert!($range.contains(&ms), "{ms} ms");
        })*
    };
}

changes! {
    /// Guards against a longer idle timeout that holds for new connections only.
    idle_longer: ((200, 300), get("/0/a"), (200, 800)) => sent 790..1_600;
    /// Guards against a shorter idle timeout that holds for new connections only, or
    /// that closes connections before callers can know of it.
    idle_shorter: ((900, 9_000), get("/0/a"), (900, 50)) => changed 990..1_800;
    /// Guards against a connection that outlives the previous idle timeout.
    idle_shorter_near_its_end: ((900, 400), get("/0/a"), (900, 50)) => sent 390..900;
    /// Guards against a connection that is still open after the shorter idle timeout.
    idle_shorter_by_little: ((900, 9_000), get("/0/a"), (900, 1_400)) => sent 1_390..2_200;
    /// Guards against a longer head timeout that holds for new connections only.
    head_longer: ((300, 200), "GET", (800, 200)) => sent 790..1_600;
    /// Guards against a shorter head timeout that holds for new connections only.
    head_shorter: ((9_000, 900), "GET", (300, 900)) => sent 290..1_100;
    /// Guards against a change that ends a request in progress.
    request_in_progress: ((900, 900), get("/600/close"), (10, 10)) => sent 590..1_400;
}

/// Guards against a second change that takes back the time after the first one.
#[tokio::test]
async fn idle_shorter_twice() {
    let server = start(900, 9_000).await;
    let mut stream = send(&server, &[get("/0/a")]).await;
    pause(100).await;
    let mut changed = Instant::now();
    for idle_ms in [2_000, 50] {
        let head_ms = 900;
        changed = Instant::now();
        server.timeouts().set(Timeouts { head_ms, idle_ms });
        pause(200).await;
    }
    let (_, ms) = read_to_end(&mut stream, changed).await;
    assert!((990..1_800).contains(&ms), "{ms} ms");
}

/// Guards against a request that is lost on a connection which a caller still reuses
/// by the previous idle timeout.
#[tokio::test]
async fn idle_shorter_spares_a_late_request() {
    let server = start(900, 9_000).await;
    let mut stream = send(&server, &[get("/0/a")]).await;
    assert_eq!(bodies(&mut stream, 1).await, ["a"]);
    pause(200).await;
    let (head_ms, idle_ms) = (900, 50);
    server.timeouts().set(Timeouts { head_ms, idle_ms });
    pause(700).await;
    stream.write_all(get("/0/b").as_bytes()).await.unwrap();
    assert_eq!(bodies(&mut stream, 1).await, ["b"]);
}
