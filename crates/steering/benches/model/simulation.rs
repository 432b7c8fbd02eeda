//! Event loop of the simulation: callers, entries, servers and the network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pomelovale_state::{Millis, Name};
use pomelovale_steering::admission::{AdmissionDecision, RequestEnd, Ticket};
use pomelovale_steering::balancer::{EntryInfo, ServerInfo};
use pomelovale_steering::entries::EntryRanking;
use pomelovale_steering::{AttemptEnd, Class};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::entry::Entry;
use super::faults::{exponential, home_region, new_server, workspace_name, ATTEMPT_ENDS};
use super::plan::*;
use super::server::Server;
use super::stats::{RequestOutcome, Stats};

const PUBLISH_INTERVAL: u64 = 200 * MS;
const EXPIRY_INTERVAL: u64 = 20 * MS;
const LIST_TTL: u64 = 5 * SECOND;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    Arrive(usize),
    AtEntry(usize),
    AtServer(usize, usize),
    Done(usize, usize),
    Fault(u8),
    Hedge(usize),
    ApplyDocument(usize),
    Poll(usize),
    Publish,
    Rank,
    Refresh(usize),
    /// Request, attempt and index into `ATTEMPT_ENDS`.
    Reply(usize, usize, u8),
    Restart(usize, u8),
    ExpireWaiting(usize),
    Timeout(usize, usize),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    InTransit,
    Ended,
    Queued,
    Running,
}

#[derive(Clone, Copy)]
pub struct Attempt {
    pub server: usize,
    pub started: u64,
    pub phase: Phase,
}

pub struct RequestState {
    pub workspace: usize,
    pub booking: bool,
    pub home: usize,
    pub entry: usize,
    /// Number of restarts of the entry when the request arrived there.
    pub entry_restarts: u32,
    /// Region to which the request was spilled, if any.
    pub region: Option<Name>,
    pub sent: u64,
    pub work: u64,
    pub attempts: Vec<Attempt>,
    pub runs: u32,
    pub hedged: bool,
    pub closed: bool,
}

pub struct Simulation {
    pub case: Case,
    pub policies: PolicySet,
    pub size: Deployment,
    pub seed: u64,
    /// Simulated time in microseconds.
    pub now: u64,
    /// Number of scheduled events; orders events that happen at the same time.
    pub order: u64,
    pub heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub rng: SmallRng,
    pub arrival_rngs: Vec<SmallRng>,
    pub rates: Vec<f64>,
    /// Token bucket of each workspace: its level and the time of its last refill.
    pub buckets: Vec<(f64, u64)>,
    pub servers: Vec<Server>,
    /// Current document, which entries apply with a delay.
    pub document: (Vec<ServerInfo>, Vec<EntryInfo>),
    pub entries: Vec<Entry>,
    /// Number of restarts of each entry.
    pub restarts: Vec<u32>,
    /// Home region and ranked entries of each caller block.
    pub entry_lists: Vec<(usize, Vec<usize>)>,
    pub ranking: EntryRanking,
    pub request_states: Vec<RequestState>,
    pub stats: Stats,
}

