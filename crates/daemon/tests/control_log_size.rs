//! The size of the log of control instances on disk, after many large changes.

mod control_kit;

use std::fs;
use std::sync::Arc;

use control_kit::{change, until, Cluster};
use pomelovale_state::command::{Applied, Command};
use pomelovale_state::routing::Routing;

const CHANGES: u64 = 100;
const TABLE_BYTES: usize = 200_000;
/// `snapshot_bytes`, and what is applied while a snapshot is encoded and written.
const LOG_MAX_BYTES: u64 = 14 * 1024 * 1024;

/// Guards against a log that keeps some thousands of large routing tables, so that no
/// control instance has the memory to start again.
#[tokio::test(flavor = "multi_thread")]
async fn log_of_large_changes_is_bounded() {
    let limits = Default::default();
    let cluster = Cluster::start_limited(3, 0, Vec::new(), limits).await;
    for version in 1..=CHANGES {
        let routing = Routing {
            version,
            ..Routing::default()
        };
        let source = format!("{version}{}", " ".repeat(TABLE_BYTES));
        let command = Command::ReplaceRouting {
            base: version - 1,
            routing: Arc::new(routing),
            source: Arc::from(source),
        };
        let i = version as usize % 3;
        let applied = cluster.propose(i, change(&format!("table-{version}"), command));
        assert!(matches!(applied.await, Applied::Accepted { .. }));
    }
    for i in 0..3 {
        let path = cluster.config(i).directory.join("log");
        until("the log is compacted", || {
            fs::metadata(&path).is_ok_and(|m| m.len() < LOG_MAX_BYTES)
        })
        .await;
    }
}
