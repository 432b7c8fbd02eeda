//! Simulation of entries, a leader and the network between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use pomelovale_coordination::ledger::{Ledger, LedgerConfig, RateLimit};
use pomelovale_coordination::limiter::{Admit, Limiter, LimiterConfig};
use pomelovale_protocol::grants::{GrantReply, GrantRequest};
use pomelovale_state::{Millis, Name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Network between entries and the leader. Times are in ticks.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub ticks_per_ms: u64,
    pub one_way: u64,
    pub jitter: u64,
    /// Probabilities in per mille.
    pub loss: u32,
    pub duplicate: u32,
    pub late: u32,
    /// Largest extra delay of a late message.
    pub late_by: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Request(GrantRequest),
    Reply(GrantReply),
}

/// A caller's request that waits for tokens.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    workspace: usize,
    since: Millis,
    ideal: bool,
}

/// A simulated entry with its limiter and its clock.
pub struct Entry {
    limiter: Option<Limiter>,
    starts: u64,
    offset: u64,
    drift_ppm: i64,
    pub cut_until: u64,
    waiting: VecDeque<WaitingRequest>,
}

/// Counters of one workspace.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceStats {
    pub offered: u64,
    pub refused: u64,
    pub wrongful: u64,
    pub waits: Vec<u64>,
    /// Tick of each admission, in ascending order.
    pub admitted: Vec<u64>,
}

/// Token bucket without network delay, as the reference for wrongful refusals.
struct IdealBucket {
    level: f64,
    at: u64,
}

pub struct Simulation {
    pub now: u64,
    pub rng: SmallRng,
    pub net: Network,
    pub limits: Vec<RateLimit>,
    names: Vec<Name>,
    pub entries: Vec<Entry>,
    pub workspace_stats: Vec<WorkspaceStats>,
    pub ledger_config: fn(u64) -> LedgerConfig,
    pub messages: u64,
    leader: Option<Ledger>,
    epoch: u64,
    ideal_buckets: Vec<IdealBucket>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    in_flight: BTreeMap<u64, (usize, Message)>,
    last_id: u64,
}

