//! An instance's copy of the document, and the time since a control instance
//! confirmed in a proof message that the copy is current.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use arc_swap::ArcSwap;
use pomelovale_state::document::Document;
use pomelovale_state::Millis;

/// Largest age of a view that may serve keyed requests. An accepted revocation
/// therefore takes effect within this time, even on instances that are cut off.
pub const KEY_VIEW_AGE_MAX_MS: u64 = 4_000;

/// The document, and the latest time at which a control instance confirmed that
/// it was complete.
///
/// `proven` is `u64::MAX` until the first confirmation.
#[derive(Debug)]
pub struct View {
    document: ArcSwap<Document>,
    proven: AtomicU64,
}

impl Default for View {
    fn default() -> View {
        View {
            document: ArcSwap::from_pointee(Document::default()),
            proven: AtomicU64::new(u64::MAX),
        }
    }
}

impl View {
    /// The current document.
    pub fn document(&self) -> Arc<Document> {
        self.document.load_full()
    }

    /// Replaces the document unless the new one has an older version.
    pub fn publish(&self, document: Document) {
        if document.version >= self.document.load().version {
            self.document.store(Arc::new(document));
        }
    }

    /// Records a confirmation that the document was complete at `at` on the local
    /// clock.
    pub fn prove(&self, at: Millis) {
        let later = |old: u64| (old == u64::MAX || old < at.0).then_some(at.0);
        let _ = self
            .proven
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, later);
    }

    /// Time since the latest confirmation in milliseconds; `u64::MAX` before the
    /// first one.
    pub fn age(&self, now: Millis) -> u64 {
        match self.proven.load(Ordering::Acquire) {
            u64::MAX => u64::MAX,
            at => now.since(Millis(at)),
        }
    }

    /// Whether the view is recent enough to serve keyed requests.
    pub fn is_fresh_for_keys(&self, now: Millis) -> bool {
        self.age(now) <= KEY_VIEW_AGE_MAX_MS
    }
}
