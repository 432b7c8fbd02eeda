//! Agreement, storage, distribution and rate limits.

pub mod control;
pub mod view;
