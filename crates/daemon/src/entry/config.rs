//! Settings of the entry role.

use std::net::{Ipv4Addr, SocketAddr};

use pomelovale_state::Name;
use pomelovale_transport::http_server::ServerLimits;
use serde::{Deserialize, Serialize};

/// Settings of an entry instance. Durations are in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryConfig {
    /// Name of the instance.
    pub instance: Name,
    /// Region that it runs in.
    pub region: Name,
    /// Failure domain that it runs in.
    pub domain: Name,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Limits of the HTTP server for callers.
    pub server: ServerLimits,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_ms: u64,
    /// Maximum total size of buffered request bodies in bytes.
    pub held_bytes: usize,
    /// Maximum size in bytes of a response that is buffered until it is
    /// complete; larger ones are streamed.
    pub answer_bytes: usize,
    /// Timeout of an attempt that may be retried, in milliseconds. Twice the
    /// slowest recent latency of the service applies instead if that is longer.
    pub attempt_ms: u64,
    /// Maximum number of attempts per request.
    pub attempts: usize,
    /// Timeout for connecting to a backend server.
    pub connect_ms: u64,
    /// Maximum time between two parts of a streamed response after the deadline of
    /// its request.
    pub pause_ms: u64,
    /// Maximum time since the last response on a connection that is reused for
    /// a non-idempotent request.
    pub proven_ms: u64,
    /// Time after which an idle connection to a backend server is closed.
    pub idle_ms: u64,
    /// Interval at which backend servers are polled for load; zero disables
    /// polling.
    pub poll_ms: u64,
    /// Maximum length of a service's admission queue.
    pub queue: usize,
    /// Maximum wait in an admission queue.
    pub queue_ms: u64,
    /// Timeout for a reply of the control instances.
    pub control_ms: u64,
    /// Time for which callers may cache an entry list.
    pub list_ms: u64,
    /// Time within which a change is expected to be in effect on every reachable
    /// instance, in milliseconds.
    pub spread_ms: u64,
    /// Time beyond the longest timeout of a service for which a stop waits for callers to
    /// take their responses.
    pub unread_ms: u64,
    /// Time after the last crash until a request that is quarantined for crashes of its
    /// servers may be tried once more.
    pub trial_ms: u64,
}

impl Default for EntryConfig {
    fn default() -> EntryConfig {
        EntryConfig {
            instance: Name::default(),
            region: Name::default(),
            domain: Name::default(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            server: ServerLimits::default(),
            body_bytes: 1024 * 1024,
            body_ms: 5_000,
            held_bytes: 64 * 1024 * 1024,
            answer_bytes: 64 * 1024,
            attempt_ms: 1_000,
            attempts: 3,
            connect_ms: 300,
            pause_ms: 400,
            proven_ms: 1_000,
            idle_ms: 3_000,
            poll_ms: 400,
            queue: 512,
            queue_ms: 1_000,
            control_ms: 2_000,
            list_ms: 5_000,
            spread_ms: 2_000,
            unread_ms: 30_000,
            trial_ms: 3_000,
        }
    }
}
