//! The pomelovale daemon.

pub mod control;
pub mod operators;
pub mod subscriber;
