//! Durable storage of the log in one directory.
//!
//! | file | content |
//! | --- | --- |
//! | `identity` | incarnation of the directory, written last on creation; the format, if it is sealed |
//! | `vote` | latest epoch and vote |
//! | `snapshot` | latest snapshot |
//! | `log` | a base position, then frames of entries |
//! | `lock` | empty; locked while a process uses the directory |
//!
//! All files but `lock` are created and replaced atomically, by a rename. Between
//! replacements, frames are appended to `log`; it is replaced when a snapshot
//! moves its base. An entry in `log` replaces earlier ones with the same or a
//! higher index. Every frame is synced before the next one is written, so a crash
//! can damage only the last frame. A damaged frame before an intact one means that
//! the disk lost data that was acknowledged.

use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, Write};
use std::path::{Path, PathBuf};

use error_stack::Report;
use pomelovale_protocol::format::{self, Format, FormatError, MARK};
use pomelovale_protocol::log::{Entry, Epoch, Position, Snapshot};
use pomelovale_state::ErrorKind;
use serde::{Deserialize, Serialize};

use crate::frame::{self, Fault, FrameReader};
use crate::log::{HardState, Persist, RestoredState};
use crate::snapshot::{self, corrupt, io_error, UNKNOWN_FORMAT};

/// Payload size from which on a frame is written out, in bytes. The last entry of
/// a frame may exceed it.
const FRAME_BYTES_TARGET: usize = 1024 * 1024;

/// Result of a storage operation.
pub type Result<T> = std::result::Result<T, Report<ErrorKind>>;

/// The data directory of a replica. After a failed [`Storage::sync`] the content of
/// the log file is unknown; the next one writes that file anew.
#[derive(Debug)]
pub struct Storage {
    base: Position,
    directory: PathBuf,
    incarnation: u64,
    length: u64,
    log: File,
    queue: VecDeque<Persist>,
    /// Whether the log file has to be written anew, as a write to it has failed.
    rewrite_due: bool,
    sealed: bool,
    /// The stored entries after `base`; payloads are shared with the replica.
    tail: Vec<Entry>,
}

/// Exclusive lock on a data directory, released on drop. Two processes that
/// write to one directory would destroy its content.
#[derive(Debug)]
pub struct DirectoryLock {
    _file: File,
}

impl DirectoryLock {
    /// Locks a data directory, which is created if it does not exist.
    pub fn acquire(directory: impl AsRef<Path>) -> Result<DirectoryLock> {
        let directory = directory.as_ref();
        fs::create_dir_all(directory).map_err(|error| io_error(directory, &error))?;
        let path = directory.join("lock");
        let file = File::create(&path).map_err(|error| io_error(&path, &error))?;
        match file.try_lock() {
            Ok(()) => Ok(DirectoryLock { _file: file }),
            Err(_) => {
                let text = format!("{} is in use by another process", directory.display());
                Err(Report::new(ErrorKind::BadSettings).attach(text))
            }
        }
    }
}

impl Storage {
    /// Opens a data directory, or creates one with a new incarnation. An incomplete
    /// last frame is truncated; other damage is an [`ErrorKind::Corrupt`] error.
    pub fn open(directory: impl AsRef<Path>) -> Result<(Storage, RestoredState)> {
        Storage::open_checked(directory, |_| Ok(()))
    }

    /// Like [`Storage::open`], but passes what was read to `check` first. If that
    /// fails, the files are left as they are.
    pub fn open_checked(
        directory: impl AsRef<Path>,
        check: impl FnOnce(&RestoredState) -> Result<()>,
    ) -> Result<(Storage, RestoredState)> {
        let directory = directory.as_ref().to_path_buf();
        fs::create_dir_all(&directory).map_err(|error| io_error(&directory, &error))?;
        snapshot::sync_directory(&directory)?;
        let (incarnation, sealed) = match read_identity(&directory.join("identity"))? {
            Some(identity) => identity,
            None => (create(&directory)?, false),
        };
        let hard_state: HardState = read_required(&directory.join("vote"))?;
        let stored: Snapshot = snapshot::read(&directory.join("snapshot"))?.unwrap_or_default();
        let path = directory.join("log");
        let mut contents = read_log(&path)?;
        if contents.base.index > stored.index {
            let missing = "the snapshot before the first log entry is missing";
            return Err(corrupt(&path, 0, missing));
        }
        let last = contents.tail.last().map_or(stored.epoch, |e| e.epoch);
        if last > hard_state.epoch {
            return Err(corrupt(
                &path,
                0,
                "an entry has a later epoch than the vote file",
            ));
        }
        let rewrite_needed = contents.base != stored.position();
        advance_base(&mut contents.tail, &mut contents.base, stored.position());
        let restored = RestoredState {
            entries: contents.tail.clone(),
            hard_state,
            incarnation,
            snapshot: stored,
        };
        check(&restored)?;
        if contents.length < contents.file_length {
            cut(&path, contents.length, contents.file_length)?;
        }
        let mut storage = Storage {
            base: contents.base,
            directory,
            incarnation,
            length: contents.length as u64,
            log: open_log(&path)?,
            queue: VecDeque::new(),
            rewrite_due: false,
            sealed,
            tail: contents.tail,
        };
        if rewrite_needed {
            storage.rewrite()?;
        }
        storage.sync_existing()?;
        Ok((storage, restored))
    }

