//! The head timeout and the idle timeout of a connection.

use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use pomelovale_state::clock::Millis;
use tokio::time::{sleep_until, Instant, Sleep};

use crate::http_server::Timeouts;

/// Time for which the previous idle timeout holds on after a shorter one was set, in
/// milliseconds. Callers learn of the change later and reuse connections until then.
const SHORTENED_MS: u64 = 1_000;

/// A timeout that has passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Expired {
    Head,
    Idle,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Waiting {
    /// For a response; no timeout runs.
    Answer,
    /// For the rest of a request head.
    Head,
    /// For a request.
    Request,
}

/// One timer for both timeouts.
#[derive(Debug)]
pub(crate) struct Timers {
    origin: Instant,
    timeouts: Timeouts,
    // When the timeouts changed, and the idle timeout before.
    changed: Millis,
    previous: u64,
    waiting: Waiting,
    // Start of the current head, or of the idle time.
    since: Millis,
    // Armed for a deadline that may be earlier than the current one, so that it is
    // not reset at each request.
    sleep: Pin<Box<Sleep>>,
    armed: Millis,
}

impl Timers {
    /// Starts the idle time of a new connection. `origin` is the origin of all times.
    pub(crate) fn new(origin: Instant, now: Millis, timeouts: Timeouts) -> Timers {
        let armed = now.plus(timeouts.idle_ms);
        Timers {
            origin,
            timeouts,
            changed: Millis(0),
            previous: 0,
            waiting: Waiting::Request,
            since: now,
            sleep: Box::pin(sleep_until(origin + armed.duration())),
            armed,
        }
    }

    /// Changes the timeouts, with effect on the current idle time or head.
    pub(crate) fn set(&mut self, now: Millis, timeouts: Timeouts) {
        self.previous = match now.since(self.changed) < SHORTENED_MS {
            true => self.previous.max(self.timeouts.idle_ms),
            false => self.timeouts.idle_ms,
        };
        (self.changed, self.timeouts) = (now, timeouts);
    }

    /// Records what the connection waits for since `since`.
    pub(crate) fn wait_for(&mut self, waiting: Waiting, since: Millis) {
        (self.waiting, self.since) = (waiting, since);
    }

    fn deadline(&self) -> Option<(Millis, Expired)> {
        let idle = || {
            let previous = self.since.plus(self.previous);
            let held = previous.min(self.changed.plus(SHORTENED_MS));
            self.since.plus(self.timeouts.idle_ms).max(held)
        };
        match self.waiting {
            Waiting::Answer => None,
            Waiting::Head => Some((self.since.plus(self.timeouts.head_ms), Expired::Head)),
            Waiting::Request => Some((idle(), Expired::Idle)),
        }
    }

    /// Waits until a timeout has passed.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Expired> {
        loop {
            let Some((deadline, expired)) = self.deadline() else {
                return Poll::Pending;
            };
            if deadline < self.armed {
                self.arm(deadline);
            }
            ready!(self.sleep.as_mut().poll(cx));
            if self.armed >= deadline {
                return Poll::Ready(expired);
            }
            self.arm(deadline);
        }
    }

    /// Waits until `end`, whatever the timeouts.
    pub(crate) fn poll_until(&mut self, cx: &mut Context<'_>, end: Millis) -> Poll<()> {
        if self.armed != end {
            self.arm(end);
        }
        self.sleep.as_mut().poll(cx)
    }

    fn arm(&mut self, deadline: Millis) {
        let at = self.origin + deadline.duration();
        self.sleep.as_mut().reset(at);
        self.armed = deadline;
    }
}
