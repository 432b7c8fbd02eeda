//! Agreement, storage, distribution and rate limits.
