//! Synchronizes the backend servers of the document with an external server list.
//!
//! Every control instance runs the task. The leader reads the list and proposes what has
//! changed. Others read it only while they hear of no read, so that the rate of reads does not
//! grow with the number of instances; they propose nothing, but tell all which servers leave.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use indexmap::IndexMap;
use pomelovale_coordination::server_list::{ReadSchedule, Reader};
use pomelovale_protocol::log::ReplicaId;
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::document::{Backend, Document, MemberState};
use pomelovale_state::{Clock, Millis, Name};
use tokio::task::{JoinHandle, JoinSet};

use crate::control::{ControlServer, ControlStatus};
use crate::list_change::ListChange;

/// Maximum number of successive calls for the whole list. A list that takes more
/// is read by failure domain, all domains in parallel.
const SEQUENTIAL_CALLS_MAX: usize = 2;
/// Factor of the interval between reads of a long list: each call has a cost.
const LONG_INTERVAL: u64 = 2;
/// Servers in the document from which the list is expected to take more.
const LONG_LIST: usize = 100;
/// Longest time between two checks whether a read is due, in milliseconds.
const CHECK_MS: u64 = 100;
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
/// slow for a long list. A domain that can't be read does not hold back the others:
/// `on_part` is called with each part as soon as it was read.
///
/// # Errors
/// Why nothing could be read.
pub async fn read(
    fetch: &FetchServers,
    domains: &[Name],
    by_domain: bool,
    on_part: impl Fn(&[ListedServer]),
) -> Result<Listing, String> {
    if !by_domain {
        let ServerList { servers, calls } = fetch(None).await?;
        on_part(&servers);
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
                on_part(&part.servers);
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

/// Names of the servers that leave.
fn leaving(servers: &[ListedServer]) -> Vec<Name> {
    let leaving = servers.iter().filter(|s| s.leaving);
    leaving.map(|s| s.name.clone()).collect()
}

/// Duration of the steps from the list to the document, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Steps {
    // Between the starts of two successive reads: the longest time for which a change of the
    // list can have waited for this one. `None` for the first read of a leader.
    wait_ms: Option<u64>,
    read_ms: u64,
    calls: usize,
}

impl Steps {
    fn record_read(&self) {
        if let Some(wait_ms) = self.wait_ms {
            metrics::histogram!("server_list_wait_seconds").record(Millis(wait_ms).duration());
        }
        metrics::histogram!("server_list_read_seconds").record(Millis(self.read_ms).duration());
    }

    fn log(&self, version: u64, change: &ListChange, commit_ms: u64) {
        let Steps {
            wait_ms,
            read_ms,
            calls,
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

// Place of this instance among those that take over reading.
fn rank(status: &ControlStatus) -> usize {
    let members = status.voters.iter().chain(&status.learners);
    let own = |id: &ReplicaId| status.id.as_ref() == Some(id);
    members.clone().position(own).unwrap_or(members.count())
}

/// Logs when the list, or a part of it, gets out of reach, and when it is back.
#[derive(Debug, Default)]
struct Reachability {
    unreachable: bool,
    unread: Vec<Name>,
}

impl Reachability {
    fn record(&mut self, read: &Result<Listing, String>) {
        let unread = match read {
            Ok(listing) => listing.unread.as_slice(),
            Err(cause) => {
                metrics::counter!("discovery_failures_total").increment(1);
                if !std::mem::replace(&mut self.unreachable, true) {
                    tracing::warn!(
                        event = "dependency",
                        name = "server list",
                        up = false,
                        cause
                    );
                }
                return;
            }
        };
        metrics::counter!("discovery_failures_total").increment(unread.len() as u64);
        for (domain, cause) in unread {
            if !self.unread.contains(domain) {
                tracing::warn!(event = "dependency", name = "server list", up = false, %domain, cause);
            }
        }
        self.unread = unread.iter().map(|(name, _)| name.clone()).collect();
        if std::mem::replace(&mut self.unreachable, false) {
            tracing::info!(event = "dependency", name = "server list", up = true);
        }
    }
}

/// Applies changes of the list to the document until the task is aborted. A long list, of
/// which each read takes many calls, is read less often than every `interval_ms`.
pub async fn run(control: Arc<ControlServer>, fetch: FetchServers, clock: Clock, interval_ms: u64) {
    // Since this instance may read.
    let mut schedule: Option<ReadSchedule> = None;
    let mut reachability = Reachability::default();
    let mut is_long = false;
    // Start of the last read as the leader, and the proposal that rests on one.
    let mut last_read: Option<Millis> = None;
    let mut proposing: Option<JoinHandle<()>> = None;
    loop {
        let document = control.view().document();
        let status = control.status();
        let now = clock.now();
        let view_ms = control.view().age(now);
        let reader = Reader::of(status.role == "leader", view_ms, rank(&status));
        let Some(reader) = reader.filter(|_| document.version > 0) else {
            schedule = None;
            tokio::time::sleep(Millis(CHECK_MS).duration()).await;
            continue;
        };
        if reader != Reader::Leader {
            last_read = None;
        }
        is_long |= document.backends.len() > LONG_LIST;
        let interval_ms = if is_long {
            LONG_INTERVAL * interval_ms
        } else {
            interval_ms
        };
        let schedule = schedule.get_or_insert_with(|| ReadSchedule::new(now));
        let known = control.view().list().read();
        let wait_ms = schedule.due(reader, known, interval_ms).since(now);
        if wait_ms > 0 {
            let pause = wait_ms.clamp(1, CHECK_MS);
            tokio::time::sleep(Millis(pause).duration()).await;
            continue;
        }
        schedule.begin(now);
        let regions = document.regions.values();
        let domains: Vec<Name> = regions.flat_map(|r| r.domains.clone()).collect();
        let announce_part = |part: &[ListedServer]| control.announce_list(None, leaving(part));
        let listed = read(&fetch, &domains, is_long, announce_part).await;
        reachability.record(&listed);
        schedule.end(listed.is_ok());
        let Ok(listing) = listed else {
            continue;
        };
        is_long |= listing.calls > SEQUENTIAL_CALLS_MAX;
        // Another instance may have read a later list since.
        if control.stalls().any_since(now) {
            continue;
        }
        let complete = listing.unread.is_empty().then_some(now);
        control.announce_list(complete, leaving(&listing.servers));
        if reader != Reader::Leader || control.status().role != "leader" {
            continue;
        }
        let steps = Steps {
            wait_ms: last_read.map(|last| now.since(last)),
            read_ms: clock.now().since(now),
            calls: listing.calls,
        };
        steps.record_read();
        last_read = Some(now);
        let commands = changes(&control.view().document(), &listing);
        let is_proposing = proposing.as_ref().is_some_and(|task| !task.is_finished());
        if !commands.is_empty() && !is_proposing {
            let proposal = propose(control.clone(), commands, steps, clock.clone());
            proposing = Some(tokio::spawn(proposal));
        }
    }
}

async fn propose(control: Arc<ControlServer>, commands: Vec<Command>, steps: Steps, clock: Clock) {
    let change = Change {
        request: Name::from(format!("discovery-{:016x}", rand::random::<u64>())),
        sender: Name::from("discovery"),
        base: None,
        at: Millis(0),
        command: Command::Batch(commands),
    };
    let list_change = ListChange::of(&change.command).unwrap_or_default();
    let proposed = clock.now();
    match control.propose_as_leader(change).await {
        Ok(Applied::Accepted { version, .. }) => {
            steps.log(version, &list_change, clock.now().since(proposed));
        }
        other => tracing::warn!(
            event = "discovery",
            "changes from the server list were not accepted: {other:?}"
        ),
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
