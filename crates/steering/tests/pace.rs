//! Placement on servers whose machines have slow phases, and hedging of long requests.
//!
//! Work proceeds on each machine at its current pace. Callers send requests for objects, and
//! the tests look at the latency that they get.

use std::collections::VecDeque;

use indexmap::IndexSet;
use pomelovale_state::{Millis, Name};
use pomelovale_steering::estimate::Held;
use pomelovale_steering::pace::{hedge_wait_ms, is_hedge_useful, HedgeGate, Pace};
use pomelovale_steering::placement::{
    Chosen, LoadReport, Placement, PlacementDecision, PlacementEnd, PlacementRequest, ServerSpec,
    ServiceSpec,
};
use pomelovale_steering::region_assignment::STEP_MS;
use pomelovale_steering::server_limit::LimitShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 9;
const OBJECTIVE_MS: u64 = 800;
const TIMEOUT_MS: u64 = 6_000;
const OBJECTS: u64 = 900;
const MEMORY: usize = 30;
const SERVERS: usize = 60;
const WARMUP_MS: u64 = 5_000;
const END_MS: u64 = 15_000;
/// A seventh of the servers is slow at a time.
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MS: (u64, u64) = (400, 800);
const USUAL_MS: (u64, u64) = (2_400, 4_800);
/// Requests that take longer than others, and how many times as long.
const LONG_SHARE: f64 = 0.03;
const LONG_FACTOR: f64 = 7.0;

#[derive(Clone, Copy, Debug)]
struct Load {
    /// Instances that select servers.
    instances: usize,
    /// Requests per second.
    rate: u64,
    /// Work of a request whose object the server has to load, and of one whose object it has.
    work_ms: [f64; 2],
    /// Whether servers report their pace.
    paced: bool,
    /// Whether requests are hedged, and within which share of all requests.
    hedged: Option<f64>,
    /// Whether a long request is long on every server, or on the one that it is sent to first.
    long_everywhere: bool,
}

struct Job {
    request: usize,
    object: u64,
    sent: u64,
    chosen: Chosen,
    factor: f64,
    left: f64,
}

struct Sent {
    instance: usize,
    object: u64,
    at: u64,
    long: bool,
    // Servers that it was sent to.
    servers: Vec<usize>,
    // When it may be hedged.
    due: Option<u64>,
}

#[derive(Default)]
struct MockServer {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    objects: IndexSet<u64>,
    slow: bool,
    phase_end: u64,
}

impl MockServer {
    fn pace(&self) -> f64 {
        if self.slow {
            SLOW_FACTOR
        } else {
            1.0
        }
    }

    // Work for an object, which is the latest one in memory after it.
    fn work_ms(&mut self, work_ms: [f64; 2], object: u64) -> f64 {
        let held = self.objects.shift_remove(&object);
        self.objects.insert(object);
        if self.objects.len() > MEMORY {
            self.objects.shift_remove_index(0);
        }
        work_ms[usize::from(held)]
    }

    // Lets a millisecond pass, and returns the jobs that have ended.
    fn step(&mut self, work_ms: [f64; 2]) -> Vec<Job> {
        while self.running.len() < SLOTS as usize {
            let Some(mut job) = self.waiting.pop_front() else {
                break;
            };
            job.left = self.work_ms(work_ms, job.object) * job.factor;
            self.running.push(job);
        }
        let done = 1.0 / self.pace();
        self.running.iter_mut().for_each(|job| job.left -= done);
        self.running.extract_if(.., |job| job.left <= 0.0).collect()
    }
}

/// Latencies that callers got after the warm-up, in milliseconds.
#[derive(Debug, Default)]
struct Served {
    latencies: Vec<u64>,
    refused: usize,
    held: usize,
    hedges: usize,
    won: usize,
}

impl Served {
    fn in_time(&self) -> f64 {
        let in_time = self.latencies.iter().filter(|ms| **ms <= OBJECTIVE_MS);
        in_time.count() as f64 / (self.latencies.len() + self.refused) as f64
    }

    fn mean_ms(&self) -> f64 {
        self.latencies.iter().sum::<u64>() as f64 / self.latencies.len() as f64
    }

