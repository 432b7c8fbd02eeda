//! Order of the requests of one service while demand exceeds its capacity.
//!
//! The instance that selects servers asks [`Scheduler::offer`] for each request,
//! with an estimate of its placement. A request that makes its objective on a
//! server with a place is placed. One that makes it after a wait waits. One that
//! doesn't make it is placed on a free slot unless a request that makes its own waits
//! for that server, and is otherwise rejected with the time at which there is capacity.
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
/// A priority gets at least one in this many placements while it has requests waiting, and
/// requests that miss their objective while room is short. Without the latter, objects that
/// no server holds would never be loaded.
const SHARE_ONE_IN: u32 = 10;
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
    OnTime,
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
    /// Whether few instances place requests beside this one, so that it knows the load.
    pub exact: bool,
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
    // Placements of other requests while each priority had requests waiting.
    passed: [u32; PRIORITIES],
    // Placements since that of a request that misses its objective.
    late_passed: u32,
    // When a request that could make its objective last found no place.
    short_at: Option<Millis>,
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
        if self.may_place(now, estimate, None) {
            self.record_placement(&request, estimate);
            return Offer::Place;
        }
        if estimate.work_ms <= request.objective_ms as f64 {
            self.short_at = Some(now);
        }
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
            if self.may_place(now, &found, Some(ticket)) {
                self.waiting.shift_remove(&ticket);
                self.record_placement(&request, &found);
                return Some((ticket, Offer::Place));
            }
            if self.makes_objective(now, waiting, Some(ticket), &found) {
                self.short_at = Some(now);
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

    // A request that misses its objective leaves a free slot to those that wait for that server
    // and make theirs. An instance that knows the load also keeps the other slots for these
    // while room is short; one of many would reject requests for which there is room.
    fn may_place(&self, now: Millis, estimate: &Estimate, own: Option<Ticket>) -> bool {
        let is_recent = |at: Millis| now.since(at) < SHORT_MS;
        let is_short = estimate.exact && self.short_at.is_some_and(is_recent);
        let mut others = self.waiting.iter().filter(|(t, _)| own != Some(**t));
        match estimate.fit {
            Fit::OnTime => true,
            Fit::Late if is_short && !is_due(self.late_passed) => false,
            Fit::Late => !others.any(|(_, w)| w.target == estimate.target),
            Fit::Full => false,
        }
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

    fn record_placement(&mut self, request: &Candidacy, estimate: &Estimate) {
        let mut has_waiting = [false; PRIORITIES];
        for waiting in self.waiting.values() {
            has_waiting[rank(waiting.request.priority)] = true;
        }
        for (passed, waits) in self.passed.iter_mut().zip(has_waiting) {
            *passed = match waits {
                true => passed.saturating_add(1),
                false => 0,
            };
        }
        self.passed[rank(request.priority)] = 0;
        self.late_passed = match estimate.fit {
            Fit::Late => 0,
            Fit::OnTime | Fit::Full => self.late_passed.saturating_add(1),
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
        let due = |w: &Waiting| is_due(self.passed[rank(w.request.priority)]);
        let priority = |w: &Waiting| w.request.priority;
        let by_slack = || slack(a).total_cmp(&slack(b));
        match self.order {
            Order::Fair => due(b)
                .cmp(&due(a))
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

fn is_due(passed: u32) -> bool {
    passed + 1 >= SHARE_ONE_IN
}

fn rank(priority: u32) -> usize {
    (priority as usize).min(PRIORITIES - 1)
}
