//! Requests under which backend servers crashed.
//!
//! A request that crashes each server that runs it is quarantined on all instances.
//! Instances recognize it by its fingerprint and record crashes in the document. A
//! crash counts only if the run began after the previous counted crash was known,
//! so that servers which end together count once, however many copies of a popular
//! request they ran. An answer clears the record, and a request that was answered a
//! moment ago is not suspected.

mod check;
mod reports;

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_state::command::{CRASH_RECORDS_MAX, CRASH_RETENTION_MS};
use pomelovale_state::document::{CrashRecord, Digest, Document, MemberState};
use pomelovale_state::{Clock, Millis, Name};
use pomelovale_steering::quarantine::{self, Quarantine};
use pomelovale_transport::pool::Pool;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

use crate::reach::{Reach, State};
pub use check::RunLoss;
use check::Sign;
use reports::PendingChanges;

/// Bytes at the start of a body that a fingerprint covers, so that large bodies don't
/// delay other requests.
const FINGERPRINT_BODY_BYTES: usize = 64 * 1024;
/// Shortest time after an answer for which crashes don't count against the request, in
/// milliseconds. The longest one is twice that.
const ANSWERED_MS: u64 = 5_000;
/// Maximum number of requests that are remembered as answered in that time.
const ANSWERED_MAX: usize = 8_192;
/// Time after a run was abandoned within which a crash of its server counts against
/// the request, in milliseconds.
const ABANDONED_RUN_MS: u64 = 3_000;
/// Maximum number of abandoned runs, and of cut connections; the oldest one is dropped
/// first.
const ABANDONED_RUNS_MAX: usize = 1_024;
/// Shortest time without a response after which a server is checked, in milliseconds.
pub const SILENCE_CHECK_MS: u64 = 1_000;
/// Interval at which runs that stay without an answer and cleared records are looked for, in
/// milliseconds.
const WATCH_INTERVAL_MS: u64 = 25;
/// Longest wait for the result of a check before the run is retried, in milliseconds.
const CHECK_WAIT_MS: u64 = 300;
/// Number of servers from which the time of the last answer is kept; the oldest half is
/// dropped beyond it.
const HEARD_MAX: usize = 4_096;

/// Time after which a quarantined request may come again if a trial was due but another
/// one may have been let through, in milliseconds.
const TRIAL_RETRY_MS: u64 = 1_000;
/// Time in which the outcome of a trial becomes known, also if its server falls silent, in
/// milliseconds.
const TRIAL_MS: u64 = 3_000;

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

/// Whether a quarantined request is let through as a trial. One that ends before it was sent
/// to a server leaves the trial to another copy of the request.
#[derive(Debug, Default)]
pub struct Trial {
    /// Number of the last crash for which that was decided, or 0.
    last: AtomicU64,
    sent: AtomicBool,
    holder: OnceLock<(Weak<CrashTracker>, Digest)>,
}

impl Trial {
    /// Whether the request was let through as a trial. It gets one attempt only.
    pub fn is_taken(&self) -> bool {
        self.last.load(Ordering::Relaxed) > 0
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Some((tracker, fingerprint)) = self.holder.get() else {
            return;
        };
        match tracker.upgrade() {
            Some(tracker) if !*self.sent.get_mut() => {
                tracker.lock().trials.swap_remove(fingerprint);
            }
            Some(_) | None => {}
        }
    }
}

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

/// What a check of the server of a lost run has found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerCheck {
    /// The process has ended, or will not answer any more.
    pub ended: bool,
    /// The server can't be used until it is back.
    pub down: bool,
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

