//! Compares the policies with baselines in a simulation, and measures the CPU time
//! of one server selection.
//!
//! `cargo bench --bench policy` runs all cases. Options, after `--`:
//!
//! - `--short`: use two seeds instead of five.
//! - `--best`: leave out the baselines that were never the best.
//! - `--case TEXT`: run only the cases whose label contains the text.
//! - `--ablations`: add variants in which one of the policies under test is
//!   replaced.
//! - `--moves`: run only the comparison of rankings when servers change.

mod model;
mod moves;

use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Instant;

use model::plan::*;
use model::stats::Stats;
use pomelovale_state::{Millis, Name};
use pomelovale_steering::balancer::{AttemptSpec, Balancer, BalancerPolicy, ServerInfo};
use pomelovale_steering::{AttemptEnd, Class};

const SEEDS: [u64; 5] = [11, 23, 37, 41, 59];
const THREADS: usize = 3;
const CHOICES: u32 = 500_000;

struct Job {
    size: Deployment,
    case: Case,
    policies: PolicySet,
    seed: u64,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let has = |flag: &str| args.iter().any(|a| a == flag);
    if has("--moves") {
        return moves::run();
    }
    let wanted = args
        .iter()
        .position(|a| a == "--case")
        .map(|i| args[i + 1].clone());
    let seeds = if has("--short") {
        &SEEDS[..2]
    } else {
        &SEEDS[..]
    };
    let mut policy_sets = vec![STEERED];
    let is_included =
        |s: &&PolicySet| !has("--best") || !matches!(s.label, "rr+fifo" | "rand+fifo");
    policy_sets.extend(BASELINES.iter().filter(is_included));
    let baselines = policy_sets.len();
    if has("--ablations") {
        policy_sets.extend(ABLATIONS);
    }
    time_choices();
    let started = Instant::now();
    for size in DEPLOYMENTS {
        let picked = |c: &&Case| wanted.as_ref().is_none_or(|w| c.label.contains(w.as_str()));
        let cases: Vec<Case> = CASES.iter().filter(picked).copied().collect();
        let results = run_all(size, &cases, &policy_sets, seeds);
        print_tables(size, &cases, &policy_sets, &results, baselines);
        print_summary(size, &cases, &policy_sets, &results, baselines);
    }
    moves::run();
    println!(
        "seeds {seeds:?}, wall time {:.0} s",
        started.elapsed().as_secs_f64()
    );
}

fn run_all(
    size: Deployment,
    cases: &[Case],
    policy_sets: &[PolicySet],
    seeds: &[u64],
) -> Vec<Stats> {
    let mut jobs = Vec::new();
    for &case in cases {
        for &policies in policy_sets {
            jobs.extend(seeds.iter().map(|&seed| Job {
                size,
                case,
                policies,
                seed,
            }));
        }
    }
    let results: Vec<Mutex<Stats>> = (0..jobs.len() / seeds.len())
        .map(|_| Mutex::new(Stats::new()))
        .collect();
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let i = next.fetch_add(1, Ordering::SeqCst);
                let Some(job) = jobs.get(i) else { break };
                let stats = model::simulation::run(job.case, job.policies, job.size, job.seed);
                results[i / seeds.len()]
                    .lock()
                    .expect("no panic")
                    .add(&stats);
            });
        }
    });
    results
        .into_iter()
        .map(|m| m.into_inner().expect("no panic"))
        .collect()
}

fn print_tables(
    size: Deployment,
    cases: &[Case],
    policy_sets: &[PolicySet],
    results: &[Stats],
    baselines: usize,
) {
    println!(
        "\ndeployment {}: {} servers, {} entries; latencies in ms; load: highest 5 s window / capacity",
        size.label, size.servers, size.entries
    );
    for (c, case) in cases.iter().enumerate() {
        println!(
            "\n{:<22}{:>7}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>7}{:>7}{:>8}{:>8}{:>8}{:>7}{:>7}{:>7}{:>7}{:>6}",
            case.label, "l.p50", "l.p99", "l.p999", "b.p50", "b.p99", "b.p999", "refused", "failed",
            "unkn", "mean%", "worst%", "w.p99", "region", "server", "start", "drain", "twice"
        );
        let row = |s: usize| &results[c * policy_sets.len() + s];
        for (s, policies) in policy_sets.iter().enumerate() {
            print_row(policies.label, row(s));
        }
        let best = (1..baselines)
            .map(|s| row(s).lookup_ms(0.99))
            .fold(f64::MAX, f64::min);
        let gain = 100.0 * (1.0 - row(0).lookup_ms(0.99) / best);
        println!("  steered p99 of lookups {gain:.1}% lower than the lowest of the baselines");
        if case.has(Fault::Flood) {
            print_flood(cases, case, row(0), results, policy_sets.len());
        }
    }
}

