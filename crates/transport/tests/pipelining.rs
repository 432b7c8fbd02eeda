//! Tests of pipelined requests.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{bodies, get, post, send, start_server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

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
