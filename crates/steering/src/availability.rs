//! What a backend server has told this instance about sending it requests.

use pomelovale_state::Millis;

/// Longest rest that a server is given at a time, in milliseconds. It is asked again after
/// that, whatever it said.
pub const REST_MAX_MS: u64 = 600_000;

/// Interval at which a server that has said that it leaves is probed, in milliseconds: one
/// that starts again may keep its name.
const LEAVING_PROBE_MS: u64 = 5_000;

/// Time for which it is kept that a server leaves that is not listed, in milliseconds.
const UNLISTED_MS: u64 = 60_000;

/// Time for which an answer to a probe shows that a server stays, in milliseconds: less than the
/// time after which it may get no more requests, by the way of the answer.
const STAYING_MS: u64 = 2_000;

/// Time after which a server is asked again whether it stays if its last answer didn't show
/// it, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// Whether a server wants requests of this instance. It tells each instance by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    rest_until: Millis,
    // When the server last said that it leaves, or was probed since.
    leaving: Option<Millis>,
    // When the server last showed that it stays.
    staying: Option<Millis>,
    // When it was last asked whether it stays and didn't show it.
    unconfirmed: Option<Millis>,
}

impl Availability {
    /// Records that the server wants nothing for a time in milliseconds. Returns whether it
    /// had wanted requests until now.
    pub fn record_rest(&mut self, now: Millis, rest_ms: u64) -> bool {
        let began = self.rest_ms(now) == 0 && rest_ms > 0;
        let until = now.plus(rest_ms.min(REST_MAX_MS));
        self.rest_until = self.rest_until.max(until);
        began
    }

    /// Time for which the server still rests, in milliseconds; 0 if it doesn't.
    pub fn rest_ms(&self, now: Millis) -> u64 {
        self.rest_until.since(now)
    }

    /// Records that the server says that it leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Millis) -> bool {
        self.staying = None;
        self.leaving.replace(now).is_none()
    }

    /// Records that the server has answered a probe that it would refuse if it left.
    pub fn record_staying(&mut self, now: Millis) {
        self.staying = Some(now);
    }

    /// Records an answer that may be that of a server which leaves.
    pub fn record_doubt(&mut self) {
        self.staying = None;
    }

    /// Whether the server has shown recently that it stays.
    pub fn is_staying(&self, now: Millis) -> bool {
        let recent = |at: Millis| now.since(at) < STAYING_MS;
        self.leaving.is_none() && self.staying.is_some_and(recent)
    }

    /// Records that the server was asked whether it stays and didn't show it.
    pub fn record_unconfirmed(&mut self, now: Millis) {
        self.unconfirmed = Some(now);
    }

    /// Whether the server may be asked whether it stays.
    pub fn may_check(&self, now: Millis) -> bool {
        let recent = |at: Millis| now.since(at) < CHECK_INTERVAL_MS;
        self.is_open(now) && !self.unconfirmed.is_some_and(recent)
    }

    /// Records that the server doesn't say that it leaves any more.
    pub fn record_back(&mut self) {
        self.leaving = None;
    }

    /// Whether the server has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns true if a leaving server is due for a probe, and schedules the next one.
    pub fn take_probe(&mut self, now: Millis) -> bool {
        let due = self
            .leaving
            .is_some_and(|at| now.since(at) >= LEAVING_PROBE_MS);
        if due {
            self.leaving = Some(now);
        }
        due
    }

    /// Whether this is still worth knowing if the server is not listed: it rests, or has said
    /// recently that it leaves.
    pub fn is_remembered(&self, now: Millis) -> bool {
        let left = |at: Millis| now.since(at) < UNLISTED_MS;
        self.rest_ms(now) > 0 || self.leaving.is_some_and(left)
    }

    /// Whether the server may be sent requests.
    pub fn is_open(&self, now: Millis) -> bool {
        self.rest_ms(now) == 0 && !self.is_leaving()
    }
}
