//! Placement by many instances that don't ask each other, on servers that answer requests for
//! an object much faster while they have it in memory.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use indexmap::IndexSet;
use pomelovale_state::{Millis, Name};
use pomelovale_steering::placement::{
    Chosen, LoadReport, Placement, PlacementDecision, PlacementEnd, PlacementRequest, ServerSpec,
    ServiceSpec,
};
use pomelovale_steering::region_assignment::STEP_MS;
use pomelovale_steering::server_limit::LimitShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 6;
const OBJECTIVE_MS: u64 = 600;
const TIMEOUT_MS: u64 = 4_000;
/// Work of a request whose object the server has to load, and of one whose object it has.
const COLD_MS: u64 = 800;
const WARM_MS: u64 = 240;
/// Time after which most objects have been loaded once, and end of the run.
const WARMUP_MS: u64 = 4_000;
const END_MS: u64 = 14_000;
/// How many times as long a slow server takes.
const SLOWDOWN: u64 = 5;

/// The load of one region.
#[derive(Clone, Copy)]
struct Load {
    instances: usize,
    domains: usize,
    servers: usize,
    objects: u64,
    /// Objects that a server keeps.
    memory: usize,
    /// Requests per second.
    rate: u64,
    /// One in this many servers turns slow after the warm-up; 0 for none.
    slow_one_in: usize,
    /// Whether objects change their server as little as possible.
    stable: bool,
}

impl Load {
    // How many times as long a server takes.
    fn factor(&self, now: u64, server: usize) -> u64 {
        match self.slow_one_in {
            n if n > 0 && server.is_multiple_of(n) && now >= WARMUP_MS => SLOWDOWN,
            _ => 1,
        }
    }
}

#[derive(Default)]
struct MockServer {
    running: u32,
    waiting: VecDeque<Job>,
    objects: IndexSet<u64>,
}

struct Job {
    instance: usize,
    object: u64,
    sent: u64,
    chosen: Chosen,
}

impl MockServer {
    // Duration of the work for an object, which is the latest one in memory after it.
    fn work_ms(&mut self, object: u64, memory: usize) -> u64 {
        let work = match self.objects.shift_remove(&object) {
            true => WARM_MS,
            false => COLD_MS,
        };
        self.objects.insert(object);
        if self.objects.len() > memory {
            self.objects.shift_remove_index(0);
        }
        work
    }
}

/// What the callers got after the warm-up.
#[derive(Debug, Default)]
struct Served {
    in_time: u64,
    late: u64,
    refused: u64,
}

impl Served {
    fn in_time_share(&self) -> f64 {
        self.in_time as f64 / (self.in_time + self.late + self.refused) as f64
    }
}

struct Simulation {
    load: Load,
    instances: Vec<Placement>,
    servers: Vec<MockServer>,
    // Ends of running jobs: time, sequence number and server.
    ends: BinaryHeap<Reverse<(u64, u64, usize)>>,
    jobs: Vec<Option<Job>>,
    served: Served,
}

fn domain(n: usize) -> Name {
    Name::from(format!("north-{n}"))
}

impl Simulation {
    fn new(load: Load) -> Simulation {
        let spec = |i: usize| ServerSpec {
            name: format!("s{i}").into(),
            address: "127.0.0.1:1".parse().unwrap(),
            region: "north".into(),
            domain: domain(i % load.domains),
            slots: SLOTS,
            cold_ms: 0,
            down: false,
            limit: None,
            share: LimitShare::default(),
        };
        let specs: Vec<ServerSpec> = (0..load.servers).map(spec).collect();
        let service = ServiceSpec {
            cold_ms: 3_000,
            cold_rate: None,
            stable: load.stable,
        };
        let name = |i: usize| Name::from(format!("g{i}"));
        let instance = |i: usize| {
            let own = domain(i % load.domains);
            let mut placement = Placement::new(&name(i), &"north".into(), &own, i as u64);
            placement.set_instances_beside(load.instances - 1);
            placement.set_servers(Millis(0), &specs, service, &["north".into()]);
            placement
        };
        Simulation {
            instances: (0..load.instances).map(instance).collect(),
            servers: (0..load.servers).map(|_| MockServer::default()).collect(),
            ends: BinaryHeap::new(),
            jobs: Vec::new(),
            served: Served::default(),
            load,
        }
    }

