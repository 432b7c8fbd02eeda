//! Processing of calls: the leader serves them, other instances forward them to
//! the leader.

use pomelovale_coordination::log::{Event, Role, ELECTION_MS};
use pomelovale_protocol::format::{encode_change, is_common, Format};
use pomelovale_protocol::grants::GrantRequest;
use pomelovale_protocol::log::Payload;
use pomelovale_protocol::messages::{PeerMessage, Request, Response};
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::{ErrorKind, Millis, Name};

use super::calls::{Sink, Target};
use super::event_loop::EventLoop;

/// Request identifier of the initial document.
const INITIAL_REQUEST: &str = "initial-document";

impl EventLoop {
    /// Assigns the calls that have no target or whose target is lost.
    pub(super) fn assign_calls(&mut self) {
        let epoch = self.leader.as_ref().map(|l| l.epoch);
        let leader = self.replica.status().leader.map(|l| l.name);
        let link = leader.as_ref().and_then(|n| self.controls.get(n)).copied();
        let lost = |target| match target {
            Target::Unassigned => true,
            Target::Log(at) => epoch != Some(at),
            Target::Peer(id) => link != Some(id),
        };
        for token in self.calls.unassign_lost(lost) {
            self.serve_or_forward(token);
        }
    }

    /// Serves a call as the leader, or forwards it to the leader.
    pub(super) fn serve_or_forward(&mut self, token: u64) {
        let Some(request) = self.calls.get(token).map(|c| c.request.clone()) else {
            return;
        };
        let known = match &request {
            Request::Propose(change) => self.machine.result(&change.request).cloned(),
            Request::Admit(_) | Request::Grant(_) | Request::Status | Request::Tokens(_) => None,
        };
        let now = self.clock.now();
        match (known, &self.leader, request) {
            // `Quota` answers these where they arrive.
            (None, _, Request::Admit(_) | Request::Tokens(_)) => {
                self.calls
                    .answer(token, &Response::Failed(ErrorKind::BadRequest));
            }
            (Some(applied), _, _) => self.calls.answer(token, &Response::Applied(applied)),
            (None, None, request) => self.forward(token, request),
            (None, Some(_), Request::Propose(change)) => self.propose(token, change, now),
            (None, Some(_), Request::Grant(request)) => self.grant(token, &request, now),
            (None, Some(leader), Request::Status) => {
                let status = leader.cluster_status(&self.machine.document, now);
                self.calls.answer(token, &Response::Status(status));
            }
        }
    }

    fn forward(&mut self, token: u64, request: Request) {
        let message = PeerMessage::Call { id: token, request };
        if let Some(link) = self.send_to_leader(message) {
            self.calls.set_target(token, Target::Peer(link));
        }
    }

    fn propose(&mut self, token: u64, mut change: Change, now: Millis) {
        let Some(leader) = &self.leader else {
            return;
        };
        // Other changes depend on the initial document and wait until it is applied.
        let awaits_initial = self.machine.document.version == 0 && !self.config.initial.is_empty();
        if awaits_initial && change.request.as_str() != INITIAL_REQUEST {
            return;
        }
        change.at = leader.log_time(now);
        if let Err(refusal) = leader.check_gate(&self.machine.document, &change, now) {
            let refused = Response::Applied(Applied::Refused(refusal));
            return self.calls.answer(token, &refused);
        }
        let epoch = leader.epoch;
        let is_common = is_common(&change.command);
        let format = self.write_format();
        let body = match (is_common, format) {
            (true, _) => encode_change(&change, Format::LATEST),
            (false, Some(format)) => encode_change(&change, format),
            (false, None) => None,
        };
        match body {
            Some(body) => {
                self.note_format(format.filter(|_| !is_common), false);
                self.calls.set_target(token, Target::Log(epoch));
                let payload = Payload::from(body);
                self.step(Event::Propose { token, payload });
            }
            None if is_common => {
                let refused = Response::Failed(ErrorKind::BadRequest);
                self.calls.answer(token, &refused);
            }
            // Waits until all members know a format that has this change.
            None => {}
        }
    }

    // Whether a quorum has confirmed this leader within the shortest election timeout, so
    // that it can't have elected another leader since.
    fn is_confirmed_leader(&self, now: Millis) -> bool {
        let status = self.replica.status();
        status.role == Role::Leader && status.staleness_ms(now) < ELECTION_MS.0
    }

    // Grants only as a confirmed leader: the ledger of another one would not know of this
    // grant.
    fn grant(&mut self, token: u64, request: &GrantRequest, now: Millis) {
        let is_confirmed = self.is_confirmed_leader(now);
        let status = self.replica.status();
        if let Some(leader) = self.leader.as_mut().filter(|_| is_confirmed) {
            let replicas = status.voters.iter().chain(&status.learners);
            let names = replicas.map(|id| &id.name);
            let reply = leader.grant(request, &self.machine.document, names, now);
            self.calls.answer(token, &Response::Grant(reply));
        }
    }

    /// Proposes the changes for instances whose reports stopped or resumed, and
    /// for outages. A leader that isn't confirmed may have stood still, and have read none
    /// of the reports since.
    pub(super) fn propose_membership(&mut self) {
        let now = self.clock.now();
        if self.leader.is_none() || !self.is_confirmed_leader(now) {
            return;
        }
        let with_limits = self.write_format() == Some(Format::LATEST);
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let call_ms = self.config.limits.call_ms;
        let until = now.plus(call_ms);
        let (own, machine) = (&self.config.name, &self.machine);
        for change in leader.membership_changes(own, machine, with_limits, call_ms, now) {
            if let Some(token) = self.calls.add(Request::Propose(change), None, until) {
                self.calls.set_own(token);
                self.serve_or_forward(token);
            }
        }
    }

    /// Proposes a change that ends with the leadership of this instance.
    pub(super) fn propose_own(&mut self, change: Change, sink: Sink) {
        if self.leader.is_none() {
            return sink.deliver(&Response::Failed(ErrorKind::NotLeader));
        }
        let until = self.clock.now().plus(self.config.limits.call_ms);
        let request = Request::Propose(change);
        if let Some(token) = self.calls.add(request, Some(sink), until) {
            self.calls.set_own(token);
            self.serve_or_forward(token);
        }
    }

    /// Proposes the initial document while the document is empty.
    pub(super) fn propose_initial(&mut self) {
        let request = Name::from(INITIAL_REQUEST);
        let due = self.leader.is_some()
            && self.machine.document.version == 0
            && !self.config.initial.is_empty()
            && self.machine.result(&request).is_none();
        if due {
            let change = Change {
                request,
                sender: self.config.name.clone(),
                base: Some(0),
                at: Millis(0),
                command: Command::Batch(self.config.initial.clone()),
            };
            let until = self.clock.now().plus(self.config.limits.call_ms);
            if let Some(token) = self.calls.add(Request::Propose(change), None, until) {
                self.serve_or_forward(token);
            }
        }
    }
}
