//! A replica of the log: event dispatch and the follower's side of replication.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pomelovale_protocol::log::{
    Entry, EntryData, Epoch, LogIndex, LogMessage, Payload, Position, Refused, ReplicaId, Snapshot,
};
use pomelovale_state::{ErrorKind, Millis, Name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::entries::MemoryLog;
use crate::journal::Journal;
use crate::log::{Action, Event, HardState, LogConfig, LogStatus, RestoredState, Role};
use crate::members::Announcement;
use crate::replication::LeaderState;

/// Replies sent within this many milliseconds share a counter. Sharing
/// overstates the age of a freshness proof by at most this much.
const REPLY_COUNTER_MS: u64 = 20;

/// Number of reply counters kept; they reach back at least 2,500 ms.
const REPLY_COUNTERS_MAX: usize = 128;

/// Largest number of freshness proofs that wait for the entries they require.
const PENDING_PROOFS_MAX: usize = 64;

/// A replica of the log.
///
/// A freshness proof is a time as of which the applied entries are known to
/// include every accepted one. The leader obtains it from a quorum, and a
/// follower derives its own from the leader's.
#[derive(Debug)]
pub struct Replica {
    pub(crate) actions: Vec<Action>,
    pub(crate) announcements: BTreeMap<Name, Announcement>,
    pub(crate) next_announcement: Millis,
    /// Elections started by this replica since its last contact with a leader.
    pub(crate) campaigns: u32,
    pub(crate) commit: LogIndex,
    pub(crate) config: LogConfig,
    /// Time at which this replica starts a pre-vote unless a leader makes
    /// contact first.
    pub(crate) election_deadline: Millis,
    pub(crate) entries: MemoryLog,
    /// Replicas that granted the current pre-vote or vote.
    pub(crate) granted: BTreeSet<ReplicaId>,
    pub(crate) hard_state: HardState,
    /// Time of the last message from the leader.
    pub(crate) leader_contact: Option<Millis>,
    pub(crate) id: ReplicaId,
    pub(crate) journal: Journal,
    pub(crate) leader_state: Option<LeaderState>,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) now: Millis,
    pub(crate) proven: Option<Millis>,
    pub(crate) rng: SmallRng,
    pub(crate) role: Role,
    /// Recent reply counters, and the time of the first reply with each.
    counters: VecDeque<(u64, Millis)>,
    /// Freshness proofs and the commit index that each requires.
    pending_proofs: VecDeque<(LogIndex, Millis)>,
    /// Matched index in the last reply to the leader.
    last_reported: LogIndex,
    /// Latest heartbeat round received from the leader.
    round: u64,
    /// Time of the last `Append` that echoed one of this replica's reply
    /// counters.
    last_echo: Option<Millis>,
    /// Last index up to which the log is known to match the leader's.
    verified: LogIndex,
}

impl Replica {
    /// Creates a replica from the state in storage. The first step restores the
    /// snapshot; later entries are applied once a leader confirms that they are
    /// committed. `seed` must differ between starts: it also determines the
    /// first reply counter, so that a leader's echo of a reply from an earlier
    /// start is not mistaken for one from this start.
    pub fn new(config: LogConfig, restored: RestoredState, seed: u64, now: Millis) -> Replica {
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
            leader_contact: None,
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
            entries: MemoryLog::new(snapshot, restored.entries),
        };
        replica.journal = Journal::new(replica.entries.last().index);
        if replica.commit > LogIndex(0) {
            let snapshot = replica.entries.snapshot().clone();
            replica.actions.push(Action::Restore(snapshot));
        }
        replica.reset_election_deadline();
        replica
    }

    /// Handles one event and returns the actions to perform, in order.
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

    /// Returns the current state of the replica.
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

    /// Becomes a follower if a member's reply carries a later epoch; returns
    /// whether it does.
    fn step_down_if_later(&mut self, from: &ReplicaId, epoch: Epoch) -> bool {
        let later = epoch > self.hard_state.epoch && self.entries.is_member(from);
        if later {
            self.become_follower(epoch, None);
        }
        later
    }

    /// Becomes a follower in `epoch`, which must not precede the current one.
    /// Uncommitted proposals of a former leader end with an unknown outcome.
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

    /// Accepts `from` as the leader of `epoch` and records the contact. Returns
    /// `false` if the epoch is outdated or this replica itself leads it.
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
            log::error!(
                "{from} sent a message as leader of {epoch}, which {} leads",
                self.id
            );
            return false;
        }
        if epoch > self.hard_state.epoch
            || self.role != Role::Follower
            || self.leader.as_ref() != Some(from)
        {
            self.become_follower(epoch, Some(from.clone()));
        }
        self.leader_contact = Some(self.now);
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

    /// Appends entries after `previous`, or refuses them if the log lacks that
    /// position. Entries that conflict with the leader's are replaced.
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
                // Entries up to the base are committed, so they match the leader's.
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

    /// Reports the synced entries to the leader. The reply is held until the
    /// current epoch is synced.
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

    /// Derives a freshness proof from an `Append`. This replica sent the echoed
    /// reply before the leader sent the age of its own proof, so the proof
    /// holds at least as of the time of the reply minus that age.
    fn record_proof(&mut self, echo: u64, age_ms: Option<u64>, commit: LogIndex) {
        let sent = self.counters.iter().find(|(counter, _)| *counter == echo);
        let Some((_, sent)) = sent else {
            return;
        };
        self.last_echo = Some(self.now);
        let Some(age) = age_ms else {
            return;
        };
        // A time before the origin of the clock cannot be represented.
        let Some(at) = sent.0.checked_sub(age) else {
            return;
        };
        if self.pending_proofs.len() == PENDING_PROOFS_MAX {
            self.pending_proofs.pop_front();
        }
        self.pending_proofs.push_back((commit, Millis(at)));
        self.resolve_proofs();
    }

    /// Adopts the latest proof whose required entries are committed.
    fn resolve_proofs(&mut self) {
        let commit = self.commit;
        let resolved = self
            .pending_proofs
            .iter()
            .filter(|(needed, _)| *needed <= commit);
        let latest = resolved.map(|(_, at)| *at).max();
        self.proven = self.proven.max(latest);
        self.pending_proofs.retain(|(needed, _)| *needed > commit);
    }

    /// Advances the commit index to `index` and applies the entries up to it.
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
            log::error!("cannot compact the log up to {index}: it is not committed");
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

    /// Emits the queued writes as one action unless a write is outstanding.
    fn emit_persist(&mut self) {
        let upto = self.entries.last().index;
        if let Some(batch) = self.journal.take(self.hard_state.epoch, upto) {
            self.actions.push(Action::Persist(batch));
        }
    }

    /// Appends an entry in the current epoch and returns its index.
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

/// Returns whether the entries have consecutive indexes after `previous`, and
/// epochs that neither decrease nor exceed the sender's `epoch`.
fn is_contiguous(previous: Position, entries: &[Entry], epoch: Epoch) -> bool {
    let mut before = previous;
    let ordered = entries.iter().all(|entry| {
        let next = entry.index == before.index.next() && entry.epoch >= before.epoch;
        before = entry.position();
        next
    });
    ordered && before.epoch <= epoch
}
