//! Large responses through a gateway: whole ones, ones that break off, and second copies.

mod entry_support;
mod gateway_support;

use entry_support::{Caller, ReceivedRequest, Server, ServerAction};
use gateway_support::{document, keyed, site, Site};

/// Size of a large response in bytes, above what a gateway buffers before it sends.
const LARGE: usize = 120_000;

const HEAD: &str = "HTTP/1.1 200 OK\r\npomelovale-request: q1\r\npomelovale-proof: p\r\n";

/// The response to a request with another identifier.
const NEXT: &str = "HTTP/1.1 200 OK\r\npomelovale-request: q2\r\npomelovale-proof: p\r\ncontent-length: 4\r\n\r\nfine";

async fn gateway(server: &Server) -> Site {
    site(Some(document(&[server]))).await
}

fn body(size: usize) -> String {
    (0..size)
        .map(|i| char::from(b'a' + (i % 23) as u8))
        .collect()
}

/// A response that announces `LARGE` bytes and has only the first `size`.
fn counted(size: usize) -> Vec<u8> {
    format!("{HEAD}content-length: {LARGE}\r\n\r\n{}", body(size)).into_bytes()
}

/// A chunked response without its last chunk, whose first chunk has `size` bytes.
fn unfinished_chunks(size: usize) -> Vec<u8> {
    let body = body(size);
    format!("{HEAD}transfer-encoding: chunked\r\n\r\n{size:x}\r\n{body}\r\n").into_bytes()
}

macro_rules! broken_responses {
    ($($(#[$doc:meta])* $name:ident($bytes:expr);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let server = Server::start(|_, _| ServerAction::WriteAndClose($bytes)).await;
            let site = gateway(&server).await;
            let mut caller = Caller::connect(site.gateway.address()).await;
            let answer = caller.round_trip(&keyed("GET", "/safe/x")).await;
            assert!(answer.is_none_or(|a| a.status >= 500), "it looks complete");
        })*
    };
}

broken_responses! {
    /// Guards against a response that breaks off after what is buffered, and looks complete.
    response_cut_after_the_buffer(counted(90_000));
    /// Guards against a response that breaks off before its last byte, and looks complete.
    response_cut_before_its_last_byte(counted(LARGE - 1));
    /// Guards against a response that breaks off within what is buffered, and looks complete.
    response_cut_within_the_buffer(counted(4_000));
    /// Guards against a chunked response without its end that looks complete.
    chunked_response_without_an_end(unfinished_chunks(90_000));
}

/// Guards against a large response that arrives with other bytes, or that is taken for
/// complete before its last part.
#[tokio::test]
async fn large_responses_on_a_kept_connection_are_whole() {
    let server = Server::start(|_, _| ServerAction::Write(counted(LARGE))).await;
    let site = gateway(&server).await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    for path in ["/safe/x", "/once/y", "/safe/z"] {
        let answer = caller.round_trip(&keyed("GET", path)).await;
        assert_eq!(answer.expect("a response").body, body(LARGE), "{path}");
    }
}

/// Guards against the second copy of a large response that is taken for the response to the
/// next request on the connection to the server.
#[tokio::test]
async fn second_copy_of_a_large_response_goes_to_no_caller() {
    let react = |seen: &ReceivedRequest, _: usize| match seen.head.contains("/safe/large") {
        true => ServerAction::WriteParts(vec![(0, counted(LARGE)), (150, counted(LARGE))]),
        false => ServerAction::Write(NEXT.into()),
    };
    let server = Server::start(react).await;
    let site = gateway(&server).await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    let first = caller.round_trip(&keyed("GET", "/safe/large")).await;
    assert_eq!(first.expect("a response").body, body(LARGE));
    for _ in 0..4 {
        let next = keyed("GET", "/safe/next").replace("request: q1", "request: q2");
        let next = caller.round_trip(&next).await.expect("a response");
        assert!(next.body == "fine" || next.status >= 500, "{}", next.status);
        tokio::time::sleep(std::time::Duration::from_millis(60)).await;
    }
}
