//! Steering decisions, free of I/O.
