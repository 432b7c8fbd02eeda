//! Mock backend servers, and parsing of HTTP messages from the wire.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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
    /// Writes each of these parts after a wait of so many milliseconds.
    WriteParts(Vec<(u64, Vec<u8>)>),
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

/// What the port of a mock server does after the server has crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PortAfterCrash {
    /// Refuses connections for good.
    Refuses,
    /// Accepts connections and closes them, until the server is back after a time.
    Closes(Duration),
    /// Accepts connections and stays silent on all of them, until the server is back after
    /// a time.
    Hangs(Duration),
    /// Closes the connection of the request, and does the same on all others.
    ClosesAndHangs(Duration),
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
    /// The numbers of the connections that were closed.
    pub ended: Arc<Mutex<Vec<usize>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts a server that reacts as `script` says for each request and its number.
    pub async fn start(
        script: impl Fn(&ReceivedRequest, usize) -> ServerAction + Send + Sync + 'static,
    ) -> Server {
        Server::start_behind(PortAfterCrash::Refuses, script).await
    }

    /// Likewise, with a port that may stay open after a crash.
    pub async fn start_behind(
        port: PortAfterCrash,
        script: impl Fn(&ReceivedRequest, usize) -> ServerAction + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let closed = Arc::new(AtomicUsize::new(0));
        let ended = Arc::new(Mutex::new(Vec::new()));
        let closing = ended.clone();
        let hang = Arc::new(AtomicBool::new(false));
        let script: Script = Arc::new(script);
        let (log, ends) = (seen.clone(), closed.clone());
        let task = tokio::spawn(async move {
            let (crash, mut crashed) = tokio::sync::mpsc::channel::<()>(1);
            let mut connections = tokio::task::JoinSet::new();
            for connection in 0.. {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap().0,
                    _ = crashed.recv() => match port {
                        PortAfterCrash::Refuses => return,
                        PortAfterCrash::Closes(time) => {
                            connections.shutdown().await;
                            let closing = async {
                                while let Ok(accepted) = listener.accept().await {
                                    drop(accepted);
                                }
                            };
                            let _ = tokio::time::timeout(time, closing).await;
                            continue;
                        }
                        PortAfterCrash::Hangs(time) | PortAfterCrash::ClosesAndHangs(time) => {
                            let mut held = Vec::new();
                            let holding = async {
                                while let Ok(accepted) = listener.accept().await {
                                    held.push(accepted);
                                }
                            };
                            let _ = tokio::time::timeout(time, holding).await;
                            connections.shutdown().await;
                            hang.store(false, Ordering::SeqCst);
                            continue;
                        }
                    },
                };
                let (script, log, ends) = (script.clone(), log.clone(), ends.clone());
                let closing = closing.clone();
                let crash = Crash {
                    port,
                    signal: crash.clone(),
                    hung: hang.clone(),
                };
                connections.spawn(async move {
                    serve(stream, connection, &script, &log, &crash).await;
                    closing.lock().unwrap().push(connection);
                    ends.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Server {
            address,
            seen,
            closed,
            ended,
            task,
        }
    }

    /// Returns the requests received so far, except for load reports and health probes.
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

/// Crashes a server, as one of its connections sees it.
struct Crash {
    port: PortAfterCrash,
    signal: tokio::sync::mpsc::Sender<()>,
    hung: Arc<AtomicBool>,
}

impl Crash {
    async fn trigger(&self) {
        let (hangs, closes) = match self.port {
            PortAfterCrash::Hangs(_) => (true, false),
            PortAfterCrash::ClosesAndHangs(_) => (true, true),
            PortAfterCrash::Closes(_) | PortAfterCrash::Refuses => (false, true),
        };
        self.hung.store(hangs, Ordering::SeqCst);
        let _ = self.signal.send(()).await;
        if !closes {
            self.wait_if_hung().await;
        }
    }

    /// Never completes if the server hangs: its connections are closed when it is back.
    async fn wait_if_hung(&self) {
        if self.hung.load(Ordering::SeqCst) {
            std::future::pending().await
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    script: &Script,
    log: &Mutex<Vec<ReceivedRequest>>,
    crash: &Crash,
) {
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
        crash.wait_if_hung().await;
        let number = {
            let mut log = log.lock().unwrap();
            if !seen.head.starts_with("GET /health ") {
                log.push(seen.clone());
            }
            log.len().saturating_sub(1)
        };
        match script(&seen, number) {
            ServerAction::Write(bytes) => drop(stream.write_all(&bytes).await),
            ServerAction::WriteAndClose(bytes) => {
                let _ = stream.write_all(&bytes).await;
                return;
            }
            ServerAction::WriteAfter(ms, bytes) => {
                // The wait ends early if the connection is closed.
                let mut byte = [0];
                let wait = tokio::time::sleep(Duration::from_millis(ms));
                tokio::select! {
                    () = wait => {
                        crash.wait_if_hung().await;
                        drop(stream.write_all(&bytes).await);
                    }
                    n = stream.read(&mut byte) => if !matches!(n, Ok(1)) { return },
                }
            }
            ServerAction::WriteParts(parts) => {
                for (ms, bytes) in parts {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    let _ = stream.write_all(&bytes).await;
                }
            }
            ServerAction::Silent => {
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                return;
            }
            ServerAction::Close => return,
            ServerAction::Crash => return crash.trigger().await,
            ServerAction::CrashAfter(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                return crash.trigger().await;
            }
            ServerAction::WriteForever(first, rest) => {
                let mut written = stream.write_all(&first).await;
                while written.is_ok() {
                    written = stream.write_all(&rest).await;
                }
                return;
            }
            ServerAction::WriteAndCrash(bytes) => {
                let _ = stream.write_all(&bytes).await;
                let _ = stream.shutdown().await;
                return crash.trigger().await;
            }
        }
    }
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
