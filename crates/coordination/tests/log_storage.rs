//! Tests of the replicated log's data directory after crashes and damage.

use std::fs;
use std::path::Path;

use pomelovale_coordination::log::{DirectoryLock, HardState, Persist, RestoredState, Storage};
use pomelovale_protocol::format::Format;
use pomelovale_protocol::log::{Entry, EntryData, Epoch, LogIndex, Snapshot};
use pomelovale_state::ErrorKind;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident $case:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let directory = tempfile::tempdir().expect("temporary directory is created");
            let case: fn(&Path) = $case;
            case(directory.path());
        })*
    };
}

fn entries(epoch: u64, indexes: std::ops::RangeInclusive<u64>) -> Vec<Entry> {
    let entry = |index| Entry {
        data: EntryData::Change(vec![index as u8; 20].into()),
        epoch: Epoch(epoch),
        index: LogIndex(index),
    };
    indexes.map(entry).collect()
}

fn hard_state(epoch: u64) -> Persist {
    let epoch = Epoch(epoch);
    let hard_state = HardState { epoch, vote: None };
    Persist {
        hard_state: Some(hard_state),
        ..Persist::default()
    }
}

fn save(storage: &mut Storage, persist: Persist) {
    storage.write(&persist).expect("write succeeds");
    storage.sync().expect("sync succeeds");
}

fn save_entries(storage: &mut Storage, entries: Vec<Entry>) {
    save(
        storage,
        Persist {
            entries,
            ..Persist::default()
        },
    );
}

fn save_snapshot(storage: &mut Storage, epoch: u64, index: u64) {
    let snapshot = Snapshot {
        epoch: Epoch(epoch),
        index: LogIndex(index),
        ..Snapshot::default()
    };
    save(
        storage,
        Persist {
            snapshot: Some(snapshot),
            ..Persist::default()
        },
    );
}

/// Creates a directory with entries 1 to 9 of epoch 2 in three frames.
fn fill_directory(directory: &Path) -> Storage {
    let (mut storage, _) = Storage::open(directory).expect("storage opens");
    save(&mut storage, hard_state(2));
    for first in [1, 4, 7] {
        save_entries(&mut storage, entries(2, first..=first + 2));
    }
    storage
}

fn reopen(directory: &Path) -> RestoredState {
    Storage::open(directory).expect("storage opens").1
}

fn refused(directory: &Path, text: &str) {
    let report = Storage::open(directory).expect_err("damage is detected");
    assert_eq!(*report.current_context(), ErrorKind::Corrupt);
    let shown = format!("{report:?}");
    assert!(shown.contains(text), "{shown}");
}

