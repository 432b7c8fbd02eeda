//! Compares ways to rank servers for objects when the list of servers changes, and placement
//! with and without few moves.

mod ranking;
mod region;

/// Runs all comparisons and prints their tables.
pub fn run() {
    ranking::compare();
    region::compare();
}
