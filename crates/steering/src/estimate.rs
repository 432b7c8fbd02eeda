//! Estimates of one instance about a backend server and the work of a route.

use indexmap::IndexSet;
use pomelovale_state::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::affinity::pauses;
use crate::availability::Availability;
use crate::pace::Pace;
use crate::placement::{LoadReport, PlacementEnd};
use crate::region_assignment::hash_bytes;
use crate::server_limit::ServerLimit;

/// Weight of a new sample in an exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new load report in the average load of other instances.
const REPORT_SAMPLE_WEIGHT: f64 = 0.6;
/// Time constant of the decay of slowdown and failure rate without new samples,
/// in milliseconds.
const DECAY_MS: f64 = 4_000.0;
/// Time constant of the decay of the load of other instances without a new
/// report, in milliseconds.
const OTHERS_DECAY_MS: f64 = 1_500.0;
/// Age up to which a load report counts as recent, in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 1_000;
/// Timeouts since the last answer without a server error or successful probe, after
/// which a server may be suspended. A single connection that can't be made suspends
/// it at once.
const TIMEOUTS_MAX: u32 = 2;
/// Time without any response after which timeouts suspend a server, in
/// milliseconds. A server that is merely overloaded answers some requests in
/// that time.
const SILENCE_MIN_MS: u64 = 1_500;
/// Shortest and longest time between two probes of a suspended server, in
/// milliseconds.
const PROBE_INTERVAL_MS: (u64, u64) = (150, 1_200);
/// Expected work of a request before the first sample, as a share of its latency
/// objective: on a server that holds the object, and on any other.
const INITIAL_OBJECTIVE_SHARES: (f64, f64) = (0.4, 0.9);
/// Bounds of a slowdown sample, so that a few outliers do not exclude a server.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 6.0);
/// Time without requests for a server that has shed one, in milliseconds.
const SHED_PAUSE_MS: u64 = 150;

/// Number of objects of one instance that a server is assumed to hold. Objects
/// of other instances evict older ones.
const RECENT_OBJECTS_MAX: usize = 32;
/// Probability that the server ranked first for an object holds it although this
/// instance has not sent it there.
const LIKELY_HELD_PROBABILITY: f64 = 0.6;

/// Whether a server is expected to hold an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Held {
    /// This instance has recently sent a request for it there, or the server has
    /// just joined, is ranked high for it and got no request of this instance yet.
    Known,
    /// The server is ranked first for it, so other instances may have sent it.
    Likely,
    /// The server is not expected to hold it.
    Unlikely,
}

/// Work of the requests of a route, in milliseconds: on servers that hold their
/// object, that are likely to, and on others.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimate {
    held: Option<f64>,
    likely: Option<f64>,
    other: Option<f64>,
}

impl WorkEstimate {
    /// Expected work in milliseconds.
    pub fn expected(&self, held: Held, objective_ms: u64) -> f64 {
        let objective = objective_ms as f64;
        let known = self.held.unwrap_or(objective * INITIAL_OBJECTIVE_SHARES.0);
        let other = self.other.unwrap_or(objective * INITIAL_OBJECTIVE_SHARES.1);
        match held {
            Held::Known => known,
            Held::Likely => {
                let mixed =
                    known * LIKELY_HELD_PROBABILITY + other * (1.0 - LIKELY_HELD_PROBABILITY);
                self.likely.unwrap_or(mixed)
            }
            Held::Unlikely => other,
        }
    }

    /// Extra work, in milliseconds, because the server may not hold the object.
    pub fn miss_cost(&self, held: Held, objective_ms: u64) -> f64 {
        let known = self.expected(Held::Known, objective_ms);
        (self.expected(held, objective_ms) - known).max(0.0)
    }

    /// Measured work, if there are samples; always `None` for [`Held::Likely`],
    /// which mixes both cases.
    pub fn measured(&self, held: Held) -> Option<f64> {
        match held {
            Held::Known => self.held,
            Held::Likely => None,
            Held::Unlikely => self.other,
        }
    }

    /// Adds a sample in milliseconds.
    pub fn record(&mut self, held: Held, work_ms: f64) {
        let slot = match held {
            Held::Known => &mut self.held,
            Held::Likely => &mut self.likely,
            Held::Unlikely => &mut self.other,
        };
        *slot = Some(slot.map_or(work_ms, |old| old + SAMPLE_WEIGHT * (work_ms - old)));
    }
}

