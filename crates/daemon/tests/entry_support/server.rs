//! Mock backend servers, and parsing of HTTP messages from the wire.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Reaction of a mock server to a request.
#[derive(Clone, Debug)]
pub enum ServerAction {
    /// Writes these bytes and reads the next request.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Waits this many milliseconds, then writes these bytes.
    WriteAfter(u64, Vec<u8>),
    /// Keeps the connection open without a response.
    Silent,
    /// Closes this connection only.
    Close,
    /// Closes all connections and the listener, like a process that terminates.
    Crash,
    /// Waits this many milliseconds, then does the same.
    CrashAfter(u64),
    /// Writes these bytes, then does the same once they have been sent.
    WriteAndCrash(Vec<u8>),
    /// Writes the first bytes, then the second ones until the connection is closed.
    WriteForever(Vec<u8>, Vec<u8>),
}

pub fn ok(body: &str) -> ServerAction {
    ServerAction::Write(ok_bytes(body))
}

pub fn ok_bytes(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub fn write_text(text: &str) -> ServerAction {
    ServerAction::Write(text.as_bytes().to_vec())
}

/// A request as received over the wire.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
}

type Script = Arc<dyn Fn(&ReceivedRequest, usize) -> ServerAction + Send + Sync>;

/// A mock backend server.
pub struct Server {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<ReceivedRequest>>>,
    pub closed: Arc<AtomicUsize>,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts a server that reacts as `script` says for each request and its number.
    pub async fn start(
        script: impl Fn(&ReceivedRequest, usize) -> ServerAction + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let closed = Arc::new(AtomicUsize::new(0));
        let script: Script = Arc::new(script);
        let (log, ends) = (seen.clone(), closed.clone());
        let task = tokio::spawn(async move {
            let (crash, mut crashed) = tokio::sync::mpsc::channel::<()>(1);
            let mut connections = tokio::task::JoinSet::new();
            for connection in 0.. {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap().0,
                    _ = crashed.recv() => return,
                };
                let (script, log, crash) = (script.clone(), log.clone(), crash.clone());
                let ends = ends.clone();
                connections.spawn(async move {
                    if serve(stream, connection, &script, &log).await {
                        let _ = crash.send(()).await;
                    }
                    ends.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Server {
            address,
            seen,
            closed,
            task,
        }
    }

    /// Returns the requests received so far, except for load reports.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.seen.lock().unwrap().clone()
    }

    pub fn is_down(&self) -> bool {
        self.task.is_finished()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    script: &Script,
    log: &Mutex<Vec<ReceivedRequest>>,
) -> bool {
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer).await {
        let seen = ReceivedRequest {
            connection,
            head,
            body,
        };
        if seen.head.starts_with("GET /load ") {
            let report = ok_bytes("{\"slots\":6,\"busy\":0,\"queued\":0}");
            stream.write_all(&report).await.unwrap();
            continue;
        }
        let number = {
            let mut log = log.lock().unwrap();
            log.push(seen.clone());
            log.len() - 1
        };
        match script(&seen, number) {
            ServerAction::Write(bytes) => drop(stream.write_all(&bytes).await),
            ServerAction::WriteAndClose(bytes) => {
                let _ = stream.write_all(&bytes).await;
                return false;
            }
            ServerAction::WriteAfter(ms, bytes) => {
                // The wait ends early if the connection is closed.
                let mut byte = [0];
                let wait = tokio::time::sleep(Duration::from_millis(ms));
                tokio::select! {
                    () = wait => drop(stream.write_all(&bytes).await),
                    n = stream.read(&mut byte) => if !matches!(n, Ok(1)) { return false },
                }
            }
            ServerAction::Silent => {
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                return false;
            }
            ServerAction::Close => return false,
            ServerAction::Crash => return true,
            ServerAction::CrashAfter(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                return true;
            }
            ServerAction::WriteForever(first, rest) => {
                let mut written = stream.write_all(&first).await;
                while written.is_ok() {
                    written = stream.write_all(&rest).await;
                }
                return false;
            }
            ServerAction::WriteAndCrash(bytes) => {
                let _ = stream.write_all(&bytes).await;
                let _ = stream.shutdown().await;
                return true;
            }
        }
    }
    false
}

/// Reads a head and a body with a Content-Length or chunked encoding.
pub async fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<(String, Vec<u8>)> {
    let end = loop {
        match buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            Some(at) => break at + 4,
            None => fill(stream, buffer).await?,
        }
    };
    let head = String::from_utf8(buffer.drain(..end).collect()).unwrap();
    let lower = head.to_ascii_lowercase();
    if lower.contains("transfer-encoding: chunked") {
        let mut body = Vec::new();
        loop {
            let line = take_line(stream, buffer).await?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            while buffer.len() < size + 2 {
                fill(stream, buffer).await?;
            }
            body.extend(buffer.drain(..size));
            buffer.drain(..2);
            if size == 0 {
                return Some((head, body));
            }
        }
    }
    let length = header(&lower, "content-length").map_or(0, |v| v.parse().unwrap());
    while buffer.len() < length {
        fill(stream, buffer).await?;
    }
    Some((head, buffer.drain(..length).collect()))
}

async fn take_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        match buffer.windows(2).position(|w| w == b"\r\n") {
            Some(at) => {
                let line: Vec<u8> = buffer.drain(..at + 2).collect();
                return String::from_utf8(line).ok();
            }
            None => fill(stream, buffer).await?,
        }
    }
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    match stream.read_buf(buffer).await {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(()),
    }
}

/// Returns the value of a header in a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    let matches = |line: &&str| {
        line.split_once(':')
            .is_some_and(|(n, _)| n.eq_ignore_ascii_case(name))
    };
    let line = head.lines().find(matches)?;
    Some(line.split_once(':')?.1.trim().to_owned())
}
