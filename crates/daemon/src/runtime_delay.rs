//! Measures for how long the runtime is kept from running its tasks.

use std::time::Duration;

use tokio::time::{sleep_until, Instant};

/// Interval at which a task is due.
const STEP: Duration = Duration::from_millis(50);
/// Interval at which the longest delay is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay from which an interval is logged.
const LOGGED: Duration = Duration::from_millis(100);

/// Reports the longest delay of each interval, until the task is aborted.
pub async fn watch() {
    let mut longest = Duration::ZERO;
    let mut reported = Instant::now();
    loop {
        let due = Instant::now() + STEP;
        sleep_until(due).await;
        longest = longest.max(due.elapsed());
        if reported.elapsed() < REPORT_INTERVAL {
            continue;
        }
        let delay_ms = longest.as_millis() as u64;
        metrics::gauge!("runtime_delay_ms").set(delay_ms as f64);
        if longest >= LOGGED {
            metrics::counter!("runtime_delays_total").increment(1);
            tracing::info!(event = "runtime-delay", delay_ms);
        }
        (longest, reported) = (Duration::ZERO, Instant::now());
    }
}
