//! What a backend server has told this instance about sending it requests.

use pomelovale_state::Millis;

/// Longest rest that a server is given at a time, in milliseconds. It is asked again after
/// that, whatever it said.
pub const REST_MAX_MS: u64 = 600_000;

/// Whether a server wants requests of this instance. It tells each instance by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    rest_until: Millis,
}

impl Availability {
    /// Records that the server wants nothing for a time in milliseconds. Returns whether it
    /// had wanted requests until now.
    pub fn record_rest(&mut self, now: Millis, rest_ms: u64) -> bool {
        let began = self.is_open(now) && rest_ms > 0;
        let until = now.plus(rest_ms.min(REST_MAX_MS));
        self.rest_until = self.rest_until.max(until);
        began
    }

    /// Time for which the server still rests, in milliseconds; 0 if it doesn't.
    pub fn rest_ms(&self, now: Millis) -> u64 {
        self.rest_until.since(now)
    }

    /// Whether the server may be sent requests.
    pub fn is_open(&self, now: Millis) -> bool {
        self.rest_ms(now) == 0
    }
}
