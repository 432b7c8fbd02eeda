//! Simulates the rate limit and measures windows over the limit, usable rate,
//! wrongful refusals and waits, with and without a change of leader. A refusal
//! is wrongful if a token bucket without delay would have admitted the request.
//!
//! `cargo bench --bench limits [-- SEEDS [VARIANT [CASE]]]`

#[allow(dead_code)]
#[path = "limits_model/mod.rs"]
mod limits_model;

use limits_model::{Network, Simulation};
use pomelovale_coordination::ledger::{LedgerConfig, RateLimit};
use rand::seq::SliceRandom;
use rand::Rng;

const ENTRIES: usize = 12;
const RATES: [u64; 8] = [1_600, 800, 400, 200, 100, 100, 50, 50];
const SECONDS: u64 = 30;
/// Simulated time before the measurement starts.
const WARM_UP_MS: u64 = 10_000;
const LEADER_LOST_MS: u64 = 15_000;

type ConfigFn = fn(u64) -> LedgerConfig;

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// Offered load of workspace 0 and of each other one, in per mille of its rate.
    load: (u64, u64),
    /// Interval between changes of the distribution of load over entries.
    shift_ms: u64,
    /// Zipf exponent of the distribution of load over entries; 0 is even.
    skew: f64,
    leader_gap_ms: u64,
}

const CASES: [Case; 12] = [
    case("even 90%", (900, 900), u64::MAX, 0.0, 0),
    case("uneven 90%", (900, 900), u64::MAX, 1.0, 0),
    case("shift 2 s 90%", (900, 900), 2_000, 1.0, 0),
    case("shift 5 s 90%", (900, 900), 5_000, 1.0, 0),
    case("uneven 120%", (1_200, 1_200), u64::MAX, 1.0, 0),
    case("shift 2 s 120%", (1_200, 1_200), 2_000, 1.0, 0),
    case("flood 5x", (5_000, 900), u64::MAX, 1.0, 0),
    case("flood 5x, shift 5 s", (5_000, 900), 5_000, 1.0, 0),
    case("leader 2 s, uneven 90%", (900, 900), u64::MAX, 1.0, 2_000),
    case("leader 2 s, shift 5 s 90%", (900, 900), 5_000, 1.0, 2_000),
    case(
        "leader 2 s, shift 2 s 120%",
        (1_200, 1_200),
        2_000,
        1.0,
        2_000,
    ),
    case("leader 2 s, flood 5x", (5_000, 900), u64::MAX, 1.0, 2_000),
];

const fn case(
    name: &'static str,
    load: (u64, u64),
    shift_ms: u64,
    skew: f64,
    leader_gap_ms: u64,
) -> Case {
    Case {
        name,
        load,
        shift_ms,
        skew,
        leader_gap_ms,
    }
}

#[derive(Default)]
struct Totals {
    over: u64,
    offered: u64,
    admitted: u64,
    capacity: u64,
    refused: u64,
    wrongful: u64,
    waits: Vec<u64>,
    messages: u64,
}

fn poisson(simulation: &mut Simulation, mean: f64) -> u64 {
    let limit = (-mean).exp();
    let (mut product, mut count) = (simulation.rng.random::<f64>(), 0);
    while product > limit {
        product *= simulation.rng.random::<f64>();
        count += 1;
    }
    count
}

fn weights(simulation: &mut Simulation, skew: f64) -> Vec<f64> {
    let mut weights: Vec<f64> = (1..=ENTRIES).map(|i| (i as f64).powf(-skew)).collect();
    weights.shuffle(&mut simulation.rng);
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|w| w / sum).collect()
}

