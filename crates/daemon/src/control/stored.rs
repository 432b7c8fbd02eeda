//! Decoding of the changes and snapshots that the log holds.

use std::path::Path;

use error_stack::Report;
use pomelovale_coordination::log::RestoredState;
use pomelovale_protocol::frame::decode_body_unlimited;
use pomelovale_protocol::log::{Entry, EntryData, LogIndex, Position, Snapshot};
use pomelovale_state::command::Change;
use pomelovale_state::machine::StateMachine;
use pomelovale_state::ErrorKind;
use serde::{Deserialize, Serialize};

/// Content of a snapshot.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct SnapshotState {
    pub(super) machine: StateMachine,
    pub(super) position: Position,
}

/// Decodes the change of an entry; `None` if it holds none.
pub(super) fn decode_entry(entry: &Entry) -> Result<Option<Change>, String> {
    match &entry.data {
        EntryData::Empty | EntryData::Members(_) => Ok(None),
        EntryData::Change(payload) => match decode_body_unlimited(payload) {
            Ok(change) => Ok(Some(change)),
            Err(e) => Err(format!("can't decode the change at {}: {e}", entry.index)),
        },
    }
}

/// Decodes the state of a snapshot.
pub(super) fn decode_snapshot(snapshot: &Snapshot) -> Result<SnapshotState, String> {
    match snapshot.index {
        LogIndex(0) => Ok(SnapshotState::default()),
        index => decode_body_unlimited(&snapshot.payload)
            .map_err(|e| format!("can't decode the snapshot at {index}: {e}")),
    }
}

/// Checks that all data of a directory can be decoded.
pub(super) fn check_restored(
    directory: &Path,
    restored: &RestoredState,
) -> Result<(), Report<ErrorKind>> {
    let corrupt = |file: &str, fault: String| {
        let text = format!("{}: {fault}", directory.join(file).display());
        Report::new(ErrorKind::Corrupt).attach(text)
    };
    decode_snapshot(&restored.snapshot).map_err(|fault| corrupt("snapshot", fault))?;
    check_entries(&restored.entries).map_err(|fault| corrupt("log", fault))
}

/// Checks that the changes of all entries can be decoded.
pub(super) fn check_entries(entries: &[Entry]) -> Result<(), String> {
    entries.iter().try_for_each(|e| decode_entry(e).map(drop))
}
