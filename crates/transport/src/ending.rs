//! Counts and logs the ends of callers' connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use pomelovale_state::clock::Millis;

use crate::http_server::Shared;
use crate::link::Link;

// Maximum number of log lines per second, separately for connections that end with
// and without requests in progress.
const LINES_PER_S: u64 = 5;

macro_rules! causes {
    ($($(#[$doc:meta])* $cause:ident => $label:literal,)*) => {
        /// Why a connection ends.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum Cause { $($(#[$doc])* $cause,)* }

        impl Cause {
            /// Label in metrics and logs.
            pub(crate) fn as_str(self) -> &'static str {
                match self { $(Cause::$cause => $label,)* }
            }
        }
    };
}

causes! {
    /// Its task was dropped, as at the end of the process.
    Aborted => "aborted",
    /// The caller closed it.
    Caller => "caller-closed",
    /// It was closed in favour of a new one.
    Evicted => "evicted",
    /// It was refused at the limit on connections.
    Full => "full",
    /// A request head was not received in time.
    HeadTimeout => "head-timeout",
    /// There was no request for the idle timeout.
    Idle => "idle",
    /// The body of a response broke off.
    Incomplete => "incomplete-response",
    /// Reading or writing failed.
    Io => "io-error",
    /// A request is malformed.
    Protocol => "protocol-error",
    /// A request asked for the close.
    Request => "asked-by-request",
    /// A response asked for the close.
    Response => "asked-by-response",
    /// The server stops.
    Stop => "stop",
    /// A response was sent before the body of its request was read.
    Unread => "unread-body",
}

#[derive(Debug, Default)]
struct Budget {
    // Second for which lines are counted, and their number.
    second: u64,
    lines: u64,
    suppressed: u64,
}

impl Budget {
    // Returns the number of lines that were suppressed since the last one, or `None`
    // if this one is.
    fn take(&mut self, now: Millis) -> Option<u64> {
        let second = now.0 / 1_000;
        if second != self.second {
            (self.second, self.lines) = (second, 0);
        }
        if self.lines == LINES_PER_S {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Limits the log lines on the connections of one server.
#[derive(Debug, Default)]
pub(crate) struct EndLog {
    broken: Mutex<Budget>,
    other: Mutex<Budget>,
}

/// Reports the end of a connection when it is dropped.
pub(crate) struct EndReport {
    pub(crate) shared: Arc<Shared>,
    pub(crate) link: Option<Arc<Link>>,
    pub(crate) address: SocketAddr,
    pub(crate) opened: Millis,
    pub(crate) cause: Cause,
}

impl Drop for EndReport {
    fn drop(&mut self) {
        let cause = self.cause.as_str();
        let (started, answered) = self.link.as_ref().map_or((0, 0), |l| l.counts());
        let in_progress = started - answered;
        metrics::counter!("caller_connections_ended_total", "cause" => cause).increment(1);
        metrics::counter!("caller_requests_unanswered_total", "cause" => cause)
            .increment(in_progress);
        let log = &self.shared.end_log;
        let budget = match in_progress {
            0 => &log.other,
            _ => &log.broken,
        };
        let now = self.shared.now();
        let Some(suppressed) = budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(now)
        else {
            return;
        };
        let age_ms = now.since(self.opened);
        tracing::info!(event = "connection-ended", cause, caller = %self.address, in_progress,
            answered, age_ms, suppressed);
    }
}
