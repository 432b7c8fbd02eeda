//! Agreement, storage, distribution and rate limits.

pub mod control;
pub mod fairness;
pub mod ledger;
pub mod limiter;
pub mod view;
