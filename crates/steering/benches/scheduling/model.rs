//! Simulation of one region whose callers compete for its servers. Servers cache objects;
//! work on a server without the object takes 3.3 times as long.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use indexmap::{IndexMap, IndexSet};
use pomelovale_state::{Millis, Name};
use pomelovale_steering::placement::{
    Chosen, Found, LoadReport, Placement, PlacementDecision, PlacementEnd, PlacementRequest,
    ServerSpec, ServiceSpec,
};
use pomelovale_steering::returns::Return;
use pomelovale_steering::scheduler::{Candidacy, Estimate, Offer, Order, Scheduler, Ticket};
use pomelovale_steering::server_limit::LimitShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const DOMAINS: usize = 2;
const SERVERS: usize = 40;
const SLOTS: u32 = 9;
const QUEUE: usize = 27;
const CACHED: usize = 30;
const OBJECTS: f64 = 900.0;
/// One-way latency between callers and gateways, and between instances, in milliseconds.
const CALLER_MS: u64 = 3;
const LINK_MS: u64 = 1;
const TICK_MS: u64 = 20;
const HIT: f64 = 0.3;

/// A kind of request: name, share of the requests, work, objective and timeout in
/// milliseconds, priority, value on time and late.
pub struct Kind {
    pub name: &'static str,
    pub share: f64,
    pub work_ms: f64,
    pub objective_ms: u64,
    pub timeout_ms: u64,
    pub priority: u32,
    pub values: (f64, f64),
}

const fn kind(
    name: &'static str,
    share: f64,
    work_ms: f64,
    limits: (u64, u64, u32),
    values: (f64, f64),
) -> Kind {
    Kind {
        name,
        share,
        work_ms,
        objective_ms: limits.0,
        timeout_ms: limits.1,
        priority: limits.2,
        values,
    }
}

pub const KINDS: [Kind; 4] = [
    kind("lookup", 0.45, 1_120.0, (800, 6_000, 1), (1.1, 0.23)),
    kind("permit", 0.2, 1_480.0, (2_000, 8_000, 2), (1.1, 0.34)),
    kind("download", 0.08, 880.0, (500, 4_000, 0), (2.2, 0.17)),
    kind("bunk", 0.27, 880.0, (600, 4_000, 1), (1.1, 0.23)),
];

/// How servers are selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Without a queue, by the expected latency.
    Unordered,
    /// By a scheduler.
    Ordered(Order),
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub policy: Policy,
    /// Instances that select servers.
    pub instances: usize,
    /// Mean requests per second.
    pub rate: f64,
    pub seconds: u64,
    /// Factor on the rate of the workspace that floods.
    pub flood: f64,
    /// When instance 0 dies, if it does. Its gateways then use the last instance.
    pub death: Option<u64>,
    pub seed: u64,
}

pub const WORKSPACES: usize = 16;
/// The workspace that floods.
pub const FLOODER: usize = 3;

/// What the callers of a group got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub offered: u32,
    pub on_time: u32,
    pub late: u32,
    /// Rejected at first.
    pub rejected: u32,
    pub retried: u32,
    /// Rejected when they returned.
    pub again: u32,
    pub lost: u32,
    pub value: f64,
}

impl Tally {
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.offered.max(1))
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub kinds: [Tally; KINDS.len()],
    pub workspaces: [Tally; WORKSPACES],
    pub domains: [Tally; DOMAINS],
    pub misses: u32,
    pub runs: u32,
    pub shed: u32,
    /// Requests that ran more than once.
    pub twice: u32,
    /// Requests that waited at an instance that died.
    pub waited_at_death: u32,
}

impl Outcome {
    pub fn total(&self) -> Tally {
        self.kinds.iter().fold(Tally::default(), |mut sum, t| {
            sum.offered += t.offered;
            sum.on_time += t.on_time;
            sum.late += t.late;
            sum.rejected += t.rejected;
            sum.retried += t.retried;
            sum.again += t.again;
            sum.lost += t.lost;
            sum.value += t.value;
            sum
        })
    }
}

#[derive(Clone, Debug)]
struct Call {
    kind: usize,
    workspace: usize,
    domain: usize,
    instance: usize,
    object: u64,
    sent: u64,
    returned: bool,
    runs: u32,
    tried: Vec<Name>,
    ended: bool,
    chosen: Option<(Chosen, usize)>,
    started: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    AtInstance(usize),
    AtServer(usize),
    Done(usize),
    Answer(usize, bool),
    Tick,
    Death,
}