/// Requests that were answered in the last moments.
#[derive(Debug, Default)]
struct RecentAnswers {
    current: IndexMap<Digest, Millis>,
    previous: IndexMap<Digest, Millis>,
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
            self.current.insert(fingerprint, now);
        }
    }

    fn contains(&mut self, now: Millis, fingerprint: &Digest) -> bool {
        self.expire(now);
        self.age(now, fingerprint).is_some()
    }

    // Time since the last answer in milliseconds.
    fn age(&self, now: Millis, fingerprint: &Digest) -> Option<u64> {
        let current = self.current.get(fingerprint);
        let at = current.or_else(|| self.previous.get(fingerprint));
        at.map(|at| now.since(*at))
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
    /// Requests whose record another instance has cleared in the last moments.
    cleared: RecentAnswers,
    /// Document in which the records were last compared.
    compared: Arc<Document>,
    /// Runs whose outcome nobody waits for any more.
    abandoned: VecDeque<(Millis, Run)>,
    /// Runs in flight, by the number of their start.
    running: IndexMap<u64, Run>,
    started: u64,
    /// When connections with a run were closed by their server.
    cuts: VecDeque<(Instant, SocketAddr)>,
    /// When an answer last came from a server.
    heard: IndexMap<SocketAddr, Instant>,
    /// When quarantined requests were last let through as trials.
    trials: IndexMap<Digest, Instant>,
    /// Servers that are being checked since a run on them went silent.
    checking: IndexSet<SocketAddr>,
}

impl Inner {
    fn add_cut(&mut self, address: SocketAddr) {
        if self.cuts.len() >= ABANDONED_RUNS_MAX {
            self.cuts.pop_front();
        }
        self.cuts.push_back((Instant::now(), address));
    }

    // Whether the outcome of a trial of a request may not be known yet.
    fn is_on_trial(&mut self, fingerprint: &Digest) -> bool {
        let limit = Millis(TRIAL_MS).duration();
        self.trials.retain(|_, at| at.elapsed() < limit);
        self.trials.contains_key(fingerprint)
    }

    // Follows the time in the document, so that trials fall due whether or not a request asks
    // for them. Requests whose record another instance has cleared, since it has answered them,
    // are not suspected here either. Returns the recorded requests that this instance has
    // answered a moment ago: those that recorded them may not know of that answer.
    fn follow(&mut self, document: &Arc<Document>, now: Millis) -> Vec<Digest> {
        if Arc::ptr_eq(&self.compared, document) {
            return Vec::new();
        }
        if document.time > self.log_time {
            (self.log_time, self.first_seen) = (document.time, now);
        }
        let before = std::mem::replace(&mut self.compared, document.clone());
        // A full set of records drops some that nobody has answered.
        if document.crashes.len() + 1 < CRASH_RECORDS_MAX {
            let gone = |(f, r): &(&Digest, &CrashRecord)| {
                document.time < r.until && !document.crashes.contains_key(*f)
            };
            for (fingerprint, _) in before.crashes.iter().filter(gone) {
                self.cleared.insert(now, *fingerprint);
                self.own.forget(fingerprint);
                self.pending.drop_crashes(fingerprint);
            }
        }
        let recorded = document.crashes.keys();
        let answered = recorded.filter(|f| {
            let age_ms = self.answered.age(now, f);
            age_ms.is_some_and(|ms| ms < ANSWERED_MS) && !self.pending.is_clearing(f)
        });
        answered.copied().collect()
    }

