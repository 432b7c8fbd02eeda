//! Keeps the backend servers of the document in step with an outside list.
//!
//! Every control instance runs it, and the leader alone reads the list, so that
//! the rate of reads does not grow with the number of instances.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use indexmap::IndexMap;
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::document::{Backend, Document, MemberState};
use pomelovale_state::{Clock, Millis, Name};
use tokio::task::JoinSet;

use crate::control::ControlServer;

/// Calls in a row that a list may take before its failure domains are read one
/// by one.
const SEQUENTIAL_CALLS_MAX: usize = 2;
/// Connections to a server whose service names no number.
const DEFAULT_CONNECTIONS: u32 = 256;

/// A backend server as the list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Its name.
    pub name: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Service it belongs to.
    pub service: Name,
    /// Failure domain it runs in.
    pub domain: Name,
    /// Requests it can run at a time.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Time that it stays cold, in milliseconds.
    pub cold_ms: u64,
}

/// A part of the list, read in a number of calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerList {
    /// The servers in it.
    pub servers: Vec<ListedServer>,
    /// Calls that it took.
    pub calls: usize,
}

/// A part of the list, or why it can't be had.
pub type FetchFuture = Pin<Box<dyn Future<Output = Result<ServerList, String>> + Send>>;
/// Reads the servers of one failure domain, or of all.
pub type FetchServers = Arc<dyn Fn(Option<Name>) -> FetchFuture + Send + Sync>;

/// Reads the list. The pages of a long list follow each other, and each takes a
/// round trip; its failure domains are read at the same time.
async fn read(
    fetch: &FetchServers,
    domains: &[Name],
    by_domain: bool,
) -> Result<ServerList, String> {
    if !by_domain {
        return fetch(None).await;
    }
    let mut reads = JoinSet::new();
    for domain in domains {
        reads.spawn(fetch(Some(domain.clone())));
    }
    let mut whole = ServerList::default();
    while let Some(read) = reads.join_next().await {
        let part = read.map_err(|e| e.to_string())??;
        whole.servers.extend(part.servers);
        whole.calls += part.calls;
    }
    Ok(whole)
}

/// Follows the list until the task is aborted.
pub async fn run(control: Arc<ControlServer>, fetch: FetchServers, clock: Clock, pause_ms: u64) {
    let (mut reachable, mut by_domain) = (true, false);
    loop {
        // Each read of a long list takes many calls, which have a price.
        let pause = if by_domain { 2 * pause_ms } else { pause_ms };
        tokio::time::sleep(Millis(pause).duration()).await;
        if control.status().role != "leader" || control.view().document().version == 0 {
            continue;
        }
        let start = clock.now();
        let document = control.view().document();
        let regions = document.regions.values();
        let domains: Vec<Name> = regions.flat_map(|r| r.domains.clone()).collect();
        let listed = match read(&fetch, &domains, by_domain).await {
            Ok(part) => {
                by_domain |= part.calls > SEQUENTIAL_CALLS_MAX;
                part.servers
            }
            Err(cause) => {
                metrics::counter!("discovery_failures_total").increment(1);
                if std::mem::replace(&mut reachable, false) {
                    tracing::warn!(
                        event = "dependency",
                        name = "server list",
                        up = false,
                        cause
                    );
                }
                continue;
            }
        };
        if !std::mem::replace(&mut reachable, true) {
            tracing::info!(event = "dependency", name = "server list", up = true);
        }
        let document = control.view().document();
        let commands = changes(&document, &listed);
        if commands.is_empty() {
            continue;
        }
        for command in &commands {
            tracing::info!(
                event = "discovery",
                age_ms = clock.now().since(start),
                "{command:?}"
            );
        }
        let change = Change {
            request: Name::from(format!("discovery-{:016x}", rand::random::<u64>())),
            sender: Name::from("discovery"),
            base: None,
            at: Millis(0),
            command: Command::Batch(commands),
        };
        match control.handle().propose(change).await {
            Ok(Applied::Accepted { .. }) => {}
            other => tracing::warn!(event = "discovery", "not recorded: {other:?}"),
        }
    }
}

/// The commands that make the document's backend servers those of the list.
/// Servers of unknown services or failure domains are left out.
pub fn changes(document: &Document, listed: &[ListedServer]) -> Vec<Command> {
    let wanted = listed.iter().filter_map(|l| {
        let backend = backend(document, l)?;
        Some((&l.name, backend))
    });
    let wanted: IndexMap<&Name, Backend> = wanted.collect();
    let removed = document
        .backends
        .keys()
        .filter(|n| !wanted.contains_key(*n));
    let mut commands: Vec<Command> = removed.cloned().map(Command::RemoveBackend).collect();
    for (name, backend) in wanted {
        let known = document.backends.get(name);
        let backend = match known.map(|k| k.state) {
            // Gateways tell when it is back.
            Some(MemberState::Away) if backend.state == MemberState::Serving => Backend {
                state: MemberState::Away,
                ..backend
            },
            _ => backend,
        };
        if known.is_none_or(|k| differs(k, &backend)) {
            commands.push(Command::PutBackend {
                name: name.clone(),
                backend,
            });
        }
    }
    commands
}

fn backend(document: &Document, listed: &ListedServer) -> Option<Backend> {
    let mut regions = document.regions.iter();
    let (region, _) = regions.find(|(_, r)| r.domains.contains(&listed.domain))?;
    let known = document.services.contains_key(&listed.service) && listed.name.is_valid();
    let routing = document.routing.as_ref();
    let routed = routing.and_then(|r| r.services.get(&listed.service));
    known.then(|| Backend {
        address: listed.address,
        service: listed.service.clone(),
        region: region.clone(),
        domain: listed.domain.clone(),
        slots: listed.slots.max(1),
        connections: routed.map_or(DEFAULT_CONNECTIONS, |s| s.connections.max(1)),
        cold_ms: listed.cold_ms,
        state: match listed.leaving {
            true => MemberState::Leaving,
            false => MemberState::Serving,
        },
    })
}

// The time left until a server is warm falls by itself; only its begin and its
// end are changes.
fn differs(known: &Backend, wanted: &Backend) -> bool {
    let cold = (known.cold_ms > 0) != (wanted.cold_ms > 0);
    let same = Backend {
        cold_ms: known.cold_ms,
        ..wanted.clone()
    };
    cold || *known != same
}
