//! Membership: bootstrap of the log, changes through the log, and replacement
//! of lost disks.

use pomelovale_protocol::log::{EntryData, Epoch, LogIndex, LogMessage, Members, ReplicaId};
use std::collections::BTreeSet;

use pomelovale_state::{ErrorKind, Millis, Name};

use crate::log::{HardState, MemberChange, Membership, Role};
use crate::replica::Replica;
use crate::replication::LeaderState;

/// Interval between announcements of a replica to which no leader replicates,
/// in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 300;

/// Time for which an announcement is valid, in milliseconds.
const ANNOUNCEMENT_TTL_MS: u64 = 2_000;

/// Time without contact after which an open membership replaces a voter, in
/// milliseconds. It is longer than a process takes to restart.
const REPLACE_AFTER_MS: u64 = 2_500;

/// The latest announcement from an instance.
#[derive(Debug)]
pub(crate) struct Announcement {
    at: Millis,
    id: ReplicaId,
    vacant: bool,
}

impl Replica {
    /// Announces a replica to which no leader replicates, or bootstraps the
    /// log. The replica announces itself even if its log lists it as a member:
    /// the entry that added it may be lost, or an entry that it lacks may have
    /// removed it.
    pub(crate) fn announce(&mut self) {
        if self.now < self.next_announcement {
            return;
        }
        self.next_announcement = self.now.plus(ANNOUNCE_INTERVAL_MS);
        if self.may_bootstrap() {
            self.bootstrap_log();
            return;
        }
        let vacant = self.is_empty();
        let members = self.entries.members();
        let known = members.voters.iter().chain(&members.learners);
        let mut peers: BTreeSet<Name> = known.map(|id| id.name.clone()).collect();
        peers.extend(self.config.peers.iter().cloned());
        peers.remove(&self.id.name);
        for name in peers {
            self.send(
                &ReplicaId::any_incarnation(name),
                LogMessage::Announce { vacant },
            );
        }
    }

    pub(crate) fn on_announce(&mut self, id: ReplicaId, vacant: bool) {
        let at = self.now;
        let open = matches!(self.config.membership, Membership::Open { .. });
        if open || self.config.peers.contains(&id.name) || self.announcements.contains_key(&id.name)
        {
            self.relay_to_leader(&id);
            let announcement = Announcement { at, id, vacant };
            self.announcements
                .insert(announcement.id.name.clone(), announcement);
        }
    }

    /// Handles an announcement relayed by a follower. The log is already
    /// bootstrapped, since there is a leader, so the announcement counts as not
    /// vacant.
    pub(crate) fn on_relay(&mut self, id: ReplicaId) {
        if self.role == Role::Leader && id.name != self.id.name {
            self.on_announce(id, false);
        }
    }

    /// Forwards the announcement of a replica that is not a member to the
    /// leader: the replica may know only the members of the bootstrap, and the
    /// leader may be none of them.
    fn relay_to_leader(&mut self, id: &ReplicaId) {
        let leader = self.leader.clone().filter(|leader| *leader != self.id);
        match leader {
            Some(leader) if !self.entries.is_member(id) => {
                self.send(&leader, LogMessage::Relay { id: id.clone() });
            }
            Some(_) | None => {}
        }
    }

    /// Whether this replica has neither voted nor stored an entry.
    fn is_empty(&self) -> bool {
        self.hard_state.epoch == Epoch(0) && self.entries.last().index == LogIndex(0)
    }

    fn is_recent(&self, announcement: &Announcement) -> bool {
        self.now.since(announcement.at) < ANNOUNCEMENT_TTL_MS
    }

    /// Returns whether this replica may bootstrap the log: its name is the first of
    /// all peers, its disk is empty and of the first start, and all other peers
    /// recently announced an empty disk. A peer that holds data or is unreachable
    /// prevents the bootstrap, so that the log is not bootstrapped twice. The disks
    /// of the others need not be of the first start: only this replica bootstraps the
    /// log, and would not be empty if it had.
    fn may_bootstrap(&self) -> bool {
        let vacant = |name| match self.announcements.get(name) {
            Some(announcement) => announcement.vacant && self.is_recent(announcement),
            None => *name == self.id.name,
        };
        let peers = &self.config.peers;
        self.config.founding
            && self.is_empty()
            && peers.iter().min() == Some(&self.id.name)
            && peers.iter().all(vacant)
    }

    fn bootstrap_log(&mut self) {
        let others = self
            .config
            .peers
            .iter()
            .filter_map(|n| self.announcements.get(n));
        let mut members = Members::default();
        members.voters.extend(others.map(|a| a.id.clone()));
        members.voters.insert(self.id.clone());
        self.hard_state = HardState {
            epoch: Epoch(1),
            vote: Some(self.id.clone()),
        };
        self.journal.write_hard(self.hard_state.clone());
        self.append_as_leader(EntryData::Members(members));
        self.start_pre_vote();
    }

    /// Handles a request to change the members.
    pub(crate) fn change_members(&mut self, token: u64, change: MemberChange) {
        if self.role != Role::Leader {
            self.reject(token, ErrorKind::NotLeader);
            return;
        }
        if change == MemberChange::Remove(self.id.clone()) {
            self.resign();
            self.reject(token, ErrorKind::NotLeader);
            return;
        }
        match self.apply_member_change(&change) {
            Ok(members) if !self.may_change_members() || !self.has_responsive_quorum(&members) => {
                self.reject(token, ErrorKind::Unavailable);
            }
            Ok(members) => self.append_and_replicate(Some(token), EntryData::Members(members)),
            Err(kind) => self.reject(token, kind),
        }
    }

