//! Agreement, storage, distribution and rate limits.

pub mod control;
mod election;
mod entries;
pub mod fairness;
mod frame;
pub mod gate;
mod journal;
pub mod ledger;
pub mod limiter;
pub mod log;
pub mod measurements;
mod members;
pub mod outages;
mod replica;
mod replication;
mod snapshot;
mod storage;
pub mod view;
