//! A replica of the log: dispatch of events, and following a leader.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pomelovale_protocol::log::{
    Entry, EntryData, Epoch, LogIndex, LogMessage, Payload, Position, Refused, ReplicaId, Snapshot,
};
use pomelovale_state::{ErrorKind, Millis, Name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::entries::Entries;
use crate::journal::Journal;
use crate::log::{Action, Event, HardState, LogConfig, LogStatus, Restored, Role};
use crate::members::Announcement;
use crate::replication::LeaderState;

/// Replies within this time share a counter, in milliseconds. The age of a
/// proof grows by at most this much.
const REPLY_COUNTER_MS: u64 = 20;

/// Counters remembered; they reach back at least 2,500 ms.
const REPLY_COUNTERS_MAX: usize = 128;

/// Proofs remembered while the entries that they need are on their way.
const PENDING_PROOFS_MAX: usize = 64;

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) actions: Vec<Action>,
    pub(crate) announcements: BTreeMap<Name, Announcement>,
    pub(crate) next_announcement: Millis,
    /// Campaigns since a leader was known.
    pub(crate) campaigns: u32,
    pub(crate) commit: LogIndex,
    pub(crate) config: LogConfig,
    /// When this replica starts an election unless it hears of a leader.
    pub(crate) election_deadline: Millis,
    pub(crate) entries: Entries,
    pub(crate) granted: BTreeSet<ReplicaId>,
    pub(crate) hard_state: HardState,
    /// Last message from the leader.
    pub(crate) last_leader_contact: Option<Millis>,
    pub(crate) id: ReplicaId,
    pub(crate) journal: Journal,
    pub(crate) leader_state: Option<LeaderState>,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) now: Millis,
    pub(crate) proven: Option<Millis>,
    pub(crate) rng: SmallRng,
    pub(crate) role: Role,
    counters: VecDeque<(u64, Millis)>,
    /// Proofs and the commit index that each needs.
    pending_proofs: VecDeque<(LogIndex, Millis)>,
    /// Last matched index that the leader was reported.
    last_reported: LogIndex,
    /// Latest round of the leader.
    round: u64,
    /// Last message from a leader that knows of this replica's replies.
    last_echo: Option<Millis>,
    /// Last index known to equal the leader's log.
    verified: LogIndex,
}

impl Replica {
    /// A replica that continues from what storage holds. The first step
    /// restores the snapshot; entries after it are applied once a leader
    /// confirms that they are committed. `seed` has to differ
    /// between two starts, since it also numbers the replies of this start.
    pub fn new(config: LogConfig, restored: Restored, seed: u64, now: Millis) -> Replica {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first = rng.random::<u64>() >> 1;
        let id = ReplicaId {
            name: config.name.clone(),
            incarnation: restored.incarnation,
        };
        let snapshot = restored.snapshot;
        let mut replica = Replica {
            actions: Vec::new(),
            announcements: BTreeMap::new(),
            next_announcement: now,
            campaigns: 0,
            commit: snapshot.index,
            config,
            election_deadline: now,
            granted: BTreeSet::new(),
            hard_state: restored.hard_state,
            last_leader_contact: None,
            id,
            leader_state: None,
            leader: None,
            now,
            proven: None,
            rng,
            role: Role::Follower,
            counters: VecDeque::from([(first, now)]),
            pending_proofs: VecDeque::new(),
            last_reported: LogIndex(0),
            round: 0,
            last_echo: None,
            verified: LogIndex(0),
            journal: Journal::new(LogIndex(0)),
            entries: Entries::new(snapshot, restored.entries),
        };
        replica.journal = Journal::new(replica.entries.last().index);
        if replica.commit > LogIndex(0) {
            let snapshot = replica.entries.snapshot().clone();
            replica.actions.push(Action::Restore(snapshot));
        }
        replica.reset_election_deadline();
        replica
    }

