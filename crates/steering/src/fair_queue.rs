//! Queue that serves workspaces in proportion to their weights.
//!
//! Start-time fair queuing: each request gets a tag on the virtual clock of its
//! workspace, and the smallest tag is served first. A workspace that was idle
//! starts at the current virtual time and saves up nothing.

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
    last_tag: f64,
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
        let virtual_time = self.virtual_time;
        let order = self.order;
        let line = self.line(workspace);
        let tag = line.last_tag.max(virtual_time) + 1.0 / line.weight;
        line.last_tag = tag;
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
    pub fn charge(&mut self, workspace: &Name) {
        let virtual_time = self.virtual_time;
        let line = self.line(workspace);
        line.last_tag = line.last_tag.max(virtual_time) + 1.0 / line.weight;
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

    /// Takes out the newest ticket of the workspace with the longest line for
    /// its weight, to make room.
    pub fn displace(&mut self) -> Option<(Name, Ticket)> {
        let depth = |l: &Line| l.waiting.len() as f64 / l.weight;
        let (name, line) = self
            .lines
            .iter_mut()
            .max_by(|a, b| depth(a.1).total_cmp(&depth(b.1)))?;
        let last = line.waiting.pop_back()?;
        line.last_tag -= 1.0 / line.weight;
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
        let weight = own.map_or(1.0, |l| l.weight);
        let rounds = (own.map_or(0, |l| l.waiting.len()) as f64 + 1.0) / weight;
        let served = |l: &Line| (l.waiting.len() as f64).min(rounds * l.weight);
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
                last_tag: self.virtual_time,
                waiting: VecDeque::new(),
            };
            self.lines.insert(workspace.clone(), line);
        }
        &mut self.lines[workspace]
    }
}
