//! Every decision that the request path asks for.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use pomelovale_coordination::view::View;
use pomelovale_state::document::{Document, MemberState};
use pomelovale_state::{ErrorKind, Millis, Name};
use serde::Deserialize;
use tokio::sync::oneshot;

use super::config::EntryConfig;
use super::refusal::Refusal;

// Tenths of a retry that one request earns, and the retries kept in reserve.
const RETRY_EARNED: u64 = 1;
const RETRY_COST: u64 = 10;
const RETRY_RESERVE: u64 = 10 * RETRY_COST;
// A server that fails is left out for this long, doubled with each failure in
// a row up to the maximum.
const EJECT_MS: u64 = 500;
const EJECT_MAX_MS: u64 = 8_000;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// May wait for spare room.
    Deferrable,
    /// Someone waits for the answer.
    Interactive,
}

/// What a decision is about.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The service.
    pub service: Name,
    /// The workspace; empty on open routes.
    pub workspace: Name,
    /// How urgent the request is.
    pub class: Class,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// With a complete answer.
    Answered,
    /// The caller went away.
    Cancelled,
    /// With a failure of the server or the connection.
    Failed,
    /// The server said that it did not run the request.
    Shed,
}

/// A backend server chosen for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Its name.
    pub server: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its region.
    pub region: Name,
}

/// A backend server's answer to `GET /load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests it can run at a time.
    pub slots: u32,
    /// Requests it runs.
    pub busy: u32,
    /// Requests that wait in it.
    pub queued: u32,
}

#[derive(Debug, Default)]
struct Server {
    outstanding: usize,
    failures: u32,
    until: Millis,
    load: LoadReport,
}

#[derive(Debug)]
struct Room {
    running: usize,
    waiting: VecDeque<(u64, oneshot::Sender<()>)>,
    retries: u64,
}

impl Default for Room {
    fn default() -> Room {
        Room {
            running: 0,
            waiting: VecDeque::new(),
            retries: RETRY_RESERVE,
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    rooms: HashMap<Name, Room>,
    servers: HashMap<Name, Server>,
}

/// The decisions of one entry instance.
#[derive(Debug)]
pub struct Decisions {
    config: EntryConfig,
    view: Arc<View>,
    inner: Mutex<Inner>,
}

/// The right of one request to run; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    decisions: Arc<Decisions>,
    service: Name,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.decisions.release(&self.service);
    }
}

/// A place in a queue; left when dropped.
#[derive(Debug)]
struct Place {
    decisions: Arc<Decisions>,
    service: Name,
    ticket: u64,
    admitted: oneshot::Receiver<()>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut inner = self.decisions.lock();
        let room = inner.rooms.entry(self.service.clone()).or_default();
        let before = room.waiting.len();
        room.waiting.retain(|(ticket, _)| *ticket != self.ticket);
        let admitted = room.waiting.len() == before && self.admitted.try_recv().is_ok();
        drop(inner);
        if admitted {
            self.decisions.release(&self.service);
        }
    }
}

