//! Messages between peers in the formats of [`crate::format`].
//!
//! Peers that name no format to each other when they connect are of builds that know only
//! one: the first or the second.

use bytes::Bytes;
use pomelovale_state::command::{Change, Command};
use pomelovale_state::document::Digest;
use pomelovale_state::Name;
use pomelovale_steering::placement::{LoadReport, PlacementEnd};
use pomelovale_steering::server_limit::LimitNotice;
use serde::Serialize;

use crate::format::{
    append_converted_change, convert_change, decode_prefix, encode_change, Decoded, Format,
};
use crate::frame::{self, decode_body, encode_body, FrameError};
use crate::log::Position;
use crate::messages::{Delta, PeerMessage, Request};
use crate::report::LimitReport;

/// Index of the messages whose bytes differ between formats, as they are serialized.
const CALL: u8 = 0;
const FINISHED: u8 = 3;
const PROOF: u8 = 7;
const REPORT: u8 = 10;
/// Index of [`Request::Propose`].
const PROPOSE: u8 = 2;

/// The fields of a report before its limits.
type ReportStart = (Name, u64, u64, bool, Vec<Name>, Vec<(Name, u64)>);

/// Decodes a message of a peer that doesn't name its format. If it can be read in both
/// formats, it is read in `known`.
pub fn decode_message(
    body: &[u8],
    known: Option<Format>,
) -> Result<Decoded<PeerMessage>, FrameError> {
    let second = decode_body::<PeerMessage>(body);
    let may_differ = matches!(body.first(), Some(&(CALL | FINISHED | PROOF | REPORT)));
    if !may_differ {
        return second.map(|message| (message, None));
    }
    let first = convert_message(body).and_then(|body| decode_body(&body).ok());
    match (second, first) {
        (Ok(second), Some(first)) if second == first => Ok((second, None)),
        (Ok(_), Some(first)) if known == Some(Format::First) => Ok((first, None)),
        (Ok(second), Some(_)) => Ok((second, None)),
        (Ok(second), None) => Ok((second, Some(Format::Second))),
        (Err(_), Some(first)) => Ok((first, Some(Format::First))),
        (Err(error), None) => Err(error),
    }
}

/// Encodes a message as a frame.
pub fn encode_message(message: &PeerMessage, format: Format) -> Result<Bytes, FrameError> {
    match format {
        Format::First => frame::encode_frame(&encode_first(message)?),
        Format::Second => frame::encode(message),
    }
}

// Converts a message of the first format to the second one. A message with the same bytes
// in both is returned as it is.
fn convert_message(body: &[u8]) -> Option<Vec<u8>> {
    let (&index, fields) = body.split_first()?;
    match index {
        CALL => {
            let (_, length) = decode_prefix::<u64>(fields)?;
            let request = 1 + length;
            if body.get(request) != Some(&PROPOSE) {
                return Some(body.to_vec());
            }
            let change = request + 1;
            let converted = convert_change(&body[change..], Format::First)?;
            Some([&body[..change], &converted].concat())
        }
        FINISHED => {
            type Fields = (u64, PlacementEnd, u64, Option<LoadReport>);
            let (_, length) = decode_prefix::<Fields>(fields)?;
            let notice = encode_body(&LimitNotice::Unknown).ok()?;
            (length == fields.len()).then(|| [body, &notice].concat())
        }
        PROOF => {
            type Start = (Option<u64>, u64, Position, Option<Name>, u64);
            let ((.., count), length) = decode_prefix::<Start>(fields)?;
            let mut end = 1 + length;
            let mut converted = body[..end].to_vec();
            for _ in 0..count {
                let (_, length) = decode_prefix::<(Position, u64)>(&body[end..])?;
                converted.extend_from_slice(&body[end..end + length]);
                end += length;
                end += append_converted_change(&body[end..], Format::First, &mut converted)?;
            }
            (end == body.len()).then_some(converted)
        }
        REPORT => {
            let (_, length) = decode_prefix::<ReportStart>(fields)?;
            let (start, end) = body.split_at(1 + length);
            let limits = encode_body(&Vec::<LimitReport>::new()).ok()?;
            Some([start, &limits, end].concat())
        }
        _ => None,
    }
}

fn encode_first(message: &PeerMessage) -> Result<Vec<u8>, FrameError> {
    match message {
        PeerMessage::Call {
            id,
            request: Request::Propose(change),
        } => {
            let start = encode_parts(CALL, &(id, PROPOSE))?;
            let change = encode_change(change, Format::First).ok_or(FrameError::Malformed)?;
            Ok([start, change].concat())
        }
        PeerMessage::Finished { report, .. } => {
            let mut body = encode_body(message)?;
            body.truncate(body.len() - encode_body(&report.limit)?.len());
            Ok(body)
        }
        PeerMessage::Proof(proof) => {
            let start = (proof.seq, proof.age_ms, proof.position, &proof.leader);
            let mut body = encode_parts(PROOF, &(start, proof.changes.len()))?;
            for delta in &proof.changes {
                body.extend(encode_first_delta(delta)?);
            }
            Ok(body)
        }
        PeerMessage::Report(report) => {
            let start = (&report.instance, report.version, report.view_ms);
            let servers = (report.leaving, &report.down, &report.back);
            let loads = (&report.services, &report.links);
            encode_parts(REPORT, &(start, servers, loads))
        }
        _ => encode_body(message),
    }
}

fn encode_first_delta(delta: &Delta) -> Result<Vec<u8>, FrameError> {
    let change = Change {
        command: without_limits(&delta.change.command),
        ..delta.change.clone()
    };
    let change = encode_change(&change, Format::First).ok_or(FrameError::Malformed)?;
    let start = encode_body(&(delta.position, delta.version))?;
    Ok([start, change].concat())
}

// Replaces limits, which the first format lacks, by a command that changes nothing but
// the version of the document.
fn without_limits(command: &Command) -> Command {
    match command {
        Command::Batch(commands) => Command::Batch(commands.iter().map(without_limits).collect()),
        Command::SetServerLimits(_) => Command::ClearCrash(Digest([0; 32])),
        command => command.clone(),
    }
}

fn encode_parts<T: Serialize>(index: u8, fields: &T) -> Result<Vec<u8>, FrameError> {
    let mut body = vec![index];
    body.extend(encode_body(fields)?);
    Ok(body)
}
