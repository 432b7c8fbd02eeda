//! Load balancing, admission control and retry policies, free of I/O.
//!
//! The crate holds two independent designs. A gateway is an instance that sends
//! each request to the server expected to have its object cached: [`placement`],
//! [`affinity`], [`estimate`], [`pace`], [`region_assignment`], [`region_plan`],
//! [`distances`], [`load_exchange`], [`connection_demand`], [`scheduler`] and [`returns`].
//! An entry is an instance that fills its share of the servers' slots without regard to
//! objects: [`balancer`],
//! [`server_stats`], [`ejection`], [`admission`], [`fair_queue`], [`concurrency`],
//! [`region`], [`entries`] and [`split`]. Both use [`availability`], [`retry`] and
//! [`server_limit`].
//!
//! Functions that depend on the time take it as an argument, and policies that
//! use random numbers have a seeded generator, so that runs are reproducible.

pub mod admission;
pub mod affinity;
pub mod availability;
pub mod balancer;
pub mod baseline;
pub mod concurrency;
pub mod connection_demand;
pub mod distances;
pub mod ejection;
pub mod entries;
pub mod estimate;
pub mod fair_queue;
pub mod hedge;
pub mod load_exchange;
mod min_cost_flow;
pub mod pace;
pub mod placement;
pub mod quarantine;
pub mod region;
pub mod region_assignment;
pub mod region_plan;
pub mod retry;
pub mod returns;
pub mod scheduler;
mod server;
pub mod server_limit;
pub mod server_stats;
pub mod split;

/// Kinds of request that the policies treat differently.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Class {
    /// Background work that may wait for spare capacity.
    Deferrable,
    /// A request that may be retried and hedged.
    Idempotent,
    /// A request that must run at most once.
    Once,
}

/// How an attempt of an entry at a backend server ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptEnd {
    /// The entry cancelled the attempt, for example because a hedge finished first.
    Cancelled,
    /// A complete response that does not report a server error.
    Complete,
    /// A connection error, an incomplete response or a server error.
    Failed,
    /// The server shed the request without running it.
    Shed,
    /// No response within the timeout.
    TimedOut,
}
