//! Synchronizes the backend servers of the document with an external server list.
//!
//! Every control instance runs the task, but only the leader reads the list, so
//! that the rate of reads does not grow with the number of instances.

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
use crate::list_change::ListChange;

/// Maximum number of successive calls for the whole list. A list that takes more
/// is read by failure domain, all domains in parallel.
const SEQUENTIAL_CALLS_MAX: usize = 2;
/// Maximum number of connections to a server whose service is not in the routing
/// table.
const DEFAULT_CONNECTIONS: u32 = 256;

/// A backend server in the external list.
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
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Remaining time until it is warm, in milliseconds.
    pub cold_ms: u64,
}

/// The servers of the list, or of one failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerList {
    /// The servers that were read.
    pub servers: Vec<ListedServer>,
    /// Number of calls made to read them.
    pub calls: usize,
}

/// Result of a read: the servers, or the reason why the read failed.
pub type FetchFuture = Pin<Box<dyn Future<Output = Result<ServerList, String>> + Send>>;
/// Reads the servers of the given failure domain, or of all domains.
pub type FetchServers = Arc<dyn Fn(Option<Name>) -> FetchFuture + Send + Sync>;

/// What a read of the whole list has found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The servers that were read.
    pub servers: Vec<ListedServer>,
    /// Number of calls made to read them.
    pub calls: usize,
    /// Failure domains that could not be read, and why. Their servers are unknown.
    pub unread: Vec<(Name, String)>,
}

/// Reads the list, by failure domain in parallel if `by_domain` is set. The pages
/// of one list are read one after another and take a round trip each, which is
/// slow for a long list. A domain that can't be read does not hold back the others.
///
/// # Errors
/// Why nothing could be read.
pub async fn read(
    fetch: &FetchServers,
    domains: &[Name],
    by_domain: bool,
) -> Result<Listing, String> {
    if !by_domain {
        let ServerList { servers, calls } = fetch(None).await?;
        return Ok(Listing {
            servers,
            calls,
            unread: Vec::new(),
        });
    }
    let mut reads = JoinSet::new();
    for domain in domains {
        let part = fetch(Some(domain.clone()));
        let domain = domain.clone();
        reads.spawn(async move { (domain, part.await) });
    }
    let mut whole = Listing::default();
    while let Some(read) = reads.join_next().await {
        match read.map_err(|e| e.to_string())? {
            (_, Ok(part)) => {
                whole.servers.extend(part.servers);
                whole.calls += part.calls;
            }
            (domain, Err(cause)) => whole.unread.push((domain, cause)),
        }
    }
    match whole.unread.first() {
        Some((_, cause)) if whole.unread.len() == domains.len() => Err(cause.clone()),
        _ => Ok(whole),
    }
}

/// Duration of the steps from the list to the document, in milliseconds.
struct Steps {
    // Between the starts of two successive reads: the longest time for which a change of the
    // list can have waited for this one. `None` for the first read of a leader.
    wait_ms: Option<u64>,
    read_ms: u64,
    commit_ms: u64,
}

impl Steps {
    fn record_read(&self) {
        if let Some(wait_ms) = self.wait_ms {
            metrics::histogram!("server_list_wait_seconds").record(Millis(wait_ms).duration());
        }
        metrics::histogram!("server_list_read_seconds").record(Millis(self.read_ms).duration());
    }

    fn log(&self, version: u64, change: &ListChange, calls: usize) {
        let Steps {
            wait_ms,
            read_ms,
            commit_ms,
        } = *self;
        metrics::histogram!("server_list_commit_seconds").record(Millis(commit_ms).duration());
        let (closed, updated) = (change.closed.len(), change.updated);
        tracing::info!(
            event = "list-read",
            version,
            closed,
            updated,
            wait_ms,
            read_ms,
            commit_ms,
            calls,
            names = change.closed_names()
        );
    }
}

