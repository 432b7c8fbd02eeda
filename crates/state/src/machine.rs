//! The state machine that applies accepted changes in log order.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::command::{
    Applied, Change, Command, Item, Refusal, Scope, Winner, WinnersByItem, BATCH_MAX,
    CRASH_RECORDS_MAX, CRASH_RETENTION_MS,
};
use crate::document::{CrashRecord, Document, Key, KeyHolder, MemberState, Workspace};
use crate::intents::Intents;
use crate::moves::Move;
use crate::routing::Routing;
use crate::{ErrorKind, Millis, Name};

/// Maximum number of results of changes that are kept for retries.
pub const RESULTS_MAX: usize = 8_192;

type CommandResult = Result<(), Refusal>;

/// The full shared state of a control instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StateMachine {
    /// The part that every instance holds.
    pub document: Document,
    /// Records of requests with an idempotency key.
    pub intents: Intents,
    /// The text of the routing table as the operator sent it; empty if there is
    /// none.
    pub routing_source: Arc<str>,
    results: IndexMap<Name, Applied>,
    winners: WinnersByItem,
}

impl StateMachine {
    /// Applies one change. Deterministic: the same changes in the same order give
    /// the same state.
    pub fn apply(&mut self, change: &Change) -> Applied {
        let at = self.document.time.max(change.at);
        self.document.time = at;
        match &change.command {
            Command::BeginIntent(b) => return Applied::Intent(self.intents.begin(at, b.clone())),
            Command::EndIntent(e) => return Applied::Intent(self.intents.end(at, e.clone())),
            _ => {}
        }
        if let Some(first) = self.results.get(&change.request) {
            return first.clone();
        }
        let applied = match self.try_apply(change) {
            Ok(applied) => applied,
            Err(refusal) => Applied::Refused(refusal),
        };
        self.store_result(change, &applied);
        applied
    }

    /// The result of a change, if it is still kept.
    pub fn result(&self, request: &Name) -> Option<&Applied> {
        self.results.get(request)
    }

    fn store_result(&mut self, change: &Change, applied: &Applied) {
        if self.results.len() >= RESULTS_MAX {
            self.results.shift_remove_index(0);
        }
        self.results.insert(change.request.clone(), applied.clone());
    }

    fn try_apply(&mut self, change: &Change) -> Result<Applied, Refusal> {
        let item = change.command.item();
        self.check_base(change, item.as_ref())?;
        let version = self.document.version + 1;
        match &change.command {
            Command::Batch(commands) if commands.len() > BATCH_MAX => {
                return Err(bad_request(format!(
                    "a batch holds at most {BATCH_MAX} commands"
                )));
            }
            // A batch is applied to a copy, so that a refused one has no effect.
            Command::Batch(commands) => {
                let mut copy = self.document.clone();
                copy.version = version;
                for command in commands {
                    if matches!(command, Command::ReplaceRouting { .. }) {
                        return Err(bad_request("a routing table can't be part of a batch"));
                    }
                    apply_command(&mut copy, command)?;
                    increment_version(&mut copy, command.item());
                }
                self.document = copy;
            }
            command => {
                apply_command(&mut self.document, command)?;
                self.document.version = version;
            }
        }
        if let Command::ReplaceRouting { source, .. } = &change.command {
            self.routing_source = source.clone();
        }
        let item_version = increment_version(&mut self.document, item.clone());
        if let Some(item) = item {
            let winner = Winner {
                sender: change.sender.clone(),
                request: change.request.clone(),
                version: item_version,
            };
            self.winners.insert(item, winner);
        }
        Ok(Applied::Accepted {
            version,
            item: item_version,
        })
    }

    fn check_base(&self, change: &Change, item: Option<&Item>) -> CommandResult {
        let (Some(base), Some(item)) = (change.base, item) else {
            return Ok(());
        };
        let now = self.document.item_version(item);
        if now == base {
            return Ok(());
        }
        let text =
            format!("the change is based on version {base}, but the current version is {now}");
        let winner = self.winners.get(item).cloned();
        Err(Refusal {
            kind: ErrorKind::VersionConflict,
            text,
            winner,
        })
    }
}

