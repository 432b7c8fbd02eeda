//! A fleet of gateways behind narrow links, whose servers leave: requests that reach them later
//! than 3 s after the list has shown it, while the list is far away, nobody reads it, or a
//! gateway can't know.

mod control_kit;
mod entry_support;
mod gateway_support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use control_kit::{change, put_key, until, Cluster, Entry};
use entry_support::{ReceivedRequest, Server, ServerAction};
use gateway_support::{request, response, send_to, status};
use indexmap::IndexMap;
use pomelovale_state::command::{Applied, Command};
use pomelovale_state::document::{MemberState, Region};
use pomelovale_state::Name;
use pomelovaled::discovery::{self, FetchServers, ListedServer, ServerList};
use pomelovaled::gateway::config::GatewayConfig;
use pomelovaled::gateway::{Gateway, GatewayHandle};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Time after a server is listed as leaving within which requests may reach it.
const DRAIN: Duration = Duration::from_secs(3);
const DOMAINS: [&str; 3] = ["north-a", "north-b", "south-a"];
const SERVERS_EACH: usize = 4;
const GATEWAYS: usize = 20;
/// Rate of the link of a gateway, in bytes per second: 2 Mbit/s, and callers use some of it.
const LINK_RATE: u64 = 150_000;
/// Calls for the servers of a failure domain, one after another, as for those of a long list.
const CALLS_EACH: usize = 3;
/// Time between two servers that leave.
const LEAVE_PAUSE: Duration = Duration::from_millis(1_500);

#[derive(Debug, Default)]
struct Row {
    leaving: Option<Instant>,
    // Requests that reached it too late.
    late: usize,
}

/// The list, and what its servers have seen.
#[derive(Debug, Default)]
struct List {
    rows: Mutex<IndexMap<String, Row>>,
    listed: Mutex<Vec<ListedServer>>,
    // The next server to leave, which is listed so right after its domain was read.
    next: Mutex<Option<String>>,
    // Whether servers leave as soon as they are named in `next`.
    at_once: AtomicBool,
    // Whether servers that leave go on to answer requests as before.
    is_quiet: AtomicBool,
    // Control instances that can't read the list.
    cut: Mutex<Vec<usize>>,
}

impl List {
    fn leave(&self, name: &str) {
        match self.at_once.load(Ordering::SeqCst) {
            true => self.set_leaving(name),
            false => *self.next.lock().unwrap() = Some(name.to_owned()),
        }
    }

    fn set_leaving(&self, name: &str) {
        self.rows.lock().unwrap()[name].leaving = Some(Instant::now());
        let mut listed = self.listed.lock().unwrap();
        let row = listed.iter_mut().find(|s| s.name.as_str() == name);
        row.unwrap().leaving = true;
    }

    fn is_leaving(&self, name: &str) -> bool {
        self.rows.lock().unwrap()[name].leaving.is_some()
    }

    fn record_request(&self, name: &str) {
        let mut rows = self.rows.lock().unwrap();
        let row = &mut rows[name];
        let is_late = row.leaving.is_some_and(|at| at.elapsed() > DRAIN);
        row.late += usize::from(is_late);
    }

    fn late(&self) -> Vec<(String, usize)> {
        let rows = self.rows.lock().unwrap();
        let late = rows.iter().filter(|(_, row)| row.late > 0);
        late.map(|(name, row)| (name.clone(), row.late)).collect()
    }

    fn servers_of(&self, domain: Option<&Name>) -> Vec<ListedServer> {
        let listed = self.listed.lock().unwrap();
        let here = |s: &&ListedServer| domain.is_none_or(|d| s.domain == *d);
        listed.iter().filter(here).cloned().collect()
    }

    // Reads as control instance `n`; each call takes `call`.
    fn fetch(self: &Arc<List>, n: usize, call: Duration) -> FetchServers {
        let list = self.clone();
        Arc::new(move |domain| Box::pin(list.clone().read(n, call, domain)))
    }

    async fn read(
        self: Arc<List>,
        n: usize,
        call: Duration,
        domain: Option<Name>,
    ) -> Result<ServerList, String> {
        let calls = match domain {
            Some(_) => CALLS_EACH,
            None => CALLS_EACH * DOMAINS.len(),
        };
        if self.cut.lock().unwrap().contains(&n) {
            sleep(Duration::from_millis(800)).await;
            return Err("no answer".to_owned());
        }
        let servers = self.servers_of(domain.as_ref());
        let next = self.next.lock().unwrap().take_if(|next| {
            let is_read = |s: &ListedServer| s.name.as_str() == next;
            servers.iter().any(is_read)
        });
        next.iter().for_each(|name| self.set_leaving(name));
        sleep(call * calls as u32).await;
        Ok(ServerList { servers, calls })
    }
}

