//! Admission, server selection and region selection for one service.

use std::collections::HashMap;
use std::net::SocketAddr;

use indexmap::IndexMap;
use pomelovale_protocol::report::ServiceLoad;
use pomelovale_state::document::{Document, MemberState};
use pomelovale_state::{Millis, Name};
use pomelovale_steering::admission::{Admission, AdmissionLimits, AdmissionPolicy, Ticket};
use pomelovale_steering::balancer::{
    AttemptSpec, Balancer, BalancerPolicy, EntryInfo, ServerInfo, ServerLoad,
};
use pomelovale_steering::region::{RegionMeasurement, RegionPolicy, RegionSelector};
use pomelovale_steering::retry::{RetryBudget, RetryPolicy};
use pomelovale_steering::split::Split;
use pomelovale_steering::{AttemptEnd, Class};
use tokio::sync::oneshot;

use super::config::EntryConfig;
use super::steering::Choice;

/// Assumed round-trip time between regions in milliseconds.
pub const REGION_RTT_MS: f64 = 110.0;
/// Responses after which the recorded peak latency has decayed by about two
/// thirds. The integer division makes a peak below this many milliseconds stay
/// until a higher one.
const PEAK_DECAY_RESPONSES: u64 = 64;
const BITS_PER_MBIT: f64 = 1e6;

/// Result of a wait: admitted here, sent to another region, or refused with the
/// time in milliseconds after which to retry.
pub type WaitResult = Result<Option<Name>, u64>;

/// A move of the service that has started.
#[derive(Debug)]
struct Moved {
    from: Name,
    to: Name,
    share: u16,
}

/// A request that waits for admission.
#[derive(Debug)]
pub struct Waiter {
    /// Receives the result of the wait.
    pub admit: oneshot::Sender<WaitResult>,
    /// Start of the wait.
    pub since: Millis,
    /// Whether the request is deferrable; such requests are never sent to another
    /// region.
    pub deferrable: bool,
}

/// Steering of one service on one entry instance.
#[derive(Debug)]
pub struct ServiceSteering {
    /// Admission and its queues.
    pub admission: Admission,
    /// Load balancer over the backend servers.
    pub balancer: Balancer,
    /// Retry budget.
    pub retry_budget: RetryBudget,
    /// Requests that wait for admission.
    pub waiting: HashMap<Ticket, Waiter>,
    name: Name,
    home: Name,
    split: Split,
    regions: RegionSelector,
    moved: Option<Moved>,
    addresses: HashMap<Name, SocketAddr>,
    has_local_servers: bool,
    version: Option<u64>,
    requests: u64,
    measured_at: Millis,
    region_counters: IndexMap<Name, RegionCounters>,
    peak_latency_ms: u64,
    attempt_ms: u64,
}

/// Attempts in one region since the last measurement.
#[derive(Clone, Copy, Debug, Default)]
struct RegionCounters {
    sent: u64,
    failed: u64,
    outstanding: u64,
}

impl ServiceSteering {
    /// Creates steering for a service without servers.
    pub fn new(config: &EntryConfig, name: &Name, seed: u64) -> ServiceSteering {
        let limits = AdmissionLimits {
            queue: config.queue,
            wait_ms: config.queue_ms,
            ..AdmissionLimits::default()
        };
        ServiceSteering {
            admission: Admission::new(AdmissionPolicy::Fair, limits),
            balancer: Balancer::new(BalancerPolicy::SlotShares, seed),
            retry_budget: RetryBudget::new(RetryPolicy::Budget),
            waiting: HashMap::new(),
            name: name.clone(),
            home: config.region.clone(),
            split: Split::new(),
            regions: RegionSelector::new(RegionPolicy::Spill, &config.region),
            moved: None,
            addresses: HashMap::new(),
            has_local_servers: false,
            version: None,
            requests: 0,
            measured_at: Millis(0),
            region_counters: IndexMap::new(),
            peak_latency_ms: 0,
            attempt_ms: config.attempt_ms,
        }
    }

