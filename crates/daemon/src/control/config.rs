//! Settings of a control instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use pomelovale_coordination::measurements::LOST_AFTER_MS;
use pomelovale_protocol::auth::Secret;
use pomelovale_state::command::Command;
use pomelovale_state::Name;
use pomelovale_transport::peer_client::PeerAddress;
use pomelovale_transport::peer_format::UnnamedFormat;
use pomelovale_transport::peer_link::PeerTimings;
use serde::Deserialize;

/// Settings of a control instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlConfig {
    /// Name of this instance.
    pub name: Name,
    /// Directory of the log and the snapshots.
    pub directory: PathBuf,
    /// Address to listen on for peers.
    pub listen: SocketAddr,
    /// The other control instances; with [`Joining::ByAddress`], the first ones
    /// to contact.
    #[serde(default)]
    pub peers: Vec<PeerAddress>,
    /// How this instance finds the other control instances.
    #[serde(default)]
    pub joining: Joining,
    /// Secret shared by all instances of the deployment.
    pub secret: Secret,
    /// Commands that the first leader proposes as one batch while the document
    /// is empty.
    #[serde(default)]
    pub initial: Vec<Command>,
    /// Time limits of peer connections.
    #[serde(default)]
    pub timings: PeerTimings,
    /// Time limits and sizes of the control role.
    #[serde(default)]
    pub limits: ControlLimits,
    /// Format of the peers that name none.
    #[serde(skip)]
    pub unnamed: Arc<UnnamedFormat>,
}

/// How control instances find each other.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Joining {
    /// Each instance has its IP address as its name. Instances that are not in
    /// the settings of the others join without a change of settings.
    ByAddress {
        /// Whether this is the first start of the deployment.
        founding: bool,
        /// Maximum number of voting instances.
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
    /// Time limit of a call, in milliseconds.
    pub call_ms: u64,
    /// Delay added to each sent message, in milliseconds, to simulate distant
    /// regions in tests.
    pub delay_ms: u64,
    /// Time without a report after which an entry is removed from the entry
    /// list, in milliseconds.
    pub lost_ms: u64,
    /// Time without a report after which entries are removed even if most of
    /// them don't report, in milliseconds; zero for never.
    pub lost_all_ms: u64,
    /// Number of changes kept for subscribers that lag behind.
    pub recent: usize,
    /// Log entries kept in memory that precede the last snapshot, for control
    /// instances that lag behind.
    pub retain: usize,
    /// Size of the log entries applied between two snapshots, in bytes. It bounds the log
    /// on disk and in memory, unless a snapshot is larger than it.
    pub snapshot_bytes: usize,
    /// Number of log entries applied between two snapshots.
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
            snapshot_bytes: 8 * 1024 * 1024,
            snapshot_entries: 4_096,
        }
    }
}
