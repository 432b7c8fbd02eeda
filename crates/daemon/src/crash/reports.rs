//! Proposals that record and clear crashes, repeated until they are accepted.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use pomelovale_state::command::{Applied, Change, Command, CRASH_RECORDS_MAX};
use pomelovale_state::document::Digest;
use pomelovale_state::{Millis, Name};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::CrashTracker;

/// Maximum number of changes that wait for a proposal. When servers end together and more of
/// their requests are reported, those with the fewest crashes are dropped, and of these the
/// oldest ones, as in the document.
const PENDING_MAX: usize = CRASH_RECORDS_MAX;
/// Maximum number of changes that are proposed at the same time.
const BATCH_MAX: usize = 16;
/// Pause between two batches, and before a failed proposal is repeated, in
/// milliseconds.
const BATCH_PAUSE_MS: u64 = 200;
/// Longest delay of a clearing change for each instance of the deployment, in
/// milliseconds. Many instances may answer a popular request at once; the first
/// proposal makes the others unnecessary.
const CLEAR_DELAY_MS: u64 = 5;
const VIEW_POLL_MS: u64 = 5;

/// A change of the record of one request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum RecordChange {
    Clear,
    /// Adds the crash with this identifier.
    Crash(Name),
}

/// Proposal of a change.
#[derive(Clone, Debug)]
struct Proposal {
    /// Identifier, the same when the proposal is repeated.
    request: Name,
    due: Instant,
}

/// Changes that are still to be accepted.
#[derive(Debug, Default)]
pub(super) struct PendingChanges(IndexMap<(Digest, RecordChange), Proposal>);

impl PendingChanges {
    /// Adds a crash, unless it is pending.
    pub(super) fn add_crash(&mut self, fingerprint: Digest, crash: Name, request: Name) {
        let change = RecordChange::Crash(crash);
        if !self.0.contains_key(&(fingerprint, change.clone())) {
            self.add(fingerprint, change, request, 0);
        }
    }

    /// Adds the clearing of a record, which replaces the crashes that are pending.
    /// `instances` is the number of instances that may do the same.
    pub(super) fn add_clear(&mut self, fingerprint: Digest, request: Name, instances: usize) {
        self.0.retain(|(f, _), _| *f != fingerprint);
        let delay_ms = rand::random_range(0..=CLEAR_DELAY_MS * instances as u64);
        self.add(fingerprint, RecordChange::Clear, request, delay_ms);
    }

    /// Drops the crashes of a request whose record was cleared.
    pub(super) fn drop_crashes(&mut self, fingerprint: &Digest) {
        let is_crash = |change: &RecordChange| matches!(change, RecordChange::Crash(_));
        self.0
            .retain(|(f, change), _| f != fingerprint || !is_crash(change));
    }

    fn add(&mut self, fingerprint: Digest, change: RecordChange, request: Name, delay_ms: u64) {
        let due = Instant::now() + Millis(delay_ms).duration();
        self.0
            .insert((fingerprint, change), Proposal { request, due });
        if self.0.len() > PENDING_MAX {
            metrics::counter!("crash_reports_dropped_total").increment(1);
            let ranks = self.ranks();
            let least = self
                .0
                .keys()
                .enumerate()
                .min_by_key(|(_, k)| rank(&ranks, k));
            if let Some((least, _)) = least {
                self.0.shift_remove_index(least);
            }
        }
    }

    // Number of pending changes of each request.
    fn ranks(&self) -> IndexMap<Digest, usize> {
        let mut ranks = IndexMap::new();
        for (fingerprint, _) in self.0.keys() {
            *ranks.entry(*fingerprint).or_insert(0) += 1;
        }
        ranks
    }

    /// Whether a change of the record of a request is pending.
    pub(super) fn contains(&self, fingerprint: &Digest) -> bool {
        self.0.keys().any(|(f, _)| f == fingerprint)
    }

    /// Whether the record of a request is to be cleared.
    pub(super) fn is_clearing(&self, fingerprint: &Digest) -> bool {
        self.0.contains_key(&(*fingerprint, RecordChange::Clear))
    }

    fn next_due(&self) -> Option<Instant> {
        self.0.values().map(|p| p.due).min()
    }

