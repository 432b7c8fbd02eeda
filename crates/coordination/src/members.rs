//! Members: founding, changes through the log, and replaced disks.

use pomelovale_protocol::log::{EntryData, Epoch, LogIndex, LogMessage, Members, ReplicaId};
use std::collections::BTreeSet;

use pomelovale_state::{ErrorKind, Millis, Name};

use crate::log::{HardState, MemberChange, Membership, Role};
use crate::replica::Replica;
use crate::replication::Lead;

/// Time between two announcements of a replica that no leader serves, in
/// milliseconds.
const ANNOUNCE_MS: u64 = 300;

/// Age up to which an announcement counts, in milliseconds.
const ANNOUNCED_MS: u64 = 2_000;

/// Silence after which an open membership gives a voter's place to another
/// replica, in milliseconds. Longer than a restart of a process takes.
const REPLACE_MS: u64 = 2_500;

/// The latest announcement under a name.
#[derive(Debug)]
pub(crate) struct Announced {
    at: Millis,
    id: ReplicaId,
    vacant: bool,
}

impl Replica {
    /// Makes the identity of a replica that no leader serves known, or founds
    /// the log. What the replica takes for the members does not matter: the
    /// entry that admitted it may be lost, or one that it lacks may have
    /// removed it.
    pub(crate) fn announce(&mut self) {
        if self.now < self.announce_at {
            return;
        }
        self.announce_at = self.now.plus(ANNOUNCE_MS);
        if self.may_found() {
            self.found();
            return;
        }
        let vacant = self.is_vacant();
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
        if open || self.config.peers.contains(&id.name) || self.announced.contains_key(&id.name) {
            self.relay(&id);
            let announced = Announced { at, id, vacant };
            self.announced.insert(announced.id.name.clone(), announced);
        }
    }

    /// Takes an identity that became known to a follower. It is no founder's:
    /// there is a leader.
    pub(crate) fn on_relay(&mut self, id: ReplicaId) {
        if self.role == Role::Leader && id.name != self.id.name {
            self.on_announce(id, false);
        }
    }

    // A replica may know no other than the founders, none of which leads.
    fn relay(&mut self, id: &ReplicaId) {
        let leader = self.leader.clone().filter(|leader| *leader != self.id);
        match leader {
            Some(leader) if !self.entries.is_member(id) => {
                self.send(&leader, LogMessage::Relay { id: id.clone() });
            }
            Some(_) | None => {}
        }
    }

    fn is_vacant(&self) -> bool {
        self.config.founding
            && self.hard.epoch == Epoch(0)
            && self.entries.last().index == LogIndex(0)
    }

    fn is_recent(&self, announced: &Announced) -> bool {
        self.now.since(announced.at) < ANNOUNCED_MS
    }

    /// Whether this replica founds the log: it has the first name of all
    /// peers, and the disks of all of them are known to be empty. One peer
    /// that holds something, or is out of reach, prevents a second founding.
    fn may_found(&self) -> bool {
        let vacant = |name| match self.announced.get(name) {
            Some(announced) => announced.vacant && self.is_recent(announced),
            None => *name == self.id.name,
        };
        let peers = &self.config.peers;
        self.is_vacant() && peers.iter().min() == Some(&self.id.name) && peers.iter().all(vacant)
    }

    fn found(&mut self) {
        let others = self
            .config
            .peers
            .iter()
            .filter_map(|n| self.announced.get(n));
        let mut members = Members::default();
        members.voters.extend(others.map(|a| a.id.clone()));
        members.voters.insert(self.id.clone());
        self.hard = HardState {
            epoch: Epoch(1),
            vote: Some(self.id.clone()),
        };
        self.journal.write_hard(self.hard.clone());
        self.append(EntryData::Members(members));
        self.pre_campaign();
    }