    /// Updates servers, entries, weights and the move from the document.
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
                limit: document.limits.get(name).copied(),
            })
            .collect();
        let entries = entries(document);
        let is_local = |s: &ServerInfo| s.region == self.home && !s.leaving;
        self.has_local_servers = servers.iter().any(is_local);
        self.balancer.set_servers(now, &servers);
        self.balancer.set_entries(now, own, &entries);
        for (name, workspace) in &document.workspaces {
            self.admission.set_weight(name, workspace.weight);
        }
        self.moved = self.find_move(document);
        self.update_admission_limits(&servers, &entries);
        if self.moved.is_none() {
            self.split.forget(&self.name);
        }
    }

    // Admitted requests stay in this region, unless a move shifts traffic out of
    // it or it has no servers.
    fn update_admission_limits(&mut self, servers: &[ServerInfo], entries: &[EntryInfo]) {
        let moves_out = self.moved.as_ref().is_some_and(|m| m.from == self.home);
        let all = moves_out || !self.has_local_servers;
        let open = servers
            .iter()
            .filter(|s| !s.leaving && (all || s.region == self.home));
        let entries_sharing_slots = entries
            .iter()
            .filter(|e| !e.leaving && (all || e.region == self.home));
        let slots = open.map(|s| s.slots).sum();
        self.admission
            .set_bounds_from_slots(slots, entries_sharing_slots.count() as u32);
    }

    // A move out of this region takes precedence. Other moves affect the requests
    // that this entry sends to the source region of the move.
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

    /// Returns the only region allowed for the next request, or `None` for any
    /// region if this entry's region has no server. Call once for each request.
    pub fn region(&mut self) -> Option<Name> {
        let Some(moved) = &self.moved else {
            return self.has_local_servers.then(|| self.home.clone());
        };
        let own = moved.from == self.home;
        if (own || !self.has_local_servers) && self.split.try_move(&self.name, moved.share) {
            return Some(moved.to.clone());
        }
        if !self.has_local_servers {
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

    /// Returns another region for a request that would wait, or has waited,
    /// `wait_ms` here. Such a request skips admission, since the allowance for
    /// spilled requests limits it. While a move shifts traffic out of this
    /// region, the split decides instead.
    pub fn spill(&mut self, wait_ms: f64) -> Option<Name> {
        let moves_out = self.moved.as_ref().is_some_and(|m| m.from == self.home);
        if moves_out || !self.has_local_servers {
            return None;
        }
        let region = self.regions.try_spill(wait_ms)?;
        match &self.moved {
            Some(m) if m.from == region && self.split.try_move(&self.name, m.share) => {
                Some(m.to.clone())
            }
            _ => Some(region),
        }
    }

    /// Chooses a server and counts the attempt as outstanding.
    pub fn choose(
        &mut self,
        now: Millis,
        class: Class,
        region: Option<&Name>,
        tried: &[Name],
    ) -> Option<Choice> {
        let mut request = AttemptSpec {
            class,
            exclude: tried,
            region,
        };
        let mut chosen = self.balancer.choose(now, &request);
        if chosen.is_none() && region.is_some_and(|r| *r != self.home) {
            if self.moved.as_ref().map(|m| &m.to) == region {
                self.split.refund(&self.name);
            }
            request.region = self.has_local_servers.then_some(&self.home);
            chosen = self.balancer.choose(now, &request);
        }
        let chosen = chosen?;
        let address = *self.addresses.get(&chosen.server)?;
        self.balancer.start(now, &chosen.server);
        let counters = self
            .region_counters
            .entry(chosen.region.clone())
            .or_default();
        counters.sent += 1;
        counters.outstanding += 1;
        let attempt = self.attempt_ms(&chosen.server, tried);
        Some(Choice {
            service: self.name.clone(),
            address,
            server: chosen.server,
            region: chosen.region,
            attempt,
        })
    }

    // A service that takes longer than `attempt_ms` to respond gets twice its
    // slowest recent latency, since its first attempts would otherwise time out.
    // Without another server or budget for a retry, only the deadline applies,
    // since waiting on is better than giving up.
    fn attempt_ms(&self, chosen: &Name, tried: &[Name]) -> Option<u64> {
        let untried = |name: &Name| name != chosen && !tried.contains(name);
        let may_follow = self.retry_budget.left() > 0 && self.addresses.keys().any(untried);
        may_follow.then(|| self.attempt_ms.max(2 * self.peak_latency_ms))
    }

    /// Counts a request towards the retry budget and the rate.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.retry_budget.record_request();
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, now: Millis, choice: &Choice, end: AttemptEnd, latency_ms: u64) {
        let counters = self
            .region_counters
            .entry(choice.region.clone())
            .or_default();
        counters.outstanding = counters.outstanding.saturating_sub(1);
        counters.failed += u64::from(matches!(end, AttemptEnd::Failed | AttemptEnd::TimedOut));
        if end == AttemptEnd::Complete {
            let decayed = self.peak_latency_ms - self.peak_latency_ms / PEAK_DECAY_RESPONSES;
            self.peak_latency_ms = decayed.max(latency_ms);
        }
        self.balancer.finish(now, &choice.server, end, latency_ms);
    }

    /// Records a load report that was requested at `at`.
    pub fn report_load(&mut self, at: Millis, server: &Name, report: ServerLoad) {
        self.balancer.report_load(at, server, report);
    }

    /// Notifies waiting requests of their admission; passes the admission on if a
    /// request no longer waits.
    pub fn notify_admitted(&mut self, admitted: Vec<Ticket>) {
        for ticket in admitted {
            match self.waiting.remove(&ticket).map(|w| w.admit.send(Ok(None))) {
                Some(Ok(())) => {}
                Some(Err(_)) | None => {
                    let next = self.admission.cancel(ticket);
                    self.notify_admitted(next);
                }
            }
        }
    }

    /// Refuses requests whose wait has expired or that were displaced, or sends
    /// them to another region.
    pub fn refuse_expired(&mut self, now: Millis) {
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

    /// Ends the wait of all requests if no server is left that could run them. They are
    /// refused like requests that don't have to wait, after their keys were checked again.
    pub fn admit_if_unserved(&mut self) {
        if !self.addresses.is_empty() {
            return;
        }
        for ticket in self.admission.take_waiting() {
            if let Some(waiter) = self.waiting.remove(&ticket) {
                let _ = waiter.admit.send(Ok(None));
            }
        }
    }

    /// Updates region selection with new measurements, and returns these for the
    /// report to the leader.
    pub fn measure(&mut self, now: Millis, document: &Document) -> Vec<ServiceLoad> {
        let elapsed_ms = now.since(self.measured_at).max(1);
        let rate = per_second(self.requests, elapsed_ms);
        (self.measured_at, self.requests) = (now, 0);
        let loads = self.balancer.region_loads(now);
        let queue_ms = self.admission.drain_time_ms();
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
                spare_rate: link(document, &self.home, &l.region) / 8.0 / bytes.max(1) as f64,
                sampled: now.minus(age),
            })
            .collect();
        let entries = entries(document).len() as u32;
        if self.admission.uncongested_ms() > 0.0 {
            self.regions.set_request_ms(self.admission.uncongested_ms());
        }
        self.regions.update(now, rate as f64, entries, &measures);
        let region_counters = std::mem::take(&mut self.region_counters);
        let rows = measured.map(|(l, age)| {
            let counters = region_counters.get(&l.region).copied().unwrap_or_default();
            ServiceLoad {
                service: self.name.clone(),
                region: l.region.clone(),
                rate: per_second(counters.sent, elapsed_ms),
                failed: per_second(counters.failed, elapsed_ms),
                outstanding: counters.outstanding,
                busy: l.load as u64,
                slots: u64::from(l.slots),
                oldest_ms: age,
            }
        });
        let rows = rows.collect();
        self.region_counters = region_counters;
        for counters in self.region_counters.values_mut() {
            (counters.sent, counters.failed) = (0, 0);
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

/// Lists the instances with the entry role.
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
