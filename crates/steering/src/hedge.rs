//! Request hedging: a second attempt for a request that takes unusually long.

use pomelovale_state::Millis;

use crate::retry::RetryBudget;
use crate::Class;

/// Latency percentile that is used as the hedging delay. At 0.95, hedges take 5% of
/// the capacity, and queueing times rise instead of falling.
pub const HEDGE_PERCENTILE: f64 = 0.99;

/// Shortest delay before a hedge in milliseconds.
pub const HEDGE_MIN_DELAY_MS: f64 = 5.0;

/// Number of latencies to record before requests are hedged.
pub const HEDGE_MIN_SAMPLES: u64 = 100;

/// Share of hedges that must finish before the first attempt; below it, the delay
/// is extended. A low win rate means that long requests are long because of their
/// own work, so a second attempt only takes capacity.
const MIN_WIN_RATE: f64 = 0.2;

/// Weight of a new sample in the win rate.
const WIN_RATE_WEIGHT: f64 = 0.05;

/// Factor on the delay while the win rate is low. The extended delay is still well
/// below the timeout, so requests at an unresponsive server are hedged in time.
const LOW_WIN_RATE_FACTOR: f64 = 2.0;

/// Step of the percentile estimate per sample, relative to the estimate.
const RELATIVE_STEP: f64 = 0.02;

/// Whether requests are hedged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgePolicy {
    /// No hedging; a baseline for benchmarks.
    Off,
    /// After a high percentile of the latency, see [`HEDGE_PERCENTILE`].
    Percentile,
}

/// Estimates the hedging delay of one service.
#[derive(Clone, Debug)]
pub struct Hedge {
    policy: HedgePolicy,
    /// Estimate of the latency percentile.
    delay_ms: f64,
    samples: u64,
    /// Moving average of the share of hedges that finished first.
    win_rate: f64,
}

impl Hedge {
    /// Creates an estimate without samples.
    pub fn new(policy: HedgePolicy) -> Hedge {
        Hedge {
            policy,
            delay_ms: HEDGE_MIN_DELAY_MS,
            samples: 0,
            win_rate: MIN_WIN_RATE,
        }
    }

    /// Records the latency of a completed idempotent request.
    ///
    /// A latency above the estimate raises it by a step, and a latency below
    /// lowers it by a smaller step. The ratio of the steps sets the percentile.
    pub fn record(&mut self, latency_ms: u64) {
        self.samples += 1;
        let step_factor = if self.samples < HEDGE_MIN_SAMPLES {
            5.0
        } else {
            1.0
        };
        let step = self.delay_ms * RELATIVE_STEP * step_factor;
        self.delay_ms += match (latency_ms as f64) > self.delay_ms {
            true => step * HEDGE_PERCENTILE,
            false => -step * (1.0 - HEDGE_PERCENTILE),
        };
        self.delay_ms = self.delay_ms.max(HEDGE_MIN_DELAY_MS);
    }

    /// Records whether the second attempt of a hedged request finished first.
    pub fn record_hedge(&mut self, won: bool) {
        let won = f64::from(u8::from(won));
        self.win_rate += (won - self.win_rate) * WIN_RATE_WEIGHT;
    }

    /// Delay after which a second attempt may start. Returns `None` if requests are
    /// not hedged.
    pub fn delay(&self) -> Option<Millis> {
        let ready = self.policy == HedgePolicy::Percentile && self.samples >= HEDGE_MIN_SAMPLES;
        let factor = if self.win_rate < MIN_WIN_RATE {
            LOW_WIN_RATE_FACTOR
        } else {
            1.0
        };
        ready.then_some(Millis((self.delay_ms * factor).ceil() as u64))
    }

    /// Whether a request whose delay has passed gets a second attempt. If so, the
    /// attempt is taken from the retry budget. A request that was in flight when a
    /// server crashed (`suspect`) is never hedged.
    pub fn try_hedge(&self, class: Class, suspect: bool, budget: &mut RetryBudget) -> bool {
        self.delay().is_some() && class == Class::Idempotent && !suspect && budget.try_spend()
    }
}