    /// Handles one event. The actions are carried out in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::ChangeMembers { token, change } => self.change_members(token, change),
            Event::Compact { index, snapshot } => self.compact(index, snapshot),
            Event::Persisted { .. } => self.on_persisted(),
            Event::Propose { token, payload } => self.propose(token, payload),
            Event::Receive { from, message } => self.receive(from, message),
            Event::Resign => self.resign(),
            Event::Tick => self.tick(),
        }
        self.emit_persist();
        std::mem::take(&mut self.actions)
    }

    /// What the replica does at the moment.
    pub fn status(&self) -> LogStatus {
        let members = self.entries.members();
        LogStatus {
            commit: self.commit,
            epoch: self.hard_state.epoch,
            id: self.id.clone(),
            last: self.entries.last().index,
            leader: self.leader.clone(),
            learners: members.learners.iter().cloned().collect(),
            proven: self.proven,
            role: self.role,
            voters: members.voters.iter().cloned().collect(),
        }
    }

    fn tick(&mut self) {
        if self.role == Role::Leader {
            self.tick_leader();
            return;
        }
        let recent = |at: Millis| self.now.since(at) < self.config.election_ms.0;
        if !self.last_echo.is_some_and(recent) {
            self.announce();
        }
        if self.now >= self.election_deadline && self.journal.vote_synced() {
            self.start_pre_vote();
        }
    }

    fn receive(&mut self, from: ReplicaId, message: LogMessage) {
        if from == self.id || from.incarnation == ReplicaId::ANY {
            return;
        }
        match message {
            LogMessage::Announce { vacant } => self.on_announce(from, vacant),
            LogMessage::Relay { id } => self.on_relay(id),
            LogMessage::Append { .. } => self.on_append(from, message),
            LogMessage::AppendReply { epoch, .. } => {
                if !self.step_down_if_later(&from, epoch) {
                    self.on_append_reply(from, message);
                }
            }
            LogMessage::HandOver { epoch } => self.on_hand_over(from, epoch),
            LogMessage::Install {
                epoch,
                round,
                snapshot,
            } => self.on_install(from, epoch, round, snapshot),
            LogMessage::PreVote { epoch, last } => self.on_pre_vote(from, epoch, last),
            LogMessage::PreVoteReply { epoch, granted } => {
                if granted || !self.step_down_if_later(&from, epoch) {
                    self.on_pre_vote_reply(from, epoch, granted);
                }
            }
            LogMessage::Vote {
                epoch,
                last,
                transfer,
            } => self.on_vote(from, epoch, last, transfer),
            LogMessage::VoteReply { epoch, granted } => {
                if !self.step_down_if_later(&from, epoch) {
                    self.on_vote_reply(from, epoch, granted);
                }
            }
        }
    }

    /// Takes over a later epoch from a member's reply.
    fn step_down_if_later(&mut self, from: &ReplicaId, epoch: Epoch) -> bool {
        let later = epoch > self.hard_state.epoch && self.entries.is_member(from);
        if later {
            self.become_follower(epoch, None);
        }
        later
    }

    /// Becomes a follower in `epoch`, which is not before the current one.
    pub(crate) fn become_follower(&mut self, epoch: Epoch, leader: Option<ReplicaId>) {
        let leader_state = self.leader_state.take();
        if epoch > self.hard_state.epoch {
            self.hard_state = HardState { epoch, vote: None };
            self.journal.write_hard(self.hard_state.clone());
            self.leader = None;
        }
        if self.leader != leader || self.role != Role::Follower {
            self.verified = LogIndex(0);
            self.last_reported = LogIndex(0);
            self.round = 0;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.granted.clear();
        self.reset_election_deadline();
        for (_, token) in leader_state
            .into_iter()
            .flat_map(|leader_state| leader_state.tokens)
        {
            self.reject(token, ErrorKind::UnknownOutcome);
        }
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        let (shortest, longest) = self.config.election_ms;
        let wait = self.rng.random_range(shortest..=longest);
        self.election_deadline = self.now.plus(wait);
    }

    /// Records contact with the leader of `epoch`; `false` if the message is
    /// from an earlier epoch.
    fn accept_leader(&mut self, from: &ReplicaId, epoch: Epoch, round: u64) -> bool {
        if epoch < self.hard_state.epoch {
            let refused = Refused {
                hint: LogIndex(0),
                previous: LogIndex(0),
            };
            self.send_append_reply(from, Some(refused));
            return false;
        }
        if self.role == Role::Leader && epoch == self.hard_state.epoch {
            log::error!("{from} claims to lead {epoch}, which {} leads", self.id);
            return false;
        }
        if epoch > self.hard_state.epoch
            || self.role != Role::Follower
            || self.leader.as_ref() != Some(from)
        {
            self.become_follower(epoch, Some(from.clone()));
        }
        self.last_leader_contact = Some(self.now);
        self.campaigns = 0;
        self.round = self.round.max(round);
        self.reset_election_deadline();
        true
    }

    fn on_append(&mut self, from: ReplicaId, message: LogMessage) {
        let LogMessage::Append {
            age_ms,
            commit,
            echo,
            entries,
            epoch,
            previous,
            round,
        } = message
        else {
            return;
        };
        if !is_contiguous(previous, &entries, epoch) || !self.accept_leader(&from, epoch, round) {
            return;
        }
        let refused = self.accept_entries(previous, entries);
        self.record_proof(echo, age_ms, commit);
        if refused.is_none() {
            self.commit_to(commit.min(self.verified));
        }
        self.send_append_reply(&from, refused);
    }

    /// Stores entries that follow a known position.
    fn accept_entries(&mut self, previous: Position, entries: Vec<Entry>) -> Option<Refused> {
        let refuse = |hint| {
            Some(Refused {
                hint,
                previous: previous.index,
            })
        };
        let last = self.entries.last().index;
        match self.entries.epoch_at(previous.index) {
            _ if previous.index < self.entries.base().index => {
                // Entries up to the base are committed, hence equal.
                self.verified = self.verified.max(self.entries.base().index);
            }
            None => return refuse(last),
            Some(epoch) if epoch != previous.epoch => {
                let hint = self.entries.before_epoch_of(previous.index, self.commit);
                return refuse(hint);
            }
            Some(_) => {}
        }
        let mut verified = previous.index;
        for entry in entries {
            verified = entry.index;
            match self.entries.epoch_at(entry.index) {
                _ if entry.index <= self.commit => {}
                Some(epoch) if epoch == entry.epoch => {}
                Some(_) => {
                    self.entries.truncate(entry.index);
                    self.append_entry(entry);
                }
                None => self.append_entry(entry),
            }
        }
        self.verified = self.verified.max(verified);
        None
    }

    fn append_entry(&mut self, entry: Entry) {
        self.journal.write_entry(entry.clone());
        self.entries.push(entry);
    }

    fn on_install(&mut self, from: ReplicaId, epoch: Epoch, round: u64, snapshot: Snapshot) {
        if !self.accept_leader(&from, epoch, round) {
            return;
        }
        let index = snapshot.index;
        let known = self.entries.epoch_at(index) == Some(snapshot.epoch);
        if index > self.commit && known {
            self.commit_to(index);
        } else if index > self.commit {
            self.journal.write_install(snapshot.clone());
            self.entries.install(snapshot.clone());
            self.commit = index;
            self.actions.push(Action::Restore(snapshot));
            self.resolve_proofs();
        }
        self.verified = self.verified.max(index);
        self.send_append_reply(&from, None);
    }

    /// Tells the leader what is synced, once the epoch is.
    fn send_append_reply(&mut self, to: &ReplicaId, refused: Option<Refused>) {
        let matched = self.verified.min(self.journal.durable());
        if refused.is_none() {
            self.last_reported = matched;
        }
        let message = LogMessage::AppendReply {
            counter: self.next_reply_counter(),
            epoch: self.hard_state.epoch,
            matched,
            refused,
            round: self.round,
            verified: self.verified,
        };
        self.send_synced(to, message);
    }

    fn next_reply_counter(&mut self) -> u64 {
        let (counter, at) = self.counters[self.counters.len() - 1];
        if self.now.since(at) < REPLY_COUNTER_MS {
            return counter;
        }
        if self.counters.len() == REPLY_COUNTERS_MAX {
            self.counters.pop_front();
        }
        self.counters.push_back((counter + 1, self.now));
        counter + 1
    }

    /// Derives a proof from the reply that the leader had received: this
    /// replica sent it before the leader sent the age.
    fn record_proof(&mut self, echo: u64, age_ms: Option<u64>, commit: LogIndex) {
        let sent = self.counters.iter().find(|(counter, _)| *counter == echo);
        let Some((_, sent)) = sent else {
            return;
        };
        self.last_echo = Some(self.now);
        let Some(age) = age_ms else {
            return;
        };
        // A moment before the start of the clock cannot be expressed.
        let Some(at) = sent.0.checked_sub(age) else {
            return;
        };
        if self.pending_proofs.len() == PENDING_PROOFS_MAX {
            self.pending_proofs.pop_front();
        }
        self.pending_proofs.push_back((commit, Millis(at)));
        self.resolve_proofs();
    }

    fn resolve_proofs(&mut self) {
        let commit = self.commit;
        let settled = self
            .pending_proofs
            .iter()
            .filter(|(needed, _)| *needed <= commit);
        let latest = settled.map(|(_, at)| *at).max();
        self.proven = self.proven.max(latest);
        self.pending_proofs.retain(|(needed, _)| *needed > commit);
    }

    /// Applies entries up to `index`.
    pub(crate) fn commit_to(&mut self, index: LogIndex) {
        if index > self.commit {
            let entries = self.entries.range(self.commit, index);
            self.commit = index;
            self.actions.push(Action::Apply(entries));
            self.report_committed_proposals();
        }
        self.resolve_proofs();
    }

    fn compact(&mut self, index: LogIndex, payload: Payload) {
        if index > self.commit {
            log::error!("{index} is not committed and cannot be compacted");
            return;
        }
        let retain = (self.config.retain, self.config.retain_bytes);
        if let Some(snapshot) = self.entries.compact(index, payload, retain) {
            self.journal.write_compaction(snapshot);
        }
    }

    fn on_persisted(&mut self) {
        let before = self.journal.vote_synced();
        for (to, message) in self.journal.synced() {
            self.actions.push(Action::Send { to, message });
        }
        if !before && self.journal.vote_synced() {
            self.on_vote_synced();
        }
        match (self.role, self.leader.clone()) {
            (Role::Leader, _) => self.advance_commit(),
            (Role::Candidate, _) => self.count_votes(),
            (Role::Follower, Some(leader)) => {
                if self.verified.min(self.journal.durable()) > self.last_reported {
                    self.send_append_reply(&leader, None);
                }
            }
            (Role::Follower | Role::PreCandidate, _) => {}
        }
    }

    /// Emits the collected writes unless others are outstanding.
    fn emit_persist(&mut self) {
        let upto = self.entries.last().index;
        if let Some(batch) = self.journal.take(self.hard_state.epoch, upto) {
            self.actions.push(Action::Persist(batch));
        }
    }

    /// Appends an entry of this leader.
    pub(crate) fn append_as_leader(&mut self, data: EntryData) -> LogIndex {
        let index = self.entries.last().index.next();
        self.append_entry(Entry {
            data,
            epoch: self.hard_state.epoch,
            index,
        });
        index
    }

    pub(crate) fn reject(&mut self, token: u64, kind: ErrorKind) {
        let leader = self.leader.clone();
        self.actions.push(Action::Rejected {
            token,
            kind,
            leader,
        });
    }

    pub(crate) fn send(&mut self, to: &ReplicaId, message: LogMessage) {
        let to = to.clone();
        self.actions.push(Action::Send { to, message });
    }

    /// Sends a message once the epoch and the vote are synced.
    pub(crate) fn send_synced(&mut self, to: &ReplicaId, message: LogMessage) {
        if let Some(message) = self.journal.hold(to.clone(), message) {
            self.send(to, message);
        }
    }
}

/// Whether entries continue each other from `previous` on, without epochs
/// that decrease or exceed the sender's.
fn is_contiguous(previous: Position, entries: &[Entry], epoch: Epoch) -> bool {
    let mut before = previous;
    let ordered = entries.iter().all(|entry| {
        let next = entry.index == before.index.next() && entry.epoch >= before.epoch;
        before = entry.position();
        next
    });
    ordered && before.epoch <= epoch
}
