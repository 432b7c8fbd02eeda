//! The event loop of a control instance. It owns the replica, the state machine
//! and the connections, so that they need no locks.

mod messages;

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use pomelovale_coordination::control::ControlCall;
use pomelovale_coordination::log::{Action, Event, LogStatus, Replica, Role as LogRole, TICK_MS};
use pomelovale_coordination::view::View;
use pomelovale_protocol::format::{encode_state, Format};
use pomelovale_protocol::frame::{encode_body, FRAME_MAX_BYTES};
use pomelovale_protocol::log::{Entry, EntryData, Payload, Position, ReplicaId, Snapshot};
use pomelovale_protocol::messages::{
    split_into_chunks, ChunkAssembler, ClusterStatus, Content, Delta, ListNotice, LogPacket,
    PeerMessage, RegionNotice, Request, Response,
};
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::machine::StateMachine;
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use pomelovale_transport::peer_link::{PeerEvent, PeerLink};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::list_change::names_for_log;
use crate::runtime_delay;
use crate::stalls::Stalls;

use super::calls::{Calls, Sink, Target};
use super::config::ControlConfig;
use super::dial::Dialer;
use super::feed::{Feed, ProofContext};
use super::formats::FormatState;
use super::leader::Leader;
use super::log_writer::LogWriter;
use super::loop_stats::LoopStats;
use super::quota::Quota;
use super::snapshots::SnapshotSchedule;
use super::stored::{self, SnapshotState};
use super::{role_name, ControlStatus, Fault};

/// Maximum number of peer events and maximum number of calls in one batch, before changes are pushed and the status is published.
const INPUT_BATCH: usize = 256;
/// Encoded size above which a log message is sent in chunks.
const PACKET_MAX_BYTES: usize = FRAME_MAX_BYTES - 1024;

/// Requests of `ControlServer` to the loop.
pub(super) enum LoopRequest {
    ClusterStatus(flume::Sender<ClusterStatus>),
    /// Servers that this instance has found leaving, and the start of the read if it was
    /// complete.
    ListRead {
        read: Option<Millis>,
        leaving: Vec<Name>,
    },
    /// A proposal that ends with the leadership of this instance.
    ProposeOwn(Change, flume::Sender<Result<Applied, ErrorKind>>),
    Stop,
}

/// Channels that the loop receives its work from.
pub(super) struct Inputs {
    pub(super) calls: flume::Receiver<ControlCall>,
    pub(super) events: flume::Receiver<PeerEvent>,
    pub(super) requests: flume::Receiver<LoopRequest>,
}

/// State that the loop publishes to the rest of the process.
#[derive(Clone)]
pub(super) struct Outputs {
    /// Why the loop has stopped by itself.
    pub(super) fault: Arc<OnceLock<Fault>>,
    pub(super) source: Arc<ArcSwap<RoutingSource>>,
    /// When the process has stood still.
    pub(super) stalls: Arc<Stalls>,
    pub(super) status: Arc<ArcSwap<ControlStatus>>,
    pub(super) view: Arc<View>,
}

impl Outputs {
    pub(super) fn new(clock: Clock) -> Outputs {
        Outputs {
            fault: Arc::default(),
            source: Arc::default(),
            stalls: Arc::new(Stalls::new(clock)),
            status: Arc::default(),
            view: Arc::default(),
        }
    }
}

/// Source text of the routing table as its operator sent it.
#[derive(Clone, Debug, Default)]
pub(super) struct RoutingSource(pub(super) Arc<str>);

// Subscribers don't use the source text of the routing table.
fn without_routing_source(mut change: Change) -> Change {
    if let Command::ReplaceRouting { source, .. } = &mut change.command {
        *source = Arc::from("");
    }
    change
}

/// An encoded snapshot and its format.
type Compaction = (Event, Format);

/// State of the event loop.
pub(super) struct EventLoop {
    pub(super) config: ControlConfig,
    pub(super) clock: Clock,
    pub(super) replica: Replica,
    own: ReplicaId,
    pub(super) log_writer: LogWriter,
    pub(super) formats: FormatState,
    pub(super) machine: StateMachine,
    applied: Position,
    snapshots: SnapshotSchedule,
    // State of the snapshot that is being installed, decoded when it arrived.
    received_snapshot: Option<(Position, SnapshotState)>,
    compactions: (flume::Sender<Compaction>, flume::Receiver<Compaction>),
    feed: Feed,
    outputs: Outputs,
    pub(super) links: HashMap<u64, PeerLink>,
    pub(super) controls: HashMap<Name, u64>,
    assemblers: HashMap<u64, ChunkAssembler>,
    pub(super) calls: Calls,
    // Results of applied changes that are answered once the view is published.
    unpublished_results: Vec<(Name, Applied)>,
    dialer: Option<Dialer>,
    quota: Quota,
    pub(super) leader: Option<Leader>,
    stopping: bool,
    stats: LoopStats,
}

