//! Replicas, their disks and the network on a manual clock. Every step checks
//! what has to hold at all times.

use std::collections::{BTreeMap, BTreeSet};

use pomelovale_coordination::log::{
    Action, Event, LogConfig, LogStatus, MemberChange, Persist, Replica, Restored, Role, TICK_MS,
};
use pomelovale_protocol::log::{
    Entry, EntryData, Epoch, LogIndex, LogMessage, Members, ReplicaId, Snapshot,
};
use pomelovale_state::{Millis, Name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time after which an isolated replica can no longer finish anything that a
/// quorum supported before it was isolated.
const SETTLED_MS: u64 = 200;

/// One instance: its disk, and its process if it runs.
pub struct Node {
    pub core: Option<Replica>,
    pub disk: Restored,
    /// Last applied index.
    pub applied: u64,
    /// Tells the events of this process from those of earlier ones.
    life: u64,
    /// Its clock minus the global one.
    offset: u64,
    writing: Option<Persist>,
}

enum Due {
    Deliver {
        from: ReplicaId,
        to: ReplicaId,
        message: LogMessage,
    },
    Synced {
        node: usize,
        life: u64,
    },
    Tick {
        node: usize,
        life: u64,
    },
}

pub struct Sim {
    /// Time and index of accepted proposals.
    pub accepted: Vec<(u64, u64)>,
    /// Time, token of refused proposals.
    pub rejected: Vec<(u64, u64)>,
    /// Latency of a link, shortest and longest.
    pub delay_ms: (u64, u64),
    /// Messages lost and sent twice, in percent.
    pub faults: (u32, u32),
    /// Entries in the order in which the first replica applied them.
    pub history: Vec<Entry>,
    pub leaders: BTreeMap<Epoch, (u64, ReplicaId)>,
    pub nodes: Vec<Node>,
    /// Instances removed by an operator, who adds them again in the end.
    pub removed: BTreeSet<usize>,
    pub now: u64,
    pub retain: usize,
    pub sync_ms: (u64, u64),
    due: BTreeMap<(u64, u64), Due>,
    /// Partition that each instance is in, and since when.
    groups: Vec<(usize, u64)>,
    hashes: Vec<u64>,
    rng: SmallRng,
    sequence: u64,
    token: u64,
}

pub fn name(node: usize) -> Name {
    Name::from(format!("c{node}"))
}

fn node_of(id: &ReplicaId) -> usize {
    id.name[1..].parse().expect("name of a simulated instance")
}

impl Sim {
    /// Instances with empty disks, which found the log by themselves.
    pub fn new(size: usize, seed: u64) -> Sim {
        let mut sim = Sim {
            accepted: Vec::new(),
            rejected: Vec::new(),
            delay_ms: (1, 5),
            faults: (0, 0),
            history: Vec::new(),
            leaders: BTreeMap::new(),
            nodes: Vec::new(),
            removed: BTreeSet::new(),
            now: 10_000,
            retain: 50,
            sync_ms: (1, 4),
            due: BTreeMap::new(),
            groups: vec![(0, 0); size],
            hashes: vec![0],
            rng: SmallRng::seed_from_u64(seed),
            sequence: 0,
            token: 0,
        };
        for node in 0..size {
            let offset = sim.rng.random_range(0..1_000_000);
            sim.nodes.push(Node {
                core: None,
                disk: Restored::default(),
                applied: 0,
                life: 0,
                offset,
                writing: None,
            });
            sim.wipe(node);
            sim.start(node);
        }
        sim
    }

    /// A group that has a leader whose first entry is committed.
    pub fn settled(size: usize, seed: u64) -> Sim {
        let mut sim = Sim::new(size, seed);
        assert!(sim.run_until(10_000, |sim| sim.current_leader().is_some()));
        sim.run(500);
        sim
    }

    fn local(&self, node: usize) -> Millis {
        Millis(self.now + self.nodes[node].offset)
    }

    pub fn start(&mut self, node: usize) {
        if self.nodes[node].core.is_some() {
            return;
        }
        let peers = (0..self.groups.len()).map(name);
        let mut config = LogConfig::new(name(node), peers.collect());
        config.retain = self.retain;
        config.append_bytes = 64;
        let restored = self.nodes[node].disk.clone();
        let seed = self.rng.random();
        let core = Replica::new(config, restored, seed, self.local(node));
        self.nodes[node].core = Some(core);
        self.nodes[node].applied = 0;
        let life = self.nodes[node].life;
        self.push(0, Due::Tick { node, life });
    }

    /// Ends the process; of a write in progress, any leading part survives.
    pub fn crash(&mut self, node: usize) {
        if self.nodes[node].core.take().is_none() {
            return;
        }
        self.nodes[node].life += 1;
        let parts = self.rng.random_range(0..3);
        if let Some(mut persist) = self.nodes[node].writing.take() {
            if parts < 2 {
                persist.entries.clear();
                persist.snapshot = None;
            }
            if parts > 0 {
                write(&mut self.nodes[node].disk, &persist);
            }
        }
    }

    /// Replaces the disk by an empty one; the process has to be down.
    pub fn wipe(&mut self, node: usize) {
        assert!(self.nodes[node].core.is_none());
        self.nodes[node].disk = Restored {
            incarnation: self.rng.random_range(1..u64::MAX),
            ..Restored::default()
        };
    }

    /// Puts instances into partitions; links between two are cut.
    pub fn partition(&mut self, group: impl Fn(usize) -> usize) {
        let groups: Vec<usize> = (0..self.groups.len()).map(group).collect();
        if groups.iter().ne(self.groups.iter().map(|(group, _)| group)) {
            let now = self.now;
            self.groups = groups.into_iter().map(|group| (group, now)).collect();
        }
    }

    fn push(&mut self, wait: u64, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + wait, self.sequence), due);
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some((&(at, sequence), _)) = self.due.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(due) = self.due.remove(&(at, sequence)) {
                self.happen(due);
            }
        }
        self.now = end;
    }

    /// Runs until `done`, for at most `ms`.
    pub fn run_until(&mut self, ms: u64, done: impl Fn(&Sim) -> bool) -> bool {
        let end = self.now + ms;
        while self.now < end && !done(self) {
            self.run(5);
        }
        done(self)
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Deliver { from, to, message } => {
                let node = node_of(&to);
                let cut = self.groups[node].0 != self.groups[node_of(&from)].0;
                if !cut {
                    self.step(node, Event::Receive { from, message });
                }
            }
            Due::Synced { node, life } if life == self.nodes[node].life => {
                if let Some(persist) = self.nodes[node].writing.take() {
                    write(&mut self.nodes[node].disk, &persist);
                    self.step(node, persist.done());
                }
            }
            Due::Tick { node, life } if life == self.nodes[node].life => {
                self.step(node, Event::Tick);
                self.push(TICK_MS, Due::Tick { node, life });
            }
            Due::Synced { .. } | Due::Tick { .. } => {}
        }
    }

    pub fn step(&mut self, node: usize, event: Event) {
        let now = self.local(node);
        let Some(core) = &mut self.nodes[node].core else {
            return;
        };
        for action in core.step(now, event) {
            self.act(node, action);
        }
        self.check(node);
    }

    fn act(&mut self, node: usize, action: Action) {
        let life = self.nodes[node].life;
        match action {
            Action::Accepted { index, .. } => self.accept(node, index),
            Action::Apply(entries) => entries.iter().for_each(|entry| self.apply(node, entry)),
            Action::Persist(persist) => {
                assert!(self.nodes[node].writing.is_none(), "two writes at once");
                self.nodes[node].writing = Some(persist);
                let wait = self.rng.random_range(self.sync_ms.0..=self.sync_ms.1);
                self.push(wait, Due::Synced { node, life });
            }
            Action::Rejected { token, .. } => self.rejected.push((self.now, token)),
            Action::Restore(snapshot) => self.restore(node, &snapshot),
            Action::Send { to, message } => self.send(node, to, message),
        }
    }

    fn send(&mut self, node: usize, to: ReplicaId, message: LogMessage) {
        let Some(from) = self.status(node).map(|status| status.id) else {
            return;
        };
        let (lost, twice) = self.faults;
        let copies = match self.rng.random_range(0..100) {
            roll if roll < lost => 0,
            roll if roll < lost + twice => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let wait = self.rng.random_range(self.delay_ms.0..=self.delay_ms.1);
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            self.push(wait, Due::Deliver { from, to, message });
        }
    }

    fn accept(&mut self, node: usize, index: LogIndex) {
        assert!(
            index.0 <= self.nodes[node].applied,
            "accepted before applied"
        );
        assert!(!self.is_isolated(node), "an isolated leader accepted");
        self.accepted.push((self.now, index.0));
    }

    fn apply(&mut self, node: usize, entry: &Entry) {
        let at = entry.index.0;
        assert_eq!(at, self.nodes[node].applied + 1, "applied out of order");
        self.nodes[node].applied = at;
        if self.history.len() as u64 >= at {
            let known = &self.history[at as usize - 1];
            assert_eq!(known, entry, "two replicas applied different entries");
            return;
        }
        self.history.push(entry.clone());
        let hash = self.hashes[at as usize - 1].rotate_left(5) ^ entry.epoch.0 ^ at;
        self.hashes.push(hash);
    }

    fn restore(&mut self, node: usize, snapshot: &Snapshot) {
        let index = snapshot.index.0;
        let hash = self.hashes[index as usize].to_le_bytes();
        assert_eq!(*snapshot.payload, hash, "snapshot of another state");
        assert!(index >= self.nodes[node].applied, "restored an older state");
        self.nodes[node].applied = index;
    }

    fn check(&mut self, node: usize) {
        let Some(status) = self.status(node) else {
            return;
        };
        if status.role == Role::Leader {
            let fresh = (self.now, status.id.clone());
            let (_, known) = self.leaders.entry(status.epoch).or_insert(fresh);
            assert_eq!(*known, status.id, "two leaders in {}", status.epoch);
        }
        let Some(proven) = status.proven else {
            return;
        };
        let proven = proven.0.saturating_sub(self.nodes[node].offset);
        let before = self.accepted.partition_point(|(at, _)| *at < proven);
        let needed = self.accepted[..before]
            .iter()
            .map(|(_, index)| *index)
            .max();
        assert!(
            needed.unwrap_or(0) <= self.nodes[node].applied,
            "proof of an old state"
        );
        let (_, since) = self.groups[node];
        if self.is_isolated(node) {
            assert!(
                proven <= since + SETTLED_MS,
                "an isolated replica counts as current"
            );
        }
    }

    /// Whether the instance has been alone for a while, and needs others.
    pub fn is_isolated(&self, node: usize) -> bool {
        let (group, since) = self.groups[node];
        let alone = self
            .groups
            .iter()
            .filter(|(other, _)| *other == group)
            .count()
            == 1;
        let several = self.status(node).is_none_or(|s| s.voters.len() > 1);
        alone && several && self.now > since + SETTLED_MS
    }

    pub fn status(&self, node: usize) -> Option<LogStatus> {
        self.nodes[node].core.as_ref().map(Replica::status)
    }

    pub fn quorum_age(&self, node: usize) -> u64 {
        let age = |status: LogStatus| status.quorum_age(self.local(node));
        self.status(node).map_or(u64::MAX, age)
    }

    /// The leader of the latest epoch, once it counts as current.
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

    /// Proposes at every replica that takes itself for the leader.
    pub fn propose(&mut self) -> u64 {
        self.token += 1;
        let token = self.token;
        for node in 0..self.nodes.len() {
            if self.status(node).is_some_and(|s| s.role == Role::Leader) {
                let payload = token.to_le_bytes().to_vec().into();
                self.step(node, Event::Propose { token, payload });
            }
        }
        token
    }

    pub fn change(&mut self, change: MemberChange) {
        if let Some(leader) = self.current_leader() {
            let token = 0;
            self.step(leader, Event::ChangeMembers { token, change });
        }
    }

    pub fn compact(&mut self, node: usize) {
        let applied = self.nodes[node].applied;
        let snapshot = self.hashes[applied as usize].to_le_bytes().to_vec().into();
        let index = LogIndex(applied);
        self.step(node, Event::Compact { index, snapshot });
    }

    /// The committed members, and those of every later entry on a disk or in
    /// a log.
    pub fn configs(&self) -> Vec<Members> {
        let of = |entry: &Entry| match &entry.data {
            EntryData::Members(members) => Some((entry.index, members.clone())),
            EntryData::Change(_) | EntryData::Empty => None,
        };
        let (index, committed) = self.history.iter().rev().find_map(of).unwrap_or_default();
        let stored = self.nodes.iter().flat_map(|n| {
            let writing = n.writing.iter().flat_map(|persist| &persist.entries);
            n.disk.entries.iter().chain(writing)
        });
        let later = stored.filter_map(of).filter(|(at, _)| *at > index);
        let mut configs: Vec<Members> = later.map(|(_, members)| members).collect();
        configs.push(committed);
        configs
    }

    /// Voters of a configuration whose disks are lost, the most of all.
    fn lost(&self, besides: Option<usize>) -> impl Iterator<Item = (usize, usize)> {
        let mut kept: BTreeSet<ReplicaId> = (0..self.nodes.len()).map(|n| self.id(n)).collect();
        besides.map(|node| kept.remove(&self.id(node)));
        let lost = move |m: Members| (m.voters.difference(&kept).count(), m.voters.len());
        self.configs().into_iter().map(lost)
    }

    /// Whether every possible quorum survives the loss of one more disk.
    pub fn may_wipe(&self, node: usize) -> bool {
        self.lost(Some(node))
            .all(|(lost, voters)| lost <= voters.saturating_sub(1) / 2)
    }

    /// Whether no disk is lost that still counts as a voter's. With one lost,
    /// no operator removes a voter that works.
    pub fn may_remove(&self) -> bool {
        self.lost(None).all(|(lost, _)| lost == 0)
    }

    pub fn id(&self, node: usize) -> ReplicaId {
        ReplicaId {
            name: name(node),
            incarnation: self.nodes[node].disk.incarnation,
        }
    }

    /// Whether all instances vote under their present identity and have
    /// applied everything.
    pub fn is_whole(&self) -> bool {
        let ids: BTreeSet<ReplicaId> = (0..self.nodes.len()).map(|n| self.id(n)).collect();
        let whole = |n: usize| {
            let applied = self.nodes[n].applied == self.history.len() as u64;
            let voters = |s: LogStatus| s.voters.into_iter().collect::<BTreeSet<_>>() == ids;
            applied && self.status(n).is_some_and(voters)
        };
        self.current_leader().is_some() && (0..self.nodes.len()).all(whole)
    }

    /// Starts everything on a sound network and checks that nothing is lost.
    pub fn recover(&mut self) {
        self.faults = (0, 0);
        self.delay_ms = (1, 5);
        self.partition(|_| 0);
        (0..self.nodes.len()).for_each(|node| self.start(node));
        for _ in 0..60 {
            for node in self.removed.clone() {
                self.change(MemberChange::AddLearner(self.id(node)));
            }
            self.run_until(1_000, Sim::is_whole);
        }
        assert!(self.is_whole(), "the group does not recover");
        let last = self.accepted.iter().map(|(_, index)| *index).max();
        assert!(last.unwrap_or(0) <= self.history.len() as u64);
        self.propose();
        let before = self.accepted.len();
        let accepts = self.run_until(5_000, |sim| sim.accepted.len() > before);
        assert!(accepts, "the group accepts nothing after it recovered");
    }
}

/// Carries out a write the way that `Storage` does.
fn write(disk: &mut Restored, persist: &Persist) {
    if let Some(hard) = &persist.hard {
        disk.hard = hard.clone();
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
