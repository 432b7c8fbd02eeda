//! Random mixes of requests and of ways in which connections end. Every request that
//! was started must be answered, in order and once.

mod support;

use std::collections::HashSet;
use std::future::Future;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use pomelovale_transport::http_server::{Server, ServerLimits, Timeouts, TimeoutsHandle};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{parse, start_with, Answer, HandlerStats};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpSocket;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Limit on the sizes of large bodies, which the answers repeat.
const LARGE_BYTES: usize = 100_000;
/// Receive buffers of callers in bytes, which the kernel doubles.
const BUFFER_BYTES: u32 = 4_096;
/// Number of mixes that run at the same time.
const PARALLEL: usize = 8;

async fn pause(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// One connection of a caller, and what it has sent and received.
#[derive(Debug)]
struct Exchange {
    requests: Vec<String>,
    received: Vec<u8>,
    // How the connection ended if not by the close of the server.
    error: Option<ErrorKind>,
}

fn request(rng: &mut SmallRng, id: &str) -> String {
    let delay = match rng.random_range(0..10) {
        0 => rng.random_range(100..400),
        _ => rng.random_range(0..30),
    };
    let text = match rng.random_range(0..60) {
        0..3 => "close",
        3..6 => "panic",
        6..8 => "panic-at-once",
        8..12 => "stream",
        12 => "cut",
        13 => "panic-at-end",
        _ => "a",
    };
    let line = format!("/{delay}/{text}/{id}");
    match rng.random_range(0..30) {
        0..4 => support::post(&line, "xyz"),
        // The answer is larger than a receive buffer.
        4 => support::post(&line, &"x".repeat(rng.random_range(1..LARGE_BYTES))),
        5 => format!("GET {line} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"),
        6 => format!("GET {line} HTTP/1.0\r\n\r\n"),
        7 => format!("GET {line} HTTP/1.0\r\nconnection: keep-alive\r\n\r\n"),
        _ => support::get(&line),
    }
}

// Sends requests in random pieces. A write fails once the server has closed the
// connection.
async fn write(
    mut stream: OwnedWriteHalf,
    mut rng: SmallRng,
    requests: Vec<String>,
) -> OwnedWriteHalf {
    let text = requests.concat();
    let mut rest = text.as_bytes();
    while !rest.is_empty() {
        let n = rng.random_range(1..=rest.len().min(400 + rest.len() / 8));
        if stream.write_all(&rest[..n]).await.is_err() {
            break;
        }
        rest = &rest[n..];
        match rng.random_range(0..20) {
            0 => pause(rng.random_range(50..300)).await,
            1..8 => pause(rng.random_range(0..15)).await,
            _ => {}
        }
    }
    stream
}

// Reads to the end, with random pauses, one of which may be longer than the time for which
// an idle connection lingers.
async fn read(mut stream: OwnedReadHalf, mut rng: SmallRng) -> (Vec<u8>, Option<ErrorKind>) {
    let (mut received, mut buffer) = (Vec::new(), [0; 4_096]);
    let long = rng.random_range(0..40);
    for i in 0.. {
        match rng.random_range(0..10) {
            _ if i == long => pause(rng.random_range(300..1_000)).await,
            0 => pause(rng.random_range(0..30)).await,
            _ => {}
        }
        match stream.read(&mut buffer).await {
            Ok(0) => break,
            Ok(n) => received.extend_from_slice(&buffer[..n]),
            Err(e) => return (received, Some(e.kind())),
        }
    }
    (received, None)
}

async fn exchange(
    server: std::net::SocketAddr,
    mut rng: SmallRng,
    name: String,
) -> Option<Exchange> {
    pause(rng.random_range(0..100)).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(BUFFER_BYTES).unwrap();
    let stream = socket.connect(server).await.ok()?;
    let requests: Vec<String> = (0..rng.random_range(1..40))
        .map(|i| request(&mut rng, &format!("{name}-{i}")))
        .collect();
    let (reader, writer) = stream.into_split();
    let pauses = SmallRng::seed_from_u64(rng.random());
    let writing = tokio::spawn(write(writer, rng, requests.clone()));
    let (received, error) = bounded("the end of a connection", read(reader, pauses)).await;
    drop(bounded("the end of the writes", writing).await);
    Some(Exchange {
        requests,
        received,
        error,
    })
}

async fn bounded<T>(what: &str, future: impl Future<Output = T>) -> T {
    let result = timeout(Duration::from_secs(20), future).await;
    result.unwrap_or_else(|_| panic!("{what} within 20 s"))
}

// Changes the timeouts at random until it is cancelled.
async fn change(timeouts: TimeoutsHandle, mut rng: SmallRng) {
    loop {
        pause(rng.random_range(10..200)).await;
        timeouts.set(Timeouts {
            head_ms: rng.random_range(20..300),
            idle_ms: rng.random_range(20..300),
        });
    }
}

fn id(request: &str) -> &str {
    let path = request.split(' ').nth(1).unwrap();
    path.rsplit('/').next().unwrap()
}

// The complete responses, and whether there is a part of another one.
fn answers(mut bytes: &[u8]) -> (Vec<Answer>, bool) {
    let mut answers = Vec::new();
    while let Some((answer, end)) = parse(bytes) {
        answers.push(answer);
        bytes = &bytes[end..];
    }
    (answers, !bytes.is_empty())
}

fn check(exchange: &Exchange, started: &HashSet<String>) -> Result<(), String> {
    let (answers, cut) = answers(&exchange.received);
    if let Some(error) = exchange.error {
        return Err(format!("{error:?} after {} answers", answers.len()));
    }
    if answers.len() > exchange.requests.len() {
        return Err("more answers than requests".into());
    }
    for (i, answer) in answers.iter().enumerate() {
        let request = &exchange.requests[i];
        let ran = started.contains(id(request));
        match (answer.status, answer.id()) {
            (200, Some(got)) if got == id(request) && ran => {}
            (500 | 502, None) if ran => {}
            (408 | 503, None) if !ran && answer.closes() => {}
            other => {
                return Err(format!(
                    "answer {i} to {request:?}: {other:?}, started: {ran}"
                ))
            }
        }
        if answer.closes() && (cut || i + 1 < answers.len()) {
            return Err(format!(
                "more follows answer {i}, which announces the close"
            ));
        }
    }
    let left = exchange.requests.iter().skip(answers.len());
    let left: Vec<&str> = left
        .map(|r| id(r))
        .filter(|i| started.contains(*i))
        .collect();
    // A stream that breaks off ends the connection. It may do so before the first
    // byte of its response was written.
    let broken =
        exchange.requests[answers.len().min(exchange.requests.len() - 1)].contains("/cut/");
    match broken || (left.is_empty() && !cut) {
        true => Ok(()),
        false => Err(format!("without an answer: {left:?}, part of one: {cut}")),
    }
}

async fn run_seed(seed: u64) -> (usize, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let limits = ServerLimits {
        connections: rng.random_range(2..8),
        head_ms: rng.random_range(50..500),
        idle_ms: rng.random_range(50..500),
        ..ServerLimits::default()
    };
    let (server, stats): (Server, Arc<HandlerStats>) = start_with(limits).await;
    let mut changes = JoinSet::new();
    changes.spawn(change(
        server.timeouts(),
        SmallRng::seed_from_u64(rng.random()),
    ));
    let mut callers = JoinSet::new();
    for i in 0..rng.random_range(1..8) {
        let rng = SmallRng::seed_from_u64(rng.random());
        callers.spawn(exchange(server.address(), rng, format!("{seed}-{i}")));
    }
    pause(rng.random_range(50..800)).await;
    bounded("a stop", server.stop()).await;
    let ids = stats.ids.lock().unwrap().clone();
    let started: HashSet<String> = ids.iter().cloned().collect();
    assert_eq!(ids.len(), started.len(), "seed {seed}: started twice");
    let mut answered = 0;
    for exchange in callers.join_all().await.into_iter().flatten() {
        if let Err(e) = check(&exchange, &started) {
            let text = String::from_utf8_lossy(&exchange.received);
            panic!("seed {seed}: {e}\n{}\n{text}", exchange.requests.concat());
        }
        answered += answers(&exchange.received).0.len();
    }
    (started.len(), answered)
}

/// Guards against requests that are started and not answered, answered twice or out of
/// order, whatever ends their connection. `RANDOM_ENDS_SEEDS=FROM-TO` runs other seeds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn started_requests_are_answered() {
    let seeds = std::env::var("RANDOM_ENDS_SEEDS").unwrap_or("0-39".to_owned());
    let (from, to) = seeds.split_once('-').expect("FROM-TO");
    let (from, to): (u64, u64) = (from.parse().unwrap(), to.parse().unwrap());
    let (mut running, mut sums) = (JoinSet::new(), (0, 0));
    for seed in from..=to {
        if running.len() == PARALLEL {
            let (started, answered) = running.join_next().await.unwrap().unwrap();
            sums = (sums.0 + started, sums.1 + answered);
        }
        running.spawn(run_seed(seed));
    }
    while let Some(result) = running.join_next().await {
        let (started, answered) = result.unwrap();
        sums = (sums.0 + started, sums.1 + answered);
    }
    println!("{} requests started, {} answers", sums.0, sums.1);
    assert!(sums.0 > 0);
}
