//! Adaptive concurrency limit of one service on one entry, from the latencies and
//! failures that the entry measures itself.

use pomelovale_state::Millis;

use crate::AttemptEnd;

/// Factor applied to the limit on congestion.
const DECREASE_FACTOR: f64 = 0.9;

/// Shortest time between two decreases, in milliseconds, so that responses to
/// requests sent before the first decrease do not cause a second one.
const DECREASE_INTERVAL_MS: u64 = 100;

/// Ratio of the recent latency to its floor above which the service counts as
/// congested.
const CONGESTED_RATIO: f64 = 2.5;

/// Ratio of the recent latency to its floor below which the limit may grow.
const GROWTH_RATIO_MAX: f64 = 2.0;

/// Weight of a new sample in the recent latency. With a higher weight the average
/// varies so much that its minimum lies far below the typical latency, and an
/// idle service looks congested.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Relative rise of the latency floor per sample, so that it follows a permanent
/// change within a few thousand requests.
const FLOOR_RISE: f64 = 0.000_2;

/// A limit on the requests in flight.
#[derive(Clone, Debug)]
pub struct Limit {
    value: f64,
    min: f64,
    max: f64,
    floor_ms: f64,
    recent_ms: f64,
    samples: f64,
    decreased_at: Millis,
}

impl Limit {
    /// A limit that starts at `start` and stays between `min` and `max`.
    pub fn new(start: u32, min: u32, max: u32) -> Limit {
        Limit {
            value: f64::from(start),
            min: f64::from(min),
            max: f64::from(max),
            floor_ms: 0.0,
            recent_ms: 0.0,
            samples: 0.0,
            decreased_at: Millis(0),
        }
    }

    /// Requests that may be in flight.
    pub fn current(&self) -> u32 {
        self.value as u32
    }

    /// Latency without congestion, in milliseconds; zero before the first sample.
    pub fn floor_ms(&self) -> f64 {
        self.floor_ms
    }

    /// Changes the bounds, for example when backend servers join or leave.
    pub fn set_bounds(&mut self, min: u32, max: u32) {
        (self.min, self.max) = (f64::from(min), f64::from(max.max(min)));
        self.value = self.value.clamp(self.min, self.max);
    }

    /// Records the end of a request and adjusts the limit. `in_flight` is the
    /// number of requests that were in flight, including this one.
    pub fn record(&mut self, now: Millis, end: AttemptEnd, latency_ms: u64, in_flight: u32) {
        match end {
            AttemptEnd::Complete => self.record_latency(now, latency_ms as f64, in_flight),
            AttemptEnd::Shed | AttemptEnd::TimedOut => self.decrease(now),
            AttemptEnd::Cancelled | AttemptEnd::Failed => {}
        }
    }

    fn record_latency(&mut self, now: Millis, latency_ms: f64, in_flight: u32) {
        let latency_ms = latency_ms.max(1.0);
        self.samples += 1.0;
        self.recent_ms += (latency_ms - self.recent_ms) * SAMPLE_WEIGHT.max(1.0 / self.samples);
        self.floor_ms = match self.samples * SAMPLE_WEIGHT < 1.0 {
            true => self.recent_ms,
            false => (self.floor_ms * (1.0 + FLOOR_RISE)).min(self.recent_ms),
        };
        let ratio = self.recent_ms / self.floor_ms;
        let near_limit = f64::from(in_flight) >= self.value * 0.8;
        match ratio {
            r if r > CONGESTED_RATIO => self.decrease(now),
            r if r < GROWTH_RATIO_MAX && near_limit => {
                self.value = (self.value + 1.0 / self.value).min(self.max)
            }
            _ => {}
        }
    }

    fn decrease(&mut self, now: Millis) {
        if now.since(self.decreased_at) >= DECREASE_INTERVAL_MS {
            self.decreased_at = now;
            self.value = (self.value * DECREASE_FACTOR).max(self.min);
        }
    }
}
