//! An instance's view of the document and the age of its proof.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use arc_swap::ArcSwap;
use pomelovale_state::document::Document;
use pomelovale_state::Millis;

/// Oldest view of keys that serves keyed requests. An accepted revocation is
/// therefore in force within this time, even on instances that are cut off.
pub const KEY_VIEW_AGE_MAX_MS: u64 = 4_000;

/// The document as of a moment that a control instance proved.
///
/// The value `u64::MAX` of `proven` means that nothing was proven yet.
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

    /// Replaces the document; an older version is ignored.
    pub fn publish(&self, document: Document) {
        if document.version >= self.document.load().version {
            self.document.store(Arc::new(document));
        }
    }

    /// Records that the document is complete as of `at` on the local clock.
    pub fn prove(&self, at: Millis) {
        let later = |old: u64| (old == u64::MAX || old < at.0).then_some(at.0);
        let _ = self
            .proven
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, later);
    }

    /// Age of the proof in milliseconds; `u64::MAX` before the first one.
    pub fn age(&self, now: Millis) -> u64 {
        match self.proven.load(Ordering::Acquire) {
            u64::MAX => u64::MAX,
            at => now.since(Millis(at)),
        }
    }

    /// Whether keyed requests may be served.
    pub fn serves_keys(&self, now: Millis) -> bool {
        self.age(now) <= KEY_VIEW_AGE_MAX_MS
    }
}
