//! Timeouts that do not count the time during which this process stood still.
//!
//! After a stall, a timer wakes its task in the same turn as the socket that holds the
//! reply, but the reply may have to pass through other tasks first.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::{timeout_at, Instant};

/// Lateness of a timer from which this process is taken to have stood still.
const STALL: Duration = Duration::from_millis(30);
/// Number of steps in which a timeout is waited for, and the maximum number of steps if
/// some of them are late.
const STEPS: (u32, u32) = (4, 8);

/// The time limit has passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Elapsed;

/// Waits for a message of a peer up to `limit`, which is prolonged if this process stands
/// still meanwhile. A step that ends late does not count, so that at least a fourth of the
/// limit is left for the message after a stall.
///
/// # Errors
/// There is no message in time.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let (steps, steps_max) = STEPS;
    let mut left = steps;
    for _ in 0..steps_max {
        let due = Instant::now() + limit / steps;
        match timeout_at(due, future.as_mut()).await {
            Ok(output) => return Ok(output),
            Err(_) if due.elapsed() >= STALL => continue,
            Err(_) => left -= 1,
        }
        if left == 0 {
            break;
        }
    }
    Err(Elapsed)
}