// A server says on its health path whether it stays, and mostly closes connections while it
// leaves.
async fn server(name: String, list: Arc<List>) -> Server {
    let script = move |seen: &ReceivedRequest, _: usize| {
        let leaves = list.is_leaving(&name);
        if seen.head.starts_with("GET /health ") {
            let status = if leaves {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            let headers = format!("pomelovale-backend: {name}\r\ncontent-length: 0");
            let answer = format!("HTTP/1.1 {status}\r\n{headers}\r\n\r\n");
            return ServerAction::Write(answer.into_bytes());
        }
        list.record_request(&name);
        let closes = leaves && !list.is_quiet.load(Ordering::SeqCst);
        let close = if closes { "connection: close\r\n" } else { "" };
        response("200 OK", &format!("pomelovale-proof: p\r\n{close}"), "fine")
    };
    Server::start(script).await
}

struct Fleet {
    cluster: Cluster,
    list: Arc<List>,
    entries: Vec<Entry>,
    gateways: Vec<GatewayHandle>,
    served: Arc<AtomicUsize>,
    // Number of other answers, by their bodies.
    refused: Arc<Mutex<IndexMap<String, usize>>>,
    // Tasks that read the list, one for each control instance.
    readers: Vec<JoinHandle<()>>,
    tasks: JoinSet<()>,
    _servers: Vec<Server>,
}

impl Fleet {
    /// Starts a fleet of which each control instance needs `call` for a call to the list.
    async fn start(call: Duration) -> Fleet {
        let list = Arc::new(List::default());
        let mut servers = Vec::new();
        for domain in DOMAINS {
            for n in 0..SERVERS_EACH {
                let name = format!("{domain}-{n}");
                list.rows
                    .lock()
                    .unwrap()
                    .insert(name.clone(), Row::default());
                let server = server(name.clone(), list.clone()).await;
                list.listed.lock().unwrap().push(ListedServer {
                    name: name.into(),
                    address: server.address,
                    service: "s".into(),
                    domain: domain.into(),
                    slots: 6,
                    leaving: false,
                    cold_ms: 0,
                });
                servers.push(server);
            }
        }
        let cluster = Cluster::start_limited(3, 0, Vec::new(), Default::default()).await;
        let leader = cluster.leader().await;
        propose_table(&cluster, leader).await;
        let mut fleet = Fleet {
            cluster,
            list,
            entries: Vec::new(),
            gateways: Vec::new(),
            served: Arc::default(),
            refused: Arc::default(),
            readers: Vec::new(),
            tasks: JoinSet::new(),
            _servers: servers,
        };
        for n in 0..3 {
            let control = fleet.cluster.servers[n].clone().unwrap();
            let clock = fleet.cluster.clocks[n].clone();
            let fetch = fleet.list.fetch(n, call);
            let reading = discovery::run(control, fetch, clock, 500);
            fleet.readers.push(tokio::spawn(reading));
        }
        for n in 0..GATEWAYS {
            fleet.add_gateway(n).await;
        }
        fleet
    }

    async fn add_gateway(&mut self, n: usize) {
        let name = format!("g{n}");
        let entry = self.cluster.entry(&name, n % 3).await;
        for control in self.cluster.names.clone() {
            let link = (entry.name.clone(), control);
            self.cluster.proxies[&link].limit_rate(LINK_RATE);
        }
        let config = GatewayConfig {
            instance: entry.name.clone(),
            region: "north".into(),
            domain: "north-a".into(),
            has_list: true,
            ..GatewayConfig::default()
        };
        let (view, handle) = (entry.view.clone(), entry.handle.clone());
        let gateway = Gateway::start(config, view, handle, entry.clock.clone()).await;
        let gateway = gateway.expect("the gateway starts");
        let all = SERVERS_EACH * DOMAINS.len();
        until("the servers are known", || {
            entry.view.is_proven() && entry.view.document().backends.len() == all
        })
        .await;
        let (address, served, refused) =
            (gateway.address(), self.served.clone(), self.refused.clone());
        self.tasks.spawn(async move {
            loop {
                let answer = send_to(address, &request("GET", "/open/x", "")).await;
                if status(&answer) == 200 {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
                    *refused.lock().unwrap().entry(body.to_owned()).or_default() += 1;
                }
                sleep(Duration::from_millis(60)).await;
            }
        });
        self.entries.push(entry);
        self.gateways.push(gateway);
    }

    /// Fills the links of the gateways with changes of 100 kB, one after another.
    fn fill_links(&mut self) {
        let control = self.cluster.servers[0].as_ref().unwrap().handle();
        self.tasks.spawn(async move {
            for n in 0.. {
                let key = |k: usize| put_key(&format!("k-{n}-{k}"), "w");
                let command = Command::Batch((0..2_000).map(key).collect());
                let put = change(&format!("fill-{n}"), command);
                let _ = control.propose(put).await;
                sleep(Duration::from_millis(1_500)).await;
            }
        });
    }

    /// Lets some servers of each domain leave, one after another, and waits until no request
    /// may reach the last one.
    async fn let_servers_leave(&self) {
        for n in 0..SERVERS_EACH / 2 {
            for domain in DOMAINS {
                self.list.leave(&format!("{domain}-{n}"));
                sleep(LEAVE_PAUSE).await;
            }
        }
        sleep(DRAIN + Duration::from_secs(2)).await;
        assert!(self.list.next.lock().unwrap().is_none(), "not listed");
    }

    async fn kill_leader(&mut self) {
        let leader = self.cluster.leader().await;
        let reader = &mut self.readers[leader];
        reader.abort();
        let _ = reader.await;
        self.cluster.kill(leader).await;
        assert!(self.cluster.servers[leader].is_none(), "still runs");
    }

    // Cuts all gateways off from all control instances.
    fn cut_gateways(&self) {
        for entry in &self.entries {
            for control in &self.cluster.names {
                let link = (entry.name.clone(), control.clone());
                self.cluster.proxies[&link].cut(true);
            }
        }
    }

    fn assert_drained(&self) {
        let late = self.list.late();
        assert!(late.is_empty(), "requests 3 s after the list: {late:?}");
    }

    // Forgets what was answered until now.
    fn clear_counts(&self) {
        self.served.store(0, Ordering::SeqCst);
        self.refused.lock().unwrap().clear();
    }

    fn assert_served(&self) {
        let served = self.served.load(Ordering::SeqCst);
        let refused = self.refused.lock().unwrap();
        let all: usize = refused.values().sum();
        assert!(served > 9 * all, "{served} served, refused: {refused:?}");
    }
}

async fn propose_table(cluster: &Cluster, leader: usize) {
    let routing = gateway_support::document(&[]).routing.unwrap();
    let region = |name: &str, domains: &[&str]| Command::PutRegion {
        name: name.into(),
        region: Region {
            domains: domains.iter().map(|d| Name::from(*d)).collect(),
        },
    };
    let regions = vec![
        region("north", &DOMAINS[..2]),
        region("south", &DOMAINS[2..]),
    ];
    let table = Command::ReplaceRouting {
        base: 0,
        routing,
        source: Arc::from(""),
    };
    for (name, command) in [("regions", Command::Batch(regions)), ("table", table)] {
        let applied = cluster.propose(leader, change(name, command)).await;
        assert!(matches!(applied, Applied::Accepted { .. }), "{applied:?}");
    }
}

/// Guards against a server that leaves right after its part of the list was read, by a leader
/// for which a read takes a second, while the links of gateways are full.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn servers_leave_while_the_list_is_far_away() {
    let mut fleet = Fleet::start(Duration::from_millis(350)).await;
    fleet.fill_links();
    fleet.let_servers_leave().await;
    fleet.assert_drained();
}