    // Crashes counted for a request, and the time since the last one in milliseconds.
    fn crashes(
        &mut self,
        document: &Document,
        now: Millis,
        fingerprint: &Digest,
    ) -> (Vec<Name>, u64) {
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
    pool: Arc<Pool>,
    reach: Arc<Reach>,
    /// Random for each start of the process, so that identifiers never repeat.
    start: u64,
    inner: Mutex<Inner>,
    wake: Notify,
}

impl CrashTracker {
    /// Creates a tracker without crashes. `pool` holds the idle connections to servers.
    /// Crashes count once `reach` has confirmed them. [`CrashTracker::run`] must be polled for
    /// them to be recorded.
    pub fn new(
        instance: Name,
        view: Arc<View>,
        control: ControlHandle,
        clock: Clock,
        timings: CrashTimings,
        pool: Arc<Pool>,
        reach: Arc<Reach>,
    ) -> CrashTracker {
        CrashTracker {
            instance,
            view,
            control,
            clock,
            timings,
            pool,
            reach,
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
        f: impl FnOnce(&mut Inner, Digest, &[Name], u64) -> R,
    ) -> R {
        let document = self.view.document();
        let mut inner = self.lock();
        self.follow(&mut inner, &document);
        if document.crashes.is_empty() && inner.own.is_empty() {
            return R::default();
        }
        let fingerprint = fingerprint();
        // An answer has cleared the record, and the document doesn't show it yet.
        if inner.pending.is_clearing(&fingerprint) {
            return R::default();
        }
        let (crashes, since_ms) = inner.crashes(&document, self.clock.now(), &fingerprint);
        f(&mut inner, fingerprint, &crashes, since_ms)
    }

    /// Returns the time after which a quarantined request may be sent again, in
    /// milliseconds, or `None` if it may be sent now. Of the requests that arrive when a
    /// trial is due, one for each instance of the deployment is let through on average.
    pub fn blocked_ms(
        self: &Arc<Self>,
        trial: &Trial,
        fingerprint: impl FnOnce() -> Digest,
    ) -> Option<u64> {
        self.with_crashes(fingerprint, |inner, fingerprint, crashes, since_ms| {
            let delay_ms = quarantine::trial_delay(crashes.len(), self.timings.trial_ms)?;
            let last = quarantine::last_crash(crashes);
            if since_ms < delay_ms {
                return Some(delay_ms - since_ms);
            }
            if trial.last.load(Ordering::Relaxed) == last {
                return None;
            }
            let instances = self.view.document().instances.len().max(1);
            if inner.is_on_trial(&fingerprint) || rand::random_range(0..instances) > 0 {
                return Some(TRIAL_RETRY_MS);
            }
            inner.trials.insert(fingerprint, Instant::now());
            trial.last.store(last, Ordering::Relaxed);
            trial
                .holder
                .get_or_init(|| (Arc::downgrade(self), fingerprint));
            metrics::counter!("entry_crash_trials_total").increment(1);
            None
        })
    }

    /// Number of the last crash known under a request, to be kept in its [`Run`].
    pub fn last_crash(&self, fingerprint: impl FnOnce() -> Digest) -> u64 {
        self.with_crashes(fingerprint, |_, _, crashes, _| {
            quarantine::last_crash(crashes)
        })
    }

    /// Registers a run for as long as the returned guard lives.
    pub fn start_run(self: &Arc<Self>, run: Run, trial: &Trial) -> RunGuard {
        trial.sent.store(true, Ordering::Relaxed);
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
            let document = self.view.document();
            let mut inner = self.lock();
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

    fn heard_since(&self, address: SocketAddr, since: Instant) -> bool {
        self.lock()
            .heard
            .get(&address)
            .is_some_and(|at| *at > since)
    }

    /// Checks whether the server of a run that was lost has ended, and records the crash.
    /// Completes also if the returned future is dropped, and if the result takes longer than
    /// a retry should wait for it, or than the time `left` until the answer is due.
    pub async fn check(self: &Arc<Self>, run: Run, left: Duration) -> ServerCheck {
        self.lock().add_cut(run.address);
        let tracker = self.clone();
        let check = tokio::spawn(async move { tracker.check_lost(run, RunLoss::Cut).await });
        let limit = Millis(CHECK_WAIT_MS).duration().min(left);
        match timeout(limit, check).await {
            Ok(Ok(found)) => found,
            Ok(Err(_)) | Err(_) => ServerCheck::default(),
        }
    }

    /// Checks the server of a run that has been silent for a long time, unless that is
    /// being done already.
    pub fn check_silent(self: &Arc<Self>, run: Run) {
        let quiet = !self.heard_since(run.address, run.since);
        if !quiet || !self.lock().checking.insert(run.address) {
            return;
        }
        let tracker = self.clone();
        tokio::spawn(async move {
            let address = run.address;
            tracker.check_lost(run, RunLoss::Silent).await;
            tracker.lock().checking.swap_remove(&address);
        });
    }

    /// Awaits the answer to a run, and checks its server if that takes long.
    pub async fn watch<T>(self: &Arc<Self>, run: &Run, answer: impl Future<Output = T>) -> T {
        let mut answer = std::pin::pin!(answer);
        let limit = Millis(SILENCE_CHECK_MS).duration();
        match timeout(limit, &mut answer).await {
            Ok(answered) => answered,
            Err(_) => {
                self.check_silent(run.clone());
                answer.await
            }
        }
    }

    async fn check_lost(self: &Arc<Self>, run: Run, loss: RunLoss) -> ServerCheck {
        let start = Instant::now();
        let sign = self.find_sign(&run, loss).await;
        let confirmed = !sign.is_end() || self.reach.confirm(sign.link_fault(), start).await;
        metrics::counter!("crash_checks_total", "sign" => sign.label()).increment(1);
        tracing::info!(event = "server-checked", server = %run.server, loss = ?loss,
            sign = sign.label(), confirmed);
        if !confirmed {
            self.abandon(run);
            return ServerCheck::default();
        }
        match sign.is_end() {
            true => self.record_end(run, sign, start),
            // Another run may show that the server has ended.
            false if sign == Sign::Full => self.abandon(run),
            false => {}
        }
        ServerCheck {
            ended: sign.is_end(),
            down: sign.is_down(),
        }
    }

    // Records the crash of a server under a run, and under the others that it has taken
    // with it: those that were in flight before `start`, unless the server has closed its
    // port, since they may still be answered then.
    fn record_end(&self, run: Run, sign: Sign, start: Instant) {
        let mut inner = self.lock();
        let address = run.address;
        let (lost, rest): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut inner.abandoned)
            .into_iter()
            .partition(|(_, r)| r.address == address);
        inner.abandoned = rest;
        let now = self.clock.now();
        let lost = lost.into_iter();
        let recent = lost.filter(|(at, _)| now.since(*at) < ABANDONED_RUN_MS);
        let mut runs: Vec<Run> = recent.map(|(_, run)| run).collect();
        if !sign.is_down() {
            let lost = |r: &&Run| r.address == address && r.since <= start;
            let in_flight = inner.running.values().filter(lost);
            runs.extend(in_flight.cloned());
        }
        drop(inner);
        runs.push(run);
        runs.iter().for_each(|run| self.record_crash(run, sign));
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
        if inner.abandoned.is_empty() || self.reach.state() != State::Reached {
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
        for mut runs in by_address.into_values() {
            let tracker = self.clone();
            tokio::spawn(async move {
                let (first, start) = (runs.swap_remove(0), Instant::now());
                let sign = tracker.find_sign(&first, RunLoss::Abandoned).await;
                let reach = &tracker.reach;
                if sign.is_end() && reach.confirm(sign.link_fault(), start).await {
                    runs.push(first);
                    runs.iter().for_each(|run| tracker.record_crash(run, sign));
                }
            });
        }
    }

    // Records that a server crashed under a run.
    fn record_crash(&self, run: &Run, sign: Sign) {
        let (now, document) = (self.clock.now(), self.view.document());
        let fingerprint = &run.fingerprint;
        let mut inner = self.lock();
        self.follow(&mut inner, &document);
        let (crashes, _) = inner.crashes(&document, now, fingerprint);
        let answered =
            inner.answered.contains(now, fingerprint) || inner.cleared.contains(now, fingerprint);
        let crash = quarantine::next_crash(&crashes, run.known).filter(|_| !answered);
        metrics::counter!("entry_backend_crashes_total").increment(1);
        tracing::info!(event = "server-ended", server = %run.server, %fingerprint,
            sign = sign.label(), known = run.known, answered, crash = crash.as_deref());
        let Some(crash) = crash else {
            return;
        };
        inner.own.record_crash(now, *fingerprint, &crash);
        // Reports of earlier crashes may have been dropped.
        for crash in inner.own.crashes(now, fingerprint).to_vec() {
            let request = self.request_id(fingerprint, &crash);
            inner.pending.add_crash(*fingerprint, crash, request);
        }
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
        if !inner.pending.is_clearing(&fingerprint) && known {
            self.clear(&mut inner, fingerprint, &document);
        }
    }

    fn follow(&self, inner: &mut Inner, document: &Arc<Document>) {
        for fingerprint in inner.follow(document, self.clock.now()) {
            self.clear(inner, fingerprint, document);
        }
    }

    fn clear(&self, inner: &mut Inner, fingerprint: Digest, document: &Document) {
        metrics::counter!("entry_crashes_cleared_total").increment(1);
        tracing::info!(event = "crashes-cleared", %fingerprint);
        let request = self.request_id(&fingerprint, "clear");
        let instances = document.instances.len();
        inner.pending.add_clear(fingerprint, request, instances);
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