impl EventLoop {
    pub(super) fn new(
        config: ControlConfig,
        clock: Clock,
        replica: Replica,
        log_writer: LogWriter,
        formats: FormatState,
        dialer: Option<Dialer>,
        outputs: Outputs,
    ) -> EventLoop {
        let quota = Quota::new(&config.name);
        let limits = &config.limits;
        let snapshots = SnapshotSchedule::new(limits.snapshot_entries, limits.snapshot_bytes);
        EventLoop {
            stats: LoopStats::new(&clock),
            feed: Feed::new(config.limits.recent, Position::default()),
            config,
            clock,
            own: replica.status().id,
            replica,
            log_writer,
            formats,
            machine: StateMachine::default(),
            applied: Position::default(),
            snapshots,
            received_snapshot: None,
            compactions: flume::bounded(1),
            outputs,
            links: HashMap::new(),
            controls: HashMap::new(),
            assemblers: HashMap::new(),
            calls: Calls::default(),
            unpublished_results: Vec::new(),
            dialer,
            quota,
            leader: None,
            stopping: false,
        }
    }

    /// Runs until the instance is stopped, its disk can't be written, or a change
    /// or snapshot can't be decoded. In the last case nothing more is applied,
    /// written, sent or published.
    pub(super) async fn run(mut self, inputs: Inputs) {
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut watching = JoinSet::new();
        watching.spawn(runtime_delay::watch());
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Ok(event) = inputs.events.recv_async() => self.handle_peer_event(event),
                Ok(call) = inputs.calls.recv_async() => self.handle_local_call(call),
                Ok(compaction) = self.compactions.1.recv_async() => self.compact(compaction),
                Ok(granted) = self.quota.replies.1.recv_async() => {
                    self.quota.receive(self.clock.now(), granted);
                }
                synced = self.log_writer.synced.recv_async() => match synced {
                    Ok(event) => self.step(event),
                    Err(_) => return,
                },
                request = inputs.requests.recv_async() => match request {
                    Ok(LoopRequest::ClusterStatus(reply)) => {
                        self.call(Request::Status, Sink::Status(reply));
                    }
                    Ok(LoopRequest::ListRead { read, leaving }) => {
                        self.announce_list(read, &leaving);
                    }
                    Ok(LoopRequest::ProposeOwn(change, reply)) => {
                        self.propose_own(change, Sink::Applied(reply));
                    }
                    Ok(LoopRequest::Stop) => {
                        self.stopping = true;
                        self.step(Event::Resign);
                    }
                    Err(_) => return,
                },
            }
            self.stats.begin_pass(inputs.events.len());
            self.process_ready_inputs(&inputs);
            if self.has_failed() {
                return;
            }
            let status = self.publish_state();
            self.stats.end_pass(self.clock.now());
            if self.stopping && status.role != LogRole::Leader {
                return;
            }
        }
    }

    // Processes the inputs that are ready as one batch, so that changes are pushed
    // and the status is published once per batch, not once per input.
    fn process_ready_inputs(&mut self, inputs: &Inputs) {
        for _ in 0..INPUT_BATCH {
            if self.has_failed() {
                return;
            }
            match (inputs.events.try_recv(), inputs.calls.try_recv()) {
                (Err(_), Err(_)) => return,
                (event, call) => {
                    event.into_iter().for_each(|e| self.handle_peer_event(e));
                    call.into_iter().for_each(|c| self.handle_local_call(c));
                }
            }
        }
    }

    // Stops the loop because of data that can't be read. To skip it would let the
    // state diverge from the other replicas.
    fn fail(&mut self, fault: String) {
        log::error!("stopping this control instance: {fault}");
        let _ = self.outputs.fault.set(Fault::corrupt(fault));
    }

    fn has_failed(&self) -> bool {
        self.outputs.fault.get().is_some()
    }

    fn tick(&mut self) {
        self.outputs.stalls.observe();
        self.step(Event::Tick);
        self.calls.expire(self.clock.now());
        self.dial();
        let now = self.clock.now();
        self.quota.tick(now, &self.machine.document);
        self.request_tokens(now);
        self.assign_calls();
        self.propose_initial();
        self.propose_membership();
        self.plan_regions(now);
    }

    fn dial(&mut self) {
        let Some(dialer) = &mut self.dialer else {
            return;
        };
        let status = self.replica.status();
        let seeds = self.config.peers.iter().map(|p| &p.name);
        let members = status.voters.iter().chain(&status.learners);
        let known = seeds.chain(members.map(|id| &id.name));
        let connected = |name: &Name| self.controls.contains_key(name);
        dialer.dial(self.clock.now(), known, connected);
    }

    // Publishes the document, the results of changes, the feed and the status.
    fn publish_state(&mut self) -> LogStatus {
        let now = self.clock.now();
        let status = self.replica.status();
        self.update_leader(&status, now);
        let age = status.staleness_ms(now);
        if self.machine.document.version > self.outputs.view.document().version {
            let source = &self.machine.routing_source;
            if !Arc::ptr_eq(source, &self.outputs.source.load_full().0) {
                let kept = RoutingSource(source.clone());
                self.outputs.source.store(Arc::new(kept));
            }
            self.outputs.view.publish(self.machine.document.clone());
        }
        // Results are delivered only now, so that a caller that has its answer
        // finds the change in the view.
        for (request, applied) in std::mem::take(&mut self.unpublished_results) {
            self.calls.answer_proposal(&request, &applied);
        }
        if let Some(at) = status.proven {
            self.outputs.view.prove(at);
        }
        let context = ProofContext {
            age_ms: age,
            leader: status.leader.as_ref().map(|l| l.name.clone()),
            now,
        };
        self.feed.push(&context);
        self.outputs.status.store(Arc::new(ControlStatus {
            role: role_name(status.role),
            epoch: status.epoch.0,
            leader: context.leader,
            commit: status.commit.0,
            last: status.last.0,
            applied: self.applied.index.0,
            id: Some(status.id.clone()),
            voters: status.voters.clone(),
            learners: status.learners.clone(),
            version: self.machine.document.version,
            age_ms: age,
        }));
        status
    }

    // A leader serves calls only after it has applied an entry of its own epoch:
    // by then it has applied everything that earlier leaders committed.
    fn update_leader(&mut self, status: &LogStatus, now: Millis) {
        let ready =
            status.role == LogRole::Leader && self.applied.epoch == status.epoch && !self.stopping;
        let current = self.leader.as_ref().map(|l| l.epoch);
        match (ready, current) {
            (true, Some(epoch)) if epoch == status.epoch => {}
            (true, _) => {
                metrics::counter!("log_leaderships_total").increment(1);
                log::info!("{} leads {}", self.config.name, status.epoch);
                self.leader = Some(Leader::new(
                    status.epoch,
                    &self.machine.document,
                    &self.config.limits,
                    now,
                ));
                self.assign_calls();
            }
            (false, Some(_)) => {
                log::info!("{} is no longer the leader", self.config.name);
                self.leader = None;
                self.calls.reject_own();
                self.calls.reject_forwarded();
                self.assign_calls();
            }
            (false, None) => {}
        }
    }

    pub(super) fn step(&mut self, event: Event) {
        if self.has_failed() {
            return;
        }
        let actions = self.replica.step(self.clock.now(), event);
        for action in actions {
            match action {
                _ if self.has_failed() => return,
                Action::Accepted { .. } => {}
                Action::Apply(entries) => {
                    entries.iter().take_while(|e| self.apply(e)).for_each(drop);
                }
                Action::Persist(persist) => self.log_writer.write(persist),
                Action::Rejected { token, kind, .. } => self.handle_rejected(token, kind),
                Action::Restore(snapshot) => self.restore(&snapshot),
                Action::Send { to, message } => self.send_log(LogPacket {
                    from: self.own.clone(),
                    to,
                    message,
                }),
            }
        }
    }

    // A rejected proposal may still be in the log with an unknown outcome. Sending
    // it again is safe, so the call goes to the next leader unless the change
    // itself is invalid.
    fn handle_rejected(&mut self, token: u64, kind: ErrorKind) {
        match kind {
            ErrorKind::TooLarge | ErrorKind::BadRequest => {
                self.calls.answer(token, &Response::Failed(kind));
            }
            _ => self.calls.set_target(token, Target::Unassigned),
        }
    }

    // Returns whether the entry was applied.
    fn apply(&mut self, entry: &Entry) -> bool {
        let change = match stored::decode_entry(entry) {
            Ok(change) => change,
            Err(fault) => {
                self.fail(format!("{}: {fault}", self.log_path().display()));
                return false;
            }
        };
        self.applied = entry.position();
        self.snapshots.add(entry.size());
        let (Some((change, _)), EntryData::Change(payload)) = (change, &entry.data) else {
            return true;
        };
        let before = self.machine.document.version;
        let applied = self.machine.apply(&change);
        let version = self.machine.document.version;
        self.unpublished_results
            .push((change.request.clone(), applied));
        if version > before {
            self.stats.record_change(&change.command);
            let source_bytes = match &change.command {
                Command::ReplaceRouting { source, .. } => source.len(),
                _ => 0,
            };
            let delta = Delta {
                position: entry.position(),
                version,
                change: without_routing_source(change),
            };
            let (now, document) = (self.clock.now(), &self.machine.document);
            let size = payload.len().saturating_sub(source_bytes);
            self.feed.add(delta, size, now);
            self.leader
                .iter_mut()
                .for_each(|l| l.set_limits(document, now));
        }
        self.snapshot_if_due();
        true
    }

    fn log_path(&self) -> PathBuf {
        self.config.directory.join("log")
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        let received = self.received_snapshot.take();
        let restored = match received.filter(|(at, _)| *at == snapshot.position()) {
            Some((_, state)) => Ok(state),
            None => stored::decode_snapshot(snapshot).map(|(state, _)| state),
        };
        match restored {
            Ok((machine, position)) => {
                self.machine = machine;
                self.feed.reset(position);
                self.applied = snapshot.position();
                self.snapshots.restore(snapshot.payload.len());
            }
            Err(fault) => {
                let path = self.config.directory.join("snapshot");
                self.fail(format!("{}: {fault}", path.display()));
            }
        }
    }

    // The state is encoded on another thread, since a large one takes longer to encode
    // than an election timeout.
    fn snapshot_if_due(&mut self) {
        if !self.snapshots.is_due() {
            return;
        }
        // Only the latest format has limits.
        let format = match self.machine.document.limits.is_empty() {
            true => self.write_format(),
            false => Some(Format::LATEST),
        };
        let Some(format) = format else {
            return;
        };
        self.snapshots.begin();
        let (machine, position) = (self.machine.clone(), self.feed.position());
        let (index, done) = (self.applied.index, self.compactions.0.clone());
        let encoding =
            tokio::task::spawn_blocking(move || encode_state(&machine, position, format));
        // Also after a panic, so that the next snapshot is taken.
        tokio::spawn(async move {
            let state = encoding.await.ok().and_then(Result::ok);
            let snapshot = Payload::from(state.unwrap_or_default());
            let event = Event::Compact { index, snapshot };
            let _ = done.send_async((event, format)).await;
        });
    }

    fn compact(&mut self, (event, format): Compaction) {
        let size = match &event {
            Event::Compact { snapshot, .. } => snapshot.len(),
            _ => 0,
        };
        self.snapshots.end((size > 0).then_some(size));
        if size == 0 {
            log::error!("can't encode the state for a snapshot; the log is not compacted");
            return;
        }
        self.note_format(Some(format), false);
        self.step(event);
        // Much may have been applied meanwhile.
        self.snapshot_if_due();
    }

    // Tells all control instances what this one has read, and its own subscribers. A part of
    // a read is told if it says something new.
    fn announce_list(&mut self, read: Option<Millis>, leaving: &[Name]) {
        let now = self.clock.now();
        let is_new = self.record_list(now, read, leaving);
        if is_new {
            let names = names_for_log(leaving);
            tracing::info!(event = "list-announce", leaving = leaving.len(), names);
        }
        if read.is_none() && !is_new {
            return;
        }
        let notice = ListNotice {
            seq: None,
            age_ms: read.map(|read| now.since(read)),
            leaving: leaving.to_vec(),
        };
        let controls = self.controls.values().filter_map(|id| self.links.get(id));
        for link in controls.filter(|link| link.knows_list()) {
            link.send_urgent(PeerMessage::List(notice.clone()));
        }
    }

    // Sends the next step of the plan of the regions to all control instances and subscribers.
    fn plan_regions(&mut self, now: Millis) {
        let last = self.outputs.view.plan();
        let document = &self.machine.document;
        let step = |l: &mut Leader| l.plan_regions(document, last.as_ref(), now);
        let Some(notice) = self.leader.as_mut().and_then(step) else {
            return;
        };
        let controls = self.controls.values().filter_map(|id| self.links.get(id));
        for link in controls.filter(|link| link.knows_regions()) {
            link.send(PeerMessage::Regions(RegionNotice::Plan(notice.clone())));
        }
        self.distribute_plan(notice);
    }

    // Returns whether a server leaves that was not known to.
    pub(super) fn record_list(
        &mut self,
        now: Millis,
        read: Option<Millis>,
        leaving: &[Name],
    ) -> bool {
        let mut list = self.outputs.view.list();
        let is_new = list.record(now, read, leaving);
        if is_new {
            self.feed.push_leaving(&list);
        }
        is_new
    }

    fn send_log(&mut self, packet: LogPacket) {
        let link = self.controls.get(&packet.to.name);
        let Some(link) = link.and_then(|id| self.links.get(id)) else {
            return;
        };
        match encode_body(&packet) {
            Ok(body) if body.len() > PACKET_MAX_BYTES => {
                link.send_bulk(split_into_chunks(Content::Log, Arc::from(body)));
            }
            Ok(_) => {
                link.send(PeerMessage::Log(packet));
            }
            Err(e) => log::error!("can't encode a log message: {e}"),
        }
    }
}
