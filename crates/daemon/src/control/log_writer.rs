//! The thread that writes and syncs the log files of a control instance.

use std::thread;

use pomelovale_coordination::log::{DirectoryLock, Event, Persist, Storage};

/// Handle that queues writes for the thread; dropping it ends the thread.
pub(super) struct LogWriter {
    writes: flume::Sender<Persist>,
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
        let _ = self.writes.send(persist);
    }
}

// A failed write or sync ends the thread and thereby stops the instance: the
// content of a file is unknown after a failed sync.
fn write_all(mut storage: Storage, queued: &flume::Receiver<Persist>, done: &flume::Sender<Event>) {
    for persist in queued {
        let written = storage.write(&persist).and_then(|()| storage.sync());
        if let Err(e) = written {
            log::error!("can't write the log, stopping this control instance: {e:?}");
            return;
        }
        if done.send(persist.done()).is_err() {
            return;
        }
    }
}
