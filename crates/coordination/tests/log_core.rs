//! The replicated log without a disk or a network, on a manual clock.

#[path = "log_core/cases.rs"]
mod cases;
#[path = "log_core/checks.rs"]
mod checks;
#[path = "log_core/open.rs"]
mod open;
#[path = "log_core/schedule.rs"]
mod schedule;
#[path = "log_core/sim.rs"]
mod sim;
