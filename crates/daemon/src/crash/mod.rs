//! Requests under which backend servers crashed.
//!
//! A request that crashes each server that runs it is quarantined on all instances.
//! Instances recognize it by its fingerprint and record crashes in the document. A
//! crash counts only if the run began after the previous counted crash was known,
//! so that servers which end together count once, however many copies of a popular
//! request they ran. An answer clears the record, and a request that was answered a
//! moment ago is not suspected.

mod reports;

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_state::command::CRASH_RETENTION_MS;
use pomelovale_state::document::{Digest, Document, MemberState};
use pomelovale_state::{Clock, Millis, Name};
use pomelovale_steering::quarantine::{self, Quarantine};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use reports::PendingChanges;

/// Time for which a connection to a server must stay open: a terminating process closes
/// its connections and its listener one by one. In milliseconds.
const SETTLE_MS: u64 = 25;
/// Bytes at the start of a body that a fingerprint covers, so that large bodies don't
/// delay other requests.
const FINGERPRINT_BODY_BYTES: usize = 64 * 1024;
/// Shortest time after an answer for which crashes don't count against the request, in
/// milliseconds. The longest one is twice that.
const ANSWERED_MS: u64 = 1_000;
/// Maximum number of requests that are remembered as answered in that time.
const ANSWERED_MAX: usize = 4_096;
/// Time after a run was abandoned within which a crash of its server counts against
/// the request, in milliseconds.
const ABANDONED_RUN_MS: u64 = 3_000;
/// Maximum number of abandoned runs; the oldest one is dropped first.
const ABANDONED_RUNS_MAX: usize = 1_024;

/// Time after which a quarantined request may come again if a trial was due but another
/// one may have been let through, in milliseconds.
const TRIAL_RETRY_MS: u64 = 1_000;

/// Settings of a [`CrashTracker`], in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct CrashTimings {
    /// Timeout for connecting to a server that may have crashed.
    pub connect_ms: u64,
    /// Timeout for a reply of the control instances.
    pub control_ms: u64,
    /// Longest wait until a recorded crash has reached this instance's view.
    pub spread_ms: u64,
    /// Time after the last crash until a quarantined request may be tried once more.
    pub trial_ms: u64,
}

/// Whether a quarantined request is let through as a trial: the number of the last crash
/// for which that was decided, or 0.
#[derive(Debug, Default)]
pub struct Trial(AtomicU64);

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
}

/// Returns the fingerprint of a request. `head` distinguishes requests with the same
/// body.
pub fn fingerprint(head: &[&[u8]], body: &[u8]) -> Digest {
    let length = (body.len() as u64).to_le_bytes();
    let parts = match body.len() <= FINGERPRINT_BODY_BYTES {
        true => vec![body],
        false => vec![&body[..FINGERPRINT_BODY_BYTES], &length],
    };
    Digest::of(&[head, &parts].concat())
}

/// Requests that this instance has returned an answer to in the last moments.
#[derive(Debug, Default)]
struct RecentAnswers {
    current: IndexSet<Digest>,
    previous: IndexSet<Digest>,
    since: Millis,
}

