//! Messages and codecs between processes, and HTTP rules.

pub mod grants;
pub mod log;
pub mod report;
