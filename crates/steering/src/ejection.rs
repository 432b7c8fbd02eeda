//! Ejection of a backend server after failures that the entry has seen itself, and
//! its return after a probation.

use pomelovale_state::Millis;

use crate::AttemptEnd;

/// Consecutive failures that eject a server. A single timeout ejects it at once.
const CONSECUTIVE_FAILURES: u32 = 3;

/// Recent failure rate above which a server is ejected even if its failures are
/// not consecutive.
const EJECTION_FAILURE_RATE: f64 = 0.5;

/// Weight of a new sample in the failure rate.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Duration of the first ejection in milliseconds; each further one is twice as
/// long.
const EJECTION_MS: u64 = 1_000;

/// Longest duration of an ejection in milliseconds, before jitter.
const EJECTION_MAX_MS: u64 = 30_000;

/// Attempts that must succeed, one at a time, to end the probation.
const PROBATION_PASSES: u32 = 3;

/// Greatest share of the servers of a region that may be ejected or on probation.
/// One server may always be ejected if the region has others.
pub const EJECTED_SHARE_MAX: f64 = 0.34;

/// Whether a server gets requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// No requests.
    Ejected {
        /// End of the ejection.
        until: Millis,
    },
    /// One idempotent request at a time.
    Probation {
        /// Attempts that succeeded so far.
        passed: u32,
    },
    /// Requests as usual.
    Serving,
}

/// Failure record of one server.
#[derive(Clone, Debug)]
pub struct Ejection {
    health: Health,
    consecutive_failures: u32,
    failure_rate: f64,
    ejections: u32,
}

impl Default for Ejection {
    fn default() -> Ejection {
        Ejection {
            health: Health::Serving,
            consecutive_failures: 0,
            failure_rate: 0.0,
            ejections: 0,
        }
    }
}

impl Ejection {
    /// Whether the server gets requests at `now`.
    pub fn health(&self, now: Millis) -> Health {
        match self.health {
            Health::Ejected { until } if now >= until => Health::Probation { passed: 0 },
            health => health,
        }
    }

    /// Recent share of failed attempts.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records the end of an attempt. `may_eject` tells whether one more server may
    /// be ejected; `jitter`, from 0 to 1, lengthens an ejection by up to half, so
    /// that servers do not return at the same time. Returns true if the server has
    /// just passed its probation.
    pub fn record(&mut self, now: Millis, end: AttemptEnd, may_eject: bool, jitter: f64) -> bool {
        let failed = match end {
            AttemptEnd::Cancelled | AttemptEnd::Shed => return false,
            AttemptEnd::Complete => 0.0,
            AttemptEnd::Failed | AttemptEnd::TimedOut => 1.0,
        };
        self.failure_rate += (failed - self.failure_rate) * SAMPLE_WEIGHT;
        match failed > 0.0 {
            true => self.record_failure(now, end, may_eject, jitter),
            false => self.record_success(now),
        }
    }

    fn record_success(&mut self, now: Millis) -> bool {
        self.consecutive_failures = 0;
        match self.health(now) {
            Health::Probation { passed } if passed + 1 >= PROBATION_PASSES => {
                self.health = Health::Serving;
                self.failure_rate = 0.0;
                true
            }
            Health::Probation { passed } => {
                self.health = Health::Probation { passed: passed + 1 };
                false
            }
            Health::Ejected { .. } => false,
            Health::Serving => {
                self.ejections = if self.failure_rate < 0.05 {
                    0
                } else {
                    self.ejections
                };
                false
            }
        }
    }

    fn record_failure(
        &mut self,
        now: Millis,
        end: AttemptEnd,
        may_eject: bool,
        jitter: f64,
    ) -> bool {
        self.consecutive_failures += 1;
        let on_probation = matches!(self.health(now), Health::Probation { .. });
        let over_threshold = self.consecutive_failures >= CONSECUTIVE_FAILURES
            || self.failure_rate > EJECTION_FAILURE_RATE;
        match self.health {
            Health::Ejected { until } if now < until => {}
            _ if on_probation => self.eject(now, jitter),
            _ if may_eject && (over_threshold || end == AttemptEnd::TimedOut) => {
                self.eject(now, jitter)
            }
            _ => {}
        }
        false
    }

    fn eject(&mut self, now: Millis, jitter: f64) {
        let base = (EJECTION_MS << self.ejections.min(5)).min(EJECTION_MAX_MS);
        let until = now.plus(base + (base as f64 * 0.5 * jitter) as u64);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.health = Health::Ejected { until };
    }
}