    fn run(mut self) -> Served {
        let mut rng = SmallRng::seed_from_u64(5);
        let mut arrival = 0.0;
        for now in 0..END_MS {
            while let Some(Reverse((_, job, server))) =
                self.ends.peek().filter(|e| e.0 .0 <= now).copied()
            {
                self.ends.pop();
                self.finish(now, job, server);
            }
            if now.is_multiple_of(STEP_MS) {
                self.instances.iter_mut().for_each(|i| i.tick(Millis(now)));
            }
            while arrival <= now as f64 {
                arrival += -rng.random::<f64>().ln() * 1_000.0 / self.load.rate as f64;
                let instance = rng.random_range(0..self.load.instances);
                let object = rng.random_range(0..self.load.objects);
                self.arrive(now, instance, object);
            }
        }
        self.served
    }

    fn arrive(&mut self, now: u64, instance: usize, object: u64) {
        let route = Name::from("lookup");
        let request = PlacementRequest {
            route: &route,
            object: object.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            priority: 2,
            objective_ms: OBJECTIVE_MS,
            left_ms: TIMEOUT_MS,
            homes: &[],
            tried: &[],
        };
        match self.instances[instance].choose(Millis(now), &request) {
            PlacementDecision::Refuse { .. } if now >= WARMUP_MS => self.served.refused += 1,
            PlacementDecision::Refuse { .. } => {}
            PlacementDecision::Send(chosen) => {
                let server: usize = chosen.server[1..].parse().unwrap();
                let job = Job {
                    instance,
                    object,
                    sent: now,
                    chosen,
                };
                self.servers[server].waiting.push_back(job);
                self.start_next(now, server);
            }
        }
    }

    fn start_next(&mut self, now: u64, server: usize) {
        let state = &mut self.servers[server];
        if state.running == SLOTS {
            return;
        }
        if let Some(job) = state.waiting.pop_front() {
            state.running += 1;
            let work = state.work_ms(job.object, self.load.memory);
            let end = now + work * self.load.factor(now, server);
            self.ends
                .push(Reverse((end, self.jobs.len() as u64, server)));
            self.jobs.push(Some(job));
        }
    }

    fn finish(&mut self, now: u64, job: u64, server: usize) {
        let job = self.jobs[job as usize].take().unwrap();
        let state = &mut self.servers[server];
        state.running -= 1;
        let report = LoadReport {
            running: state.running,
            waiting: state.waiting.len() as u32,
            slots: SLOTS,
            pace: None,
        };
        let latency_ms = now - job.sent;
        let (route, ended) = (Name::from("lookup"), PlacementEnd::Answered);
        self.instances[job.instance].finish(
            Millis(now),
            &job.chosen,
            &route,
            ended,
            latency_ms,
            Some(report),
        );
        match latency_ms {
            _ if job.sent < WARMUP_MS => {}
            0..=OBJECTIVE_MS => self.served.in_time += 1,
            _ => self.served.late += 1,
        }
        self.start_next(now, server);
    }
}

/// A region of many small instances, whose servers have room for each object several times.
const MANY_INSTANCES: Load = Load {
    instances: 26,
    domains: 2,
    servers: 52,
    objects: 304,
    memory: 29,
    rate: 490,
    slow_one_in: 0,
    stable: false,
};

macro_rules! loads {
    ($($(#[$doc:meta])* $name:ident($load:expr) => $share:literal;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let served = Simulation::new($load).run();
            let share = served.in_time_share();
            assert!(share >= $share, "{share:.3}: {served:?}");
        })*
    };
}

loads! {
    /// Guards against instances that spread objects over many servers, which evict each other
    /// there, so that most requests pay for the load of their object.
    objects_stay_on_few_servers(MANY_INSTANCES) => 0.9;
    /// Guards against a region that stays cold: if no object is warm, all slots are needed.
    busy_region_leaves_the_cold_state(Load { rate: 1_000, ..MANY_INSTANCES }) => 0.8;
    /// Guards against the same while some servers are slow.
    busy_region_with_slow_servers_stays_warm(Load { rate: 900, slow_one_in: 7, ..MANY_INSTANCES }) => 0.7;
    /// Guards against few instances, which know the load, that wait for busy servers.
    few_instances_use_idle_servers(Load { instances: 4, rate: 900, ..MANY_INSTANCES }) => 0.95;
    /// Guards against the same while some servers are slow.
    few_instances_leave_slow_servers(Load { instances: 4, rate: 900, slow_one_in: 7, ..MANY_INSTANCES }) => 0.8;
    /// Guards against few moves that keep a busy region cold.
    busy_region_with_few_moves_gets_warm(Load { rate: 1_000, stable: true, ..MANY_INSTANCES }) => 0.8;
    /// Guards against few moves that keep objects on slow servers.
    few_moves_leave_slow_servers(Load { instances: 4, rate: 900, slow_one_in: 7, stable: true, ..MANY_INSTANCES }) => 0.8;
}
