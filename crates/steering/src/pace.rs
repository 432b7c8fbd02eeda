//! Pace of the machine of a backend server, by the server's own figures.
//!
//! Servers that share their machines with other work report how long work currently takes,
//! as a percentage of the usual time.

use pomelovale_state::Millis;

/// Time constant of the decay of a figure towards the usual time, in milliseconds. A slow
/// phase of a machine lasts about 600 ms, so a figure is on average half a phase from its end.
const DECAY_MS: f64 = 300.0;
/// Bounds of a figure, in percent, so that a wrong one neither excludes its server nor attracts
/// all requests.
const PERCENT_BOUNDS: (u32, u32) = (20, 2_000);
/// Age of the last figure up to which a server counts as one that reports its pace, in
/// milliseconds.
const REPORTED_MS: u64 = 5_000;

/// Multiple of its expected latency for which a request runs before it may be hedged.
const HEDGE_FACTOR: u64 = 3;
/// Share of second attempts that must answer first; below it, few requests are hedged.
const WIN_RATE_MIN: f64 = 0.25;
/// Weight of a new sample in that share.
const WIN_RATE_WEIGHT: f64 = 0.05;
/// One in this many requests is hedged although few second attempts answer first.
pub const TRIED_ONE_IN: u32 = 16;

/// The latest figure of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    // Time that work takes, as a multiple of the usual one, and when that was reported.
    latest: Option<(f64, Millis)>,
}

impl Pace {
    /// Records a figure in percent of the usual time.
    pub fn record(&mut self, now: Millis, percent: u32) {
        self.latest = Some((multiple(percent), now));
    }

    /// Time that work is expected to take, as a multiple of the usual one. Decays to 1 with the
    /// age of the figure; 1 without a figure.
    pub fn factor(&self, now: Millis) -> f64 {
        self.latest
            .map_or(1.0, |(figure, at)| aged(figure, now.since(at)))
    }

    /// Expected time for work that takes `work_ms` at the usual pace, in milliseconds. The pace
    /// returns to the usual one meanwhile, as [`Pace::factor`] does; the plain product would
    /// overrate long work, and drive requests away from the server that holds their object.
    pub fn duration_ms(&self, now: Millis, work_ms: f64) -> f64 {
        let factor = self.factor(now);
        let slow_part = factor - (factor - 1.0) * (-work_ms / DECAY_MS).exp();
        work_ms + DECAY_MS * slow_part.ln()
    }

    /// Whether the server has reported a figure recently.
    pub fn is_reported(&self, now: Millis) -> bool {
        let age_ms = self.latest.map(|(_, at)| now.since(at));
        age_ms.is_some_and(|age_ms| age_ms < REPORTED_MS)
    }
}

/// Time at the usual pace, in milliseconds, of work that has taken `latency_ms` until a figure in
/// percent was reported. The opposite of [`Pace::duration_ms`], with the pace running backwards.
pub fn usual_ms(percent: u32, latency_ms: f64) -> f64 {
    let factor = multiple(percent);
    let slow_part = 1.0 + (factor - 1.0) * (-latency_ms / DECAY_MS).exp();
    latency_ms + DECAY_MS * (slow_part / factor).ln()
}

/// A figure in percent as a multiple of the usual time, within its bounds.
pub fn multiple(percent: u32) -> f64 {
    f64::from(percent.clamp(PERCENT_BOUNDS.0, PERCENT_BOUNDS.1)) / 100.0
}

/// A figure in percent after a time in milliseconds.
pub fn aged_percent(percent: u32, age_ms: u64) -> u32 {
    (aged(multiple(percent), age_ms) * 100.0).round() as u32
}

fn aged(figure: f64, age_ms: u64) -> f64 {
    figure + (figure - 1.0) * (-(age_ms as f64) / DECAY_MS).exp_m1()
}

/// Time for which an idempotent request has run before it may be sent to a second server, in
/// milliseconds. `expected_ms` is its expected latency when it was sent.
pub fn hedge_wait_ms(expected_ms: u64, objective_ms: u64) -> u64 {
    expected_ms
        .saturating_mul(HEDGE_FACTOR)
        .max(objective_ms / 2)
}

/// Whether a second server is expected to answer a request first that has run for `elapsed_ms`.
/// The latencies have a long tail: a request that has taken several times as long as expected
/// is likely to take as long again.
pub fn is_hedge_useful(elapsed_ms: u64, expected_ms: u64) -> bool {
    expected_ms < elapsed_ms
}

/// Decides whether the requests of a service are hedged, by how many second attempts answer
/// first. Requests that take long on every server gain nothing, and their second attempts take
/// slots from others.
#[derive(Clone, Debug)]
pub struct HedgeGate {
    // Moving average of the share of second attempts that answer first.
    win_rate: f64,
    // Requests that were due since the last one that was hedged.
    skipped: u32,
}

impl Default for HedgeGate {
    fn default() -> HedgeGate {
        HedgeGate {
            win_rate: WIN_RATE_MIN,
            skipped: 0,
        }
    }
}

impl HedgeGate {
    /// Whether a request that has run for long may be hedged. While few second attempts answer
    /// first, one in [`TRIED_ONE_IN`] may, so that a change is noticed.
    pub fn may_hedge(&mut self) -> bool {
        self.skipped += 1;
        let may = self.win_rate >= WIN_RATE_MIN || self.skipped >= TRIED_ONE_IN;
        if may {
            self.skipped = 0;
        }
        may
    }

    /// Records whether a second attempt has answered first.
    pub fn record(&mut self, won: bool) {
        self.win_rate += WIN_RATE_WEIGHT * (f64::from(u8::from(won)) - self.win_rate);
    }
}
