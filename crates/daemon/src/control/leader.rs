//! State that exists only on the leader: the ledger of token leases, the log's
//! clock and the measurements of instances.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use pomelovale_coordination::gate;
use pomelovale_coordination::ledger::{Ledger, LedgerConfig, RateLimit};
use pomelovale_coordination::measurements::Measurements;
use pomelovale_coordination::outages;
use pomelovale_coordination::server_limits;
use pomelovale_protocol::grants::{GrantReply, GrantRequest};
use pomelovale_protocol::log::Epoch;
use pomelovale_protocol::messages::{ClusterStatus, DemandReport, InstanceStatus, PlanNotice};
use pomelovale_protocol::report::Report;
use pomelovale_state::command::{Change, Command, Item, Refusal};
use pomelovale_state::document::{Document, Instance, MemberState};
use pomelovale_state::machine::StateMachine;
use pomelovale_state::moves::{Move, MoveAction};
use pomelovale_state::sheet::{MoveStatus, NextStep};
use pomelovale_state::{Millis, Name};

use super::config::ControlLimits;
use super::region_planner::RegionPlanner;

/// Interval of the checks of which instances still report, in milliseconds.
const MEMBERSHIP_CHECK_INTERVAL_MS: u64 = 150;

/// Interval at which limits of servers that stay limited are recorded anew, in
/// milliseconds.
const LIMIT_CHANGE_INTERVAL_MS: u64 = 1_000;

/// Time since the start of a leadership after which the lease holders that have
/// not reported their leases yet are logged, in milliseconds.
const SILENT_HOLDERS_LOG_DELAY_MS: u64 = 1_500;

/// Number of instances that a log line names.
const NAMED_MAX: usize = 8;

/// State of a leader, created for each epoch that this instance leads.
pub(super) struct Leader {
    pub(super) epoch: Epoch,
    // The log's clock continues from the time of the last change (`base`). The
    // local clock only measures the time passed since then (`since`).
    base: Millis,
    since: Millis,
    ledger: Ledger,
    limits: IndexMap<Name, RateLimit>,
    measurements: Measurements,
    last_membership_check: Millis,
    // Proposals of the last check, and when they are given up.
    pending: Vec<Name>,
    pending_until: Millis,
    limits_changed: Millis,
    logged_silent_holders: bool,
    regions: RegionPlanner,
}

// While the document is empty, no earlier leader can have granted tokens, so that
// the first requests don't wait for the expiry of unknown grants.
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

// Logs how many instances are taken out and back, and names some of them.
fn log_members(changes: &[(Name, MemberState)]) {
    let back = |(_, state): &&(Name, MemberState)| *state == MemberState::Serving;
    let back = changes.iter().filter(back).count();
    let away = changes.len() - back;
    let names = changes.iter().map(|(name, _)| name.as_str());
    let names: Vec<&str> = names.take(NAMED_MAX).collect();
    tracing::info!(event = "members", away, back, names = names.join(" "));
}

// Gateways hold no leases: their control instance admits requests for them.
fn is_gateway(instance: &Instance) -> bool {
    instance.callers.is_some() && instance.peers.is_some()
}