    /// Changes the members on request.
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
        match self.changed_members(&change) {
            Ok(members) if !self.may_change_members() || !self.is_workable(&members) => {
                self.reject(token, ErrorKind::Unavailable);
            }
            Ok(members) => self.lead_entry(Some(token), EntryData::Members(members)),
            Err(kind) => self.reject(token, kind),
        }
    }

    /// Whether the previous change is committed, and an entry of this epoch:
    /// otherwise two leaders could decide by quorums that do not overlap.
    fn may_change_members(&self) -> bool {
        let ready = |lead: &Lead| {
            lead.transfer.is_none() && self.commit >= lead.first.max(self.entries.config_index())
        };
        self.lead.as_ref().is_some_and(ready)
    }

    fn changed_members(&self, change: &MemberChange) -> Result<Members, ErrorKind> {
        let mut members = self.entries.members().clone();
        match change {
            MemberChange::AddLearner(id) => {
                let id = self.resolve(id)?;
                if self.entries.is_member(&id) {
                    return Err(ErrorKind::BadRequest);
                }
                // Learners count towards no quorum, so one entry may swap them.
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

    fn resolve(&self, id: &ReplicaId) -> Result<ReplicaId, ErrorKind> {
        match self.announced.get(&id.name) {
            _ if id.incarnation != ReplicaId::ANY => Ok(id.clone()),
            Some(announced) => Ok(announced.id.clone()),
            None => Err(ErrorKind::Unavailable),
        }
    }

    fn is_caught_up(&self, id: &ReplicaId) -> bool {
        let progress = self.lead.as_ref().and_then(|l| l.progress.get(id));
        let recent = |at: Millis| self.now.since(at) < self.config.election_ms.0;
        progress.is_some_and(|p| p.caught_up.is_some_and(recent))
    }

    /// Whether a voter has been silent for as long as a failed leader.
    fn is_silent(&self, id: &ReplicaId) -> bool {
        let progress = self.lead.as_ref().and_then(|l| l.progress.get(id));
        progress.is_some_and(|p| self.now.since(p.seen()) > self.config.election_ms.0)
    }

    /// Whether an open membership may give the place of a voter away.
    fn is_lost(&self, id: &ReplicaId) -> bool {
        let progress = self.lead.as_ref().and_then(|l| l.progress.get(id));
        let long = progress.is_some_and(|p| self.now.since(p.seen()) > REPLACE_MS);
        self.config.membership != Membership::Fixed && *id != self.id && long
    }

    fn voters_max(&self) -> usize {
        match self.config.membership {
            Membership::Fixed => usize::MAX,
            Membership::Open { voters } => voters,
        }
    }

    /// Whether a quorum of `members` answers. The leader could not undo a
    /// change whose quorum it cannot reach.
    fn is_workable(&self, members: &Members) -> bool {
        let voters = &members.voters;
        let silent = voters.iter().filter(|id| self.is_silent(id)).count();
        voters.len() - silent > voters.len() / 2
    }

    /// Takes the next step that replaces a lost disk or admits a learner.
    pub(crate) fn drive_members(&mut self) {
        if !self.may_change_members() {
            return;
        }
        let Some(change) = self.next_change() else {
            return;
        };
        let members = self.changed_members(&change).ok();
        if let Some(members) = members.filter(|members| self.is_workable(members)) {
            log::info!("{} changes the members: {change:?}", self.id);
            self.lead_entry(None, EntryData::Members(members));
        }
    }

    /// A replaced replica joins as a learner; once it has caught up, its old
    /// identity is removed, then it becomes a voter.
    fn next_change(&self) -> Option<MemberChange> {
        let members = self.entries.members();
        let lost = members.voters.iter().find(|id| self.is_lost(id));
        let same_name = |id: &ReplicaId| members.voters.iter().find(|v| v.name == id.name);
        let place = |learner: &ReplicaId| match (same_name(learner), lost) {
            (None, Some(lost)) => Some(MemberChange::Remove(lost.clone())),
            (None, None) if members.voters.len() >= self.voters_max() => None,
            (None, None) => Some(MemberChange::Promote(learner.clone())),
            (Some(old), _) if self.is_silent(old) => Some(MemberChange::Remove(old.clone())),
            (Some(_), _) => None,
        };
        let mut caught_up = members.learners.iter().filter(|id| self.is_caught_up(id));
        if let Some(change) = caught_up.find_map(place) {
            return Some(change);
        }
        // An even number of voters bears no more losses than one voter fewer.
        if let Some(lost) = lost.filter(|_| members.voters.len().is_multiple_of(2)) {
            return Some(MemberChange::Remove(lost.clone()));
        }
        let recent = self.announced.values().filter(|a| self.is_recent(a));
        let strangers = recent.filter(|a| !self.entries.is_member(&a.id));
        strangers.map(|a| &a.id).find_map(|id| {
            let learner = members.learners.iter().find(|l| l.name == id.name);
            match (learner, same_name(id)) {
                (None, Some(old)) if !self.is_silent(old) => None,
                (None, None) if self.config.membership == Membership::Fixed => None,
                (Some(_), _) | (None, _) => Some(MemberChange::AddLearner(id.clone())),
            }
        })
    }
}