/// State of a backend server as one instance estimates it.
#[derive(Clone, Debug)]
pub struct ServerState {
    // Requests of this instance in flight.
    in_flight: u32,
    // Requests of other instances, as of the last report.
    others_load: f64,
    reported_at: Millis,
    has_report: bool,
    slowdown: f64,
    slowdown_at: Millis,
    failure_rate: f64,
    failures_at: Millis,
    // Last complete response.
    responded_at: Millis,
    // Timeouts since the last answer without a server error or passed probe.
    consecutive_timeouts: u32,
    // Gets no requests until a probe succeeds.
    suspended: bool,
    suspended_at: Millis,
    probe_at: Millis,
    probe_interval_ms: u64,
    cold_from: Millis,
    cold_until: Millis,
    // Requests that may be sent while the server is cold, and as of when.
    tokens: f64,
    refilled_at: Millis,
    // Last shed response, and end of the pause after it.
    shed_at: Option<Millis>,
    paused_until: Millis,
    name_hash: u64,
    // Objects of the requests of this instance, the latest one last.
    recent_objects: IndexSet<u64>,
    // Joined later than the first servers; no request sent there yet.
    newly_joined: bool,
    /// Limit that it names for all instances together.
    pub limit: ServerLimit,
    /// Whether it wants requests of this instance.
    pub availability: Availability,
    /// Pace that it reports.
    pub pace: Pace,
}

impl ServerState {
    /// State of a server without samples.
    pub fn new(now: Millis, name: &Name) -> ServerState {
        ServerState {
            in_flight: 0,
            others_load: 0.0,
            reported_at: now,
            has_report: false,
            slowdown: 1.0,
            slowdown_at: now,
            failure_rate: 0.0,
            failures_at: now,
            responded_at: now,
            consecutive_timeouts: 0,
            suspended: false,
            suspended_at: now,
            probe_at: now,
            probe_interval_ms: PROBE_INTERVAL_MS.0,
            cold_from: Millis(0),
            cold_until: Millis(0),
            tokens: 1.0,
            refilled_at: now,
            shed_at: None,
            paused_until: Millis(0),
            name_hash: hash_bytes(name.as_bytes()),
            recent_objects: IndexSet::new(),
            newly_joined: false,
            limit: ServerLimit::default(),
            availability: Availability::default(),
            pace: Pace::default(),
        }
    }

    /// Whether this instance has recently sent a request for the object.
    pub fn sent_recently(&self, object: u64) -> bool {
        self.recent_objects.contains(&object)
    }

    /// Marks a server that joined later than the first ones.
    pub fn set_newly_joined(&mut self) {
        self.newly_joined = true;
    }

    /// Whether the server joined later than the first ones and this instance has
    /// sent it no request yet.
    pub fn is_newly_joined(&self) -> bool {
        self.newly_joined
    }

    fn record_object(&mut self, object: u64) {
        self.recent_objects.shift_remove(&object);
        self.recent_objects.insert(object);
        if self.recent_objects.len() > RECENT_OBJECTS_MAX {
            self.recent_objects.shift_remove_index(0);
        }
    }

    /// A hash of the server's name.
    pub fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// Estimated requests at the server, of this instance and of others.
    pub fn load(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.others_load * decay(now, self.reported_at, OTHERS_DECAY_MS)
    }

    /// Recent ratio of measured to expected time of a request on this server; 1 for
    /// an average server.
    pub fn slowdown(&self, now: Millis) -> f64 {
        1.0 + (self.slowdown - 1.0) * decay(now, self.slowdown_at, DECAY_MS)
    }

