//! Operator commands that replace the routing table or evacuate a failure domain.

use std::sync::Arc;

use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_state::command::{Applied, Change, Command, Item};
use pomelovale_state::digest::Digest;
use pomelovale_state::routing::Routing;
use pomelovale_state::{ErrorKind, Millis, Name};
use tokio::time::timeout;

/// Maximum age of the view at which the routing table may be read, in
/// milliseconds.
pub const READ_MAX_AGE_MS: u64 = 1_000;

/// Time that an order without a version may have waited before it was read, in
/// milliseconds. Operators turn to another instance after a second, and may have sent a
/// later order by then.
pub const ORDER_MAX_AGE_MS: u64 = 500;

/// Proposes commands to the control instances and waits for the results.
#[derive(Clone, Debug)]
pub struct OperatorCommands {
    handle: ControlHandle,
    view: Arc<View>,
    sender: Name,
    timeout_ms: u64,
}

impl OperatorCommands {
    /// Creates a client that proposes as `sender` and waits up to `timeout_ms` for
    /// each result. `view` is that of the instance which has read the commands.
    pub fn new(
        handle: ControlHandle,
        view: Arc<View>,
        sender: Name,
        timeout_ms: u64,
    ) -> OperatorCommands {
        OperatorCommands {
            handle,
            view,
            sender,
            timeout_ms,
        }
    }

    /// Replaces the routing table if its version is `base`. The request
    /// identifier is a digest of `base` and `source`, so that a resend of the same
    /// table, by any caller, returns the result of the first proposal.
    ///
    /// # Errors
    /// `VersionConflict` if the table has another version, `BadRequest` if the
    /// new one is invalid, `Unavailable` if the result is unknown.
    pub async fn replace(
        &self,
        base: u64,
        routing: Routing,
        source: &str,
    ) -> Result<(), ErrorKind> {
        let fingerprint = Digest::of(&[&base.to_le_bytes(), source.as_bytes()]);
        let command = Command::ReplaceRouting {
            base,
            routing: Arc::new(routing),
            source: Arc::from(source),
        };
        self.send(Name::from(fingerprint.to_string()), command, None)
            .await
    }

    /// Evacuates a failure domain, so that it gets no new work, or readmits it.
    /// `unread_ms` is how long the order may have waited before it was read.
    ///
    /// An order names no version. So that a late copy of it doesn't undo a later order, it
    /// is based on the version of this instance's view, and one that may have waited for
    /// too long is refused. Its sender sends it again.
    ///
    /// # Errors
    /// `BadRequest` if the name is not valid, `Unavailable` if the result is
    /// unknown, a later order may have been accepted, or the view is not current.
    pub async fn evacuate(
        &self,
        domain: Name,
        start: bool,
        unread_ms: u64,
    ) -> Result<(), ErrorKind> {
        if unread_ms >= ORDER_MAX_AGE_MS {
            tracing::info!(event = "order", %domain, start, unread_ms, "not taken: it may be late");
            return Err(ErrorKind::Unavailable);
        }
        let base = self
            .view
            .document()
            .item_version(&Item::Domain(domain.clone()));
        let command = match start {
            true => Command::EvacuateDomain(domain),
            false => Command::ReadmitDomain(domain),
        };
        let request = format!("order-{:016x}", rand::random::<u64>());
        match self.send(Name::from(request), command, Some(base)).await {
            Err(ErrorKind::VersionConflict) => Err(ErrorKind::Unavailable),
            other => other,
        }
    }

    async fn send(
        &self,
        request: Name,
        command: Command,
        base: Option<u64>,
    ) -> Result<(), ErrorKind> {
        let item = format!("{:?}", command.item());
        let change = Change {
            request,
            sender: self.sender.clone(),
            base,
            at: Millis(0),
            command,
        };
        let limit = Millis(self.timeout_ms).duration();
        let result = timeout(limit, self.handle.propose(change)).await;
        let outcome = match result {
            Err(_) => Err(ErrorKind::Unavailable),
            Ok(Err(kind)) => Err(kind),
            Ok(Ok(Applied::Accepted { .. })) => Ok(()),
            Ok(Ok(Applied::Refused(refusal))) => {
                tracing::info!(event = "order", item, refused = refusal.text);
                return Err(refusal.kind);
            }
            Ok(Ok(Applied::Intent(_))) => Err(ErrorKind::Internal),
        };
        tracing::info!(event = "order", item, outcome = ?outcome);
        outcome
    }
}
