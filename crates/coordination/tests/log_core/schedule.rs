//! Random schedules of failures.

use pomelovale_coordination::log::{Event, MemberChange};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::sim::Sim;

/// One step of a schedule. A `usize` selects an instance, except that it is a
/// count in `Propose`, and a bit mask of instances in `Restart` and `Partition`.
#[derive(Clone, Debug)]
enum Step {
    Add(usize),
    Compact(usize),
    Crash(usize),
    BlockInbound(usize),
    NetworkDelay(u64),
    Heal,
    Isolate(usize),
    LoseMessages(u32),
    Restart(usize),
    Propose(usize),
    Remove(usize),
    DuplicateMessages(u32),
    Resign(usize),
    Run(u64),
    SyncDelay(u64),
    Partition(usize),
    Start(usize),
    Wipe(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let node = usize::arbitrary(g) % 5;
        let number = u64::arbitrary(g);
        match u32::arbitrary(g) % 29 {
            0 => Step::Compact(node),
            1..=2 => Step::Crash(node),
            3 => Step::NetworkDelay(number % 300),
            4 => Step::Heal,
            5 => Step::Isolate(node),
            6 => Step::LoseMessages(number as u32 % 30),
            7..=11 => Step::Propose(1 + number as usize % 8),
            12 => Step::Remove(node),
            13 => Step::DuplicateMessages(number as u32 % 20),
            14 => Step::Resign(node),
            15..=18 => Step::Run(number % 3_000),
            19 => Step::Partition(number as usize % 32),
            20..=21 => Step::Start(node),
            22 => Step::Add(node),
            23..=24 => Step::Restart(1 + number as usize % 31),
            25 => Step::SyncDelay(number % 500),
            26 => Step::BlockInbound(node),
            _ => Step::Wipe(node),
        }
    }
}

/// A group and the steps that it goes through.
#[derive(Clone, Debug)]
struct Schedule {
    /// Whether election timeouts are so short that elections often collide.
    short_timeouts: bool,
    seed: u64,
    size: usize,
    steps: Vec<Step>,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Schedule {
        Schedule {
            short_timeouts: bool::arbitrary(g),
            seed: u64::arbitrary(g),
            size: *g.choose(&[3, 5]).unwrap_or(&3),
            steps: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Schedule>> {
        let schedule = self.clone();
        let with = move |steps| Schedule {
            steps,
            ..schedule.clone()
        };
        Box::new(self.steps.shrink().map(with))
    }
}

fn run_step(sim: &mut Sim, step: &Step, size: usize) {
    match *step {
        Step::Add(node) => sim.change(MemberChange::AddLearner(sim.id(node % size))),
        Step::Compact(node) => sim.compact(node % size),
        Step::Crash(node) => sim.crash(node % size),
        Step::NetworkDelay(ms) => sim.delay_ms.1 = 1 + ms,
        Step::BlockInbound(node) => sim.inbound_blocked = Some(node % size),
        Step::Heal => {
            sim.inbound_blocked = None;
            sim.partition(|_| 0);
        }
        Step::Isolate(node) => sim.partition(|other| usize::from(other == node % size)),
        Step::LoseMessages(percent) => sim.message_faults.0 = percent,
        Step::Restart(mask) => {
            let hit: Vec<usize> = (0..size).filter(|node| mask >> node & 1 == 1).collect();
            hit.iter().for_each(|node| sim.crash(*node));
            hit.iter().for_each(|node| sim.start(*node));
        }
        Step::Propose(count) => (0..count).for_each(|_| sim.propose()),
        Step::Remove(_) if !sim.may_remove() => {}
        Step::Remove(node) => {
            sim.removed.insert(node % size);
            sim.change(MemberChange::Remove(sim.id(node % size)));
        }
        Step::DuplicateMessages(percent) => sim.message_faults.1 = percent,
        Step::Resign(node) => sim.step(node % size, Event::Resign),
        Step::Run(ms) => sim.run(ms),
        Step::SyncDelay(ms) => sim.sync_ms = (1, 1 + ms),
        Step::Partition(mask) => sim.partition(|node| mask >> node & 1),
        Step::Start(node) => sim.start(node % size),
        Step::Wipe(node) => {
            let node = node % size;
            if sim.tolerates_wipe(node) {
                sim.crash(node);
                sim.wipe(node);
                sim.start(node);
            }
        }
    }
    sim.run(20);
}

/// Runs a schedule. The simulation checks the invariants at every step.
fn run_schedule(schedule: Schedule) -> TestResult {
    let mut sim = Sim::with_leader(schedule.size, schedule.seed);
    if schedule.short_timeouts {
        sim.election_ms = (120, 240);
        (0..schedule.size).for_each(|node| sim.crash(node));
        (0..schedule.size).for_each(|node| sim.start(node));
    }
    for step in &schedule.steps {
        run_step(&mut sim, step, schedule.size);
    }
    sim.recover();
    TestResult::passed()
}

fn check(seed: u64, tests: u64) {
    let source = Gen::from_size_and_seed(60, seed);
    let property: fn(Schedule) -> TestResult = run_schedule;
    QuickCheck::new()
        .rng(source)
        .tests(tests)
        .quickcheck(property);
}

/// Guards against two leaders in an epoch, entries that are lost, changed or
/// applied in different orders, freshness proofs for an outdated state, and
/// groups that do not recover.
#[test]
fn random_schedules_keep_invariants() {
    check(1, 400);
}

/// The same with many more schedules. `LOG_SEED` sets the seed.
#[test]
#[ignore = "takes minutes"]
fn many_random_schedules_keep_invariants() {
    let seed = std::env::var("LOG_SEED").ok().and_then(|s| s.parse().ok());
    check(seed.unwrap_or(2), 10_000);
}
