//! What placement is asked and what it answers.

use std::net::SocketAddr;

use pomelovale_state::Name;
use serde::{Deserialize, Serialize};

use crate::estimate::Held;

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
    /// Time that it stays cold, in milliseconds.
    pub cold_ms: u64,
    /// Whether it is known to be out of reach.
    pub down: bool,
}

/// What all servers of a service have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceSpec {
    /// Time that a started server stays cold, in milliseconds.
    pub cold_ms: u64,
    /// Requests a second that a cold server bears from all instances together;
    /// none for no limit.
    pub cold_rate: Option<f64>,
}

/// A request to place.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Route, whose requests take similar work.
    pub route: &'a Name,
    /// Hash of the object that it concerns; random if it concerns none.
    pub object: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Time within which its answer has its full value, counted from now.
    pub objective_ms: u64,
    /// Time until it is given up, counted from now.
    pub left_ms: u64,
    /// Regions that may serve it; all if empty.
    pub homes: &'a [Name],
    /// Servers that were tried before.
    pub tried: &'a [Name],
}

/// A server for a request, counted as busy with it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chosen {
    /// Its name.
    pub server: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Region it runs in.
    pub region: Name,
    /// What was known of the object there.
    pub held: Held,
    /// Expected time until the answer, in milliseconds.
    pub expected_ms: u64,
    /// Whether it was expected to have a free slot.
    pub idle: bool,
    /// Load that it was believed to have.
    pub load: f64,
}

/// What to do with a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Verdict {
    /// Refuse it.
    Refuse {
        /// When room can be expected.
        retry_ms: u64,
    },
    /// Send it to a server.
    Send(Chosen),
}

/// How an exchange with a server ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ended {
    /// A complete answer.
    Answered,
    /// The caller left, or the request was given up for a reason that says
    /// nothing about the server.
    Cancelled,
    /// The server answered with a fault of its own.
    Failed,
    /// Another server has the address.
    Moved,
    /// The connection ended before the answer was complete.
    Cut,
    /// The server refused to run the request.
    Shed,
    /// No connection could be made.
    Unreachable,
    /// No answer in time.
    TimedOut,
}

/// A server's own account of its load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests it can run at a time.
    pub slots: u32,
}
