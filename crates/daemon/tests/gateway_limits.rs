//! Backend servers that name a limit for the requests of all gateways together.

mod entry_support;
mod gateway_support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use entry_support::{ReceivedRequest, Server, ServerAction};
use gateway_support::fleet::Fleet;
use gateway_support::{document, keyed, response, send_to, status};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Requests a second that a limited server names.
const LIMIT: f64 = 3.9;
/// Window in which requests are counted, the factor by which they may exceed the limit,
/// and the requests tolerated on top of that.
const WINDOW: (Duration, f64, f64) = (Duration::from_secs(4), 1.5, 5.0);
/// Time from which requests count after a limit is first named, as all gateways have
/// learned of it.
const TOLD: Duration = Duration::from_millis(500);
/// Time after which a limit that is named is in force everywhere.
const NAMED: Duration = Duration::from_secs(4);
/// Share of its limit that a server must get, if there are enough requests.
const USED: f64 = 0.8;
/// Time after the end of a limit within which a server must get its usual load.
const ENDED: Duration = Duration::from_secs(8);

/// How a server answers probes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeAnswer {
    /// Like requests, so that the answer can't be assigned to the probe.
    Unassigned,
    /// As a server that stays.
    Stays,
    /// As a server that may leave.
    Closes,
}

/// A server and what it names in its answers.
struct Limited {
    server: Server,
    named: Arc<Mutex<Option<String>>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Limited {
    async fn start(number: usize, probe_answer: ProbeAnswer) -> Limited {
        let (named, arrivals) = (Arc::new(Mutex::new(None)), Arc::new(Mutex::new(Vec::new())));
        let (limits, arrived) = (named.clone(), arrivals.clone());
        let server = Server::start(move |seen: &ReceivedRequest, n| {
            arrived.lock().unwrap().push(Instant::now());
            let is_probe = seen.head.starts_with("GET /health ");
            // Some answers to requests don't name the limit.
            let limit: Option<String> = limits.lock().unwrap().clone();
            let limit = limit.filter(|_| is_probe || n % 3 != 1);
            let header = limit.map_or_else(String::new, |l| format!("pomelovale-limit: {l}\r\n"));
            let close = match probe_answer {
                ProbeAnswer::Closes => "connection: close\r\n",
                ProbeAnswer::Stays | ProbeAnswer::Unassigned => "",
            };
            if is_probe && probe_answer != ProbeAnswer::Unassigned {
                let name = format!("pomelovale-backend: b{number}\r\n");
                let headers = format!("{name}{header}{close}content-length: 0");
                return ServerAction::Write(format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n").into());
            }
            let headers = format!("pomelovale-proof: p\r\n{header}");
            // Long and short requests, so that answers come out of order.
            let work_ms = if seen.head.contains("-0 ") { 250 } else { 20 };
            match response("200 OK", &headers, "fine") {
                ServerAction::Write(bytes) => ServerAction::WriteAfter(work_ms, bytes),
                other => other,
            }
        });
        Limited {
            server: server.await,
            named,
            arrivals,
        }
    }

    fn name(&self, limit: Option<&str>) {
        *self.named.lock().unwrap() = limit.map(str::to_owned);
    }

    fn arrived(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| (from..to).contains(at)).count()
    }

    /// The most requests in any window since a moment.
    fn most(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let recent: Vec<Instant> = arrivals
            .iter()
            .filter(|at| **at >= since)
            .copied()
            .collect();
        let count = |from: &Instant| {
            let inside = |at: &&Instant| **at >= *from && at.duration_since(*from) < WINDOW.0;
            recent.iter().filter(inside).count()
        };
        recent.iter().map(count).max().unwrap_or(0)
    }
}

async fn start_servers() -> Vec<Limited> {
    start_servers_with(ProbeAnswer::Unassigned).await
}

async fn start_servers_with(probe_answer: ProbeAnswer) -> Vec<Limited> {
    let mut servers = Vec::new();
    for number in 0..6 {
        servers.push(Limited::start(number, probe_answer).await);
    }
    servers
}

async fn start_fleet(servers: &[Limited], gateways: usize) -> Fleet {
    let all: Vec<&Server> = servers.iter().map(|s| &s.server).collect();
    Fleet::start(gateways, document(&all)).await
}

/// Callers that send requests through all gateways until they are stopped.
struct Callers {
    stopped: Arc<AtomicBool>,
    tasks: JoinSet<(usize, usize)>,
}

impl Callers {
    fn start(fleet: &Fleet, count: usize) -> Callers {
        let stopped = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for n in 0..count {
            let address = fleet.gateways[n % fleet.gateways.len()].address();
            tasks.spawn(call(address, n, stopped.clone()));
        }
        Callers { stopped, tasks }
    }

    /// Returns the share of requests that were served.
    async fn stop(self) -> f64 {
        self.stopped.store(true, Ordering::SeqCst);
        let counts = self.tasks.join_all().await;
        let sent: usize = counts.iter().map(|(sent, _)| sent).sum();
        let served: usize = counts.iter().map(|(_, served)| served).sum();
        served as f64 / sent as f64
    }
}

async fn call(address: SocketAddr, n: usize, stopped: Arc<AtomicBool>) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    while !stopped.load(Ordering::SeqCst) {
        let request = keyed("GET", &format!("/safe/{n}-{}", sent % 20));
        let answer = send_to(address, &request).await;
        sent += 1;
        served += usize::from(status(&answer) == 200);
        sleep(Duration::from_millis(60)).await;
    }
    (sent, served)
}

fn allowed(limit: f64) -> usize {
    let (window, factor, slack) = WINDOW;
    (limit * window.as_secs_f64() * factor + slack) as usize
}

