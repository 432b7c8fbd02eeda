//! Order of the requests of one service while demand exceeds its capacity.
//!
//! The instance that selects servers asks [`Scheduler::offer`] for each request,
//! with an estimate of its placement. A request that makes its objective on a
//! server with a place is placed. One that makes it after a wait waits. One that
//! doesn't make it is placed on a free slot unless requests that make theirs need
//! the room, and is otherwise rejected with the time at which there is capacity.
//!
//! Waiting requests are placed by priority, then returning callers, then by
//! weighted fair queueing between pairs of workspace and failure domain, then by
//! slack. Servers hold different objects, so a request that finds no place doesn't
//! delay those behind it.

use std::cmp::Ordering;
use std::collections::VecDeque;

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};

pub use crate::fair_queue::Ticket;
use crate::returns::{Return, Returns};

/// Number of priorities that are told apart; lower ones count as the last.
const PRIORITIES: usize = 4;
/// Share of the placements that a priority gets at least while it has requests
/// waiting, and that requests which miss their objective get while others need the room.
const MIN_SHARE: f64 = 0.1;
/// Time for which a request that found no place shows that room is short, in milliseconds.
/// A slot of a server with 9 of them ends a request about every 60 ms.
const SHORT_MS: u64 = 250;
/// Time over which the drain rate is counted, in milliseconds.
const DRAIN_WINDOW_MS: u64 = 1_000;
/// Largest number of waiting requests.
const WAITING_MAX: usize = 256;
/// Waiting requests that one call of [`Scheduler::release`] looks at. Each takes a
/// comparison of all servers.
const EXAMINED_MAX: usize = 8;

/// Order of the waiting requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Order {
    /// Priority, returning callers, fair shares, slack.
    #[default]
    Fair,
    /// Priority, then the earliest objective; a baseline for benchmarks.
    Deadline,
    /// Highest value for the expected work; a baseline for benchmarks. A request is worth
    /// as much as its priority is urgent.
    Value,
}

/// A request to schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidacy {
    /// Its workspace; empty on open routes.
    pub workspace: Name,
    /// Failure domain of the gateway that its caller has reached.
    pub domain: Name,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Latency objective, in milliseconds from now.
    pub objective_ms: u64,
    /// Time to its deadline, in milliseconds from now.
    pub left_ms: u64,
    /// Whether its caller has returned at the time that a rejection named.
    pub returned: bool,
}

/// Whether a server has a place for a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fit {
    /// A server has one, and the request makes its objective there.
    OnTime {
        /// Whether that server has a free slot.
        idle: bool,
    },
    /// A server has a free slot, where the request makes its deadline only.
    Late,
    /// No server has one.
    Full,
}

/// Estimate of the placement of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Whether there is a place now.
    pub fit: Fit,
    /// Expected work where it is shortest, in milliseconds.
    pub work_ms: f64,
    /// Expected time until the server with the shortest latency has a place, in milliseconds.
    pub wait_ms: f64,
    /// Expected time between two places that become free there, in milliseconds.
    pub gap_ms: f64,
    /// Identifies that server.
    pub target: u64,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It is sent to a server.
    Place,
    /// It is rejected.
    Refuse {
        /// Time after which there is capacity, in milliseconds.
        retry_ms: u64,
    },
    /// It waits.
    Wait {
        /// Identifies it until it is released or cancelled.
        ticket: Ticket,
    },
}

#[derive(Clone, Debug)]
struct Waiting {
    request: Candidacy,
    since: Millis,
    work_ms: f64,
    target: u64,
    fingerprint: u64,
}

impl Waiting {
    fn objective_ms(&self, now: Millis) -> f64 {
        self.request.objective_ms as f64 - now.since(self.since) as f64
    }

    fn left_ms(&self, now: Millis) -> u64 {
        let waited_ms = now.since(self.since);
        self.request.left_ms.saturating_sub(waited_ms)
    }
}

/// Orders the requests of one service for one instance.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    order: Order,
    waiting: IndexMap<Ticket, Waiting>,
    last: u64,
    // Virtual time of each pair of workspace and failure domain, in milliseconds of work,
    // and that of the request that was placed last.
    shares: IndexMap<(Name, Name), f64>,
    virtual_ms: f64,
    // Placements that are due to each priority, and to requests that miss their objective.
    credit: [f64; PRIORITIES],
    late_credit: f64,
    // When a request that could make its objective last found no place, by priority.
    short_at: [Option<Millis>; PRIORITIES],
    // Ends of requests in the last `DRAIN_WINDOW_MS`.
    ends: VecDeque<Millis>,
    returns: Returns,
}

