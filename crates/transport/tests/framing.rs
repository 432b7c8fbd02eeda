//! Framing of messages as it is watched on the wire.

use pomelovale_transport::framing::{Direction, Framing, Verdicts};

macro_rules! cases {
    ($run:ident: $($(#[$doc:meta])* $name:ident => ($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { $run($($arg),*) })*
    };
}

/// Feeds requests in parts of each size and checks the verdicts; what follows
/// the last one counts as unclear.
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
    /// Requests without a body are not told apart.
    two_heads => ("GET / HTTP/1.1\r\na: b\r\n\r\nGET / HTTP/1.1\r\n\r\n", &[true, true]);
    /// A body is taken for a head.
    body_then_head => ("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nA: b\r\n\r\nxGET / HTTP/1.1\r\n\r\n", &[true, true]);
    /// Chunks, their extensions or trailers are taken for a head.
    chunks_then_head => (
        "POST / HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\nA;x=y\r\n0123456789\r\n0\r\nt: u\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        &[true, true],
    );
    /// Both framings pass in one order of the headers.
    both_framings => ("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n0\r\n\r\n", &[false]);
    /// A space before the colon hides a header.
    space_before_colon => ("POST / HTTP/1.1\r\ncontent-length: 1\r\nContent-Length : 2\r\n\r\nxx", &[false]);
    /// A sign or a list passes as a number.
    signed_length => ("POST / HTTP/1.1\r\ncontent-length: +1\r\n\r\nx", &[false]);
    /// Another encoding in front of the chunks passes.
    gzip_before_chunked => ("POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", &[false]);
    /// A chunk with a wrong size lets the rest pass as a request.
    wrong_chunk_size => ("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabGET / HTTP/1.1\r\n\r\n", &[true]);
    /// What follows an unclear request passes.
    request_after_ambiguous_one => ("POST / HTTP/1.1\r\ncontent-length: x\r\n\r\nGET / HTTP/1.1\r\n\r\n", &[false]);
}

fn answer(text: &str, verdict: bool) {
    let queue = Verdicts::default();
    let mut framing = Framing::new(Direction::Answers, queue.clone());
    for _ in 0..2 {
        framing.restart();
        framing.feed(text.as_bytes());
        assert_eq!(queue.next(), verdict);
        assert!(!queue.next());
    }
}

cases! { answer:
    /// An interim answer is taken for the final one.
    interim => ("HTTP/1.1 103 Early\r\na: b\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx", true);
    /// Both framings pass after an interim answer.
    interim_then_both => ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n", false);
    /// A body that looks like a head passes as another answer.
    body => ("HTTP/1.1 200 OK\r\ncontent-length: 19\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true);
}

/// The wait for a first byte is not told from a head that has begun.
#[test]
fn only_begun_heads_count() {
    let mut framing = Framing::new(Direction::Requests, Verdicts::default());
    assert!(!framing.in_head());
    framing.feed(b"GET /");
    assert!(framing.in_head());
    framing.feed(b" HTTP/1.1\r\n\r\n");
    assert!(!framing.in_head());
}
