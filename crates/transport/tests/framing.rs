//! Tests of the framing checks on requests and responses.

use pomelovale_transport::framing::{Direction, Framing, Verdicts};

macro_rules! cases {
    ($run:ident: $($(#[$doc:meta])* $name:ident => ($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { $run($($arg),*) })*
    };
}

/// Feeds the requests in parts of each possible size and checks the verdicts. A
/// missing verdict counts as ambiguous.
fn requests(text: &str, verdicts: &[bool]) {
    for size in 1..=text.len() {
        let queue = Verdicts::default();
        let mut framing = Framing::new(Direction::Requests, queue.clone());
        for part in text.as_bytes().chunks(size) {
            framing.feed(part);
        }
        let got: Vec<bool> = verdicts.iter().map(|_| queue.next()).collect();
        assert_eq!(got, verdicts, "in parts of {size}");
        assert!(!queue.next());
    }
}

cases! { requests:
    /// Guards against two requests without a body that are parsed as one.
    two_heads => ("GET / HTTP/1.1\r\na: b\r\n\r\nGET / HTTP/1.1\r\n\r\n", &[true, true]);
    /// Guards against a body that is parsed as a head.
    body_then_head => ("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nA: b\r\n\r\nxGET / HTTP/1.1\r\n\r\n", &[true, true]);
    /// Guards against chunks, chunk extensions or trailers that are parsed as a head.
    chunks_then_head => (
        "POST / HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\nA;x=y\r\n0123456789\r\n0\r\nt: u\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        &[true, true],
    );
    /// Guards against a request with both framings that is accepted if
    /// `Transfer-Encoding` comes first.
    both_framings => ("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n0\r\n\r\n", &[false]);
    /// Guards against a header that is missed because of a space before the colon.
    space_before_colon => ("POST / HTTP/1.1\r\ncontent-length: 1\r\nContent-Length : 2\r\n\r\nxx", &[false]);
    /// Guards against a length with a sign that is accepted.
    signed_length => ("POST / HTTP/1.1\r\ncontent-length: +1\r\n\r\nx", &[false]);
    /// Guards against another transfer encoding before `chunked` that is accepted.
    gzip_before_chunked => ("POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", &[false]);
    /// Guards against bytes after a chunk with a wrong size that are parsed as a
    /// request.
    wrong_chunk_size => ("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabGET / HTTP/1.1\r\n\r\n", &[true]);
    /// Guards against an accepted request after one with an ambiguous length.
    request_after_ambiguous_one => ("POST / HTTP/1.1\r\ncontent-length: x\r\n\r\nGET / HTTP/1.1\r\n\r\n", &[false]);
}

fn answer(text: &str, verdict: bool) {
    let queue = Verdicts::default();
    let mut framing = Framing::new(Direction::Responses, queue.clone());
    for _ in 0..2 {
        framing.restart();
        framing.feed(text.as_bytes());
        assert_eq!(queue.next(), verdict);
        assert!(!queue.next());
    }
}

cases! { answer:
    /// Guards against an interim response that is taken for the final one.
    interim => ("HTTP/1.1 103 Early\r\na: b\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx", true);
    /// Guards against a response with both framings that is accepted after an interim
    /// response.
    interim_then_both => ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n", false);
    /// Guards against a body that is parsed as another response.
    body => ("HTTP/1.1 200 OK\r\ncontent-length: 19\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true);
}

/// Guards against a connection that waits for the first byte of a head and is
/// reported as one that has received a part of it.
#[test]
fn only_begun_heads_count() {
    let mut framing = Framing::new(Direction::Requests, Verdicts::default());
    assert!(!framing.in_head());
    framing.feed(b"GET /");
    assert!(framing.in_head());
    framing.feed(b" HTTP/1.1\r\n\r\n");
    assert!(!framing.in_head());
}
