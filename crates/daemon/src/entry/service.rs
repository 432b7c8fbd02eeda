//! Steering of one service on one entry instance.

use std::collections::HashMap;
use std::net::SocketAddr;

use indexmap::IndexMap;
use pomelovale_protocol::report::ServiceLoad;
use pomelovale_state::document::{Document, MemberState};
use pomelovale_state::{Millis, Name};
use pomelovale_steering::admission::{Admission, AdmissionLimits, AdmissionPolicy, Ticket};
use pomelovale_steering::balancer::{
    Balancer, BalancerPolicy, EntryInfo, LoadReport, Request, ServerInfo,
};
use pomelovale_steering::region::{RegionMeasurement, RegionPolicy, RegionSelector};
use pomelovale_steering::retry::{RetryBudget, RetryPolicy};
use pomelovale_steering::split::Split;
use pomelovale_steering::{AttemptEnd, Class};
use tokio::sync::oneshot;

use super::config::EntryConfig;
use super::decide::Choice;

/// Round trip between regions in milliseconds, as far as nothing is measured.
pub const REGION_RTT_MS: f64 = 110.0;
/// Answers after which a slow one has lost about two thirds of its weight.
const PEAK_DECAY: u64 = 64;
const BITS_PER_MBIT: f64 = 1e6;

/// How a wait ends: admitted here, sent to another region, or refused with the
/// time of the next try.
pub type Admitted = Result<Option<Name>, u64>;

/// A move of the service that has begun.
#[derive(Debug)]
struct Moved {
    from: Name,
    to: Name,
    share: u16,
}

/// A request that waits for admission.
#[derive(Debug)]
pub struct Waiter {
    /// Ends the wait.
    pub admit: oneshot::Sender<Admitted>,
    /// When it began.
    pub since: Millis,
    /// Whether it is deferrable, which never goes to another region.
    pub deferrable: bool,
}

/// The decisions about one service.
#[derive(Debug)]
pub struct Steering {
    /// Admission and its queues.
    pub admission: Admission,
    /// Selection of backend servers.
    pub balancer: Balancer,
    /// Retries allowed.
    pub budget: RetryBudget,
    /// Requests that wait.
    pub waiting: HashMap<Ticket, Waiter>,
    name: Name,
    home: Name,
    split: Split,
    regions: RegionSelector,
    moved: Option<Moved>,
    addresses: HashMap<Name, SocketAddr>,
    local: bool,
    version: Option<u64>,
    requests: u64,
    updated: Millis,
    tallies: IndexMap<Name, Tally>,
    slowest: u64,
    attempt_ms: u64,
}

/// Attempts in one region since the last measurement.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u64,
    failed: u64,
    outstanding: u64,
}

impl Steering {
    /// Steering of a service that knows no server.
    pub fn new(config: &EntryConfig, name: &Name, seed: u64) -> Steering {
        let limits = AdmissionLimits {
            queue: config.queue,
            wait_ms: config.queue_ms,
            ..AdmissionLimits::default()
        };
        Steering {
            admission: Admission::new(AdmissionPolicy::Fair, limits),
            balancer: Balancer::new(BalancerPolicy::SlotShares, seed),
            budget: RetryBudget::new(RetryPolicy::Budget),
            waiting: HashMap::new(),
            name: name.clone(),
            home: config.region.clone(),
            split: Split::new(),
            regions: RegionSelector::new(RegionPolicy::Spill, &config.region),
            moved: None,
            addresses: HashMap::new(),
            local: false,
            version: None,
            requests: 0,
            updated: Millis(0),
            tallies: IndexMap::new(),
            slowest: 0,
            attempt_ms: config.attempt_ms,
        }
    }

    /// Brings servers, entries, weights and the move up to date.
    pub fn sync(&mut self, now: Millis, own: &Name, document: &Document) {
        if self.version == Some(document.version) {
            return;
        }
        self.version = Some(document.version);
        let members = document
            .backends
            .iter()
            .filter(|(_, b)| b.service == self.name);
        self.addresses = members
            .clone()
            .filter(|(_, b)| b.state == MemberState::Serving)
            .map(|(n, b)| (n.clone(), b.address))
            .collect();
        let servers: Vec<ServerInfo> = members
            .map(|(name, b)| ServerInfo {
                name: name.clone(),
                region: b.region.clone(),
                domain: b.domain.clone(),
                slots: b.slots,
                connections: b.connections,
                leaving: b.state != MemberState::Serving,
            })
            .collect();
        let entries = entries(document);
        let at_home = |s: &ServerInfo| s.region == self.home && !s.leaving;
        self.local = servers.iter().any(at_home);
        self.balancer.set_servers(now, &servers);
        self.balancer.set_entries(own, &entries);
        for (name, workspace) in &document.workspaces {
            self.admission.set_weight(name, workspace.weight);
        }
        self.moved = self.find_move(document);
        self.bound(&servers, &entries);
        if self.moved.is_none() {
            self.split.forget(&self.name);
        }
    }

