//! Queue that serves workspaces in proportion to their weights and usual demand.
//!
//! Start-time fair queuing: each request gets a tag on the virtual clock of its
//! workspace, and the smallest tag is served first. A workspace that was idle
//! starts at the current virtual time and saves up nothing.
//!
//! The rate limits bound each workspace over all entries, but its callers may
//! concentrate on some of them. Its part of one queue is therefore its weight
//! times its usual demand there, learned so slowly that a sudden flood delays
//! the flooding workspace only.

use std::collections::VecDeque;

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};

/// Identifier of a waiting or admitted request, chosen by the caller and unique
/// among the requests in the system.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// How the next request is selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueuePolicy {
    /// By workspace weight.
    Fair,
    /// First in, first out; kept for comparison.
    Fifo,
}

/// Time over which the usual demand is learned, in milliseconds.
const DEMAND_MS: f64 = 5_000.0;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    since: Millis,
    tag: f64,
    order: u64,
}

#[derive(Clone, Debug)]
struct Line {
    weight: f64,
    /// Requests of the last time, with exponential decay.
    demand: f64,
    seen: Millis,
    /// Tag of the next request if it arrived while others wait.
    next_tag: f64,
    waiting: VecDeque<Waiting>,
}

/// A queue of tickets.
#[derive(Clone, Debug)]
pub struct FairQueue {
    policy: QueuePolicy,
    lines: IndexMap<Name, Line>,
    virtual_time: f64,
    order: u64,
    len: usize,
}

impl FairQueue {
    /// An empty queue.
    pub fn new(policy: QueuePolicy) -> FairQueue {
        FairQueue {
            policy,
            lines: IndexMap::new(),
            virtual_time: 0.0,
            order: 0,
            len: 0,
        }
    }

    /// Number of waiting tickets.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting tickets of one workspace.
    pub fn waiting(&self, workspace: &Name) -> usize {
        self.lines.get(workspace).map_or(0, |l| l.waiting.len())
    }

    /// When the oldest waiting ticket of a workspace was added.
    pub fn oldest(&self, workspace: &Name) -> Option<Millis> {
        let line = self.lines.get(workspace)?;
        line.waiting.front().map(|w| w.since)
    }

    /// Sets the weight of a workspace; 1 if never set.
    pub fn set_weight(&mut self, workspace: &Name, weight: u32) {
        self.line(workspace).weight = f64::from(weight.max(1));
    }

    /// Adds a ticket at the end of its workspace's line.
    pub fn push(&mut self, now: Millis, ticket: Ticket, workspace: &Name) {
        let order = self.order;
        let virtual_time = self.virtual_time;
        let line = self.line(workspace);
        let tag = line.arrive(now, virtual_time);
        line.waiting.push_back(Waiting {
            ticket,
            since: now,
            tag,
            order,
        });
        self.order += 1;
        self.len += 1;
    }

    /// Counts a request that was admitted without waiting.
    pub fn charge(&mut self, now: Millis, workspace: &Name) {
        let virtual_time = self.virtual_time;
        let tag = self.line(workspace).arrive(now, virtual_time);
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// Takes the next ticket to serve.
    pub fn pop(&mut self) -> Option<Ticket> {
        let index = self.next_line()?;
        let next = self.lines[index].waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(next.tag);
        self.len -= 1;
        Some(next.ticket)
    }

    /// Takes a ticket out of its line, wherever it is; false if it is not here.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for line in self.lines.values_mut() {
            if let Some(at) = line.waiting.iter().position(|w| w.ticket == ticket) {
                line.waiting.remove(at);
                self.len -= 1;
                return true;
            }
        }
        false
    }

    /// Takes out every ticket that has waited longer than `max_wait_ms`.
    pub fn take_expired(&mut self, now: Millis, max_wait_ms: u64) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for line in self.lines.values_mut() {
            while let Some(first) = line.waiting.front() {
                if now.since(first.since) <= max_wait_ms {
                    break;
                }
                expired.push(first.ticket);
                line.waiting.pop_front();
            }
        }
        self.len -= expired.len();
        expired
    }

    /// Takes out the ticket that would be served last, to make room.
    pub fn displace(&mut self) -> Option<(Name, Ticket)> {
        let last = |l: &Line| l.waiting.back().map_or(f64::NEG_INFINITY, |w| w.tag);
        let (name, line) = self
            .lines
            .iter_mut()
            .max_by(|a, b| last(a.1).total_cmp(&last(b.1)))?;
        let last = line.waiting.pop_back()?;
        line.next_tag = last.tag;
        self.len -= 1;
        Some((name.clone(), last.ticket))
    }

    /// Depth of a workspace's line for its weight, as a share of all weights
    /// that wait: the number of requests served before a new one of it.
    pub fn ahead(&self, workspace: &Name) -> f64 {
        if self.policy == QueuePolicy::Fifo {
            return self.len as f64;
        }
        let own = self.lines.get(workspace);
        let part = own.map_or(1.0, Line::part);
        let rounds = (own.map_or(0, |l| l.waiting.len()) as f64 + 1.0) / part;
        let served = |l: &Line| (l.waiting.len() as f64).min(rounds * l.part());
        self.lines.values().map(served).sum()
    }

    fn next_line(&self) -> Option<usize> {
        let heads = self
            .lines
            .values()
            .enumerate()
            .filter_map(|(i, l)| l.waiting.front().map(|w| (i, w)));
        match self.policy {
            QueuePolicy::Fair => heads.min_by(|a, b| a.1.tag.total_cmp(&b.1.tag)),
            QueuePolicy::Fifo => heads.min_by_key(|h| h.1.order),
        }
        .map(|h| h.0)
    }

    fn line(&mut self, workspace: &Name) -> &mut Line {
        if !self.lines.contains_key(workspace) {
            let line = Line {
                weight: 1.0,
                demand: 0.0,
                seen: Millis(0),
                next_tag: self.virtual_time,
                waiting: VecDeque::new(),
            };
            self.lines.insert(workspace.clone(), line);
        }
        &mut self.lines[workspace]
    }
}

impl Line {
    fn part(&self) -> f64 {
        self.weight * self.demand.max(1.0)
    }

    /// Counts an arrival and returns its tag.
    fn arrive(&mut self, now: Millis, virtual_time: f64) -> f64 {
        let passed = now.since(self.seen) as f64;
        self.demand = self.demand * (-passed / DEMAND_MS).exp() + 1.0;
        self.seen = now;
        let tag = self.next_tag.max(virtual_time);
        self.next_tag = tag + 1.0 / self.part();
        tag
    }
}
