//! Measurement of the time for which the runtime is kept from running its tasks.

use std::thread;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use pomelovaled::runtime_delay;
use tokio::time::sleep;

fn value(text: &str, name: &str) -> u64 {
    let mut lines = text.lines().filter_map(|l| l.strip_prefix(name));
    let value = lines.find_map(|l| l.trim().parse::<f64>().ok());
    value.unwrap_or_default() as u64
}

/// Guards against a stall of the process that leaves no trace in its metrics.
#[tokio::test]
async fn stall_is_measured() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let metrics = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    tokio::spawn(runtime_delay::watch());
    sleep(Duration::from_millis(100)).await;
    thread::sleep(Duration::from_millis(400));
    sleep(Duration::from_millis(1_000)).await;
    let text = metrics.render();
    assert!(value(&text, "runtime_delay_ms ") >= 300, "{text}");
    assert_eq!(value(&text, "runtime_delays_total "), 1);
}