impl Decisions {
    /// Decisions by the given view.
    pub fn new(config: &EntryConfig, view: Arc<View>) -> Decisions {
        Decisions {
            config: config.clone(),
            view,
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while held")
    }

    /// Whether a workspace is within its rate.
    pub async fn admit(&self, _now: Millis, _workspace: &Name) -> Result<(), Refusal> {
        std::future::ready(Ok(())).await
    }

    /// Waits for room; `limit_ms` bounds the wait.
    pub async fn enter(
        self: &Arc<Self>,
        subject: &Subject,
        limit_ms: u64,
    ) -> Result<Permit, Refusal> {
        let service = subject.service.clone();
        let mut place = match self.offer(&service) {
            Err(kind) => return Err(kind.into()),
            Ok(None) => return Ok(self.permit(service)),
            Ok(Some((ticket, admitted))) => Place {
                decisions: self.clone(),
                service: service.clone(),
                ticket,
                admitted,
            },
        };
        let limit = Millis(limit_ms.min(self.config.queue_ms)).duration();
        match tokio::time::timeout(limit, &mut place.admitted).await {
            Ok(Ok(())) => Ok(self.permit(service)),
            Ok(Err(_)) | Err(_) => Err(ErrorKind::Overloaded.into()),
        }
    }

    fn permit(self: &Arc<Self>, service: Name) -> Permit {
        Permit {
            decisions: self.clone(),
            service,
        }
    }

    #[allow(clippy::type_complexity)]
    fn offer(&self, service: &Name) -> Result<Option<(u64, oneshot::Receiver<()>)>, ErrorKind> {
        let slots = self.slots(service);
        let mut inner = self.lock();
        inner.next += 1;
        let ticket = inner.next;
        let room = inner.rooms.entry(service.clone()).or_default();
        match room {
            _ if slots == 0 => Err(ErrorKind::Unavailable),
            r if r.running < slots && r.waiting.is_empty() => {
                r.running += 1;
                Ok(None)
            }
            r if r.waiting.len() >= self.config.queue => Err(ErrorKind::Overloaded),
            r => {
                let (admit, admitted) = oneshot::channel();
                r.waiting.push_back((ticket, admit));
                Ok(Some((ticket, admitted)))
            }
        }
    }

    fn slots(&self, service: &Name) -> usize {
        let document = self.view.document();
        let slots = document
            .backends
            .values()
            .filter(|b| b.service == *service && b.state == MemberState::Serving)
            .map(|b| b.slots as usize);
        slots.sum()
    }

    fn release(&self, service: &Name) {
        let mut inner = self.lock();
        let room = inner.rooms.entry(service.clone()).or_default();
        while let Some((_, admit)) = room.waiting.pop_front() {
            if admit.send(()).is_ok() {
                return;
            }
        }
        room.running = room.running.saturating_sub(1);
    }

    /// Chooses a backend server, other than those in `tried`, and counts the
    /// attempt until [`Decisions::finish`].
    pub fn choose(&self, now: Millis, subject: &Subject, tried: &[Name]) -> Option<Choice> {
        let document = self.view.document();
        let share = connection_share(&document);
        let mut inner = self.lock();
        let open = document.backends.iter().filter(|(name, b)| {
            b.service == subject.service && b.state == MemberState::Serving && !tried.contains(name)
        });
        let rank = |name: &Name, region: &Name, slots: u32| {
            let server = inner.servers.get(name);
            let ejected = server.is_some_and(|s| now < s.until);
            let used = server.map_or(0, |s| s.outstanding);
            let load = server.map_or(0, |s| s.load.queued);
            let near = *region == self.config.region;
            (ejected, !near, (used * 1_000) / slots.max(1) as usize, load)
        };
        let used = |name: &Name| inner.servers.get(name).map_or(0, |s| s.outstanding);
        let (name, backend) = open
            .filter(|(name, b)| used(name) < (b.connections as usize / share).max(1))
            .min_by_key(|(name, b)| rank(name, &b.region, b.slots))?;
        inner.servers.entry(name.clone()).or_default().outstanding += 1;
        Some(Choice {
            server: name.clone(),
            address: backend.address,
            region: backend.region.clone(),
        })
    }

    /// Whether a chosen server still takes new work.
    pub fn may_write(&self, server: &Name) -> bool {
        let document = self.view.document();
        let backend = document.backends.get(server);
        backend.is_some_and(|b| b.state == MemberState::Serving)
    }

    /// Ends an attempt that [`Decisions::choose`] began.
    pub fn finish(&self, now: Millis, server: &Name, end: AttemptEnd) {
        let mut inner = self.lock();
        let server = inner.servers.entry(server.clone()).or_default();
        server.outstanding = server.outstanding.saturating_sub(1);
        match end {
            AttemptEnd::Answered => server.failures = 0,
            AttemptEnd::Cancelled | AttemptEnd::Shed => {}
            AttemptEnd::Failed => {
                let ms = EJECT_MS << server.failures.min(8);
                server.failures += 1;
                server.until = now.plus(ms.min(EJECT_MAX_MS));
            }
        }
    }

    /// Takes note of a load report; `None` if the server did not answer.
    pub fn report_load(&self, _now: Millis, server: &Name, load: Option<LoadReport>) {
        let mut inner = self.lock();
        let server = inner.servers.entry(server.clone()).or_default();
        server.load = load.unwrap_or_default();
    }

    /// Counts a request towards the retry budget of its service.
    pub fn record_request(&self, service: &Name) {
        let mut inner = self.lock();
        let room = inner.rooms.entry(service.clone()).or_default();
        room.retries = (room.retries + RETRY_EARNED).min(RETRY_RESERVE);
    }

    /// Whether the budget of a service allows a retry now.
    pub fn has_retry(&self, service: &Name) -> bool {
        let inner = self.lock();
        inner
            .rooms
            .get(service)
            .is_some_and(|r| r.retries >= RETRY_COST)
    }

    /// Spends one retry of a service's budget.
    pub fn try_spend(&self, service: &Name) -> bool {
        let mut inner = self.lock();
        let room = inner.rooms.entry(service.clone()).or_default();
        let left = room.retries.checked_sub(RETRY_COST);
        room.retries = left.unwrap_or(room.retries);
        left.is_some()
    }
}

// Backend servers bound the connections of all entries together.
fn connection_share(document: &Document) -> usize {
    let entry = |i: &&pomelovale_state::document::Instance| i.callers.is_some();
    document.instances.values().filter(entry).count().max(1)
}