#[derive(Default)]
struct Server {
    running: u32,
    queue: VecDeque<usize>,
    cached: IndexSet<u64>,
}

struct Instance {
    placement: Placement,
    scheduler: Scheduler,
    waiting: IndexMap<Ticket, (usize, u64)>,
}

pub struct Model {
    run: Run,
    now: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    rng: SmallRng,
    calls: Vec<Call>,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    routes: Vec<Name>,
    dead: bool,
    out: Outcome,
}

fn domain_name(i: usize) -> Name {
    Name::from(format!("d{}", i % DOMAINS))
}

fn specs() -> Vec<ServerSpec> {
    let spec = |i: usize| ServerSpec {
        name: Name::from(format!("{i}")),
        address: "127.0.0.1:1".parse().expect("an address"),
        region: "r".into(),
        domain: domain_name(i),
        slots: SLOTS,
        cold_ms: 0,
        down: false,
        limit: None,
        share: LimitShare::default(),
    };
    (0..SERVERS).map(spec).collect()
}

fn instance(run: &Run, i: usize, specs: &[ServerSpec]) -> Instance {
    let (name, region) = (Name::from(format!("g{i}")), Name::from("r"));
    let mut placement = Placement::new(&name, &region, &domain_name(i), run.seed + i as u64);
    let regions = std::slice::from_ref(&region);
    placement.set_servers(Millis(0), specs, ServiceSpec::default(), regions);
    placement.set_instances_beside(run.instances - 1);
    let order = match run.policy {
        Policy::Ordered(order) => order,
        Policy::Unordered => Order::Fair,
    };
    Instance {
        placement,
        scheduler: Scheduler::new(order),
        waiting: IndexMap::new(),
    }
}

pub fn simulate(run: Run) -> Outcome {
    let specs = specs();
    let instances = (0..run.instances).map(|i| instance(&run, i, &specs));
    let mut model = Model {
        run,
        now: 0,
        seq: 0,
        events: BinaryHeap::new(),
        rng: SmallRng::seed_from_u64(run.seed),
        calls: Vec::new(),
        servers: (0..SERVERS).map(|_| Server::default()).collect(),
        instances: instances.collect(),
        routes: KINDS.iter().map(|k| Name::from(k.name)).collect(),
        dead: false,
        out: Outcome::default(),
    };
    model.after(0, Event::Arrive);
    model.after(TICK_MS, Event::Tick);
    if let Some(at) = run.death {
        model.after(at, Event::Death);
    }
    model.run();
    model.finish()
}