impl Document {
    /// Version of one item; zero if it was never changed.
    pub fn item_version(&self, item: &Item) -> u64 {
        match item {
            Item::Document => self.version,
            item => self.versions.get(item).copied().unwrap_or(0),
        }
    }

    /// Applies an accepted change that was distributed to this instance.
    pub fn apply_accepted(&mut self, change: &Change, version: u64) -> Result<(), Refusal> {
        if change.command.scope() == Scope::Control {
            return Ok(());
        }
        self.time = self.time.max(change.at);
        let commands = match &change.command {
            Command::Batch(commands) => commands.as_slice(),
            command => std::slice::from_ref(command),
        };
        let batch = matches!(change.command, Command::Batch(_));
        for command in commands {
            self.version = if batch { version } else { version - 1 };
            apply_command(self, command)?;
            self.version = version;
            increment_version(self, command.item());
        }
        Ok(())
    }
}

fn bad_request(text: impl Into<String>) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, text)
}

fn not_found(what: &str, name: &str) -> Refusal {
    Refusal::new(
        ErrorKind::NotFound,
        format!("there is no {what} named {name}"),
    )
}

fn increment_version(document: &mut Document, item: Option<Item>) -> u64 {
    match item {
        None | Some(Item::Document) => document.version,
        Some(item) => {
            let version = document.versions.entry(item).or_insert(0);
            *version += 1;
            *version
        }
    }
}

fn check_name(name: &Name) -> CommandResult {
    match name.is_valid() {
        true => Ok(()),
        false => Err(bad_request(format!(
            "{:?} is not a valid name",
            name.as_str()
        ))),
    }
}

fn check_location(document: &Document, region: &Name, domain: &Name) -> CommandResult {
    match document.regions.get(region) {
        None => Err(not_found("region", region)),
        Some(r) if !r.domains.contains(domain) => Err(not_found("failure domain", domain)),
        Some(_) => Ok(()),
    }
}

