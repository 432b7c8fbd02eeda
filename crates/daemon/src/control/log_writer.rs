//! The thread that writes and syncs the log files of a control instance.

use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use error_stack::Report;
use pomelovale_coordination::log::{DirectoryLock, Event, Persist, Storage};
use pomelovale_protocol::format::Format;
use pomelovale_state::ErrorKind;

use super::Fault;

/// Pause before a failed write is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a failed write is repeated. A disk that is full or faulty for a few
/// seconds doesn't end the process, which still serves reads and distributes changes.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);

enum Write {
    Persist(Persist),
    Seal(Format),
}

/// Handle that queues writes for the thread; dropping it ends the thread.
pub(super) struct LogWriter {
    writes: flume::Sender<Write>,
    /// One event for each synced write; disconnected once the thread has ended.
    pub(super) synced: flume::Receiver<Event>,
}

impl LogWriter {
    /// Starts the thread. It sets `fault` if it ends because of a write that still fails
    /// after the time for repeating it. The returned channel is disconnected when the
    /// thread has ended and released the lock of the directory.
    pub(super) fn start(
        storage: Storage,
        lock: DirectoryLock,
        fault: Arc<OnceLock<Fault>>,
    ) -> (LogWriter, flume::Receiver<()>) {
        let (writes, queued) = flume::unbounded();
        let (done, synced) = flume::unbounded();
        let (running, ended) = flume::bounded(0);
        thread::spawn(move || {
            if let Err(error) = write_all(storage, &queued, &done) {
                let _ = fault.set(Fault::of(&error));
            }
            drop((lock, done, running));
        });
        (LogWriter { writes, synced }, ended)
    }

    pub(super) fn write(&self, persist: Persist) {
        let _ = self.writes.send(Write::Persist(persist));
    }

    /// Seals the directory before later writes; see [`Storage::seal`].
    pub(super) fn seal(&self, format: Format) {
        let _ = self.writes.send(Write::Seal(format));
    }
}

fn write_all(
    mut storage: Storage,
    queued: &flume::Receiver<Write>,
    done: &flume::Sender<Event>,
) -> Result<(), Report<ErrorKind>> {
    for write in queued {
        let event = match write {
            Write::Persist(persist) => {
                storage.write(&persist)?;
                repeat(queued, || storage.sync())?;
                persist.done()
            }
            Write::Seal(format) => {
                repeat(queued, || storage.seal(format))?;
                continue;
            }
        };
        if done.send(event).is_err() {
            break;
        }
    }
    Ok(())
}

// Repeats a write until it succeeds, the time for it has passed, or the instance is
// stopping.
fn repeat(
    queued: &flume::Receiver<Write>,
    mut write: impl FnMut() -> Result<(), Report<ErrorKind>>,
) -> Result<(), Report<ErrorKind>> {
    let start = Instant::now();
    let mut failures = 0u64;
    loop {
        let error = match write() {
            Ok(()) if failures == 0 => return Ok(()),
            Ok(()) => {
                let spent_ms = start.elapsed().as_millis() as u64;
                log::info!("the log is written after {failures} failed attempts and {spent_ms} ms");
                return Ok(());
            }
            Err(error) => error,
        };
        if failures == 0 {
            log::warn!("can't write the log, trying again: {error:?}");
        }
        failures += 1;
        metrics::counter!("log_write_failures_total").increment(1);
        if start.elapsed() >= RETRY_TIMEOUT || queued.is_disconnected() {
            return Err(error);
        }
        thread::sleep(RETRY_PAUSE);
    }
}
