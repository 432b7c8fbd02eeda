//! A server with a scripted handler, and callers that send raw requests.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderName, Request, Response};
use http_body_util::{BodyExt, Full};
use pomelovale_transport::backend::{Connection, ExchangeError};
use pomelovale_transport::body::{CallerBody, Passing};
use pomelovale_transport::http_server::{Handler, Server, ServerLimits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Counts of requests that the handler runs or has run.
#[derive(Debug, Default)]
pub struct HandlerStats {
    pub running: AtomicUsize,
    pub max_running: AtomicUsize,
    pub started: AtomicUsize,
    /// Third parts of the paths, in the order in which requests were started.
    pub ids: Mutex<Vec<String>>,
    /// For each streamed answer that has ended, whether its connection can be reused.
    pub reusable: Mutex<Vec<bool>>,
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
/// the text and the request body. If the text is "close", it closes the connection; if
/// it is "panic" or "panic-at-once", the handler panics after the delay or in its call.
/// If it is "stream", "cut" or "panic-at-end", the answer is the text "stream" in two
/// parts 200 ms apart; "cut" breaks off after the first one, and the end of
/// "panic-at-end" panics. A third part of the path is sent back in the header "id".
pub async fn start_with(limits: ServerLimits) -> (Server, Arc<HandlerStats>) {
    let stats = Arc::new(HandlerStats::default());
    let counted = stats.clone();
    let backend = start_backend().await;
    let handler: Handler = Arc::new(move |request, _| {
        let stats = counted.clone();
        let running = stats.running.fetch_add(1, Ordering::SeqCst) + 1;
        stats.started.fetch_add(1, Ordering::SeqCst);
        let id = request.uri().path().split('/').nth(3).map(str::to_owned);
        stats.ids.lock().unwrap().extend(id.clone());
        stats.max_running.fetch_max(running, Ordering::SeqCst);
        let guard = RunningGuard(stats.clone());
        assert!(!request.uri().path().contains("/panic-at-once"));
        Box::pin(async move {
            let _running = guard;
            let path = request.uri().path().to_owned();
            let body = request.into_body().collect().await.unwrap().to_bytes();
            let mut parts = path.split('/').skip(1);
            let delay: u64 = parts.next().unwrap().parse().unwrap();
            let text = parts.next().unwrap();
            sleep(Duration::from_millis(delay)).await;
            assert!(text != "panic");
            stats.ended.fetch_add(1, Ordering::SeqCst);
            if let "cut" | "panic-at-end" | "stream" = text {
                return with_id(stream(backend, text, stats).await, id);
            }
            let all = [text.as_bytes(), &body].concat();
            let mut response = Response::new(CallerBody::Full(Bytes::from(all)));
            if text == "close" {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            with_id(response, id)
        })
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = Server::start(listener, limits, handler).unwrap();
    (server, stats)
}

fn with_id(mut response: Response<CallerBody>, id: Option<String>) -> Response<CallerBody> {
    if let Some(id) = id {
        response.headers_mut().insert("id", id.parse().unwrap());
    }
    response
}

// Starts a backend server that answers with a streamed body.
async fn start_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                let n = stream.read(&mut request).await.unwrap();
                let cuts = request[..n].starts_with(b"GET /cut ");
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n";
                stream.write_all(head.as_bytes()).await.unwrap();
                stream.write_all(b"str").await.unwrap();
                sleep(Duration::from_millis(200)).await;
                if !cuts && stream.write_all(b"eam").await.is_ok() {
                    // Keeps the connection open until the server closes it.
                    let _ = stream.read(&mut request).await;
                }
            });
        }
    });
    address
}

async fn stream(backend: SocketAddr, text: &str, stats: Arc<HandlerStats>) -> Response<CallerBody> {
    let limit = Duration::from_secs(5);
    let connection = Connection::open(backend, limit).await.unwrap();
    let request = Request::get(format!("/{text}")).header("host", "a");
    let request = request.body(Full::default()).unwrap();
    let name = HeaderName::from_static("id");
    let reply = connection.send(request, &name, b"", limit).await.unwrap();
    let panics = text == "panic-at-end";
    let on_end = Box::new(move |result: Result<Connection, ExchangeError>| {
        let reusable = result.is_ok_and(|mut c| c.is_usable());
        stats.reusable.lock().unwrap().push(reusable);
        assert!(!panics);
    });
    let deadline = tokio::time::Instant::now() + limit;
    let passing = Passing::new(Bytes::new(), reply.body, limit, deadline, false, on_end);
    Response::new(CallerBody::Stream(Box::new(passing)))
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// A request that asks for the close of the connection.
pub fn last(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: x, Close\r\n\r\n")
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
    /// Value of the header "id".
    pub fn id(&self) -> Option<&str> {
        self.head.lines().find_map(|l| l.strip_prefix("id: "))
    }

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
        if let Some((answer, end)) = parse(&held) {
            answers.push(answer);
            held.drain(..end);
            continue;
        }
        match timeout(Duration::from_secs(5), stream.read(&mut buffer)).await {
            Ok(Ok(0)) | Ok(Err(_)) | Err(_) => break,
            Ok(Ok(n)) => held.extend_from_slice(&buffer[..n]),
        }
    }
    answers
}

/// Reads all responses up to the end of the connection.
///
/// # Panics
/// The connection does not end within 5 s, is reset, or ends within a response.
pub async fn all_answers(stream: &mut TcpStream) -> Vec<Answer> {
    let (mut text, mut answers) = (Vec::new(), Vec::new());
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut text)).await;
    read.expect("an end within 5 s").expect("no reset");
    let mut rest = &text[..];
    while !rest.is_empty() {
        let (answer, end) = parse(rest).expect("a complete response");
        answers.push(answer);
        rest = &rest[end..];
    }
    answers
}

/// The first response and its length, if it is complete.
pub fn parse(bytes: &[u8]) -> Option<(Answer, usize)> {
    let text = String::from_utf8_lossy(bytes);
    let (head, rest) = text.split_at(text.find("\r\n\r\n")? + 4);
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let length = length.map_or(0, |l| l.parse::<usize>().unwrap());
    let answer = Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        head: head.to_owned(),
        body: rest.get(..length)?.to_owned(),
    };
    Some((answer, head.len() + length))
}

/// The bodies of responses, of which the last one must announce the close and no
/// other one may.
pub fn closed_bodies(answers: &[Answer]) -> Vec<&str> {
    let closes: Vec<bool> = answers.iter().map(Answer::closes).collect();
    let expected: Vec<bool> = (1..=answers.len()).map(|i| i == answers.len()).collect();
    assert_eq!(closes, expected, "{answers:#?}");
    answers.iter().map(|a| a.body.as_str()).collect()
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
