//! Peer streams, HTTP server and client adapters.

pub mod peer_client;
pub mod peer_link;
pub mod peer_server;