fn limits_of(document: &Document) -> impl Iterator<Item = (Name, RateLimit)> + '_ {
    document.workspaces.iter().map(|(name, w)| {
        let rate = RateLimit {
            per_second: w.rate,
            burst: w.burst,
        };
        (name.clone(), rate)
    })
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
            pending: Vec::new(),
            pending_until: now,
            limits_changed: now,
            logged_silent_holders: false,
            regions: RegionPlanner::new(now),
        };
        for (name, rate) in limits_of(document) {
            leader.ledger.set_limit(&name, rate, now);
            leader.limits.insert(name, rate);
        }
        leader
    }

    /// Current time of the log's clock.
    pub(super) fn log_time(&self, now: Millis) -> Millis {
        self.base.plus(now.since(self.since))
    }

    /// Applies changed rate limits of workspaces to the ledger. Workspaces that this leader
    /// didn't start with were added in its epoch.
    pub(super) fn set_limits(&mut self, document: &Document, now: Millis) {
        for (name, rate) in limits_of(document) {
            match self.limits.get(&name) {
                Some(known) if *known == rate => continue,
                Some(_) => self.ledger.set_limit(&name, rate, now),
                None => self.ledger.add_limit(&name, rate, now),
            }
            self.limits.insert(name, rate);
        }
    }

    /// Answers a request for tokens. Besides the instances of the document other
    /// than gateways, the `replicas` of the log are possible lease holders.
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
            tracing::info!(
                event = "leases",
                wait_ms,
                "all holders have reported their leases"
            );
        }
        if wait_ms >= SILENT_HOLDERS_LOG_DELAY_MS && !self.logged_silent_holders {
            self.logged_silent_holders = true;
            let silent = holders
                .iter()
                .filter(|name| !self.ledger.has_reported(name));
            let silent: Vec<&str> = silent.map(|name| name.as_str()).collect();
            if !silent.is_empty() {
                tracing::info!(
                    event = "leases",
                    wait_ms,
                    ?silent,
                    "some holders have not reported their leases"
                );
            }
        }
        reply
    }

    /// Checks whether the gate of moves permits a change now.
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

    /// Records the demand at a gateway.
    pub(super) fn record_demand(&mut self, report: DemandReport, document: &Document, now: Millis) {
        self.regions.record(report, document, now);
    }

    /// Returns the next step of the plan of the regions, if one is due.
    pub(super) fn plan_regions(
        &mut self,
        document: &Document,
        last: Option<&(Millis, Arc<PlanNotice>)>,
        now: Millis,
    ) -> Option<PlanNotice> {
        self.regions.step(document, last, now)
    }

    /// Records the measurements in an instance's report.
    pub(super) fn record(&mut self, report: &Report, now: Millis) {
        self.measurements.record(now, report);
    }

    /// Returns changes for instances whose reports stopped or resumed, for outages and for
    /// limits of servers. It does so at most once per interval, and not before the changes
    /// proposed last are applied, or are given up after `call_ms`.
    pub(super) fn membership_changes(
        &mut self,
        own: &Name,
        machine: &StateMachine,
        with_limits: bool,
        call_ms: u64,
        now: Millis,
    ) -> Vec<Change> {
        let applied = |request: &Name| machine.result(request).is_some();
        let is_pending = now < self.pending_until && !self.pending.iter().all(applied);
        if is_pending || now.since(self.last_membership_check) < MEMBERSHIP_CHECK_INTERVAL_MS {
            return Vec::new();
        }
        self.last_membership_check = now;
        let document = &machine.document;
        self.measurements.retain(document, now);
        let members = self.measurements.membership_changes(document, now);
        if !members.is_empty() {
            log_members(&members);
        }
        let outages = outages::changes(&self.measurements, document, now);
        if !outages.is_empty() {
            let reporters = outages::reporters(&self.measurements, now);
            tracing::info!(event = "outages", ?reporters, "{outages:?}");
        }
        let set_instance = |(name, state)| Command::SetInstance { name, state };
        let states: Vec<Command> = members
            .into_iter()
            .map(set_instance)
            .chain(outages)
            .collect();
        let limits = with_limits.then(|| self.limit_changes(document, now));
        let limits = limits.flatten();
        if let Some(limits) = &limits {
            tracing::info!(event = "server-limits", "{limits:?}");
        }
        let states = (!states.is_empty()).then_some(("states", Command::Batch(states)));
        let commands = states.into_iter().chain(limits.map(|l| ("limits", l)));
        let epoch = self.epoch;
        let change = |(kind, command): (&str, Command)| Change {
            request: format!("{kind}-{}-{}", epoch.0, now.0).into(),
            sender: own.clone(),
            base: None,
            at: Millis(0),
            command,
        };
        let changes: Vec<Change> = commands.map(change).collect();
        self.pending = changes.iter().map(|c| c.request.clone()).collect();
        self.pending_until = now.plus(call_ms);
        changes
    }

    // Limits that start or end are recorded at once, others at a bounded rate.
    fn limit_changes(&mut self, document: &Document, now: Millis) -> Option<Command> {
        let command = server_limits::changes(&self.measurements, document, now)?;
        let is_due = now.since(self.limits_changed) >= LIMIT_CHANGE_INTERVAL_MS;
        if !is_due && !server_limits::is_start_or_end(document, &command) {
            return None;
        }
        self.limits_changed = now;
        Some(command)
    }

    /// Status of all instances that report, and of all moves.
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
