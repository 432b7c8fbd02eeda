//! Network transport: peer connections, the HTTP server and the HTTP client.

mod arrivals;
pub mod backend;
pub mod body;
mod caller_io;
mod connection;
mod ending;
pub mod framing;
pub mod http_server;
mod linger;
mod link;
pub mod pacing;
pub mod peer_client;
pub mod peer_format;
pub mod peer_link;
pub mod peer_server;
mod pipeline;
pub mod pool;
mod response;
mod serving;
mod socket;
pub mod stall;
mod timers;