fn pick(simulation: &mut Simulation, weights: &[f64]) -> usize {
    let mut at = simulation.rng.random::<f64>();
    for (i, w) in weights.iter().enumerate() {
        at -= w;
        if at < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

fn run(case: Case, seed: u64, burst_ms: u64, config: ConfigFn) -> Simulation {
    let limits = RATES.map(|r| RateLimit {
        per_second: r,
        burst: (r * burst_ms / 1_000).max(1),
    });
    let net = Network {
        ticks_per_ms: 1,
        one_way: 55,
        jitter: 5,
        loss: 1,
        duplicate: 1,
        late: 1,
        late_by: 5_000,
    };
    let mut simulation = Simulation::new(seed, ENTRIES, limits.to_vec(), net);
    simulation.ledger_config = config;
    simulation.start_leader();
    let mut shares: Vec<Vec<f64>> = RATES.map(|_| weights(&mut simulation, case.skew)).to_vec();
    for ms in 0..WARM_UP_MS + SECONDS * 1_000 {
        if ms % case.shift_ms == case.shift_ms - 1 {
            shares = RATES.map(|_| weights(&mut simulation, case.skew)).to_vec();
        }
        if ms == WARM_UP_MS {
            simulation.messages = 0;
            simulation.workspace_stats.iter_mut().for_each(|c| {
                (c.offered, c.refused, c.wrongful) = (0, 0, 0);
                c.waits.clear();
            });
        }
        if case.leader_gap_ms > 0 && ms == LEADER_LOST_MS {
            simulation.stop_leader();
        }
        if case.leader_gap_ms > 0 && ms == LEADER_LOST_MS + case.leader_gap_ms {
            simulation.start_leader();
        }
        for (w, rate) in RATES.iter().enumerate() {
            let load = if w == 0 { case.load.0 } else { case.load.1 };
            let mean = (rate * load) as f64 / 1e6;
            for _ in 0..poisson(&mut simulation, mean) {
                let entry = pick(&mut simulation, &shares[w]);
                simulation.offer(entry, w);
            }
        }
        simulation.tick();
    }
    simulation
}

/// Adds the counters of the workspaces from `first` on to the totals.
fn add(totals: &mut Totals, simulation: &Simulation, first: usize) {
    for (count, limit) in simulation
        .workspace_stats
        .iter()
        .zip(&simulation.limits)
        .skip(first)
    {
        let counted = count.admitted.iter().filter(|&&t| t >= WARM_UP_MS);
        totals.over += count.admissions_over_limit(*limit, 1);
        totals.offered += count.offered;
        totals.admitted += counted.count() as u64;
        totals.capacity += limit.per_second * SECONDS;
        totals.refused += count.refused;
        totals.wrongful += count.wrongful;
        totals.waits.extend(&count.waits);
    }
    totals.messages += simulation.messages;
}

/// Runs all seeds, each in a thread of its own.
fn run_seeds(case: Case, seeds: u64, burst_ms: u64, config: ConfigFn) -> Vec<Simulation> {
    std::thread::scope(|scope| {
        let start = |seed| scope.spawn(move || run(case, seed, burst_ms, config));
        let threads: Vec<_> = (1..=seeds).map(start).collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("run"))
            .collect()
    })
}

fn report(case: Case, burst_ms: u64, seeds: u64, config: ConfigFn) {
    let (mut all, mut worst) = (Totals::default(), 0.0_f64);
    let flooded = usize::from(case.load.0 != case.load.1);
    let mut flood = Totals::default();
    for simulation in run_seeds(case, seeds, burst_ms, config) {
        let mut one = Totals::default();
        add(&mut one, &simulation, flooded);
        worst = worst.max(one.wrongful as f64 / one.offered as f64);
        add(&mut all, &simulation, flooded);
        if flooded > 0 {
            let mut first = simulation;
            first.workspace_stats.truncate(1);
            add(&mut flood, &first, 0);
        }
    }
    all.waits.sort_unstable();
    let rank = (all.waits.len() as f64 * 0.99) as usize;
    let usable = all.admitted as f64 / all.capacity.min(all.offered) as f64;
    let wrongful_percent =
        |c: &limits_model::WorkspaceStats| 100.0 * c.wrongful as f64 / c.offered as f64;
    if std::env::var("DETAIL").is_ok() {
        let simulation = run(case, 1, burst_ms, config);
        let parts: Vec<_> = simulation
            .workspace_stats
            .iter()
            .map(|c| format!("{:.2}", wrongful_percent(c)))
            .collect();
        println!("  wrongful by workspace: {}", parts.join(" "));
    }
    println!(
        "{:<28} {:>5} {:>5} {:>8.2} {:>8.3} {:>9.3} {:>8.3} {:>7.2} {:>7} {:>7.1} {:>7.2}",
        case.name,
        burst_ms,
        all.over + flood.over,
        100.0 * usable,
        100.0 * all.refused as f64 / all.offered as f64,
        100.0 * all.wrongful as f64 / all.offered as f64,
        100.0 * worst,
        100.0 * all.waits.len() as f64 / all.offered as f64,
        all.waits.get(rank).copied().unwrap_or(0),
        all.messages as f64 / (seeds * SECONDS * ENTRIES as u64) as f64,
        100.0 * flood.admitted as f64 / flood.capacity.max(1) as f64,
    );
}

fn unleased(epoch: u64) -> LedgerConfig {
    LedgerConfig {
        life_ms: 2_000,
        wait_ms: 2_010,
        leased_rate_per_mille: 0,
        leased_burst_per_mille: 0,
        ..LedgerConfig::new(epoch)
    }
}

fn short(epoch: u64) -> LedgerConfig {
    LedgerConfig {
        life_ms: 2_000,
        wait_ms: 2_010,
        ..LedgerConfig::new(epoch)
    }
}

fn main() {
    let args: Vec<String> = std::env::args().filter(|a| a != "--bench").collect();
    let seeds = args.get(1).and_then(|a| a.parse().ok()).unwrap_or(5);
    let variants: [(&str, ConfigFn); 3] = [
        ("leased", LedgerConfig::new),
        ("leased-2s", short),
        ("plain", unleased),
    ];
    for (name, config) in variants {
        if args.get(2).is_some_and(|a| a != name) {
            continue;
        }
        println!("variant {name}: seeds 1..={seeds}, {ENTRIES} entries, 55 to 60 ms one way");
        println!(
            "{:<28} {:>5} {:>5} {:>8} {:>8} {:>9} {:>8} {:>7} {:>7} {:>7} {:>7}",
            "case",
            "burst",
            "over",
            "usable%",
            "refus%",
            "wrongful%",
            "worst%",
            "wait%",
            "p99ms",
            "msg/s",
            "flood%"
        );
        for burst_ms in [1_000, 250] {
            for case in CASES {
                if args.get(3).is_some_and(|a| !case.name.contains(a)) {
                    continue;
                }
                report(case, burst_ms, seeds, config);
            }
        }
    }
}
