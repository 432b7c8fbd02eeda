//! OperatorCommands that replace the routing table or evacuate a failure domain.

use std::sync::Arc;

use pomelovale_coordination::control::ControlHandle;
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::digest::Digest;
use pomelovale_state::routing::Routing;
use pomelovale_state::{ErrorKind, Millis, Name};
use tokio::time::timeout;

/// Oldest proof of the document that a read of the routing table may rest on,
/// in milliseconds.
pub const READ_MAX_AGE_MS: u64 = 1_000;

/// Sends orders to the control instances and waits for their results.
#[derive(Clone, Debug)]
pub struct OperatorCommands {
    handle: ControlHandle,
    sender: Name,
    timeout_ms: u64,
}

impl OperatorCommands {
    /// OperatorCommands of `sender` that wait at most `timeout_ms` for their result.
    pub fn new(handle: ControlHandle, sender: Name, timeout_ms: u64) -> OperatorCommands {
        OperatorCommands {
            handle,
            sender,
            timeout_ms,
        }
    }

    /// Replaces the routing table that has the version `base`. An equal order
    /// is one and the same change, whoever sends it, so that a resend gets the
    /// first result.
    ///
    /// # Errors
    /// `VersionConflict` if the table has another version, `BadRequest` if the
    /// new one is invalid, `Unavailable` if the result is not known.
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

    /// Takes all new work from a failure domain, or readmits it.
    ///
    /// # Errors
    /// `BadRequest` if the name is not valid, `Unavailable` if the result is
    /// not known.
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
