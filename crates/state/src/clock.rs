//! Time in whole milliseconds, from a monotonic or a manual source.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

use serde::{Deserialize, Serialize};

/// A point in time or a duration in milliseconds.
///
/// Times read from the clocks of different processes are not comparable. Log time
/// is: it is replicated with each change and continues from the last change when
/// the leader changes. `Change::at`, `Document::time` and `CrashRecord::until` are
/// log times.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Milliseconds passed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The point `ms` milliseconds later.
    pub fn plus(self, ms: u64) -> Millis {
        Millis(self.0.saturating_add(ms))
    }

    /// The point `ms` milliseconds earlier, not before zero.
    pub fn minus(self, ms: u64) -> Millis {
        Millis(self.0.saturating_sub(ms))
    }

    /// Converts to a [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// The time source of a process.
#[derive(Clone, Debug)]
pub enum Clock {
    /// Moves only by [`Clock::advance`]; for tests and simulations.
    Manual(Arc<AtomicU64>),
    /// Time since the creation of the clock, including time in which the host is
    /// suspended: a lease or a freshness proof must not outlive a suspension.
    Monotonic(Duration),
}

impl Clock {
    /// A clock that follows the operating system's monotonic time.
    pub fn monotonic() -> Clock {
        Clock::Monotonic(since_boot())
    }

    /// A clock that starts at zero and is advanced by hand.
    pub fn manual() -> Clock {
        Clock::Manual(Arc::new(AtomicU64::new(0)))
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        match self {
            Clock::Manual(at) => Millis(at.load(Ordering::SeqCst)),
            Clock::Monotonic(start) => {
                Millis(since_boot().saturating_sub(*start).as_millis() as u64)
            }
        }
    }

    /// Moves a manual clock forward; a monotonic clock ignores the call.
    pub fn advance(&self, ms: u64) {
        if let Clock::Manual(at) = self {
            at.fetch_add(ms, Ordering::SeqCst);
        }
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
