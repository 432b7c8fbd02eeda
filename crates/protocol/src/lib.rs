//! Messages and codecs between processes, and HTTP rules.

pub mod grants;
pub mod http;
pub mod report;
pub mod trace;
