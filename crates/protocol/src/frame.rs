//! Frames of the peer protocol: length, version byte, bincode body.

use std::fmt;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Version of the peer protocol; a frame of another version is refused.
pub const PROTOCOL_VERSION: u8 = 1;
/// Largest frame, header included.
pub const FRAME_MAX_BYTES: usize = 1024 * 1024;
/// Largest frame before the peer is authenticated, header included.
pub const HANDSHAKE_MAX_BYTES: usize = 1024;
/// Length field and version byte.
pub const FRAME_HEADER_BYTES: usize = 5;

/// Why a frame was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameError {
    /// The body is not a message of the expected type, or has bytes left over.
    Malformed,
    /// The frame exceeds the size limit.
    TooLarge,
    /// The version byte is not [`PROTOCOL_VERSION`].
    Version,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FrameError::Malformed => "malformed frame",
            FrameError::TooLarge => "frame exceeds the size limit",
            FrameError::Version => "frame has an unsupported protocol version",
        })
    }
}

impl std::error::Error for FrameError {}

fn body_config() -> impl bincode::config::Config {
    // The limit also bounds the memory that a forged length in the body can
    // reserve.
    bincode::config::standard().with_limit::<FRAME_MAX_BYTES>()
}

/// Encodes a value without a frame around it.
pub fn encode_body<T: Serialize>(value: &T) -> Result<Vec<u8>, FrameError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|_| FrameError::Malformed)
}

/// Decodes a value of at most [`FRAME_MAX_BYTES`]. Trailing bytes are an error.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    match bincode::serde::decode_from_slice(body, body_config()) {
        Ok((value, used)) if used == body.len() => Ok(value),
        _ => Err(FrameError::Malformed),
    }
}

/// Decodes a value of any size, which an authenticated peer sent in chunks.
pub fn decode_body_unlimited<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    match bincode::serde::decode_from_slice(body, bincode::config::standard()) {
        Ok((value, used)) if used == body.len() => Ok(value),
        _ => Err(FrameError::Malformed),
    }
}

/// Encodes one message as a frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, FrameError> {
    encode_frame(&encode_body(message)?)
}

/// Puts an encoded message into a frame.
pub fn encode_frame(body: &[u8]) -> Result<Bytes, FrameError> {
    let size = body.len() + FRAME_HEADER_BYTES;
    if size > FRAME_MAX_BYTES {
        return Err(FrameError::TooLarge);
    }
    let mut frame = BytesMut::with_capacity(size);
    frame.put_u32(size as u32);
    frame.put_u8(PROTOCOL_VERSION);
    frame.put_slice(body);
    Ok(frame.freeze())
}

/// Splits a byte stream into frames and decodes them.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    limit: usize,
}

impl Decoder {
    /// A decoder that refuses frames of more than `limit` bytes.
    pub fn new(limit: usize) -> Decoder {
        Decoder {
            buffer: BytesMut::new(),
            limit,
        }
    }

    /// Changes the limit, after authentication.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete message; `None` if more bytes are needed.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let body = self.next_body()?;
        body.map(|body| decode_body(&body)).transpose()
    }

    /// The next complete message, encoded; `None` if more bytes are needed.
    pub fn next_body(&mut self) -> Result<Option<Bytes>, FrameError> {
        if self.buffer.len() < FRAME_HEADER_BYTES {
            return Ok(None);
        }
        let size = (&self.buffer[..4]).get_u32() as usize;
        match size {
            _ if self.buffer[4] != PROTOCOL_VERSION => return Err(FrameError::Version),
            _ if size > self.limit => return Err(FrameError::TooLarge),
            _ if size < FRAME_HEADER_BYTES => return Err(FrameError::Malformed),
            _ if self.buffer.len() < size => return Ok(None),
            _ => {}
        }
        let mut frame = self.buffer.split_to(size);
        frame.advance(FRAME_HEADER_BYTES);
        Ok(Some(frame.freeze()))
    }
}
