//! What the event loop of a control instance is busy with.

use std::fmt::Write;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pomelovale_state::command::Command;
use pomelovale_state::{Clock, Millis};

/// Interval of the log lines, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;
/// Changes in one interval from which a line is logged.
const LOGGED_CHANGES: u64 = 25;
/// Length of the queue of messages from which a line is logged.
const LOGGED_QUEUE: usize = 256;
/// Duration of one pass of the loop from which a line is logged.
const LOGGED_PASS: Duration = Duration::from_millis(100);

/// Counts of the current interval.
#[derive(Debug)]
pub(super) struct LoopStats {
    since: Millis,
    pass_start: Instant,
    longest_pass: Duration,
    queue_max: usize,
    changes: IndexMap<&'static str, u64>,
}

impl LoopStats {
    pub(super) fn new(clock: &Clock) -> LoopStats {
        LoopStats {
            since: clock.now(),
            pass_start: Instant::now(),
            longest_pass: Duration::ZERO,
            queue_max: 0,
            changes: IndexMap::new(),
        }
    }

    /// Counts an applied change of the document.
    pub(super) fn record_change(&mut self, command: &Command) {
        let kind = kind(command);
        metrics::counter!("document_changes_total", "kind" => kind).increment(1);
        *self.changes.entry(kind).or_default() += 1;
    }

    /// Starts a pass of the loop with this many messages in its queue.
    pub(super) fn begin_pass(&mut self, queued: usize) {
        self.pass_start = Instant::now();
        self.queue_max = self.queue_max.max(queued);
    }

    /// Ends a pass, and logs the interval if it is over and was busy.
    pub(super) fn end_pass(&mut self, now: Millis) {
        self.longest_pass = self.longest_pass.max(self.pass_start.elapsed());
        if now.since(self.since) < LOG_INTERVAL_MS {
            return;
        }
        metrics::gauge!("control_queue_messages").set(self.queue_max as f64);
        metrics::gauge!("control_pass_ms").set(self.longest_pass.as_millis() as f64);
        let changes: u64 = self.changes.values().sum();
        if changes >= LOGGED_CHANGES
            || self.queue_max >= LOGGED_QUEUE
            || self.longest_pass >= LOGGED_PASS
        {
            let (queue, pass_ms) = (self.queue_max, self.longest_pass.as_millis() as u64);
            tracing::info!(
                event = "control-load",
                changes,
                kinds = self.kinds(),
                queue,
                pass_ms
            );
        }
        self.since = now;
        self.longest_pass = Duration::ZERO;
        self.queue_max = 0;
        self.changes.clear();
    }

    fn kinds(&self) -> String {
        let mut text = String::new();
        for (kind, count) in &self.changes {
            let _ = write!(text, "{kind}={count} ");
        }
        text.truncate(text.trim_end().len());
        text
    }
}

fn kind(command: &Command) -> &'static str {
    match command {
        Command::Batch(_) => "batch",
        Command::RecordCrash { .. } => "crash",
        Command::ClearCrash(_) => "clear-crash",
        Command::PutBackend { .. } | Command::RemoveBackend(_) | Command::SetBackend { .. } => {
            "server"
        }
        Command::PutInstance { .. } | Command::RemoveInstance(_) | Command::SetInstance { .. } => {
            "instance"
        }
        Command::ReplaceRouting { .. } => "routing",
        Command::SetServerLimits(_) => "limits",
        Command::EvacuateDomain(_) | Command::ReadmitDomain(_) => "evacuation",
        _ => "other",
    }
}