fn apply_command(document: &mut Document, command: &Command) -> CommandResult {
    match command {
        Command::Batch(_) => Err(bad_request("a batch can't hold another batch")),
        Command::BeginIntent(_) | Command::EndIntent(_) => {
            Err(bad_request("an intent can't be part of a batch"))
        }
        Command::ChangeBlocks(changes) => {
            let unknown = |c: &&crate::blocks::BlockChange| {
                c.site
                    .as_ref()
                    .is_some_and(|s| !document.sites.contains_key(s))
            };
            match changes.iter().find(unknown).and_then(|c| c.site.as_ref()) {
                Some(site) => Err(not_found("site", site)),
                None => {
                    document.blocks.apply(changes);
                    Ok(())
                }
            }
        }
        Command::ClearCrash(fingerprint) => {
            document.crashes.shift_remove(fingerprint);
            Ok(())
        }
        Command::EvacuateDomain(name) => {
            check_name(name)?;
            document.evacuated.insert(name.clone());
            Ok(())
        }
        Command::ReadmitDomain(name) => {
            document.evacuated.shift_remove(name);
            Ok(())
        }
        Command::ReplaceRouting { base, routing, .. } => replace_routing(document, *base, routing),
        Command::PutBackend { name, backend } => {
            check_name(name)?;
            check_location(document, &backend.region, &backend.domain)?;
            match document.services.contains_key(&backend.service) {
                false => return Err(not_found("service", &backend.service)),
                true if backend.slots == 0 || backend.connections == 0 => {
                    return Err(bad_request(
                        "a backend server needs at least one slot and one connection",
                    ));
                }
                true => {}
            }
            document.backends.insert(name.clone(), backend.clone());
            Ok(())
        }
        Command::PutInstance { name, instance } => {
            check_name(name)?;
            check_location(document, &instance.region, &instance.domain)?;
            document.instances.insert(name.clone(), instance.clone());
            Ok(())
        }
        Command::PutKey { id, holder, digest } => put_key(document, id, holder, *digest),
        Command::PutLinks(links) => {
            for name in links.iter().flat_map(|l| [&l.from, &l.to]) {
                if !document.regions.contains_key(name) {
                    return Err(not_found("region", name));
                }
            }
            document.links.clone_from(links);
            Ok(())
        }
        Command::PutMove {
            name,
            services,
            from,
            to,
            steps,
        } => put_move(
            document,
            name,
            Move::new(services.clone(), from.clone(), to.clone(), steps.clone()),
        ),
        Command::PutRegion { name, region } => {
            check_name(name)?;
            document.regions.insert(name.clone(), region.clone());
            Ok(())
        }
        Command::PutService { name, service } => {
            check_name(name)?;
            document.services.insert(name.clone(), service.clone());
            Ok(())
        }
        Command::PutSite { name, site } => {
            check_name(name)?;
            check_location(document, &site.region, &site.domain)?;
            document.sites.insert(name.clone(), site.clone());
            Ok(())
        }
        Command::PutWorkspace { name, workspace } => {
            check_name(name)?;
            if workspace.rate == 0 || workspace.burst == 0 || workspace.weight == 0 {
                return Err(bad_request(
                    "rate, burst and weight of a workspace must be above zero",
                ));
            }
            document.workspaces.insert(name.clone(), workspace.clone());
            Ok(())
        }
        Command::RecordCrash { fingerprint, crash } => {
            record_crash(document, *fingerprint, crash);
            Ok(())
        }
        Command::RemoveBackend(name) => match document.backends.shift_remove(name) {
            None => Err(not_found("backend server", name)),
            Some(_) => {
                document.limits.shift_remove(name);
                Ok(())
            }
        },
        Command::RemoveInstance(name) => match document.instances.shift_remove(name) {
            None => Err(not_found("instance", name)),
            Some(_) => Ok(()),
        },
        Command::RevokeKey(id) => match document.keys.get_mut(id) {
            None => Err(not_found("key", id)),
            Some(key) => {
                key.revoked = true;
                Ok(())
            }
        },
        Command::SetBackend { name, state } => set_state(
            document.backends.get_mut(name).map(|b| &mut b.state),
            *state,
            "backend server",
            name,
        ),
        Command::SetServerLimits(limits) => {
            set_limits(document, limits);
            Ok(())
        }
        Command::SetInstance { name, state } => set_state(
            document.instances.get_mut(name).map(|i| &mut i.state),
            *state,
            "instance",
            name,
        ),
        Command::StepMove { name, action } => {
            let (at, version) = (document.time, document.version + 1);
            let Some(m) = document.moves.get_mut(name) else {
                return Err(not_found("move", name));
            };
            m.apply_action(at, version, action)
                .map_err(|(kind, text)| Refusal::new(kind, text))
        }
    }
}

fn set_state(
    slot: Option<&mut MemberState>,
    state: MemberState,
    what: &str,
    name: &Name,
) -> CommandResult {
    match slot {
        None => Err(not_found(what, name)),
        Some(slot) => {
            *slot = state;
            Ok(())
        }
    }
}

fn put_key(
    document: &mut Document,
    id: &Name,
    holder: &KeyHolder,
    digest: crate::document::Digest,
) -> CommandResult {
    check_name(id)?;
    match (document.keys.contains_key(id), holder) {
        (true, _) => Err(bad_request(format!(
            "key {id} exists; a new key needs a new identifier"
        ))),
        (false, KeyHolder::Workspace(w)) if !document.workspaces.contains_key(w) => {
            Err(not_found("workspace", w))
        }
        (false, _) => {
            document.keys.insert(
                id.clone(),
                Key {
                    holder: holder.clone(),
                    digest,
                    revoked: false,
                },
            );
            Ok(())
        }
    }
}

