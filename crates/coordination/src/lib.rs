//! Agreement, storage, distribution and rate limits.

pub mod control;
pub mod fairness;
pub mod gate;
pub mod ledger;
pub mod limiter;
pub mod measures;
mod election;
mod entries;
pub mod fairness;
mod frame;
mod journal;
pub mod ledger;
pub mod limiter;
pub mod log;
mod members;
mod replica;
mod replication;
mod snapshot;
mod storage;
pub mod view;
