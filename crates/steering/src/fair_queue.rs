//! Fair queue that delays the workspaces that exceed their usual demand.
//!
//! Implements virtual clock scheduling. The entitled rate of a workspace is its
//! usual demand times its weight and a constant factor. A request is tagged with
//! its time of arrival, or a later time if the workspace exceeds its entitled
//! rate, and the request with the smallest tag is served first. Workspaces within
//! their rates are thus served in order of arrival, and a flood delays only the
//! workspace that causes it.
//!
//! Capacity is not divided by weight alone, since that delays workspaces whose
//! callers concentrate on one entry.

use std::collections::VecDeque;

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};

/// Identifier of a waiting or admitted request. The caller chooses it; it must be
/// unique among the requests that wait or are in flight.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// How the next request is selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueuePolicy {
    /// Smallest virtual clock tag first.
    Fair,
    /// First in, first out; a baseline for benchmarks.
    Fifo,
}

/// Time constant of the average that estimates the usual demand, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 20_000.0;

/// Shortest time over which the demand of a new workspace is averaged, in
/// milliseconds.
const MIN_DEMAND_WINDOW_MS: f64 = 1_000.0;

/// Entitled rate of a workspace with weight 1 in multiples of its usual demand.
const ENTITLED_RATE_FACTOR: f64 = 1.5;

/// Lower bound of the usual demand in requests per millisecond.
const MIN_DEMAND_PER_MS: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    enqueued_at: Millis,
    /// Virtual clock tag.
    tag: f64,
    /// Position in the order of arrival over all workspaces.
    order: u64,
}

/// Queue and demand estimate of one workspace.
#[derive(Clone, Debug)]
struct WorkspaceQueue {
    weight: f64,
    /// Number of recent requests, with exponential decay.
    demand: f64,
    last_arrival: Millis,
    created_at: Millis,
    /// Earliest tag of the next request.
    next_tag: f64,
    waiting: VecDeque<Waiting>,
}

/// A queue of tickets, divided by workspace.
#[derive(Clone, Debug)]
pub struct FairQueue {
    policy: QueuePolicy,
    queues: IndexMap<Name, WorkspaceQueue>,
    order: u64,
    len: usize,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(policy: QueuePolicy) -> FairQueue {
        FairQueue {
            policy,
            queues: IndexMap::new(),
            order: 0,
            len: 0,
        }
    }

    /// Number of waiting tickets.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting tickets of one workspace.
    pub fn waiting(&self, workspace: &Name) -> usize {
        self.queues.get(workspace).map_or(0, |l| l.waiting.len())
    }

    /// Time at which the oldest waiting ticket of a workspace was added.
    pub fn oldest(&self, workspace: &Name) -> Option<Millis> {
        let queue = self.queues.get(workspace)?;
        queue.waiting.front().map(|w| w.enqueued_at)
    }

    /// Sets the weight of a workspace, a factor on its entitled rate. The default
    /// is 1.
    pub fn set_weight(&mut self, workspace: &Name, weight: u32) {
        self.workspace_queue(Millis(0), workspace).weight = f64::from(weight.max(1));
    }

    /// Appends a ticket to the queue of its workspace.
    pub fn push(&mut self, now: Millis, ticket: Ticket, workspace: &Name) {
        let order = self.order;
        let queue = self.workspace_queue(now, workspace);
        let tag = queue.record_arrival(now);
        queue.waiting.push_back(Waiting {
            ticket,
            enqueued_at: now,
            tag,
            order,
        });
        self.order += 1;
        self.len += 1;
    }

    /// Records a request that was admitted without waiting: updates the demand
    /// estimate of its workspace and the earliest tag of the next request.
    pub fn record_arrival(&mut self, now: Millis, workspace: &Name) {
        self.workspace_queue(now, workspace).record_arrival(now);
    }

    /// Removes and returns the next ticket to serve.
    pub fn pop(&mut self) -> Option<Ticket> {
        let index = self.next_queue()?;
        let next = self.queues[index].waiting.pop_front()?;
        self.len -= 1;
        Some(next.ticket)
    }

