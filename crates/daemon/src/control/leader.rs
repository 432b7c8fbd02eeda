//! What only the leader does: the ledger, the log's clock, measurements.

use indexmap::IndexMap;
use pomelovale_coordination::ledger::{Ledger, LedgerConfig, Rate};
use pomelovale_protocol::grants::{GrantReply, GrantRequest};
use pomelovale_protocol::log::Epoch;
use pomelovale_protocol::messages::InstanceStatus;
use pomelovale_protocol::report::Report;
use pomelovale_state::command::{Change, Refusal};
use pomelovale_state::document::Document;
use pomelovale_state::{Millis, Name};

/// An instance that has not reported for this long is not listed any more.
const REPORT_LIFE_MS: u64 = 60_000;

struct Received {
    at: Millis,
    version: u64,
    view_ms: u64,
}

/// State of a leader, made anew in every epoch that this instance leads.
pub(super) struct Leader {
    pub(super) epoch: Epoch,
    // The log's clock goes on from the last change; the leader's own clock
    // only tells the time since then.
    base: Millis,
    since: Millis,
    ledger: Ledger,
    limits: IndexMap<Name, Rate>,
    reports: IndexMap<Name, Received>,
}

impl Leader {
    pub(super) fn new(epoch: Epoch, document: &Document, now: Millis) -> Leader {
        let mut leader = Leader {
            epoch,
            base: document.time,
            since: now,
            ledger: Ledger::new(LedgerConfig::new(epoch.0), now),
            limits: IndexMap::new(),
            reports: IndexMap::new(),
        };
        leader.set_limits(document, now);
        leader
    }

    /// The log's clock.
    pub(super) fn log_time(&self, now: Millis) -> Millis {
        self.base.plus(now.since(self.since))
    }

    /// Takes over the rates of all workspaces.
    pub(super) fn set_limits(&mut self, document: &Document, now: Millis) {
        for (name, w) in &document.workspaces {
            let rate = Rate {
                per_second: w.rate,
                burst: w.burst,
            };
            if self.limits.get(name) != Some(&rate) {
                self.ledger.set_limit(name, rate, now);
                self.limits.insert(name.clone(), rate);
            }
        }
    }

    pub(super) fn grant(&mut self, request: &GrantRequest, now: Millis) -> GrantReply {
        self.ledger.request(now, request)
    }

    /// Whether a change may be proposed now.
    // The gate of moves is called here.
    #[allow(clippy::unused_self)]
    pub(super) fn admit(
        &self,
        _document: &Document,
        _change: &Change,
        _now: Millis,
    ) -> Result<(), Refusal> {
        Ok(())
    }

    /// Takes the measurements of an instance.
    // The measurements that the gate reads are recorded here.
    pub(super) fn record(&mut self, report: &Report, now: Millis) {
        self.reports.retain(|_, r| now.since(r.at) < REPORT_LIFE_MS);
        let received = Received {
            at: now,
            version: report.version,
            view_ms: report.view_ms,
        };
        self.reports.insert(report.instance.clone(), received);
    }

    pub(super) fn instances(&self, now: Millis) -> Vec<InstanceStatus> {
        let row = |(name, r): (&Name, &Received)| InstanceStatus {
            instance: name.clone(),
            version: r.version,
            view_ms: r.view_ms.saturating_add(now.since(r.at)),
        };
        self.reports.iter().map(row).collect()
    }
}
