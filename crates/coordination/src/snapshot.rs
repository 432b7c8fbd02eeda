//! Atomic and durable replacement of whole files, such as the vote, the log
//! snapshot and the log when it is rewritten. The name of the module doesn't
//! refer to log snapshots only.

use std::fs::{self, File};
use std::io::{ErrorKind as IoKind, Write};
use std::path::Path;

use error_stack::Report;
use pomelovale_state::ErrorKind;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::frame::{self, Fault};

/// Description of an intact frame that can't be decoded.
pub(crate) const UNKNOWN_FORMAT: &str = "an intact frame has a format that this build can't read";

/// Extension of the temporary file that is written before the rename.
const TEMP_EXTENSION: &str = "tmp";

/// Replaces the content of `path` by one frame, atomically and durably: after a
/// crash the file holds either the old content or the new one.
pub(crate) fn replace<T: Serialize>(path: &Path, value: &T) -> Result<(), Report<ErrorKind>> {
    let frame = frame::encode(0, value)?;
    replace_bytes(path, &frame)
}

/// Replaces the content of `path` atomically and durably.
pub fn replace_bytes(path: &Path, bytes: &[u8]) -> Result<(), Report<ErrorKind>> {
    let failed = |error| io_error(path, &error);
    replace_with(path, |file| file.write_all(bytes).map_err(failed))
}

/// Replaces the content of `path` atomically and durably by what `write` writes.
pub(crate) fn replace_with(
    path: &Path,
    write: impl FnOnce(&mut File) -> Result<(), Report<ErrorKind>>,
) -> Result<(), Report<ErrorKind>> {
    let unfinished = path.with_extension(TEMP_EXTENSION);
    let failed = |error| io_error(path, &error);
    let replaced = File::create(&unfinished)
        .map_err(failed)
        .and_then(|mut file| {
            write(&mut file)?;
            let synced = file.sync_all();
            synced
                .and_then(|()| fs::rename(&unfinished, path))
                .map_err(failed)
        });
    if replaced.is_err() {
        // On a full disk, its bytes would be missing for the next attempt.
        let _ = fs::remove_file(&unfinished);
    }
    replaced?;
    sync_directory(path)
}

/// Syncs the parent directory, which makes the creation or renaming of `path`
/// durable.
pub(crate) fn sync_directory(path: &Path) -> Result<(), Report<ErrorKind>> {
    let parent = match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    };
    File::open(parent)
        .and_then(|directory| directory.sync_all())
        .map_err(|error| io_error(parent, &error))
}

/// Reads a file that consists of one frame; `None` if it does not exist.
pub(crate) fn read<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, Report<ErrorKind>> {
    let Some(bytes) = read_bytes(path)? else {
        return Ok(None);
    };
    match frame::decode(&bytes, 0) {
        Ok((value, end)) if end == bytes.len() => Ok(Some(value)),
        Err(Fault::Unknown) => Err(corrupt(path, 0, UNKNOWN_FORMAT)),
        _ => Err(corrupt(path, 0, "the file is not a single intact frame")),
    }
}

/// Reads the bytes of a file; `None` if it does not exist.
pub fn read_bytes(path: &Path) -> Result<Option<Vec<u8>>, Report<ErrorKind>> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == IoKind::NotFound => Ok(None),
        Err(error) => Err(io_error(path, &error)),
    }
}

/// Returns the error for damaged content at `offset` of a file.
pub(crate) fn corrupt(path: &Path, offset: usize, what: &str) -> Report<ErrorKind> {
    let text = format!("{}, offset {offset}: {what}", path.display());
    Report::new(ErrorKind::Corrupt).attach(text)
}

/// Returns the error for a failed file operation.
pub(crate) fn io_error(path: &Path, error: &std::io::Error) -> Report<ErrorKind> {
    let text = format!("{}: {error}", path.display());
    Report::new(ErrorKind::Internal).attach(text)
}
