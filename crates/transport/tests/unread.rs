//! Tests of the last response of a connection whose caller reads late, and of requests that
//! are complete and wait for their turn.

mod support;

use std::io::ErrorKind;
use std::time::Duration;

use pomelovale_transport::http_server::{Server, ServerLimits};
use support::{answers, get, post, send, start_server, start_with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

const ANSWER_BYTES: usize = 200_000;

async fn pause(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

async fn start_head(head_ms: u64) -> Server {
    let limits = ServerLimits {
        head_ms,
        ..ServerLimits::default()
    };
    start_with(limits).await.0
}

// Sends a request with a long answer on a connection with a small receive window.
async fn ask(server: &Server, path: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stream = socket.connect(server.address()).await.unwrap();
    let request = post(path, &"x".repeat(ANSWER_BYTES));
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

// Reads to the end. Returns the number of bytes, and the error if there is one.
async fn drain(stream: &mut TcpStream) -> (usize, Option<ErrorKind>) {
    let (mut buffer, mut total) = (vec![0; 65_536], 0);
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => return (total, None),
            Ok(n) => total += n,
            Err(e) => return (total, Some(e.kind())),
        }
    }
}

fn assert_whole((total, error): (usize, Option<ErrorKind>)) {
    assert!(
        total > ANSWER_BYTES && error.is_none(),
        "{total} bytes, {error:?}"
    );
}

/// Guards against a last response that is discarded because its caller has sent another
/// request and takes longer than the linger time to receive it.
#[tokio::test]
async fn late_request_does_not_reset_a_response_on_its_way() {
    let (server, _) = start_server().await;
    let mut stream = ask(&server, "/0/close").await;
    pause(100).await;
    stream.write_all(get("/0/b").as_bytes()).await.unwrap();
    pause(1_000).await;
    assert_whole(drain(&mut stream).await);
}

/// The same with a request that is sent after the linger time.
#[tokio::test]
async fn request_after_the_linger_time_does_not_reset_a_response_on_its_way() {
    let (server, _) = start_server().await;
    let mut stream = ask(&server, "/0/close").await;
    pause(1_000).await;
    stream.write_all(get("/0/b").as_bytes()).await.unwrap();
    pause(100).await;
    assert_whole(drain(&mut stream).await);
}

/// The same in a stop, more than the linger time after the response was written.
#[tokio::test]
async fn stop_does_not_reset_a_response_on_its_way() {
    let (server, _) = start_server().await;
    let mut stream = ask(&server, "/0/a").await;
    pause(700).await;
    tokio::spawn(server.stop());
    pause(50).await;
    stream.write_all(get("/0/b").as_bytes()).await.unwrap();
    pause(100).await;
    assert_whole(drain(&mut stream).await);
}

/// Guards against a head timeout for requests that have arrived and wait for their turn.
#[tokio::test]
async fn complete_requests_have_no_head_timeout() {
    let server = start_head(200).await;
    let requests = [
        get("/500/a"),
        post("/0/b", "x"),
        get("/0/c"),
        post("/0/d", "x"),
    ];
    let mut stream = send(&server, &requests).await;
    let got = answers(&mut stream, 4).await;
    let statuses: Vec<u16> = got.iter().map(|a| a.status).collect();
    assert_eq!(statuses, [200, 200, 200, 200], "{got:#?}");
}

/// The same behind a stream, where nothing is started.
#[tokio::test]
async fn complete_requests_behind_a_stream_have_no_head_timeout() {
    let server = start_head(100).await;
    let mut stream = send(&server, &[get("/0/stream")]).await;
    pause(50).await;
    let behind = [get("/0/b"), get("/50/c"), post("/0/d", "x")].concat();
    stream.write_all(behind.as_bytes()).await.unwrap();
    let got = answers(&mut stream, 4).await;
    assert_eq!(got.len(), 4, "{got:#?}");
}

/// Guards against requests that were started behind a stream and are lost as it breaks off.
#[tokio::test]
async fn requests_behind_a_broken_stream_are_answered() {
    let (server, stats) = start_server().await;
    let mut stream = send(&server, &[get("/200/cut"), get("/0/b"), get("/0/c")]).await;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    let text = String::from_utf8_lossy(&text).into_owned();
    let started = stats.started.load(std::sync::atomic::Ordering::SeqCst);
    let answered = text.matches("HTTP/1.1 200").count();
    assert_eq!((started, answered), (3, 3), "{text}");
}
