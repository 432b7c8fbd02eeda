//! The thread that writes and syncs the log of a control instance.

use std::thread;

use pomelovale_coordination::log::{DirectoryLock, Event, Persist, Storage};

/// Sends writes to the thread; the thread ends when this is dropped.
pub(super) struct LogWriter {
    writes: flume::Sender<Persist>,
    /// One event for each synced write; closed after a failure.
    pub(super) synced: flume::Receiver<Event>,
}

impl LogWriter {
    /// Also returns a channel that is disconnected when the thread ends.
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

// A failed write or sync ends the thread, and with it the instance: after a
// failed sync the content of the file is unknown.
fn write_all(mut storage: Storage, queued: &flume::Receiver<Persist>, done: &flume::Sender<Event>) {
    for persist in queued {
        let written = storage.write(&persist).and_then(|()| storage.sync());
        if let Err(e) = written {
            log::error!("the log can't be written, this instance stops: {e:?}");
            return;
        }
        if done.send(persist.done()).is_err() {
            return;
        }
    }
}
