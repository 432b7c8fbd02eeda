//! Backend servers that ask for rest, or say that they are leaving, behind several gateways.

mod entry_support;
mod gateway_support;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use entry_support::{header, ReceivedRequest, Server, ServerAction};
use gateway_support::{document, peers, send_to, status, Site, KEY};
use pomelovale_state::document::Document;
use tokio::task::JoinSet;
use tokio::time::sleep;

const GATEWAYS: usize = 3;
const SERVERS: usize = 4;
/// Rest that a server asks for, and the time after its answer from which it must have it.
const REST: (Duration, Duration) = (Duration::from_secs(2), Duration::from_millis(500));
/// Requests and probes that a gateway may still send to a resting server.
const TOLERATED: usize = 2;
/// Probes that a gateway without answers may send in a second to a server that has not asked
/// it for rest.
const PROBES: usize = 3;
/// Time after the first answer of a leaving server from which a gateway sends it nothing.
const LEFT: Duration = Duration::from_secs(1);

/// What a server says in its answers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum Mood {
    #[default]
    Works,
    /// Refuses requests, with these header lines.
    Refuses(String),
    Leaves,
}

/// Arrival of a request: from which gateway, and whether the server has refused it.
type Arrival = (Instant, String, bool);

struct Moody {
    server: Server,
    mood: Arc<Mutex<Mood>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Moody {
    async fn start() -> Moody {
        let mood = Arc::new(Mutex::new(Mood::default()));
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let (now, seen_by) = (mood.clone(), arrivals.clone());
        let server = Server::start(move |seen: &ReceivedRequest, _| {
            let mood = now.lock().unwrap().clone();
            let id = header(&seen.head, "pomelovale-request").unwrap_or_default();
            let gateway = id.split('-').next().unwrap_or_default().to_owned();
            let refused = matches!(mood, Mood::Refuses(_));
            let arrival = (Instant::now(), gateway, refused);
            seen_by.lock().unwrap().push(arrival);
            let proof = "pomelovale-proof: p\r\n";
            let (status, headers) = match mood {
                Mood::Works => ("200 OK", proof.to_owned()),
                Mood::Refuses(lines) => (
                    "503 Service Unavailable",
                    format!("pomelovale-shed: not-run\r\n{lines}"),
                ),
                Mood::Leaves => ("200 OK", format!("{proof}pomelovale-leaving: 1\r\n")),
            };
            let text = format!("HTTP/1.1 {status}\r\npomelovale-request: {id}\r\n{headers}content-length: 2\r\n\r\nok");
            ServerAction::WriteAfter(15, text.into_bytes())
        });
        Moody {
            server: server.await,
            mood,
            arrivals,
        }
    }

    fn set(&self, mood: Mood) {
        *self.mood.lock().unwrap() = mood;
    }

    fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// The most requests from one gateway within a rest that the server has asked it for.
    fn most_in_rest(&self) -> usize {
        let all = self.arrivals();
        let late = |(told, gateway, _): &Arrival| {
            let inside = |(at, from, _): &&Arrival| {
                from == gateway && *at > *told + REST.1 && *at < *told + REST.0
            };
            all.iter().filter(inside).count()
        };
        all.iter().filter(|a| a.2).map(late).max().unwrap_or(0)
    }

    /// Requests of gateways that came later than `LEFT` after the first one at `since`.
    fn after_leaving(&self, since: Instant) -> usize {
        let all = self.arrivals();
        let told = |gateway: &str| {
            let mut arrivals = all.iter();
            let first = arrivals.find(|(at, from, _)| *at > since && from == gateway);
            first.map(|(at, ..)| *at)
        };
        let late = all
            .iter()
            .filter(|(at, from, _)| told(from).is_some_and(|told| *at > told + LEFT));
        late.count()
    }
}

/// Gateways of one failure domain, the first of which selects the servers for all, and
/// callers that send requests through each.
struct Callers {
    sites: Vec<Site>,
    servers: Vec<Moody>,
    answers: Arc<Mutex<Vec<(Instant, u16, String)>>>,
    stopped: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    async fn start(edit: impl FnOnce(&mut Document)) -> Callers {
        let mut servers = Vec::new();
        for _ in 0..SERVERS {
            servers.push(Moody::start().await);
        }
        let all: Vec<&Server> = servers.iter().map(|s| &s.server).collect();
        let mut document = document(&all);
        edit(&mut document);
        let sites = peers(GATEWAYS, document).await;
        let (answers, stopped) = (Arc::default(), Arc::new(AtomicBool::new(false)));
        let mut tasks = JoinSet::new();
        for n in 0..GATEWAYS * 4 {
            let gateway = n % GATEWAYS;
            let address = sites[gateway].gateway.address();
            tasks.spawn(call(
                address,
                gateway,
                n,
                Arc::clone(&answers),
                stopped.clone(),
            ));
        }
        sleep(Duration::from_millis(300)).await;
        Callers {
            sites,
            servers,
            answers,
            stopped,
            tasks,
        }
    }

    async fn stop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        while self.tasks.join_next().await.is_some() {}
    }

