//! Placement in one region, with and without few moves, while servers are replaced or shed
//! single requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use indexmap::IndexSet;
use pomelovale_state::{Millis, Name};
use pomelovale_steering::placement::{
    Chosen, LoadReport, Placement, PlacementDecision, PlacementEnd, PlacementRequest, ServerSpec,
    ServiceSpec,
};
use pomelovale_steering::region_assignment::{hash, STEP_MS};
use pomelovale_steering::server_limit::LimitShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DOMAINS: usize = 2;
const SERVERS: usize = 60;
const OBJECTS: u64 = 900;
/// Objects that a server keeps for each three of its slots.
const CACHE: usize = 10;
const OBJECTIVE_MS: u64 = 800;
const TIMEOUT_MS: u64 = 6_000;
const MISS_MS: u64 = 1_050;
const HIT_MS: u64 = 320;
const WARMUP_MS: u64 = 8_000;
const END_MS: u64 = 40_000;
const COLD_MS: u64 = 3_000;
/// Time between two servers that are replaced, and time for which they are away.
const REPLACE_MS: u64 = 2_000;
const AWAY_MS: u64 = 1_000;
const SEEDS: [u64; 3] = [11, 23, 37];

#[derive(Clone, Copy)]
struct Case {
    label: &'static str,
    /// Requests per second.
    rate: u64,
    replaces: bool,
    /// Share of the requests that are shed whatever the load, in per mille.
    shed: u64,
    /// Amplitude and period in milliseconds of the oscillation of the rate.
    swing: (f64, f64),
}

const CALM: Case = Case {
    label: "calm",
    rate: 500,
    replaces: false,
    shed: 0,
    swing: (0.0, 1.0),
};

const CASES: [Case; 7] = [
    CALM,
    Case {
        label: "replaced",
        replaces: true,
        ..CALM
    },
    Case {
        label: "shed",
        shed: 20,
        ..CALM
    },
    Case {
        label: "threshold",
        rate: 640,
        swing: (0.3, 3_000.0),
        ..CALM
    },
    Case {
        label: "busy",
        rate: 1_000,
        ..CALM
    },
    Case {
        label: "busy, replaced, shed",
        rate: 1_000,
        replaces: true,
        shed: 20,
        ..CALM
    },
    Case {
        label: "overload",
        rate: 1_900,
        ..CALM
    },
];

#[derive(Default)]
struct MockServer {
    running: usize,
    waiting: VecDeque<Job>,
    objects: IndexSet<u64>,
}

impl MockServer {
    fn report(&self, slots: u32) -> LoadReport {
        LoadReport {
            running: self.running as u32,
            waiting: self.waiting.len() as u32,
            slots,
            pace: None,
        }
    }
}

struct Job {
    instance: usize,
    object: u64,
    sent: u64,
    chosen: Chosen,
}

#[derive(Default)]
struct Totals {
    requests: u64,
    sent: u64,
    hits: u64,
    in_time: u64,
    refused: u64,
    displaced: u64,
    moved: u64,
    // Requests sent to each server.
    by_server: Vec<u64>,
}

impl Totals {
    /// Mean relative deviation of the servers' requests from their sizes.
    fn deviation(&self) -> f64 {
        let total: u32 = (0..SERVERS).map(slots).sum();
        let ideal = |i: usize| f64::from(slots(i)) / f64::from(total) * self.sent as f64;
        let counts = self.by_server.iter().enumerate();
        let all = counts.map(|(i, count)| (*count as f64 / ideal(i) - 1.0).abs());
        all.sum::<f64>() / SERVERS as f64
    }
}

fn slots(server: usize) -> u32 {
    [9, 9, 6, 12][server % 4]
}

fn domain(n: usize) -> Name {
    Name::from(format!("north-{}", n % DOMAINS))
}

