//! Channel through which other parts of a process call the control instances.

use pomelovale_protocol::grants::{GrantReply, GrantRequest};
use pomelovale_protocol::messages::{Admitted, DemandReport, TokenReply, TokenRequest};
use pomelovale_protocol::report::Report;
use pomelovale_state::command::{Applied, Change};
use pomelovale_state::{ErrorKind, Name};

/// A call to the control instances, with the channel for its reply.
#[derive(Debug)]
pub enum ControlCall {
    /// Asks the control instance to which this one subscribes whether a request
    /// of a workspace is within the workspace's limit.
    Admit(Name, flume::Sender<Result<Admitted, ErrorKind>>),
    /// Requests rate limit tokens from the leader.
    Grant(GrantRequest, flume::Sender<Result<GrantReply, ErrorKind>>),
    /// Proposes a change; the reply follows once it is applied.
    Propose(Change, flume::Sender<Result<Applied, ErrorKind>>),
    /// Sends the demand at a gateway to the leader, without a reply.
    Demand(DemandReport),
    /// Sends measurements to the leader, without a reply.
    Report(Report),
    /// Asks the control instance to which this one subscribes for tokens of a workspace.
    /// The last reply isn't [`TokenReply::Waiting`].
    Tokens(TokenRequest, flume::Sender<Result<TokenReply, ErrorKind>>),
}

/// Capacity of the channel for replies to a request for tokens: `Waiting`, also of a second
/// control instance if the connection to the first one is lost, and the last reply.
const TOKEN_REPLIES: usize = 4;

/// Sends calls to the control instances. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    calls: flume::Sender<ControlCall>,
}

impl ControlHandle {
    /// Creates a handle and the receiver of its calls.
    pub fn new(capacity: usize) -> (ControlHandle, flume::Receiver<ControlCall>) {
        let (calls, receiver) = flume::bounded(capacity);
        (ControlHandle { calls }, receiver)
    }

    /// Whether calls are still received.
    pub fn is_open(&self) -> bool {
        !self.calls.is_disconnected()
    }

    /// Proposes a change and waits until it is applied. After `Unavailable` or
    /// `Internal` the change may still have been accepted. Send it again with the
    /// same request identifier to learn its outcome.
    pub async fn propose(&self, change: Change) -> Result<Applied, ErrorKind> {
        self.call_and_wait(|reply| ControlCall::Propose(change, reply))
            .await
    }

    /// Asks whether a request of a workspace is within the workspace's limit.
    pub async fn admit(&self, workspace: Name) -> Result<Admitted, ErrorKind> {
        self.call_and_wait(|reply| ControlCall::Admit(workspace, reply))
            .await
    }

    /// Asks for tokens of a workspace. The channel is closed after the last reply.
    pub fn tokens(
        &self,
        request: TokenRequest,
    ) -> Result<flume::Receiver<Result<TokenReply, ErrorKind>>, ErrorKind> {
        let (reply, replies) = flume::bounded(TOKEN_REPLIES);
        self.calls
            .try_send(ControlCall::Tokens(request, reply))
            .map_err(|_| ErrorKind::Unavailable)?;
        Ok(replies)
    }

    /// Requests rate limit tokens from the leader.
    pub async fn grant(&self, request: GrantRequest) -> Result<GrantReply, ErrorKind> {
        self.call_and_wait(|reply| ControlCall::Grant(request, reply))
            .await
    }

    /// Sends measurements to the leader. They are dropped if the queue is full.
    pub fn report(&self, report: Report) {
        let _ = self.calls.try_send(ControlCall::Report(report));
    }

    /// Sends the demand at a gateway to the leader. It is dropped if the queue is full.
    pub fn report_demand(&self, report: DemandReport) {
        let _ = self.calls.try_send(ControlCall::Demand(report));
    }

    async fn call_and_wait<T>(
        &self,
        call: impl FnOnce(flume::Sender<Result<T, ErrorKind>>) -> ControlCall,
    ) -> Result<T, ErrorKind> {
        let (reply, answer) = flume::bounded(1);
        self.calls
            .try_send(call(reply))
            .map_err(|_| ErrorKind::Unavailable)?;
        answer
            .recv_async()
            .await
            .map_err(|_| ErrorKind::Unavailable)?
    }
}
