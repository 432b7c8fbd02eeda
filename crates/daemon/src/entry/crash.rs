//! Requests that were in flight when a backend server crashed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pomelovale_state::command::{Applied, Command, QUARANTINE_CRASHES};
use pomelovale_state::document::{Digest, Document};
use pomelovale_state::{Millis, Name};
use pomelovale_steering::quarantine::Quarantine;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Shared;

// Delay before a server whose connection was cut is probed, and the time for which
// the probe connection must stay open: a terminating process closes its connections
// and its listener one by one.
const SETTLE_MS: u64 = 25;
const VIEW_POLL_MS: u64 = 5;

/// Returns the SHA-256 of method, path with query, and body.
pub fn fingerprint(method: &str, target: &str, body: &[u8]) -> Digest {
    Digest::of(&[method.as_bytes(), target.as_bytes(), body])
}

#[derive(Debug, Default)]
struct Inner {
    own: Quarantine,
    // Time in the document, and the local time at which it was first seen.
    log_time: Millis,
    first_seen: Millis,
}

/// Tracks crashes that this instance observed, besides those in the document.
#[derive(Debug, Default)]
pub struct CrashTracker {
    inner: Mutex<Inner>,
}

impl CrashTracker {
    /// Whether a request was in flight at too many crashes and must not run. The
    /// fingerprint is only computed when there is a crash to compare it with.
    pub fn is_blocked(
        &self,
        document: &Document,
        now: Millis,
        fingerprint: impl FnOnce() -> Digest,
    ) -> bool {
        let mut inner = self.lock();
        if document.crashes.is_empty() && inner.own.is_empty() {
            return false;
        }
        if document.time > inner.log_time {
            (inner.log_time, inner.first_seen) = (document.time, now);
        }
        let log_now = inner.log_time.plus(now.since(inner.first_seen));
        let fingerprint = fingerprint();
        let shared = document
            .crashes
            .get(&fingerprint)
            .filter(|b| log_now < b.until)
            .map_or(&[][..], |b| b.crashed.as_slice());
        let own = inner.own.servers(now, &fingerprint);
        let unrecorded = own.iter().filter(|name| !shared.contains(name)).count();
        shared.len() + unrecorded >= QUARANTINE_CRASHES
    }

    /// Keeps a crash until the control instances have recorded it.
    pub fn record(&self, now: Millis, fingerprint: Digest, server: &Name) {
        self.lock().own.record_crash(now, fingerprint, server);
    }

    /// Whether a request was in flight at any crash. The fingerprint is only
    /// computed when there is a crash to compare it with.
    pub fn is_suspect(
        &self,
        document: &Document,
        now: Millis,
        fingerprint: impl FnOnce() -> Digest,
    ) -> bool {
        let inner = self.lock();
        if document.crashes.is_empty() && inner.own.is_empty() {
            return false;
        }
        let fingerprint = fingerprint();
        document.crashes.contains_key(&fingerprint) || inner.own.is_suspect(now, &fingerprint)
    }

    /// Removes the crashes of a request that only this instance has recorded.
    pub fn forget(&self, fingerprint: &Digest) {
        self.lock().own.forget(fingerprint);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while held")
    }
}

/// Whether a server whose connection was cut no longer accepts connections.
pub async fn is_down(address: SocketAddr, limit: Duration) -> bool {
    let settle = Millis(SETTLE_MS).duration();
    tokio::time::sleep(settle).await;
    match timeout(limit, TcpStream::connect(address)).await {
        // The listener of a terminating process may still complete a handshake.
        Ok(Ok(mut stream)) => {
            let mut byte = [0];
            timeout(settle, stream.read(&mut byte)).await.is_ok()
        }
        Ok(Err(_)) | Err(_) => true,
    }
}

/// Records a crash with the control instances and waits for it to reach this
/// instance's view, before the request is retried or answered, so that a repeat
/// through another instance already counts it.
pub async fn report(shared: &Arc<Shared>, fingerprint: Digest, server: &Name) {
    shared
        .crashes
        .record(shared.clock.now(), fingerprint, server);
    metrics::counter!("entry_backend_crashes_total").increment(1);
    let command = Command::RecordCrash {
        fingerprint,
        backend: server.clone(),
    };
    let Ok(Applied::Accepted { version, .. }) = shared.propose(command).await else {
        return;
    };
    let in_view = async {
        while shared.view.document().version < version {
            tokio::time::sleep(Millis(VIEW_POLL_MS).duration()).await;
        }
    };
    let limit = Millis(shared.config.spread_ms).duration();
    if timeout(limit, in_view).await.is_ok() {
        shared.crashes.forget(&fingerprint);
    }
}

/// Clears the crash record of a request that was in flight at a crash and has
/// completed since. Otherwise, popular lookups that are in flight when a failure domain is lost
/// would be refused by all instances.
pub fn clear(shared: &Arc<Shared>, fingerprint: Digest) {
    shared.crashes.forget(&fingerprint);
    if !shared.view.document().crashes.contains_key(&fingerprint) {
        return;
    }
    metrics::counter!("entry_crashes_cleared_total").increment(1);
    let clearing = shared.clone();
    shared.spawn(async move {
        let _ = clearing.propose(Command::ClearCrash(fingerprint)).await;
    });
}
