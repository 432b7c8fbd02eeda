//! Network transport: peer connections, the HTTP server and the HTTP client.

pub mod backend;
pub mod body;
mod connection;
pub mod framing;
pub mod http_server;
pub mod peer_client;
pub mod peer_link;
pub mod peer_server;
mod pipeline;
pub mod pool;
mod serving;
mod socket;
mod timers;