    /// Syncs what an earlier process wrote but may not have synced: from here on
    /// the replica counts it as durable.
    fn sync_existing(&self) -> Result<()> {
        let path = self.directory.join("log");
        self.log
            .sync_all()
            .map_err(|error| io_error(&path, &error))?;
        snapshot::sync_directory(&path)
    }

    /// Queues a write, which is durable after the next [`Storage::sync`].
    pub fn write(&mut self, persist: &Persist) -> Result<()> {
        self.queue.push_back(persist.clone());
        Ok(())
    }

    /// Writes and syncs all queued writes. After an error, those that are not durable
    /// yet are written again by the next call.
    pub fn sync(&mut self) -> Result<()> {
        if self.rewrite_due {
            self.rewrite()?;
        }
        let result = self.write_queue();
        self.rewrite_due = result.is_err();
        result
    }

    /// Makes builds that don't know a format refuse the directory before they write to
    /// it. Those before format 2 can't tell formats apart.
    pub fn seal(&mut self, format: Format) -> Result<()> {
        let seal = Seal {
            mark: MARK,
            number: format.number(),
            build: env!("CARGO_PKG_VERSION").to_owned(),
            incarnation: self.incarnation,
        };
        snapshot::replace(&self.directory.join("identity"), &seal)?;
        self.sealed = true;
        Ok(())
    }

    /// Whether the directory is sealed.
    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Size of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.length
    }

    fn write_queue(&mut self) -> Result<()> {
        let latest = self.queue.iter().rev();
        if let Some(hard_state) = latest.filter_map(|p| p.hard_state.as_ref()).next() {
            snapshot::replace(&self.directory.join("vote"), hard_state)?;
        }
        while let Some(persist) = self.queue.pop_front() {
            if let Err(error) = self.write_persist(&persist) {
                self.queue.push_front(persist);
                return Err(error);
            }
        }
        Ok(())
    }

    // May be repeated after an error: entries replace those at their indexes.
    fn write_persist(&mut self, persist: &Persist) -> Result<()> {
        if let Some(stored) = &persist.snapshot {
            self.install(stored)?;
        }
        for entries in frames(&persist.entries) {
            self.append(entries)?;
        }
        Ok(())
    }

    /// Writes the entries after the base as one frame and syncs it.
    fn append(&mut self, entries: &[Entry]) -> Result<()> {
        let covered_count = entries
            .iter()
            .take_while(|entry| entry.index <= self.base.index)
            .count();
        let entries = &entries[covered_count..];
        if entries.is_empty() {
            return Ok(());
        }
        let frame = frame::encode(self.length, &entries)?;
        self.log
            .write_all(&frame)
            .and_then(|()| self.log.sync_data())
            .map_err(|error| io_error(&self.directory.join("log"), &error))?;
        self.length += frame.len() as u64;
        for entry in entries {
            insert_entry(&mut self.tail, self.base, entry.clone());
        }
        Ok(())
    }

    fn install(&mut self, stored: &Snapshot) -> Result<()> {
        snapshot::replace(&self.directory.join("snapshot"), stored)?;
        advance_base(&mut self.tail, &mut self.base, stored.position());
        self.rewrite()
    }

    /// Replaces the log file by one that starts at the base.
    fn rewrite(&mut self) -> Result<()> {
        let path = self.directory.join("log");
        let mut length = 0;
        snapshot::replace_with(&path, |file| {
            let base = frame::encode(0, &self.base)?;
            write_frame(file, &path, &base)?;
            length = base.len() as u64;
            for entries in frames(&self.tail) {
                let frame = frame::encode(length, &entries)?;
                write_frame(file, &path, &frame)?;
                length += frame.len() as u64;
            }
            Ok(())
        })?;
        self.log = open_log(&path)?;
        self.length = length;
        Ok(())
    }
}

fn write_frame(file: &mut File, path: &Path, frame: &[u8]) -> Result<()> {
    file.write_all(frame)
        .map_err(|error| io_error(path, &error))
}

/// Divides entries into those of one frame each.
fn frames(entries: &[Entry]) -> impl Iterator<Item = &[Entry]> {
    let mut size = 0;
    entries.split_inclusive(move |entry| {
        size += entry.size();
        let is_full = size >= FRAME_BYTES_TARGET;
        if is_full {
            size = 0;
        }
        is_full
    })
}

/// Content of `identity` in a sealed directory; the start is common to all later formats.
#[derive(Deserialize, Serialize)]
struct Seal {
    mark: u8,
    number: u32,
    build: String,
    incarnation: u64,
}

