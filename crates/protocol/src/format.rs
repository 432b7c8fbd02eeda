//! Formats of stored and exchanged data.
//!
//! | format | builds | difference |
//! | --- | --- | --- |
//! | 1 | before 7ee4efaf | no limits of backend servers |
//! | 2 | from 7ee4efaf on | |
//!
//! The data of these formats names neither of them. Most changes have the same bytes in
//! both; the others have the length of a value of one format only, which tells them
//! apart. A later format starts with [`MARK`], its number and the build that wrote it.

use std::fmt;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use pomelovale_state::blocks::BlockTable;
use pomelovale_state::command::{Change, Command, Item};
use pomelovale_state::document::{
    Backend, CrashRecord, Digest, Document, Instance, Key, Link, Region, Service, Site, Workspace,
};
use pomelovale_state::machine::StateMachine;
use pomelovale_state::moves::{Move, MoveAction};
use pomelovale_state::routing::Routing;
use pomelovale_state::{Millis, Name};
use serde::de::DeserializeOwned;

use crate::frame::{decode_body_unlimited, encode_body, FrameError};
use crate::log::Position;

/// First byte of data in a later format. Formats 1 and 2 start with an integer or a
/// length, whose encoding never has this value.
pub const MARK: u8 = 255;

/// A format that this build reads and writes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Format {
    /// Without limits of backend servers.
    First,
    /// With limits of backend servers.
    Second,
}

impl Format {
    /// The latest format.
    pub const LATEST: Format = Format::Second;

    /// The number by which builds name the format to each other.
    pub fn number(self) -> u32 {
        match self {
            Format::First => 1,
            Format::Second => 2,
        }
    }
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "format {}", self.number())
    }
}

/// Why data can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FormatError {
    /// Two formats give different values.
    Ambiguous,
    /// A later build wrote it.
    Later {
        /// Number of the format.
        number: u32,
        /// The build that wrote it.
        build: String,
    },
    /// It is a value of no known format.
    Malformed,
}

impl fmt::Display for FormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let latest = Format::LATEST.number();
        match self {
            FormatError::Ambiguous => f.write_str("formats 1 and 2 give different values"),
            FormatError::Later { number, build } => write!(
                f,
                "format {number} of build {build:?}; this build reads formats 1 to {latest}"
            ),
            FormatError::Malformed => write!(f, "no value of formats 1 to {latest}"),
        }
    }
}

impl std::error::Error for FormatError {}

/// A value, and the format that its bytes belong to; `None` if they are the same in all
/// formats.
pub type Decoded<T> = (T, Option<Format>);

/// Index of each command of the second format that the first one lacks or that has
/// another index there, as it is serialized.
const BATCH: u8 = 0;
const SET_SERVER_LIMITS: u8 = 22;
const STEP_MOVE: u8 = 23;
const REVOKE_KEY: u8 = 24;

/// Whether a command has the same bytes in all formats.
pub fn is_common(command: &Command) -> bool {
    match command {
        Command::Batch(commands) => commands.iter().all(is_common),
        Command::SetServerLimits(_) | Command::StepMove { .. } | Command::RevokeKey(_) => false,
        _ => true,
    }
}

/// Decodes a change of any format.
pub fn decode_change(bytes: &[u8]) -> Result<Decoded<Change>, FormatError> {
    check_mark(bytes)?;
    match decode_body_unlimited::<Change>(bytes).ok() {
        Some(change) if is_common(&change.command) => Ok((change, None)),
        second => resolve(
            second,
            convert_change(bytes, Format::First).and_then(decode),
        ),
    }
}

/// Encodes a change; `None` if the format has no such change.
pub fn encode_change(change: &Change, format: Format) -> Option<Vec<u8>> {
    let bytes = encode_body(change).ok()?;
    match format {
        Format::First if !is_common(&change.command) => convert_change(&bytes, Format::Second),
        Format::First | Format::Second => Some(bytes),
    }
}

/// Decodes the state of a snapshot of any format, and the position of its last
/// distributed change.
pub fn decode_state(bytes: &[u8]) -> Result<Decoded<(StateMachine, Position)>, FormatError> {
    check_mark(bytes)?;
    let first = insert_limits(bytes).and_then(decode);
    resolve(decode_body_unlimited(bytes).ok(), first)
}

/// Encodes the state of a snapshot. A state with limits has no first format, and is
/// encoded in the second one.
pub fn encode_state(
    machine: &StateMachine,
    position: Position,
    format: Format,
) -> Result<Vec<u8>, FrameError> {
    let mut bytes = encode_body(&(machine, position))?;
    if format == Format::First && machine.document.limits.is_empty() {
        // The empty table of limits is the last part of the document.
        let end = encode_body(&machine.document)?.len();
        bytes.remove(end - 1);
    }
    Ok(bytes)
}

/// Decodes a document of any format.
pub fn decode_document(bytes: &[u8]) -> Result<(Document, Format), FormatError> {
    check_mark(bytes)?;
    if let Ok(document) = decode_body_unlimited(bytes) {
        return Ok((document, Format::Second));
    }
    let first = insert_limits(bytes).and_then(decode);
    first
        .map(|document| (document, Format::First))
        .ok_or(FormatError::Malformed)
}

