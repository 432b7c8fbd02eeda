//! The thread that writes and syncs the log files of a control instance.

use std::thread;

use pomelovale_coordination::log::{DirectoryLock, Event, Persist, Storage};
use pomelovale_protocol::format::Format;

enum Write {
    Persist(Persist),
    Seal(Format),
}

/// Handle that queues writes for the thread; dropping it ends the thread.
pub(super) struct LogWriter {
    writes: flume::Sender<Write>,
    /// One event for each synced write; disconnected after a failed one.
    pub(super) synced: flume::Receiver<Event>,
}

impl LogWriter {
    /// Starts the thread. The returned channel is disconnected when the thread
    /// has ended and released the lock of the directory.
    pub(super) fn start(storage: Storage, lock: DirectoryLock) -> (LogWriter, flume::Receiver<()>) {
        let (writes, queued) = flume::unbounded();
        let (done, synced) = flume::unbounded();
        let (running, ended) = flume::bounded(0);
        thread::spawn(move || {
            write_all(storage, &queued, &done);
            drop((lock, running));
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

// A failed write or sync ends the thread and thereby stops the instance: the
// content of a file is unknown after a failed sync.
fn write_all(mut storage: Storage, queued: &flume::Receiver<Write>, done: &flume::Sender<Event>) {
    for write in queued {
        let written = match &write {
            Write::Persist(persist) => storage.write(persist).and_then(|()| storage.sync()),
            Write::Seal(format) => storage.seal(*format),
        };
        let event = match (written, write) {
            (Ok(()), Write::Persist(persist)) => persist.done(),
            (Ok(()), Write::Seal(_)) => continue,
            (Err(e), _) => {
                log::error!("can't write the log, stopping this control instance: {e:?}");
                return;
            }
        };
        if done.send(event).is_err() {
            return;
        }
    }
}