    // Requests that are admitted stay in this region, except while a move leaves
    // it or without servers here.
    fn bound(&mut self, servers: &[ServerInfo], entries: &[EntryInfo]) {
        let leaving = self.moved.as_ref().is_some_and(|m| m.from == self.home);
        let all = leaving || !self.local;
        let open = servers
            .iter()
            .filter(|s| !s.leaving && (all || s.region == self.home));
        let sharing = entries
            .iter()
            .filter(|e| !e.leaving && (all || e.region == self.home));
        let slots = open.map(|s| s.slots).sum();
        self.admission
            .set_bounds_from_slots(slots, sharing.count() as u32);
    }

    // The move out of this region goes first; others matter to requests that
    // this entry sends into the region that is being left.
    fn find_move(&self, document: &Document) -> Option<Moved> {
        let moves = document.moves.values();
        let mine = moves.filter(|m| m.services.contains(&self.name) && m.share() > 0);
        let first = mine.min_by_key(|m| m.from != self.home)?;
        Some(Moved {
            from: first.from.clone(),
            to: first.to.clone(),
            share: first.share(),
        })
    }

    /// The only region allowed for the next request; any if there is no server
    /// in this entry's region. Call once for each request.
    pub fn region(&mut self) -> Option<Name> {
        let Some(moved) = &self.moved else {
            return self.local.then(|| self.home.clone());
        };
        let own = moved.from == self.home;
        if (own || !self.local) && self.split.pick(&self.name, moved.share) {
            return Some(moved.to.clone());
        }
        if !self.local {
            return None;
        }
        if !own {
            return Some(self.home.clone());
        }
        let picked = self.regions.pick();
        match moved.to == picked && !self.split.try_spill(&self.name) {
            true => Some(self.home.clone()),
            false => Some(picked),
        }
    }

    /// Another region for a request that would wait, or has waited, for
    /// `wait_ms` here. Such a request skips admission, since the allowance
    /// bounds it. While a move leaves this region, the split decides instead.
    pub fn spill(&mut self, wait_ms: f64) -> Option<Name> {
        let leaving = self.moved.as_ref().is_some_and(|m| m.from == self.home);
        if leaving || !self.local {
            return None;
        }
        let region = self.regions.try_spill(wait_ms)?;
        match &self.moved {
            Some(m) if m.from == region && self.split.pick(&self.name, m.share) => {
                Some(m.to.clone())
            }
            _ => Some(region),
        }
    }

    /// Chooses a server and counts the attempt.
    pub fn choose(
        &mut self,
        now: Millis,
        class: Class,
        region: Option<&Name>,
        tried: &[Name],
    ) -> Option<Choice> {
        let mut request = Request {
            class,
            exclude: tried,
            region,
        };
        let mut chosen = self.balancer.choose(now, &request);
        if chosen.is_none() && region.is_some_and(|r| *r != self.home) {
            if self.moved.as_ref().map(|m| &m.to) == region {
                self.split.refund(&self.name);
            }
            request.region = self.local.then_some(&self.home);
            chosen = self.balancer.choose(now, &request);
        }
        let chosen = chosen?;
        let address = *self.addresses.get(&chosen.server)?;
        self.balancer.start(now, &chosen.server);
        let tally = self.tallies.entry(chosen.region.clone()).or_default();
        tally.sent += 1;
        tally.outstanding += 1;
        let attempt = self.attempt_ms(&chosen.server, tried);
        Some(Choice {
            service: self.name.clone(),
            address,
            server: chosen.server,
            region: chosen.region,
            attempt,
        })
    }

    // A service whose answers take longer than `attempt_ms` gets twice its
    // slowest recent one, since it would otherwise lose its first attempts to
    // timeouts. Without another server to ask, waiting on is better than
    // giving up.
    fn attempt_ms(&self, chosen: &Name, tried: &[Name]) -> Option<u64> {
        let untried = |name: &Name| name != chosen && !tried.contains(name);
        let followed = self.budget.left() > 0 && self.addresses.keys().any(untried);
        followed.then(|| self.attempt_ms.max(2 * self.slowest))
    }

