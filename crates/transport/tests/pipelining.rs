//! Tests of pipelined requests.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{header, Method, Response};
use http_body_util::BodyExt;
use pomelovale_transport::body::CallerBody;
use pomelovale_transport::http_server::{Handler, Server, ServerLimits};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Counts of requests that the handler runs or has run.
#[derive(Debug, Default)]
struct HandlerStats {
    running: AtomicUsize,
    max_running: AtomicUsize,
    ended: AtomicUsize,
}

struct RunningGuard(Arc<HandlerStats>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts a server that answers `/DELAY/TEXT` after the delay, in milliseconds, with
/// the text and the request body. If the text is "close", it closes the connection.
async fn start_server() -> (Server, Arc<HandlerStats>) {
    let stats = Arc::new(HandlerStats::default());
    let counted = stats.clone();
    let handler: Handler = Arc::new(move |request, _| {
        let stats = counted.clone();
        let running = stats.running.fetch_add(1, Ordering::SeqCst) + 1;
        stats.max_running.fetch_max(running, Ordering::SeqCst);
        Box::pin(async move {
            let _running = RunningGuard(stats.clone());
            let path = request.uri().path().to_owned();
            let body = request.into_body().collect().await.unwrap().to_bytes();
            let mut parts = path.split('/').skip(1);
            let delay: u64 = parts.next().unwrap().parse().unwrap();
            let text = parts.next().unwrap();
            sleep(Duration::from_millis(delay)).await;
            stats.ended.fetch_add(1, Ordering::SeqCst);
            let all = [text.as_bytes(), &body].concat();
            let mut response = Response::new(CallerBody::Full(Bytes::from(all)));
            if text == "close" {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        })
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = Server::start(listener, ServerLimits::default(), handler).unwrap();
    (server, stats)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Reads responses until `count` of them are complete or the connection ends, and
/// returns their bodies.
async fn bodies(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let (mut held, mut bodies) = (Vec::new(), Vec::new());
    let mut buffer = [0; 4_096];
    while bodies.len() < count {
        let text = String::from_utf8_lossy(&held).into_owned();
        let head = text.find("\r\n\r\n").map(|n| n + 4);
        let length = text
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        if let (Some(head), Some(length)) = (head, length) {
            let end = head + length.parse::<usize>().unwrap();
            if held.len() >= end {
                bodies.push(text[head..end].to_owned());
                held.drain(..end);
                continue;
            }
        }
        match timeout(Duration::from_secs(5), stream.read(&mut buffer)).await {
            Ok(Ok(0)) | Ok(Err(_)) | Err(_) => break,
            Ok(Ok(n)) => held.extend_from_slice(&buffer[..n]),
        }
    }
    bodies
}

async fn send(server: &Server, requests: &[String]) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let all = requests.concat();
    stream.write_all(all.as_bytes()).await.unwrap();
    stream
}

/// Guards against short requests that wait for the response to a long one, and
/// against responses out of order.
#[tokio::test]
async fn served_at_the_same_time_and_answered_in_order() {
    let (server, stats) = start_server().await;
    let start = Instant::now();
    let requests = [get("/300/a"), get("/300/b"), get("/0/c"), get("/300/d")];
    let mut stream = send(&server, &requests).await;
    assert_eq!(bodies(&mut stream, 4).await, ["a", "b", "c", "d"]);
    assert!(start.elapsed() < Duration::from_millis(800));
    assert_eq!(stats.max_running.load(Ordering::SeqCst), 4);
}

/// Guards against a request with an unsafe method that is executed out of order.
#[tokio::test]
async fn unsafe_methods_keep_their_order() {
    let (server, stats) = start_server().await;
    let requests = [
        post("/100/a", "1"),
        post("/0/b", "2"),
        get("/50/c"),
        get("/0/d"),
    ];
    let mut stream = send(&server, &requests).await;
    assert_eq!(bodies(&mut stream, 4).await, ["a1", "b2", "c", "d"]);
    assert!(stats.max_running.load(Ordering::SeqCst) <= 2);
}

/// Guards against requests that keep running after the caller has disconnected.
#[tokio::test]
async fn disconnect_cancels_all_requests() {
    let (server, stats) = start_server().await;
    let stream = send(&server, &[get("/2000/a"), get("/2000/b"), get("/2000/c")]).await;
    sleep(Duration::from_millis(100)).await;
    assert_eq!(stats.running.load(Ordering::SeqCst), 3);
    drop(stream);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(stats.running.load(Ordering::SeqCst), 0);
    assert_eq!(stats.ended.load(Ordering::SeqCst), 0);
}

macro_rules! closes {
    ($($(#[$doc:meta])* $name:ident: $requests:expr => $bodies:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (server, _) = start_server().await;
            let mut stream = send(&server, &$requests).await;
            assert_eq!(bodies(&mut stream, 9).await, $bodies);
        })*
    };
}

closes! {
    /// Guards against a response after one that announces the close of the
    /// connection: callers assume that the requests after it were not processed.
    first_answer_closes: [get("/50/close"), get("/0/b")] => ["close"];
    /// The same if the response that announces the close is to a pipelined request.
    second_answer_closes: [get("/50/a"), get("/0/close"), get("/0/c")] => ["a", "close"];
}

/// Guards against responses that are lost when the server stops while pipelined
/// requests are in progress.
#[tokio::test]
async fn stop_finishes_all() {
    let (server, stats) = start_server().await;
    let mut stream = send(&server, &[get("/20/a"), get("/400/b"), get("/500/c")]).await;
    assert_eq!(bodies(&mut stream, 1).await, ["a"]);
    let stop = tokio::spawn(server.stop());
    assert_eq!(bodies(&mut stream, 2).await, ["b", "c"]);
    stop.await.unwrap();
    assert_eq!(stats.ended.load(Ordering::SeqCst), 3);
}

/// Guards against a connection that stalls after more requests than are served at a
/// time, or after a body that is larger than the read-ahead limit.
#[tokio::test]
async fn many_requests_and_large_bodies_pass() {
    let (server, stats) = start_server().await;
    let mut requests: Vec<String> = (0..100).map(|i| get(&format!("/5/{i}"))).collect();
    let large = "x".repeat(300_000);
    requests.insert(50, post("/5/large", &large));
    let mut stream = send(&server, &requests).await;
    let answers = bodies(&mut stream, 101).await;
    assert_eq!(answers.len(), 101);
    assert_eq!(answers[50], format!("large{large}"));
    assert_eq!(answers[100], "99");
    assert!(stats.max_running.load(Ordering::SeqCst) <= 17);
}

/// Guards against responses that are out of order or lost when requests arrive in
/// random pieces and take random times.
#[tokio::test]
async fn random_splits_and_delays() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (server, _) = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let (mut wire, mut expected) = (Vec::new(), Vec::new());
        for i in 0..rng.random_range(2..20) {
            let path = format!("/{}/{i}", rng.random_range(0..8));
            match rng.random_range(0..5) {
                0 => {
                    wire.extend(post(&path, "body").into_bytes());
                    expected.push(format!("{i}body"));
                }
                _ => {
                    wire.extend(get(&path).into_bytes());
                    expected.push(i.to_string());
                }
            }
        }
        let (mut read, mut write) = stream.split();
        let _ = &mut read;
        let mut rest = &wire[..];
        while !rest.is_empty() {
            let n = rng.random_range(1..=rest.len().min(90));
            write.write_all(&rest[..n]).await.unwrap();
            rest = &rest[n..];
            sleep(Duration::from_millis(rng.random_range(0..3))).await;
        }
        assert_eq!(
            bodies(&mut stream, expected.len()).await,
            expected,
            "seed {seed}"
        );
    }
}

/// Guards against a pipelined HEAD request that is answered with a body.
#[tokio::test]
async fn head_has_no_body() {
    let (server, _) = start_server().await;
    let head = get("/0/b").replace("GET", Method::HEAD.as_str());
    let mut stream = send(&server, &[get("/30/a"), head, get("/0/c")]).await;
    let mut all = Vec::new();
    let mut buffer = [0; 4_096];
    while !String::from_utf8_lossy(&all).ends_with("\r\n\r\nc") {
        let n = timeout(Duration::from_secs(5), stream.read(&mut buffer)).await;
        let n = n.expect("an answer").unwrap();
        assert!(n > 0, "closed after {:?}", String::from_utf8_lossy(&all));
        all.extend_from_slice(&buffer[..n]);
    }
    assert_eq!(
        String::from_utf8_lossy(&all)
            .matches("HTTP/1.1 200")
            .count(),
        3
    );
}
