//! Agreement, storage, distribution and rate limits.

pub mod control;
pub mod fairness;
pub mod gate;
pub mod ledger;
pub mod limiter;
pub mod measures;
pub mod view;
