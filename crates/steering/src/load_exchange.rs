//! Loads of servers that instances tell each other.
//!
//! Answers load where many instances share the same servers: each of them gets an answer of a
//! given server once in many seconds, and knows nothing of its load in between. Instances
//! therefore pass on what the answers say, each load at most once, and the newest one of each
//! server counts.

use indexmap::IndexMap;
use pomelovale_state::Millis;
use serde::{Deserialize, Serialize};

use crate::placement::LoadReport;

/// Age from which a load isn't passed on, in milliseconds. It says little by then.
const AGE_MAX_MS: u64 = 1_000;
/// Largest number of loads in one message, about 4 KB.
pub const LOADS_MAX: usize = 256;

/// Load of one server, as it is sent to another instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedLoad {
    /// Hash of the name of the server.
    pub server: u64,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Time that work takes there, in percent of the usual time, if it says so.
    pub pace: Option<u32>,
    /// Age in milliseconds.
    pub age_ms: u32,
}

impl SharedLoad {
    /// The load as a server reports it.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.waiting,
            slots: self.slots,
            pace: self.pace,
        }
    }
}

/// Who an instance got a load from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A server, or an instance of its own failure domain.
    Domain,
    /// An instance of another failure domain, which tells all others.
    Region,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    report: LoadReport,
    at: Millis,
    origin: Origin,
    changed: bool,
}

/// The newest loads of the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    // By hash of the server's name.
    servers: IndexMap<u64, Known>,
}

impl LoadTable {
    /// Records the load that a server reported at `at`. Returns whether it is newer than the
    /// known one.
    pub fn record(&mut self, at: Millis, server: u64, report: LoadReport, origin: Origin) -> bool {
        let is_newer = self.servers.get(&server).is_none_or(|k| k.at < at);
        if is_newer {
            let known = Known {
                report,
                at,
                origin,
                changed: true,
            };
            self.servers.insert(server, known);
        }
        is_newer
    }

    /// Takes the loads that were not passed on yet, the newest ones if there are too many for
    /// one message, and forgets old ones.
    pub fn take_changed(&mut self, now: Millis) -> Vec<(SharedLoad, Origin)> {
        self.servers.retain(|_, k| now.since(k.at) < AGE_MAX_MS);
        let changed = self.servers.iter_mut().filter(|(_, k)| k.changed);
        let mut taken: Vec<(SharedLoad, Origin)> = changed
            .map(|(server, known)| {
                known.changed = false;
                (shared(now, *server, known), known.origin)
            })
            .collect();
        taken.sort_by_key(|(load, _)| load.age_ms);
        taken.truncate(LOADS_MAX);
        taken
    }
}

fn shared(now: Millis, server: u64, known: &Known) -> SharedLoad {
    SharedLoad {
        server,
        running: known.report.running,
        waiting: known.report.waiting,
        slots: known.report.slots,
        pace: known.report.pace,
        age_ms: now.since(known.at) as u32,
    }
}
