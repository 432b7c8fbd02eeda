//! Pending calls to the leader.

use std::collections::HashMap;

use indexmap::IndexMap;
use pomelovale_protocol::auth::Role;
use pomelovale_protocol::grants::GrantReply;
use pomelovale_protocol::log::Epoch;
use pomelovale_protocol::messages::{
    Admitted, ClusterStatus, PeerMessage, Request, Response, TokenReply,
};
use pomelovale_state::command::Applied;
use pomelovale_state::{ErrorKind, Millis, Name};
use pomelovale_transport::peer_link::PeerLink;

/// Maximum number of pending calls; further ones are answered `Overloaded`.
const CALLS_MAX: usize = 65_536;

/// Destination of a call's response.
#[derive(Debug)]
pub(crate) enum Sink {
    /// An admission check of this process against a workspace's limit.
    Admitted(flume::Sender<Result<Admitted, ErrorKind>>),
    /// A proposal of this process.
    Applied(flume::Sender<Result<Applied, ErrorKind>>),
    /// A request for tokens of this process.
    Grant(flume::Sender<Result<GrantReply, ErrorKind>>),
    /// A call received from a peer.
    Peer {
        /// Connection that the call arrived on.
        link: PeerLink,
        /// Identifier of the call on that connection.
        id: u64,
    },
    /// A status request of this process.
    Status(flume::Sender<ClusterStatus>),
    /// A request for tokens of a workspace of this process.
    Tokens(flume::Sender<Result<TokenReply, ErrorKind>>),
}

impl Sink {
    fn is_control(&self) -> bool {
        matches!(self, Sink::Peer { link, .. } if link.role == Role::Control)
    }

    pub(crate) fn deliver(&self, response: &Response) {
        match (self, response.clone()) {
            (Sink::Peer { link, id }, response) => {
                link.send(PeerMessage::Reply { id: *id, response });
            }
            (Sink::Admitted(s), Response::Admitted(a)) => drop(s.try_send(Ok(a))),
            (Sink::Admitted(s), Response::Failed(kind)) => drop(s.try_send(Err(kind))),
            (Sink::Admitted(s), _) => drop(s.try_send(Err(ErrorKind::Internal))),
            (Sink::Applied(s), Response::Applied(a)) => drop(s.try_send(Ok(a))),
            (Sink::Applied(s), Response::Failed(kind)) => drop(s.try_send(Err(kind))),
            (Sink::Applied(s), _) => drop(s.try_send(Err(ErrorKind::Internal))),
            (Sink::Grant(s), Response::Grant(g)) => drop(s.try_send(Ok(g))),
            (Sink::Grant(s), Response::Failed(kind)) => drop(s.try_send(Err(kind))),
            (Sink::Grant(s), _) => drop(s.try_send(Err(ErrorKind::Internal))),
            (Sink::Status(s), Response::Status(status)) => drop(s.try_send(status)),
            (Sink::Status(s), _) => drop(s.try_send(ClusterStatus::default())),
            (Sink::Tokens(s), Response::Tokens(t)) => drop(s.try_send(Ok(t))),
            // Of an earlier build, which was asked to admit one request.
            (Sink::Tokens(s), Response::Admitted(a)) => drop(s.try_send(Ok(token_reply(a)))),
            (Sink::Tokens(s), Response::Failed(kind)) => drop(s.try_send(Err(kind))),
            (Sink::Tokens(s), _) => drop(s.try_send(Err(ErrorKind::Internal))),
        }
    }
}

fn token_reply(admitted: Admitted) -> TokenReply {
    match admitted {
        Admitted::Granted => TokenReply::Granted {
            count: 1,
            life_ms: 0,
        },
        Admitted::Refused { retry_ms } => TokenReply::Refused {
            retry_ms,
            is_over: true,
        },
    }
}

/// Where a call is being processed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Target {
    /// The log of this instance, as the leader of an epoch.
    Log(Epoch),
    /// Not assigned yet, or the previous target was lost.
    Unassigned,
    /// The peer on the connection with this identifier.
    Peer(u64),
}

/// A pending call.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: Request,
    pub(crate) target: Target,
    sinks: Vec<Sink>,
    until: Millis,
    // Whether it ends with the leadership of this instance.
    is_own: bool,
}

/// All pending calls, by token.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    last: u64,
    open: IndexMap<u64, Call>,
    proposals: HashMap<Name, u64>,
}

