//! Runs of requests that are in flight or were abandoned.

use std::net::SocketAddr;
use std::sync::Arc;

use pomelovale_state::document::Digest;
use pomelovale_state::{Millis, Name};
use tokio::time::{sleep, Instant};

use super::{CrashTracker, Inner, Trial};

/// Time after a run was abandoned within which a crash of its server counts against
/// the request, in milliseconds.
pub(super) const ABANDONED_RUN_MS: u64 = 3_000;
/// Maximum number of abandoned runs, and of cut connections; the oldest one is dropped
/// first.
const ABANDONED_RUNS_MAX: usize = 1_024;
/// Interval at which runs that stay without an answer and cleared records are looked for, in
/// milliseconds.
const WATCH_INTERVAL_MS: u64 = 25;
/// Number of servers from which the time of the last answer is kept; the oldest half is
/// dropped beyond it.
const HEARD_MAX: usize = 4_096;

/// A request that was sent to a server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Fingerprint of the request.
    pub fingerprint: Digest,
    /// The server.
    pub server: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Number of the last crash that was known when the request was sent.
    pub known: u64,
    /// Path at which the server answers probes.
    pub probe: Name,
    /// When the request was sent.
    pub since: Instant,
    /// Time that it took to open the connection, in milliseconds; `None` if the server had
    /// answered on it before.
    pub connect_ms: Option<u64>,
    /// When that connection was opened; `None` likewise.
    pub opened: Option<Instant>,
}

/// Keeps a run registered while it is in flight.
#[derive(Debug)]
pub struct RunGuard {
    tracker: Arc<CrashTracker>,
    id: u64,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.tracker.lock().running.swap_remove(&self.id);
    }
}

impl Inner {
    pub(super) fn add_cut(&mut self, address: SocketAddr) {
        if self.cuts.len() >= ABANDONED_RUNS_MAX {
            self.cuts.pop_front();
        }
        self.cuts.push_back((Instant::now(), address));
    }
}

impl CrashTracker {
    /// Registers a run for as long as the returned guard lives.
    pub fn start_run(self: &Arc<Self>, run: Run, trial: &Trial) -> RunGuard {
        trial.record_send();
        let mut inner = self.lock();
        inner.started += 1;
        let id = inner.started;
        inner.running.insert(id, run);
        RunGuard {
            tracker: self.clone(),
            id,
        }
    }

    /// Looks for the cause if all runs stay without an answer, and follows the records that
    /// other instances clear, until the task is aborted.
    pub async fn watch_runs(self: Arc<Self>) {
        loop {
            sleep(Millis(WATCH_INTERVAL_MS).duration()).await;
            let mut inner = self.lock();
            let document = self.view.document();
            self.follow(&mut inner, &document);
            let oldest = inner.running.values().map(|run| run.since).min();
            drop(inner);
            self.reach.check_silence(oldest);
        }
    }

    /// Records that a server has answered, whatever the answer says. `opened` tells when a
    /// connection on which nothing had been answered before was opened.
    pub fn record_reply(&self, address: SocketAddr, opened: Option<Instant>) {
        self.reach.record_answer(opened);
        let mut inner = self.lock();
        if inner.heard.len() >= HEARD_MAX {
            inner.heard.sort_by(|_, a, _, b| b.cmp(a));
            inner.heard.truncate(HEARD_MAX / 2);
        }
        inner.heard.insert(address, Instant::now());
    }

    /// Whether a server has answered anything since then.
    pub fn heard_since(&self, address: SocketAddr, since: Instant) -> bool {
        self.lock()
            .heard
            .get(&address)
            .is_some_and(|at| *at > since)
    }

    /// Keeps a run that ended without an answer and without a cut connection, in case
    /// its server turns out to have crashed.
    pub fn abandon(&self, run: Run) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner
            .abandoned
            .retain(|(at, _)| now.since(*at) < ABANDONED_RUN_MS);
        if inner.abandoned.len() >= ABANDONED_RUNS_MAX {
            inner.abandoned.pop_front();
        }
        inner.abandoned.push_back((now, run));
    }
}
