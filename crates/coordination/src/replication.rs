//! The leader's side: proposals, heartbeats, replication and freshness proofs.

use std::collections::{BTreeMap, VecDeque};

use pomelovale_protocol::log::{
    EntryData, LogIndex, LogMessage, Payload, Position, Refused, ReplicaId,
};
use pomelovale_state::{ErrorKind, Millis};

use crate::log::{Action, Role};
use crate::replica::Replica;

/// Largest number of unacknowledged entries in flight to a replica.
const INFLIGHT_ENTRIES_MAX: u64 = 4_096;

/// Largest payload of the unacknowledged entries in flight to a replica, in bytes; the
/// entry that exceeds it is the last one. Heartbeats wait behind them on a slow link.
const INFLIGHT_BYTES_MAX: usize = 1024 * 1024;

/// Largest number of messages sent to a replica at once.
const APPEND_BURST_MAX: usize = 4;

/// Largest number of uncommitted entries; further proposals are rejected.
const UNCOMMITTED_ENTRIES_MAX: u64 = 10_000;

/// Largest payload of the uncommitted entries, in bytes; further proposals are rejected.
const UNCOMMITTED_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Time to wait for the reply to a snapshot before it is sent again, in
/// milliseconds, in addition to its transfer time.
const INSTALL_RETRY_MS: u64 = 3_000;

/// Lowest assumed rate at which a snapshot is sent, received and synced, in
/// bytes per millisecond.
const INSTALL_BYTES_PER_MS: u64 = 2_000;

/// Number of heartbeat rounds kept. They reach back further than the longest
/// election timeout, after which a leader without a quorum steps down.
const HEARTBEAT_ROUNDS_MAX: usize = 64;

/// State that a leader keeps for its epoch.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Index of the empty entry that the leader appends first in its epoch.
    pub(crate) first: LogIndex,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Index and token of each uncommitted proposal, in order.
    pub(crate) tokens: VecDeque<(LogIndex, u64)>,
    pub(crate) transfer: Option<Transfer>,
    next_heartbeat: Millis,
    round: u64,
    /// Number and send time of recent heartbeat rounds.
    rounds: VecDeque<(u64, Millis)>,
}

/// A transfer of leadership in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// The replica that takes over.
    pub(crate) target: ReplicaId,
    /// Time at which the leader steps down even if the target has not taken
    /// over.
    until: Millis,
}

/// Replication state of another replica, as known to the leader.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Send time of the latest heartbeat round that the replica acknowledged.
    acked_round: Option<Millis>,
    /// Time at which the replica last reached a catch-up target within the
    /// shortest election timeout; `None` if it took longer the last time.
    pub(crate) caught_up: Option<Millis>,
    /// Counter of the latest reply, echoed to the replica.
    echo: u64,
    /// Last index of the log at some earlier time, and that time.
    sync_target: (LogIndex, Millis),
    /// Send time of a snapshot that the replica has not acknowledged.
    install_sent: Option<Millis>,
    /// Last index that the replica has synced.
    pub(crate) matched: LogIndex,
    /// The next index to send.
    next: LogIndex,
    /// Index last probed, while the last index common to both logs is unknown.
    probe: Option<LogIndex>,
    /// Time at which the leader started to replicate to it.
    tracked_since: Millis,
}

impl Progress {
    fn new(last: LogIndex, now: Millis) -> Progress {
        Progress {
            acked_round: None,
            caught_up: None,
            echo: 0,
            sync_target: (last, now),
            install_sent: None,
            matched: LogIndex(0),
            next: last.next(),
            probe: None,
            tracked_since: now,
        }
    }

    /// Records whether the replica reached the catch-up target within `allowed`
    /// milliseconds, and sets the next target.
    fn update_caught_up(&mut self, last: LogIndex, now: Millis, allowed: u64) {
        if self.matched >= self.sync_target.0 {
            let in_time = now.since(self.sync_target.1) <= allowed;
            self.caught_up = in_time.then_some(now);
            self.sync_target = (last, now);
        }
    }

