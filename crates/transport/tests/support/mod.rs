//! A server with a scripted handler, and callers that send raw requests.
#![allow(dead_code)]

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{header, Response};
use http_body_util::BodyExt;
use pomelovale_transport::body::CallerBody;
use pomelovale_transport::http_server::{Handler, Server, ServerLimits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Counts of requests that the handler runs or has run.
#[derive(Debug, Default)]
pub struct HandlerStats {
    pub running: AtomicUsize,
    pub max_running: AtomicUsize,
    pub ended: AtomicUsize,
}

struct RunningGuard(Arc<HandlerStats>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts a server with default limits.
pub async fn start_server() -> (Server, Arc<HandlerStats>) {
    start_with(ServerLimits::default()).await
}

/// Starts a server whose head and idle timeouts are `ms`.
pub async fn start_timed(ms: u64) -> (Server, Arc<HandlerStats>) {
    let limits = ServerLimits {
        head_ms: ms,
        idle_ms: ms,
        ..ServerLimits::default()
    };
    start_with(limits).await
}

/// Starts a server that answers `/DELAY/TEXT` after the delay, in milliseconds, with
/// the text and the request body. If the text is "close", it closes the connection.
pub async fn start_with(limits: ServerLimits) -> (Server, Arc<HandlerStats>) {
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
    let server = Server::start(listener, limits, handler).unwrap();
    (server, stats)
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

pub fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// A complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    /// Whether the response announces the close of the connection.
    pub fn closes(&self) -> bool {
        self.head.contains("\r\nconnection: close\r\n")
    }
}

/// Reads responses until `count` of them are complete or the connection ends.
pub async fn answers(stream: &mut TcpStream, count: usize) -> Vec<Answer> {
    let (mut held, mut answers) = (Vec::new(), Vec::new());
    let mut buffer = [0; 4_096];
    while answers.len() < count {
        let text = String::from_utf8_lossy(&held).into_owned();
        let head = text.find("\r\n\r\n").map(|n| n + 4);
        let length = text
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        if let (Some(head), Some(length)) = (head, length) {
            let end = head + length.parse::<usize>().unwrap();
            if held.len() >= end {
                answers.push(Answer {
                    status: text.split(' ').nth(1).unwrap().parse().unwrap(),
                    head: text[..head].to_owned(),
                    body: text[head..end].to_owned(),
                });
                held.drain(..end);
                continue;
            }
        }
        match timeout(Duration::from_secs(5), stream.read(&mut buffer)).await {
            Ok(Ok(0)) | Ok(Err(_)) | Err(_) => break,
            Ok(Ok(n)) => held.extend_from_slice(&buffer[..n]),
        }
    }
    answers
}

/// Reads responses as [`answers`] does and returns their bodies.
pub async fn bodies(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let answers = answers(stream, count).await;
    answers.into_iter().map(|a| a.body).collect()
}

pub async fn send(server: &Server, requests: &[String]) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let all = requests.concat();
    stream.write_all(all.as_bytes()).await.unwrap();
    stream
}
