//! Attempts at backend servers: start, end, retry, hedge and cancellation.

use pomelovale_state::Name;
use pomelovale_steering::balancer::AttemptSpec;
use pomelovale_steering::region::RegionPolicy;
use pomelovale_steering::{AttemptEnd, Class};

use super::plan::*;
use super::server::{Arrival, Mode, Server};
use super::simulation::{Attempt, Event, Phase, Simulation};
use super::stats::RequestOutcome;

const ATTEMPT_TIMEOUT: u64 = 1_000 * MS;
const MAX_ATTEMPTS: usize = 4;

impl Simulation {
    /// Starts an attempt at a server that was not tried yet. Returns false if there is
    /// none.
    pub fn attempt(&mut self, r: usize) -> bool {
        let now = self.millis();
        let class = self.class(r);
        let attempts = &self.request_states[r].attempts;
        let exclude: Vec<Name> = attempts.iter().map(|t| Server::name(t.server)).collect();
        let e = &mut self.entries[self.request_states[r].entry];
        let region = self.request_states[r]
            .region
            .as_ref()
            .unwrap_or(&e.info.region)
            .clone();
        let mut request = AttemptSpec {
            class,
            exclude: &exclude,
            region: Some(&region),
        };
        let mut choice = e.balancer.choose(now, &request);
        if choice.is_none() && self.policies.region == RegionPolicy::Spill {
            request.region = None;
            choice = e.balancer.choose(now, &request);
        }
        let Some(choice) = choice else { return false };
        e.balancer.start(now, &choice.server);
        let server = Server::index(&choice.server);
        let idle = e.idle.entry(server).or_insert(0);
        let connect = if *idle == 0 { MS } else { 0 };
        *idle = idle.saturating_sub(1);
        self.request_states[r].attempts.push(Attempt {
            server,
            started: self.now,
            phase: Phase::InTransit,
        });
        self.stats.attempts += 1;
        let k = self.request_states[r].attempts.len() - 1;
        let delay = connect + self.distance(r, server);
        self.after(delay, Event::AtServer(r, k));
        self.after(ATTEMPT_TIMEOUT, Event::Timeout(r, k));
        true
    }

    /// One-way delay between a request's entry and a server.
    pub fn distance(&self, r: usize, server: usize) -> u64 {
        let (e, s) = (
            &self.entries[self.request_states[r].entry].info,
            &self.servers[server].info,
        );
        match () {
            () if e.region != s.region => 55 * MS,
            () if e.domain != s.domain => 1_500,
            () => 100,
        }
    }

    pub fn at_server(&mut self, r: usize, k: usize) {
        let t = self.request_states[r].attempts[k];
        if t.phase == Phase::Ended {
            return;
        }
        let back = self.distance(r, t.server);
        match self.servers[t.server].arrive((r, k)) {
            Arrival::Failed => self.after(MS + back, Event::Reply(r, k, 1)),
            Arrival::Held => self.request_states[r].attempts[k].phase = Phase::Queued,
            Arrival::Lost => {}
            Arrival::Shed => self.after(MS + back, Event::Reply(r, k, 2)),
            Arrival::Started => self.begin(r, k),
        }
    }

    pub fn begin(&mut self, r: usize, k: usize) {
        let req = &mut self.request_states[r];
        req.attempts[k].phase = Phase::Running;
        req.runs += 1;
        let server = req.attempts[k].server;
        let duration = self.servers[server].start(self.now, req.work);
        self.after(duration, Event::Done(r, k));
    }

    pub fn done(&mut self, r: usize, k: usize) {
        let t = self.request_states[r].attempts[k];
        let normal = self.servers[t.server].mode == Mode::Normal;
        if t.phase != Phase::Running || !normal {
            return;
        }
        let back = self.distance(r, t.server);
        self.after(back, Event::Reply(r, k, 0));
        self.release_slot(t.server);
        self.request_states[r].attempts[k].phase = Phase::InTransit;
    }

    pub fn release_slot(&mut self, server: usize) {
        let mut next = self.servers[server].end(self.now);
        while let Some((r, k)) = next {
            if self.request_states[r].attempts[k].phase == Phase::Queued {
                return self.begin(r, k);
            }
            next = self.servers[server].queue.pop_front();
        }
    }