    fn held_share(&self) -> f64 {
        self.held as f64 / self.latencies.len() as f64
    }

    fn at(&self, share: f64) -> u64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        sorted[(sorted.len() as f64 * share) as usize]
    }

    fn summary(&self) -> String {
        let (in_time, mean_ms, p99) = (self.in_time(), self.mean_ms(), self.at(0.99));
        let (refused, hedges, won) = (self.refused, self.hedges, self.won);
        format!("in time {in_time:.3}, mean {mean_ms:.0} ms, p99 {p99} ms, {refused} refused, {hedges} hedges, {won} won")
    }
}

struct Simulation {
    load: Load,
    rng: SmallRng,
    instances: Vec<Placement>,
    servers: Vec<MockServer>,
    sent: Vec<Sent>,
    // Requests that are not answered yet.
    open: Vec<usize>,
    budget: f64,
    gates: Vec<HedgeGate>,
    served: Served,
}

impl Simulation {
    fn new(load: Load, seed: u64) -> Simulation {
        let spec = |i: usize| ServerSpec {
            name: format!("s{i}").into(),
            address: "127.0.0.1:1".parse().unwrap(),
            region: "north".into(),
            domain: format!("north-{}", i % 2).into(),
            slots: SLOTS,
            cold_ms: 0,
            down: false,
            limit: None,
            share: LimitShare::default(),
        };
        let specs: Vec<ServerSpec> = (0..SERVERS).map(spec).collect();
        let instance = |i: usize| {
            let (name, own) = (format!("g{i}").into(), format!("north-{}", i % 2).into());
            let mut placement = Placement::new(&name, &"north".into(), &own, i as u64);
            placement.set_instances_beside(load.instances - 1);
            placement.set_servers(Millis(0), &specs, ServiceSpec::default(), &["north".into()]);
            placement
        };
        Simulation {
            load,
            rng: SmallRng::seed_from_u64(seed),
            instances: (0..load.instances).map(instance).collect(),
            servers: (0..SERVERS).map(|_| MockServer::default()).collect(),
            sent: Vec::new(),
            open: Vec::new(),
            budget: 10.0,
            gates: vec![HedgeGate::default(); load.instances],
            served: Served::default(),
        }
    }

    fn run(mut self) -> Served {
        let mut arrival = 0.0;
        for now in 0..END_MS {
            self.change_phases(now);
            for server in 0..SERVERS {
                for job in self.servers[server].step(self.load.work_ms) {
                    self.finish(now, server, job);
                }
            }
            if now.is_multiple_of(STEP_MS) {
                self.instances.iter_mut().for_each(|i| i.tick(Millis(now)));
            }
            while arrival <= now as f64 {
                arrival += -self.rng.random::<f64>().ln() * 1_000.0 / self.load.rate as f64;
                self.arrive(now);
            }
            self.hedge(now);
        }
        self.served
    }

    fn change_phases(&mut self, now: u64) {
        let rng = &mut self.rng;
        for server in self.servers.iter_mut().filter(|s| s.phase_end <= now) {
            // The first phase is cut at random, so that the servers are out of step.
            let first = server.phase_end == 0;
            server.slow = !first && !server.slow;
            let bounds = if server.slow { SLOW_MS } else { USUAL_MS };
            let length = rng.random_range(bounds.0..=bounds.1);
            server.phase_end = now
                + if first {
                    rng.random_range(1..=length)
                } else {
                    length
                };
        }
    }

    fn arrive(&mut self, now: u64) {
        let object = self.rng.random_range(0..OBJECTS);
        let instance = self.rng.random_range(0..self.load.instances);
        let long = self.rng.random::<f64>() < LONG_SHARE;
        self.budget = (self.budget + self.load.hedged.unwrap_or(0.0)).min(10.0);
        self.sent.push(Sent {
            instance,
            object,
            at: now,
            long,
            servers: Vec::new(),
            due: None,
        });
        let request = self.sent.len() - 1;
        match self.choose(now, request) {
            None => self.served.refused += usize::from(now >= WARMUP_MS),
            Some(chosen) => {
                let wait_ms = hedge_wait_ms(chosen.expected_ms, OBJECTIVE_MS);
                self.sent[request].due = self.load.hedged.map(|_| now + wait_ms);
                self.open.push(request);
                self.send(now, request, chosen);
            }
        }
    }

