//! The log line of a request.

use std::fmt;

use http::header::HeaderValue;
use http::StatusCode;
use pomelovale_state::digest::Digest;
use pomelovale_state::Name;
use pomelovale_steering::placement::Chosen;
use tokio::time::Instant;

use crate::entry::refusal::Refusal;
use crate::relay::RelayEnd;

/// Time that an attempt took before the request was sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timing {
    /// Whether a coordinator selected the server.
    pub(super) by_coordinator: bool,
    /// Time to select the server, in milliseconds.
    pub(super) place_ms: u64,
    /// Time to get a connection, in milliseconds.
    pub(super) connect_ms: u64,
}

/// Log fields of one attempt.
#[derive(Debug)]
pub(super) struct AttemptLog {
    chosen: Chosen,
    timing: Timing,
    spent_ms: u64,
    end: &'static str,
}

impl fmt::Display for AttemptLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Chosen {
            server,
            region,
            expected_ms,
            held,
            idle,
            load,
            ..
        } = &self.chosen;
        let slot_state = if *idle { "idle" } else { "full" };
        let (end, spent) = (self.end, self.spent_ms);
        let Timing {
            by_coordinator,
            place_ms,
            connect_ms,
        } = self.timing;
        let by = if by_coordinator {
            "coordinator"
        } else {
            "self"
        };
        write!(f, "{server} {held:?} {slot_state} by={by} place_ms={place_ms} connect_ms={connect_ms} region={region} load={load:.1} expected_ms={expected_ms} {end} spent_ms={spent}")
    }
}

/// How the handling of a request has ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestEnd {
    Answered(StatusCode),
    /// The connection to the caller ended before there was a response.
    Closed {
        /// Whether a server may have run the request.
        sent: bool,
    },
    Refused(StatusCode, Refusal),
}

/// Log fields of a request.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    pub(super) version: u64,
    pub(super) route: Name,
    pub(super) workspace: Option<Name>,
    pub(super) object: u64,
    /// Fingerprint of the request, once an attempt has ended without a response.
    pub(super) fingerprint: Option<Digest>,
    /// Time until the request was admitted and its body was received, in
    /// milliseconds.
    pub(super) received_ms: u64,
    pub(super) attempts: Vec<AttemptLog>,
    // How a relay ended, and the time that it took in milliseconds.
    relay: Option<(&'static str, u64)>,
}

impl RequestLog {
    /// Adds an attempt that has ended.
    pub(super) fn add_attempt(
        &mut self,
        chosen: &Chosen,
        timing: Timing,
        since: Instant,
        end: &'static str,
    ) {
        self.attempts.push(AttemptLog {
            chosen: chosen.clone(),
            timing,
            spent_ms: since.elapsed().as_millis() as u64,
            end,
        });
    }

    /// Records how the relay of the request through other gateways has ended.
    pub(super) fn add_relay(&mut self, ended: &RelayEnd, since: Instant) {
        let end = match ended {
            RelayEnd::Answer(_) => "answered",
            RelayEnd::NotTaken => "not-taken",
            RelayEnd::Unknown(_) => "unknown",
        };
        self.relay = Some((end, since.elapsed().as_millis() as u64));
    }

    /// Logs one line about the request: its route, workspace and object, the version
    /// of the document, the attempts, and the status or refusal, or that its
    /// connection has ended. Priority,
    /// deadline, latency objective and home regions are not logged.
    pub(super) fn log(&self, id: Option<&HeaderValue>, end: RequestEnd, spent_ms: u64) {
        let id = id.and_then(|v| v.to_str().ok()).unwrap_or("");
        let attempts: Vec<String> = self.attempts.iter().map(AttemptLog::to_string).collect();
        let workspace = self.workspace.as_ref().map_or("", Name::as_str);
        let (status, cause, retry_ms) = match end {
            RequestEnd::Answered(status) => (status.as_u16(), "", 0),
            RequestEnd::Closed { sent: true } => (0, "closed-sent", 0),
            RequestEnd::Closed { sent: false } => (0, "closed", 0),
            RequestEnd::Refused(status, refusal) => {
                let code = refusal.kind.answer().code;
                (status.as_u16(), code, refusal.retry_ms)
            }
        };
        let fingerprint = self.fingerprint.map(tracing::field::display);
        tracing::info!(
            event = "request",
            id,
            status,
            cause,
            retry_ms,
            route = %self.route,
            workspace,
            version = self.version,
            object = self.object,
            fingerprint,
            received_ms = self.received_ms,
            spent_ms,
            attempts = attempts.join(","),
            relay = self.relay.map(|(end, _)| end),
            relay_ms = self.relay.map(|(_, ms)| ms),
        );
    }
}