fn print_row(label: &str, s: &Stats) {
    let (mean, worst) = s.answered_shares();
    println!(
        "  {:<20}{:>7.1}{:>8.1}{:>8.1}{:>8.1}{:>8.1}{:>8.1}{:>8}{:>7}{:>7}{:>8.3}{:>8.3}{:>8.1}{:>7.2}{:>7.2}{:>7}{:>7}{:>6}",
        label, s.lookup_ms(0.5), s.lookup_ms(0.99), s.lookup_ms(0.999), s.booking_ms(0.5),
        s.booking_ms(0.99), s.booking_ms(0.999), s.refused, s.failed, s.unknown, mean * 100.0,
        worst * 100.0, s.worst_p99(), s.region_load, s.server_load, s.last_start_ms, s.drain_ms, s.duplicates
    );
}

/// Prints one row per case: the policies under test and the baseline with the
/// lowest p99 latency of lookups.
fn print_summary(
    size: Deployment,
    cases: &[Case],
    policy_sets: &[PolicySet],
    results: &[Stats],
    baselines: usize,
) {
    println!("\n| {} | l.p99 | best baseline | refused | worst-mean % | w.p99 | region | server | drain |", size.label);
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (c, case) in cases.iter().enumerate() {
        let rows = &results[c * policy_sets.len()..];
        let s = &rows[0];
        let p99 = |i: &usize| (rows[*i].lookup_ms(0.99) * 1_000.0) as u64;
        let best = (1..baselines).min_by_key(p99).unwrap_or(0);
        let b = &rows[best];
        let gap = |s: &Stats| (s.answered_shares().1 - s.answered_shares().0) * 100.0;
        println!(
            "| {} | {:.1} | {:.1} {} | {} / {} | {:.2} / {:.2} | {:.0} / {:.0} | {:.2} / {:.2} | {:.2} / {:.2} | {} |",
            case.label, s.lookup_ms(0.99), b.lookup_ms(0.99), policy_sets[best].label, s.refused,
            b.refused, gap(s), gap(b), s.worst_p99(), b.worst_p99(), s.region_load, b.region_load,
            s.server_load, b.server_load, s.drain_ms
        );
    }
}

/// Prints the highest ratio of a workspace's p99 latency to that in the case without
/// faults, over all workspaces except the flooding one.
fn print_flood(cases: &[Case], case: &Case, flood: &Stats, results: &[Stats], policy_sets: usize) {
    let fault_free = cases
        .iter()
        .position(|c| c.faults.is_empty() && c.load == case.load);
    let Some(fault_free) = fault_free.map(|i| &results[i * policy_sets]) else {
        return;
    };
    let others = (0..SHARES.len()).filter(|i| *i != FLOODING_WORKSPACE);
    let ratio = |i: usize| flood.workspace_p99(i) / fault_free.workspace_p99(i);
    let worst = others.map(ratio).fold(0.0, f64::max);
    println!(
        "  flood: p99 of the other workspaces at most {worst:.2} times the value without faults"
    );
}

fn time_choices() {
    let size = DEPLOYMENTS[0];
    for policy in [BalancerPolicy::SlotShares, BalancerPolicy::LeastOutstanding] {
        let mut balancer = Balancer::new(policy, 1);
        let entries: Vec<_> = (0..size.entries).map(model::entry::Entry::info).collect();
        let servers: Vec<ServerInfo> = (0..36)
            .map(|i| model::faults::new_server(i, &size).info)
            .collect();
        balancer.set_entries(Millis(0), &entries[0].name, &entries);
        balancer.set_servers(Millis(0), &servers);
        let home = Name::from("r0");
        for (label, region) in [("one region of 3", Some(&home)), ("all", None)] {
            let request = AttemptSpec {
                class: Class::Idempotent,
                exclude: &[],
                region,
            };
            let started = Instant::now();
            for i in 0..CHOICES {
                let now = Millis(u64::from(i / 8));
                let choice = balancer.choose(now, &request).expect("a server");
                balancer.start(now, &choice.server);
                balancer.finish(now, &black_box(choice).server, AttemptEnd::Complete, 20);
            }
            let ns = started.elapsed().as_nanos() / u128::from(CHOICES);
            println!("choose + start + finish, 36 servers, {label}, {policy:?}: {ns} ns");
        }
    }
}
