//! Counters and latency histograms of runs.

use hdrhistogram::Histogram;

use super::plan::SHARES;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    Answered,
    Failed,
    Limited,
    Refused,
    Unknown,
}

pub struct Stats {
    pub lookups: Histogram<u64>,
    pub bookings: Histogram<u64>,
    pub by_workspace: Vec<Histogram<u64>>,
    pub offered: [u64; 8],
    pub answered: [u64; 8],
    pub refused: u64,
    pub failed: u64,
    pub unknown: u64,
    pub limited: u64,
    /// Bookings that ran more than once.
    pub duplicates: u64,
    pub attempts: u64,
    /// Highest load of a server in a window, relative to its capacity.
    pub server_load: f64,
    /// Highest load of a region in a window, relative to its capacity.
    pub region_load: f64,
    /// Time from the start of a drain to the last start of a request at a drained
    /// server.
    pub last_start_ms: u64,
    /// Time from the start of a drain to the last end of a request at a drained
    /// server.
    pub drain_ms: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

impl Stats {
    pub fn new() -> Stats {
        Stats {
            lookups: histogram(),
            bookings: histogram(),
            by_workspace: SHARES.iter().map(|_| histogram()).collect(),
            offered: [0; 8],
            answered: [0; 8],
            refused: 0,
            failed: 0,
            unknown: 0,
            limited: 0,
            duplicates: 0,
            attempts: 0,
            server_load: 0.0,
            region_load: 0.0,
            last_start_ms: 0,
            drain_ms: 0,
        }
    }

    pub fn record(&mut self, workspace: usize, booking: bool, latency: u64, end: RequestOutcome) {
        if end == RequestOutcome::Limited {
            self.limited += 1;
            return;
        }
        self.offered[workspace] += 1;
        match end {
            RequestOutcome::Answered => self.answer(workspace, booking, latency),
            RequestOutcome::Failed => self.failed += 1,
            RequestOutcome::Refused => self.refused += 1,
            RequestOutcome::Unknown => self.unknown += 1,
            RequestOutcome::Limited => {}
        }
    }

    fn answer(&mut self, workspace: usize, booking: bool, latency: u64) {
        self.answered[workspace] += 1;
        if booking {
            self.bookings.saturating_record(latency);
            return;
        }
        self.lookups.saturating_record(latency);
        self.by_workspace[workspace].saturating_record(latency);
    }

    /// Merges the results of another run of the same case and policies.
    pub fn add(&mut self, other: &Stats) {
        self.lookups.add(&other.lookups).expect("same bounds");
        self.bookings.add(&other.bookings).expect("same bounds");
        for i in 0..8 {
            self.by_workspace[i]
                .add(&other.by_workspace[i])
                .expect("same bounds");
            self.offered[i] += other.offered[i];
            self.answered[i] += other.answered[i];
        }
        self.refused += other.refused;
        self.failed += other.failed;
        self.unknown += other.unknown;
        self.limited += other.limited;
        self.duplicates += other.duplicates;
        self.attempts += other.attempts;
        self.server_load = self.server_load.max(other.server_load);
        self.region_load = self.region_load.max(other.region_load);
        self.last_start_ms = self.last_start_ms.max(other.last_start_ms);
        self.drain_ms = self.drain_ms.max(other.drain_ms);
    }

    pub fn lookup_ms(&self, quantile: f64) -> f64 {
        self.lookups.value_at_quantile(quantile) as f64 / 1_000.0
    }

    pub fn booking_ms(&self, quantile: f64) -> f64 {
        self.bookings.value_at_quantile(quantile) as f64 / 1_000.0
    }

    pub fn workspace_p99(&self, workspace: usize) -> f64 {
        self.by_workspace[workspace].value_at_quantile(0.99) as f64 / 1_000.0
    }

    pub fn worst_p99(&self) -> f64 {
        (0..8).map(|i| self.workspace_p99(i)).fold(0.0, f64::max)
    }

    /// Share of requests answered over all workspaces, and the lowest share of a
    /// workspace.
    pub fn answered_shares(&self) -> (f64, f64) {
        let share = |a: u64, o: u64| a as f64 / o.max(1) as f64;
        let mean = share(self.answered.iter().sum(), self.offered.iter().sum());
        let each = (0..8).map(|i| share(self.answered[i], self.offered[i]));
        (mean, each.fold(1.0, f64::min))
    }
}
