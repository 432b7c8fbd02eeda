//! Messages and codecs between processes, and HTTP rules.

pub mod auth;
pub mod frame;
pub mod grants;
pub mod header_names;
pub mod http;
pub mod log;
pub mod messages;
pub mod report;
pub mod trace;
