//! Agreement, storage, distribution and rate limits.

pub mod control;
pub mod gate;
pub mod measures;
pub mod view;