/// Servers that are listed at a time. Of those that are replaced, one is away at a time.
fn specs(case: Case, now: u64) -> Vec<ServerSpec> {
    let turn = now.saturating_sub(WARMUP_MS) / REPLACE_MS;
    let is_away = now >= WARMUP_MS && (now - WARMUP_MS) % REPLACE_MS < AWAY_MS;
    let away = turn as usize * 7 % SERVERS;
    let listed = |i: &usize| !(case.replaces && is_away && *i == away);
    let spec = |i: usize| ServerSpec {
        name: format!("s{i}").into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        region: "north".into(),
        domain: domain(i),
        slots: slots(i),
        cold_ms: 0,
        down: false,
        limit: None,
        share: LimitShare::default(),
    };
    (0..SERVERS).filter(listed).map(spec).collect()
}

struct Simulation {
    case: Case,
    stable: bool,
    rng: SmallRng,
    instances: Vec<Placement>,
    servers: Vec<MockServer>,
    ends: BinaryHeap<Reverse<(u64, u64, usize)>>,
    jobs: Vec<Option<Job>>,
    totals: Totals,
}

impl Simulation {
    fn new(case: Case, stable: bool, seed: u64) -> Simulation {
        // One coordinator for each failure domain.
        let instance = |i: usize| {
            let mut p = Placement::new(&domain(i), &"north".into(), &domain(i), seed + i as u64);
            p.set_instances_beside(DOMAINS - 1);
            p
        };
        Simulation {
            instances: (0..DOMAINS).map(instance).collect(),
            servers: (0..SERVERS).map(|_| MockServer::default()).collect(),
            ends: BinaryHeap::new(),
            jobs: Vec::new(),
            totals: Totals {
                by_server: vec![0; SERVERS],
                ..Totals::default()
            },
            rng: SmallRng::seed_from_u64(seed),
            case,
            stable,
        }
    }

    fn run(mut self) -> Totals {
        let mut arrival = 0.0;
        let (swing, period) = self.case.swing;
        for now in 0..END_MS {
            while self.ends.peek().is_some_and(|e| e.0 .0 <= now) {
                let Reverse((_, job, server)) = self.ends.pop().expect("peeked");
                self.finish(now, job as usize, server);
            }
            if now == WARMUP_MS {
                self.instances.iter_mut().for_each(|i| {
                    i.take_moves();
                });
            }
            if now.is_multiple_of(STEP_MS) {
                self.tick(now);
            }
            while arrival <= now as f64 {
                let phase = now as f64 / period * std::f64::consts::TAU;
                let rate = self.case.rate as f64 * (1.0 + swing * phase.sin());
                arrival += -self.rng.random::<f64>().ln() * 1_000.0 / rate;
                self.arrive(now);
            }
        }
        for instance in &mut self.instances {
            let counts = instance.take_moves();
            self.totals.displaced += counts.displaced;
            self.totals.moved += counts.moved;
        }
        self.totals
    }

    fn tick(&mut self, now: u64) {
        let service = ServiceSpec {
            cold_ms: COLD_MS,
            cold_rate: None,
            stable: self.stable,
        };
        let specs = specs(self.case, now);
        // A server that is replaced has lost its objects.
        for (i, server) in self.servers.iter_mut().enumerate() {
            if !specs.iter().any(|s| s.name == Name::from(format!("s{i}"))) {
                server.objects.clear();
            }
        }
        for instance in &mut self.instances {
            instance.set_servers(Millis(now), &specs, service, &["north".into()]);
            instance.tick(Millis(now));
        }
    }

