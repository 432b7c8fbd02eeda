//! Gateways that are partitioned from all backend servers, while callers, control instances
//! and other gateways still reach them.

mod entry_support;
mod gateway_support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use entry_support::way::{Way, Ways};
use entry_support::{header, Caller, ReceivedRequest, ReceivedResponse, Server, ServerAction};
use gateway_support::fleet::Fleet;
use gateway_support::{document, KEY};
use pomelovale_state::document::MemberState;
use pomelovaled::gateway::config::GatewayConfig;
use pomelovaled::gateway::directory;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const GATEWAYS: usize = 5;
const SERVERS: usize = 6;
/// Gateways that are cut off; the others are not.
const CUT: [usize; 2] = [0, 1];
/// Callers of each gateway.
const CALLERS: usize = 4;
/// Time for which callers send requests before a cut.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time from the start of a cut until it is known everywhere, and its whole duration.
const CUT_TIME: (Duration, Duration) = (Duration::from_millis(1_500), Duration::from_secs(5));
/// Time after the end of a cut until its effects must be gone, and for which requests are
/// counted after that.
const AFTER: (Duration, Duration) = (Duration::from_millis(2_500), Duration::from_secs(2));
/// Least share of first tries served at gateways that are cut off, and at the others.
const SERVED: (f64, f64) = (0.9, 0.95);
/// Time that callers wait for an answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// Where a request was sent, when, and what came back.
#[derive(Clone, Debug)]
struct Try {
    gateway: usize,
    at: Instant,
    status: u16,
    body: String,
}

struct Site {
    fleet: Fleet,
    ways: Vec<Ways>,
    servers: Vec<Server>,
    tries: Arc<Mutex<Vec<Try>>>,
    stopped: Arc<AtomicBool>,
    callers: JoinSet<()>,
}

fn answer(seen: &ReceivedRequest) -> ServerAction {
    let id = header(&seen.head, "pomelovale-request").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 200 OK\r\npomelovale-request: {id}\r\npomelovale-proof: p\r\ncontent-length: 4\r\n\r\nfine"
    );
    ServerAction::WriteAfter(15, text.into_bytes())
}

impl Site {
    async fn start(callers: usize) -> Site {
        let mut servers = Vec::new();
        for _ in 0..SERVERS {
            servers.push(Server::start(|seen, _| answer(seen)).await);
        }
        let mut ways = Vec::new();
        for _ in 0..GATEWAYS {
            ways.push(Ways::start(servers.iter().map(|s| s.address)).await);
        }
        let all: Vec<&Server> = servers.iter().collect();
        let addresses = ways.iter().map(|w| w.addresses.clone()).collect();
        let config = GatewayConfig::default();
        let fleet = Fleet::start_behind(config, addresses, document(&all)).await;
        let mut site = Site {
            fleet,
            ways,
            servers,
            tries: Arc::default(),
            stopped: Arc::default(),
            callers: JoinSet::new(),
        };
        let next = Arc::new(AtomicU64::new(0));
        for n in 0..GATEWAYS * callers {
            let gateway = n % GATEWAYS;
            let address = site.fleet.gateways[gateway].address();
            let (tries, stopped) = (site.tries.clone(), site.stopped.clone());
            let caller = call(gateway, address, next.clone(), tries, stopped);
            site.callers.spawn(caller);
        }
        sleep(WARM_UP).await;
        site
    }

    fn set(&self, way: Way) {
        CUT.iter().for_each(|n| self.ways[*n].set(way));
    }

    /// Tries at gateways in some period.
    fn tries(&self, from: Instant, to: Instant, of: impl Fn(usize) -> bool) -> Vec<Try> {
        let tries = self.tries.lock().unwrap();
        let found = tries
            .iter()
            .filter(|t| t.at >= from && t.at < to && of(t.gateway));
        found.cloned().collect()
    }

    /// Share of the requests that were served, and the number of those refused as quarantined.
    fn served(&self, from: Instant, to: Instant, of: impl Fn(usize) -> bool) -> (f64, usize) {
        let tries = self.tries(from, to, of);
        let served = tries.iter().filter(|t| t.status == 200).count();
        let quarantined = |t: &&Try| t.body.contains("quarantined");
        let share = served as f64 / tries.len().max(1) as f64;
        (share, tries.iter().filter(quarantined).count())
    }

    /// Addresses of gateways that the directory names.
    fn listed(&self) -> Vec<SocketAddr> {
        directory::addresses(&self.fleet.document(), "north", "x", 64)
    }

    /// Asserts that of all gateways those that are cut off are not listed.
    fn assert_cut_unlisted(&self, listed: &[SocketAddr]) {
        for n in 0..GATEWAYS {
            let is_listed = listed.contains(&self.fleet.gateways[n].address());
            assert_eq!(is_listed, !CUT.contains(&n), "gateway {n} in {listed:?}");
        }
    }