    fn choose(&mut self, now: u64, request: usize) -> Option<Chosen> {
        let route = Name::from("lookup");
        let sent = &self.sent[request];
        let spent = now - sent.at;
        let tried: Vec<Name> = sent
            .servers
            .iter()
            .map(|s| format!("s{s}").into())
            .collect();
        let placed = PlacementRequest {
            route: &route,
            object: sent.object.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            priority: 0,
            objective_ms: OBJECTIVE_MS.saturating_sub(spent),
            left_ms: TIMEOUT_MS.saturating_sub(spent),
            homes: &[],
            tried: &tried,
        };
        match self.instances[sent.instance].choose(Millis(now), &placed) {
            PlacementDecision::Refuse { .. } => None,
            PlacementDecision::Send(chosen) => Some(chosen),
        }
    }

    fn send(&mut self, now: u64, request: usize, chosen: Chosen) {
        let server: usize = chosen.server[1..].parse().unwrap();
        let sent = &mut self.sent[request];
        let long = sent.long && (self.load.long_everywhere || sent.servers.is_empty());
        sent.servers.push(server);
        self.servers[server].waiting.push_back(Job {
            request,
            object: sent.object,
            sent: now,
            chosen,
            factor: if long { LONG_FACTOR } else { 1.0 },
            left: 0.0,
        });
    }

    // Sends requests that have taken long to a second server.
    fn hedge(&mut self, now: u64) {
        for request in self.open.clone() {
            if self.sent[request].due.is_none_or(|due| due > now) {
                continue;
            }
            self.sent[request].due = None;
            let instance = self.sent[request].instance;
            let may_hedge = self.budget >= 1.0 && self.gates[instance].may_hedge();
            let chosen = may_hedge.then(|| self.choose(now, request)).flatten();
            let Some(chosen) = chosen else {
                continue;
            };
            let elapsed_ms = now - self.sent[request].at;
            if !chosen.idle || !is_hedge_useful(elapsed_ms, chosen.expected_ms) {
                self.end(now, request, &chosen, PlacementEnd::Cancelled, 0, None);
                continue;
            }
            self.budget -= 1.0;
            self.served.hedges += 1;
            self.send(now, request, chosen);
        }
    }

    fn end(
        &mut self,
        now: u64,
        request: usize,
        chosen: &Chosen,
        ended: PlacementEnd,
        latency_ms: u64,
        report: Option<LoadReport>,
    ) {
        let instance = &mut self.instances[self.sent[request].instance];
        instance.finish(
            Millis(now),
            chosen,
            &"lookup".into(),
            ended,
            latency_ms,
            report,
        );
    }

    fn finish(&mut self, now: u64, server: usize, job: Job) {
        let state = &self.servers[server];
        let report = LoadReport {
            running: state.running.len() as u32,
            waiting: state.waiting.len() as u32,
            slots: SLOTS,
            pace: self.load.paced.then_some((state.pace() * 100.0) as u32),
        };
        let (request, spent) = (job.request, now - job.sent);
        self.end(
            now,
            request,
            &job.chosen,
            PlacementEnd::Answered,
            spent,
            Some(report),
        );
        self.open.retain(|open| *open != request);
        let (at, servers) = (self.sent[request].at, self.sent[request].servers.clone());
        for other in servers.iter().filter(|s| **s != server) {
            let state = &mut self.servers[*other];
            let is_own = |job: &Job| job.request == request;
            let running = state.running.iter().position(is_own);
            let job = match running {
                Some(index) => Some(state.running.swap_remove(index)),
                None => {
                    let waiting = state.waiting.iter().position(is_own);
                    waiting.and_then(|index| state.waiting.remove(index))
                }
            };
            if let Some(job) = job {
                self.end(now, request, &job.chosen, PlacementEnd::Cancelled, 0, None);
            }
        }
        if servers.len() > 1 {
            self.gates[self.sent[request].instance].record(servers[1] == server);
        }
        if at >= WARMUP_MS {
            self.served.latencies.push(now - at);
            self.served.held += usize::from(job.chosen.held != Held::Unlikely);
            self.served.won += usize::from(servers.len() > 1 && servers[1] == server);
        }
    }
}

