//! Admission control for the requests to one service on one entry.
//!
//! A ticket is in flight, in one queue, or evicted from the full queue and waiting
//! to be returned by [`Admission::take_refused`]. A refused or cancelled request is
//! removed from its queue before its caller is told.

use indexmap::IndexSet;
use pomelovale_state::{Millis, Name};

use crate::concurrency::Limit;
use crate::fair_queue::{FairQueue, QueuePolicy};
use crate::{AttemptEnd, Class};

pub use crate::fair_queue::Ticket;

/// Share of the concurrency limit that deferrable requests may use.
pub const DEFERRABLE_SHARE: f64 = 0.6;

/// Lowest concurrency limit in multiples of the entry's share of the slots. At
/// 1 a busy entry queued requests while other entries left their slots unused.
const MIN_LIMIT_SHARES: u32 = 2;

/// Time in milliseconds after which a queue that never became empty counts as
/// overload rather than as a burst.
const OVERLOAD_AFTER_MS: u64 = 4_000;

/// Factor on the maximum wait during an overload. A longer wait would delay all
/// requests without serving more of them. The reduced wait still exceeds the
/// round trip to another region, so requests spill there before they are refused.
const OVERLOAD_WAIT_FACTOR: f64 = 0.25;

/// Minimum `Retry-After` of a refusal in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// How requests are admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionPolicy {
    /// Adaptive concurrency limit, fair queue and early shedding.
    Fair,
    /// The same limit with one FIFO queue; a baseline for benchmarks.
    Fifo,
    /// Admits every request at once; a baseline for benchmarks.
    Open,
}

/// Limits of admission control.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Initial concurrency limit.
    pub start: u32,
    /// Lowest concurrency limit.
    pub min: u32,
    /// Highest concurrency limit.
    pub max: u32,
    /// Maximum number of waiting requests in each queue.
    pub queue: usize,
    /// Maximum wait of an interactive request in milliseconds.
    pub wait_ms: u64,
    /// Maximum wait of a deferrable request in milliseconds.
    pub defer_ms: u64,
}

impl Default for AdmissionLimits {
    fn default() -> AdmissionLimits {
        AdmissionLimits {
            start: 16,
            min: 2,
            max: 1_024,
            queue: 512,
            wait_ms: 1_000,
            defer_ms: 30_000,
        }
    }
}

/// Decision on an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request may run now.
    Admitted,
    /// The request waits; [`Admission::release`] or [`Admission::cancel`] admits it
    /// later, or [`Admission::take_refused`] refuses it.
    Queued,
    /// The request is refused and has not run.
    Refused {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A waiting request that is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// The request.
    pub ticket: Ticket,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// The end of an admitted request.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd {
    /// The request.
    pub ticket: Ticket,
    /// How its last attempt ended.
    pub end: AttemptEnd,
    /// Time at the backend server in milliseconds.
    pub latency_ms: u64,
}

/// Admits the requests of one service on one entry.
#[derive(Clone, Debug)]
pub struct Admission {
    policy: AdmissionPolicy,
    limits: AdmissionLimits,
    limit: Limit,
    in_flight: IndexSet<Ticket>,
    /// Waiting interactive requests.
    queue: FairQueue,
    /// Waiting deferrable requests.
    deferred: FairQueue,
    /// Requests evicted from the full queue, until `take_refused` returns them.
    evicted: Vec<Refused>,
    /// Moving average of the time of a request at a backend server.
    request_ms: f64,
    /// Time since which `queue` has not been empty.
    nonempty_since: Option<Millis>,
}

impl Admission {
    /// Creates an admission control without requests.
    pub fn new(policy: AdmissionPolicy, limits: AdmissionLimits) -> Admission {
        let order = match policy {
            AdmissionPolicy::Fair => QueuePolicy::Fair,
            AdmissionPolicy::Fifo | AdmissionPolicy::Open => QueuePolicy::Fifo,
        };
        Admission {
            policy,
            limits,
            limit: Limit::new(limits.start, limits.min, limits.max),
            in_flight: IndexSet::new(),
            queue: FairQueue::new(order),
            deferred: FairQueue::new(order),
            evicted: Vec::new(),
            request_ms: 0.0,
            nonempty_since: None,
        }
    }