/// Encodes a document. The first format leaves its limits out.
pub fn encode_document(document: &Document, format: Format) -> Result<Vec<u8>, FrameError> {
    let mut bytes = encode_body(document)?;
    if format == Format::First {
        bytes.truncate(bytes.len() - encode_body(&document.limits)?.len());
    }
    Ok(bytes)
}

/// Returns the error for data that starts with a [`MARK`].
pub fn check_mark(bytes: &[u8]) -> Result<(), FormatError> {
    match bytes.split_first() {
        Some((&MARK, rest)) => Err(match decode_prefix::<(u32, String)>(rest) {
            Some(((number, build), _)) => FormatError::Later { number, build },
            None => FormatError::Malformed,
        }),
        _ => Ok(()),
    }
}

fn resolve<T: PartialEq>(second: Option<T>, first: Option<T>) -> Result<Decoded<T>, FormatError> {
    match (second, first) {
        (Some(second), Some(first)) if second == first => Ok((second, None)),
        (Some(_), Some(_)) => Err(FormatError::Ambiguous),
        (Some(second), None) => Ok((second, Some(Format::Second))),
        (None, Some(first)) => Ok((first, Some(Format::First))),
        (None, None) => Err(FormatError::Malformed),
    }
}

fn decode<T: DeserializeOwned>(bytes: Vec<u8>) -> Option<T> {
    decode_body_unlimited(&bytes).ok()
}

/// Decodes a value at the start of `bytes`, and returns its length, too.
pub(crate) fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard()).ok()
}

fn prefix_length<T: DeserializeOwned>(bytes: &[u8]) -> Option<usize> {
    decode_prefix::<T>(bytes).map(|(_, length)| length)
}

/// Converts an encoded change from one format to the other.
pub(crate) fn convert_change(bytes: &[u8], from: Format) -> Option<Vec<u8>> {
    let mut converted = Vec::with_capacity(bytes.len());
    let length = append_converted_change(bytes, from, &mut converted)?;
    (length == bytes.len()).then_some(converted)
}

/// Converts the encoded change at the start of `bytes`, and returns its length.
pub(crate) fn append_converted_change(
    bytes: &[u8],
    from: Format,
    converted: &mut Vec<u8>,
) -> Option<usize> {
    type FieldsBeforeCommand = (Name, Name, Option<u64>, Millis);
    let start = prefix_length::<FieldsBeforeCommand>(bytes)?;
    converted.extend_from_slice(&bytes[..start]);
    Some(start + append_converted_command(&bytes[start..], from, converted)?)
}

fn append_converted_command(bytes: &[u8], from: Format, converted: &mut Vec<u8>) -> Option<usize> {
    let (&index, fields) = bytes.split_first()?;
    if index == BATCH {
        let (count, length) = decode_prefix::<u64>(fields)?;
        let mut end = 1 + length;
        converted.extend_from_slice(&bytes[..end]);
        for _ in 0..count {
            end += append_converted_command(&bytes[end..], from, converted)?;
        }
        return Some(end);
    }
    let (second, other) = match (from, index) {
        (Format::First, SET_SERVER_LIMITS) => (STEP_MOVE, STEP_MOVE),
        (Format::First, STEP_MOVE) => (REVOKE_KEY, REVOKE_KEY),
        (Format::Second, STEP_MOVE) => (STEP_MOVE, SET_SERVER_LIMITS),
        (Format::Second, REVOKE_KEY) => (REVOKE_KEY, STEP_MOVE),
        (_, index) if index < SET_SERVER_LIMITS => (index, index),
        _ => return None,
    };
    let end = match second {
        STEP_MOVE => 1 + prefix_length::<(Name, MoveAction)>(fields)?,
        REVOKE_KEY => 1 + prefix_length::<Name>(fields)?,
        _ => prefix_length::<Command>(bytes)?,
    };
    converted.push(other);
    converted.extend_from_slice(&bytes[1..end]);
    Some(end)
}

/// The fields of a document of the first format.
type FirstDocument = (
    u64,
    Millis,
    Vec<(Item, u64)>,
    IndexMap<Name, Region>,
    Vec<Link>,
    IndexMap<Name, Site>,
    BlockTable,
    IndexMap<Name, Service>,
    IndexMap<Name, Backend>,
    IndexMap<Name, Instance>,
    IndexMap<Name, Workspace>,
    IndexMap<Name, Key>,
    IndexMap<Name, Move>,
    Vec<(Digest, CrashRecord)>,
    Option<Arc<Routing>>,
    IndexSet<Name>,
);

/// Converts an encoded document of the first format, with or without data behind it, to
/// the second one.
fn insert_limits(bytes: &[u8]) -> Option<Vec<u8>> {
    const NO_LIMITS: u8 = 0;
    let mut converted = bytes.to_vec();
    converted.insert(prefix_length::<FirstDocument>(bytes)?, NO_LIMITS);
    Some(converted)
}
