//! Peer streams, HTTP server and client adapters.
