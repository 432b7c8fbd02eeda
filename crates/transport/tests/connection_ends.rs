//! Tests of the ways in which a caller's connection ends.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use support::{
    all_answers, answers, bodies, closed_bodies, get, last, post, send, start_server, start_timed,
};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

/// Guards against a timeout that ends a connection while a pipelined request runs.
#[tokio::test]
async fn timeouts_spare_a_pipelined_request() {
    let (server, _) = start_timed(400).await;
    let mut stream = send(&server, &[get("/10/a"), get("/900/b")]).await;
    assert_eq!(bodies(&mut stream, 2).await, ["a", "b"]);
}

/// Guards against a timeout that ends a connection which is never idle.
#[tokio::test]
async fn timeouts_spare_continuous_pipelining() {
    let (server, _) = start_timed(400).await;
    let stream = send(&server, &[]).await;
    let (read, mut write) = stream.into_split();
    let sender = tokio::spawn(async move {
        for i in 0..30 {
            if write
                .write_all(get(&format!("/200/{i}")).as_bytes())
                .await
                .is_err()
            {
                break;
            }
            sleep(Duration::from_millis(60)).await;
        }
        write
    });
    let write = sender.await.unwrap();
    let mut stream = read.reunite(write).unwrap();
    let expected: Vec<String> = (0..30).map(|i| i.to_string()).collect();
    assert_eq!(bodies(&mut stream, 30).await, expected);
}

// Sends requests at once; all listed bodies must arrive, the last one with the
// announcement of the close, and no other request may be run.
macro_rules! closes {
    ($($(#[$doc:meta])* $name:ident: $requests:expr => $bodies:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (server, stats) = start_server().await;
            let mut stream = send(&server, &$requests).await;
            let got = all_answers(&mut stream).await;
            assert_eq!(closed_bodies(&got), $bodies);
            assert_eq!(stats.started.load(Ordering::SeqCst), $bodies.len());
        })*
    };
}

closes! {
    /// Guards against a response that closes the connection under requests that were
    /// started behind it.
    close_by_a_response_spares_started_requests: [get("/200/close"), get("/300/b"), get("/300/c")]
        => ["close", "b", "c"];
    /// Guards against a response after one that announces the close of the
    /// connection: callers assume that the requests after it were not processed.
    first_answer_closes: [get("/50/close"), get("/0/b")] => ["close", "b"];
    /// The same if the response that announces the close is to a pipelined request.
    second_answer_closes: [get("/50/a"), get("/0/close"), get("/0/c")] => ["a", "close", "c"];
    /// The same if several responses ask for the close.
    all_answers_close: [get("/50/close"), get("/0/close"), get("/0/close")]
        => ["close", "close", "close"];
    /// Guards against a request that is run behind the announcement of the close.
    unsafe_request_behind_the_close: [get("/50/close"), post("/0/b", "")] => ["close"];
    /// The same if the response with the announcement is to a pipelined request.
    unsafe_request_behind_a_pipelined_close: [get("/50/a"), get("/0/close"), post("/0/b", "")]
        => ["a", "close"];
    /// Guards against a request that is run behind one which asks for the close.
    request_behind_the_last_one: [last("/50/a"), get("/0/b")] => ["a"];
    /// The same if the request that asks for the close is a pipelined one.
    request_behind_a_pipelined_last_one: [get("/50/a"), last("/50/b"), get("/0/c")] => ["a", "b"];
    /// Guards against HTTP/1.0 requests that end the connection under others.
    old_request_behind_others: [get("/50/a"), old("/0/b"), get("/0/c")] => ["a", "b"];
    /// Guards against HTTP/1.0 requests that others are started behind.
    others_behind_an_old_request: [old("/50/a"), get("/0/b")] => ["a"];
    /// Guards against a pipelined request with a body that ends the connection under
    /// others.
    safe_request_with_a_body: [get("/50/a"), with_body("/50/b"), get("/50/c"), last("/0/d")]
        => ["a", "bxyz", "c", "d"];
}

fn old(path: &str) -> String {
    format!("GET {path} HTTP/1.0\r\n\r\n")
}

fn with_body(path: &str) -> String {
    let chunked = "host: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n";
    format!("GET {path} HTTP/1.1\r\n{chunked}")
}