    /// Moves the next index back after a refusal. Returns whether a new
    /// position has to be probed.
    fn on_refused(&mut self, refused: Refused) -> bool {
        // A refusal of another position answers a message sent before the
        // latest probe.
        let expected = self.probe.is_none_or(|at| at == refused.previous);
        if self.install_sent.is_some() || !expected || refused.previous <= self.matched {
            return false;
        }
        let next = refused.hint.min(refused.previous.previous()).next();
        self.next = next.max(self.matched.next());
        self.probe = Some(self.next.previous());
        true
    }

    fn on_accepted(&mut self, verified: LogIndex) {
        self.probe = None;
        self.install_sent = None;
        self.next = self.next.max(verified.next());
    }

    /// Latest time as of which the replica is known to follow this leader, or
    /// the time at which the leader started to replicate to it.
    pub(crate) fn last_contact(&self) -> Millis {
        self.acked_round.unwrap_or(self.tracked_since)
    }
}

impl Replica {
    pub(crate) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        self.campaigns = 0;
        self.leader_state = Some(LeaderState {
            first: self.entries.last().index.next(),
            progress: BTreeMap::new(),
            tokens: VecDeque::new(),
            transfer: None,
            next_heartbeat: self.now,
            round: 0,
            rounds: VecDeque::new(),
        });
        self.track_members();
        self.append_as_leader(EntryData::Empty);
        self.send_heartbeats();
    }

    /// Starts to track new members and forgets removed ones.
    pub(crate) fn track_members(&mut self) {
        let last = self.entries.last().index;
        let members = self.entries.members();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state
            .progress
            .retain(|id, _| members.voters.contains(id) || members.learners.contains(id));
        for id in members.voters.iter().chain(&members.learners) {
            if *id != self.id && !leader_state.progress.contains_key(id) {
                let progress = Progress::new(last, self.now);
                leader_state.progress.insert(id.clone(), progress);
            }
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        if self.now.since(self.quorum_last_contact()) > self.config.election_ms.1 {
            self.become_follower(self.hard_state.epoch, None);
            return;
        }
        self.update_proven();
        self.change_members_if_needed();
        self.continue_transfer();
        let due = self
            .leader_state
            .as_ref()
            .is_some_and(|l| self.now >= l.next_heartbeat);
        if due {
            self.send_heartbeats();
        }
    }

    /// Starts a heartbeat round.
    fn send_heartbeats(&mut self) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.round += 1;
        leader_state.next_heartbeat = self.now.plus(self.config.heartbeat_ms);
        if leader_state.rounds.len() == HEARTBEAT_ROUNDS_MAX {
            leader_state.rounds.pop_front();
        }
        leader_state
            .rounds
            .push_back((leader_state.round, self.now));
        let others: Vec<ReplicaId> = leader_state.progress.keys().cloned().collect();
        for to in &others {
            self.replicate(to, true);
        }
        self.advance_commit();
    }

    /// Sends entries to all replicas below the in-flight limit.
    pub(crate) fn replicate_all(&mut self) {
        let keys = |leader_state: &LeaderState| leader_state.progress.keys().cloned().collect();
        let others: Vec<ReplicaId> = self.leader_state.as_ref().map(keys).unwrap_or_default();
        for to in &others {
            self.replicate(to, false);
        }
    }

    /// Sends `to` the entries it lacks. With `heartbeat` set, a message is sent
    /// even if it lacks none.
    fn replicate(&mut self, to: &ReplicaId, heartbeat: bool) {
        let mut heartbeat_due = heartbeat;
        for _ in 0..APPEND_BURST_MAX {
            let Some(message) = self.next_message(to, heartbeat_due) else {
                return;
            };
            heartbeat_due = false;
            self.send(to, message);
        }
    }

    fn next_message(&mut self, to: &ReplicaId, heartbeat: bool) -> Option<LogMessage> {
        let proven = self.leader_proof();
        let leader_state = self.leader_state.as_mut()?;
        let progress = leader_state.progress.get_mut(to)?;
        let base = self.entries.base();
        let bytes = self.entries.snapshot().payload.len() as u64;
        let retry_after_ms = INSTALL_RETRY_MS + bytes / INSTALL_BYTES_PER_MS;
        let awaiting_reply = |at: Millis| self.now.since(at) < retry_after_ms;
        if progress.next <= base.index && !progress.install_sent.is_some_and(awaiting_reply) {
            progress.install_sent = Some(self.now);
            progress.probe = None;
            return Some(LogMessage::Install {
                epoch: self.hard_state.epoch,
                round: leader_state.round,
                snapshot: self.entries.snapshot().clone(),
            });
        }
        // Until the snapshot is acknowledged, heartbeats name the base as the
        // previous position. The replica refuses it until it has installed
        // the snapshot.
        let installing = progress.next <= base.index;
        let before = progress.next.previous().max(base.index);
        let (matched, sent) = (progress.matched, progress.next.previous());
        let many = sent.0 >= matched.0 + INFLIGHT_ENTRIES_MAX;
        let stored = &self.entries;
        let full = many || stored.exceeds(matched.max(base.index), sent, INFLIGHT_BYTES_MAX);
        let probing = progress.probe.is_some() && !heartbeat;
        let entries = if installing || full || probing {
            Vec::new()
        } else {
            self.entries.slice(progress.next, self.config.append_bytes)
        };
        if entries.is_empty() && !heartbeat {
            return None;
        }
        match progress.probe {
            Some(_) => progress.probe = Some(before),
            None => progress.next = LogIndex(progress.next.0 + entries.len() as u64),
        }
        Some(LogMessage::Append {
            age_ms: proven.map(|at| self.now.since(at)),
            commit: self.commit,
            echo: progress.echo,
            entries,
            epoch: self.hard_state.epoch,
            previous: Position {
                epoch: self.entries.epoch_at(before)?,
                index: before,
            },
            round: leader_state.round,
        })
    }

    pub(crate) fn on_append_reply(&mut self, from: ReplicaId, reply: LogMessage) {
        let LogMessage::AppendReply {
            counter,
            epoch,
            matched,
            refused,
            round,
            verified,
        } = reply
        else {
            return;
        };
        let last = self.entries.last().index;
        let Some(progress) = self
            .leader_state
            .as_mut()
            .and_then(|l| l.progress.get_mut(&from))
        else {
            return;
        };
        if epoch != self.hard_state.epoch {
            return;
        }
        progress.echo = counter;
        progress.matched = progress.matched.max(matched.min(last));
        progress.next = progress.next.max(progress.matched.next());
        if progress.next > self.entries.base().index {
            // The replica has the snapshot, even if its reply was lost.
            progress.install_sent = None;
        }
        progress.update_caught_up(last, self.now, self.config.election_ms.0);
        let probe = match refused {
            Some(refused) => progress.on_refused(refused),
            None => {
                progress.on_accepted(verified.min(last));
                false
            }
        };
        self.acknowledge_round(&from, round);
        if probe {
            self.send_probe(&from);
        }
        self.update_proven();
        self.advance_commit();
        self.continue_transfer();
        self.replicate(&from, false);
    }

    fn acknowledge_round(&mut self, from: &ReplicaId, round: u64) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let sent = leader_state.rounds.iter().find(|(sent, _)| *sent == round);
        let at = sent.map(|(_, at)| *at);
        if let Some(progress) = leader_state.progress.get_mut(from) {
            progress.acked_round = progress.acked_round.max(at);
        }
    }

    fn send_probe(&mut self, to: &ReplicaId) {
        if let Some(message) = self.next_message(to, true) {
            self.send(to, message);
        }
    }

    /// Commits the entries that a quorum has synced. Entries of earlier epochs
    /// are committed only together with one of this epoch, as in Raft:
    /// otherwise a replica with a later entry could still overwrite them.
    pub(crate) fn advance_commit(&mut self) {
        let own = Some(self.journal.durable());
        let index = self.quorum_value(own, |progress| Some(progress.matched));
        let Some(index) = index.filter(|index| *index > self.commit) else {
            return;
        };
        if self.entries.epoch_at(index) != Some(self.hard_state.epoch) {
            return;
        }
        self.commit_to(index);
        self.update_proven();
        self.change_members_if_needed();
    }

    /// Returns the greatest value that a quorum of the voters has reached. `own`
    /// is the value of this replica.
    fn quorum_value<V: Copy + Ord>(
        &self,
        own: Option<V>,
        value: impl Fn(&Progress) -> Option<V>,
    ) -> Option<V> {
        let leader_state = self.leader_state.as_ref()?;
        let voters = &self.entries.members().voters;
        let of = |id: &ReplicaId| match leader_state.progress.get(id) {
            Some(progress) => value(progress),
            None if *id == self.id => own,
            None => None,
        };
        let mut values: Vec<Option<V>> = voters.iter().map(of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(voters.len() / 2).copied().flatten()
    }

    /// Returns the latest time as of which a quorum is known to follow this
    /// leader.
    fn quorum_last_contact(&self) -> Millis {
        self.quorum_value(Some(self.now), |progress| Some(progress.last_contact()))
            .unwrap_or_default()
    }

    /// Returns the latest time as of which a quorum confirmed that there is no
    /// other leader; `None` until an entry of this epoch is committed.
    fn leader_proof(&self) -> Option<Millis> {
        let first = self.leader_state.as_ref()?.first;
        let own = (self.commit >= first).then_some(self.now)?;
        self.quorum_value(Some(own), |progress| progress.acked_round)
    }

    fn update_proven(&mut self) {
        self.proven = self.proven.max(self.leader_proof());
    }

    pub(crate) fn propose(&mut self, token: u64, payload: Payload) {
        let (commit, last) = (self.commit, self.entries.last().index);
        let waiting = last.0 - commit.0;
        let refusal = match &self.leader_state {
            None => Some(ErrorKind::NotLeader),
            Some(leader_state) if leader_state.transfer.is_some() => Some(ErrorKind::NotLeader),
            Some(_) if payload.len() > self.config.entry_bytes => Some(ErrorKind::TooLarge),
            Some(_) if waiting >= UNCOMMITTED_ENTRIES_MAX => Some(ErrorKind::Overloaded),
            Some(_) if self.entries.exceeds(commit, last, UNCOMMITTED_BYTES_MAX) => {
                Some(ErrorKind::Overloaded)
            }
            Some(_) => None,
        };
        match refusal {
            Some(kind) => self.reject(token, kind),
            None => self.append_and_replicate(Some(token), EntryData::Change(payload)),
        }
    }

    /// Appends an entry and replicates it.
    pub(crate) fn append_and_replicate(&mut self, token: Option<u64>, data: EntryData) {
        let index = self.append_as_leader(data);
        self.track_members();
        if let (Some(leader_state), Some(token)) = (&mut self.leader_state, token) {
            leader_state.tokens.push_back((index, token));
        }
        self.replicate_all();
    }

    /// Reports committed proposals as accepted.
    pub(crate) fn report_committed_proposals(&mut self) {
        let commit = self.commit;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        while let Some((index, token)) = leader_state.tokens.pop_front() {
            if index > commit {
                leader_state.tokens.push_front((index, token));
                break;
            }
            self.actions.push(Action::Accepted { token, index });
        }
    }

    /// Starts to transfer leadership to the responsive voter that holds the
    /// most entries, or to an unresponsive one if no other responds. Steps
    /// down if there is no other voter.
    pub(crate) fn resign(&mut self) {
        let until = self.now.plus(self.config.election_ms.1);
        let voters = &self.entries.members().voters;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let candidates = leader_state
            .progress
            .iter()
            .filter(|(id, _)| voters.contains(id));
        let answers = |p: &Progress| self.now.since(p.last_contact()) < self.config.election_ms.0;
        let best = candidates.max_by_key(|(_, p)| (answers(p), p.matched, p.acked_round));
        let target = best.map(|(id, _)| id.clone());
        match target {
            Some(target) => leader_state.transfer = Some(Transfer { target, until }),
            None => self.become_follower(self.hard_state.epoch, None),
        }
        self.continue_transfer();
    }

    /// Tells the target to take over once it has synced every entry. Steps down
    /// when the time for the transfer has passed.
    fn continue_transfer(&mut self) {
        let last = self.entries.last().index;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some(transfer) = &leader_state.transfer else {
            return;
        };
        let target = transfer.target.clone();
        let ready = leader_state
            .progress
            .get(&target)
            .is_some_and(|p| p.matched == last);
        if self.now >= transfer.until {
            self.become_follower(self.hard_state.epoch, None);
        } else if ready {
            let epoch = self.hard_state.epoch;
            self.send(&target, LogMessage::HandOver { epoch });
        }
    }
}
