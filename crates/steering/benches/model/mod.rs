//! Discrete-event simulation of callers, entries and backend servers.
//!
//! The policies are those of the library; everything else is simulated.

pub mod attempts;
pub mod entry;
pub mod faults;
pub mod plan;
pub mod server;
pub mod simulation;
pub mod stats;
