//! Background tasks that a process can't do without.

use std::time::Duration;

use tokio::task::JoinSet;

/// Interval at which the parts of a process are checked.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Whether one of the tasks has ended by a panic.
pub fn has_panicked(tasks: &mut JoinSet<()>) -> bool {
    while let Some(ended) = tasks.try_join_next() {
        if ended.is_err() {
            return true;
        }
    }
    false
}

/// Checks every [`CHECK_INTERVAL`] until `check` names a part that has ended.
pub async fn until_ended(mut check: impl FnMut() -> Option<&'static str>) -> &'static str {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if let Some(part) = check() {
            return part;
        }
    }
}