pub fn run(case: Case, policies: PolicySet, size: Deployment, seed: u64) -> Stats {
    let mut simulation = Simulation::new(case, policies, size, seed);
    while let Some(Reverse((at, _, event))) = simulation.heap.pop() {
        if at > RUN {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.finish()
}

impl Simulation {
    fn new(case: Case, policies: PolicySet, size: Deployment, seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let servers: Vec<Server> = (0..size.servers).map(|i| new_server(i, &size)).collect();
        let infos = servers.iter().map(|s| s.info.clone()).collect();
        let entries: Vec<Entry> = (0..size.entries)
            .map(|i| Entry::new(i, &policies, seed))
            .collect();
        let slots: u32 = servers.iter().map(|s| s.info.slots).sum();
        let total = case.load * f64::from(slots) / MEAN_WORK;
        let entry_lists = (0..BLOCKS * 8).map(|_| (home_region(&mut rng, &servers), Vec::new()));
        let mut simulation = Simulation {
            document: (infos, entries.iter().map(|e| e.info.clone()).collect()),
            entry_lists: entry_lists.collect(),
            rates: SHARES.iter().map(|s| s * total).collect(),
            buckets: SHARES
                .iter()
                .map(|s| (s * total * RATE_FACTOR * BURST_SECONDS * 1e6, 0))
                .collect(),
            arrival_rngs: (0..8)
                .map(|i| SmallRng::seed_from_u64(seed * 31 + i))
                .collect(),
            restarts: vec![0; entries.len()],
            ranking: EntryRanking::new(policies.entry),
            stats: Stats::new(),
            request_states: Vec::new(),
            heap: BinaryHeap::new(),
            now: 0,
            order: 0,
            case,
            policies,
            size,
            seed,
            rng,
            servers,
            entries,
        };
        simulation.schedule();
        simulation
    }

    fn schedule(&mut self) {
        for i in 0..self.entries.len() {
            self.apply_document(i);
            self.at(i as u64 * 30 * MS, Event::Poll(i));
            self.at(i as u64 * 2 * MS, Event::ExpireWaiting(i));
        }
        for i in 0..self.entry_lists.len() {
            self.refresh(i);
            let phase = self.rng.random_range(0..LIST_TTL);
            self.at(phase, Event::Refresh(i));
        }
        (0..8).for_each(|i| self.at(0, Event::Arrive(i)));
        self.at(PUBLISH_INTERVAL, Event::Publish);
        self.at(SECOND, Event::Rank);
        self.at(FAULT, Event::Fault(0));
        self.at(FAULT_END, Event::Fault(1));
        if self.case.has(Fault::Restarts) {
            for i in 0..self.entries.len() {
                self.at(FAULT + i as u64 * 800 * MS, Event::Restart(i, 0));
            }
        }
    }

    pub fn at(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.heap.push(Reverse((time, self.order, event)));
    }

    pub fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    pub fn millis(&self) -> Millis {
        Millis(self.now / MS)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(workspace) => self.arrive(workspace),
            Event::AtEntry(r) => self.at_entry(r),
            Event::AtServer(r, k) => self.at_server(r, k),
            Event::Done(r, k) => self.done(r, k),
            Event::Fault(step) => self.fault(step),
            Event::Hedge(r) => self.hedge(r),
            Event::ApplyDocument(i) => self.apply_document(i),
            Event::Poll(i) => self.poll(i),
            Event::Publish => self.publish(),
            Event::Rank => self.rank(),
            Event::Refresh(i) => {
                self.refresh(i);
                self.after(LIST_TTL, Event::Refresh(i));
            }
            Event::Reply(r, k, end) => self.reply(r, k, ATTEMPT_ENDS[end as usize]),
            Event::Restart(i, step) => self.restart(i, step),
            Event::ExpireWaiting(i) => self.expire_waiting(i),
            Event::Timeout(r, k) => self.reply(r, k, AttemptEnd::TimedOut),
        }
    }

    fn arrive(&mut self, workspace: usize) {
        let rng = &mut self.arrival_rngs[workspace];
        let flood =
            self.case.has(Fault::Flood) && workspace == FLOODING_WORKSPACE && self.now >= FAULT;
        let factor = if flood { 5.0 * RATE_FACTOR } else { 1.0 };
        let gap = exponential(rng, 1.0 / (self.rates[workspace] * factor));
        let booking = rng.random::<f64>() < 0.1;
        let even = self.case.has(Fault::EvenWork);
        let work = match booking {
            true if even => 40_000.0,
            false if even => 20_000.0,
            true => 20_000.0 + exponential(rng, 20_000.0),
            false => 8_000.0 + exponential(rng, 12_000.0),
        };
        let block = workspace * BLOCKS + rng.random_range(0..BLOCKS);
        let home = self.entry_lists[block].0;
        let alive = self.entry_lists[block]
            .1
            .iter()
            .position(|&e| self.entries[e].alive);
        let skipped = alive.unwrap_or(0) as u64;
        let entry = self.entry_lists[block].1[skipped as usize];
        let r = self.request_states.len();
        self.request_states.push(RequestState {
            workspace,
            booking,
            home,
            entry,
            entry_restarts: self.restarts[entry],
            region: None,
            sent: self.now,
            work: work as u64,
            attempts: Vec::new(),
            runs: 0,
            hedged: false,
            closed: false,
        });
        let delay = self.client_delay(r) + skipped * 2 * self.size.client_ms * MS;
        self.after(delay, Event::AtEntry(r));
        self.after(gap as u64, Event::Arrive(workspace));
    }

    fn client_delay(&self, r: usize) -> u64 {
        let req = &self.request_states[r];
        let far = self.entries[req.entry].index % 3 != req.home;
        (self.size.client_ms + if far { 55 } else { 0 }) * MS
    }

    /// Rate limit of a workspace: one token bucket for all entries, without the error
    /// of a distributed limiter.
    fn within_rate(&mut self, workspace: usize) -> bool {
        let rate = self.rates[workspace] * RATE_FACTOR;
        let (level, at) = &mut self.buckets[workspace];
        let most = rate * BURST_SECONDS * 1e6;
        *level = (*level + (self.now - *at) as f64 * rate).min(most);
        *at = self.now;
        let ok = *level >= 1.0;
        *level -= f64::from(u8::from(ok));
        ok
    }

    fn at_entry(&mut self, r: usize) {
        let (workspace, entry) = (
            self.request_states[r].workspace,
            self.request_states[r].entry,
        );
        if !self.entries[entry].alive {
            return self.close(r, RequestOutcome::Failed);
        }
        if !self.within_rate(workspace) {
            return self.close(r, RequestOutcome::Limited);
        }
        let now = self.millis();
        let class = self.class(r);
        self.request_states[r].entry_restarts = self.restarts[entry];
        let e = &mut self.entries[entry];
        e.arrived += 1;
        let wait = e
            .admission
            .expected_or_observed_wait_ms(now, &workspace_name(workspace));
        if let Some(region) = e.regions.try_spill(wait) {
            self.request_states[r].region = Some(region);
            return self.dispatch(r);
        }
        let decision = e
            .admission
            .offer(now, Ticket(r as u64), &workspace_name(workspace), class);
        match decision {
            AdmissionDecision::Admitted => self.dispatch(r),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused { .. } => self.close(r, RequestOutcome::Refused),
        }
    }

    pub fn class(&self, r: usize) -> Class {
        match self.request_states[r].booking {
            true => Class::Once,
            false => Class::Idempotent,
        }
    }

    pub fn dispatch(&mut self, r: usize) {
        self.entries[self.request_states[r].entry]
            .budget
            .record_request();
        if !self.attempt(r) {
            return self.release(r, AttemptEnd::Failed, 0, RequestOutcome::Refused);
        }
        match self.entries[self.request_states[r].entry].hedge.delay() {
            Some(delay) if !self.request_states[r].booking => {
                self.after(delay.0 * MS, Event::Hedge(r))
            }
            _ => {}
        }
    }

    pub fn release(&mut self, r: usize, end: AttemptEnd, latency_ms: u64, result: RequestOutcome) {
        self.close(r, result);
        let (now, ticket) = (self.millis(), Ticket(r as u64));
        let ended = RequestEnd {
            ticket,
            end,
            latency_ms,
        };
        let next = self.entries[self.request_states[r].entry]
            .admission
            .release(now, ended);
        next.into_iter().for_each(|t| self.dispatch(t.0 as usize));
    }

    pub fn close(&mut self, r: usize, end: RequestOutcome) {
        let latency = self.now + self.client_delay(r) - self.request_states[r].sent;
        let req = &mut self.request_states[r];
        req.closed = true;
        if req.booking && req.runs > 1 {
            self.stats.duplicates += 1;
        }
        if (COUNTED_FROM..COUNTED_UNTIL).contains(&req.sent) {
            self.stats.record(req.workspace, req.booking, latency, end);
        }
    }

    fn expire_waiting(&mut self, i: usize) {
        let now = self.millis();
        let refused = self.entries[i].admission.take_refused(now);
        for x in refused {
            let r = x.ticket.0 as usize;
            let waited = (self.now - self.request_states[r].sent) / MS;
            match self.entries[i].regions.try_spill(waited as f64) {
                Some(region) => {
                    self.request_states[r].region = Some(region);
                    self.dispatch(r);
                }
                None => self.close(r, RequestOutcome::Refused),
            }
        }
        self.after(EXPIRY_INTERVAL, Event::ExpireWaiting(i));
    }
}
