//! Minimal HTTP/1.1 on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    /// Fields with lower-case names.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        let value = self.field("connection").unwrap_or("");
        value.to_ascii_lowercase().contains("close")
    }
}

/// Reads the messages of a connection.
pub struct Reader {
    stream: TcpStream,
    held: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            held: Vec::new(),
        }
    }

    /// Whether a part of a message was read.
    pub fn has_begun(&self) -> bool {
        !self.held.is_empty()
    }

    /// The next message; `None` at the end of the connection.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.take() {
                return Ok(Some(message));
            }
            let mut buffer = [0; 16 * 1024];
            match self.stream.read(&mut buffer)? {
                0 if self.held.is_empty() => return Ok(None),
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => self.held.extend_from_slice(&buffer[..n]),
            }
        }
    }

    fn take(&mut self) -> Option<Message> {
        let end = self.held.windows(4).position(|w| w == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.held[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let fields: Vec<(String, String)> = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
            .collect();
        let chunked = fields
            .iter()
            .any(|(n, v)| n == "transfer-encoding" && v.contains("chunked"));
        let start = end + 4;
        let (body, used) = match chunked {
            true => chunks(&self.held[start..])?,
            false => {
                let length = fields.iter().find(|(n, _)| n == "content-length");
                let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
                let body = self.held.get(start..start + length)?;
                (body.to_vec(), length)
            }
        };
        self.held.drain(..start + used);
        Some(Message {
            first,
            fields,
            body,
        })
    }
}

// Decodes a chunked body, if it is whole. Returns it with the number of its encoded bytes.
fn chunks(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let line = bytes[at..].windows(2).position(|w| w == b"\r\n")?;
        let text = std::str::from_utf8(&bytes[at..at + line]).ok()?;
        let size = usize::from_str_radix(text.split(';').next()?.trim(), 16).ok()?;
        at += line + 2;
        body.extend_from_slice(bytes.get(at..at + size)?);
        bytes.get(at + size..at + size + 2)?;
        at += size + 2;
        if size == 0 {
            return Some((body, at));
        }
    }
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum CallEnd {
    Answer(Message),
    /// No connection within the time limit, or it was refused.
    Unreachable(String),
    /// The connection ended, or there was no answer within the time limit.
    Silent(String),
}

impl CallEnd {
    pub fn status(&self) -> u16 {
        match self {
            CallEnd::Answer(message) => message.status(),
            _ => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            CallEnd::Answer(message) => message.status().to_string(),
            CallEnd::Unreachable(cause) => format!("unreachable ({cause})"),
            CallEnd::Silent(cause) => format!("no answer ({cause})"),
        }
    }
}

/// Sends a request on a new connection and waits up to `limit` for the answer. The connection
/// is closed afterwards.
pub fn call(address: &str, request: &[u8], limit: Duration) -> CallEnd {
    let start = Instant::now();
    let address: SocketAddr = match address.parse() {
        Ok(address) => address,
        Err(_) => return CallEnd::Unreachable("bad address".to_owned()),
    };
    let stream = match TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1))) {
        Ok(stream) => stream,
        Err(e) => return CallEnd::Unreachable(e.to_string()),
    };
    let _ = stream.set_nodelay(true);
    let left = limit
        .saturating_sub(start.elapsed())
        .max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let _ = stream.set_write_timeout(Some(left));
    if let Err(e) = (&stream).write_all(request) {
        return CallEnd::Silent(e.to_string());
    }
    let mut reader = Reader::new(stream);
    match reader.next() {
        Ok(Some(message)) => CallEnd::Answer(message),
        Ok(None) => CallEnd::Silent("closed".to_owned()),
        Err(e) => CallEnd::Silent(e.kind().to_string()),
    }
}