    /// Handles the end of an attempt at the entry.
    pub fn reply(&mut self, r: usize, k: usize, end: AttemptEnd) {
        let t = self.request_states[r].attempts[k];
        let entry = self.request_states[r].entry;
        if t.phase == Phase::Ended {
            return;
        }
        if self.request_states[r].entry_restarts != self.restarts[entry]
            || !self.entries[entry].alive
        {
            return self.cancel(r, k);
        }
        let latency = (self.now - t.started) / MS;
        let now = self.millis();
        if end == AttemptEnd::TimedOut {
            self.cancel(r, k);
        }
        self.request_states[r].attempts[k].phase = Phase::Ended;
        let e = &mut self.entries[entry];
        e.balancer
            .finish(now, &Server::name(t.server), end, latency);
        if matches!(end, AttemptEnd::Complete | AttemptEnd::Shed) {
            *e.idle.entry(t.server).or_insert(0) += 1;
        }
        if self.request_states[r].closed {
            return;
        }
        match end {
            AttemptEnd::Complete => self.complete(r, k, latency),
            AttemptEnd::Cancelled => {}
            AttemptEnd::Failed | AttemptEnd::Shed | AttemptEnd::TimedOut => self.retry(r, end),
        }
    }

    pub fn complete(&mut self, r: usize, k: usize, latency: u64) {
        if !self.request_states[r].booking {
            let hedged = self.request_states[r].hedged;
            let hedge = &mut self.entries[self.request_states[r].entry].hedge;
            hedge.record(latency);
            if hedged {
                hedge.record_hedge(k > 0);
            }
        }
        for other in 0..self.request_states[r].attempts.len() {
            if other != k && self.request_states[r].attempts[other].phase != Phase::Ended {
                self.abandon_attempt(r, other);
            }
        }
        self.release(r, AttemptEnd::Complete, latency, RequestOutcome::Answered);
    }

    pub fn abandon_attempt(&mut self, r: usize, k: usize) {
        let t = self.request_states[r].attempts[k];
        let (now, latency) = (self.millis(), (self.now - t.started) / MS);
        let e = &mut self.entries[self.request_states[r].entry];
        e.balancer
            .finish(now, &Server::name(t.server), AttemptEnd::Cancelled, latency);
        self.cancel(r, k);
    }

    /// Ends an attempt that was cancelled or timed out, and frees its place at the
    /// server.
    pub fn cancel(&mut self, r: usize, k: usize) {
        let t = self.request_states[r].attempts[k];
        self.request_states[r].attempts[k].phase = Phase::Ended;
        match t.phase {
            Phase::Running if self.servers[t.server].mode == Mode::Normal => {
                self.release_slot(t.server)
            }
            Phase::Queued => {
                let s = &mut self.servers[t.server];
                s.queue.retain(|a| *a != (r, k));
                s.connected = s.connected.saturating_sub(1);
            }
            _ => {}
        }
    }

    pub fn retry(&mut self, r: usize, end: AttemptEnd) {
        let live = self.request_states[r]
            .attempts
            .iter()
            .any(|t| t.phase != Phase::Ended);
        if live {
            return;
        }
        let safe = !self.request_states[r].booking || end == AttemptEnd::Shed;
        let more = self.request_states[r].attempts.len() < MAX_ATTEMPTS;
        let entry = self.request_states[r].entry;
        if safe && more && self.entries[entry].budget.try_spend() && self.attempt(r) {
            return;
        }
        let last = match end {
            AttemptEnd::Shed => RequestOutcome::Refused,
            AttemptEnd::TimedOut => RequestOutcome::Unknown,
            _ => RequestOutcome::Failed,
        };
        let latency = (self.now - self.request_states[r].attempts[0].started) / MS;
        self.release(r, end, latency, last);
    }

    pub fn hedge(&mut self, r: usize) {
        let req = &self.request_states[r];
        let e = &mut self.entries[req.entry];
        let waits = !req.closed
            && req.attempts.len() == 1
            && req.entry_restarts == self.restarts[req.entry];
        if waits && e.hedge.try_hedge(Class::Idempotent, false, &mut e.budget) {
            self.request_states[r].hedged = self.attempt(r);
        }
    }
}
