//! Checks the framing of HTTP/1 messages in the bytes of a connection.
//!
//! hyper removes `Content-Length` from a message that is also chunked, so that the
//! conflict can't be detected in the parsed headers.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

// Maximum length of a line that is buffered. hyper refuses heads of this size.
const LINE_MAX_BYTES: usize = 64 * 1024;
// Maximum number of interim responses before a response.
const INTERIM_MAX: usize = 16;
// Maximum number of bytes read from a connection at a time.
pub(crate) const READ_BYTES: usize = 4 * 1024;

/// For each message in order of arrival, whether its length is unambiguous.
#[derive(Clone, Debug, Default)]
pub struct Verdicts(Arc<Mutex<VecDeque<bool>>>);

impl Verdicts {
    /// Removes and returns the verdict on the next message. A missing verdict counts
    /// as ambiguous.
    pub fn next(&self) -> bool {
        let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        queue.pop_front().unwrap_or(false)
    }

    fn clear(&self) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    fn push(&self, clear: bool) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back(clear);
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Body(u64),
    Invalid,
    ChunkData(u64),
    ChunkEnd,
    ChunkSize,
    Head,
    Trailer,
}

/// Which messages this process receives on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// Responses; only the head after each [`Framing::restart`] is parsed.
    Responses,
    /// Requests; heads and bodies are parsed.
    Requests,
}

/// Incremental parser of message framing.
#[derive(Debug)]
pub struct Framing {
    direction: Direction,
    interim: bool,
    // Interim responses since the last restart.
    interim_count: usize,
    state: State,
    line: Vec<u8>,
    lines: usize,
    lengths: usize,
    encodings: usize,
    length: Option<u64>,
    // Whether the last message has a body.
    has_body: bool,
    // Whether the last step completed a message.
    ended: bool,
    verdicts: Verdicts,
}

impl Framing {
    /// Creates a parser for the start of a connection.
    pub fn new(direction: Direction, verdicts: Verdicts) -> Framing {
        Framing {
            direction,
            interim: false,
            interim_count: 0,
            state: State::Head,
            line: Vec::new(),
            lines: 0,
            lengths: 0,
            encodings: 0,
            length: Some(0),
            has_body: false,
            ended: false,
            verdicts,
        }
    }

    /// Prepares for the head of the next response.
    pub fn restart(&mut self) {
        self.line.clear();
        self.interim_count = 0;
        self.begin_head();
    }

    /// Prepares for the first byte of a message, without verdicts on earlier ones.
    pub(crate) fn reset(&mut self) {
        self.restart();
        self.verdicts.clear();
    }

    /// Whether the last message whose head was completely received has a body.
    pub(crate) fn has_body(&self) -> bool {
        self.has_body
    }

    /// Whether there were more interim responses than a server has a reason to send.
    pub fn has_excess_interim(&self) -> bool {
        self.interim_count > INTERIM_MAX
    }

    fn begin_head(&mut self) {
        (self.lines, self.lengths, self.encodings) = (0, 0, 0);
        (self.state, self.length) = (State::Head, Some(0));
    }

    /// Whether a head is partially received.
    pub fn in_head(&self) -> bool {
        self.state == State::Head && (self.lines > 0 || !self.line.is_empty())
    }

    /// Whether the body of a message is partially received.
    pub(crate) fn in_body(&self) -> bool {
        !matches!(self.state, State::Head | State::Invalid)
    }

    /// Parses the next bytes of the connection.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while let Some(n) = self.feed_message(bytes) {
            bytes = &bytes[n..];
        }
    }

    /// Parses the next bytes up to the end of a message. Returns the number of bytes
    /// consumed if the message ends within them.
    pub fn feed_message(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match self.state {
                State::Invalid => return None,
                State::Body(left) => self.skip_body(rest, left, State::Body, State::Head),
                State::ChunkData(left) => {
                    self.skip_body(rest, left, State::ChunkData, State::ChunkEnd)
                }
                _ => self.take_line(rest),
            };
            if std::mem::take(&mut self.ended) {
                return Some(bytes.len() - rest.len());
            }
        }
        None
    }

    fn skip_body<'a>(
        &mut self,
        bytes: &'a [u8],
        left: u64,
        more: fn(u64) -> State,
        end: State,
    ) -> &'a [u8] {
        let n = left.min(bytes.len() as u64);
        self.state = match left - n {
            0 => end,
            rest => more(rest),
        };
        self.ended = self.state == State::Head;
        &bytes[n as usize..]
    }

    fn take_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|c| *c == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        match (end, self.line.len() + part.len() > LINE_MAX_BYTES) {
            (_, true) => self.state = State::Invalid,
            (None, false) => self.line.extend_from_slice(part),
            (Some(_), false) if self.line.is_empty() => self.read_line(part),
            (Some(_), false) => {
                let mut line = std::mem::take(&mut self.line);
                line.extend_from_slice(part);
                self.read_line(&line);
                line.clear();
                self.line = line;
            }
        }
        &bytes[end.map_or(bytes.len(), |n| n + 1)..]
    }

    fn read_line(&mut self, line: &[u8]) {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        match self.state {
            State::Head if line.is_empty() && self.lines == 0 => {}
            State::Head if line.is_empty() => self.end_head(),
            State::Head => self.read_header(line),
            State::ChunkSize => self.state = parse_chunk_size(line),
            State::ChunkEnd if line.is_empty() => self.state = State::ChunkSize,
            State::Trailer if line.is_empty() => {
                self.state = State::Head;
                self.ended = true;
            }
            State::Trailer => {}
            _ => self.state = State::Invalid,
        }
    }

    fn read_header(&mut self, line: &[u8]) {
        self.lines += 1;
        if self.lines == 1 {
            let status = line.split(|c| *c == b' ').nth(1).unwrap_or(b"");
            self.interim = status.first() == Some(&b'1') && status != b"101";
        }
        let colon = line.iter().position(|c| *c == b':');
        let (name, value) = match colon {
            Some(at) if self.lines > 1 => (line[..at].trim_ascii(), line[at + 1..].trim_ascii()),
            _ => return,
        };
        if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths += 1;
            self.length = parse_number(value, 10);
        }
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.encodings += 1;
            self.length = self
                .length
                .filter(|_| value.eq_ignore_ascii_case(b"chunked"));
        }
    }

    fn end_head(&mut self) {
        let clear = self.lengths + self.encodings <= 1 && self.length.is_some();
        let next = match (clear, self.encodings, self.length) {
            _ if self.direction == Direction::Responses && self.interim => State::Head,
            _ if self.direction == Direction::Responses => State::Invalid,
            (true, 0, Some(0)) => State::Head,
            (true, 0, Some(n)) => State::Body(n),
            (true, _, _) => State::ChunkSize,
            (false, _, _) => State::Invalid,
        };
        match self.direction == Direction::Responses && self.interim {
            true => self.interim_count += 1,
            false => self.verdicts.push(clear),
        }
        self.begin_head();
        self.state = next;
        self.has_body = next != State::Head;
        self.ended = next == State::Head && self.direction == Direction::Requests;
    }
}

fn parse_number(text: &[u8], radix: u32) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?;
    let digits = !text.is_empty() && text.bytes().all(|c| c.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, radix).ok())?
}

fn parse_chunk_size(line: &[u8]) -> State {
    let size = line.split(|c| *c == b';').next().unwrap_or(line);
    match parse_number(size.trim_ascii(), 16) {
        None => State::Invalid,
        Some(0) => State::Trailer,
        Some(n) => State::ChunkData(n),
    }
}