    /// Recent share of requests that failed.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate * decay(now, self.failures_at, DECAY_MS)
    }

    /// Whether the server is not suspended.
    pub fn is_usable(&self) -> bool {
        !self.suspended
    }

    /// Whether the server is not suspended, and wants requests.
    pub fn takes_requests(&self, now: Millis) -> bool {
        self.is_usable() && self.availability.is_open(now)
    }

    /// When the server was suspended, if it is.
    pub fn suspended_at(&self) -> Option<Millis> {
        self.suspended.then_some(self.suspended_at)
    }

    /// Ends a suspension and forgets failures and slowdowns.
    pub fn forget_failures(&mut self) {
        self.suspended = false;
        self.consecutive_timeouts = 0;
        self.failure_rate = 0.0;
        self.slowdown = 1.0;
    }

    /// Whether the server is cold; see [`crate::placement`].
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Share of the cold period that has passed, from 0 to 1; 1 if the server isn't cold.
    pub fn warmth(&self, now: Millis) -> f64 {
        match self.cold_until.since(self.cold_from) {
            period if self.is_cold(now) && period > 0 => {
                now.since(self.cold_from) as f64 / period as f64
            }
            _ => 1.0,
        }
    }

    /// Ends the pause after a request that was shed just now, unless the server is full by its
    /// report or has shed another one in the time of a pause before.
    pub fn keep_objects(&mut self, now: Millis, report: Option<LoadReport>) {
        let recent = |at: Millis| now.since(at) < SHED_PAUSE_MS;
        let again = self.shed_at.replace(now).is_some_and(recent);
        if !pauses(report, again) {
            self.paused_until = now;
        }
    }

    /// Whether a request may be sent now: a server that has just shed one gets
    /// none, and a cold one gets at most `cold_rate` requests per second.
    pub fn may_send(&self, now: Millis, cold_rate: Option<f64>) -> bool {
        let has_token = match cold_rate {
            Some(rate) if self.is_cold(now) => self.tokens_at(now, rate) >= 1.0,
            Some(_) | None => true,
        };
        now >= self.paused_until && has_token && self.limit.may_send(now)
    }

    fn tokens_at(&self, now: Millis, rate: f64) -> f64 {
        (self.tokens + now.since(self.refilled_at) as f64 * rate / 1_000.0).min(1.0)
    }

    /// Marks the server as cold until a time; never shortens a period that is
    /// already set.
    pub fn set_cold(&mut self, now: Millis, until: Millis) {
        if !self.is_cold(now) {
            self.tokens = 1.0;
            self.refilled_at = now;
            self.cold_from = now;
        }
        self.cold_until = self.cold_until.max(until);
    }

    /// Records that a request was sent.
    pub fn record_start(&mut self, now: Millis, object: u64, cold_rate: Option<f64>) {
        self.in_flight += 1;
        self.limit.record_send(now);
        self.record_object(object);
        self.newly_joined = false;
        if let Some(rate) = cold_rate.filter(|_| self.is_cold(now)) {
            self.tokens = self.tokens_at(now, rate) - 1.0;
            self.refilled_at = now;
        }
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, now: Millis, ended: PlacementEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed = match ended {
            PlacementEnd::Cancelled => return,
            PlacementEnd::Answered => false,
            PlacementEnd::Shed => {
                self.paused_until = now.plus(SHED_PAUSE_MS);
                true
            }
            PlacementEnd::Cut
            | PlacementEnd::Failed
            | PlacementEnd::Moved
            | PlacementEnd::TimedOut
            | PlacementEnd::Unreachable => true,
        };
        if matches!(
            ended,
            PlacementEnd::Answered | PlacementEnd::Failed | PlacementEnd::Shed
        ) {
            self.responded_at = now;
        }
        let before = self.failure_rate(now);
        self.failure_rate = before + SAMPLE_WEIGHT * (f64::from(u8::from(failed)) - before);
        self.failures_at = now;
        match ended {
            PlacementEnd::Answered => self.consecutive_timeouts = 0,
            PlacementEnd::Moved | PlacementEnd::Unreachable => self.suspend(now),
            PlacementEnd::TimedOut => {
                self.consecutive_timeouts += 1;
                let silent = now.since(self.responded_at) > SILENCE_MIN_MS;
                if self.consecutive_timeouts >= TIMEOUTS_MAX && silent {
                    self.suspend(now);
                }
            }
            PlacementEnd::Cancelled
            | PlacementEnd::Cut
            | PlacementEnd::Failed
            | PlacementEnd::Shed => {}
        }
    }

    fn suspend(&mut self, now: Millis) {
        if !self.suspended {
            self.suspended = true;
            self.suspended_at = now;
            self.probe_interval_ms = PROBE_INTERVAL_MS.0;
            self.probe_at = now.plus(PROBE_INTERVAL_MS.0);
        }
    }

    /// Returns true if a probe is due, and schedules the next one. The interval
    /// doubles with each probe up to a maximum.
    pub fn take_probe(&mut self, now: Millis) -> bool {
        let due = self.suspended && now >= self.probe_at;
        if due {
            self.probe_at = now.plus(self.probe_interval_ms);
            self.probe_interval_ms = (self.probe_interval_ms * 2).min(PROBE_INTERVAL_MS.1);
        }
        due
    }

    /// Records the result of a probe: how long the server stays cold, or `None`
    /// if the probe failed.
    pub fn record_probe(&mut self, now: Millis, cold_ms: Option<u64>) {
        let Some(cold_ms) = cold_ms else {
            return;
        };
        self.suspended = false;
        self.consecutive_timeouts = 0;
        self.failure_rate = 0.0;
        if cold_ms > 0 {
            self.set_cold(now, now.plus(cold_ms));
        }
    }

    /// Whether there is a recent load report.
    pub fn has_recent_report(&self, now: Millis) -> bool {
        self.has_report && now.since(self.reported_at) < REPORT_MAX_AGE_MS
    }

    /// Records a load report of the server.
    pub fn record_report(&mut self, now: Millis, report: LoadReport) {
        let total = f64::from(report.running + report.waiting);
        let others = (total - f64::from(self.in_flight)).max(0.0);
        let before = self.others_load * decay(now, self.reported_at, OTHERS_DECAY_MS);
        self.others_load = before + REPORT_SAMPLE_WEIGHT * (others - before);
        if let Some(percent) = report.pace {
            self.pace.record(now, percent);
        }
        self.reported_at = now;
        self.has_report = true;
    }

    /// Records a load report that another instance got at `at`, if it is newer than the last
    /// one.
    pub fn record_shared_report(&mut self, at: Millis, report: LoadReport) {
        if !self.has_report || at > self.reported_at {
            self.record_report(at, report);
        }
    }

    /// Adds a sample of the ratio of measured to expected work.
    pub fn record_slowdown(&mut self, now: Millis, ratio: f64) {
        let before = self.slowdown(now);
        let sample = ratio.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.slowdown = before + SAMPLE_WEIGHT * (sample - before);
        self.slowdown_at = now;
    }
}

fn decay(now: Millis, at: Millis, time_constant_ms: f64) -> f64 {
    (-(now.since(at) as f64) / time_constant_ms).exp()
}
