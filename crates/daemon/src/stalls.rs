//! Notices that this process has stood still, for example frozen or suspended.
//!
//! What is read after that may have waited in its socket for as long. Its sender may have
//! given it up meanwhile, and sent something else to another instance.

use std::sync::{Mutex, PoisonError};

use pomelovale_state::{Clock, Millis};

/// Shortest time without an observation that counts as a stall, in milliseconds. Shorter
/// than the second after which operators turn to another instance.
const STALL_MS: u64 = 500;
/// Time after a stall within which what arrived meanwhile is read, in milliseconds.
const READ_MS: u64 = 1_000;

#[derive(Debug)]
struct Observed {
    last: Millis,
    /// Start and end of the last stall.
    stall: Option<(Millis, Millis)>,
}

/// Observations of a task that runs all the time.
#[derive(Debug)]
pub struct Stalls {
    clock: Clock,
    observed: Mutex<Observed>,
}

impl Stalls {
    /// Starts with an observation.
    pub fn new(clock: Clock) -> Stalls {
        let last = clock.now();
        let stall = None;
        let observed = Mutex::new(Observed { last, stall });
        Stalls { clock, observed }
    }

    /// Records that the process runs. Called more often than every [`STALL_MS`].
    pub fn observe(&self) {
        self.last_stall();
    }

    /// Longest time for which something that has just been read may have waited, in
    /// milliseconds.
    pub fn unread_ms(&self) -> u64 {
        let now = self.clock.now();
        match self.last_stall() {
            Some((start, end)) if now.since(end) < READ_MS => now.since(start),
            _ => 0,
        }
    }

    /// Whether the process has stood still since a time.
    pub fn any_since(&self, time: Millis) -> bool {
        self.last_stall().is_some_and(|(_, end)| end >= time)
    }

    fn last_stall(&self) -> Option<(Millis, Millis)> {
        let now = self.clock.now();
        let mut observed = self.observed.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(observed.last) >= STALL_MS {
            observed.stall = Some((observed.last, now));
        }
        observed.last = now;
        observed.stall
    }
}