    /// Removes a ticket. Returns false if it does not wait here.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for queue in self.queues.values_mut() {
            if let Some(at) = queue.waiting.iter().position(|w| w.ticket == ticket) {
                queue.waiting.remove(at);
                self.len -= 1;
                return true;
            }
        }
        false
    }

    /// Removes and returns the tickets that have waited longer than `max_wait_ms`.
    pub fn take_expired(&mut self, now: Millis, max_wait_ms: u64) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(first) = queue.waiting.front() {
                if now.since(first.enqueued_at) <= max_wait_ms {
                    break;
                }
                expired.push(first.ticket);
                queue.waiting.pop_front();
            }
        }
        self.len -= expired.len();
        expired
    }

    /// Removes and returns the ticket with the largest tag, to make room in the queue.
    pub fn evict_last(&mut self) -> Option<(Name, Ticket)> {
        let last = |l: &WorkspaceQueue| l.waiting.back().map_or(f64::NEG_INFINITY, |w| w.tag);
        let (name, queue) = self
            .queues
            .iter_mut()
            .max_by(|a, b| last(a.1).total_cmp(&last(b.1)))?;
        let last = queue.waiting.pop_back()?;
        queue.next_tag = last.tag;
        self.len -= 1;
        Some((name.clone(), last.ticket))
    }

    /// Number of waiting requests that would be served before a new request of
    /// a workspace.
    pub fn requests_ahead(&self, workspace: &Name) -> f64 {
        let own = self.queues.get(workspace).map_or(0.0, |l| l.next_tag);
        let last_enqueued_ms =
            |l: &WorkspaceQueue| l.waiting.back().map_or(0.0, |w| w.enqueued_at.0 as f64);
        let tag = self
            .queues
            .values()
            .map(last_enqueued_ms)
            .fold(own, f64::max);
        let before = |l: &WorkspaceQueue| l.waiting.partition_point(|w| w.tag <= tag);
        match self.policy {
            QueuePolicy::Fair => self.queues.values().map(before).sum::<usize>() as f64,
            QueuePolicy::Fifo => self.len as f64,
        }
    }

    /// Index of the workspace that is served next.
    fn next_queue(&self) -> Option<usize> {
        let heads = self
            .queues
            .values()
            .enumerate()
            .filter_map(|(i, l)| l.waiting.front().map(|w| (i, w)));
        match self.policy {
            QueuePolicy::Fair => heads.min_by(|a, b| a.1.tag.total_cmp(&b.1.tag)),
            QueuePolicy::Fifo => heads.min_by_key(|h| h.1.order),
        }
        .map(|h| h.0)
    }

    /// Returns the queue of a workspace, which is created on first use.
    fn workspace_queue(&mut self, now: Millis, workspace: &Name) -> &mut WorkspaceQueue {
        if !self.queues.contains_key(workspace) {
            let queue = WorkspaceQueue {
                weight: 1.0,
                demand: 0.0,
                last_arrival: now,
                created_at: now,
                next_tag: 0.0,
                waiting: VecDeque::new(),
            };
            self.queues.insert(workspace.clone(), queue);
        }
        &mut self.queues[workspace]
    }
}

impl WorkspaceQueue {
    /// Requests per millisecond that the workspace may send without being delayed.
    fn entitled_rate(&self, now: Millis) -> f64 {
        let age = (now.since(self.created_at) as f64).max(MIN_DEMAND_WINDOW_MS);
        let effective_window_ms = DEMAND_WINDOW_MS * (1.0 - (-age / DEMAND_WINDOW_MS).exp());
        (self.demand / effective_window_ms).max(MIN_DEMAND_PER_MS)
            * ENTITLED_RATE_FACTOR
            * self.weight
    }

    /// Records an arrival and returns its tag.
    fn record_arrival(&mut self, now: Millis) -> f64 {
        let elapsed_ms = now.since(self.last_arrival) as f64;
        self.demand = self.demand * (-elapsed_ms / DEMAND_WINDOW_MS).exp() + 1.0;
        self.last_arrival = now;
        let tag = self.next_tag.max(now.0 as f64);
        self.next_tag = tag + 1.0 / self.entitled_rate(now);
        tag
    }
}