fn put_move(document: &mut Document, name: &Name, plan: Move) -> CommandResult {
    check_name(name)?;
    for region in [&plan.from, &plan.to] {
        if !document.regions.contains_key(region) {
            return Err(not_found("region", region));
        }
    }
    let unknown = plan
        .services
        .iter()
        .find(|s| !document.services.contains_key(*s));
    let overlap = |(other, m): (&Name, &Move)| {
        other != name && m.from == plan.from && m.services.iter().any(|s| plan.services.contains(s))
    };
    match (plan.faults().first(), unknown) {
        _ if plan.from == plan.to => return Err(bad_request("a move needs two different regions")),
        _ if plan.services.is_empty() || plan.steps.is_empty() => {
            return Err(bad_request(
                "a move needs at least one service and one step",
            ));
        }
        (_, Some(service)) => return Err(not_found("service", service)),
        (Some((step, text)), None) => return Err(bad_request(format!("step {step}: {text}"))),
        (None, None) if document.moves.iter().any(overlap) => {
            return Err(bad_request(
                "another move shifts one of these services out of the same region",
            ));
        }
        (None, None) => {}
    }
    match document.moves.get_mut(name) {
        None => {
            document.moves.insert(name.clone(), plan);
            Ok(())
        }
        Some(m) if (&m.services, &m.from, &m.to) != (&plan.services, &plan.from, &plan.to) => Err(
            bad_request("services and regions of a move can't be changed"),
        ),
        Some(m) => m
            .replace_pending_steps(plan.steps)
            .map_err(|(kind, text)| Refusal::new(kind, text)),
    }
}

fn replace_routing(document: &mut Document, base: u64, routing: &Arc<Routing>) -> CommandResult {
    let current = document.routing.as_ref().map_or(0, |r| r.version);
    match routing.faults().first() {
        _ if base != current => {
            let text = format!(
                "the change is based on version {base}, but the current version is {current}"
            );
            return Err(Refusal::new(ErrorKind::VersionConflict, text));
        }
        _ if routing.version <= current => {
            return Err(bad_request(format!("the version must be above {current}")));
        }
        Some(fault) => return Err(bad_request(fault.clone())),
        None => {}
    }
    for name in routing.services.keys() {
        document.services.entry(name.clone()).or_default();
    }
    for (name, w) in &routing.workspaces {
        match w.token_bucket() {
            None => drop(document.workspaces.shift_remove(name)),
            Some((rate, burst)) => {
                let workspace = Workspace {
                    rate,
                    burst,
                    weight: 1,
                };
                document.workspaces.insert(name.clone(), workspace);
            }
        }
    }
    document.routing = Some(routing.clone());
    Ok(())
}

fn record_crash(document: &mut Document, fingerprint: crate::document::Digest, crash: &Name) {
    let now = document.time;
    let crashes = &mut document.crashes;
    crashes.retain(|_, b| now < b.until);
    if crashes.len() >= CRASH_RECORDS_MAX && !crashes.contains_key(&fingerprint) {
        let least = crashes
            .iter()
            .min_by_key(|(_, record)| (record.crashed.len(), record.until));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            crashes.shift_remove(&least);
        }
    }
    let until = now.plus(CRASH_RETENTION_MS);
    let record = crashes.entry(fingerprint).or_insert(CrashRecord {
        crashed: Vec::new(),
        until: Millis(0),
    });
    record.until = until;
    if !record.crashed.contains(crash) {
        record.crashed.push(crash.clone());
    }
}

// Limits of servers that were removed meanwhile are ignored.
fn set_limits(document: &mut Document, limits: &[(Name, Option<u64>)]) {
    for (name, limit) in limits {
        match limit {
            Some(rate) if document.backends.contains_key(name) => {
                document.limits.insert(name.clone(), *rate);
            }
            Some(_) => {}
            None => drop(document.limits.shift_remove(name)),
        }
    }
}