cases! {
    /// Guards against entries, votes and identities lost in a restart.
    restart_restores_all_data |directory| {
        drop(fill_directory(directory));
        let first = reopen(directory);
        assert_eq!(first.entries, entries(2, 1..=9));
        assert_eq!(first.hard_state.epoch, Epoch(2));
        assert!(first.incarnation != 0);
        assert_eq!(first, reopen(directory));
    };

    /// Guards against two data directories with the same identity.
    new_directory_has_new_identity |directory| {
        let first = reopen(&directory.join("a")).incarnation;
        assert_ne!(first, reopen(&directory.join("b")).incarnation);
    };

    /// Guards against replaced entries of a deposed leader that come back.
    later_epoch_replaces_entries |directory| {
        let mut storage = fill_directory(directory);
        save(&mut storage, hard_state(3));
        save_entries(&mut storage, entries(3, 5..=6));
        let mut expected = entries(2, 1..=4);
        expected.extend(entries(3, 5..=6));
        assert_eq!(reopen(directory).entries, expected);
    };

    /// Guards against an instance that never writes again after one failed write, for
    /// example on a disk that was full for a moment.
    failed_writes_are_repeated |directory| {
        let mut storage = fill_directory(directory);
        for (blocked, epoch) in [("vote.tmp", 3), ("log.tmp", 4), ("snapshot.tmp", 5)] {
            let snapshot = Snapshot {
                epoch: Epoch(2),
                index: LogIndex(epoch + 1),
                ..Snapshot::default()
            };
            let persist = Persist {
                entries: entries(epoch, 10..=10 + epoch),
                snapshot: Some(snapshot.clone()),
                ..hard_state(epoch)
            };
            fs::create_dir(directory.join(blocked)).expect("created");
            storage.write(&persist).expect("queued");
            assert!(storage.sync().is_err() && storage.sync().is_err(), "{blocked} is replaced");
            fs::remove_dir(directory.join(blocked)).expect("removed");
            storage.sync().expect("the disk can be written again");
            save_entries(&mut storage, entries(epoch, 11 + epoch..=11 + epoch));
            let restored = reopen(directory);
            assert_eq!(restored.hard_state.epoch, Epoch(epoch));
            assert_eq!(restored.snapshot, snapshot);
            let last = restored.entries.last().map(Entry::position);
            assert_eq!(last.map(|p| (p.epoch, p.index)), Some((Epoch(epoch), LogIndex(11 + epoch))));
        }
    };

    /// Guards against a start that fails or loses an earlier frame after a
    /// crash at any byte of the last frame, and against a log that cannot be
    /// appended to afterwards.
    torn_frame_at_every_byte |directory| {
        let path = directory.join("log");
        let mut storage = fill_directory(directory);
        let start = storage.log_bytes() as usize;
        save_entries(&mut storage, entries(2, 10..=12));
        let whole = fs::read(&path).expect("file is readable");
        for length in start..whole.len() {
            fs::write(&path, &whole[..length]).expect("write succeeds");
            let (mut storage, restored) = Storage::open(directory).expect("storage opens");
            assert_eq!(restored.entries, entries(2, 1..=9), "cut at {length}");
            if length % 8 == 0 {
                save_entries(&mut storage, entries(2, 10..=10));
                assert_eq!(reopen(directory).entries, entries(2, 1..=10));
            }
        }
    };

    /// The same for blocks that never reached the disk and read as zeros.
    zeroed_tail_at_every_byte |directory| {
        let path = directory.join("log");
        let mut storage = fill_directory(directory);
        let start = storage.log_bytes() as usize;
        save_entries(&mut storage, entries(2, 10..=12));
        let whole = fs::read(&path).expect("file is readable");
        for length in start..whole.len() - 1 {
            let mut bytes = whole.clone();
            bytes[length..].fill(0);
            fs::write(&path, &bytes).expect("write succeeds");
            assert_eq!(reopen(directory).entries, entries(2, 1..=9), "zeros from {length}");
        }
    };

    /// Guards against acknowledged entries that are silently dropped: every
    /// flipped bit before the last frame has to be detected.
    flipped_bits_are_refused |directory| {
        let path = directory.join("log");
        let mut storage = fill_directory(directory);
        let start = storage.log_bytes() as usize;
        save_entries(&mut storage, entries(2, 10..=12));
        let whole = fs::read(&path).expect("file is readable");
        for bit in 0..start * 8 {
            let mut bytes = whole.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            fs::write(&path, &bytes).expect("write succeeds");
            refused(directory, "log, offset ");
        }
    };

    /// The same for the other files, which a crash cannot damage.
    damaged_or_missing_files_are_refused |directory| {
        let mut storage = fill_directory(directory);
        save_snapshot(&mut storage, 2, 5);
        for name in ["identity", "vote", "snapshot"] {
            let path = directory.join(name);
            let whole = fs::read(&path).expect("file is readable");
            let mut bytes = whole.clone();
            bytes[whole.len() - 1] ^= 1;
            fs::write(&path, &bytes).expect("write succeeds");
            refused(directory, &format!("{name}, offset 0"));
            fs::remove_file(&path).expect("file is removed");
            refused(directory, "missing");
            fs::write(&path, &whole).expect("write succeeds");
        }
        assert_eq!(reopen(directory).entries, entries(2, 6..=9));
    };

    /// Guards against an intact frame of another build that is taken for damage by a
    /// crash, and against a start that changes the files before it refuses them.
    frames_of_an_unknown_format_are_refused |directory| {
        drop(fill_directory(directory));
        let other = fs::read(directory.join("identity")).expect("file is readable");
        for name in ["vote", "log"] {
            let path = directory.join(name);
            let whole = fs::read(&path).expect("file is readable");
            fs::write(&path, &other).expect("write succeeds");
            refused(directory, &format!("{name}, offset 0: an intact frame has a format"));
            assert_eq!(fs::read(&path).expect("file is readable"), other);
            fs::write(&path, &whole).expect("write succeeds");
        }
        assert_eq!(reopen(directory).entries, entries(2, 1..=9));
    };

    /// Guards against a sealed directory that is lost or gets another identity.
    sealed_directory_opens_again |directory| {
        let mut storage = fill_directory(directory);
        let before = reopen(directory);
        storage.seal(Format::LATEST).expect("the directory is sealed");
        save_entries(&mut storage, entries(2, 10..=10));
        let (storage, restored) = Storage::open(directory).expect("storage opens");
        assert!(storage.is_sealed());
        assert_eq!(restored.incarnation, before.incarnation);
        assert_eq!(restored.entries, entries(2, 1..=10));
    };

    /// Guards against a directory of a later build that is opened, or refused without the
    /// name of the build.
    directory_of_a_later_format_is_refused_by_name |directory| {
        drop(fill_directory(directory));
        let path = directory.join("identity");
        let body = b"\xff\x09\x031.4 and more";
        let mut frame = (body.len() as u32).to_le_bytes().to_vec();
        frame.extend(crc32fast::hash(body).to_le_bytes());
        let offset = [0; 8];
        let header = [frame.as_slice(), &offset].concat();
        frame.extend(crc32fast::hash(&header).to_le_bytes());
        frame.extend(body);
        fs::write(&path, &frame).expect("write succeeds");
        refused(directory, "identity, offset 0: format 9 of build \"1.4\"");
        assert_eq!(fs::read(&path).expect("file is readable"), frame);
    };

    /// Guards against a start that truncates the log although its entries are refused.
    refused_entries_are_left_as_they_are |directory| {
        drop(fill_directory(directory));
        let path = directory.join("log");
        let mut bytes = fs::read(&path).expect("file is readable");
        bytes.extend([1, 2, 3]);
        fs::write(&path, &bytes).expect("write succeeds");
        let refuse = |_: &RestoredState| Err(error_stack::Report::new(ErrorKind::Corrupt));
        let report = Storage::open_checked(directory, refuse).expect_err("entries are refused");
        assert_eq!(*report.current_context(), ErrorKind::Corrupt);
        assert_eq!(fs::read(&path).expect("file is readable"), bytes);
    };

    /// Guards against a crash between the snapshot and the truncation of the
    /// log: entries must be neither lost nor applied twice.
    crash_before_truncation |directory| {
        let mut storage = fill_directory(directory);
        let log = fs::read(directory.join("log")).expect("file is readable");
        save_snapshot(&mut storage, 2, 5);
        fs::write(directory.join("log"), &log).expect("write succeeds");
        let (mut storage, restored) = Storage::open(directory).expect("storage opens");
        assert_eq!(restored.snapshot.index, LogIndex(5));
        assert_eq!(restored.entries, entries(2, 6..=9));
        assert!(storage.log_bytes() < log.len() as u64);
        save_entries(&mut storage, entries(2, 10..=10));
        assert_eq!(reopen(directory).entries, entries(2, 6..=10));
    };

    /// The same for a snapshot from the leader, with which the log may conflict.
    crash_before_replacement |directory| {
        let mut storage = fill_directory(directory);
        save(&mut storage, hard_state(3));
        let log = fs::read(directory.join("log")).expect("file is readable");
        save_snapshot(&mut storage, 3, 7);
        fs::write(directory.join("log"), &log).expect("write succeeds");
        assert_eq!(reopen(directory).entries, []);
        let (mut storage, _) = Storage::open(directory).expect("storage opens");
        save_entries(&mut storage, entries(3, 8..=9));
        assert_eq!(reopen(directory).entries, entries(3, 8..=9));
    };
}

/// Guards against two processes that write to the same directory.
#[test]
fn directory_in_use_is_refused() {
    let directory = tempfile::tempdir().unwrap();
    let first = DirectoryLock::acquire(directory.path()).unwrap();
    let error = DirectoryLock::acquire(directory.path()).err().unwrap();
    assert_eq!(error.current_context(), &ErrorKind::BadSettings);
    assert!(format!("{error:?}").contains("in use by another process"));
    drop(first);
    DirectoryLock::acquire(directory.path()).unwrap();
}
