//! Settings of a control instance.

use std::net::SocketAddr;
use std::path::PathBuf;

use pomelovale_coordination::measurements::LOST_AFTER_MS;
use pomelovale_protocol::auth::Secret;
use pomelovale_state::command::Command;
use pomelovale_state::Name;
use pomelovale_transport::peer_client::PeerAddress;
use pomelovale_transport::peer_link::PeerTimings;
use serde::Deserialize;

/// Settings of a control instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlConfig {
    /// Name of this instance.
    pub name: Name,
    /// Directory that holds all files.
    pub directory: PathBuf,
    /// Address to listen on for peers.
    pub listen: SocketAddr,
    /// The other control instances; with [`Joining::ByAddress`], those to start
    /// from.
    #[serde(default)]
    pub peers: Vec<PeerAddress>,
    /// How control instances find each other.
    #[serde(default)]
    pub joining: Joining,
    /// Secret of the deployment.
    pub secret: Secret,
    /// Commands that the first leader proposes as one batch.
    #[serde(default)]
    pub initial: Vec<Command>,
    /// Time limits of connections.
    #[serde(default)]
    pub timings: PeerTimings,
    /// Time limits and sizes of the control role.
    #[serde(default)]
    pub limits: ControlLimits,
}

/// How control instances find each other.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Joining {
    /// Instances are named by their IP addresses. Those that are not in the
    /// settings join by themselves.
    ByAddress {
        /// Whether this is the first start of the whole system.
        founding: bool,
        /// Most instances that vote.
        voters: usize,
    },
    /// All instances are in the settings.
    #[default]
    Fixed,
}

/// Time limits and sizes of the control role.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ControlLimits {
    /// Longest time that a call waits for an answer, in milliseconds.
    pub call_ms: u64,
    /// Delay added to each message sent, for tests of distant regions.
    pub delay_ms: u64,
    /// Time without a report after which an entry is taken out of the entry
    /// list, in milliseconds.
    pub lost_ms: u64,
    /// Time after which that holds also if most entries are silent; zero for
    /// never.
    pub lost_all_ms: u64,
    /// Changes kept for subscribers that lag.
    pub recent: usize,
    /// Entries kept in memory behind a snapshot, for control instances that lag.
    pub retain: usize,
    /// Entries applied between two snapshots.
    pub snapshot_entries: u64,
}

impl Default for ControlLimits {
    fn default() -> ControlLimits {
        ControlLimits {
            call_ms: 8_000,
            delay_ms: 0,
            lost_ms: LOST_AFTER_MS,
            lost_all_ms: 0,
            recent: 4_096,
            retain: 2_000,
            snapshot_entries: 4_096,
        }
    }
}
