//! Requests under which servers end whose ports stay open, sent through several gateways.

mod entry_support;
mod gateway_support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use entry_support::{PortAfterCrash, ReceivedRequest, Server, ServerAction};
use gateway_support::fleet::Fleet;
use gateway_support::{document, keyed, proven, send_to, status};
use pomelovale_state::command::QUARANTINE_CRASHES;
use pomelovale_state::document::MemberState;
use pomelovaled::gateway::config::GatewayConfig;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Time until a server is back after a crash.
const RESTART: Duration = Duration::from_millis(1_500);
/// Time for which the request is sent again and again, and the pause between two sends.
const RESENDS: (Duration, Duration) = (Duration::from_secs(10), Duration::from_millis(400));
/// Number of crashes under a request after which all instances must know of it, the time
/// that they have for that, and the number of later runs tolerated.
const CRASHES: (usize, Duration, usize) = (3, Duration::from_secs(4), 3);
/// Share of other requests that must be served meanwhile: as many as where ended servers
/// refuse connections.
const OTHERS_SERVED: f64 = 0.76;

/// When requests with `poison` in their path began to run.
type Runs = Arc<Mutex<Vec<Instant>>>;

/// Starts servers that end when they are sent a path with `poison`, after some work.
async fn start_servers(count: usize, port: PortAfterCrash) -> (Vec<Server>, Runs) {
    let runs = Runs::default();
    let mut servers = Vec::new();
    for _ in 0..count {
        let runs = runs.clone();
        let script = move |seen: &ReceivedRequest, _: usize| {
            if !seen.head.contains("poison") {
                return ServerAction::WriteAfter(10, answer());
            }
            runs.lock().unwrap().push(Instant::now());
            ServerAction::CrashAfter(30)
        };
        servers.push(Server::start_behind(port, script).await);
    }
    (servers, runs)
}

fn answer() -> Vec<u8> {
    match proven("200 OK", "fine") {
        ServerAction::Write(bytes) => bytes,
        other => panic!("{other:?}"),
    }
}

/// Sends other requests through a gateway, one after another, until `stopped` is set.
/// Returns how many were sent, and how many were served.
async fn send_others(
    address: std::net::SocketAddr,
    n: usize,
    stopped: Arc<AtomicBool>,
) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    while !stopped.load(Ordering::SeqCst) {
        let request = keyed("GET", &format!("/safe/other{n}-{}", sent % 7));
        let answer = send_to(address, &request).await;
        sent += 1;
        served += usize::from(status(&answer) == 200);
        sleep(Duration::from_millis(20)).await;
    }
    (sent, served)
}

/// Sends a request through each gateway in turn while other requests are served. Returns
/// the share of the others that were served.
async fn resend(fleet: &Fleet, request: &str) -> f64 {
    let stopped = Arc::new(AtomicBool::new(false));
    let mut others = JoinSet::new();
    for n in 0..12 {
        let address = fleet.gateways[n % fleet.gateways.len()].address();
        others.spawn(send_others(address, n, stopped.clone()));
    }
    sleep(Duration::from_millis(300)).await;
    let mut resends = JoinSet::new();
    let start = Instant::now();
    for n in 0.. {
        let address = fleet.gateways[n % fleet.gateways.len()].address();
        let request = request.to_owned();
        resends.spawn(async move { send_to(address, &request).await });
        sleep(RESENDS.1).await;
        if start.elapsed() >= RESENDS.0 {
            break;
        }
    }
    stopped.store(true, Ordering::SeqCst);
    let counts = others.join_all().await;
    let all: usize = counts.iter().map(|(sent, _)| sent).sum();
    let served: usize = counts.iter().map(|(_, served)| served).sum();
    served as f64 / all as f64
}

/// Number of runs later than the time after the third.
fn late_runs(runs: &Runs) -> usize {
    let runs = runs.lock().unwrap();
    let (known, time, _) = CRASHES;
    let third = runs.get(known - 1);
    let late = third.map(|third| runs.iter().filter(|at| at.duration_since(*third) > time));
    late.map_or(0, Iterator::count)
}

macro_rules! ports {
    ($($(#[$doc:meta])* $name:ident($method:literal, $path:literal, $gateways:literal, $port:expr);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (servers, runs) = start_servers(6, $port).await;
            let all: Vec<&Server> = servers.iter().collect();
            let fleet = Fleet::start($gateways, document(&all)).await;
            let served = resend(&fleet, &keyed($method, $path)).await;
            let late = late_runs(&runs);
            assert!(late <= CRASHES.2, "{late} runs came late");
            assert!(served >= OTHERS_SERVED, "{served:.2} of the others served");
        })*
    };
}

