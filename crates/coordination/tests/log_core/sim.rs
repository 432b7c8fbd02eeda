//! Simulation of replicas, their disks and the network on a manual clock. Every
//! step checks the invariants.

use std::collections::{BTreeMap, BTreeSet};

use pomelovale_coordination::log::{
    Action, Event, LogConfig, LogStatus, MemberChange, Membership, Persist, Replica, RestoredState,
    Role, ELECTION_MS, TICK_MS,
};
use pomelovale_protocol::log::{Entry, Epoch, LogIndex, LogMessage, Members, ReplicaId};
use pomelovale_state::{Millis, Name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One instance: its disk, and its process if it runs.
pub struct Node {
    pub replica: Option<Replica>,
    pub disk: RestoredState,
    /// Last applied index.
    pub applied: u64,
    /// Number of crashes. Events scheduled for an earlier process are dropped.
    generation: u64,
    /// Its clock minus the global clock, in milliseconds.
    pub offset: u64,
    outstanding_write: Option<Persist>,
}

enum Scheduled {
    Deliver {
        from: ReplicaId,
        to: ReplicaId,
        message: LogMessage,
    },
    Synced {
        node: usize,
        generation: u64,
    },
    Tick {
        node: usize,
        generation: u64,
    },
}

pub struct Sim {
    /// Time and index of accepted proposals.
    pub accepted: Vec<(u64, u64)>,
    /// An instance whose inbound messages are dropped.
    pub inbound_blocked: Option<usize>,
    /// Shortest and longest latency of a link.
    pub delay_ms: (u64, u64),
    pub election_ms: (u64, u64),
    /// Percentages of messages that are lost and that are duplicated.
    pub message_faults: (u32, u32),
    /// Entries in the order in which the first replica applied them.
    pub history: Vec<Entry>,
    pub leaders: BTreeMap<Epoch, (u64, ReplicaId)>,
    pub nodes: Vec<Node>,
    /// Instances removed by an operator; [`Sim::recover`] adds them again.
    pub removed: BTreeSet<usize>,
    pub now: u64,
    /// Members in entries that were written or sent, and the entry's index.
    pub proposed_members: Vec<(LogIndex, Members)>,
    pub retain: usize,
    /// Number of instances that found the log; the others join it. `None` for a
    /// fixed membership.
    pub founders: Option<usize>,
    /// Whether instances start as at the first start of the system.
    pub founding: bool,
    /// Time that a sync of each instance takes in addition to `sync_ms`.
    pub extra_sync_ms: Vec<u64>,
    pub sync_ms: (u64, u64),
    /// Number of synced writes.
    pub writes: u64,
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    /// Partition of each instance, and the time at which it was set.
    pub partitions: Vec<(usize, u64)>,
    pub state_hashes: Vec<u64>,
    rng: SmallRng,
    last_sequence: u64,
    token: u64,
}

pub fn name(node: usize) -> Name {
    Name::from(format!("c{node}"))
}

pub fn node_of(id: &ReplicaId) -> usize {
    id.name[1..].parse().expect("name of a simulated instance")
}

impl Sim {
    /// Starts instances with empty disks, which found the log.
    pub fn new(size: usize, seed: u64) -> Sim {
        Sim::with_founders(size, seed, None)
    }

    /// Starts instances of which the first `founders` bootstrap the log and the
    /// others join it.
    pub fn open(size: usize, founders: usize, seed: u64) -> Sim {
        Sim::with_founders(size, seed, Some(founders))
    }

    fn with_founders(size: usize, seed: u64, founders: Option<usize>) -> Sim {
        let mut sim = Sim {
            accepted: Vec::new(),
            inbound_blocked: None,
            delay_ms: (1, 5),
            election_ms: ELECTION_MS,
            message_faults: (0, 0),
            history: Vec::new(),
            leaders: BTreeMap::new(),
            nodes: Vec::new(),
            removed: BTreeSet::new(),
            now: 10_000,
            proposed_members: Vec::new(),
            retain: 50,
            founders,
            founding: true,
            extra_sync_ms: vec![0; size],
            sync_ms: (1, 4),
            writes: 0,
            scheduled: BTreeMap::new(),
            partitions: vec![(0, 0); size],
            state_hashes: vec![0],
            rng: SmallRng::seed_from_u64(seed),
            last_sequence: 0,
            token: 0,
        };
        for node in 0..size {
            let offset = sim.rng.random_range(0..1_000_000);
            sim.nodes.push(Node {
                replica: None,
                disk: RestoredState::default(),
                applied: 0,
                generation: 0,
                offset,
                outstanding_write: None,
            });
            sim.wipe(node);
            sim.start(node);
        }
        sim
    }

    /// Starts a group and waits until it has a leader whose first entry is
    /// committed.
    pub fn with_leader(size: usize, seed: u64) -> Sim {
        let mut sim = Sim::new(size, seed);
        assert!(sim.run_until(10_000, |sim| sim.current_leader().is_some()));
        sim.run(500);
        sim
    }

    fn local_time(&self, node: usize) -> Millis {
        Millis(self.now + self.nodes[node].offset)
    }

    pub fn start(&mut self, node: usize) {
        if self.nodes[node].replica.is_some() {
            return;
        }
        let replica = self.new_replica(node);
        self.nodes[node].replica = Some(replica);
        self.nodes[node].applied = 0;
        let generation = self.nodes[node].generation;
        self.schedule(0, Scheduled::Tick { node, generation });
    }

    /// Creates a replica from the disk of an instance.
    pub fn new_replica(&mut self, node: usize) -> Replica {
        let count = self.founders.unwrap_or(self.partitions.len());
        let peers = (0..count).map(name);
        let mut config = LogConfig::new(name(node), peers.collect());
        if self.founders.is_some() {
            config.membership = Membership::Open { voters: 5 };
            config.founding = self.founding;
        }
        config.append_bytes = 16;
        config.election_ms = self.election_ms;
        config.retain = self.retain;
        let restored = self.nodes[node].disk.clone();
        Replica::new(config, restored, self.rng.random(), self.local_time(node))
    }

    /// Stops the process without warning. Any leading part of a write in
    /// progress, or none, reaches the disk.
    pub fn crash(&mut self, node: usize) {
        if self.nodes[node].replica.take().is_none() {
            return;
        }
        self.nodes[node].generation += 1;
        let parts = self.rng.random_range(0..3);
        if let Some(mut persist) = self.nodes[node].outstanding_write.take() {
            if parts < 2 {
                persist.entries.clear();
                persist.snapshot = None;
            }
            if parts > 0 {
                write(&mut self.nodes[node].disk, &persist);
            }
        }
    }

    /// Replaces the disk by an empty one; the process must be stopped.
    pub fn wipe(&mut self, node: usize) {
        assert!(self.nodes[node].replica.is_none());
        self.nodes[node].disk = RestoredState {
            incarnation: self.rng.random_range(1..u64::MAX),
            ..RestoredState::default()
        };
    }

    /// Assigns instances to partitions. Messages between partitions are lost.
    pub fn partition(&mut self, group: impl Fn(usize) -> usize) {
        let partitions: Vec<usize> = (0..self.partitions.len()).map(group).collect();
        if partitions
            .iter()
            .ne(self.partitions.iter().map(|(group, _)| group))
        {
            let now = self.now;
            self.partitions = partitions.into_iter().map(|group| (group, now)).collect();
        }
    }

    fn schedule(&mut self, wait: u64, scheduled: Scheduled) {
        self.last_sequence += 1;
        self.scheduled
            .insert((self.now + wait, self.last_sequence), scheduled);
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some((&(at, sequence), _)) = self.scheduled.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(scheduled) = self.scheduled.remove(&(at, sequence)) {
                self.dispatch(scheduled);
            }
        }
        self.now = end;
    }

    /// Runs until `done`, for at most `ms`; returns whether it is done.
    pub fn run_until(&mut self, ms: u64, done: impl Fn(&Sim) -> bool) -> bool {
        let end = self.now + ms;
        while self.now < end && !done(self) {
            self.run(5);
        }
        done(self)
    }

    fn dispatch(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Deliver { from, to, message } => {
                let node = node_of(&to);
                let cut = self.partitions[node].0 != self.partitions[node_of(&from)].0;
                if !cut && self.inbound_blocked != Some(node) {
                    self.step(node, Event::Receive { from, message });
                }
            }
            Scheduled::Synced { node, generation } if generation == self.nodes[node].generation => {
                self.writes += 1;
                if let Some(persist) = self.nodes[node].outstanding_write.take() {
                    write(&mut self.nodes[node].disk, &persist);
                    self.step(node, persist.done());
                }
            }
            Scheduled::Tick { node, generation } if generation == self.nodes[node].generation => {
                self.step(node, Event::Tick);
                self.schedule(TICK_MS, Scheduled::Tick { node, generation });
            }
            Scheduled::Synced { .. } | Scheduled::Tick { .. } => {}
        }
    }

    pub fn step(&mut self, node: usize, event: Event) {
        let now = self.local_time(node);
        let Some(replica) = &mut self.nodes[node].replica else {
            return;
        };
        for action in replica.step(now, event) {
            self.perform(node, action);
        }
        self.check(node);
    }

    fn perform(&mut self, node: usize, action: Action) {
        let generation = self.nodes[node].generation;
        match action {
            Action::Accepted { index, .. } => self.on_accepted(node, index),
            Action::Apply(entries) => entries.iter().for_each(|entry| self.apply(node, entry)),
            Action::Persist(persist) => {
                self.check_promotions(node, &persist);
                self.record_members(&persist.entries);
                assert!(
                    self.nodes[node].outstanding_write.is_none(),
                    "two writes at once"
                );
                self.nodes[node].outstanding_write = Some(persist);
                let wait = self.rng.random_range(self.sync_ms.0..=self.sync_ms.1);
                self.schedule(
                    wait + self.extra_sync_ms[node],
                    Scheduled::Synced { node, generation },
                );
            }
            Action::Rejected { .. } => {}
            Action::Restore(snapshot) => self.restore(node, &snapshot),
            Action::Send { to, message } => self.send(node, to, message),
        }
    }

    fn send(&mut self, node: usize, to: ReplicaId, message: LogMessage) {
        let Some(from) = self.status(node).map(|status| status.id) else {
            return;
        };
        if let LogMessage::Append { entries, .. } = &message {
            self.record_members(entries);
        }
        let (lost, twice) = self.message_faults;
        let copies = match self.rng.random_range(0..100) {
            roll if roll < lost => 0,
            roll if roll < lost + twice => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let wait = self.rng.random_range(self.delay_ms.0..=self.delay_ms.1);
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            self.schedule(wait, Scheduled::Deliver { from, to, message });
        }
    }

    pub fn status(&self, node: usize) -> Option<LogStatus> {
        self.nodes[node].replica.as_ref().map(Replica::status)
    }

    pub fn staleness_ms(&self, node: usize) -> u64 {
        let age = |status: LogStatus| status.staleness_ms(self.local_time(node));
        self.status(node).map_or(u64::MAX, age)
    }

    /// Returns the leader of the latest epoch once it counts as current, that
    /// is, once it has committed an entry of that epoch.
    pub fn current_leader(&self) -> Option<usize> {
        let (_, (_, id)) = self.leaders.last_key_value()?;
        let node = node_of(id);
        let status = self.status(node)?;
        let committed = |s: &LogStatus| self.epoch_at(s.commit.0) == Some(s.epoch);
        (status.role == Role::Leader && committed(&status)).then_some(node)
    }

    fn epoch_at(&self, index: u64) -> Option<Epoch> {
        let entry = self.history.get((index as usize).checked_sub(1)?)?;
        Some(entry.epoch)
    }

    /// Proposes an entry at every replica that is leader in its own view.
    pub fn propose(&mut self) {
        self.token += 1;
        let token = self.token;
        for node in 0..self.nodes.len() {
            if self.status(node).is_some_and(|s| s.role == Role::Leader) {
                let payload = token.to_le_bytes().to_vec().into();
                self.step(node, Event::Propose { token, payload });
            }
        }
    }

    pub fn change(&mut self, change: MemberChange) {
        if let Some(leader) = self.current_leader() {
            let token = 0;
            self.step(leader, Event::ChangeMembers { token, change });
        }
    }

    pub fn compact(&mut self, node: usize) {
        let applied = self.nodes[node].applied;
        let snapshot = self.state_hashes[applied as usize]
            .to_le_bytes()
            .to_vec()
            .into();
        let index = LogIndex(applied);
        self.step(node, Event::Compact { index, snapshot });
    }

    pub fn id(&self, node: usize) -> ReplicaId {
        ReplicaId {
            name: name(node),
            incarnation: self.nodes[node].disk.incarnation,
        }
    }
}

/// Applies a write to a simulated disk as `Storage` does to a real one.
pub fn write(disk: &mut RestoredState, persist: &Persist) {
    if let Some(hard_state) = &persist.hard_state {
        disk.hard_state = hard_state.clone();
    }
    if let Some(snapshot) = &persist.snapshot {
        let position = snapshot.position();
        match disk.entries.iter().position(|e| e.position() == position) {
            _ if disk.snapshot.position() == position => {}
            Some(at) => drop(disk.entries.drain(..=at)),
            None => disk.entries.clear(),
        }
        disk.snapshot = snapshot.clone();
    }
    for entry in persist.entries.iter() {
        if entry.index > disk.snapshot.index {
            disk.entries.retain(|other| other.index < entry.index);
            disk.entries.push(entry.clone());
        }
    }
}
