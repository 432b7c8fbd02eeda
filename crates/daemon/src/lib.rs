//! The pomelovale daemon.

pub mod schema;
pub mod settings;
