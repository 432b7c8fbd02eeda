//! Times at which the unprocessed bytes of a connection were received.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time within which received bytes count as one part. It limits the number of parts.
const PART: Duration = Duration::from_millis(10);

/// The parts of the pending bytes and when they were received.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    parts: VecDeque<(usize, Instant)>,
}

impl Arrivals {
    /// Parts that arrive within `PART` are recorded as one.
    pub(crate) fn push(&mut self, bytes: usize, now: Instant) {
        match self.parts.back_mut() {
            Some((n, at)) if now.duration_since(*at) < PART => *n += bytes,
            Some(_) | None => self.parts.push_back((bytes, now)),
        }
    }

    /// Removes the first bytes, and returns when the last of them was received.
    pub(crate) fn take(&mut self, bytes: usize) -> Instant {
        let mut left = bytes;
        while let Some((n, at)) = self.parts.front_mut() {
            if *n > left {
                *n -= left;
                return *at;
            }
            left -= *n;
            let at = *at;
            self.parts.pop_front();
            if left == 0 {
                return at;
            }
        }
        Instant::now()
    }
}