    /// Sets the weight of a workspace in the fair queues.
    pub fn set_weight(&mut self, workspace: &Name, weight: u32) {
        self.queue.set_weight(workspace, weight);
        self.deferred.set_weight(workspace, weight);
    }

    /// Changes the bounds of the concurrency limit.
    pub fn set_bounds(&mut self, min: u32, max: u32) {
        self.limit.set_bounds(min, max);
    }

    /// Sets the bounds of the concurrency limit from the slots of the region's
    /// servers and the number of entries that share them. Since demand differs
    /// between entries, one entry may use all slots while latency stays low.
    pub fn set_bounds_from_slots(&mut self, slots: u32, entries: u32) {
        let share = slots.div_ceil(entries.max(1)).max(self.limits.min);
        let min_limit = share * MIN_LIMIT_SHARES;
        self.limit
            .set_bounds(min_limit, slots.max(min_limit).min(self.limits.max));
    }

    /// Offers a request.
    pub fn offer(
        &mut self,
        now: Millis,
        ticket: Ticket,
        workspace: &Name,
        class: Class,
    ) -> AdmissionDecision {
        if self.has_capacity(class) && self.queues_are_empty(class) {
            self.queue.record_arrival(now, workspace);
            self.in_flight.insert(ticket);
            return AdmissionDecision::Admitted;
        }
        if class == Class::Deferrable {
            return self.enqueue_deferred(now, ticket, workspace);
        }
        if self.expected_wait_ms(workspace) > self.max_wait_ms(now) as f64 {
            return self.refusal();
        }
        self.queue.push(now, ticket, workspace);
        self.nonempty_since = self.nonempty_since.or(Some(now));
        match self.queue.len() > self.limits.queue {
            true => self.evict_last(ticket),
            false => AdmissionDecision::Queued,
        }
    }

    /// Ends an admitted request and returns the tickets that are admitted next.
    pub fn release(&mut self, now: Millis, ended: RequestEnd) -> Vec<Ticket> {
        if !self.in_flight.swap_remove(&ended.ticket) {
            return Vec::new();
        }
        let concurrent = self.in_flight.len() as u32 + 1;
        self.limit
            .record(now, ended.end, ended.latency_ms, concurrent);
        if ended.end == AttemptEnd::Complete {
            self.request_ms += (ended.latency_ms as f64 - self.request_ms) * 0.05;
        }
        self.admit_next()
    }

    /// Removes a request whose caller has disconnected, whether it waits or is in
    /// flight. Returns the tickets that are admitted next.
    pub fn cancel(&mut self, ticket: Ticket) -> Vec<Ticket> {
        if !self.queue.remove(ticket) && !self.deferred.remove(ticket) {
            self.in_flight.swap_remove(&ticket);
        }
        self.admit_next()
    }

    /// Removes and returns the requests that have waited too long or were evicted.
    /// Call at least every few tens of milliseconds and after each offer.
    pub fn take_refused(&mut self, now: Millis) -> Vec<Refused> {
        let retry_after_ms = self.retry_after();
        let mut refused = std::mem::take(&mut self.evicted);
        let late = self.queue.take_expired(now, self.max_wait_ms(now));
        let deferred = self.deferred.take_expired(now, self.limits.defer_ms);
        if self.queue.is_empty() {
            self.nonempty_since = None;
        }
        let refuse = |ticket| Refused {
            ticket,
            retry_after_ms,
        };
        refused.extend(late.into_iter().chain(deferred).map(refuse));
        refused
    }

    /// Removes and returns all waiting requests.
    pub fn take_waiting(&mut self) -> Vec<Ticket> {
        self.nonempty_since = None;
        let queue = std::iter::from_fn(|| self.queue.pop());
        queue
            .chain(std::iter::from_fn(|| self.deferred.pop()))
            .collect()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.deferred.len()
    }