impl RecentAnswers {
    // Drops the answers that are older than the longest time.
    fn expire(&mut self, now: Millis) {
        let age_ms = now.since(self.since);
        if age_ms >= ANSWERED_MS {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        if age_ms >= 2 * ANSWERED_MS {
            self.previous.clear();
        }
    }

    fn insert(&mut self, now: Millis, fingerprint: Digest) {
        self.expire(now);
        if self.current.len() < ANSWERED_MAX {
            self.current.insert(fingerprint);
        }
    }

    fn contains(&mut self, now: Millis, fingerprint: &Digest) -> bool {
        self.expire(now);
        self.current.contains(fingerprint) || self.previous.contains(fingerprint)
    }
}

#[derive(Debug, Default)]
struct Inner {
    /// Crashes that are not in the document yet.
    own: Quarantine,
    /// Time in the document, and the local time at which it was first seen.
    log_time: Millis,
    first_seen: Millis,
    /// Changes of the crash records that are still to be proposed.
    pending: PendingChanges,
    answered: RecentAnswers,
    /// Runs whose outcome nobody waits for any more.
    abandoned: VecDeque<(Millis, Run)>,
}

impl Inner {
    // Crashes counted for a request, and the time since the last one in milliseconds.
    fn crashes(
        &mut self,
        document: &Document,
        now: Millis,
        fingerprint: &Digest,
    ) -> (Vec<Name>, u64) {
        if document.time > self.log_time {
            (self.log_time, self.first_seen) = (document.time, now);
        }
        let log_now = self.log_time.plus(now.since(self.first_seen));
        let recorded = document.crashes.get(fingerprint);
        let recorded = recorded.filter(|r| log_now < r.until);
        let own = self.own.crashes(now, fingerprint);
        let mut crashes: Vec<Name> = recorded.map_or_else(Vec::new, |r| r.crashed.clone());
        let unrecorded = own.iter().filter(|crash| !crashes.contains(crash));
        let unrecorded: Vec<Name> = unrecorded.cloned().collect();
        let recorded_ms =
            recorded.map(|r| CRASH_RETENTION_MS.saturating_sub(r.until.since(log_now)));
        let own_ms = self.own.since_last(now, fingerprint);
        let since_ms = recorded_ms.into_iter().chain(own_ms).min();
        crashes.extend(unrecorded);
        (crashes, since_ms.unwrap_or(u64::MAX))
    }
}

/// Tracks crashes that this instance observed, besides those in the document, and
/// records them with the control instances.
#[derive(Debug)]
pub struct CrashTracker {
    instance: Name,
    view: Arc<View>,
    control: ControlHandle,
    clock: Clock,
    timings: CrashTimings,
    /// Random for each start of the process, so that identifiers never repeat.
    start: u64,
    inner: Mutex<Inner>,
    wake: Notify,
}

impl CrashTracker {
    /// Creates a tracker without crashes. [`CrashTracker::run`] must be polled for the
    /// crashes to be recorded.
    pub fn new(
        instance: Name,
        view: Arc<View>,
        control: ControlHandle,
        clock: Clock,
        timings: CrashTimings,
    ) -> CrashTracker {
        CrashTracker {
            instance,
            view,
            control,
            clock,
            timings,
            start: rand::random(),
            inner: Mutex::default(),
            wake: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while held")
    }

    // Runs `f` on the crashes of a request. The fingerprint is only computed if there
    // is any record to compare it with.
    fn with_crashes<R: Default>(
        &self,
        fingerprint: impl FnOnce() -> Digest,
        f: impl FnOnce(&[Name], u64) -> R,
    ) -> R {
        let document = self.view.document();
        let mut inner = self.lock();
        if document.crashes.is_empty() && inner.own.is_empty() {
            return R::default();
        }
        let fingerprint = fingerprint();
        // An answer has cleared the record, and the document doesn't show it yet.
        if inner.pending.is_clearing(&fingerprint) {
            return R::default();
        }
        let (crashes, since_ms) = inner.crashes(&document, self.clock.now(), &fingerprint);
        f(&crashes, since_ms)
    }

    /// Returns the time after which a quarantined request may be sent again, in
    /// milliseconds, or `None` if it may be sent now. Of the requests that arrive when a
    /// trial is due, one for each instance of the deployment is let through on average.
    pub fn blocked_ms(&self, trial: &Trial, fingerprint: impl FnOnce() -> Digest) -> Option<u64> {
        self.with_crashes(fingerprint, |crashes, since_ms| {
            let delay_ms = quarantine::trial_delay(crashes.len(), self.timings.trial_ms)?;
            let last = quarantine::last_crash(crashes);
            if since_ms < delay_ms {
                return Some(delay_ms - since_ms);
            }
            if trial.0.load(Ordering::Relaxed) == last {
                return None;
            }
            let instances = self.view.document().instances.len().max(1);
            if rand::random_range(0..instances) > 0 {
                return Some(TRIAL_RETRY_MS);
            }
            trial.0.store(last, Ordering::Relaxed);
            metrics::counter!("entry_crash_trials_total").increment(1);
            None
        })
    }

    /// Number of the last crash known under a request, to be kept in its [`Run`].
    pub fn last_crash(&self, fingerprint: impl FnOnce() -> Digest) -> u64 {
        self.with_crashes(fingerprint, |crashes, _| quarantine::last_crash(crashes))
    }

    /// Checks whether the server of a run whose connection was cut has crashed, and
    /// records that. Completes also if the returned future is dropped.
    pub async fn check(self: &Arc<Self>, run: Run) -> bool {
        let tracker = self.clone();
        let check = tokio::spawn(async move {
            let limit = Millis(tracker.timings.connect_ms).duration();
            let crashed = is_down(&run.server, run.address, limit).await;
            if crashed {
                tracker.record_crash(&run);
            }
            crashed
        });
        check.await.unwrap_or(false)
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

    /// Checks the servers of abandoned runs that may have crashed: those in state
    /// `Away`, and those for which `is_suspect` holds.
    pub fn check_abandoned(self: &Arc<Self>, is_suspect: impl Fn(&Name) -> bool) {
        let (now, document) = (self.clock.now(), self.view.document());
        let is_away = |name: &Name| {
            let backend = document.backends.get(name);
            backend.is_some_and(|b| b.state == MemberState::Away)
        };
        let mut inner = self.lock();
        if inner.abandoned.is_empty() {
            return;
        }
        let all = std::mem::take(&mut inner.abandoned).into_iter();
        let recent = all.filter(|(at, _)| now.since(*at) < ABANDONED_RUN_MS);
        let (suspect, rest): (VecDeque<_>, VecDeque<_>) =
            recent.partition(|(_, run)| is_away(&run.server) || is_suspect(&run.server));
        inner.abandoned = rest;
        drop(inner);
        let mut by_address: IndexMap<SocketAddr, Vec<Run>> = IndexMap::new();
        for (_, run) in suspect {
            by_address.entry(run.address).or_default().push(run);
        }
        for (address, runs) in by_address {
            let tracker = self.clone();
            tokio::spawn(async move {
                let limit = Millis(tracker.timings.connect_ms).duration();
                if is_down(&runs[0].server, address, limit).await {
                    runs.iter().for_each(|run| tracker.record_crash(run));
                }
            });
        }
    }

    // Records that a server crashed under a run.
    fn record_crash(&self, run: &Run) {
        let (now, document) = (self.clock.now(), self.view.document());
        let fingerprint = &run.fingerprint;
        let mut inner = self.lock();
        let (crashes, _) = inner.crashes(&document, now, fingerprint);
        let answered = inner.answered.contains(now, fingerprint);
        let crash = quarantine::next_crash(&crashes, run.known).filter(|_| !answered);
        metrics::counter!("entry_backend_crashes_total").increment(1);
        tracing::info!(event = "server-ended", server = %run.server, %fingerprint,
            known = run.known, answered, crash = crash.as_deref());
        let Some(crash) = crash else {
            return;
        };
        inner.own.record_crash(now, *fingerprint, &crash);
        let request = self.request_id(fingerprint, &crash);
        inner.pending.add_crash(*fingerprint, crash, request);
        drop(inner);
        self.wake.notify_one();
    }

    /// Clears the record of a request that a server has answered. Otherwise, popular
    /// lookups that are in flight when a failure domain is lost would be refused by all
    /// instances.
    pub fn record_answer(&self, fingerprint: Digest) {
        let document = self.view.document();
        let mut inner = self.lock();
        inner.answered.insert(self.clock.now(), fingerprint);
        inner.own.forget(&fingerprint);
        let recorded = document.crashes.contains_key(&fingerprint);
        let known = recorded || inner.pending.contains(&fingerprint);
        if inner.pending.is_clearing(&fingerprint) || !known {
            return;
        }
        metrics::counter!("entry_crashes_cleared_total").increment(1);
        tracing::info!(event = "crashes-cleared", %fingerprint);
        let request = self.request_id(&fingerprint, "clear");
        let instances = document.instances.len();
        inner.pending.add_clear(fingerprint, request, instances);
        drop(inner);
        self.wake.notify_one();
    }

    fn request_id(&self, fingerprint: &Digest, change: &str) -> Name {
        let nonce: u32 = rand::random();
        let request = format!(
            "{}-{:x}-{nonce:x}-{change}-{:.8}",
            self.instance,
            self.start,
            fingerprint.to_string()
        );
        Name::from(request)
    }
}

/// What the port of a server tells about its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PortState {
    /// Connections are accepted and closed at once: by a terminating process, a server
    /// with too many connections, or something in between.
    Closing,
    /// Connections are accepted, or nothing can be told.
    Open,
    /// Connections are refused.
    Refused,
}

// Whether the process of a server has ended.
async fn is_down(server: &Name, address: SocketAddr, limit: Duration) -> bool {
    let state = match port_state(address, limit).await {
        PortState::Closing => port_state(address, limit).await,
        state => state,
    };
    let label = match state {
        PortState::Closing => "closing",
        PortState::Open => "open",
        PortState::Refused => "refused",
    };
    metrics::counter!("crash_checks_total", "port" => label).increment(1);
    tracing::info!(event = "server-checked", %server, port = label);
    state == PortState::Refused
}

async fn port_state(address: SocketAddr, limit: Duration) -> PortState {
    let mut byte = [0];
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(mut stream)) => {
            let settle = Millis(SETTLE_MS).duration();
            match timeout(settle, stream.read(&mut byte)).await {
                Ok(_) => PortState::Closing,
                Err(_) => PortState::Open,
            }
        }
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => PortState::Refused,
        Ok(Err(_)) | Err(_) => PortState::Open,
    }
}
