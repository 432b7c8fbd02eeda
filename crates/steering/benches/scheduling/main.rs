//! Compares orders of requests in a simulation of callers that compete for servers.
//!
//! `cargo bench --bench scheduling` prints, for each policy, what callers get: the share
//! answered on time by kind, those late, rejected and rejected again, and the value per
//! request.

mod model;

use model::{simulate, Outcome, Policy, Run, FLOODER, KINDS, WORKSPACES};
use pomelovale_steering::scheduler::Order;

const SEEDS: [u64; 3] = [11, 23, 37];
const POLICIES: [(&str, Policy); 4] = [
    ("unordered", Policy::Unordered),
    ("fair", Policy::Ordered(Order::Fair)),
    ("deadline", Policy::Ordered(Order::Deadline)),
    ("value", Policy::Ordered(Order::Value)),
];

fn main() {
    let is_short = std::env::args().any(|a| a == "--short");
    let seeds = if is_short { &SEEDS[..1] } else { &SEEDS[..] };
    let wanted = std::env::args().skip_while(|a| a != "--case").nth(1);
    let order = std::env::args().skip_while(|a| a != "--order").nth(1);
    let count = std::env::args().skip_while(|a| a != "--instances").nth(1);
    for (label, rate, flood) in [
        ("moderate", 350.0, 1.0),
        ("heavy", 550.0, 1.0),
        ("flood", 350.0, 7.5),
    ] {
        if wanted.as_ref().is_some_and(|w| w != label) {
            continue;
        }
        for instances in [2, 22] {
            if count.as_ref().is_some_and(|c| *c != instances.to_string()) {
                continue;
            }
            print!("\n{label}, {instances} instances, on time %:");
            KINDS.iter().for_each(|k| print!(" {:>8}", k.name));
            println!("     all   late%   rej.%  retry%  again% value/100  miss%  shed  others% worst% flooder%");
            for (name, policy) in POLICIES {
                if order.as_ref().is_some_and(|o| o != name) {
                    continue;
                }
                let run = |seed| Run {
                    policy,
                    instances,
                    rate,
                    seconds: 36,
                    flood,
                    death: None,
                    seed,
                };
                print_row(
                    name,
                    &seeds
                        .iter()
                        .map(|seed| simulate(run(*seed)))
                        .collect::<Vec<_>>(),
                );
            }
        }
    }
}

fn print_row(name: &str, outcomes: &[Outcome]) {
    let mean =
        |f: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(f).sum::<f64>() / outcomes.len() as f64;
    let percent = |part: u32, all: u32| 100.0 * f64::from(part) / f64::from(all.max(1));
    print!("{name:>42}");
    for k in 0..KINDS.len() {
        print!(" {:>8.1}", mean(&|o| 100.0 * o.kinds[k].on_time_share()));
    }
    let of = |f: &dyn Fn(&model::Tally) -> f64| mean(&|o| f(&o.total()));
    let others = |o: &Outcome| -> Vec<f64> {
        let all = (0..WORKSPACES).filter(|w| *w != FLOODER);
        all.map(|w| 100.0 * o.workspaces[w].on_time_share())
            .collect()
    };
    println!(
        " {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>9.1} {:>6.1} {:>5.0} {:>8.1} {:>6.1} {:>8.1}",
        of(&|t| 100.0 * t.on_time_share()),
        of(&|t| percent(t.late, t.offered)),
        of(&|t| percent(t.rejected, t.offered)),
        of(&|t| percent(t.retried, t.rejected)),
        of(&|t| percent(t.again, t.retried)),
        of(&|t| 100.0 * t.value / f64::from(t.offered.max(1))),
        mean(&|o| percent(o.misses, o.runs)),
        mean(&|o| f64::from(o.shed)),
        mean(&|o| others(o).iter().sum::<f64>() / (WORKSPACES - 1) as f64),
        mean(&|o| others(o).into_iter().fold(f64::MAX, f64::min)),
        mean(&|o| 100.0 * o.workspaces[FLOODER].on_time_share()),
    );
}
