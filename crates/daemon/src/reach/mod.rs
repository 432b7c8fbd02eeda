//! Whether this instance reaches the backend servers.
//!
//! A partition between one instance and the servers looks to it like an outage of each
//! server. A failure therefore counts as the server's only once another server has shown
//! life on a new connection after it. An instance that finds no server alive tells others
//! nothing about servers, and relays its requests: all of them once nothing comes back on old
//! connections either.

mod probe;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use pomelovale_coordination::view::View;
use pomelovale_state::document::{Backend, Document, MemberState};
use pomelovale_state::{Millis, Name};
use rand::seq::SliceRandom;
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

pub use probe::{look_at_port, probe, Port, Reaction, SETTLE_MS};

/// Time for a usual request to show contact before servers are probed for it, in
/// milliseconds.
const GRACE_MS: u64 = 15;
/// Pause between two rounds of probes, in milliseconds: after a failure, and while the way to
/// the servers is blocked.
const ROUND_PAUSE_MS: (u64, u64) = (25, 200);
/// Rounds without an answer, and the shortest time over which they must extend in
/// milliseconds, after which the way to the servers counts as blocked.
const BLOCKED_AFTER: (u32, u64) = (2, 250);
/// Number of servers that are probed in the first round, and in each further one.
const ROUND_SERVERS: (usize, usize) = (3, 8);
/// Time limits of a probe, in milliseconds: for its connection, and for its answer.
const PROBE_LIMITS_MS: (u64, u64) = (350, 250);
/// Time after a return within which a falling share of requests is still relayed, in
/// milliseconds.
const RAMP_MS: u64 = 1_000;
/// Time without an answer of any server after which servers are probed if requests wait, and
/// are lost if no new connection can be opened; and the shortest time between two such probes,
/// in milliseconds.
const SILENCE_MS: (u64, u64) = (300, 1_500);
/// Time without an answer of any server, or without a new connection, after which one is
/// probed, and the interval at which this is checked, in milliseconds.
const CONTACT_AGE_MS: (u64, u64) = (500, 100);

/// Where servers answer health probes.
#[derive(Clone, Debug)]
pub enum ProbePath {
    /// At the same path on all servers.
    Fixed(Name),
    /// At the path that the routing table names for their service.
    Routed,
}

/// Which connections to servers work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// New ones can be opened, as far as is known.
    Reached,
    /// No new ones can be opened. Old ones may live on.
    Blocked,
    /// None.
    Lost,
}

/// A failure of a server, or of the way to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// A connection was closed or refused. Another server that keeps one open confirms it.
    Closed,
    /// Nothing came back. Another server that answers confirms it.
    Silent,
}

/// What is known about the contact with servers.
#[derive(Clone, Copy, Debug)]
struct Contact {
    // When a server last kept a new connection open, and when one last answered on one.
    opened: Instant,
    answered: Instant,
    state: State,
}

impl Contact {
    // Whether servers were reached after a failure.
    fn confirms(&self, fault: LinkFault, since: Instant) -> bool {
        match fault {
            LinkFault::Closed => self.opened >= since,
            LinkFault::Silent => self.answered >= since,
        }
    }
}

#[derive(Debug)]
struct Inner {
    // When a server last answered on any connection.
    heard: Instant,
    // The latest failures that contact has to confirm.
    closed: Instant,
    silent: Instant,
    checking: bool,
    silence_checked: Instant,
    // Servers that want no requests of this instance, and until when.
    resting: IndexMap<SocketAddr, Instant>,
    // When the servers were last reached again.
    returned: Option<Instant>,
}

/// Tracks whether this instance reaches the servers.
#[derive(Debug)]
pub struct Reach {
    view: Arc<View>,
    path: ProbePath,
    contact: watch::Sender<Contact>,
    inner: Mutex<Inner>,
    // Starts the next round of probes while the servers are lost.
    wake: Notify,
}

/// Result of a round of probes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Round {
    Answered,
    Silent,
    /// There are too few servers to tell their failures from those of this instance.
    TooFew,
}

