//! The pomelovale daemon.

pub mod entry;
pub mod schema;
pub mod settings;
pub mod control;
pub mod operators;
pub mod subscriber;
