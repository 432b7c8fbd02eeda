//! Load reports that entries send to the leader.

use pomelovale_state::Name;
pub use pomelovale_steering::server_limit::HOLD_MS as LIMIT_HOLD_MS;
use serde::{Deserialize, Serialize};

/// Load of one service in one region, as one entry sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: Name,
    /// Region of the backend servers.
    pub region: Name,
    /// Attempts that this entry sent there in the last interval, per second.
    pub rate: u64,
    /// Those of `rate` that failed at the backend server, per second.
    pub failed: u64,
    /// Attempts that this entry has in flight there now.
    pub outstanding: u64,
    /// Sum of the busy slots that the backend servers reported.
    pub busy: u64,
    /// Slots of the backend servers whose report is counted in `busy`.
    pub slots: u64,
    /// Age of the oldest report counted in `busy`, in milliseconds.
    pub oldest_ms: u64,
}

/// Traffic that one entry sends between regions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkLoad {
    /// Region of the entry.
    pub from: Name,
    /// Region of the backend servers.
    pub to: Name,
    /// Kbit/s in the last interval, estimated from the rate of each service and
    /// the request size that it declares.
    pub kbits: u64,
}

/// What a backend server has named as the limit for the requests of all instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitReport {
    /// The server.
    pub server: Name,
    /// The limit in thousandths of a request per second; `None` if it has ended.
    pub rate: Option<u64>,
    /// Age of the answer that said so, in milliseconds.
    pub age_ms: u64,
}

/// One entry's measurements.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The entry instance.
    pub instance: Name,
    /// Version of the document that it uses.
    pub version: u64,
    /// Age of its view in milliseconds.
    pub view_ms: u64,
    /// Whether callers should use other instances: this one is stopping, or has lost the
    /// servers.
    pub leaving: bool,
    /// Backend servers that are unreachable from it.
    pub down: Vec<Name>,
    /// Backend servers that recently became healthy again, each with the time for
    /// which it stays cold, in milliseconds.
    pub back: Vec<(Name, u64)>,
    /// Limits that backend servers have recently named or no longer name.
    pub limits: Vec<LimitReport>,
    /// One row for each service and region.
    pub services: Vec<ServiceLoad>,
    /// One row for each pair of regions.
    pub links: Vec<LinkLoad>,
}
