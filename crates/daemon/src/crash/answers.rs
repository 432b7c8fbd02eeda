//! Requests that were answered in the last moments, which are not suspected.

use indexmap::IndexMap;
use pomelovale_state::document::Digest;
use pomelovale_state::Millis;

/// Shortest time after an answer for which crashes don't count against the request, in
/// milliseconds. The longest one is twice that.
pub(super) const ANSWERED_MS: u64 = 5_000;
/// Maximum number of requests that are remembered as answered in that time.
const ANSWERED_MAX: usize = 8_192;

/// Requests that were answered in the last moments.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
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

    pub(super) fn insert(&mut self, now: Millis, fingerprint: Digest) {
        self.expire(now);
        if self.current.len() < ANSWERED_MAX {
            self.current.insert(fingerprint, now);
        }
    }

    pub(super) fn contains(&mut self, now: Millis, fingerprint: &Digest) -> bool {
        self.expire(now);
        self.age(now, fingerprint).is_some()
    }

    // Time since the last answer in milliseconds.
    pub(super) fn age(&self, now: Millis, fingerprint: &Digest) -> Option<u64> {
        let current = self.current.get(fingerprint);
        let at = current.or_else(|| self.previous.get(fingerprint));
        at.map(|at| now.since(*at))
    }
}
