//! Answers of backend servers: whole, the request's own, and unchanged.

mod entry_support;

use entry_support::{
    header, keyed, ok, ok_bytes, setup, write_text, Caller, ReceivedResponse, Server, ServerAction,
};

macro_rules! cases {
    ($run:ident: $($(#[$doc:meta])* $name:ident => ($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() { $run($($arg),*).await })*
    };
}

const TWO_SECONDS_MS: u64 = 2_000;

/// One non-idempotent request whose answer is `act`; afterwards a second one.
/// Checks the status, and that a faulty answer's connection is not used again.
async fn check_faulty(act: ServerAction, status: u16) {
    let faulty = act.clone();
    let server = Server::start(move |_, n| match n {
        0 => faulty.clone(),
        _ => ok("second"),
    })
    .await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    let post = keyed(
        "POST",
        "/catalogue/book",
        "pomelovale-deadline-ms: 300\r\n",
        "one",
    );
    let got = caller.round_trip(&post).await.unwrap();
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (status, Some("unknown")),
        "{got:?}"
    );
    assert_eq!(server.requests().len(), 1);
    let got = caller
        .round_trip(&keyed("GET", "/catalogue/x", "", ""))
        .await
        .unwrap();
    assert_eq!((got.status, got.body.as_str()), (200, "second"));
    let seen = server.requests();
    assert_ne!(seen[0].connection, seen[1].connection);
}

cases! { check_faulty:
    /// A body shorter than announced is passed on as complete.
    short_length => (ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort".to_vec()), 502);
    /// A body cut within a chunk is passed on as complete.
    cut_chunk => (ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nshort".to_vec()), 502);
    /// A body without its last chunk is passed on as complete.
    no_last_chunk => (ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n".to_vec()), 502);
    /// The end of a connection is taken for the end of a body.
    length_by_close => (ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\n\r\nshort".to_vec()), 502);
    /// One of two ways to read a body is guessed.
    two_framings => (write_text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"), 502);
    /// One of two lengths is guessed.
    two_lengths => (write_text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 4\r\n\r\nshort"), 502);
    /// An answer that is no HTTP is passed on.
    not_http => (write_text("\0\0 hello\r\n\r\n"), 502);
    /// A connection that ends without an answer leads to a made-up one.
    no_answer => (ServerAction::Close, 502);
    /// A head that is cut off leads to a made-up answer.
    cut_head => (ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\ncontent-".to_vec()), 502);
    /// An answer of another request is passed on.
    foreign => (write_text("HTTP/1.1 200 OK\r\npomelovale-request: other\r\ncontent-length: 1\r\n\r\nx"), 502);
    /// A switch of protocols that nobody asked for is passed on.
    unrequested_protocol_switch => (write_text("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n"), 502);
    /// A late answer is passed on to the next request of the connection.
    late_response => (ServerAction::WriteAfter(TWO_SECONDS_MS, ok_bytes("late")), 504);
    /// A silent server is waited for beyond the deadline.
    silent => (ServerAction::Silent, 504);
    /// A body that stops arriving is waited for beyond the deadline.
    stalled_body => (write_text("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort"), 504);
}

/// One idempotent request whose answer is `act`, checked by `check`.
async fn check_forwarded(method: &str, act: ServerAction, check: fn(&ReceivedResponse) -> bool) {
    let server = Server::start(move |_, _| act.clone()).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    let got = caller
        .round_trip(&keyed(method, "/catalogue/x", "", ""))
        .await;
    let got = got.unwrap();
    assert!(check(&got), "{got:?}");
    assert_eq!(server.requests().len(), 1);
}

fn count(got: &ReceivedResponse, text: &str) -> usize {
    got.head.to_ascii_lowercase().matches(text).count()
}

cases! { check_forwarded:
    /// Cookies are joined or dropped.
    both_cookies => ("GET", write_text("HTTP/1.1 200 OK\r\nset-cookie: a=1\r\nset-cookie: a=2\r\ncontent-length: 0\r\n\r\n"),
        |g| count(g, "set-cookie: a=") == 2);
    /// A redirect is followed.
    redirect => ("GET", write_text("HTTP/1.1 302 Found\r\nlocation: /catalogue/y\r\ncontent-length: 0\r\n\r\n"),
        |g| g.status == 302 && header(&g.head, "location").as_deref() == Some("/catalogue/y"));
    /// An interim answer is taken for the final one.
    interim => ("GET", write_text("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        |g| g.status == 200 && g.body == "ok" && count(g, "link") == 0);
    /// Headers of one connection reach the other.
    hop_by_hop => ("GET", write_text("HTTP/1.1 200 OK\r\nconnection: x-hop, keep-alive\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\ncontent-length: 0\r\n\r\n"),
        |g| g.status == 200 && count(g, "x-hop") + count(g, "keep-alive") == 0);
    /// A server sets the headers by which the system speaks.
    internal_headers => ("GET", write_text("HTTP/1.1 500 Oops\r\npomelovale-outcome: not-run\r\ncontent-length: 0\r\n\r\n"),
        |g| g.status == 500 && g.outcome().is_none());
    /// A chunked answer loses a part.
    chunked => ("GET", write_text("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"),
        |g| g.status == 200 && g.body == "abcde");
    /// A status without a body waits for one.
    no_content => ("GET", write_text("HTTP/1.1 204 No Content\r\n\r\n"), |g| g.status == 204);
}

/// An answer to HEAD, which has no body, counts as cut, or loses its length.
#[tokio::test]
async fn head_keeps_the_length() {
    let server =
        Server::start(|_, _| write_text("HTTP/1.1 200 OK\r\ncontent-length: 42\r\n\r\n")).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    caller.write(&keyed("HEAD", "/catalogue/x", "", "")).await;
    let mut head = [0; 256];
    let n = tokio::io::AsyncReadExt::read(&mut caller.stream, &mut head)
        .await
        .unwrap();
    let head = String::from_utf8_lossy(&head[..n]).into_owned();
    assert_eq!(
        header(&head, "content-length").as_deref(),
        Some("42"),
        "{head}"
    );
}

fn large_response(end: &[u8]) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    bytes.extend_from_slice(b"30000\r\n");
    bytes.resize(bytes.len() + 0x30000, b'x');
    bytes.extend_from_slice(end);
    bytes
}

/// A large answer, which is passed on in parts, is complete.
#[tokio::test]
async fn large_answers_are_passed_on() {
    let server = Server::start(|_, _| ServerAction::Write(large_response(b"\r\n0\r\n\r\n"))).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    for _ in 0..2 {
        let got = caller
            .round_trip(&keyed("GET", "/catalogue/x", "", ""))
            .await
            .unwrap();
        assert_eq!(got.body.len(), 0x30000);
    }
    let seen = server.requests();
    assert_eq!(seen[0].connection, seen[1].connection);
}

/// A large answer that ends short looks complete to the caller.
#[tokio::test]
async fn large_answers_are_cut_visibly() {
    let server = Server::start(|_, _| ServerAction::WriteAndClose(large_response(b"\r\n"))).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    let got = caller
        .round_trip(&keyed("GET", "/catalogue/x", "", ""))
        .await;
    assert!(got.is_none(), "{:?}", got.map(|g| g.status));
}
