//! Measures each cost at several sizes and prints a linear fit. docs/CAPACITY.md
//! extrapolates from the slopes.
//!
//! `cargo bench -p pomelovaled --bench capacity [-- blocks|crashes|limits|state]`

#[path = "capacity_blocks/mod.rs"]
mod capacity_blocks;
#[path = "capacity_crashes/mod.rs"]
mod capacity_crashes;
#[path = "capacity_limits/mod.rs"]
mod capacity_limits;
#[path = "capacity_state/mod.rs"]
mod capacity_state;
#[path = "../tests/control_kit/mod.rs"]
mod control_kit;

use std::time::Instant;

/// Returns the intercept and the slope of the least-squares line through `points`.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let numerator: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let denominator: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = numerator / denominator;
    (mean_y - slope * mean_x, slope)
}

/// Prints the measured points and the line fitted to them.
fn print_fit(name: &str, unit: &str, points: &[(f64, f64)]) {
    let (intercept, slope) = fit(points);
    let listed: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.2}")).collect();
    println!(
        "{name:<44} {unit:<14} {intercept:>12.3} + {slope:>12.6} * n   [{}]",
        listed.join(", ")
    );
}

/// Runs `work` several times and returns the shortest run in microseconds.
fn min_micros(times: usize, mut work: impl FnMut()) -> f64 {
    let mut run = || {
        let start = Instant::now();
        work();
        start.elapsed().as_secs_f64() * 1e6
    };
    (0..times).map(|_| run()).fold(f64::MAX, f64::min)
}

/// Returns the resident memory of this process, assuming pages of 4 KiB.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4_096.0
}

/// Returns the CPU time of this process in microseconds. The kernel counts it in
/// ticks of 10 ms.
fn cpu_micros() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(12) + ticks(13)) * 10_000.0
}

fn main() {
    let selected = std::env::args().skip(1).find(|a| !a.starts_with("--"));
    let is_selected = |name: &str| selected.as_deref().is_none_or(|o| o == name);
    println!(
        "{:<44} {:<14} {:>12}   {:>12}       [n: measured]",
        "cost", "unit", "intercept", "slope"
    );
    if is_selected("blocks") {
        capacity_blocks::measure();
    }
    if is_selected("crashes") {
        capacity_crashes::measure();
    }
    if is_selected("limits") {
        capacity_limits::measure();
    }
    if is_selected("state") {
        capacity_state::measure();
    }
}
