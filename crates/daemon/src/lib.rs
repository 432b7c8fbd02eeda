//! The pomelovale daemon.

pub mod entry;
