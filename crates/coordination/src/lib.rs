//! Agreement, storage, distribution and rate limits.

pub mod control;
pub mod fairness;
pub mod ledger;
pub mod limiter;
mod election;
mod entries;
mod frame;
mod journal;
pub mod log;
mod members;
mod replica;
mod replication;
mod snapshot;
mod storage;
pub mod view;