/// Guards against servers that leave while there is no leader, and a list that its successor
/// reads as if it had never been read.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn servers_leave_while_the_leader_falls() {
    let mut fleet = Fleet::start(Duration::from_millis(350)).await;
    fleet.fill_links();
    fleet.list.at_once.store(true, Ordering::SeqCst);
    fleet.list.leave("north-a-0");
    fleet.kill_leader().await;
    sleep(LEAVE_PAUSE).await;
    fleet.list.leave("north-b-0");
    sleep(LEAVE_PAUSE).await;
    fleet.list.leave("south-a-0");
    sleep(DRAIN + Duration::from_secs(2)).await;
    fleet.assert_drained();
}

/// Guards against servers that leave while the leader reads no list, although it leads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn servers_leave_while_the_leader_can_not_read_the_list() {
    let fleet = Fleet::start(Duration::from_millis(10)).await;
    let leader = fleet.cluster.leader().await;
    fleet.list.cut.lock().unwrap().push(leader);
    fleet.list.at_once.store(true, Ordering::SeqCst);
    fleet.let_servers_leave().await;
    fleet.assert_drained();
}

/// Guards against gateways that send by an old view for good, and against those that refuse
/// all callers then.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn servers_leave_while_gateways_are_cut_off_from_control_instances() {
    let fleet = Fleet::start(Duration::from_millis(10)).await;
    fleet.list.at_once.store(true, Ordering::SeqCst);
    fleet.cut_gateways();
    fleet.clear_counts();
    fleet.let_servers_leave().await;
    fleet.assert_drained();
    fleet.assert_served();
    let document = fleet.entries[0].view.document();
    let serving = document.backends.values();
    let serving = serving.filter(|b| b.state == MemberState::Serving).count();
    assert_eq!(serving, SERVERS_EACH * DOMAINS.len(), "the view is not old");
}

/// Guards against gateways that take answers to requests for a sign that a server stays.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn servers_leave_without_a_word_while_gateways_are_cut_off() {
    let fleet = Fleet::start(Duration::from_millis(10)).await;
    fleet.list.at_once.store(true, Ordering::SeqCst);
    fleet.list.is_quiet.store(true, Ordering::SeqCst);
    fleet.cut_gateways();
    fleet.clear_counts();
    fleet.let_servers_leave().await;
    fleet.assert_drained();
    fleet.assert_served();
}
