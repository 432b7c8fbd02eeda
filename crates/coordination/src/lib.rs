//! Coordination of instances: the replicated log and its storage, rate limit
//! leases, and the leader's decisions on moves, entries and backend servers.

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
pub mod server_limits;
pub mod server_list;
mod snapshot;
mod storage;
pub mod token_cache;
pub mod view;
