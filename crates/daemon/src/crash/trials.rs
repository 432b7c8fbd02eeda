//! Trials of quarantined requests: single sends that show whether they are innocent.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, Weak};

use pomelovale_state::document::Digest;
use pomelovale_state::Millis;
use pomelovale_steering::quarantine;
use tokio::time::Instant;

use super::{CrashTracker, Inner};

/// Time after which a quarantined request may come again if a trial was due but another
/// one may have been let through, in milliseconds.
const TRIAL_RETRY_MS: u64 = 1_000;
/// Time in which the outcome of a trial becomes known, also if its server falls silent, in
/// milliseconds.
const TRIAL_MS: u64 = 3_000;

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

    pub(super) fn record_send(&self) {
        self.sent.store(true, Ordering::Relaxed);
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

impl Inner {
    // Whether the outcome of a trial of a request may not be known yet.
    fn is_on_trial(&mut self, fingerprint: &Digest) -> bool {
        let limit = Millis(TRIAL_MS).duration();
        self.trials.retain(|_, at| at.elapsed() < limit);
        self.trials.contains_key(fingerprint)
    }
}

impl CrashTracker {
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
}