impl Model {
    fn after(&mut self, ms: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + ms, self.seq, event)));
    }

    fn run(&mut self) {
        let end = self.run.seconds * 1_000 + 10_000;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::AtInstance(c) => self.at_instance(c),
                Event::AtServer(c) => self.at_server(c),
                Event::Done(c) => self.done(c),
                Event::Answer(c, ran) => self.answer(c, ran),
                Event::Tick => {
                    (0..self.instances.len()).for_each(|i| self.release(i));
                    if self.now.is_multiple_of(2_000) {
                        let now = Millis(self.now);
                        let all = self.instances.iter_mut();
                        all.for_each(|i| i.placement.tick(now));
                    }
                    self.after(TICK_MS, Event::Tick);
                }
                Event::Death => self.die(),
            }
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.run.seconds * 1_000 {
            return;
        }
        let angle = self.now as f64 / 36_000.0 * std::f64::consts::TAU;
        let rate = self.run.rate * (1.0 + 0.55 * angle.sin());
        // A few workspaces are large.
        let share = |w: usize| match w {
            FLOODER => self.run.flood / (w + 1) as f64,
            w => 1.0 / (w + 1) as f64,
        };
        let usual: f64 = (0..WORKSPACES).map(|w| 1.0 / (w + 1) as f64).sum();
        let total: f64 = (0..WORKSPACES).map(share).sum();
        let mut at = self.rng.random::<f64>() * total;
        let found = (0..WORKSPACES).find(|w| {
            at -= share(*w);
            at <= 0.0
        });
        let workspace = found.unwrap_or(0);
        let mut at = self.rng.random::<f64>();
        let kind = KINDS.iter().position(|k| {
            at -= k.share;
            at <= 0.0
        });
        let instance = self.rng.random_range(0..self.run.instances);
        let skewed = self.rng.random::<f64>().powi(2) * OBJECTS;
        let call = Call {
            kind: kind.unwrap_or(0),
            workspace,
            domain: instance % DOMAINS,
            instance,
            object: (skewed as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            sent: self.now,
            returned: false,
            runs: 0,
            tried: Vec::new(),
            ended: false,
            chosen: None,
            started: 0,
        };
        let c = self.calls.len();
        self.calls.push(call);
        self.tally(c, |t| t.offered += 1);
        self.after(CALLER_MS, Event::AtInstance(c));
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 * usual / (rate * total);
        // Several requests may arrive in one millisecond.
        let whole = gap as u64 + u64::from(self.rng.random::<f64>() < gap.fract());
        self.after(whole, Event::Arrive);
    }

    fn tally(&mut self, c: usize, f: impl Fn(&mut Tally)) {
        let call = &self.calls[c];
        f(&mut self.out.kinds[call.kind]);
        f(&mut self.out.workspaces[call.workspace]);
        f(&mut self.out.domains[call.domain]);
    }

    fn at_instance(&mut self, c: usize) {
        if self.dead && self.calls[c].instance == 0 {
            self.calls[c].instance = self.run.instances - 1;
        }
        let i = self.calls[c].instance;
        self.release(i);
        let (now, call) = (Millis(self.now), &self.calls[c]);
        let (route, spent) = (self.routes[call.kind].clone(), 0);
        let request = request(call, &route, self.now, spent);
        let Instance {
            placement,
            scheduler,
            waiting,
        } = &mut self.instances[i];
        if self.run.policy == Policy::Unordered {
            return match placement.choose(now, &request) {
                PlacementDecision::Send(chosen) => self.send(c, i, chosen),
                PlacementDecision::Refuse { retry_ms } => self.reject(c, retry_ms),
            };
        }
        let known = scheduler.recognize(now, c as u64);
        let (estimate, found) = placement.estimate(now, &request);
        let candidacy = Candidacy {
            workspace: format!("w{}", call.workspace).into(),
            domain: domain_name(call.domain),
            priority: request.priority,
            objective_ms: request.objective_ms,
            left_ms: request.left_ms,
            returned: known == Return::OnTime || !request.tried.is_empty(),
        };
        match scheduler.offer(now, candidacy, c as u64, &estimate) {
            Offer::Place => {
                let found = found.expect("a place");
                match placement.place(now, request.object, &found) {
                    PlacementDecision::Send(chosen) => self.send(c, i, chosen),
                    PlacementDecision::Refuse { retry_ms } => self.reject(c, retry_ms),
                }
            }
            Offer::Wait { ticket } => {
                waiting.insert(ticket, (c, self.now));
            }
            Offer::Refuse { retry_ms } => self.reject(c, retry_ms),
        }
    }

    fn release(&mut self, i: usize) {
        while self.release_one(i) {}
    }

    fn release_one(&mut self, i: usize) -> bool {
        let now = Millis(self.now);
        let Instance {
            placement,
            scheduler,
            waiting,
        } = &mut self.instances[i];
        let (calls, routes) = (&self.calls, &self.routes);
        let mut last: Option<Found> = None;
        let released = scheduler.release(now, |ticket| -> Estimate {
            let (c, since) = waiting[&ticket];
            let call = &calls[c];
            let request = request(call, &routes[call.kind], now.0, now.0 - since);
            let (estimate, found) = placement.estimate(now, &request);
            last = found;
            estimate
        });
        let Some((ticket, offer)) = released else {
            return false;
        };
        let (c, _) = waiting.swap_remove(&ticket).expect("a waiting request");
        match offer {
            Offer::Place => {
                let found = last.expect("a place");
                match placement.place(now, self.calls[c].object, &found) {
                    PlacementDecision::Send(chosen) => self.send(c, i, chosen),
                    PlacementDecision::Refuse { retry_ms } => self.reject(c, retry_ms),
                }
            }
            Offer::Refuse { retry_ms } => self.reject(c, retry_ms),
            Offer::Wait { .. } => {}
        }
        true
    }

    fn send(&mut self, c: usize, i: usize, chosen: Chosen) {
        self.calls[c].chosen = Some((chosen, i));
        self.calls[c].started = self.now;
        self.after(LINK_MS, Event::AtServer(c));
    }

    fn reject(&mut self, c: usize, retry_ms: u64) {
        let call = &self.calls[c];
        let left = (call.sent + KINDS[call.kind].timeout_ms).saturating_sub(self.now);
        if call.returned {
            self.calls[c].ended = true;
            return self.tally(c, |t| t.again += 1);
        }
        self.tally(c, |t| t.rejected += 1);
        if retry_ms > left / 3 {
            self.calls[c].ended = true;
            return;
        }
        self.tally(c, |t| t.retried += 1);
        self.calls[c].returned = true;
        self.calls[c].tried.clear();
        self.after(retry_ms + 2 * CALLER_MS, Event::AtInstance(c));
    }

    fn server(&self, c: usize) -> usize {
        let (chosen, _) = self.calls[c].chosen.as_ref().expect("a server");
        chosen.server.parse().expect("an index")
    }

    fn at_server(&mut self, c: usize) {
        let s = self.server(c);
        let server = &mut self.servers[s];
        match () {
            () if server.running < SLOTS => self.start(s, c),
            () if server.queue.len() < QUEUE => server.queue.push_back(c),
            () => {
                self.out.shed += 1;
                self.after(LINK_MS, Event::Answer(c, false));
            }
        }
    }

    fn start(&mut self, s: usize, c: usize) {
        let call = &mut self.calls[c];
        let server = &mut self.servers[s];
        server.running += 1;
        call.runs += 1;
        self.out.runs += 1;
        self.out.twice += u32::from(call.runs > 1);
        let hit = server.cached.shift_remove(&call.object);
        server.cached.insert(call.object);
        if server.cached.len() > CACHED {
            server.cached.shift_remove_index(0);
        }
        self.out.misses += u32::from(!hit);
        let usual = KINDS[call.kind].work_ms * if hit { HIT } else { 1.0 };
        let work = usual * self.rng.random_range(0.8..1.2);
        self.after(work as u64, Event::Done(c));
    }

    fn done(&mut self, c: usize) {
        let s = self.server(c);
        self.servers[s].running -= 1;
        if let Some(next) = self.servers[s].queue.pop_front() {
            self.start(s, next);
        }
        self.after(LINK_MS, Event::Answer(c, true));
    }

    fn answer(&mut self, c: usize, ran: bool) {
        let s = self.server(c);
        let now = Millis(self.now);
        let (chosen, i) = self.calls[c].chosen.take().expect("a server");
        let latency = self.now - self.calls[c].started;
        let server = &self.servers[s];
        let report = LoadReport {
            running: server.running,
            waiting: server.queue.len() as u32,
            slots: SLOTS,
            pace: None,
        };
        let ended = match ran {
            true => PlacementEnd::Answered,
            false => PlacementEnd::Shed,
        };
        let route = self.routes[self.calls[c].kind].clone();
        if !(self.dead && i == 0) {
            let instance = &mut self.instances[i];
            let load = Some(report);
            let placement = &mut instance.placement;
            placement.finish(now, &chosen, &route, ended, latency, load);
            instance.scheduler.record_end(now);
            self.release(i);
        }
        if !ran {
            self.calls[c].tried.push(chosen.server);
            return match self.calls[c].tried.len() < 2 {
                true => self.at_instance(c),
                false => self.reject(c, 300),
            };
        }
        self.calls[c].ended = true;
        let kind = &KINDS[self.calls[c].kind];
        let spent = self.now + CALLER_MS - self.calls[c].sent;
        match () {
            () if spent <= kind.objective_ms => self.tally(c, |t| {
                t.on_time += 1;
                t.value += kind.values.0;
            }),
            () if spent <= kind.timeout_ms => self.tally(c, |t| {
                t.late += 1;
                t.value += kind.values.1;
            }),
            () => {}
        }
    }

    // The requests that wait at the instance are placed by their gateways after 90 ms
    // without a reply.
    fn die(&mut self) {
        self.dead = true;
        let waiting = std::mem::take(&mut self.instances[0].waiting);
        self.instances[0].scheduler = Scheduler::default();
        self.out.waited_at_death = waiting.len() as u32;
        for (c, since) in waiting.into_values() {
            let reply = (since + 90).saturating_sub(self.now);
            self.after(reply, Event::AtInstance(c));
        }
    }

    fn finish(mut self) -> Outcome {
        for c in 0..self.calls.len() {
            if !self.calls[c].ended {
                self.tally(c, |t| t.lost += 1);
            }
        }
        self.out
    }
}

fn request<'a>(call: &'a Call, route: &'a Name, now: u64, waited: u64) -> PlacementRequest<'a> {
    let kind = &KINDS[call.kind];
    let left = (call.sent + kind.timeout_ms).saturating_sub(now);
    PlacementRequest {
        route,
        object: call.object,
        priority: kind.priority,
        objective_ms: kind.objective_ms.saturating_sub(waited).min(left),
        left_ms: left,
        homes: &[],
        tried: &call.tried,
    }
}