    fn served_since(&self, since: Instant) -> f64 {
        let answers = self.answers.lock().unwrap();
        let recent: Vec<_> = answers.iter().filter(|(at, ..)| *at > since).collect();
        let served = recent
            .iter()
            .filter(|(_, status, _)| *status == 200)
            .count();
        served as f64 / recent.len().max(1) as f64
    }
}

async fn call(
    address: SocketAddr,
    gateway: usize,
    caller: usize,
    answers: Arc<Mutex<Vec<(Instant, u16, String)>>>,
    stopped: Arc<AtomicBool>,
) {
    for n in 0.. {
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        let request = format!(
            "GET /safe/{} HTTP/1.1\r\nhost: shop.example\r\npomelovale-request: g{gateway}-{caller}-{n}\r\n\
             authorization: Bearer {KEY}\r\n\r\n",
            n % 30
        );
        let at = Instant::now();
        let answer = send_to(address, &request).await;
        answers.lock().unwrap().push((at, status(&answer), answer));
        sleep(Duration::from_millis(15)).await;
    }
}

macro_rules! rests {
    ($($(#[$doc:meta])* $name:ident($lines:literal);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let mut callers = Callers::start(|_| {}).await;
            let start = Instant::now();
            callers.servers[0].set(Mood::Refuses($lines.to_owned()));
            sleep(REST.0 * 2).await;
            callers.servers[0].set(Mood::Works);
            let over = Instant::now();
            sleep(REST.0 + Duration::from_millis(1_500)).await;
            callers.stop().await;
            let most = callers.servers[0].most_in_rest();
            assert!(most <= TOLERATED, "{most} requests in a rest");
            // Rest is no failure: the others serve, and the server is used again.
            assert!(callers.served_since(start) >= 0.98, "{}", callers.served_since(start));
            let back = callers.servers[0].arrivals();
            assert!(back.iter().any(|(at, _, refused)| *at > over && !refused));
            for site in &callers.sites {
                assert!(!site.down.load(Ordering::SeqCst));
                assert!(site.view.document().crashes.is_empty());
            }
        })*
    };
}

rests! {
    /// Guards against a server that asked for rest and gets requests all the same, also
    /// through the gateway that selects servers for others.
    server_that_asks_for_rest_gets_it("retry-after: 2\r\n");
    /// Guards against a date that is not understood.
    server_that_rests_until_a_date_gets_it("date: Wed, 21 Oct 2015 07:28:00 GMT\r\nretry-after: Wed, 21 Oct 2015 07:28:02 GMT\r\n");
}

/// What has reached all servers.
struct Arrivals {
    requests: usize,
    probes: usize,
    /// Pairs of a gateway and a server that has not asked that gateway for rest itself.
    strangers: usize,
}

impl Callers {
    fn arrivals(&self) -> Arrivals {
        let (mut requests, mut probes, mut told) = (0, 0, HashSet::new());
        for (n, server) in self.servers.iter().enumerate() {
            for (_, gateway, refused) in server.arrivals() {
                match gateway.is_empty() {
                    true => probes += 1,
                    false => requests += 1,
                }
                if refused && !gateway.is_empty() {
                    told.insert((n, gateway));
                }
            }
        }
        Arrivals {
            requests,
            probes,
            strangers: GATEWAYS * SERVERS - told.len(),
        }
    }
}

/// Guards against requests that are tried or held although all servers rest, and against a
/// time that is not that of the earliest end.
#[tokio::test]
async fn request_is_refused_with_the_earliest_end_if_all_servers_rest() {
    let mut callers = Callers::start(|_| {}).await;
    let start = Instant::now();
    for (n, server) in callers.servers.iter().enumerate() {
        let seconds = if n == 0 { 4 } else { 9 };
        server.set(Mood::Refuses(format!("retry-after: {seconds}\r\n")));
    }
    // Until the gateways know of each rest.
    sleep(Duration::from_millis(1_500)).await;
    let told = callers.arrivals();
    let since = Instant::now();
    let told_ago = since.duration_since(start).as_secs_f64();
    sleep(Duration::from_secs(1)).await;
    callers.stop().await;
    let later = callers.arrivals();
    assert_eq!(told.requests, later.requests);
    let probes = later.probes - told.probes;
    assert!(probes <= told.strangers * PROBES, "{probes} probes");
    let answers = callers.answers.lock().unwrap();
    for (at, status, answer) in answers.iter().filter(|(at, ..)| *at > since) {
        assert_eq!(*status, 503, "{answer}");
        let after: f64 = header(answer, "retry-after").unwrap().parse().unwrap();
        let left = 4.0 - at.duration_since(since).as_secs_f64();
        assert!(
            after > left - told_ago - 0.1 && after < left,
            "{after} s, {left} s left"
        );
    }
}

/// Guards against a leaving server that gets requests until the list shows that it leaves.
#[tokio::test]
async fn server_that_says_it_leaves_gets_no_requests() {
    let mut callers = Callers::start(|_| {}).await;
    let start = Instant::now();
    callers.servers[0].set(Mood::Leaves);
    sleep(Duration::from_secs(4)).await;
    callers.stop().await;
    let late = callers.servers[0].after_leaving(start);
    assert_eq!(late, 0, "{late} requests after it said that it leaves");
    assert!(callers.served_since(start) >= 0.98);
}