ports! {
    /// Guards against a lookup that ends servers behind a relay again and again.
    lookup_that_ends_servers_behind_a_relay("GET", "/safe/poison", 3, PortAfterCrash::Closes(RESTART));
    /// Guards against a booking that ends servers behind a relay again and again.
    booking_that_ends_servers_behind_a_relay("POST", "/once/poison", 3, PortAfterCrash::Closes(RESTART));
    /// Guards against a lookup under which servers fall silent again and again.
    lookup_under_which_servers_hang("GET", "/safe/poison", 3, PortAfterCrash::Hangs(RESTART));
    /// Guards against a booking under which servers fall silent again and again.
    booking_under_which_servers_hang("POST", "/once/poison", 3, PortAfterCrash::Hangs(RESTART));
}

/// Guards against an end that is taken for a single closed connection, since the server keeps
/// others open while it is silent.
#[tokio::test]
async fn server_that_closes_one_connection_and_hangs_has_ended() {
    let (servers, runs) = start_servers(3, PortAfterCrash::ClosesAndHangs(RESTART)).await;
    let all: Vec<&Server> = servers.iter().collect();
    let fleet = Fleet::start(1, document(&all)).await;
    let address = fleet.gateways[0].address();
    // Leaves several idle connections to each server.
    let mut others = JoinSet::new();
    for n in 0..24 {
        let request = keyed("GET", &format!("/safe/other{n}"));
        others.spawn(async move { send_to(address, &request).await });
    }
    others.join_all().await;
    let answer = send_to(address, &keyed("POST", "/once/poison")).await;
    assert_eq!(status(&answer), 502, "{answer}");
    sleep(RESTART + Duration::from_millis(500)).await;
    assert_eq!(runs.lock().unwrap().len(), 1);
    assert_eq!(fleet.document().crashes.len(), 1);
}

/// A gateway that tries quarantined requests after a short time.
async fn start_fleet(servers: &[Server], trial_ms: u64) -> Fleet {
    let all: Vec<&Server> = servers.iter().collect();
    let config = GatewayConfig {
        trial_ms,
        ..GatewayConfig::default()
    };
    Fleet::start_with(config, 1, document(&all)).await
}

/// Sends a request until it is quarantined, each time after the previous crash is recorded.
async fn quarantine(fleet: &Fleet, request: &str) {
    let recorded = || {
        let crashes = fleet.document().crashes;
        crashes.values().map(|r| r.crashed.len()).sum::<usize>()
    };
    for crashes in 1..=QUARANTINE_CRASHES {
        send_to(fleet.gateways[0].address(), request).await;
        while recorded() < crashes {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Guards against copies of a quarantined request that are let through while the end of the
/// server under the first one is not known yet.
#[tokio::test]
async fn one_copy_of_a_quarantined_request_is_tried_at_a_time() {
    let (servers, runs) = start_servers(6, PortAfterCrash::Hangs(RESTART)).await;
    let fleet = start_fleet(&servers, 1_000).await;
    let address = fleet.gateways[0].address();
    let request = keyed("POST", "/once/poison");
    quarantine(&fleet, &request).await;
    assert_eq!(status(&send_to(address, &request).await), 503);
    let before = runs.lock().unwrap().len();
    sleep(Duration::from_millis(1_500)).await;
    let mut copies = JoinSet::new();
    for _ in 0..5 {
        let request = request.clone();
        copies.spawn(async move { status(&send_to(address, &request).await) });
    }
    let statuses = copies.join_all().await;
    let tried = runs.lock().unwrap().len() - before;
    assert_eq!(tried, 1, "{statuses:?}");
}

/// Guards against a trial that falls due only after another request has asked for it.
#[tokio::test]
async fn quarantined_request_is_tried_when_its_trial_is_due() {
    let (servers, runs) = start_servers(6, PortAfterCrash::Hangs(RESTART)).await;
    let fleet = start_fleet(&servers, 500).await;
    let request = keyed("POST", "/once/poison");
    quarantine(&fleet, &request).await;
    let before = runs.lock().unwrap().len();
    sleep(Duration::from_millis(800)).await;
    let answer = send_to(fleet.gateways[0].address(), &request).await;
    assert_eq!(runs.lock().unwrap().len(), before + 1, "{answer}");
}

/// Guards against a trial that is used up by a copy of the request that reaches no server.
#[tokio::test]
async fn trial_that_was_not_sent_is_left_to_the_next_copy() {
    let (servers, runs) = start_servers(6, PortAfterCrash::Hangs(RESTART)).await;
    let fleet = start_fleet(&servers, 300).await;
    let address = fleet.gateways[0].address();
    let request = keyed("POST", "/once/poison");
    quarantine(&fleet, &request).await;
    let before = runs.lock().unwrap().len();
    let set_all = |state| {
        fleet.edit(|document| document.backends.values_mut().for_each(|b| b.state = state));
    };
    set_all(MemberState::Leaving);
    sleep(Duration::from_millis(500)).await;
    let refused = send_to(address, &request).await;
    assert!(refused.contains("overloaded"), "{refused}");
    set_all(MemberState::Serving);
    let answer = send_to(address, &request).await;
    assert_eq!(runs.lock().unwrap().len(), before + 1, "{answer}");
}
