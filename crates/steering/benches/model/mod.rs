//! A model of callers, entries and backend servers in model time.
//!
//! The decisions are those of the library; everything else is a stand-in.

pub mod attempts;
pub mod entry;
pub mod faults;
pub mod plan;
pub mod server;
pub mod simulation;
pub mod stats;