/// Applies changes of the list to the document until the task is aborted.
pub async fn run(control: Arc<ControlServer>, fetch: FetchServers, clock: Clock, pause_ms: u64) {
    let (mut reachable, mut by_domain) = (true, false);
    let mut unread: Vec<Name> = Vec::new();
    // When the last successful read began.
    let mut last_read: Option<Millis> = None;
    loop {
        // Reading a long list takes many calls, each of which has a cost, so it is
        // read half as often.
        let pause = if by_domain { 2 * pause_ms } else { pause_ms };
        tokio::time::sleep(Millis(pause).duration()).await;
        if control.status().role != "leader" || control.view().document().version == 0 {
            last_read = None;
            continue;
        }
        let start = clock.now();
        let document = control.view().document();
        let regions = document.regions.values();
        let domains: Vec<Name> = regions.flat_map(|r| r.domains.clone()).collect();
        let listed = match read(&fetch, &domains, by_domain).await {
            Ok(listing) => {
                by_domain |= listing.calls > SEQUENTIAL_CALLS_MAX;
                listing
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
        metrics::counter!("discovery_failures_total").increment(listed.unread.len() as u64);
        for (domain, cause) in &listed.unread {
            if !unread.contains(domain) {
                tracing::warn!(event = "dependency", name = "server list", up = false, %domain, cause);
            }
        }
        unread = listed.unread.iter().map(|(name, _)| name.clone()).collect();
        if !std::mem::replace(&mut reachable, true) {
            tracing::info!(event = "dependency", name = "server list", up = true);
        }
        let mut steps = Steps {
            wait_ms: last_read.map(|last| start.since(last)),
            read_ms: clock.now().since(start),
            commit_ms: 0,
        };
        steps.record_read();
        last_read = Some(start);
        // Another leader may have read a later list since.
        if control.stalls().any_since(start) || control.status().role != "leader" {
            continue;
        }
        let document = control.view().document();
        let commands = changes(&document, &listed);
        if commands.is_empty() {
            continue;
        }
        let change = Change {
            request: Name::from(format!("discovery-{:016x}", rand::random::<u64>())),
            sender: Name::from("discovery"),
            base: None,
            at: Millis(0),
            command: Command::Batch(commands),
        };
        let listed_change = ListChange::of(&change.command).unwrap_or_default();
        let proposed = clock.now();
        match control.handle().propose(change).await {
            Ok(Applied::Accepted { version, .. }) => {
                steps.commit_ms = clock.now().since(proposed);
                steps.log(version, &listed_change, listed.calls);
            }
            other => tracing::warn!(
                event = "discovery",
                "changes from the server list were not accepted: {other:?}"
            ),
        }
    }
}

/// Returns the commands that make the backend servers of the document equal to the
/// list. Servers of unknown services or failure domains are ignored, and those of
/// failure domains that were not read stay as they are.
pub fn changes(document: &Document, listed: &Listing) -> Vec<Command> {
    let is_read = |domain: &Name| listed.unread.iter().all(|(unread, _)| unread != domain);
    let wanted = listed.servers.iter().filter_map(|l| {
        let backend = backend(document, l)?;
        Some((&l.name, backend))
    });
    let wanted: IndexMap<&Name, Backend> = wanted.collect();
    let gone = document
        .backends
        .iter()
        .filter(|(n, b)| !wanted.contains_key(*n) && is_read(&b.domain));
    let removed = gone.map(|(name, _)| Command::RemoveBackend(name.clone()));
    let mut commands: Vec<Command> = removed.collect();
    for (name, backend) in wanted {
        let known = document.backends.get(name);
        let backend = match known.map(|k| k.state) {
            // Gateways report when an absent server is available again; the list
            // does not change this state.
            Some(MemberState::Away) if backend.state == MemberState::Serving => Backend {
                state: MemberState::Away,
                ..backend
            },
            _ => backend,
        };
        if known.is_none_or(|k| needs_update(k, &backend)) {
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

// The remaining cold time decreases continuously; only its start and its end count
// as a difference.
fn needs_update(known: &Backend, wanted: &Backend) -> bool {
    let cold = (known.cold_ms > 0) != (wanted.cold_ms > 0);
    let same = Backend {
        cold_ms: known.cold_ms,
        ..wanted.clone()
    };
    cold || *known != same
}
