//! Tests of the replicated log on a simulated disk, network and clock.

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
