//! Injected faults and restarts, and how documents, load reports and entry lists
//! propagate.

use pomelovale_state::{Millis, Name};
use pomelovale_steering::balancer::{ServerInfo, ServerLoad};
use pomelovale_steering::entries::RegionHeadroom;
use pomelovale_steering::AttemptEnd;
use rand::rngs::SmallRng;
use rand::Rng;

use super::entry::Entry;
use super::plan::*;
use super::server::{Mode, Server};
use super::simulation::{Event, Simulation};
use super::stats::{RequestOutcome, Stats};

/// Results of attempts, indexed by the number in a reply event.
pub const ATTEMPT_ENDS: [AttemptEnd; 3] =
    [AttemptEnd::Complete, AttemptEnd::Failed, AttemptEnd::Shed];
/// Index of the faulty server in cases with a server fault.
const FAULTY: usize = 3;
const POLL_INTERVAL_MS: u64 = 250;
const PUBLISH_INTERVAL: u64 = 200 * MS;

pub fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

pub fn workspace_name(workspace: usize) -> Name {
    Name::from(format!("w{workspace}"))
}

pub fn new_server(i: usize, size: &Deployment) -> Server {
    let info = ServerInfo {
        name: Server::name(i),
        region: region(i),
        domain: domain(i),
        slots: size.slots[i % 2],
        connections: size.connections,
        leaving: false,
        limit: None,
    };
    Server::new(info, i % 3)
}

/// Draws a region in proportion to capacity, so that without faults all regions have
/// equal relative load.
pub fn home_region(rng: &mut SmallRng, servers: &[Server]) -> usize {
    let total: u32 = servers.iter().map(|s| s.info.slots).sum();
    let mut slot = rng.random_range(0..total);
    for s in servers {
        if slot < s.info.slots {
            return s.region_index;
        }
        slot -= s.info.slots;
    }
    0
}

impl Simulation {
    pub fn fault(&mut self, step: u8) {
        let case = self.case;
        match step {
            0 => case.faults.iter().for_each(|f| self.begin_fault(*f)),
            _ => self.end_fault(),
        }
    }

    fn begin_fault(&mut self, fault: Fault) {
        match fault {
            Fault::ColdHalf => self
                .servers
                .iter_mut()
                .step_by(2)
                .for_each(Server::restart_cold),
            Fault::Drain => {
                for s in &mut self.document.0 {
                    s.leaving = s.domain == domain(0);
                }
                self.distribute_document();
            }
            Fault::FastFail => self.servers[FAULTY].mode = Mode::Failing,
            Fault::RegionLost => self.lose_region(),
            Fault::Silent => self.servers[FAULTY].mode = Mode::Silent,
            Fault::EvenWork
            | Fault::Flood
            | Fault::NoReports
            | Fault::Restarts
            | Fault::ZeroReport => {}
        }
    }

    fn end_fault(&mut self) {
        let s = &mut self.servers[FAULTY];
        if matches!(s.mode, Mode::Failing | Mode::Silent) {
            s.mode = Mode::Normal;
            (s.busy, s.connected) = (0, 0);
            s.queue.clear();
        }
    }

    fn lose_region(&mut self) {
        for s in self.servers.iter_mut().filter(|s| s.region_index == 0) {
            s.mode = Mode::Gone;
        }
        for i in 0..self.entries.len() {
            if self.entries[i].index.is_multiple_of(3) {
                self.entries[i].alive = false;
                self.restarts[i] += 1;
                self.document.1[i].leaving = true;
            }
        }
        for r in 0..self.request_states.len() {
            let req = &self.request_states[r];
            if !req.closed && !self.entries[req.entry].alive {
                self.close(r, RequestOutcome::Failed);
            }
        }
        for s in self.document.0.iter_mut().filter(|s| s.region == region(0)) {
            s.leaving = true;
        }
        self.distribute_document();
    }

    /// Sends the document to the entries, which apply it 300 ms to 1 s later.
    fn distribute_document(&mut self) {
        for i in 0..self.entries.len() {
            let lag = self.rng.random_range(300..1_000) * MS;
            self.after(lag, Event::ApplyDocument(i));
        }
    }

    pub fn apply_document(&mut self, i: usize) {
        let now = self.millis();
        self.entries[i].apply_document(now, &self.document.0, &self.document.1);
    }

    /// A planned restart: the entry leaves the list, serves until cached lists have
    /// expired, and starts again.
    pub fn restart(&mut self, i: usize, step: u8) {
        match step {
            0 => {
                self.document.1[i].leaving = true;
                self.distribute_document();
                self.after(5_500 * MS, Event::Restart(i, 1));
            }
            _ => {
                self.restarts[i] += 1;
                for r in 0..self.request_states.len() {
                    let req = &self.request_states[r];
                    if !req.closed && req.entry == i && !req.attempts.is_empty() {
                        self.close(r, RequestOutcome::Failed);
                    }
                }
                self.entries[i] = Entry::new(i, &self.policies, self.seed + 1);
                self.document.1[i].leaving = false;
                self.apply_document(i);
                self.distribute_document();
            }
        }
    }

