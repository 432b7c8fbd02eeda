//! The grace period of a stop: requests that may outlast it are refused as they arrive in its
//! second half. At its end, those that no server was sent are refused, the others are waited
//! for and answered before the process ends.

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

use pomelovale_state::ErrorKind;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::entry::refusal::Refusal;

/// Part of the grace period after which a request must be finished by the end of that period.
/// Callers have been told to leave since the start of the stop, so that few come later.
const LATE_SHARE: f64 = 0.5;
/// Part of the grace period after which no request is sent to a server any more.
const SERVING_SHARE: f64 = 5.0 / 6.0;
/// Time before the end of the grace period at which requests at a server are answered, so
/// that the answer is written.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// The same as a part of the grace period, if that is shorter.
const ANSWER_SHARE: f64 = 0.05;
/// Time after which a refused request may succeed, in milliseconds. Callers go to other
/// instances, which serve it at once.
const RETRY_MS: u64 = 100;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Phase {
    Serving,
    Refusing,
    Answering,
}

/// Whether a server may be at work on a request, or have run it.
#[derive(Debug, Default)]
pub(super) struct Sent(AtomicBool);

impl Sent {
    pub(super) fn set(&self, sent: bool) {
        self.0.store(sent, Ordering::Relaxed);
    }

    pub(super) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The times of a stop.
#[derive(Debug)]
struct Schedule {
    /// From when on requests are late.
    late: Instant,
    /// From when on no request is sent to a server.
    refusing: Instant,
    /// When the requests that servers are still at work on are answered.
    answering: Instant,
}

/// Ends the requests of a stopping gateway.
#[derive(Debug)]
pub(super) struct Stopping {
    schedule: OnceLock<Schedule>,
    phase: watch::Sender<Phase>,
    refused: AtomicU64,
    unknown: AtomicU64,
}

impl Stopping {
    pub(super) fn new() -> Stopping {
        Stopping {
            schedule: OnceLock::new(),
            phase: watch::Sender::new(Phase::Serving),
            refused: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
        }
    }

    /// Begins a stop.
    pub(super) fn begin(&self, start: Instant, grace: Duration) {
        let left = ANSWER_TIME.min(grace.mul_f64(ANSWER_SHARE));
        let schedule = Schedule {
            late: start + grace.mul_f64(LATE_SHARE),
            refusing: start + grace.mul_f64(SERVING_SHARE),
            answering: start + grace.saturating_sub(left),
        };
        self.schedule.get_or_init(|| schedule);
    }

    /// Follows the grace period of a stop that has begun.
    pub(super) async fn run(&self) {
        let Some(schedule) = self.schedule.get() else {
            return;
        };
        sleep_until(schedule.refusing).await;
        self.phase.send_replace(Phase::Refusing);
        sleep_until(schedule.answering).await;
        self.phase.send_replace(Phase::Answering);
    }

    /// Whether a request that arrived at `start` is late and may take longer than the grace
    /// period. If it were sent, its server could be at work on it when the process ends.
    pub(super) fn may_outlast(&self, start: Instant, deadline: Instant) -> bool {
        let schedule = self.schedule.get();
        schedule.is_some_and(|s| start >= s.late && deadline > s.answering)
    }

    /// Whether other instances are better placed to serve a request that one of them relays.
    pub(super) fn refuses_relays(&self) -> bool {
        let schedule = self.schedule.get();
        schedule.is_some_and(|s| Instant::now() >= s.late)
    }

    /// Whether it is too late to send a request to a server.
    pub(super) fn is_late(&self) -> bool {
        *self.phase.borrow() >= Phase::Refusing
    }

    /// The refusal of a request that came too late, or waited too long, to be sent.
    pub(super) fn refusal(&self) -> Refusal {
        self.refused.fetch_add(1, Ordering::Relaxed);
        Refusal {
            kind: ErrorKind::Unavailable,
            retry_ms: RETRY_MS,
        }
    }

    /// Handles a request until it is answered, or too little of the grace period is left.
    pub(super) async fn limit<T>(
        &self,
        sent: &Sent,
        handling: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        tokio::select! {
            biased;
            ended = handling => ended,
            refusal = self.end(sent) => Err(refusal),
        }
    }

    async fn end(&self, sent: &Sent) -> Refusal {
        self.wait(Phase::Refusing).await;
        if sent.get() {
            self.wait(Phase::Answering).await;
        }
        match sent.get() {
            false => self.refusal(),
            true => {
                self.unknown.fetch_add(1, Ordering::Relaxed);
                ErrorKind::UnknownOutcome.into()
            }
        }
    }

    async fn wait(&self, phase: Phase) {
        // The sender lives as long as this value.
        let _ = self.phase.subscribe().wait_for(|p| *p >= phase).await;
    }

    /// Requests that were refused at the end, and that were answered as unknown.
    pub(super) fn counts(&self) -> (u64, u64) {
        let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (count(&self.refused), count(&self.unknown))
    }
}
