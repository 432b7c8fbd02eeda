//! The pomelovale daemon.

pub mod entry;
pub mod schema;
pub mod settings;