    /// Current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.limit.current()
    }

    /// Mean time of a request at a backend server in milliseconds; zero before
    /// the first request has completed.
    pub fn request_ms(&self) -> f64 {
        self.request_ms
    }

    /// Expected queueing time of a new interactive request of a workspace, by its
    /// place in the fair queue, in milliseconds.
    pub fn expected_wait_ms(&self, workspace: &Name) -> f64 {
        if self.queue.is_empty() {
            return 0.0;
        }
        self.queue.requests_ahead(workspace) * self.request_ms
            / f64::from(self.limit.current().max(1))
    }

    /// The longer of [`Admission::expected_wait_ms`] and the time that the oldest
    /// request of the workspace has waited. Later arrivals of other workspaces
    /// may make that wait longer than was expected.
    pub fn expected_or_observed_wait_ms(&self, now: Millis, workspace: &Name) -> f64 {
        let oldest = self.queue.oldest(workspace);
        let waited = oldest.map_or(0, |since| now.since(since));
        self.expected_wait_ms(workspace).max(waited as f64)
    }

    /// Mean time of a request at an uncongested backend server in milliseconds.
    pub fn uncongested_ms(&self) -> f64 {
        self.limit.floor_ms()
    }

    /// Time to drain the interactive queue at the current limit, in milliseconds.
    pub fn drain_time_ms(&self) -> f64 {
        self.queue.len() as f64 * self.request_ms / f64::from(self.limit.current().max(1))
    }

    fn has_capacity(&self, class: Class) -> bool {
        let limit = f64::from(self.limit.current());
        let room = match class {
            Class::Deferrable => limit * DEFERRABLE_SHARE,
            Class::Idempotent | Class::Once => limit,
        };
        self.policy == AdmissionPolicy::Open || (self.in_flight.len() as f64) < room
    }

    /// Maximum wait; shorter if the queue has not been empty for a long time.
    fn max_wait_ms(&self, now: Millis) -> u64 {
        match self.nonempty_since {
            Some(since) if now.since(since) > OVERLOAD_AFTER_MS => {
                (self.limits.wait_ms as f64 * OVERLOAD_WAIT_FACTOR) as u64
            }
            _ => self.limits.wait_ms,
        }
    }

    fn queues_are_empty(&self, class: Class) -> bool {
        self.queue.is_empty() && (class != Class::Deferrable || self.deferred.is_empty())
    }

    fn enqueue_deferred(
        &mut self,
        now: Millis,
        ticket: Ticket,
        workspace: &Name,
    ) -> AdmissionDecision {
        if self.deferred.len() >= self.limits.queue {
            return self.refusal();
        }
        self.deferred.push(now, ticket, workspace);
        AdmissionDecision::Queued
    }

    /// Evicts the ticket with the largest tag from the full queue; it may be the
    /// offered one.
    fn evict_last(&mut self, offered: Ticket) -> AdmissionDecision {
        let retry_after_ms = self.retry_after();
        match self.queue.evict_last() {
            Some((_, ticket)) if ticket == offered => AdmissionDecision::Refused { retry_after_ms },
            Some((_, ticket)) => {
                self.evicted.push(Refused {
                    ticket,
                    retry_after_ms,
                });
                AdmissionDecision::Queued
            }
            None => AdmissionDecision::Queued,
        }
    }

    fn admit_next(&mut self) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.has_capacity(Class::Idempotent) {
            let Some(ticket) = self.queue.pop() else {
                break;
            };
            self.in_flight.insert(ticket);
            admitted.push(ticket);
        }
        if self.queue.is_empty() {
            self.nonempty_since = None;
        }
        while self.queue.is_empty() && self.has_capacity(Class::Deferrable) {
            let Some(ticket) = self.deferred.pop() else {
                break;
            };
            self.in_flight.insert(ticket);
            admitted.push(ticket);
        }
        admitted
    }

    fn refusal(&self) -> AdmissionDecision {
        AdmissionDecision::Refused {
            retry_after_ms: self.retry_after(),
        }
    }

    fn retry_after(&self) -> u64 {
        let waiting = self.queue.len() as f64 * self.request_ms;
        let drain_ms = waiting / f64::from(self.limit.current().max(1));
        (drain_ms as u64).max(RETRY_AFTER_MIN_MS)
    }
}
