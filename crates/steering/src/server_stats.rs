//! Statistics of one entry about one backend server.

use pomelovale_state::Millis;
use serde::{Deserialize, Serialize};

use crate::AttemptEnd;

/// Weight of a new sample in the average latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a report in the average load of the other entries.
const REPORT_SAMPLE_WEIGHT: f64 = 0.3;

/// Age at which a load report has lost all weight, in milliseconds.
pub const REPORT_MAX_MS: u64 = 5_000;

/// Shortest time without a response to outstanding requests after which a server
/// counts as stalled, in milliseconds.
const STALL_MIN_MS: f64 = 200.0;

/// Time without a response to outstanding requests after which a server counts as
/// stalled, as a multiple of its recent latency.
const STALL_FACTOR: f64 = 8.0;

/// Shortest time without a response after which a cancelled attempt counts as a
/// failure, in milliseconds.
const SILENT_MIN_MS: f64 = 50.0;

/// Time without a response after which a cancelled attempt counts as a failure, as
/// a multiple of the recent latency of the server.
const SILENT_FACTOR: f64 = 2.0;

/// Time after a shed response without further requests, in milliseconds.
const SHED_PAUSE_MS: u64 = 25;

/// Duration of the slow start of a cold server, in milliseconds.
pub const SLOW_START_MS: u64 = 5_000;

/// Share of its slots that may be filled at the beginning of the slow start.
const SLOW_START_SHARE: f64 = 0.2;

/// Idle time after which a server counts as cold, in milliseconds.
pub const IDLE_MS: u64 = 30_000;

/// Load as a backend server reports it to an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Requests that run.
    pub busy: u32,
    /// Requests that wait in it.
    pub queued: u32,
}

/// Statistics of one backend server.
#[derive(Clone, Debug, Default)]
pub struct ServerStats {
    outstanding: u32,
    latency_ms: f64,
    last_response: Millis,
    paused_until: Millis,
    /// Beginning of the last slow start.
    slow_start: Option<Millis>,
    last_used: Option<Millis>,
    reported_at: Option<Millis>,
    reported_load: f64,
    others_load: f64,
}

impl ServerStats {
    /// Own requests outstanding.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Recent latency in milliseconds; zero before the first response.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Begins a slow start.
    pub fn begin_slow_start(&mut self, now: Millis) {
        self.slow_start = Some(now);
    }

    /// Share of the slots that may be filled now; 1 after the slow start.
    pub fn slow_start_share(&self, now: Millis) -> f64 {
        match self.slow_start {
            None => 1.0,
            Some(from) => {
                (now.since(from) as f64 / SLOW_START_MS as f64).clamp(SLOW_START_SHARE, 1.0)
            }
        }
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, now: Millis) {
        match self.last_used {
            Some(used) if self.outstanding == 0 && now.since(used) > IDLE_MS => {
                self.begin_slow_start(now)
            }
            _ => {}
        }
        if self.outstanding == 0 {
            self.last_response = now;
        }
        self.last_used = Some(now);
        self.outstanding += 1;
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, now: Millis, end: AttemptEnd, latency_ms: u64) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match end {
            AttemptEnd::Complete => {
                self.last_response = now;
                self.record_latency(latency_ms as f64);
            }
            AttemptEnd::Shed => {
                self.last_response = now;
                self.paused_until = now.plus(SHED_PAUSE_MS);
            }
            AttemptEnd::Failed => self.last_response = now,
            AttemptEnd::Cancelled | AttemptEnd::TimedOut => {}
        }
    }

    /// Records a load report that was requested at `at`.
    pub fn report(&mut self, at: Millis, report: ServerLoad) {
        let load = f64::from(report.busy) + f64::from(report.queued);
        let others = (load - f64::from(self.outstanding)).max(0.0);
        self.others_load += match self.reported_at {
            None => others - self.others_load,
            Some(_) => (others - self.others_load) * REPORT_SAMPLE_WEIGHT,
        };
        self.reported_load = load;
        self.reported_at = Some(at);
    }

    /// Weight of the last report by its age, from 1 down to 0.
    pub fn report_weight(&self, now: Millis) -> f64 {
        match self.reported_at {
            None => 0.0,
            Some(at) => 1.0 - (now.since(at) as f64 / REPORT_MAX_MS as f64).min(1.0),
        }
    }

    /// Age of the last report in milliseconds.
    pub fn report_age(&self, now: Millis) -> Option<u64> {
        self.reported_at.map(|at| now.since(at))
    }

    /// Load as last reported.
    pub fn reported_load(&self) -> f64 {
        self.reported_load
    }

    /// Average load of the other entries by the reports.
    pub fn others_load(&self) -> f64 {
        self.others_load
    }

    /// Whether the server gets no requests after a shed response.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Whether requests are outstanding and the server has sent no response to any
    /// request for so long that it probably no longer answers. The server is
    /// not selected until its next response, or until nothing is outstanding.
    pub fn is_stalled(&self, now: Millis) -> bool {
        let bound = (self.latency_ms * STALL_FACTOR).max(STALL_MIN_MS);
        self.outstanding > 0 && now.since(self.last_response) as f64 > bound
    }

    /// Whether the server sent no response at all during an attempt that was
    /// cancelled after `latency_ms`. Unlike [`ServerStats::is_stalled`], this
    /// judges a finished attempt, and counts towards the ejection of the server.
    /// Hedging cancels attempts at such a server before they time out; without this
    /// check it would never be ejected.
    pub fn was_silent(&self, now: Millis, latency_ms: u64) -> bool {
        let bound = (self.latency_ms * SILENT_FACTOR).max(SILENT_MIN_MS);
        latency_ms as f64 > bound && self.last_response <= now.minus(latency_ms)
    }

    fn record_latency(&mut self, latency_ms: f64) {
        self.latency_ms += match self.latency_ms == 0.0 {
            true => latency_ms,
            false => (latency_ms - self.latency_ms) * LATENCY_SAMPLE_WEIGHT,
        };
    }
}