/// Objects that are answered faster where they are held, and requests without such objects.
const OBJECTS_MS: [f64; 2] = [700.0, 210.0];
const PLAIN_MS: [f64; 2] = [350.0, 350.0];

fn serve(load: Load) -> Served {
    let mut all = Served::default();
    for seed in 3..5 {
        let served = Simulation::new(load, seed).run();
        all.latencies.extend(served.latencies);
        all.refused += served.refused;
        all.held += served.held;
        all.hedges += served.hedges;
        all.won += served.won;
    }
    println!("{load:?}: {}", all.summary());
    all
}

fn hedging(long_everywhere: bool) -> Load {
    Load {
        instances: 6,
        rate: 900,
        work_ms: PLAIN_MS,
        paced: true,
        hedged: Some(0.12),
        long_everywhere,
    }
}

fn compare(instances: usize, rate: u64, work_ms: [f64; 2]) -> [Served; 2] {
    [false, true].map(|paced| {
        serve(Load {
            instances,
            rate,
            work_ms,
            paced,
            hedged: None,
            long_everywhere: true,
        })
    })
}

/// Guards against figures that are ignored, by one instance and by several, which get each figure
/// later.
#[test]
fn figures_shorten_the_latency() {
    for instances in [1, 6] {
        let [old, new] = compare(instances, 900, PLAIN_MS);
        assert!(
            new.mean_ms() < old.mean_ms() * 0.99,
            "{instances} instances"
        );
        assert!(new.in_time() > old.in_time(), "{instances} instances");
    }
}

/// Guards against figures that drive requests away from the servers that hold their objects, or
/// have them refused: the product of work and pace did so when it was taken as the expected
/// latency, and refused twice as many requests.
#[test]
fn figures_leave_objects_where_they_are() {
    let [old, new] = compare(1, 1_200, OBJECTS_MS);
    assert!(new.in_time() > old.in_time() - 0.002);
    assert!(new.refused < old.refused * 5 / 4);
    assert!(new.held_share() > old.held_share() - 0.005);
}

/// Guards against callers that wait for a request which is long on one server only.
#[test]
fn hedges_shorten_the_tail() {
    let load = hedging(false);
    let [old, new] = [None, load.hedged].map(|hedged| serve(Load { hedged, ..load }));
    assert!(new.at(0.99) < old.at(0.99) * 3 / 4);
    assert!(new.in_time() > old.in_time() && new.won * 3 > new.hedges);
}

/// Guards against second attempts that take slots from others although they never answer first,
/// because a long request is long on every server.
#[test]
fn useless_hedges_are_rare() {
    let load = hedging(true);
    let [old, new] = [None, load.hedged].map(|hedged| serve(Load { hedged, ..load }));
    assert!(
        new.hedges * 100 < new.latencies.len(),
        "{} hedges",
        new.hedges
    );
    assert!(new.mean_ms() < old.mean_ms() * 1.02 && new.in_time() > old.in_time() - 0.005);
}

/// Guards against a figure that outlives its phase, and against one that excludes a server or
/// attracts all requests.
#[test]
fn figure_decays_and_is_bounded() {
    let mut pace = Pace::default();
    assert_eq!(pace.factor(Millis(0)), 1.0);
    assert!(!pace.is_reported(Millis(0)));
    pace.record(Millis(1_000), 250);
    assert_eq!(pace.factor(Millis(1_000)), 2.5);
    assert!((pace.factor(Millis(1_300)) - 1.55).abs() < 0.01);
    assert!(pace.factor(Millis(4_000)) < 1.01);
    for (percent, factor) in [(0, 0.2), (u32::MAX, 20.0)] {
        pace.record(Millis(5_000), percent);
        assert_eq!(pace.factor(Millis(5_000)), factor);
    }
    assert!(pace.is_reported(Millis(6_000)));
    assert!(!pace.is_reported(Millis(60_000)));
}
