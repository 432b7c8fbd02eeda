//! Backend servers that send bytes without end instead of a response.

mod entry_support;
mod gateway_support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use entry_support::{Server, ServerAction};
use gateway_support::{document, keyed, send, site, status, Site};

/// Time within which a caller must be answered and the server's connection closed: the
/// timeout of the route, and an allowance for a busy machine.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2_500);

async fn answer_and_close(first: &str, rest: &[u8]) -> (Site, String) {
    let (first, rest) = (first.as_bytes().to_vec(), rest.to_vec());
    let server =
        Server::start(move |_, _| ServerAction::WriteForever(first.clone(), rest.clone())).await;
    let site = site(Some(document(&[&server]))).await;
    let start = Instant::now();
    let answer = send(&site, &keyed("POST", "/once/x")).await;
    while server.closed.load(Ordering::SeqCst) == 0 && start.elapsed() < CLOSE_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(
        server.closed.load(Ordering::SeqCst) > 0,
        "connection is still open: {answer}"
    );
    assert_eq!(server.requests().len(), 1);
    (site, answer)
}

macro_rules! endless {
    ($($(#[$doc:meta])* $name:ident($first:expr, $rest:expr) => $status:literal;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (_site, answer) = answer_and_close($first, $rest).await;
            assert_eq!(status(&answer), $status, "{answer}");
            assert!(!answer.contains("pomelovale-proof"), "{answer}");
        })*
    };
}

endless! {
    /// Guards against waiting for the end of bytes that are no response head.
    bytes_that_are_no_head("", &[b'x'; 1_000]) => 502;
    /// Guards against waiting for the end of binary bytes in place of a head.
    zeros_in_place_of_a_head("", &[0; 1_000]) => 502;
    /// Guards against a head without an end that fills the memory.
    head_without_end("HTTP/1.1 200 OK\r\n", b"x-filler: yyyyyyyyyyyyyyyy\r\n") => 502;
    /// Guards against a header line without an end that fills the memory.
    header_line_without_end("HTTP/1.1 200 OK\r\nx-filler: ", &[b'y'; 1_000]) => 502;
    /// Guards against interim responses without an end.
    interim_responses_without_end("", b"HTTP/1.1 100 Continue\r\n\r\n") => 502;
    /// Guards against a body without a length that never ends.
    body_without_length("HTTP/1.1 200 OK\r\npomelovale-request: q1\r\n\r\n", &[b'x'; 1_000]) => 502;
    /// Guards against chunks that are none and never end.
    bytes_that_are_no_chunk(
        "HTTP/1.1 200 OK\r\npomelovale-request: q1\r\ntransfer-encoding: chunked\r\n\r\n",
        &[b'x'; 1_000]
    ) => 502;
    /// Guards against a chunk size without an end.
    chunk_size_without_end(
        "HTTP/1.1 200 OK\r\npomelovale-request: q1\r\ntransfer-encoding: chunked\r\n\r\n1;",
        &[b'y'; 1_000]
    ) => 502;
    /// Guards against a body of a response without proof that is read to its end.
    unproven_body_without_end(
        "HTTP/1.1 200 OK\r\npomelovale-request: q1\r\ntransfer-encoding: chunked\r\n\r\n",
        concat!("40\r\n", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", "\r\n").as_bytes()
    ) => 502;
}

/// Guards against a connection that stays open, or is reused, after its server has added
/// bytes without end to a complete response.
#[tokio::test]
async fn bytes_after_a_response_end_the_connection() {
    let whole = "HTTP/1.1 200 OK\r\npomelovale-request: q1\r\npomelovale-proof: p\r\ncontent-length: 4\r\n\r\nfine";
    let server =
        Server::start(|_, _| ServerAction::WriteForever(whole.into(), vec![b'x'; 1_000])).await;
    let site = site(Some(document(&[&server]))).await;
    for _ in 0..3 {
        assert_eq!(status(&send(&site, &keyed("POST", "/once/x")).await), 200);
    }
    let connections: Vec<usize> = server.requests().iter().map(|r| r.connection).collect();
    assert_eq!(connections, [0, 1, 2]);
    let start = Instant::now();
    while server.closed.load(Ordering::SeqCst) < 3 && start.elapsed() < CLOSE_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(server.closed.load(Ordering::SeqCst), 3);
}
