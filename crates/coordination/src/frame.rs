//! Frames with a length and checksums, which the files of the log consist of.
//!
//! A frame consists of the length of its body, a checksum of the body, a
//! checksum of these two fields and the frame's offset in the file, and the
//! body. The offset keeps bytes of a payload from being mistaken for a frame.

use std::io::{self, Read};

use error_stack::Report;
use pomelovale_state::ErrorKind;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Size of the header before the body, in bytes.
pub(crate) const HEADER_BYTES: usize = 12;

/// Encodes `value` as a frame at `offset` of its file.
pub(crate) fn encode<T: Serialize>(offset: u64, value: &T) -> Result<Vec<u8>, Report<ErrorKind>> {
    let body = bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|error| Report::new(ErrorKind::Internal).attach(error.to_string()))?;
    let length = u32::try_from(body.len()).map_err(|_| Report::new(ErrorKind::TooLarge))?;
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend(length.to_le_bytes());
    frame.extend(crc32fast::hash(&body).to_le_bytes());
    let check = header_checksum(&frame, offset);
    frame.extend(check.to_le_bytes());
    frame.extend(body);
    Ok(frame)
}

/// Why there is no value at an offset of a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// There is no frame with intact checksums.
    Damaged,
    /// The frame is intact, but its body is not a value of the expected type.
    Unknown,
}

/// Decodes the frame at `offset`. Returns its value and the offset of the next
/// frame.
pub(crate) fn decode<T: DeserializeOwned>(
    bytes: &[u8],
    offset: usize,
) -> Result<(T, usize), Fault> {
    let body = body(bytes, offset).ok_or(Fault::Damaged)?;
    let end = offset + HEADER_BYTES + body.len();
    match bincode::serde::decode_from_slice(body, bincode::config::standard()) {
        Ok((value, used)) if used == body.len() => Ok((value, end)),
        _ => Err(Fault::Unknown),
    }
}

/// Returns whether a frame with intact checksums starts in `bytes`, which is the rest of
/// a file from `offset` on.
pub(crate) fn contains_frame(bytes: &[u8], offset: u64) -> bool {
    (0..bytes.len()).any(|at| body_in(bytes, at, offset + at as u64).is_some())
}

/// Returns the body of the intact frame at `offset`.
pub(crate) fn body(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    body_in(bytes, offset, offset as u64)
}

// Returns the body of the intact frame at `at` in `bytes`, which is at `offset` in its file.
fn body_in(bytes: &[u8], at: usize, offset: u64) -> Option<&[u8]> {
    let header = bytes.get(at..at + HEADER_BYTES)?;
    if read_u32(header, 8) != header_checksum(&header[..8], offset) {
        return None;
    }
    let start = at + HEADER_BYTES;
    let body = bytes.get(start..start + read_u32(header, 0) as usize)?;
    (crc32fast::hash(body) == read_u32(header, 4)).then_some(body)
}

/// A frame's value, or why there is none and the bytes from there on to the end of the
/// file if it is damaged.
pub(crate) type ReadFrame<T> = Result<T, (Fault, Vec<u8>)>;

/// Reads a file frame by frame, so that only one of them is in memory.
pub(crate) struct FrameReader<R> {
    source: R,
    offset: u64,
}

impl<R: Read> FrameReader<R> {
    /// Reads from the start of a file.
    pub(crate) fn new(source: R) -> FrameReader<R> {
        FrameReader { source, offset: 0 }
    }

    /// Offset of the next frame.
    pub(crate) fn offset(&self) -> u64 {
        self.offset
    }

    /// Reads the next frame; `None` at the end of the file.
    pub(crate) fn next<T: DeserializeOwned>(&mut self) -> io::Result<Option<ReadFrame<T>>> {
        let mut frame = Vec::new();
        self.read(HEADER_BYTES, &mut frame)?;
        if frame.is_empty() {
            return Ok(None);
        }
        let intact = frame.len() == HEADER_BYTES
            && read_u32(&frame, 8) == header_checksum(&frame[..8], self.offset);
        if intact {
            let length = read_u32(&frame, 0) as usize;
            self.read(length, &mut frame)?;
        }
        let Some(body) = body_in(&frame, 0, self.offset) else {
            self.source.read_to_end(&mut frame)?;
            return Ok(Some(Err((Fault::Damaged, frame))));
        };
        match bincode::serde::decode_from_slice(body, bincode::config::standard()) {
            Ok((value, used)) if used == body.len() => {
                self.offset += frame.len() as u64;
                Ok(Some(Ok(value)))
            }
            _ => Ok(Some(Err((Fault::Unknown, Vec::new())))),
        }
    }

    // Appends up to `bytes` bytes.
    fn read(&mut self, bytes: usize, frame: &mut Vec<u8>) -> io::Result<()> {
        let source = self.source.by_ref();
        source.take(bytes as u64).read_to_end(frame).map(drop)
    }
}

fn read_u32(header: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&header[at..at + 4]);
    u32::from_le_bytes(word)
}

fn header_checksum(header: &[u8], offset: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(&offset.to_le_bytes());
    hasher.finalize()
}
