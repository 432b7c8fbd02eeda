//! Input and output types of placement.

use std::net::SocketAddr;

use pomelovale_state::Name;
use serde::{Deserialize, Serialize};

use crate::estimate::Held;
use crate::pace::aged_percent;
use crate::server_limit::{LimitNotice, LimitShare};

/// A backend server as the shared document describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Its name.
    pub name: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Region it runs in.
    pub region: Name,
    /// Failure domain it runs in.
    pub domain: Name,
    /// Requests it can run at a time.
    pub slots: u32,
    /// Time for which it stays cold after the list that holds this value was
    /// applied, in milliseconds. Each call of `set_servers` with a value above zero
    /// extends the time again.
    pub cold_ms: u64,
    /// Whether the document lists it as unreachable.
    pub down: bool,
    /// Limit that it names for all instances together, in thousandths of a request per
    /// second.
    pub limit: Option<u64>,
    /// Shares of this instance in its limit.
    pub share: LimitShare,
}

/// Settings that apply to all servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceSpec {
    /// Time for which a server that joins the list stays cold, in milliseconds.
    pub cold_ms: u64,
    /// Requests per second that a cold server can take from all instances
    /// together; `None` for no limit.
    pub cold_rate: Option<f64>,
    /// Whether objects change their server as little as possible; see [`crate::affinity`].
    pub stable: bool,
}

/// A request to place.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Its route; requests of one route take similar work.
    pub route: &'a Name,
    /// Hash of the object that it accesses; random if it accesses none.
    pub object: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Latency objective, counted from now.
    pub objective_ms: u64,
    /// Time to its deadline, counted from now.
    pub left_ms: u64,
    /// Regions that may serve it; all if empty.
    pub homes: &'a [Name],
    /// Servers that earlier attempts were sent to.
    pub tried: &'a [Name],
}

/// The server chosen for a request, which counts towards its load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chosen {
    /// Its name.
    pub server: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Region it runs in.
    pub region: Name,
    /// Whether the server was expected to hold the object.
    pub held: Held,
    /// Expected latency plus the price of traffic to another failure domain and a
    /// penalty for recent failures, in milliseconds.
    pub expected_ms: u64,
    /// Whether it was expected to have at least one free slot.
    pub idle: bool,
    /// Its estimated load, in requests.
    pub load: f64,
}

/// Whether and where a request is sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlacementDecision {
    /// Refuse it.
    Refuse {
        /// Time after which a free slot is expected.
        retry_ms: u64,
    },
    /// Send it to a server.
    Send(Chosen),
}

/// How an attempt of a gateway at a backend server ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlacementEnd {
    /// A complete answer.
    Answered,
    /// The caller disconnected, or the attempt was cancelled for another reason
    /// that says nothing about the server. Leaves its failure rate unchanged.
    Cancelled,
    /// The server answered with a server error.
    Failed,
    /// A different server answered at the address; suspends the expected one.
    Moved,
    /// The connection ended before the answer was complete. Counts as a failure of
    /// the server, but does not suspend it.
    Cut,
    /// The server refused to run the request.
    Shed,
    /// No connection could be made.
    Unreachable,
    /// No answer in time.
    TimedOut,
}

/// Load as a backend server reports it to a gateway.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests it can run at a time.
    pub slots: u32,
    /// Time that work currently takes there, in percent of the usual time, if it says so. Not
    /// part of the serialized form, which builds without it read; messages name it beside it.
    #[serde(skip)]
    pub pace: Option<u32>,
}

/// What an answer says about the state of its server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerReport {
    /// Its load.
    pub load: Option<LoadReport>,
    /// Its limit.
    pub limit: LimitNotice,
}

impl ServerReport {
    /// The report with a pace in percent, if it has a load.
    pub fn with_pace(self, pace: u32) -> ServerReport {
        let load = self.load.map(|load| LoadReport {
            pace: Some(pace),
            ..load
        });
        ServerReport { load, ..self }
    }

    /// The report after a time in milliseconds, in which its pace has decayed.
    pub fn aged(self, age_ms: u64) -> ServerReport {
        match self.load.and_then(|load| load.pace) {
            Some(pace) => self.with_pace(aged_percent(pace, age_ms)),
            None => self,
        }
    }
}

impl From<Option<LoadReport>> for ServerReport {
    fn from(load: Option<LoadReport>) -> ServerReport {
        ServerReport {
            load,
            limit: LimitNotice::Unknown,
        }
    }
}
