//! Settings of the gateway role.

use std::net::{Ipv4Addr, SocketAddr};

use pomelovale_protocol::auth::Secret;
use pomelovale_protocol::header_names::HeaderNames;
use pomelovale_state::Name;
use pomelovale_transport::http_server::ServerLimits;

/// How gateways reach each other.
#[derive(Clone, Debug)]
pub struct Peering {
    /// Address for other gateways.
    pub listen: SocketAddr,
    /// Secret of the deployment.
    pub secret: Secret,
}

/// Settings of a gateway. Durations are in milliseconds.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Name of the instance.
    pub instance: Name,
    /// Region that it runs in.
    pub region: Name,
    /// Failure domain that it runs in.
    pub domain: Name,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Without it, the gateway places all requests itself.
    pub peering: Option<Peering>,
    /// Names of the headers on the wire.
    pub header_names: HeaderNames,
    /// Bounds of what callers can occupy.
    pub server: ServerLimits,
    /// Bytes of request bodies held at a time.
    pub held_bytes: usize,
    /// Bytes of an answer that are held back until it is complete.
    pub answer_bytes: usize,
    /// Time to open a connection to a backend server.
    pub connect_ms: u64,
    /// Longest pause between two parts of an answer that is passed on.
    pub pause_ms: u64,
    /// Age of the last answer up to which a connection is used again.
    pub idle_ms: u64,
    /// Interval between reports to the leader.
    pub report_ms: u64,
    /// Budget of repeats that all instances share.
    pub retry_budget: RetryBudgetConfig,
    /// One in this many answered requests is logged.
    pub log_one_in: u64,
    /// Time that an instance serves on after it has left the list.
    pub deregistration_delay_ms: u64,
    /// Time from the begin of a stop until requests in flight are given up.
    pub grace_ms: u64,
}

/// Repeats that all instances together may send within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Repeats for each request, in per mille.
    pub per_mille: u64,
    /// Repeats beyond that share.
    pub reserve: u64,
}

impl Default for GatewayConfig {
    fn default() -> GatewayConfig {
        GatewayConfig {
            instance: Name::default(),
            region: Name::default(),
            domain: Name::default(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            peering: None,
            header_names: HeaderNames::default(),
            server: ServerLimits {
                // Idle callers may return after 12 s of the usual 15 s.
                head_ms: 16_000,
                ..ServerLimits::default()
            },
            held_bytes: 64 * 1024 * 1024,
            answer_bytes: 256 * 1024,
            connect_ms: 400,
            pause_ms: 5_000,
            idle_ms: 6_000,
            report_ms: 500,
            retry_budget: RetryBudgetConfig {
                per_mille: 100,
                reserve: 20,
            },
            log_one_in: 16,
            deregistration_delay_ms: 2_800,
            grace_ms: 5_700,
        }
    }
}
