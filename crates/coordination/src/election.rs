//! Elections: pre-vote, vote and transfer of leadership.

use std::collections::BTreeSet;

use pomelovale_protocol::log::{Epoch, LogMessage, Position, ReplicaId};
use pomelovale_state::Millis;
use rand::Rng;

use crate::log::{HardState, Role};
use crate::replica::Replica;

/// Shortest and longest wait before a failed pre-vote or election is retried,
/// in milliseconds. It covers a round trip of 110 ms and a sync on a fast disk.
const ELECTION_RETRY_MS: (u64, u64) = (150, 350);
/// Largest number of times that the wait is doubled, once per failed election.
/// An election may fail because other replicas sync their votes too slowly, and
/// late votes do not count in the epoch of the retry.
const RETRY_DOUBLINGS_MAX: u32 = 5;

impl Replica {
    /// Starts a pre-vote, which finds out whether an election could be won,
    /// without raising the epoch.
    pub(crate) fn start_pre_vote(&mut self) {
        if !self.entries.is_voter(&self.id) {
            self.reset_election_deadline();
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.granted.clear();
        self.set_short_deadline();
        let message = LogMessage::PreVote {
            epoch: self.hard_state.epoch.next(),
            last: self.entries.last(),
        };
        self.ask_voters(message);
        self.count_pre_votes();
    }

    /// Starts an election in the next epoch. The vote requests are sent once
    /// this replica's own vote is synced, so that it cannot start two elections
    /// in one epoch across a restart.
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
        self.set_short_deadline();
        self.campaigns += 1;
        let message = LogMessage::Vote {
            epoch,
            last: self.entries.last(),
            transfer,
        };
        self.ask_voters(message);
    }

    /// Sets the election deadline to a random time within `ELECTION_RETRY_MS`: for
    /// a retry of this replica's own election, or after it granted a pre-vote to
    /// another replica, which may then win or fail.
    fn set_short_deadline(&mut self) {
        let wait = self
            .rng
            .random_range(ELECTION_RETRY_MS.0..=ELECTION_RETRY_MS.1);
        self.election_deadline = self.now.plus(wait);
    }

    /// Restarts the election deadline when this replica's own vote is synced,
    /// since the election cannot succeed before that. The wait doubles with
    /// each failed election.
    pub(crate) fn on_vote_synced(&mut self) {
        let shift = self.campaigns.saturating_sub(1).min(RETRY_DOUBLINGS_MAX);
        let extra = ELECTION_RETRY_MS.1 * ((1 << shift) - 1);
        match self.role {
            Role::Candidate => self.set_short_deadline(),
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

    /// Returns whether this replica leads, or had contact with the leader within
    /// the shortest election timeout. It then supports no election, so that a
    /// replica that was partitioned does not depose the leader on its return.
    fn has_leader(&self) -> bool {
        let fresh = |at: Millis| self.now.since(at) < self.config.election_ms.0;
        self.role == Role::Leader || self.leader.is_some() && self.leader_contact.is_some_and(fresh)
    }

    pub(crate) fn on_pre_vote(&mut self, from: ReplicaId, epoch: Epoch, last: Position) {
        // Of two replicas in pre-vote at the same time only one may proceed;
        // otherwise both would start an election and split the votes.
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
            self.set_short_deadline();
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
        let awaiting_reply =
            self.role == Role::PreCandidate && epoch == self.hard_state.epoch.next();
        if awaiting_reply && granted {
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
        let vote_available = match &self.hard_state.vote {
            Some(vote) => *vote == from,
            None => self.leader.is_none(),
        };
        let granted =
            epoch == self.hard_state.epoch && vote_available && last >= self.entries.last();
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
        let awaiting_reply = self.role == Role::Candidate && epoch == self.hard_state.epoch;
        if awaiting_reply && granted {
            self.granted.insert(from);
            self.count_votes();
        }
    }

    /// Becomes leader with the votes of a quorum, including this replica's own
    /// synced vote.
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
