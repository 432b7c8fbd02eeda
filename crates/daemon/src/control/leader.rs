//! What only the leader does: the ledger, the log's clock, measurements.

use indexmap::{IndexMap, IndexSet};
use pomelovale_coordination::gate;
use pomelovale_coordination::ledger::{Ledger, LedgerConfig, RateLimit};
use pomelovale_coordination::measurements::Measurements;
use pomelovale_coordination::outages;
use pomelovale_protocol::grants::{GrantReply, GrantRequest};
use pomelovale_protocol::log::Epoch;
use pomelovale_protocol::messages::{ClusterStatus, InstanceStatus};
use pomelovale_protocol::report::Report;
use pomelovale_state::command::{Change, Command, Item, Refusal};
use pomelovale_state::document::{Document, Instance, MemberState};
use pomelovale_state::moves::{Move, MoveAction};
use pomelovale_state::sheet::{MoveStatus, NextStep};
use pomelovale_state::{Millis, Name};

use super::config::ControlLimits;

/// Time between two checks of which instances still report.
const MEMBERSHIP_CHECK_INTERVAL_MS: u64 = 150;

/// Time after the start of a leadership after which the holders of leases that
/// are still to be heard are logged, in milliseconds.
const SILENT_HOLDERS_LOG_DELAY_MS: u64 = 1_500;

/// State of a leader, made anew in every epoch that this instance leads.
pub(super) struct Leader {
    pub(super) epoch: Epoch,
    // The log's clock goes on from the last change; the leader's own clock
    // only tells the time since then.
    base: Millis,
    since: Millis,
    ledger: Ledger,
    limits: IndexMap<Name, RateLimit>,
    measurements: Measurements,
    last_membership_check: Millis,
    // Whether the holders that are not heard were logged.
    logged_silent_holders: bool,
}

// On a new site no earlier leader can have granted anything, so that the first
// requests need not wait until unknown grants have expired.
fn ledger_config(epoch: Epoch, document: &Document) -> LedgerConfig {
    let config = LedgerConfig::new(epoch.0);
    match document.version {
        0 => LedgerConfig {
            wait_ms: 0,
            ..config
        },
        _ => config,
    }
}

// Gateways ask their control instance instead of leasing tokens themselves.
fn is_gateway(instance: &Instance) -> bool {
    instance.callers.is_some() && instance.peers.is_some()
}

impl Leader {
    pub(super) fn new(
        epoch: Epoch,
        document: &Document,
        limits: &ControlLimits,
        now: Millis,
    ) -> Leader {
        let mut measurements = Measurements::new(now);
        measurements.set_lost_timeouts(limits.lost_ms, limits.lost_all_ms);
        let mut leader = Leader {
            epoch,
            base: document.time,
            since: now,
            ledger: Ledger::new(ledger_config(epoch, document), now),
            limits: IndexMap::new(),
            measurements,
            last_membership_check: now,
            logged_silent_holders: false,
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
            let rate = RateLimit {
                per_second: w.rate,
                burst: w.burst,
            };
            if self.limits.get(name) != Some(&rate) {
                self.ledger.set_limit(name, rate, now);
                self.limits.insert(name.clone(), rate);
            }
        }
    }