/// Reads the incarnation of a directory, and whether it is sealed.
fn read_identity(path: &Path) -> Result<Option<(u64, bool)>> {
    let Some(bytes) = snapshot::read_bytes(path)? else {
        return Ok(None);
    };
    let mark = frame::body(&bytes, 0).map_or(Ok(()), format::check_mark);
    match mark {
        Err(FormatError::Later { number, .. }) if number <= Format::LATEST.number() => {
            let seal: Option<Seal> = snapshot::read(path)?;
            Ok(seal.map(|seal| (seal.incarnation, true)))
        }
        Err(error) => Err(corrupt(path, 0, &error.to_string())),
        Ok(()) => Ok(snapshot::read(path)?.map(|incarnation| (incarnation, false))),
    }
}

/// Creates the files of an empty log and returns its random incarnation.
fn create(directory: &Path) -> Result<u64> {
    let hard_state: Option<HardState> = snapshot::read(&directory.join("vote"))?;
    let used = hard_state.is_some_and(|hard_state| hard_state.epoch > Epoch(0));
    if used || directory.join("snapshot").exists() {
        let path = directory.join("identity");
        return Err(corrupt(
            &path,
            0,
            "the file is missing, but the directory holds a vote or a snapshot",
        ));
    }
    snapshot::replace(&directory.join("vote"), &HardState::default())?;
    snapshot::replace(&directory.join("log"), &Position::default())?;
    let incarnation = rand::random::<u64>().max(1);
    snapshot::replace(&directory.join("identity"), &incarnation)?;
    Ok(incarnation)
}

fn read_required<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T> {
    snapshot::read(path)?.ok_or_else(|| corrupt(path, 0, "the file is missing"))
}

fn open_log(path: &Path) -> Result<File> {
    OpenOptions::new()
        .append(true)
        .open(path)
        .map_err(|error| io_error(path, &error))
}

struct LogContents {
    base: Position,
    file_length: usize,
    /// Length without an incomplete last frame.
    length: usize,
    tail: Vec<Entry>,
}

fn read_log(path: &Path) -> Result<LogContents> {
    let failed = |error: io::Error| io_error(path, &error);
    let file = match File::open(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return Err(corrupt(path, 0, "the file is missing"));
        }
        opened => opened.map_err(failed)?,
    };
    let file_length = file.metadata().map_err(failed)?.len();
    let mut frames = FrameReader::new(BufReader::new(file));
    let base = match frames.next::<Position>().map_err(failed)? {
        Some(Ok(base)) => base,
        Some(Err((Fault::Unknown, _))) => return Err(corrupt(path, 0, UNKNOWN_FORMAT)),
        None | Some(Err((Fault::Damaged, _))) => {
            return Err(corrupt(path, 0, "the first frame is incomplete or damaged"));
        }
    };
    let mut tail = Vec::new();
    loop {
        let offset = frames.offset();
        let at = offset as usize;
        let entries: Vec<Entry> = match frames.next().map_err(failed)? {
            None => break,
            Some(Ok(entries)) => entries,
            Some(Err((Fault::Unknown, _))) => return Err(corrupt(path, at, UNKNOWN_FORMAT)),
            Some(Err((Fault::Damaged, rest))) if frame::contains_frame(&rest, offset) => {
                let what = "a damaged frame precedes an intact one";
                return Err(corrupt(path, at, what));
            }
            Some(Err((Fault::Damaged, _))) => break,
        };
        for entry in entries {
            if !insert_entry(&mut tail, base, entry) {
                let what = "entries are missing before or within this frame";
                return Err(corrupt(path, at, what));
            }
        }
    }
    Ok(LogContents {
        base,
        file_length: file_length as usize,
        length: frames.offset() as usize,
        tail,
    })
}

/// Cuts off an incomplete last frame, which a crash left, from the log file.
fn cut(path: &Path, offset: usize, length: usize) -> Result<()> {
    let bytes = length - offset;
    log::warn!(
        "{}: truncated an incomplete frame of {bytes} bytes at offset {offset}",
        path.display()
    );
    OpenOptions::new()
        .write(true)
        .open(path)
        .and_then(|file| file.set_len(offset as u64).and_then(|()| file.sync_all()))
        .map_err(|error| io_error(path, &error))
}

/// Inserts an entry at its index and drops the later ones. Returns `false` if
/// the entry before it is missing.
fn insert_entry(tail: &mut Vec<Entry>, base: Position, entry: Entry) -> bool {
    let Some(at) = entry.index.0.checked_sub(base.index.0 + 1) else {
        return false;
    };
    if at as usize > tail.len() {
        return false;
    }
    tail.truncate(at as usize);
    tail.push(entry);
    true
}

/// Moves the base to the position of a snapshot and drops the entries that it
/// covers. Later entries are kept only if the entry at its index has its epoch.
fn advance_base(tail: &mut Vec<Entry>, base: &mut Position, to: Position) {
    let last_covered = tail.iter().position(|entry| entry.position() == to);
    match last_covered {
        _ if *base == to => {}
        Some(at) => drop(tail.drain(..=at)),
        None => tail.clear(),
    }
    *base = to;
}
