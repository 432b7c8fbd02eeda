//! Operator commands that replace the routing table or evacuate a failure domain.

use std::sync::Arc;

use pomelovale_coordination::control::ControlHandle;
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::digest::Digest;
use pomelovale_state::routing::Routing;
use pomelovale_state::{ErrorKind, Millis, Name};
use tokio::time::timeout;

/// Maximum age of the view at which the routing table may be read, in
/// milliseconds.
pub const READ_MAX_AGE_MS: u64 = 1_000;

/// Proposes commands to the control instances and waits for the results.
#[derive(Clone, Debug)]
pub struct OperatorCommands {
    handle: ControlHandle,
    sender: Name,
    timeout_ms: u64,
}

impl OperatorCommands {
    /// Creates a client that proposes as `sender` and waits up to `timeout_ms` for
    /// each result.
    pub fn new(handle: ControlHandle, sender: Name, timeout_ms: u64) -> OperatorCommands {
        OperatorCommands {
            handle,
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
        self.send(Name::from(fingerprint.to_string()), command)
            .await
    }

    /// Evacuates a failure domain, so that it gets no new work, or readmits it.
    ///
    /// # Errors
    /// `BadRequest` if the name is not valid, `Unavailable` if the result is
    /// unknown.
    pub async fn evacuate(&self, domain: Name, start: bool) -> Result<(), ErrorKind> {
        let command = match start {
            true => Command::EvacuateDomain(domain),
            false => Command::ReadmitDomain(domain),
        };
        let request = format!("order-{:016x}", rand::random::<u64>());
        self.send(Name::from(request), command).await
    }

    async fn send(&self, request: Name, command: Command) -> Result<(), ErrorKind> {
        let item = format!("{:?}", command.item());
        let change = Change {
            request,
            sender: self.sender.clone(),
            base: None,
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