    // The most urgent changes that are due.
    fn due(&self, now: Instant) -> Vec<(Digest, RecordChange, Name)> {
        let ranks = self.ranks();
        let due = self.0.iter().filter(|(_, p)| p.due <= now);
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(key, _)| Reverse(rank(&ranks, key)));
        due.into_iter()
            .take(BATCH_MAX)
            .map(|((f, change), p)| (*f, change.clone(), p.request.clone()))
            .collect()
    }

    // Removes a change, unless it was added anew.
    fn remove(&mut self, fingerprint: Digest, change: RecordChange, request: &Name) {
        let key = (fingerprint, change);
        if self.0.get(&key).is_some_and(|p| p.request == *request) {
            self.0.shift_remove(&key);
        }
    }
}

// How urgent a change is: an answer ends the refusal of a request, and a request with several
// crashes is to be refused by all instances.
fn rank(ranks: &IndexMap<Digest, usize>, (fingerprint, change): &(Digest, RecordChange)) -> usize {
    match change {
        RecordChange::Clear => usize::MAX,
        RecordChange::Crash(_) => ranks.get(fingerprint).copied().unwrap_or(0),
    }
}

impl CrashTracker {
    /// Proposes the pending changes until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next = self.lock().pending.next_due();
            let Some(due) = next else {
                self.wake.notified().await;
                continue;
            };
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.wake.notified() => continue,
            }
            let mut batch = JoinSet::new();
            let changes = self.lock().pending.due(Instant::now());
            for (fingerprint, change, request) in changes {
                let tracker = self.clone();
                batch.spawn(async move { tracker.propose(fingerprint, change, request).await });
            }
            let full = batch.len() == BATCH_MAX;
            let accepted = batch.join_all().await;
            if full || accepted.contains(&false) {
                sleep(Millis(BATCH_PAUSE_MS).duration()).await;
            }
        }
    }

    // Proposes one change, and waits until it has reached this instance's view. Returns
    // whether it was accepted; otherwise, it stays pending.
    async fn propose(&self, fingerprint: Digest, change: RecordChange, request: Name) -> bool {
        let document = self.view.document();
        let record = document.crashes.get(&fingerprint);
        let done = match &change {
            RecordChange::Clear => record.is_none(),
            RecordChange::Crash(crash) => record.is_some_and(|r| r.crashed.contains(crash)),
        };
        if !done {
            let command = match &change {
                RecordChange::Clear => Command::ClearCrash(fingerprint),
                RecordChange::Crash(crash) => Command::RecordCrash {
                    fingerprint,
                    crash: crash.clone(),
                },
            };
            let proposal = Change {
                request: request.clone(),
                sender: self.instance.clone(),
                base: None,
                at: Millis(0),
                command,
            };
            let limit = Millis(self.timings.control_ms).duration();
            let proposed = timeout(limit, self.control.propose(proposal)).await;
            let Ok(Ok(Applied::Accepted { version, .. })) = proposed else {
                return false;
            };
            self.wait_for_version(version).await;
        }
        let mut inner = self.lock();
        inner.pending.remove(fingerprint, change, &request);
        if !inner.pending.contains(&fingerprint) {
            // The document has the crashes now, and an answer clears them there.
            inner.own.forget(&fingerprint);
        }
        true
    }

    async fn wait_for_version(&self, version: u64) {
        let in_view = async {
            while self.view.document().version < version {
                sleep(Millis(VIEW_POLL_MS).duration()).await;
            }
        };
        let limit = Millis(self.timings.spread_ms).duration();
        let _ = timeout(limit, in_view).await;
    }

    /// Waits until the crashes of a request are recorded and this instance's view has
    /// them, so that a resend through another instance already counts them.
    pub async fn wait_until_recorded(&self, fingerprint: &Digest, left: Duration) {
        let recorded = async {
            while self.lock().pending.contains(fingerprint) {
                sleep(Millis(VIEW_POLL_MS).duration()).await;
            }
        };
        let limit = Millis(self.timings.spread_ms).duration().min(left);
        let _ = timeout(limit, recorded).await;
    }

    /// Waits until all changes are accepted, at most for `limit`.
    pub async fn flush(&self, limit: Duration) {
        let empty = async {
            while self.lock().pending.next_due().is_some() {
                sleep(Millis(VIEW_POLL_MS).duration()).await;
            }
        };
        let _ = timeout(limit, empty).await;
    }
}