// Sends requests at once and stops the server after some time, in milliseconds. All
// listed bodies must arrive, the last one with the announcement of the close, and no
// other request may be run.
macro_rules! stops {
    ($($(#[$doc:meta])* $name:ident: ($requests:expr, $ms:literal) => $bodies:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (server, stats) = start_server().await;
            let mut stream = send(&server, &$requests).await;
            sleep(Duration::from_millis($ms)).await;
            let stop = tokio::spawn(server.stop());
            let got = all_answers(&mut stream).await;
            assert_eq!(closed_bodies(&got), $bodies);
            assert_eq!(stats.started.load(Ordering::SeqCst), $bodies.len());
            drop(stream);
            let stopped = timeout(Duration::from_secs(2), stop).await;
            stopped.expect("a stop within 2 s").unwrap();
        })*
    };
}

stops! {
    /// Guards against a stop that ends a connection under pipelined requests while the
    /// first request is in progress.
    stop_spares_requests_behind_the_first: ([get("/400/a"), get("/500/b"), get("/600/c")], 100)
        => ["a", "b", "c"];
    /// The same while a pipelined request is in progress.
    stop_spares_requests_behind_a_pipelined_one: ([get("/0/a"), get("/400/b"), get("/500/c")], 100)
        => ["a", "b", "c"];
    /// Guards against a stop that ends a connection under a single request.
    stop_spares_a_request: ([get("/400/a")], 100) => ["a"];
    /// The same with a request that is not pipelined.
    stop_spares_an_unsafe_request: ([post("/400/a", "1"), post("/0/b", "2")], 100) => ["a1"];
    /// Guards against a stop that starts the requests that wait for others.
    stop_with_more_requests_than_are_started: ((0..40).map(|i| get(&format!("/300/{i}"))).collect::<Vec<_>>(), 100)
        => (0..17).map(|i| i.to_string()).collect::<Vec<_>>();
}

/// Guards against requests that are started behind a malformed one, whose refusal
/// ends the connection.
#[tokio::test]
async fn malformed_request_behind_others() {
    let (server, stats) = start_server().await;
    let malformed = "GET /0/b HTTP/1.1\r\nhost\r\n\r\n".to_owned();
    let mut stream = send(&server, &[get("/100/a"), malformed, get("/0/c")]).await;
    let got = all_answers(&mut stream).await;
    let statuses: Vec<u16> = got.iter().map(|a| a.status).collect();
    assert_eq!(statuses, [200, 400]);
    assert_eq!(closed_bodies(&got), ["a", ""]);
    assert_eq!(stats.started.load(Ordering::SeqCst), 1);
}

// Sends requests at once, of which those that panic must be answered 500 and all
// others 200, and checks that the connection can be used on.
macro_rules! panics {
    ($($(#[$doc:meta])* $name:ident: $requests:expr => $statuses:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (server, _) = start_server().await;
            let mut stream = send(&server, &$requests).await;
            let got = answers(&mut stream, $requests.len()).await;
            let statuses: Vec<u16> = got.iter().map(|a| a.status).collect();
            assert_eq!(statuses, $statuses);
            for answer in got {
                let unknown = answer.head.contains("\r\npomelovale-outcome: unknown\r\n");
                assert_eq!((unknown, answer.closes()), (answer.status == 500, false));
            }
            stream.write_all(get("/0/next").as_bytes()).await.unwrap();
            assert_eq!(bodies(&mut stream, 1).await, ["next"]);
        })*
    };
}

panics! {
    /// Guards against a panic of a handler that ends the connection without an answer.
    panic_in_a_handler: [get("/50/panic")] => [500];
    /// The same in the call of the handler, before it returns a future.
    panic_in_the_call_of_a_handler: [get("/0/panic-at-once")] => [500];
    /// Guards against a panic that ends the connection under other requests.
    panic_before_others: [get("/50/panic"), get("/100/b"), get("/0/c")] => [500, 200, 200];
    /// The same if the panic is in the handler of a pipelined request.
    panic_between_others: [get("/50/a"), get("/0/panic"), get("/0/panic-at-once"), get("/100/d")]
        => [200, 500, 500, 200];
    /// The same if the code that takes notice of the end of a streamed answer panics.
    panic_at_the_end_of_an_answer: [get("/0/panic-at-end"), get("/0/b")] => [200, 200];
    /// The same with requests that are not pipelined.
    panic_in_an_unsafe_request: [post("/0/panic", "x"), post("/0/b", "x")] => [500, 200];
}