impl Reach {
    /// Creates a tracker that has contact.
    pub fn new(view: Arc<View>, path: ProbePath) -> Reach {
        let now = Instant::now();
        let contact = Contact {
            opened: now,
            answered: now,
            state: State::Reached,
        };
        Reach {
            view,
            path,
            contact: watch::Sender::new(contact),
            inner: Mutex::new(Inner {
                heard: now,
                closed: now,
                silent: now,
                checking: false,
                silence_checked: now,
                resting: IndexMap::new(),
                returned: None,
            }),
            wake: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a server has answered. `opened` tells when a connection on which nothing
    /// had been answered before was opened.
    pub fn record_answer(&self, opened: Option<Instant>) {
        let now = Instant::now();
        self.lock().heard = now;
        let Some(opened) = opened else {
            return;
        };
        // The answer doesn't show that new connections could be opened until now.
        self.contact.send_modify(|c| {
            c.opened = c.opened.max(opened);
            c.answered = now;
        });
    }

    // Records contact that confirms failures of a kind.
    fn record_contact(&self, confirmed: LinkFault) {
        let now = Instant::now();
        self.contact.send_modify(|c| {
            c.opened = now;
            if confirmed == LinkFault::Silent {
                c.answered = now;
            }
        });
    }

    /// Records that a server wants no requests for a time in milliseconds. It gets no probes.
    pub fn record_rest(&self, address: SocketAddr, rest_ms: u64) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.resting.retain(|_, until| *until > now);
        let until = now + Millis(rest_ms).duration();
        let known = inner.resting.entry(address).or_insert(until);
        *known = until.max(*known);
    }

    /// Whether a server wants no requests.
    pub fn is_resting(&self, address: SocketAddr) -> bool {
        let inner = self.lock();
        let until = inner.resting.get(&address);
        until.is_some_and(|until| *until > Instant::now())
    }

    /// Records a failure of a server or of the way to it, and looks for its cause.
    pub fn record_failure(self: &Arc<Self>, fault: LinkFault) {
        let mut inner = self.lock();
        match fault {
            LinkFault::Closed => inner.closed = Instant::now(),
            LinkFault::Silent => inner.silent = Instant::now(),
        }
        if !std::mem::replace(&mut inner.checking, true) {
            drop(inner);
            tokio::spawn(self.clone().check());
        }
    }

    /// Looks for the cause if requests have waited for answers of servers since `oldest`, and
    /// none has answered for a while.
    pub fn check_silence(self: &Arc<Self>, oldest: Option<Instant>) {
        let Some(oldest) = oldest else {
            return;
        };
        let (silence_ms, pause_ms) = SILENCE_MS;
        let mut inner = self.lock();
        let silent = Millis(silence_ms).duration();
        let due = inner.silence_checked.elapsed() >= Millis(pause_ms).duration();
        if due && oldest.max(inner.heard).elapsed() >= silent {
            inner.silence_checked = Instant::now();
            drop(inner);
            self.record_failure(LinkFault::Silent);
        }
    }

    /// Probes a server whenever none has answered, or no connection has been opened, for a
    /// while, until the task is aborted. While old connections suffice for the requests, or no
    /// request is sent to a server, nothing else tells that the servers are lost.
    pub async fn watch_contact(self: Arc<Self>) {
        let (age_ms, interval_ms) = CONTACT_AGE_MS;
        let mut probed = Instant::now();
        loop {
            sleep(Millis(interval_ms).duration()).await;
            let is_old = |at: Instant| at.max(probed).elapsed() >= Millis(age_ms).duration();
            let (heard, opened) = (self.lock().heard, self.contact.borrow().opened);
            let fault = match self.is_checking() {
                false if is_old(heard) => LinkFault::Silent,
                false if is_old(opened) => LinkFault::Closed,
                false | true => continue,
            };
            // Contact is not recorded: a relay on the way may have accepted the connection.
            if self.probe_servers(fault, 1).await == Round::Silent {
                self.record_failure(fault);
            }
            probed = Instant::now();
        }
    }

    /// Time since a server was last reached on a new connection, in milliseconds.
    pub fn contact_ms(&self) -> u64 {
        self.contact.borrow().opened.elapsed().as_millis() as u64
    }

    /// Whether this instance has lost the servers.
    pub fn is_lost(&self) -> bool {
        self.state() == State::Lost
    }

    /// Which connections to servers work.
    pub fn state(&self) -> State {
        self.contact.borrow().state
    }

    /// Whether a failure may still turn out to be this instance's own.
    pub fn is_checking(&self) -> bool {
        self.lock().checking
    }

    /// Whether the next request is to be relayed: all while the servers are lost, and fewer
    /// and fewer after that.
    pub fn is_relay_due(&self) -> bool {
        if self.is_lost() {
            return true;
        }
        let Some(returned) = self.lock().returned else {
            return false;
        };
        let since_ms = returned.elapsed().as_millis() as u64;
        since_ms < rand::random_range(0..RAMP_MS)
    }

    /// Waits until it is known whether a failure at `since` was the server's: another server
    /// has been reached after it. Otherwise, the way to the servers is blocked.
    pub async fn confirm(self: &Arc<Self>, fault: LinkFault, since: Instant) -> bool {
        let mut contact = self.contact.subscribe();
        let known = |c: &Contact| c.state != State::Reached || c.confirms(fault, since);
        if !known(&contact.borrow()) {
            self.record_failure(fault);
        }
        let known = contact.wait_for(known).await;
        known.is_ok_and(|c| c.confirms(fault, since))
    }

    /// Probes servers that are out of reach now, and waits up to `limit` until they are reached
    /// again. Returns whether they are.
    pub async fn recheck(&self, limit: Duration) -> bool {
        let mut contact = self.contact.subscribe();
        self.wake.notify_one();
        let back = timeout(limit, contact.wait_for(|c| c.state == State::Reached)).await;
        back.is_ok()
    }

    /// Waits until the servers are lost.
    pub async fn lost(&self) {
        let mut contact = self.contact.subscribe();
        let lost = contact.wait_for(|c| c.state == State::Lost);
        if lost.await.is_err() {
            std::future::pending().await
        }
    }

    /// Waits until the state is another one, and returns it.
    pub async fn changed(&self, state: State) -> State {
        let mut contact = self.contact.subscribe();
        let changed = contact.wait_for(|c| c.state != state).await;
        changed.map_or(state, |c| c.state)
    }

    // Ends once contact has confirmed all failures.
    async fn check(self: Arc<Self>) {
        let (mut start, mut silent_rounds) = (Instant::now(), 0);
        sleep(Millis(GRACE_MS).duration()).await;
        loop {
            let Some(fault) = self.next_unconfirmed() else {
                return;
            };
            let servers = match silent_rounds {
                0 => ROUND_SERVERS.0,
                _ => ROUND_SERVERS.1,
            };
            match self.probe_servers(fault, servers).await {
                Round::Answered | Round::TooFew => {
                    self.record_contact(fault);
                    (start, silent_rounds) = (Instant::now(), 0);
                    continue;
                }
                Round::Silent => silent_rounds += 1,
            }
            let (rounds, time_ms) = BLOCKED_AFTER;
            if silent_rounds >= rounds && start.elapsed() >= Millis(time_ms).duration() {
                break;
            }
            sleep(Millis(ROUND_PAUSE_MS.0).duration()).await;
        }
        while let Some(fault) = self.next_unconfirmed() {
            let is_silent = self.lock().heard.elapsed() >= Millis(SILENCE_MS.0).duration();
            match is_silent || self.is_lost() {
                true => self.set_state(State::Lost),
                false => self.set_state(State::Blocked),
            }
            let pause = sleep(Millis(ROUND_PAUSE_MS.1).duration());
            tokio::select! {
                () = pause => {}
                () = self.wake.notified() => {}
            }
            if self.probe_servers(fault, ROUND_SERVERS.1).await != Round::Silent {
                if self.is_lost() {
                    self.lock().returned = Some(Instant::now());
                }
                self.record_contact(fault);
            }
        }
        self.set_state(State::Reached);
    }

    // The kind of failure that is still to be confirmed; ends the check without one.
    fn next_unconfirmed(&self) -> Option<LinkFault> {
        let mut inner = self.lock();
        let contact = *self.contact.borrow();
        let faults = [
            (LinkFault::Silent, inner.silent),
            (LinkFault::Closed, inner.closed),
        ];
        let mut faults = faults.into_iter();
        let found = faults.find(|(fault, at)| !contact.confirms(*fault, *at));
        inner.checking = found.is_some();
        found.map(|(fault, _)| fault)
    }

    fn set_state(&self, state: State) {
        if self.state() == state {
            return;
        }
        let is_lost = state == State::Lost;
        metrics::gauge!("servers_lost").set(f64::from(u8::from(is_lost)));
        tracing::info!(event = "dependency", name = "servers", up = state == State::Reached,
            state = ?state);
        self.contact.send_modify(|c| c.state = state);
    }

    // Probes some servers at the same time until one shows as much life as confirms a failure.
    async fn probe_servers(&self, fault: LinkFault, count: usize) -> Round {
        let document = self.view.document();
        let Some(mut servers) = sample(&document, &self.path, count) else {
            return Round::TooFew;
        };
        for server in servers.iter_mut().filter(|s| self.is_resting(s.address)) {
            server.path = None;
        }
        // A port that accepts connections may belong to a relay on the way.
        if fault == LinkFault::Silent && servers.iter().any(|s| s.path.is_some()) {
            servers.retain(|s| s.path.is_some());
        }
        let mut probes = JoinSet::new();
        for target in servers {
            metrics::counter!("reach_probes_total").increment(1);
            probes.spawn(is_alive(target.address, target.path, fault));
        }
        while let Some(result) = probes.join_next().await {
            if result.unwrap_or(false) {
                return Round::Answered;
            }
        }
        Round::Silent
    }
}

// Whether a server shows as much life as confirms a fault. Without a path, it is not asked.
async fn is_alive(address: SocketAddr, path: Option<Name>, fault: LinkFault) -> bool {
    let (connect_ms, answer_ms) = PROBE_LIMITS_MS;
    let port = look_at_port(address, Millis(connect_ms).duration()).await;
    match (port, path) {
        (Port::Open(mut stream), Some(path)) if fault == LinkFault::Silent => {
            let limit = Millis(answer_ms).duration();
            probe(&mut stream, &path, limit).await == Reaction::Answers
        }
        (Port::Open(_), _) => true,
        (Port::Closes | Port::Refuses | Port::Unreachable, _) => false,
    }
}

/// A server to be probed.
#[derive(Clone, Debug)]
struct ProbeTarget {
    address: SocketAddr,
    domain: Name,
    // Where it is asked for its health; `None` if it must not be sent anything.
    path: Option<Name>,
}

fn probe_target(
    document: &Document,
    path: &ProbePath,
    name: &Name,
    backend: &Backend,
) -> ProbeTarget {
    // Probes count towards the limit of a server.
    let may_ask = backend.state != MemberState::Leaving
        && !document.evacuated.contains(&backend.domain)
        && !document.limits.contains_key(name);
    let path = match path {
        ProbePath::Fixed(path) => Some(path.clone()),
        ProbePath::Routed => {
            let routing = document.routing.as_ref();
            let service = routing.and_then(|r| r.services.get(&backend.service));
            service.map(|s| Name::from(s.probe.as_str()))
        }
    };
    ProbeTarget {
        address: backend.address,
        domain: backend.domain.clone(),
        path: path.filter(|_| may_ask),
    }
}

// Draws servers to be probed, those that may be asked first, and of different failure domains
// as far as possible; `None` if too few are known.
fn sample(document: &Document, path: &ProbePath, count: usize) -> Option<Vec<ProbeTarget>> {
    let backends = document.backends.iter();
    let targets = backends.map(|(name, backend)| probe_target(document, path, name, backend));
    let mut targets: Vec<ProbeTarget> = targets.collect();
    if targets.len() < 2 {
        return None;
    }
    targets.shuffle(&mut rand::rng());
    targets.sort_by_key(|t| t.path.is_none());
    let mut domains: IndexSet<Name> = IndexSet::new();
    let (first, rest): (Vec<_>, Vec<_>) = targets
        .into_iter()
        .partition(|t| domains.insert(t.domain.clone()));
    Some(first.into_iter().chain(rest).take(count).collect())
}