impl Calls {
    /// Adds a call and returns its token if it must be assigned to a target.
    /// A resend of a pending proposal only adds its sink to that proposal.
    pub(crate) fn add(
        &mut self,
        request: Request,
        sink: Option<Sink>,
        until: Millis,
    ) -> Option<u64> {
        let name = match &request {
            Request::Propose(change) => Some(change.request.clone()),
            Request::Admit(_) | Request::Grant(_) | Request::Status | Request::Tokens(_) => None,
        };
        let known = name.as_ref().and_then(|n| self.proposals.get(n));
        if let Some(call) = known.and_then(|token| self.open.get_mut(token)) {
            call.sinks.extend(sink);
            call.until = call.until.max(until);
            return None;
        }
        if self.open.len() >= CALLS_MAX {
            sink.iter()
                .for_each(|s| s.deliver(&Response::Failed(ErrorKind::Overloaded)));
            return None;
        }
        self.last += 1;
        if let Some(name) = name {
            self.proposals.insert(name, self.last);
        }
        let call = Call {
            request,
            target: Target::Unassigned,
            sinks: sink.into_iter().collect(),
            until,
            is_own: false,
        };
        self.open.insert(self.last, call);
        Some(self.last)
    }

    pub(crate) fn get(&self, token: u64) -> Option<&Call> {
        self.open.get(&token)
    }

    pub(crate) fn set_target(&mut self, token: u64, target: Target) {
        if let Some(call) = self.open.get_mut(&token) {
            call.target = target;
        }
    }

    /// Delivers a response that another one follows.
    pub(crate) fn notify(&self, token: u64, response: &Response) {
        let sinks = self.open.get(&token).map(|call| &call.sinks);
        sinks
            .into_iter()
            .flatten()
            .for_each(|s| s.deliver(response));
    }

    /// Delivers the response to all sinks of a call and removes the call.
    pub(crate) fn answer(&mut self, token: u64, response: &Response) {
        let Some(call) = self.open.swap_remove(&token) else {
            return;
        };
        if let Request::Propose(change) = &call.request {
            self.proposals.remove(&change.request);
        }
        call.sinks.iter().for_each(|s| s.deliver(response));
    }

    /// Answers the proposal with this request identifier if it is pending.
    pub(crate) fn answer_proposal(&mut self, request: &Name, applied: &Applied) {
        if let Some(token) = self.proposals.get(request).copied() {
            self.answer(token, &Response::Applied(applied.clone()));
        }
    }

    /// Marks the calls whose target is `lost`, one that will not answer any
    /// more, as unassigned. Returns the tokens of all unassigned calls.
    pub(crate) fn unassign_lost(&mut self, lost: impl Fn(Target) -> bool) -> Vec<u64> {
        let mut tokens = Vec::new();
        for (token, call) in &mut self.open {
            if call.target == Target::Unassigned || lost(call.target) {
                call.target = Target::Unassigned;
                tokens.push(*token);
            }
        }
        tokens
    }

    /// Answers the calls whose deadline has passed with `Unavailable`.
    pub(crate) fn expire(&mut self, now: Millis) {
        let expired = |(token, call): (&u64, &Call)| (call.until <= now).then_some(*token);
        let tokens: Vec<u64> = self.open.iter().filter_map(expired).collect();
        for token in tokens {
            self.answer(token, &Response::Failed(ErrorKind::Unavailable));
        }
    }

    /// Lets a call end with the leadership of this instance: a proposal that rests on what
    /// the leader has measured or read, which is out of date for another one.
    pub(crate) fn set_own(&mut self, token: u64) {
        if let Some(call) = self.open.get_mut(&token) {
            call.is_own = true;
        }
    }

    /// Answers the calls that end with the leadership of this instance with `NotLeader`.
    pub(crate) fn reject_own(&mut self) {
        let own = |(token, call): (&u64, &Call)| call.is_own.then_some(*token);
        let tokens: Vec<u64> = self.open.iter().filter_map(own).collect();
        for token in tokens {
            self.answer(token, &Response::Failed(ErrorKind::NotLeader));
        }
    }

    /// Answers the calls that other control instances forwarded with `NotLeader`,
    /// so that they can forward them elsewhere. Calls of other callers stay
    /// pending.
    pub(crate) fn reject_forwarded(&mut self) {
        let refused = Response::Failed(ErrorKind::NotLeader);
        let mut empty = Vec::new();
        for (token, call) in &mut self.open {
            let before = call.sinks.len();
            call.sinks.retain(|s| {
                let control = s.is_control();
                if control {
                    s.deliver(&refused);
                }
                !control
            });
            if before > 0 && call.sinks.is_empty() {
                empty.push(*token);
            }
        }
        for token in empty {
            self.answer(token, &refused);
        }
    }
}