impl Scheduler {
    /// A scheduler without requests.
    pub fn new(order: Order) -> Scheduler {
        Scheduler {
            order,
            ..Scheduler::default()
        }
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the caller of a request has returned after a rejection. Its fingerprint is
    /// forgotten.
    pub fn recognize(&mut self, now: Millis, fingerprint: u64) -> Return {
        self.returns.take(now, fingerprint)
    }

    /// Decides what happens to a request. A placed one is to be sent to a server at once.
    /// Call [`Scheduler::release`] before, so that waiting requests come first.
    pub fn offer(
        &mut self,
        now: Millis,
        request: Candidacy,
        fingerprint: u64,
        estimate: &Estimate,
    ) -> Offer {
        let objective_ms = request.objective_ms as f64;
        if self.may_place(now, &request, estimate.fit) {
            self.record_placement(now, &request, estimate);
            return Offer::Place;
        }
        self.record_shortage(now, &request, estimate, objective_ms);
        let waiting = Waiting {
            since: now,
            work_ms: estimate.work_ms,
            target: estimate.target,
            fingerprint,
            request,
        };
        if self.waiting.len() < WAITING_MAX && self.makes_objective(now, &waiting, None, estimate) {
            self.last += 1;
            let ticket = Ticket(self.last);
            self.waiting.insert(ticket, waiting);
            return Offer::Wait { ticket };
        }
        let retry_ms = self.refuse(now, waiting.request.left_ms, fingerprint);
        Offer::Refuse { retry_ms }
    }

    /// Takes the next request out of the queue that has a place now, or that no longer makes
    /// its objective after the expected wait. Call it until it returns `None`, when a request
    /// has ended and every 20 ms. `estimate` estimates the placement of a waiting request.
    pub fn release(
        &mut self,
        now: Millis,
        mut estimate: impl FnMut(Ticket) -> Estimate,
    ) -> Option<(Ticket, Offer)> {
        for ticket in self.first_waiting(now) {
            let found = estimate(ticket);
            let waiting = &self.waiting[&ticket];
            let request = waiting.request.clone();
            if self.may_place(now, &request, found.fit) {
                self.waiting.shift_remove(&ticket);
                self.record_placement(now, &request, &found);
                return Some((ticket, Offer::Place));
            }
            let objective_ms = waiting.objective_ms(now);
            if self.makes_objective(now, waiting, Some(ticket), &found) {
                self.record_shortage(now, &request, &found, objective_ms);
                continue;
            }
            let waiting = self.waiting.shift_remove(&ticket)?;
            let retry_ms = self.refuse(now, waiting.left_ms(now), waiting.fingerprint);
            return Some((ticket, Offer::Refuse { retry_ms }));
        }
        None
    }

    /// Takes a request out of the queue. Returns whether it waited.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.shift_remove(&ticket).is_some()
    }

    /// Records that a placed request has ended.
    pub fn record_end(&mut self, now: Millis) {
        self.ends.push_back(now);
        self.expire_ends(now);
    }

    // Returns the time after which there is capacity, in milliseconds.
    fn refuse(&mut self, now: Millis, left_ms: u64, fingerprint: u64) -> u64 {
        self.expire_ends(now);
        let drain = self.ends.len() as f64 / DRAIN_WINDOW_MS as f64;
        self.returns.give_place(now, drain, left_ms, fingerprint)
    }

    /// Gives a rejected caller the time to return, in milliseconds, so that it is recognized.
    pub fn expect_return(&mut self, now: Millis, fingerprint: u64, retry_ms: u64) {
        self.returns.put(now, fingerprint, now.plus(retry_ms));
    }

    fn expire_ends(&mut self, now: Millis) {
        while self
            .ends
            .front()
            .is_some_and(|at| now.since(*at) > DRAIN_WINDOW_MS)
        {
            self.ends.pop_front();
        }
    }

    // A server's queue is kept for requests of the most urgent priority that is short of
    // room; a free slot is used by any.
    fn may_place(&self, now: Millis, request: &Candidacy, fit: Fit) -> bool {
        let rank = rank(request.priority);
        match fit {
            Fit::OnTime { idle: true } => true,
            Fit::OnTime { idle: false } => {
                !self.is_short(now, &self.short_at[..rank]) || self.credit[rank] >= 1.0
            }
            Fit::Late => {
                let is_short = self.is_short(now, &self.short_at);
                !is_short || request.returned || self.late_credit >= 1.0
            }
            Fit::Full => false,
        }
    }

