//! Requests to servers that report the pace of their machines.

mod entry_support;
mod gateway_support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use entry_support::{Server, ServerAction};
use gateway_support::{document, keyed, peers, response, send, status, Site};
use tokio::time::sleep;

/// Time that the first server takes for a long request, in milliseconds.
const LONG_MS: u64 = 1_200;
/// Time within which the second one must have answered it. A hedge is due after 200 ms, half of
/// the objective.
const HEDGED: Duration = Duration::from_millis(650);
/// Twice the objective, after which an attempt is abandoned for another one.
const ABANDONED: Duration = Duration::from_millis(800);
/// Time after the last figure by which servers don't count as reporting their pace.
const FORGOTTEN: Duration = Duration::from_millis(5_300);

struct Fleet {
    servers: Vec<Server>,
    sites: Vec<Site>,
    paced: Arc<AtomicBool>,
}

impl Fleet {
    /// Starts two servers that report their pace, of which the first one that gets a request for
    /// `long` does `action` with it, and two gateways that know both.
    async fn start(action: fn(Vec<u8>) -> ServerAction) -> Fleet {
        let paced = Arc::new(AtomicBool::new(true));
        let long = Arc::new(AtomicUsize::new(0));
        let mut servers = Vec::new();
        for _ in 0..2 {
            let (paced, long) = (paced.clone(), long.clone());
            let script = move |seen: &entry_support::ReceivedRequest, _| {
                let pace = match paced.load(Ordering::SeqCst) {
                    true => ",100",
                    false => "",
                };
                let headers = format!("pomelovale-proof: p\r\npomelovale-load: 0,0,6{pace}\r\n");
                let is_long = seen.head.contains("/long");
                match response("200 OK", &headers, "fine") {
                    ServerAction::Write(bytes)
                        if is_long && long.fetch_add(1, Ordering::SeqCst) == 0 =>
                    {
                        action(bytes)
                    }
                    other => other,
                }
            };
            servers.push(Server::start(script).await);
        }
        let all: Vec<&Server> = servers.iter().collect();
        let sites = peers(2, document(&all)).await;
        let fleet = Fleet {
            servers,
            sites,
            paced,
        };
        // Shows how long requests take, and that the servers report their pace.
        for _ in 0..30 {
            fleet.get("/safe/x").await;
        }
        fleet
    }

    async fn get(&self, path: &str) -> Duration {
        let start = Instant::now();
        // The other gateway is the coordinator.
        let answer = send(&self.sites[1], &keyed("GET", path)).await;
        assert_eq!(status(&answer), 200, "{answer}");
        start.elapsed()
    }

    fn long_requests(&self) -> Vec<usize> {
        let count = |server: &Server| {
            let seen = server.requests();
            seen.iter().filter(|r| r.head.contains("/long")).count()
        };
        let mut counts: Vec<usize> = self.servers.iter().map(count).collect();
        counts.sort_unstable();
        counts
    }
}

fn late(bytes: Vec<u8>) -> ServerAction {
    ServerAction::WriteAfter(LONG_MS, bytes)
}

/// Guards against a caller that waits for a slow server while another one is idle, and against a
/// coordinator that drops the connection over the message with the pace.
#[tokio::test]
async fn long_request_is_hedged() {
    for action in [late, |_| ServerAction::Silent] {
        let fleet = Fleet::start(action).await;
        let spent = fleet.get("/safe/long").await;
        assert!(spent < HEDGED, "{spent:?}");
        assert_eq!(fleet.long_requests(), [1, 1]);
    }
}

/// Guards against a second run of a request that may run at most once.
#[tokio::test]
async fn request_that_runs_once_is_not_hedged() {
    let fleet = Fleet::start(late).await;
    let spent = fleet.get("/once/long").await;
    assert!(spent >= Duration::from_millis(LONG_MS), "{spent:?}");
    assert_eq!(fleet.long_requests(), [0, 1]);
}

/// Guards against requests that are refused, or hedged as before, once the figures have stopped.
#[tokio::test]
async fn figures_that_stop_end_the_hedging() {
    let fleet = Fleet::start(late).await;
    fleet.paced.store(false, Ordering::SeqCst);
    fleet.get("/safe/x").await;
    sleep(FORGOTTEN).await;
    let spent = fleet.get("/safe/long").await;
    assert!(spent >= ABANDONED, "{spent:?}");
}