    /// Counts a request towards the retry budget and the rate.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.budget.record_request();
    }

    /// Ends an attempt.
    pub fn finish(&mut self, now: Millis, choice: &Choice, end: AttemptEnd, latency_ms: u64) {
        let tally = self.tallies.entry(choice.region.clone()).or_default();
        tally.outstanding = tally.outstanding.saturating_sub(1);
        tally.failed += u64::from(matches!(end, AttemptEnd::Failed | AttemptEnd::TimedOut));
        if end == AttemptEnd::Complete {
            let decayed = self.slowest - self.slowest / PEAK_DECAY;
            self.slowest = decayed.max(latency_ms);
        }
        self.balancer.finish(now, &choice.server, end, latency_ms);
    }

    /// Records a load report that was asked for at `at`.
    pub fn report_load(&mut self, at: Millis, server: &Name, report: LoadReport) {
        self.balancer.report_load(at, server, report);
    }

    /// Ends the waits of admitted and refused requests.
    pub fn wake(&mut self, admitted: Vec<Ticket>) {
        for ticket in admitted {
            match self.waiting.remove(&ticket).map(|w| w.admit.send(Ok(None))) {
                Some(Ok(())) => {}
                Some(Err(_)) | None => {
                    let next = self.admission.cancel(ticket);
                    self.wake(next);
                }
            }
        }
    }

    /// Refuses the requests that have waited too long or were displaced.
    pub fn refuse_late(&mut self, now: Millis) {
        for refused in self.admission.take_refused(now) {
            let Some(waiter) = self.waiting.remove(&refused.ticket) else {
                continue;
            };
            let waited = now.since(waiter.since) as f64;
            let spilled = match waiter.deferrable {
                true => None,
                false => self.spill(waited),
            };
            let ended = spilled.map(Some).ok_or(refused.retry_after_ms);
            let _ = waiter.admit.send(ended);
        }
    }

    /// Takes new measurements into the selection of regions, and returns them
    /// for the leader.
    pub fn measure(&mut self, now: Millis, document: &Document) -> Vec<ServiceLoad> {
        let passed = now.since(self.updated).max(1);
        let rate = per_second(self.requests, passed);
        (self.updated, self.requests) = (now, 0);
        let loads = self.balancer.region_loads(now);
        let queue_ms = self.admission.queue_wait();
        let bytes = document.services.get(&self.name).map_or(1, |s| s.bytes);
        let measured = loads.iter().filter_map(|l| Some((l, l.oldest_ms?)));
        let measures: Vec<RegionMeasurement> = measured
            .clone()
            .map(|(l, age)| RegionMeasurement {
                region: l.region.clone(),
                slots: f64::from(l.slots),
                load: l.load,
                wait_ms: l.wait_ms + if l.region == self.home { queue_ms } else { 0.0 },
                distance_ms: if l.region == self.home {
                    0.0
                } else {
                    REGION_RTT_MS
                },
                link_spare_rate: link(document, &self.home, &l.region) / 8.0 / bytes.max(1) as f64,
                sampled: now.minus(age),
            })
            .collect();
        let entries = entries(document).len() as u32;
        if self.admission.floor_ms() > 0.0 {
            self.regions.set_request_ms(self.admission.floor_ms());
        }
        self.regions.update(now, rate as f64, entries, &measures);
        let tallies = std::mem::take(&mut self.tallies);
        let rows = measured.map(|(l, age)| {
            let tally = tallies.get(&l.region).copied().unwrap_or_default();
            ServiceLoad {
                service: self.name.clone(),
                region: l.region.clone(),
                rate: per_second(tally.sent, passed),
                failed: per_second(tally.failed, passed),
                outstanding: tally.outstanding,
                busy: l.load as u64,
                slots: u64::from(l.slots),
                oldest_ms: age,
            }
        });
        let rows = rows.collect();
        self.tallies = tallies;
        for tally in self.tallies.values_mut() {
            (tally.sent, tally.failed) = (0, 0);
        }
        rows
    }
}

fn per_second(count: u64, ms: u64) -> u64 {
    count * 1_000 / ms
}

fn link(document: &Document, from: &Name, to: &Name) -> f64 {
    document
        .link(from, to)
        .map_or(0.0, |mbits| f64::from(mbits) * BITS_PER_MBIT)
}

/// Instances with the entry role, as steering sees them.
pub fn entries(document: &Document) -> Vec<EntryInfo> {
    let callers = document
        .instances
        .iter()
        .filter(|(_, i)| i.callers.is_some());
    callers
        .map(|(name, i)| EntryInfo {
            name: name.clone(),
            region: i.region.clone(),
            domain: i.domain.clone(),
            leaving: i.state != MemberState::Serving,
        })
        .collect()
}
