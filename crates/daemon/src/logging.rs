//! Structured log lines on standard output, with a bounded rate.
//!
//! Lines are JSON objects. They are buffered in memory and written by a dedicated
//! thread, so that a stalled reader of standard output does not block the process.
//! When the buffer fills up, lines below the level of warnings are dropped first.
//! The number of dropped lines is logged.

use std::io::{self, Write};
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::Duration;

use tracing::{Level, Metadata};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::EnvFilter;

/// Maximum number of bytes that wait for the writer thread.
const BUFFER_MAX_BYTES: usize = 128 * 1024;
/// Number of waiting bytes above which only warnings and errors are accepted.
const INFO_MAX_BYTES: usize = 96 * 1024;
/// Time for which lines are collected before they are written. Together with
/// [`BUFFER_MAX_BYTES`] it bounds the bytes per second.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time to wait for the last lines at exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Environment variable with the log filter.
const FILTER_VARIABLE: &str = "POMELOVALE_LOG";

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
    // Whether lines that were taken are not written yet.
    writing: bool,
    // Whether the process is about to exit, so that nothing more is collected.
    flushing: bool,
}

#[derive(Debug, Default)]
struct Buffer {
    pending: Mutex<Pending>,
    filled: Condvar,
    written: Condvar,
}

impl Buffer {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, line: &[u8], droppable: bool) {
        let mut pending = self.lock();
        let limit = if droppable {
            INFO_MAX_BYTES
        } else {
            BUFFER_MAX_BYTES
        };
        if pending.bytes.len() + line.len() > limit {
            pending.dropped += 1;
            metrics::counter!("log_lines_dropped_total").increment(1);
            return;
        }
        let first = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line);
        if first {
            self.filled.notify_one();
        }
    }

    fn write_all(&self, mut out: impl Write) {
        loop {
            let pending = self.lock();
            let ready = self.filled.wait_while(pending, |p| p.bytes.is_empty());
            let ready = ready.unwrap_or_else(PoisonError::into_inner);
            let collected = self
                .filled
                .wait_timeout_while(ready, WRITE_INTERVAL, |p| !p.flushing);
            let (mut pending, _) = collected.unwrap_or_else(PoisonError::into_inner);
            let bytes = std::mem::take(&mut pending.bytes);
            let dropped = std::mem::take(&mut pending.dropped);
            pending.writing = true;
            drop(pending);
            let mut written = out.write_all(&bytes);
            if dropped > 0 {
                let note = format!("{{\"event\":\"dropped\",\"lines\":{dropped}}}\n");
                written = written.and_then(|()| out.write_all(note.as_bytes()));
            }
            // If standard output is closed, there is nowhere to report the error.
            let _ = written.and_then(|()| out.flush());
            self.lock().writing = false;
            self.written.notify_all();
        }
    }
}

/// Writer that adds one log line to the buffer.
#[derive(Debug)]
pub struct LineWriter {
    buffer: &'static Buffer,
    droppable: bool,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.buffer.add(bytes, self.droppable);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Debug)]
struct BufferedMakeWriter(&'static Buffer);

impl<'a> MakeWriter<'a> for BufferedMakeWriter {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter {
            buffer: self.0,
            droppable: true,
        }
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> LineWriter {
        LineWriter {
            buffer: self.0,
            droppable: *metadata.level() > Level::WARN,
        }
    }
}

static BUFFER: OnceLock<&'static Buffer> = OnceLock::new();

/// Installs the log subscriber and starts the writer thread. Later calls have no
/// effect.
pub fn start() {
    let buffer: &'static Buffer = Box::leak(Box::default());
    if BUFFER.set(buffer).is_err() {
        return;
    }
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(BufferedMakeWriter(buffer))
        .init();
    thread::spawn(move || buffer.write_all(io::stdout()));
}

/// Writes the buffered lines at once, and waits for that up to a timeout. A process that
/// stops has little time left until it is killed.
pub fn flush() {
    let Some(buffer) = BUFFER.get() else {
        return;
    };
    let mut pending = buffer.lock();
    pending.flushing = true;
    buffer.filled.notify_one();
    let waited = buffer
        .written
        .wait_timeout_while(pending, FLUSH_TIMEOUT, |p| p.writing || !p.bytes.is_empty());
    drop(waited.unwrap_or_else(PoisonError::into_inner));
}
