//! A simulated backend server with slots, a queue, a connection limit and cold
//! starts.

use std::collections::VecDeque;

use pomelovale_state::Name;
use pomelovale_steering::balancer::{ServerInfo, ServerLoad};

use super::plan::SECOND;

/// Queue length at which a server sheds requests, in multiples of its slots.
const QUEUE_FACTOR: usize = 4;
/// Factor on the service time of the first request after a cold start.
const COLD_FACTOR: f64 = 3.0;
/// Number of requests over which that factor falls linearly to 1.
const WARMUP_REQUESTS: f64 = 200.0;
/// Length of the windows in which the load is measured.
const LOAD_WINDOW: u64 = 5 * SECOND;

/// How a server responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    Failing,
    Gone,
    Normal,
    Silent,
}

/// Identifies an attempt: the index of the request and that of its attempt.
pub type AttemptId = (usize, usize);

/// How a server handles an attempt that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    Failed,
    Held,
    Lost,
    Shed,
    Started,
}

pub struct Server {
    pub info: ServerInfo,
    pub region_index: usize,
    pub mode: Mode,
    pub published: ServerLoad,
    pub busy: u32,
    pub queue: VecDeque<AttemptId>,
    pub connected: u32,
    served: f64,
    work: Vec<u64>,
    pub last_start: u64,
    pub last_end: u64,
}

impl Server {
    pub fn new(info: ServerInfo, region_index: usize) -> Server {
        let published = ServerLoad {
            slots: info.slots,
            busy: 0,
            queued: 0,
        };
        Server {
            info,
            region_index,
            mode: Mode::Normal,
            published,
            busy: 0,
            queue: VecDeque::new(),
            connected: 0,
            served: WARMUP_REQUESTS,
            work: Vec::new(),
            last_start: 0,
            last_end: 0,
        }
    }

    pub fn name(i: usize) -> Name {
        Name::from(format!("s{i:02}"))
    }

    pub fn index(name: &Name) -> usize {
        name[1..].parse().expect("a server name")
    }

    /// Restarts the server with cold caches.
    pub fn restart_cold(&mut self) {
        self.served = 0.0;
    }

    pub fn arrive(&mut self, attempt: AttemptId) -> Arrival {
        match self.mode {
            Mode::Failing => return Arrival::Failed,
            Mode::Gone | Mode::Silent => return Arrival::Lost,
            Mode::Normal => {}
        }
        if self.connected >= self.info.connections {
            return Arrival::Failed;
        }
        if self.busy >= self.info.slots
            && self.queue.len() >= self.info.slots as usize * QUEUE_FACTOR
        {
            return Arrival::Shed;
        }
        self.connected += 1;
        if self.busy >= self.info.slots {
            self.queue.push_back(attempt);
            return Arrival::Held;
        }
        Arrival::Started
    }

    /// Starts a request with the given service time and returns its duration, which is
    /// longer on a cold server.
    pub fn start(&mut self, now: u64, work: u64) -> u64 {
        self.busy += 1;
        self.last_start = now;
        let left = (1.0 - self.served / WARMUP_REQUESTS).max(0.0);
        self.served += 1.0;
        let duration = work as f64 * (1.0 + (COLD_FACTOR - 1.0) * left);
        let window = (now / LOAD_WINDOW) as usize;
        if self.work.len() <= window {
            self.work.resize(window + 1, 0);
        }
        self.work[window] += duration as u64;
        duration as u64
    }

    /// Ends a running request and returns the attempt that runs next.
    pub fn end(&mut self, now: u64) -> Option<AttemptId> {
        self.busy -= 1;
        self.connected -= 1;
        self.last_end = now;
        self.queue.pop_front()
    }

    pub fn publish(&mut self) {
        self.published = ServerLoad {
            slots: self.info.slots,
            busy: self.busy,
            queued: self.queue.len() as u32,
        };
    }

    /// Service time of the requests started in each window.
    pub fn work(&self) -> &[u64] {
        &self.work
    }

    /// Service time that the server can provide in one window.
    pub fn capacity(&self) -> f64 {
        f64::from(self.info.slots) * LOAD_WINDOW as f64
    }
}
