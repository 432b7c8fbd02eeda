//! Peer streams, HTTP server and client adapters.

pub mod backend;
pub mod body;
pub mod framing;
pub mod http_server;
pub mod pool;