    fn arrive(&mut self, now: u64) {
        let instance = self.rng.random_range(0..DOMAINS);
        let draw: f64 = self.rng.random();
        let object = hash(&[(draw * draw * OBJECTS as f64) as u64]);
        let counts = u64::from(now >= WARMUP_MS);
        self.totals.requests += counts;
        let mut tried = Vec::new();
        // A request that was shed is sent once more.
        for _ in 0..2 {
            let request = PlacementRequest {
                route: &"lookup".into(),
                object,
                priority: 0,
                objective_ms: OBJECTIVE_MS,
                left_ms: TIMEOUT_MS,
                homes: &[],
                tried: &tried,
            };
            let chosen = match self.instances[instance].choose(Millis(now), &request) {
                PlacementDecision::Send(chosen) => chosen,
                PlacementDecision::Refuse { .. } => break,
            };
            let server: usize = chosen.server[1..].parse().expect("a number");
            if self.rng.random_range(0..1_000) < self.case.shed {
                let report = Some(self.servers[server].report(slots(server)));
                let (p, ended) = (&mut self.instances[instance], PlacementEnd::Shed);
                p.finish(Millis(now), &chosen, &"lookup".into(), ended, 2, report);
                tried.push(chosen.server);
                continue;
            }
            self.totals.sent += counts;
            self.totals.by_server[server] += counts;
            let job = Job {
                instance,
                object,
                sent: now,
                chosen,
            };
            self.servers[server].waiting.push_back(job);
            self.start_next(now, server);
            return;
        }
        self.totals.refused += counts;
    }

    fn start_next(&mut self, now: u64, server: usize) {
        let state = &mut self.servers[server];
        if state.running >= slots(server) as usize {
            return;
        }
        let Some(job) = state.waiting.pop_front() else {
            return;
        };
        state.running += 1;
        let hit = state.objects.shift_remove(&job.object);
        state.objects.insert(job.object);
        if state.objects.len() > CACHE * slots(server) as usize / 3 {
            state.objects.shift_remove_index(0);
        }
        self.totals.hits += u64::from(hit && job.sent >= WARMUP_MS);
        let work = if hit { HIT_MS } else { MISS_MS };
        let key = (now + work, self.jobs.len() as u64, server);
        self.ends.push(Reverse(key));
        self.jobs.push(Some(job));
    }

    fn finish(&mut self, now: u64, job: usize, server: usize) {
        let job = self.jobs[job].take().expect("ends once");
        self.servers[server].running -= 1;
        let report = Some(self.servers[server].report(slots(server)));
        let (spent, ended) = (now - job.sent, PlacementEnd::Answered);
        let p = &mut self.instances[job.instance];
        p.finish(
            Millis(now),
            &job.chosen,
            &"lookup".into(),
            ended,
            spent,
            report,
        );
        let in_time = spent <= OBJECTIVE_MS && job.sent >= WARMUP_MS;
        self.totals.in_time += u64::from(in_time);
        self.start_next(now, server);
    }
}

pub fn compare() {
    println!("\nplacement: {SERVERS} servers in {DOMAINS} failure domains, {OBJECTS} objects; per 100 requests (deviation: mean of servers), seeds {SEEDS:?}");
    println!("case                  stable  requests  moved  displaced  hits  in time  refused  deviation");
    for case in CASES {
        for stable in [false, true] {
            let (mut sum, mut deviated) = (Totals::default(), 0.0);
            for seed in SEEDS {
                let t = Simulation::new(case, stable, seed).run();
                sum.requests += t.requests;
                sum.sent += t.sent;
                sum.hits += t.hits;
                sum.in_time += t.in_time;
                sum.refused += t.refused;
                sum.displaced += t.displaced;
                sum.moved += t.moved;
                deviated += t.deviation() / SEEDS.len() as f64;
            }
            let share = |count: u64, of: u64| count as f64 * 100.0 / of as f64;
            println!(
                "{:21} {stable:6} {:9} {:6.1} {:10.1} {:5.1} {:8.1} {:8.1} {:10.1}",
                case.label,
                sum.requests,
                share(sum.moved, sum.sent),
                share(sum.displaced, sum.sent),
                share(sum.hits, sum.sent),
                share(sum.in_time, sum.requests),
                share(sum.refused, sum.requests),
                deviated * 100.0,
            );
        }
    }
}
