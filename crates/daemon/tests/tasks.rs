//! Background tasks that have ended.

use pomelovaled::tasks::{has_panicked, until_ended};
use tokio::task::JoinSet;

/// Guards against a process that serves on without one of its tasks.
#[tokio::test]
async fn panic_of_a_task_is_noticed_and_its_end_is_not() {
    let mut tasks = JoinSet::new();
    tasks.spawn(async {});
    tokio::task::yield_now().await;
    assert!(!has_panicked(&mut tasks));
    tasks.spawn(async { panic!("a test") });
    let ended = until_ended(|| has_panicked(&mut tasks).then_some("a task"));
    assert_eq!(ended.await, "a task");
}
