//! Replicated state, clock, names and error kinds.
