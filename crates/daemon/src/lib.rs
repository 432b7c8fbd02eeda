//! The pomelovale daemon.

pub mod control;
pub mod entry;
pub mod fault;
pub mod node;
pub mod operators;
pub mod schema;
pub mod settings;
pub mod subscriber;
