//! The pomelovale daemon.