impl Simulation {
    pub fn new(seed: u64, entries: usize, limits: Vec<RateLimit>, net: Network) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entry = |rng: &mut SmallRng| Entry {
            limiter: None,
            starts: 0,
            offset: rng.random_range(0..10_000_000),
            drift_ppm: rng.random_range(-900..=900),
            cut_until: 0,
            waiting: VecDeque::new(),
        };
        let entries = (0..entries).map(|_| entry(&mut rng)).collect();
        let ideal = |l: &RateLimit| IdealBucket {
            level: l.burst as f64,
            at: 0,
        };
        let mut simulation = Simulation {
            now: 0,
            rng,
            net,
            workspace_stats: vec![WorkspaceStats::default(); limits.len()],
            ideal_buckets: limits.iter().map(ideal).collect(),
            names: (0..limits.len())
                .map(|i| Name::from(format!("w{i}")))
                .collect(),
            limits,
            entries,
            ledger_config: LedgerConfig::new,
            messages: 0,
            leader: None,
            epoch: 0,
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            last_id: 0,
        };
        (0..simulation.entries.len()).for_each(|i| simulation.restart(i));
        simulation
    }

    fn ms(&self, now: u64) -> Millis {
        Millis(now / self.net.ticks_per_ms)
    }

    /// Clock of an entry, with an offset and a drift from the leader's clock.
    fn clock(&self, entry: usize) -> Millis {
        let e = &self.entries[entry];
        let drift = self.now as i64 * e.drift_ppm / 1_000_000;
        self.ms(e.offset.saturating_add_signed(self.now as i64 + drift))
    }

    /// Ends an entry without notice to the leader and starts it under a new name.
    pub fn restart(&mut self, entry: usize) {
        let e = &mut self.entries[entry];
        e.starts += 1;
        let name = format!("e{entry}.{}", e.starts);
        e.limiter = Some(Limiter::new(LimiterConfig::new(Name::from(name))));
        e.waiting.clear();
    }

    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].limiter = None;
        self.entries[entry].waiting.clear();
    }

    pub fn stop_leader(&mut self) {
        self.leader = None;
    }

    /// Starts a leader of the next epoch.
    pub fn start_leader(&mut self) {
        self.epoch += 1;
        let now = self.ms(self.now);
        let mut ledger = Ledger::new((self.ledger_config)(self.epoch), now);
        for (i, limit) in self.limits.iter().enumerate() {
            ledger.set_limit(&self.names[i], *limit, now);
        }
        self.leader = Some(ledger);
    }

    /// Changes a limit in the leader's ledger.
    pub fn set_limit(&mut self, index: usize, rate: RateLimit) {
        let now = self.ms(self.now);
        self.limits[index] = rate;
        if let Some(ledger) = &mut self.leader {
            ledger.set_limit(&self.names[index], rate, now);
        }
    }

    /// Delivers a caller's request to an entry.
    pub fn offer(&mut self, entry: usize, index: usize) {
        let (now, limit) = (self.clock(entry), self.limits[index]);
        let ideal = self.ideal_buckets[index].admit(limit, self.now, self.net.ticks_per_ms);
        let Some(limiter) = &mut self.entries[entry].limiter else {
            return;
        };
        self.workspace_stats[index].offered += 1;
        match limiter.admit(now, &self.names[index], 1) {
            Admit::Granted => self.workspace_stats[index].admitted.push(self.now),
            Admit::Refused { .. } => self.workspace_stats[index].refuse(ideal),
            Admit::Wait => self.entries[entry].waiting.push_back(WaitingRequest {
                workspace: index,
                since: now,
                ideal,
            }),
        }
    }

    /// Advances the simulation by one tick.
    pub fn tick(&mut self) {
        self.now += 1;
        while let Some(&Reverse((at, id))) = self.queue.peek() {
            if at > self.now {
                break;
            }
            self.queue.pop();
            if let Some((entry, message)) = self.in_flight.remove(&id) {
                self.deliver(entry, message);
            }
        }
        for entry in 0..self.entries.len() {
            if self.now % (4 * self.net.ticks_per_ms) == entry as u64 % 4 {
                self.retry_waiting(entry);
            }
            self.poll(entry);
        }
    }

    fn deliver(&mut self, entry: usize, message: Message) {
        let (now, local) = (self.ms(self.now), self.clock(entry));
        if self.now < self.entries[entry].cut_until {
            return;
        }
        match (message, &mut self.leader) {
            (Message::Request(request), Some(ledger)) => {
                let reply = ledger.request(now, &request);
                self.send(entry, Message::Reply(reply));
            }
            (Message::Request(_), None) => {}
            (Message::Reply(reply), _) => {
                if let Some(limiter) = &mut self.entries[entry].limiter {
                    limiter.receive(local, reply);
                    self.retry_waiting(entry);
                }
            }
        }
    }

    fn retry_waiting(&mut self, entry: usize) {
        let now = self.clock(entry);
        let e = &mut self.entries[entry];
        let Some(limiter) = &mut e.limiter else {
            return;
        };
        let (workspace_stats, names, tick) = (&mut self.workspace_stats, &self.names, self.now);
        e.waiting.retain(|w| {
            let count = &mut workspace_stats[w.workspace];
            match limiter.retry(now, &names[w.workspace], 1, w.since) {
                Admit::Wait => return true,
                Admit::Granted => {
                    count.admitted.push(tick);
                    count.waits.push(now.since(w.since));
                }
                Admit::Refused { .. } => count.refuse(w.ideal),
            }
            false
        });
    }

    fn poll(&mut self, entry: usize) {
        let now = self.clock(entry);
        let limiter = self.entries[entry].limiter.as_mut();
        if let Some(request) = limiter.and_then(|l| l.next_request(now)) {
            self.messages += 1;
            self.send(entry, Message::Request(request));
        }
    }

    fn send(&mut self, entry: usize, message: Message) {
        if self.now < self.entries[entry].cut_until || self.chance(self.net.loss) {
            return;
        }
        let copies = 1 + u64::from(self.chance(self.net.duplicate));
        for _ in 0..copies {
            let mut delay = self.net.one_way + self.rng.random_range(0..=self.net.jitter);
            if self.chance(self.net.late) {
                delay += self.rng.random_range(0..=self.net.late_by);
            }
            self.last_id += 1;
            self.queue.push(Reverse((self.now + delay, self.last_id)));
            self.in_flight
                .insert(self.last_id, (entry, message.clone()));
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }
}

impl WorkspaceStats {
    fn refuse(&mut self, ideal: bool) {
        self.refused += 1;
        self.wrongful += u64::from(ideal);
    }

    /// Exact number of windows over the limit, from all pairs of admissions.
    pub fn windows_over_limit(&self, limit: RateLimit, ticks_per_ms: u64) -> u64 {
        let unit = 1_000 * ticks_per_ms;
        let mut over = 0;
        for (i, from) in self.admitted.iter().enumerate() {
            let mut admitted = 0;
            for to in &self.admitted[i..] {
                admitted += unit;
                over += u64::from(admitted > (to - from) * limit.per_second + limit.burst * unit);
            }
        }
        over
    }

    /// Number of admissions that end a window over the limit, in linear time.
    /// They are exactly the admissions that leave a token bucket of the same limit
    /// below zero.
    pub fn admissions_over_limit(&self, limit: RateLimit, ticks_per_ms: u64) -> u64 {
        let unit = 1_000 * ticks_per_ms as i128;
        let full = i128::from(limit.burst) * unit;
        let (mut level, mut last, mut over) = (full, 0, 0);
        for &at in &self.admitted {
            level += i128::from(at - last) * i128::from(limit.per_second);
            level = level.min(full) - unit;
            last = at;
            over += u64::from(level < 0);
        }
        over
    }
}

impl IdealBucket {
    fn admit(&mut self, limit: RateLimit, now: u64, ticks_per_ms: u64) -> bool {
        let ms = (now - self.at) as f64 / ticks_per_ms as f64;
        let level = self.level + ms * limit.per_second as f64 / 1_000.0;
        self.level = level.min(limit.burst as f64);
        self.at = now;
        let enough = self.level >= 1.0;
        self.level -= if enough { 1.0 } else { 0.0 };
        enough
    }
}
