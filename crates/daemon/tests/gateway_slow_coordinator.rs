//! A gateway whose messages to the coordinator of its failure domain are delayed.

mod entry_support;
mod gateway_support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use entry_support::Server;
use gateway_support::{document, keyed, peers, proven, send, status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Requests after which the mean time to a reply shows the delay.
const FIRST_REQUESTS: u64 = 20;
/// Requests that are compared with the first ones.
const LATER_REQUESTS: u64 = 48;

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: Duration,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(n @ 1..) = from.read(&mut buffer).await {
        bytes.fetch_add(n as u64, Ordering::SeqCst);
        sleep(delay).await;
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}

/// Starts a proxy that delays both directions. Returns its address and the number of bytes
/// sent to `target`.
async fn slow_proxy(target: SocketAddr, delay: Duration) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicU64::new(0));
    let counted = sent.clone();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(target).await.unwrap();
            near.set_nodelay(true).unwrap();
            far.set_nodelay(true).unwrap();
            let ((near_read, near_write), (far_read, far_write)) =
                (near.into_split(), far.into_split());
            tokio::spawn(forward(near_read, far_write, delay, counted.clone()));
            tokio::spawn(forward(far_read, near_write, delay, Arc::default()));
        }
    });
    (address, sent)
}

// Bytes for each request that a gateway sends to a coordinator which is reached through a
// proxy with this delay: for the first requests, and for the later ones.
async fn bytes_per_request(delay_ms: u64) -> (u64, u64) {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let shown = document(&[&server]);
    let sites = peers(2, shown.clone()).await;
    let mut slow = (*sites[1].view.document()).clone();
    let coordinator = sites[0].gateway.peers();
    let mut instances = slow.instances.values_mut();
    let instance = instances.find(|i| i.peers == coordinator).unwrap();
    let delay = Duration::from_millis(delay_ms);
    let (proxy, sent) = slow_proxy(coordinator.unwrap(), delay).await;
    instance.peers = Some(proxy);
    slow.version += 1;
    sites[1].show(slow);
    // The maintenance task connects to the proxy.
    sleep(Duration::from_millis(700)).await;
    let mut counts = [0, 0];
    for (count, requests) in counts.iter_mut().zip([FIRST_REQUESTS, LATER_REQUESTS]) {
        let before = sent.load(Ordering::SeqCst);
        for _ in 0..requests {
            let answer = send(&sites[1], &keyed("GET", "/safe/x")).await;
            assert_eq!(status(&answer), 200, "{answer}");
        }
        *count = (sent.load(Ordering::SeqCst) - before) / requests;
    }
    (counts[0], counts[1])
}

/// Guards against requests that wait for a coordinator whose replies take longer than its
/// choice of a server gains.
#[tokio::test]
async fn slow_coordinator_is_asked_rarely() {
    let (first, later) = bytes_per_request(20).await;
    assert!(later * 3 < first, "{first} and {later} bytes a request");
}

/// Guards against a coordinator that is not asked although it replies at once.
#[tokio::test]
async fn fast_coordinator_is_always_asked() {
    let (first, later) = bytes_per_request(0).await;
    assert!(later * 3 > first * 2, "{first} and {later} bytes a request");
}
