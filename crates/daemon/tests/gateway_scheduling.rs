//! Gateways that order the requests of a service.

mod entry_support;
mod gateway_support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use entry_support::{Server, ServerAction};
use gateway_support::{
    document, keyed, peers_with, proven, response, send_to, start_with, status, Site,
};
use pomelovale_state::document::Document;
use pomelovaled::gateway::config::GatewayConfig;
use tokio::task::JoinSet;
use tokio::time::sleep;

const REQUESTS: usize = 6;
/// Requests that the server may have in flight: one more than its slots for 2 of them.
const PLACES: usize = 3;

fn ordered(config: &mut GatewayConfig) {
    config.scheduling = true;
}

// A server with 2 slots, and requests that have time to wait.
fn patient(server: &Server, attempts: u32) -> Document {
    let mut shown = document(&[server]);
    shown.backends[0].slots = 2;
    let routing = Arc::make_mut(shown.routing.as_mut().unwrap());
    for route in routing.hosts[0].iter_mut() {
        (route.objective_ms, route.timeout_ms) = (3_000, 6_000);
        route.attempts = attempts;
    }
    shown
}

async fn slow_server(ms: u64) -> (Server, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let seen = count.clone();
    let server = Server::start(move |_, _| {
        seen.fetch_add(1, Ordering::SeqCst);
        match proven("200 OK", "fine") {
            ServerAction::Write(bytes) => ServerAction::WriteAfter(ms, bytes),
            other => other,
        }
    });
    (server.await, count)
}

fn send_all(site: &Site) -> JoinSet<String> {
    let address = site.gateway.address();
    let mut all = JoinSet::new();
    for i in 0..REQUESTS {
        let request = keyed("POST", &format!("/once/{i}"));
        all.spawn(async move { send_to(address, &request).await });
    }
    all
}

// Sends requests one after the other, by which the work of a request becomes known.
async fn warm_up(site: &Site) {
    for i in 0..4 {
        let request = keyed("POST", &format!("/once/{i}"));
        let answer = send_to(site.gateway.address(), &request).await;
        assert_eq!(status(&answer), 200, "{answer}");
    }
}

async fn statuses(all: JoinSet<String>) -> Vec<u16> {
    let answers = all.join_all().await;
    answers.iter().map(|a| status(a)).collect()
}

/// Guards against servers that get more requests than they have places, and against requests
/// that are rejected by a coordinator although they can wait.
#[tokio::test]
async fn requests_wait_at_the_coordinator() {
    let (server, count) = slow_server(300).await;
    let sites = peers_with(2, patient(&server, 2), ordered).await;
    warm_up(&sites[1]).await;
    count.store(0, Ordering::SeqCst);
    let all = send_all(&sites[1]);
    sleep(Duration::from_millis(200)).await;
    assert_eq!(count.load(Ordering::SeqCst), PLACES);
    assert_eq!(statuses(all).await, [200; REQUESTS]);
    assert_eq!(count.load(Ordering::SeqCst), REQUESTS);
}

/// Guards against requests that are lost or run twice when the coordinator at which they wait
/// dies.
#[tokio::test]
async fn requests_outlive_the_coordinator_they_wait_at() {
    let (server, count) = slow_server(300).await;
    let mut sites = peers_with(2, patient(&server, 2), ordered).await;
    warm_up(&sites[1]).await;
    count.store(0, Ordering::SeqCst);
    let all = send_all(&sites[1]);
    sleep(Duration::from_millis(150)).await;
    assert_eq!(count.load(Ordering::SeqCst), PLACES);
    drop(sites.remove(0));
    assert_eq!(statuses(all).await, [200; REQUESTS]);
    assert_eq!(count.load(Ordering::SeqCst), REQUESTS);
}

/// Guards against a place that stays taken after its caller has left the queue.
#[tokio::test]
async fn callers_that_leave_free_their_places() {
    let (server, count) = slow_server(200).await;
    let site = start_with("g0", None, ordered).await;
    site.show(patient(&server, 2));
    warm_up(&site).await;
    count.store(0, Ordering::SeqCst);
    let mut left = send_all(&site);
    sleep(Duration::from_millis(100)).await;
    left.shutdown().await;
    sleep(Duration::from_millis(400)).await;
    let before = count.load(Ordering::SeqCst);
    assert_eq!(before, PLACES);
    assert_eq!(statuses(send_all(&site)).await, [200; REQUESTS]);
}

async fn retry_after(scheduling: bool, load: &str) -> f64 {
    let headers = format!("pomelovale-shed: 1\r\npomelovale-load: {load}\r\n");
    let server = Server::start(move |_, _| response("503 Service Unavailable", &headers, ""));
    let server = server.await;
    let site = start_with("g0", None, |config| config.scheduling = scheduling).await;
    site.show(patient(&server, 1));
    let answer = send_to(site.gateway.address(), &keyed("GET", "/safe/x")).await;
    assert_eq!(status(&answer), 503, "{answer}");
    let mut lines = answer.lines().filter_map(|l| l.split_once(": "));
    let delay = lines.find(|(n, _)| n.eq_ignore_ascii_case("retry-after"));
    delay.unwrap().1.parse().unwrap()
}

/// Guards against callers that wait for a second although the next server has capacity.
#[tokio::test]
async fn request_shed_by_a_server_with_slots_may_return_soon() {
    let delay = retry_after(true, "3,0,9").await;
    assert!((0.06..=0.12).contains(&delay), "{delay}");
    assert_eq!(retry_after(true, "9,27,9").await, 1.0);
    assert_eq!(retry_after(false, "3,0,9").await, 1.0);
}
