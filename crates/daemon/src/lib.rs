//! The pomelovale daemon.

mod caller_body;
pub mod control;
pub mod crash;
pub mod discovery;
pub mod entry;
pub mod error_report;
pub mod gateway;
pub mod list_change;
pub mod logging;
pub mod node;
pub mod operator_commands;
pub mod operators;
pub mod reach;
pub mod relay;
pub mod runtime_delay;
pub mod schema;
pub mod settings;
pub mod stalls;
pub mod subscriber;
pub mod tasks;