    fn has_reports(&self) -> bool {
        !self.case.has(Fault::NoReports) || self.now < FAULT
    }

    pub fn publish(&mut self) {
        self.servers.iter_mut().for_each(Server::publish);
        if self.case.has(Fault::ZeroReport) && self.now >= FAULT {
            let s = &mut self.servers[FAULTY];
            s.published = ServerLoad {
                busy: 0,
                queued: 0,
                ..s.published
            };
        }
        self.after(PUBLISH_INTERVAL, Event::Publish);
    }

    /// An entry polls the load of all servers, in other regions less often.
    pub fn poll(&mut self, i: usize) {
        let now = self.millis();
        let entries = self.entries.len() as u32 * 2 / 3;
        let e = &mut self.entries[i];
        let far = (self.now / (POLL_INTERVAL_MS * MS)).is_multiple_of(4);
        if !self.case.has(Fault::NoReports) || self.now < FAULT {
            for s in self
                .servers
                .iter()
                .filter(|s| s.mode == Mode::Normal || s.mode == Mode::Failing)
            {
                let near = s.info.region == e.info.region;
                if near || far {
                    e.balancer.report_load(
                        now.minus(if near { 3 } else { 110 }),
                        &s.info.name,
                        s.published,
                    );
                }
            }
        }
        e.update_regions(now, POLL_INTERVAL_MS, entries);
        self.after(POLL_INTERVAL_MS * MS, Event::Poll(i));
    }

    /// Updates the ranking with the headroom of the regions once per second.
    pub fn rank(&mut self) {
        if self.has_reports() {
            let measures: Vec<RegionHeadroom> = (0..3).map(|p| self.headroom(p)).collect();
            self.ranking.update(self.millis(), &measures);
        }
        self.after(SECOND, Event::Rank);
    }

    fn headroom(&self, region_index: usize) -> RegionHeadroom {
        let live = self.servers.iter().filter(|s| {
            s.region_index == region_index
                && s.mode != Mode::Gone
                && !self.document.0[Server::index(&s.info.name)].leaving
        });
        let (mut capacity, mut load) = (0.0, 0.0);
        for s in live {
            capacity += f64::from(s.info.slots);
            load += f64::from(s.published.busy + s.published.queued);
        }
        RegionHeadroom {
            region: region(region_index),
            capacity,
            load,
            domains: 2,
            sampled: Millis(self.now / MS),
        }
    }

    /// Refreshes the entry list of a caller block.
    pub fn refresh(&mut self, block: usize) {
        let home = region(self.entry_lists[block].0);
        let far = |r: &Name| if r == &home { 0.0 } else { 55.0 };
        let ranked = self.ranking.rank(block as u64, &self.document.1, far);
        let index = |n: &Name| n[1..].parse().expect("an entry name");
        self.entry_lists[block].1 = ranked.iter().map(index).collect();
    }

    pub fn finish(mut self) -> Stats {
        let unfinished: Vec<usize> = (0..self.request_states.len())
            .filter(|&r| !self.request_states[r].closed)
            .collect();
        for r in unfinished {
            if self.request_states[r].sent < COUNTED_UNTIL {
                self.close(r, RequestOutcome::Unknown);
            }
        }
        self.stats.server_load = self.servers.iter().map(server_peak).fold(0.0, f64::max);
        for region_index in 0..3 {
            let peak = region_peak(
                self.servers
                    .iter()
                    .filter(|s| s.region_index == region_index),
            );
            self.stats.region_load = self.stats.region_load.max(peak);
        }
        if self.case.has(Fault::Drain) {
            let left = self.servers.iter().filter(|s| s.info.domain == domain(0));
            for s in left {
                let since = |t: u64| t.saturating_sub(FAULT) / MS;
                self.stats.last_start_ms = self.stats.last_start_ms.max(since(s.last_start));
                self.stats.drain_ms = self.stats.drain_ms.max(since(s.last_end));
            }
        }
        self.stats
    }
}

fn server_peak(s: &Server) -> f64 {
    s.work()
        .iter()
        .max()
        .map_or(0.0, |w| *w as f64 / s.capacity())
}

fn region_peak<'a>(servers: impl Iterator<Item = &'a Server>) -> f64 {
    let mut work: Vec<f64> = vec![0.0; 8];
    let mut capacity = 0.0;
    for s in servers {
        capacity += s.capacity();
        s.work()
            .iter()
            .enumerate()
            .for_each(|(i, w)| work[i] += *w as f64);
    }
    work.iter().fold(0.0, |m: f64, w| m.max(w / capacity))
}
