//! Decoding of the changes and snapshots that the log holds.

use std::path::Path;

use error_stack::Report;
use pomelovale_coordination::log::RestoredState;
use pomelovale_protocol::format::{decode_change, decode_state, Decoded, Format};
use pomelovale_protocol::log::{Entry, EntryData, LogIndex, Position, Snapshot};
use pomelovale_state::command::Change;
use pomelovale_state::machine::StateMachine;
use pomelovale_state::ErrorKind;

/// State of a snapshot, and the position of its last distributed change.
pub(super) type SnapshotState = (StateMachine, Position);

/// Decodes the change of an entry; `None` if it holds none.
pub(super) fn decode_entry(entry: &Entry) -> Result<Option<Decoded<Change>>, String> {
    match &entry.data {
        EntryData::Empty | EntryData::Members(_) => Ok(None),
        EntryData::Change(payload) => match decode_change(payload) {
            Ok(decoded) => Ok(Some(decoded)),
            Err(e) => Err(format!("can't decode the change at {}: {e}", entry.index)),
        },
    }
}

/// Decodes the state of a snapshot.
pub(super) fn decode_snapshot(snapshot: &Snapshot) -> Result<Decoded<SnapshotState>, String> {
    match snapshot.index {
        LogIndex(0) => Ok((SnapshotState::default(), None)),
        index => decode_state(&snapshot.payload)
            .map_err(|e| format!("can't decode the snapshot at {index}: {e}")),
    }
}

/// Decodes the changes of all entries. Returns the format of the last one whose bytes
/// belong to one format only.
pub(super) fn check_entries(entries: &[Entry]) -> Result<Option<Format>, String> {
    let mut format = None;
    for entry in entries {
        let decoded = decode_entry(entry)?;
        format = decoded.and_then(|(_, format)| format).or(format);
    }
    Ok(format)
}

/// Decodes all data of a directory. Returns the latest format as [`check_entries`] does.
pub(super) fn check_restored(
    directory: &Path,
    restored: &RestoredState,
) -> Result<Option<Format>, Report<ErrorKind>> {
    let corrupt = |file: &str, fault: String| {
        let text = format!("{}: {fault}", directory.join(file).display());
        Report::new(ErrorKind::Corrupt).attach(text)
    };
    let (_, first) =
        decode_snapshot(&restored.snapshot).map_err(|fault| corrupt("snapshot", fault))?;
    let last = check_entries(&restored.entries).map_err(|fault| corrupt("log", fault))?;
    Ok(last.or(first))
}
