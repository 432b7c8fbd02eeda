//! Handling of peer messages and of calls from this process.

use pomelovale_coordination::control::ControlCall;
use pomelovale_coordination::log::Event;
use pomelovale_protocol::auth::Role;
use pomelovale_protocol::frame::decode_body_unlimited;
use pomelovale_protocol::log::{LogMessage, ReplicaId};
use pomelovale_protocol::messages::{
    Content, DemandReport, LogPacket, PeerMessage, PlanNotice, RegionNotice, Request, Response,
    TokenRequest,
};
use pomelovale_state::{ErrorKind, Millis, Name};
use pomelovale_transport::peer_link::{PeerEvent, PeerLink};

use crate::control::calls::{Sink, Target};
use crate::control::feed::ProofContext;
use crate::control::stored;

use super::EventLoop;

impl EventLoop {
    pub(super) fn handle_peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Opened(link) => self.handle_opened(link),
            PeerEvent::Message(id, message) => self.handle_peer_message(id, message),
            PeerEvent::Closed(id) => {
                self.links.remove(&id);
                self.assemblers.remove(&id);
                self.feed.close(id);
                self.controls.retain(|_, link| *link != id);
            }
        }
    }

    fn handle_opened(&mut self, link: PeerLink) {
        let known = self.dialer.is_some() || self.config.peers.iter().any(|p| p.name == link.peer);
        match link.role {
            Role::Entry => self.feed.open(link.clone()),
            Role::Control if self.formats.is_sealed() && link.named_format().is_none() => {
                log::warn!(
                    "closing the connection of {}: its build can't read this log",
                    link.peer
                );
                return link.close();
            }
            Role::Control if known => {
                self.note_seal(&link);
                let old = self.controls.insert(link.peer.clone(), link.id);
                if let Some(old) = old.and_then(|id| self.links.get(&id)) {
                    old.close();
                }
            }
            Role::Control => {
                log::warn!(
                    "closing the connection of {}: not in the settings",
                    link.peer
                );
                return link.close();
            }
        }
        self.links.insert(link.id, link);
    }

    fn handle_peer_message(&mut self, id: u64, message: PeerMessage) {
        let Some(link) = self.links.get(&id).cloned() else {
            return;
        };
        let now = self.clock.now();
        match (message, link.role) {
            (PeerMessage::Log(packet), Role::Control) => self.handle_log_packet(packet, &link),
            (PeerMessage::Chunk(chunk), Role::Control) => {
                match self.assemblers.entry(id).or_default().push(chunk) {
                    Ok(None) => {}
                    Ok(Some((Content::Log, body))) => match decode_body_unlimited(&body) {
                        Ok(packet) => self.handle_log_packet(packet, &link),
                        Err(e) => {
                            log::warn!("can't read a log message of {}: {e}", link.peer);
                            link.reject();
                        }
                    },
                    Ok(Some((Content::Document(_), _))) | Err(_) => link.reject(),
                }
            }
            (PeerMessage::Renew(renew), Role::Entry) => {
                let status = self.replica.status();
                let context = ProofContext {
                    age_ms: status.staleness_ms(now),
                    leader: status.leader.map(|l| l.name),
                    now,
                };
                let list = self.outputs.view.list();
                self.feed.renew_list(id, renew.seq, &list, now);
                drop(list);
                self.feed
                    .renew(id, &renew, &self.machine.document, &context);
            }
            (PeerMessage::List(notice), Role::Control) => {
                // It may have waited in the socket while this process stood still.
                let unread_ms = self.outputs.stalls.unread_ms();
                let read = notice.age_ms.map(|age| now.minus(age + unread_ms));
                self.record_list(now, read, &notice.leaving);
            }
            (PeerMessage::Regions(RegionNotice::Demand(report)), role) => {
                if role == Role::Entry {
                    self.feed.record_demand(id);
                }
                self.record_demand(report, role);
            }
            (PeerMessage::Regions(RegionNotice::Plan(notice)), Role::Control) => {
                let leader = self.replica.status().leader;
                if self.leader.is_none() && leader.is_some_and(|l| l.name == link.peer) {
                    self.distribute_plan(notice);
                }
            }
            // It may have waited in the socket while this process stood still.
            (PeerMessage::Report(_), _) if self.outputs.stalls.unread_ms() > 0 => {}
            (PeerMessage::Report(report), _) => match self.leader.as_mut() {
                Some(leader) => leader.record(&report, now),
                None if link.role == Role::Entry => {
                    self.send_to_leader(PeerMessage::Report(report));
                }
                None => {}
            },
            (
                PeerMessage::Call {
                    id,
                    request: Request::Admit(workspace),
                },
                Role::Entry,
            ) => self.admit(workspace, Sink::Peer { link, id }),
            (
                PeerMessage::Call {
                    id,
                    request: Request::Tokens(request),
                },
                Role::Entry,
            ) => self.grant_tokens(request, Sink::Peer { link, id }),
            (PeerMessage::Call { id, .. }, Role::Control) if self.leader.is_none() => {
                let response = Response::Failed(ErrorKind::NotLeader);
                link.send(PeerMessage::Reply { id, response });
            }
            (PeerMessage::Call { id, request }, _) => {
                self.call(request, Sink::Peer { link, id });
            }
            (PeerMessage::Reply { id, response }, Role::Control) => match response {
                Response::Failed(ErrorKind::NotLeader | ErrorKind::Unavailable) => {
                    self.calls.set_target(id, Target::Unassigned);
                }
                response => self.calls.answer(id, &response),
            },
            (PeerMessage::Ping, _) => {}
            _ => link.reject(),
        }
    }

    fn handle_log_packet(&mut self, packet: LogPacket, link: &PeerLink) {
        let LogPacket { from, to, message } = packet;
        match () {
            () if from.name != link.peer || to.name != self.own.name => link.reject(),
            // Addressed to the replica of an earlier data directory.
            () if to != self.own && to.incarnation != ReplicaId::ANY => {}
            () => match self.check_message(&message, link.named_format().is_none()) {
                Err(fault) => self.fail(format!("received from {from}: {fault}")),
                Ok(()) => {
                    self.step(Event::Receive { from, message });
                    self.received_snapshot = None;
                }
            },
        }
    }

    // Checks that what a leader sends can be decoded, so that this replica neither
    // stores nor acknowledges what it can't apply.
    fn check_message(&mut self, message: &LogMessage, is_earlier: bool) -> Result<(), String> {
        let checked = match message {
            LogMessage::Append { entries, .. } => stored::check_entries(entries),
            LogMessage::Install { snapshot, .. } => {
                stored::decode_snapshot(snapshot).map(|(state, format)| {
                    self.received_snapshot = Some((snapshot.position(), state));
                    format
                })
            }
            _ => return Ok(()),
        };
        match (checked, message) {
            (Ok(None), _) => Ok(()),
            // The replica refuses what a former leader sends.
            (_, LogMessage::Append { epoch, .. } | LogMessage::Install { epoch, .. })
                if *epoch < self.replica.status().epoch =>
            {
                Ok(())
            }
            (Ok(format), _) => {
                self.note_format(format, is_earlier);
                Ok(())
            }
            (Err(fault), _) => Err(fault),
        }
    }

    pub(super) fn handle_local_call(&mut self, call: ControlCall) {
        match call {
            ControlCall::Admit(workspace, reply) => self.admit(workspace, Sink::Admitted(reply)),
            ControlCall::Grant(request, reply) => {
                self.call(Request::Grant(request), Sink::Grant(reply));
            }
            ControlCall::Propose(change, reply) => {
                self.call(Request::Propose(change), Sink::Applied(reply));
            }
            ControlCall::Demand(report) => self.record_demand(report, Role::Entry),
            ControlCall::Report(report) => match self.leader.as_mut() {
                Some(leader) => leader.record(&report, self.clock.now()),
                None => {
                    self.send_to_leader(PeerMessage::Report(report));
                }
            },
            ControlCall::Tokens(request, reply) => self.grant_tokens(request, Sink::Tokens(reply)),
        }
    }

    fn admit(&mut self, workspace: Name, sink: Sink) {
        let now = self.clock.now();
        self.quota.admit(now, workspace, sink);
        self.request_tokens(now);
    }

    fn grant_tokens(&mut self, request: TokenRequest, sink: Sink) {
        let now = self.clock.now();
        self.quota.grant(now, request, sink);
        self.request_tokens(now);
    }

    pub(super) fn request_tokens(&mut self, now: Millis) {
        if let Some(request) = self.quota.request(now) {
            let reply = self.quota.replies.0.clone();
            self.call(Request::Grant(request), Sink::Grant(reply));
        }
    }

    pub(super) fn call(&mut self, request: Request, sink: Sink) {
        let until = self.clock.now().plus(self.config.limits.call_ms);
        if let Some(token) = self.calls.add(request, Some(sink), until) {
            self.serve_or_forward(token);
        }
    }

    // Records the demand at a gateway, or forwards that of an own subscriber to the leader.
    fn record_demand(&mut self, report: DemandReport, role: Role) {
        let now = self.clock.now();
        let may_forward = role == Role::Entry && self.leader_knows_regions();
        match self.leader.as_mut() {
            Some(leader) => leader.record_demand(report, &self.machine.document, now),
            None if may_forward => {
                self.send_to_leader(PeerMessage::Regions(RegionNotice::Demand(report)));
            }
            None => {}
        }
    }

    fn leader_knows_regions(&self) -> bool {
        let leader = self.replica.status().leader;
        let id = leader.and_then(|l| self.controls.get(&l.name));
        let link = id.and_then(|id| self.links.get(id));
        link.is_some_and(PeerLink::knows_regions)
    }

    // Passes the plan of the leader on to this process and its subscribers.
    pub(super) fn distribute_plan(&mut self, notice: PlanNotice) {
        self.feed.push_plan(&notice, &self.machine.document);
        self.outputs.view.set_plan(self.clock.now(), notice);
    }

    pub(in crate::control) fn send_to_leader(&self, message: PeerMessage) -> Option<u64> {
        let leader = self.replica.status().leader?;
        let id = self.controls.get(&leader.name)?;
        let sent = self.links.get(id)?.send(message);
        sent.then_some(*id)
    }
}
