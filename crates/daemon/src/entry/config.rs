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
    /// Bounds of what callers can occupy.
    pub server: ServerLimits,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Time for the body of a request to arrive.
    pub body_ms: u64,
    /// Bytes of request bodies held at a time.
    pub held_bytes: usize,
    /// Bytes of an answer that are held back until it is complete.
    pub answer_bytes: usize,
    /// Time for one attempt of a request that may be sent again.
    pub attempt_ms: u64,
    /// Attempts of one request.
    pub attempts: usize,
    /// Time to open a connection to a backend server.
    pub connect_ms: u64,
    /// Longest pause between two parts of an answer that is passed on.
    pub pause_ms: u64,
    /// Age of the last answer up to which a connection counts as live.
    pub proven_ms: u64,
    /// Time after which an idle connection to a backend server is closed.
    pub idle_ms: u64,
    /// Interval between load reports of a backend server; zero for none.
    pub poll_ms: u64,
    /// Requests of one service that wait at a time.
    pub queue: usize,
    /// Longest wait in a queue.
    pub queue_ms: u64,
    /// Longest wait for an answer of the control instances.
    pub control_ms: u64,
    /// Time that callers keep an entry list.
    pub list_ms: u64,
    /// Time until a change is in force on every reachable instance.
    pub spread_ms: u64,
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
            pause_ms: 5_000,
            proven_ms: 1_000,
            idle_ms: 3_000,
            poll_ms: 400,
            queue: 512,
            queue_ms: 1_000,
            control_ms: 2_000,
            list_ms: 5_000,
            spread_ms: 2_000,
        }
    }
}
