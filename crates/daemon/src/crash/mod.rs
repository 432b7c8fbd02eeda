//! Requests under which backend servers crashed.
//!
//! A request that crashes each server that runs it is quarantined on all instances.
//! Instances recognize it by its fingerprint and record crashes in the document. A
//! crash counts only if the run began after the previous counted crash was known,
//! so that servers which end together count once, however many copies of a popular
//! request they ran. An answer clears the record, and a request that was answered a
//! moment ago is not suspected.

mod answers;
mod check;
mod lost_runs;
mod reports;
mod runs;
mod trials;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::{IndexMap, IndexSet};
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_state::command::{CRASH_RECORDS_MAX, CRASH_RETENTION_MS};
use pomelovale_state::document::{CrashRecord, Digest, Document};
use pomelovale_state::{Clock, Millis, Name};
use pomelovale_steering::quarantine::{self, Quarantine};
use pomelovale_transport::pool::Pool;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::reach::Reach;
use answers::{RecentAnswers, ANSWERED_MS};
pub use check::RunLoss;
use check::Sign;
pub use lost_runs::{ServerCheck, SILENCE_CHECK_MS};
use reports::PendingChanges;
pub use runs::{Run, RunGuard};
pub use trials::Trial;

/// Bytes at the start of a body that a fingerprint covers, so that large bodies don't
/// delay other requests.
const FINGERPRINT_BODY_BYTES: usize = 64 * 1024;

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
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Runs `f` on the crashes of a request. The fingerprint is only computed if there
    // is any record to compare it with.
    fn with_crashes<R: Default>(
        &self,
        fingerprint: impl FnOnce() -> Digest,
        f: impl FnOnce(&mut Inner, Digest, &[Name], u64) -> R,
    ) -> R {
        let mut inner = self.lock();
        let document = self.view.document();
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

    /// Number of the last crash known under a request, to be kept in its [`Run`].
    pub fn last_crash(&self, fingerprint: impl FnOnce() -> Digest) -> u64 {
        self.with_crashes(fingerprint, |_, _, crashes, _| {
            quarantine::last_crash(crashes)
        })
    }

    // Records that a server crashed under a run.
    fn record_crash(&self, run: &Run, sign: Sign) {
        let fingerprint = &run.fingerprint;
        let mut inner = self.lock();
        let (now, document) = (self.clock.now(), self.view.document());
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

    // `document` must be read under the lock, so that no thread follows an older one after a
    // newer one: its records would look cleared.
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