    /// Answers a request for tokens. `replicas` are the names of all replicas of
    /// the log.
    pub(super) fn grant<'a>(
        &mut self,
        request: &GrantRequest,
        document: &'a Document,
        replicas: impl Iterator<Item = &'a Name>,
        now: Millis,
    ) -> GrantReply {
        let reply = self.ledger.request(now, request);
        let holders = document.instances.iter().filter(|(_, i)| !is_gateway(i));
        let holders: IndexSet<&Name> = holders.map(|(name, _)| name).chain(replicas).collect();
        let wait_ms = now.since(self.since);
        if self.ledger.release(now, holders.iter().copied()) {
            tracing::info!(event = "leases", wait_ms, "all holders have told");
        }
        if wait_ms >= SILENT_HOLDERS_LOG_DELAY_MS && !self.logged_silent_holders {
            self.logged_silent_holders = true;
            let silent = holders
                .iter()
                .filter(|name| !self.ledger.has_reported(name));
            let silent: Vec<&str> = silent.map(|name| name.as_str()).collect();
            if !silent.is_empty() {
                tracing::info!(event = "leases", wait_ms, ?silent, "holders are not heard");
            }
        }
        reply
    }

    /// Whether a change may be proposed now, by the gate of moves.
    pub(super) fn check_gate(
        &self,
        document: &Document,
        change: &Change,
        now: Millis,
    ) -> Result<(), Refusal> {
        let checked = gate::check(document, &self.measurements, now, change);
        if checked.is_err() {
            metrics::counter!("move_steps_held_total").increment(1);
        }
        checked
    }

    /// Takes the measurements of an instance.
    pub(super) fn record(&mut self, report: &Report, now: Millis) {
        self.measurements.record(now, report);
    }

    /// Changes of state of instances, at most once in a while so that those
    /// proposed before are applied.
    pub(super) fn membership_changes(
        &mut self,
        own: &Name,
        document: &Document,
        now: Millis,
    ) -> Vec<Change> {
        if now.since(self.last_membership_check) < MEMBERSHIP_CHECK_INTERVAL_MS {
            return Vec::new();
        }
        self.last_membership_check = now;
        self.measurements.retain(document, now);
        let outages = outages::changes(&self.measurements, document, now);
        let changes = self.measurements.membership_changes(document, now);
        let epoch = self.epoch;
        let change = |(kind, command): (String, Command)| Change {
            request: format!("{kind}-{}-{}", epoch.0, now.0).into(),
            sender: own.clone(),
            base: None,
            at: Millis(0),
            command,
        };
        let member = |(name, state): (Name, MemberState)| {
            let kind = format!("member-{name}");
            (kind, Command::SetInstance { name, state })
        };
        let members = changes.into_iter().map(member);
        let mut commands: Vec<(String, Command)> = members.collect();
        if !outages.is_empty() {
            tracing::info!(event = "outages", "{outages:?}");
            commands.push(("outages".to_owned(), Command::Batch(outages)));
        }
        commands.into_iter().map(change).collect()
    }

    /// What is known of the whole site.
    pub(super) fn cluster_status(&self, document: &Document, now: Millis) -> ClusterStatus {
        let row = |report: &Report| {
            let age = self.measurements.age(now, &report.instance);
            InstanceStatus {
                instance: report.instance.clone(),
                version: report.version,
                view_ms: report.view_ms.saturating_add(age),
            }
        };
        let instances = self.measurements.reports().map(row).collect();
        let moves = document
            .moves
            .iter()
            .map(|(name, m)| self.move_status(document, now, name, m));
        ClusterStatus {
            instances,
            moves: moves.collect(),
        }
    }

    fn move_status(&self, document: &Document, now: Millis, name: &Name, m: &Move) -> MoveStatus {
        let version = document.item_version(&Item::Move(name.clone()));
        let next = (m.done < m.steps.len()).then(|| {
            let capacity = gate::shift_capacity(document, &self.measurements, now, m, m.done + 1);
            let advance = Change {
                request: Name::default(),
                sender: Name::default(),
                base: None,
                at: self.log_time(now),
                command: Command::StepMove {
                    name: name.clone(),
                    action: MoveAction::Advance { to: m.done },
                },
            };
            let held = gate::check(document, &self.measurements, now, &advance).err();
            NextStep {
                headroom: capacity.map_or(0, |r| r.headroom),
                needed: capacity.map_or(0, |r| r.needed),
                link: capacity.and_then(|r| r.link),
                oldest: capacity.map(|r| r.oldest).filter(|age| *age != u64::MAX),
                reason: held.map(|r| r.text).unwrap_or_default(),
            }
        });
        MoveStatus {
            name: name.clone(),
            version,
            plan: m.clone(),
            next,
        }
    }
}