    /// Returns whether the previous membership change and an entry of this epoch
    /// are committed. Otherwise two leaders could commit entries with quorums
    /// that do not overlap.
    fn may_change_members(&self) -> bool {
        let ready = |leader_state: &LeaderState| {
            leader_state.transfer.is_none()
                && self.commit >= leader_state.first.max(self.entries.config_index())
        };
        self.leader_state.as_ref().is_some_and(ready)
    }

    fn apply_member_change(&self, change: &MemberChange) -> Result<Members, ErrorKind> {
        let mut members = self.entries.members().clone();
        match change {
            MemberChange::AddLearner(id) => {
                let id = self.resolve_incarnation(id)?;
                if self.entries.is_member(&id) {
                    return Err(ErrorKind::BadRequest);
                }
                // Learners count towards no quorum, so one entry may replace one
                // learner by another.
                members.learners.retain(|other| other.name != id.name);
                members.learners.insert(id);
            }
            MemberChange::Promote(id) => {
                if !members.learners.remove(id) {
                    return Err(ErrorKind::NotFound);
                }
                if !self.is_caught_up(id) {
                    return Err(ErrorKind::Unavailable);
                }
                members.voters.insert(id.clone());
            }
            MemberChange::Remove(id) => {
                if !members.learners.remove(id) && !members.voters.remove(id) {
                    return Err(ErrorKind::NotFound);
                }
            }
        }
        Ok(members)
    }

    fn resolve_incarnation(&self, id: &ReplicaId) -> Result<ReplicaId, ErrorKind> {
        match self.announcements.get(&id.name) {
            _ if id.incarnation != ReplicaId::ANY => Ok(id.clone()),
            Some(announcement) => Ok(announcement.id.clone()),
            None => Err(ErrorKind::Unavailable),
        }
    }

    fn is_caught_up(&self, id: &ReplicaId) -> bool {
        let progress = self.leader_state.as_ref().and_then(|l| l.progress.get(id));
        let recent = |at: Millis| self.now.since(at) < self.config.election_ms.0;
        progress.is_some_and(|p| p.caught_up.is_some_and(recent))
    }

    /// Returns whether a replica has not responded for the shortest election
    /// timeout.
    fn is_unresponsive(&self, id: &ReplicaId) -> bool {
        let progress = self.leader_state.as_ref().and_then(|l| l.progress.get(id));
        progress.is_some_and(|p| self.now.since(p.last_contact()) > self.config.election_ms.0)
    }

    /// Returns whether an open membership may replace a voter that has not
    /// responded.
    fn is_replaceable(&self, id: &ReplicaId) -> bool {
        let progress = self.leader_state.as_ref().and_then(|l| l.progress.get(id));
        let expired = progress.is_some_and(|p| self.now.since(p.last_contact()) > REPLACE_AFTER_MS);
        self.config.membership != Membership::Fixed && *id != self.id && expired
    }

    fn voters_max(&self) -> usize {
        match self.config.membership {
            Membership::Fixed => usize::MAX,
            Membership::Open { voters } => voters,
        }
    }

    /// Returns whether a quorum of `members` responds. The leader could not undo
    /// a change to members of which it cannot reach a quorum.
    fn has_responsive_quorum(&self, members: &Members) -> bool {
        let voters = &members.voters;
        let silent = voters.iter().filter(|id| self.is_unresponsive(id)).count();
        voters.len() - silent > voters.len() / 2
    }

    /// Proposes the next membership change that is needed to replace a lost disk
    /// or to admit a replica.
    pub(crate) fn change_members_if_needed(&mut self) {
        if !self.may_change_members() {
            return;
        }
        let Some(change) = self.next_member_change() else {
            return;
        };
        let members = self.apply_member_change(&change).ok();
        if let Some(members) = members.filter(|members| self.has_responsive_quorum(members)) {
            log::info!("{} proposes a membership change: {change:?}", self.id);
            self.append_and_replicate(None, EntryData::Members(members));
        }
    }

    /// Returns the next membership change that is needed. A replica with a new
    /// disk joins as a learner; once it has caught up, its old identity is
    /// removed, and then it becomes a voter.
    fn next_member_change(&self) -> Option<MemberChange> {
        let members = self.entries.members();
        let replaceable = members.voters.iter().find(|id| self.is_replaceable(id));
        let same_name = |id: &ReplicaId| members.voters.iter().find(|v| v.name == id.name);
        let next_change_for = |learner: &ReplicaId| match (same_name(learner), replaceable) {
            (None, Some(replaceable)) => Some(MemberChange::Remove(replaceable.clone())),
            (None, None) if members.voters.len() >= self.voters_max() => None,
            (None, None) => Some(MemberChange::Promote(learner.clone())),
            (Some(old), _) if self.is_unresponsive(old) => Some(MemberChange::Remove(old.clone())),
            (Some(_), _) => None,
        };
        let mut caught_up = members.learners.iter().filter(|id| self.is_caught_up(id));
        if let Some(change) = caught_up.find_map(next_change_for) {
            return Some(change);
        }
        // An even number of voters tolerates no more failures than one voter
        // fewer.
        if let Some(replaceable) = replaceable.filter(|_| members.voters.len().is_multiple_of(2)) {
            return Some(MemberChange::Remove(replaceable.clone()));
        }
        let recent = self.announcements.values().filter(|a| self.is_recent(a));
        let non_members = recent.filter(|a| !self.entries.is_member(&a.id));
        non_members.map(|a| &a.id).find_map(|id| {
            let learner = members.learners.iter().find(|l| l.name == id.name);
            match (learner, same_name(id)) {
                (None, Some(old)) if !self.is_unresponsive(old) => None,
                (None, None) if self.config.membership == Membership::Fixed => None,
                (Some(_), _) | (None, _) => Some(MemberChange::AddLearner(id.clone())),
            }
        })
    }
}