    /// Requests that ran more than once, by their identifiers.
    fn repeated_bookings(&self) -> Vec<String> {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for seen in self.servers.iter().flat_map(Server::requests) {
            if seen.head.starts_with("POST") {
                let id = header(&seen.head, "pomelovale-request").unwrap();
                *runs.entry(id).or_default() += 1;
            }
        }
        let repeated = runs.into_iter().filter(|(_, n)| *n > 1);
        repeated.map(|(id, _)| id).collect()
    }
}

/// Sends lookups and bookings over a connection that is kept open.
async fn call(
    gateway: usize,
    address: SocketAddr,
    next: Arc<AtomicU64>,
    tries: Arc<Mutex<Vec<Try>>>,
    stopped: Arc<AtomicBool>,
) {
    let mut open: Option<Caller> = None;
    while !stopped.load(Ordering::SeqCst) {
        let mut caller = match open.take() {
            Some(caller) => caller,
            None => Caller::connect(address).await,
        };
        let id = next.fetch_add(1, Ordering::SeqCst);
        let (method, path, body) = match id % 3 {
            0 => ("POST", "once", "content-length: 2\r\n\r\nhi"),
            _ => ("GET", "safe", "\r\n"),
        };
        let request = format!(
            "{method} /{path}/{id} HTTP/1.1\r\nhost: shop.example\r\npomelovale-request: q{id}\r\n\
             authorization: Bearer {KEY}\r\npomelovale-deadline-ms: 2000\r\n{body}"
        );
        let at = Instant::now();
        let answer = timeout(PATIENCE, caller.round_trip(&request)).await;
        let answer: Option<ReceivedResponse> = answer.ok().flatten();
        let closes = |a: &ReceivedResponse| header(&a.head, "connection").is_some();
        if answer.as_ref().is_some_and(|a| !closes(a)) {
            open = Some(caller);
        }
        tries.lock().unwrap().push(Try {
            gateway,
            at,
            status: answer.as_ref().map_or(0, |a| a.status),
            body: answer.map_or_else(String::new, |a| a.body),
        });
        sleep(Duration::from_millis(20)).await;
    }
}

async fn cut_off(way: Way, callers: usize) {
    let mut site = Site::start(callers).await;
    let is_cut = |n: usize| CUT.contains(&n);
    let start = Instant::now();
    site.set(way);
    sleep(CUT_TIME.0).await;
    let known = Instant::now();
    let listed = site.listed();
    sleep(CUT_TIME.1 - CUT_TIME.0).await;
    let document = site.fleet.document();
    let end = Instant::now();
    site.set(Way::Open);
    sleep(AFTER.0 + AFTER.1).await;
    let stop = Instant::now();
    site.stopped.store(true, Ordering::SeqCst);
    while site.callers.join_next().await.is_some() {}

    let at_cut = site.served(known, end, is_cut);
    let at_others = site.served(start, end, |n| !is_cut(n));
    let after = site.served(end + AFTER.0, stop, |_| true);
    let quarantined = site.served(start, stop, |_| true).1;
    let summary = format!("cut off {at_cut:?}, others {at_others:?}, afterwards {after:?}");
    assert!(at_cut.0 >= SERVED.0, "{summary}");
    assert!(at_others.0 >= SERVED.1, "{summary}");
    assert!(after.0 >= SERVED.1, "{summary}");
    assert_eq!(quarantined, 0, "{summary}");
    let mut states = document.backends.values();
    assert!(states.all(|b| b.state == MemberState::Serving), "{summary}");
    assert!(document.crashes.is_empty(), "{:?}", document.crashes);
    assert_eq!(site.repeated_bookings(), Vec::<String>::new());
    site.assert_cut_unlisted(&listed);
}

async fn cut_off_without_callers(way: Way) {
    let site = Site::start(0).await;
    site.set(way);
    sleep(CUT_TIME.0).await;
    site.assert_cut_unlisted(&site.listed());
}

macro_rules! partitions {
    ($($(#[$doc:meta])* $name:ident($way:expr, $callers:expr);)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread", worker_threads = 2)] async fn $name() {
            cut_off($way, $callers).await;
        })*
    };
}

partitions! {
    /// Guards against gateways that refuse all requests while their connections are reset.
    callers_of_gateways_with_reset_connections_are_served(Way::Resets, CALLERS);
    /// Guards against gateways that hold all requests while their connections hang.
    callers_of_gateways_with_hanging_connections_are_served(Way::Hangs, CALLERS);
    /// Guards against gateways that refuse all requests while no new connection is accepted.
    callers_of_gateways_with_refused_connections_are_served(Way::RefusesNew, CALLERS);
    /// Guards against gateways that stay listed until a request needs a new connection.
    gateways_whose_old_connections_suffice_are_not_listed(Way::RefusesNew, 1);
}

/// Guards against gateways that find out that they are cut off only by requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_gateways_with_hanging_connections_are_not_listed() {
    cut_off_without_callers(Way::Hangs).await;
}
