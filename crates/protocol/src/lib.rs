//! Messages between processes, their encoding, and rules for HTTP headers and
//! paths.

pub mod auth;
pub mod format;
pub mod frame;
pub mod grants;
pub mod header_names;
pub mod http;
pub mod log;
pub mod message_format;
pub mod messages;
pub mod report;
pub mod trace;
