//! Responses of backend servers reach the caller complete, unchanged and for the right
//! request.

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

/// Sends a non-idempotent request to which the server reacts with `action`, and then
/// another one. Checks the status, and that the connection of a faulty response
/// is not reused.
async fn check_faulty(action: ServerAction, status: u16) {
    let faulty = action.clone();
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
    /// Guards against a body shorter than its Content-Length that is forwarded as
    /// complete.
    short_length => (ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort".to_vec()), 502);
    /// Guards against a body cut within a chunk that is forwarded as complete.
    cut_chunk => (ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nshort".to_vec()), 502);
    /// Guards against a body without its last chunk that is forwarded as complete.
    no_last_chunk => (ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n".to_vec()), 502);
    /// Guards against a body whose end is taken from the close of the connection.
    length_by_close => (ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\n\r\nshort".to_vec()), 502);
    /// Guards against a body with both framings, of which one is guessed.
    two_framings => (write_text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"), 502);
    /// Guards against two different lengths, of which one is guessed.
    two_lengths => (write_text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 4\r\n\r\nshort"), 502);
    /// Guards against forwarding a response that is not HTTP.
    not_http => (write_text("\0\0 hello\r\n\r\n"), 502);
    /// Guards against a fabricated response after a connection was closed without one.
    closed_without_response => (ServerAction::Close, 502);
    /// Guards against a fabricated response after a head that was cut.
    cut_head => (ServerAction::WriteAndClose(b"HTTP/1.1 200 OK\r\ncontent-".to_vec()), 502);
    /// Guards against forwarding the response of another request.
    foreign => (write_text("HTTP/1.1 200 OK\r\npomelovale-request: other\r\ncontent-length: 1\r\n\r\nx"), 502);
    /// Guards against forwarding a protocol switch that was not requested.
    unrequested_protocol_switch => (write_text("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n"), 502);
    /// Guards against a late response that is forwarded to the connection's next
    /// request.
    late_response => (ServerAction::WriteAfter(TWO_SECONDS_MS, ok_bytes("late")), 504);
    /// Guards against waiting for an unresponsive server beyond the deadline.
    silent => (ServerAction::Silent, 504);
    /// Guards against waiting for a stalled body beyond the deadline.
    stalled_body => (write_text("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort"), 504);
}

/// Sends an idempotent request to which the server reacts with `action`, and checks
/// the caller's response by `check`.
async fn check_forwarded(method: &str, action: ServerAction, check: fn(&ReceivedResponse) -> bool) {
    let server = Server::start(move |_, _| action.clone()).await;
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
    /// Guards against Set-Cookie headers that are joined or dropped.
    set_cookie_headers_are_kept => ("GET", write_text("HTTP/1.1 200 OK\r\nset-cookie: a=1\r\nset-cookie: a=2\r\ncontent-length: 0\r\n\r\n"),
        |g| count(g, "set-cookie: a=") == 2);
    /// Guards against following a redirect.
    redirect => ("GET", write_text("HTTP/1.1 302 Found\r\nlocation: /catalogue/y\r\ncontent-length: 0\r\n\r\n"),
        |g| g.status == 302 && header(&g.head, "location").as_deref() == Some("/catalogue/y"));
    /// Guards against an interim response that is taken for the final one.
    interim => ("GET", write_text("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        |g| g.status == 200 && g.body == "ok" && count(g, "link") == 0);
    /// Guards against hop-by-hop headers that are forwarded.
    hop_by_hop => ("GET", write_text("HTTP/1.1 200 OK\r\nconnection: x-hop, keep-alive\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\ncontent-length: 0\r\n\r\n"),
        |g| g.status == 200 && count(g, "x-hop") + count(g, "keep-alive") == 0);
    /// Guards against a server that sets headers reserved for the system.
    internal_headers => ("GET", write_text("HTTP/1.1 500 Oops\r\npomelovale-outcome: not-run\r\ncontent-length: 0\r\n\r\n"),
        |g| g.status == 500 && g.outcome().is_none());
    /// Guards against a chunked response that loses a chunk.
    chunked => ("GET", write_text("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"),
        |g| g.status == 200 && g.body == "abcde");
    /// Guards against waiting for a body after a status that has none.
    no_content => ("GET", write_text("HTTP/1.1 204 No Content\r\n\r\n"), |g| g.status == 204);
}

/// Guards against a response to HEAD, which has no body, that is treated as cut or
/// loses its Content-Length.
#[tokio::test]
async fn head_response_keeps_content_length() {
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

/// Guards against a large response, which is streamed, that arrives incomplete.
#[tokio::test]
async fn large_responses_are_streamed() {
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

/// Guards against a large response that is cut but looks complete to the caller.
#[tokio::test]
async fn truncated_large_responses_are_cut_visibly() {
    let server = Server::start(|_, _| ServerAction::WriteAndClose(large_response(b"\r\n"))).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    let got = caller
        .round_trip(&keyed("GET", "/catalogue/x", "", ""))
        .await;
    assert!(got.is_none(), "{:?}", got.map(|g| g.status));
}
