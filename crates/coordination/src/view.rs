//! An instance's copy of the document, and the time for which a proof of a
//! control instance shows that the copy was current.
//!
//! A proof states that the document contained all accepted changes at some time.
//! The view is then proven as of that time. What is known of the external list of backend
//! servers is kept beside the document, which shows it later.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use pomelovale_protocol::messages::PlanNotice;
use pomelovale_state::document::Document;
use pomelovale_state::Millis;

use crate::server_list::KnownList;

/// Largest age of a view by which API keys may be checked. An accepted revocation
/// of a key therefore takes effect within this time, even on instances that are
/// cut off.
pub const KEY_VIEW_AGE_MAX_MS: u64 = 4_000;

/// The document, and the latest time as of which it is proven.
///
/// `proven` is `u64::MAX` until the first proof.
#[derive(Debug)]
pub struct View {
    document: ArcSwap<Document>,
    proven: AtomicU64,
    list: Mutex<KnownList>,
    plan: Mutex<Option<(Millis, Arc<PlanNotice>)>>,
}

impl Default for View {
    fn default() -> View {
        View {
            document: ArcSwap::from_pointee(Document::default()),
            proven: AtomicU64::new(u64::MAX),
            list: Mutex::default(),
            plan: Mutex::default(),
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

    /// Records a proof that the document was current at `at` on the local clock.
    pub fn prove(&self, at: Millis) {
        let later = |old: u64| (old == u64::MAX || old < at.0).then_some(at.0);
        let _ = self
            .proven
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, later);
    }

    /// Time since the view was last proven current, in milliseconds; `u64::MAX`
    /// before the first proof.
    pub fn age(&self, now: Millis) -> u64 {
        match self.proven.load(Ordering::Acquire) {
            u64::MAX => u64::MAX,
            at => now.since(Millis(at)),
        }
    }

    /// Whether the document was ever proven current. Until then it may be empty, or lack
    /// accepted changes.
    pub fn is_proven(&self) -> bool {
        self.proven.load(Ordering::Acquire) != u64::MAX
    }

    /// Whether the view is recent enough to check the API keys of requests by it.
    pub fn is_fresh_for_keys(&self, now: Millis) -> bool {
        self.age(now) <= KEY_VIEW_AGE_MAX_MS
    }

    /// Sets the plan of the regions, which was received at `now`.
    pub fn set_plan(&self, now: Millis, notice: PlanNotice) {
        let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        *plan = Some((now, Arc::new(notice)));
    }

    /// The plan of the regions that was received last, and when.
    pub fn plan(&self) -> Option<(Millis, Arc<PlanNotice>)> {
        let plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        plan.clone()
    }

    /// What is known of the external list of backend servers.
    pub fn list(&self) -> MutexGuard<'_, KnownList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