    fn is_short(&self, now: Millis, times: &[Option<Millis>]) -> bool {
        let mut recent = times.iter().flatten();
        recent.any(|at| now.since(*at) < SHORT_MS)
    }

    // Whether a request makes its objective after the wait for its server and for the requests
    // that wait for the same server before it.
    fn makes_objective(
        &self,
        now: Millis,
        waiting: &Waiting,
        own: Option<Ticket>,
        estimate: &Estimate,
    ) -> bool {
        let is_before = |(ticket, other): &(&Ticket, &Waiting)| {
            own != Some(**ticket)
                && other.target == estimate.target
                && self.compare(now, other, waiting) == Ordering::Less
        };
        let before = self.waiting.iter().filter(is_before).count() as f64;
        let wait_ms = estimate.wait_ms + before * estimate.gap_ms;
        wait_ms + estimate.work_ms <= waiting.objective_ms(now)
    }

    fn record_shortage(
        &mut self,
        now: Millis,
        request: &Candidacy,
        estimate: &Estimate,
        objective_ms: f64,
    ) {
        if estimate.work_ms <= objective_ms {
            self.short_at[rank(request.priority)] = Some(now);
        }
    }

    fn record_placement(&mut self, now: Millis, request: &Candidacy, estimate: &Estimate) {
        let mut has_waiting = [false; PRIORITIES];
        for waiting in self.waiting.values() {
            has_waiting[rank(waiting.request.priority)] = true;
        }
        for (rank, is_short) in self.short_at.iter().enumerate() {
            has_waiting[rank] |= is_short.is_some_and(|at| now.since(at) < SHORT_MS);
        }
        for (credit, waits) in self.credit.iter_mut().zip(has_waiting) {
            *credit = match waits {
                true => (*credit + MIN_SHARE).min(1.0),
                false => 0.0,
            };
        }
        let credit = &mut self.credit[rank(request.priority)];
        *credit = (*credit - 1.0).max(0.0);
        self.late_credit = match estimate.fit {
            Fit::Late => (self.late_credit - 1.0).max(0.0),
            Fit::OnTime { .. } | Fit::Full => (self.late_credit + MIN_SHARE).min(1.0),
        };
        let start = self.start(request);
        self.virtual_ms = self.virtual_ms.max(start);
        let pair = (request.workspace.clone(), request.domain.clone());
        self.shares.insert(pair, start + estimate.work_ms);
        // A pair without a debt starts at the current virtual time in any case.
        let virtual_ms = self.virtual_ms;
        self.shares.retain(|_, time| *time > virtual_ms);
    }

    // Virtual time at which the next request of a pair starts.
    fn start(&self, request: &Candidacy) -> f64 {
        let pair = (request.workspace.clone(), request.domain.clone());
        let own = self.shares.get(&pair).copied().unwrap_or(0.0);
        own.max(self.virtual_ms)
    }

    fn first_waiting(&self, now: Millis) -> Vec<Ticket> {
        let mut all: Vec<(&Ticket, &Waiting)> = self.waiting.iter().collect();
        all.sort_by(|a, b| self.compare(now, a.1, b.1));
        let first = all.into_iter().take(EXAMINED_MAX);
        first.map(|(ticket, _)| *ticket).collect()
    }

    fn compare(&self, now: Millis, a: &Waiting, b: &Waiting) -> Ordering {
        let slack = |w: &Waiting| w.objective_ms(now) - w.work_ms;
        let is_due = |w: &Waiting| self.credit[rank(w.request.priority)] >= 1.0;
        let priority = |w: &Waiting| w.request.priority;
        let by_slack = || slack(a).total_cmp(&slack(b));
        match self.order {
            Order::Fair => is_due(b)
                .cmp(&is_due(a))
                .then(priority(a).cmp(&priority(b)))
                .then(b.request.returned.cmp(&a.request.returned))
                .then_with(|| self.start(&a.request).total_cmp(&self.start(&b.request)))
                .then_with(by_slack),
            Order::Deadline => priority(a).cmp(&priority(b)).then_with(by_slack),
            Order::Value => {
                let value = |w: &Waiting| 1.0 / (f64::from(priority(w) + 1) * w.work_ms.max(1.0));
                value(b).total_cmp(&value(a))
            }
        }
    }
}

fn rank(priority: u32) -> usize {
    (priority as usize).min(PRIORITIES - 1)
}
