//! Elections: pre-vote, votes, and handing leadership over.

use std::collections::BTreeSet;

use pomelovale_protocol::log::{Epoch, LogMessage, Position, ReplicaId};
use pomelovale_state::Millis;
use rand::Rng;

use crate::log::{HardState, Role};
use crate::replica::Replica;

/// Wait before another attempt after one that did not succeed, shortest and
/// longest, in milliseconds. It covers a round trip of 110 ms and a sync of a
/// fast disk.
const ELECTION_RETRY_MS: (u64, u64) = (150, 350);
/// Doublings of that wait. Each campaign that did not succeed may have failed
/// because the others sync slowly: their votes count only in its own epoch.
const RETRY_DOUBLINGS_MAX: u32 = 5;

impl Replica {
    /// Asks whether an election could be won, without raising the epoch.
    pub(crate) fn start_pre_vote(&mut self) {
        if !self.entries.is_voter(&self.id) {
            self.reset_election_deadline();
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.granted.clear();
        self.schedule_retry();
        let message = LogMessage::PreVote {
            epoch: self.hard_state.epoch.next(),
            last: self.entries.last(),
        };
        self.ask_voters(message);
        self.count_pre_votes();
    }

    /// Campaigns in the next epoch. The requests leave once the own vote is
    /// synced, so that a restart cannot campaign twice in one epoch.
    pub(crate) fn campaign(&mut self, transfer: bool) {
        let epoch = self.hard_state.epoch.next();
        self.hard_state = HardState {
            epoch,
            vote: Some(self.id.clone()),
        };
        self.journal.write_hard(self.hard_state.clone());
        self.role = Role::Candidate;
        self.leader = None;
        self.granted.clear();
        self.schedule_retry();
        self.campaigns += 1;
        let message = LogMessage::Vote {
            epoch,
            last: self.entries.last(),
            transfer,
        };
        self.ask_voters(message);
    }

    fn schedule_retry(&mut self) {
        let wait = self
            .rng
            .random_range(ELECTION_RETRY_MS.0..=ELECTION_RETRY_MS.1);
        self.election_deadline = self.now.plus(wait);
    }

    /// Waits for an election from the moment on at which the own vote is synced:
    /// nothing could come of it before.
    pub(crate) fn on_vote_synced(&mut self) {
        let shift = self.campaigns.saturating_sub(1).min(RETRY_DOUBLINGS_MAX);
        let extra = ELECTION_RETRY_MS.1 * ((1 << shift) - 1);
        match self.role {
            Role::Candidate => self.schedule_retry(),
            Role::Follower if self.leader.is_none() => self.reset_election_deadline(),
            Role::Follower | Role::Leader | Role::PreCandidate => return,
        }
        self.election_deadline = self.election_deadline.plus(extra);
    }

    fn ask_voters(&mut self, message: LogMessage) {
        let mut others = self.entries.members().voters.clone();
        others.remove(&self.id);
        for to in &others {
            self.send_synced(to, message.clone());
        }
    }

    /// Whether this replica leads or heard from the leader just now. Then it
    /// supports no election, so that a replica that was cut off disturbs
    /// nobody when it returns.
    fn has_leader(&self) -> bool {
        let fresh = |at: Millis| self.now.since(at) < self.config.election_ms.0;
        self.role == Role::Leader
            || self.leader.is_some() && self.last_leader_contact.is_some_and(fresh)
    }

    pub(crate) fn on_pre_vote(&mut self, from: ReplicaId, epoch: Epoch, last: Position) {
        // Of two replicas that ask at the same time only one goes on, or both
        // would campaign and split the votes.
        let rival = self.role == Role::PreCandidate
            && (self.entries.last(), &self.id) > (last, &from)
            && self.entries.is_voter(&from);
        let granted = epoch > self.hard_state.epoch
            && last >= self.entries.last()
            && !self.has_leader()
            && !rival;
        if granted && self.role == Role::PreCandidate {
            self.role = Role::Follower;
        }
        if granted {
            self.schedule_retry();
        }
        let reply = LogMessage::PreVoteReply {
            epoch: if granted {
                epoch
            } else {
                self.hard_state.epoch
            },
            granted,
        };
        self.send_synced(&from, reply);
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: ReplicaId, epoch: Epoch, granted: bool) {
        let asked = self.role == Role::PreCandidate && epoch == self.hard_state.epoch.next();
        if asked && granted {
            self.granted.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        if self.is_quorum_with_self(&self.granted) {
            self.campaign(false);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        from: ReplicaId,
        epoch: Epoch,
        last: Position,
        transfer: bool,
    ) {
        if epoch > self.hard_state.epoch {
            if self.has_leader() && !transfer {
                return;
            }
            self.become_follower(epoch, None);
        }
        let free = match &self.hard_state.vote {
            Some(vote) => *vote == from,
            None => self.leader.is_none(),
        };
        let granted = epoch == self.hard_state.epoch && free && last >= self.entries.last();
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from.clone());
            self.journal.write_hard(self.hard_state.clone());
        }
        if granted {
            self.role = Role::Follower;
            self.reset_election_deadline();
        }
        let reply = LogMessage::VoteReply {
            epoch: self.hard_state.epoch,
            granted,
        };
        self.send_synced(&from, reply);
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, epoch: Epoch, granted: bool) {
        let asked = self.role == Role::Candidate && epoch == self.hard_state.epoch;
        if asked && granted {
            self.granted.insert(from);
            self.count_votes();
        }
    }

    /// Becomes leader with the votes of a quorum, the own synced one included.
    pub(crate) fn count_votes(&mut self) {
        let own = self.journal.vote_synced() && self.hard_state.vote.as_ref() == Some(&self.id);
        if own && self.is_quorum_with_self(&self.granted) {
            self.become_leader();
        }
    }

    fn is_quorum_with_self(&self, granted: &BTreeSet<ReplicaId>) -> bool {
        let voters = &self.entries.members().voters;
        let counts = |id: &&ReplicaId| **id == self.id || granted.contains(*id);
        voters.contains(&self.id) && voters.iter().filter(counts).count() > voters.len() / 2
    }

    pub(crate) fn on_hand_over(&mut self, from: ReplicaId, epoch: Epoch) {
        let current = epoch == self.hard_state.epoch && self.leader.as_ref() == Some(&from);
        if current && self.role == Role::Follower && self.entries.is_voter(&self.id) {
            self.campaign(true);
        }
    }
}