/// Guards against a limited server that gets its usual load, from each gateway or from all.
#[tokio::test]
async fn limited_servers_get_what_they_name_from_all_gateways_together() {
    let servers = start_servers().await;
    let fleet = start_fleet(&servers, 4).await;
    let callers = Callers::start(&fleet, 24);
    sleep(Duration::from_secs(1)).await;
    let named = Instant::now();
    servers[..2].iter().for_each(|s| s.name(Some("3.9")));
    sleep(Duration::from_secs(12)).await;
    let served = callers.stop().await;
    for server in &servers[..2] {
        let most = server.most(named + TOLD);
        assert!(
            most <= allowed(LIMIT),
            "{most} requests, {} allowed",
            allowed(LIMIT)
        );
        let steady = server.arrived(named + NAMED, named + NAMED + Duration::from_secs(8));
        let least = LIMIT * 8.0 * USED;
        assert!(steady as f64 >= least, "{steady} requests of {least}");
    }
    assert!(served > 0.99, "{served} served");
}

/// Guards against a limit that is kept after its end by gateways that send nothing to the
/// server.
#[tokio::test]
async fn server_gets_its_usual_load_after_the_limit_has_ended() {
    let servers = start_servers().await;
    let fleet = start_fleet(&servers, 4).await;
    let callers = Callers::start(&fleet, 24);
    servers[..2].iter().for_each(|s| s.name(Some("0.5")));
    sleep(NAMED + Duration::from_secs(1)).await;
    servers[..2].iter().for_each(|s| s.name(None));
    let ended = Instant::now();
    sleep(ENDED + Duration::from_secs(3)).await;
    callers.stop().await;
    let from = ended + ENDED;
    let load = |s: &Limited| s.arrived(from, from + Duration::from_secs(3));
    let others: usize = servers[2..].iter().map(load).sum();
    for server in &servers[..2] {
        let got = load(server);
        assert!(
            got * 4 * 2 >= others,
            "{got} requests, the others {others} in all"
        );
    }
}

/// Guards against a gateway that is cut off and uses more than its part, and against one
/// that joins with a burst.
#[tokio::test]
async fn limit_is_kept_while_a_gateway_is_cut_off_and_another_one_joins() {
    cut_off_and_add_gateways(start_servers().await).await;
}

/// The same with servers that show that they stay.
#[tokio::test]
async fn limit_is_kept_while_a_gateway_is_cut_off_and_probes_servers() {
    let servers = start_servers_with(ProbeAnswer::Stays).await;
    cut_off_and_add_gateways(servers).await;
}

macro_rules! named_to_probes {
    ($($(#[$doc:meta])* $name:ident($value:literal, $limit:expr, $cut_ms:literal);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let servers = start_servers_with(ProbeAnswer::Closes).await;
            let fleet = start_fleet(&servers, 4).await;
            sleep(Duration::from_millis($cut_ms)).await;
            (0..4).for_each(|n| fleet.cut_off(n));
            let callers = Callers::start(&fleet, 12);
            sleep(Duration::from_secs(4)).await;
            servers[0].name(Some($value));
            let named = Instant::now();
            sleep(Duration::from_secs(7)).await;
            callers.stop().await;
            let most = servers[0].most(named + TOLD * 2);
            assert!(most <= allowed($limit), "{most} requests");
            let unlimited = servers[1].most(named + TOLD * 2);
            assert!(unlimited > allowed($limit), "{unlimited} requests");
        })*
    };
}

named_to_probes! {
    /// Guards against a limit that is named to probes only, and exceeded by them.
    limit_that_is_named_to_probes_is_kept("3.9", LIMIT, 1_000);
    /// The same with gateways that know of no other one.
    low_limit_that_is_named_to_probes_is_kept("0.6", 0.6, 0);
}

async fn cut_off_and_add_gateways(servers: Vec<Limited>) {
    let mut fleet = start_fleet(&servers, 4).await;
    let callers = Callers::start(&fleet, 24);
    sleep(Duration::from_secs(1)).await;
    fleet.cut_off(0);
    let named = Instant::now();
    servers[0].name(Some("3.9"));
    sleep(Duration::from_secs(6)).await;
    fleet.add_gateway().await;
    let joined = Callers::start(&fleet, 10);
    sleep(Duration::from_secs(5)).await;
    callers.stop().await;
    joined.stop().await;
    let most = servers[0].most(named + TOLD);
    assert!(most <= allowed(LIMIT), "{most} requests");
}

macro_rules! values {
    ($($(#[$doc:meta])* $name:ident($value:literal, $limit:expr);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let servers = start_servers().await;
            let fleet = start_fleet(&servers, 2).await;
            let callers = Callers::start(&fleet, 12);
            servers[0].name(Some($value));
            let named = Instant::now();
            sleep(NAMED + Duration::from_secs(5)).await;
            let served = callers.stop().await;
            let most = servers[0].most(named + TOLD);
            let limit: Option<f64> = $limit;
            match limit {
                Some(limit) => assert!(most <= allowed(limit), "{most} requests"),
                None => assert!(most > allowed(LIMIT), "{most} requests"),
            }
            assert!(served > 0.99, "{served} served");
        })*
    };
}

values! {
    /// Guards against a limit of zero that stops nothing, or that is never checked again.
    limit_of_zero("0", Some(0.0));
    /// Guards against a limit below one request a second that is rounded.
    limit_below_one("0.6", Some(0.6));
    /// Guards against a limit that is not a number but stops a server.
    limit_that_is_no_number("fast", None);
    /// Guards against a negative limit that stops a server.
    limit_below_zero("-3.9", None);
    /// Guards against a number that overflows.
    limit_that_is_huge("1e300", None);
    /// Guards against a limit that is not finite.
    limit_that_is_not_finite("NaN", None);
}
