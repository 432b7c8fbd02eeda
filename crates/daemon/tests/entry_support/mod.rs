//! Stand-in backend servers, callers and control instances for entry tests.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pomelovale_coordination::control::{ControlCall, ControlHandle};
use pomelovale_coordination::view::View;
use pomelovale_protocol::grants::{Grant, GrantReply, GrantRequest, Want, TOKEN};
use pomelovale_protocol::http::KeyText;
use pomelovale_state::command::{Change, Command};
use pomelovale_state::document::{
    Backend, Instance, KeyHolder, MemberState, Region, Route, Service, Workspace,
};
use pomelovale_state::machine::Machine;
use pomelovale_state::{Clock, Millis, Name};
use pomelovaled::entry::config::EntryConfig;
use pomelovaled::entry::{Entry, EntryHandle};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub const KEY: &str = "pk.k1.secret-1";
const CONTROL_QUEUE: usize = 1_024;

/// What a stand-in server does with one request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes these bytes and reads the next request.
    Say(Vec<u8>),
    /// Writes these bytes and closes.
    SayAndClose(Vec<u8>),
    /// Waits, then writes these bytes.
    Late(u64, Vec<u8>),
    /// Keeps the connection open and says nothing.
    Silent,
    /// Closes this connection only.
    Close,
    /// Closes all connections and the listener, like a process that dies.
    Crash,
}

pub fn ok(body: &str) -> Act {
    Act::Say(plain(body))
}

pub fn plain(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub fn raw(text: &str) -> Act {
    Act::Say(text.as_bytes().to_vec())
}

/// A request as it came over the wire.
#[derive(Clone, Debug)]
pub struct Seen {
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
}

type Script = Arc<dyn Fn(&Seen, usize) -> Act + Send + Sync>;

/// A stand-in backend server.
pub struct Server {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub closed: Arc<AtomicUsize>,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Runs `script` for each request; it gets the request and its number.
    pub async fn start(script: impl Fn(&Seen, usize) -> Act + Send + Sync + 'static) -> Server {
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

    /// Requests received so far, other than load reports.
    pub fn requests(&self) -> Vec<Seen> {
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
    log: &Mutex<Vec<Seen>>,
) -> bool {
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer).await {
        let seen = Seen {
            connection,
            head,
            body,
        };
        if seen.head.starts_with("GET /load ") {
            let report = plain("{\"slots\":6,\"busy\":0,\"queued\":0}");
            stream.write_all(&report).await.unwrap();
            continue;
        }
        let number = {
            let mut log = log.lock().unwrap();
            log.push(seen.clone());
            log.len() - 1
        };
        match script(&seen, number) {
            Act::Say(bytes) => drop(stream.write_all(&bytes).await),
            Act::SayAndClose(bytes) => {
                let _ = stream.write_all(&bytes).await;
                return false;
            }
            Act::Late(ms, bytes) => {
                // The end of the connection cuts the wait short.
                let mut byte = [0];
                let wait = tokio::time::sleep(Duration::from_millis(ms));
                tokio::select! {
                    () = wait => drop(stream.write_all(&bytes).await),
                    n = stream.read(&mut byte) => if !matches!(n, Ok(1)) { return false },
                }
            }
            Act::Silent => {
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                return false;
            }
            Act::Close => return false,
            Act::Crash => return true,
        }
    }
    false
}

/// Reads a head and a body of known or chunked length.
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

/// The value of a header in a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    let matches = |line: &&str| {
        line.split_once(':')
            .is_some_and(|(n, _)| n.eq_ignore_ascii_case(name))
    };
    let line = head.lines().find(matches)?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

/// A complete answer, as a caller received it.
#[derive(Clone, Debug)]
pub struct Got {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Got {
    pub fn outcome(&self) -> Option<String> {
        header(&self.head, "pomelovale-outcome")
    }
}

/// A caller's connection.
pub struct Caller {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Caller {
        Caller {
            stream: TcpStream::connect(address).await.unwrap(),
            buffer: Vec::new(),
        }
    }

    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// The next complete answer; `None` if the connection ends before.
    pub async fn read(&mut self) -> Option<Got> {
        let (head, body) = read_message(&mut self.stream, &mut self.buffer).await?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        match status {
            100..200 => Box::pin(self.read()).await,
            _ => Some(Got {
                status,
                head,
                body: String::from_utf8_lossy(&body).into_owned(),
            }),
        }
    }

    pub async fn ask(&mut self, text: &str) -> Option<Got> {
        self.write(text).await;
        self.read().await
    }
}

/// The text of a request with the test key.
pub fn keyed(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("content-length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n{headers}{length}\r\n{body}"
    )
}

/// A control instance that applies changes at once, and the entries it serves.
pub struct Control {
    machine: Arc<Mutex<Machine>>,
    views: Arc<Mutex<Vec<Arc<View>>>>,
    pub handle: ControlHandle,
    pub clock: Clock,
    pub proposed: Arc<Mutex<Vec<Command>>>,
}

impl Control {
    pub fn start() -> Control {
        let (handle, calls) = ControlHandle::new(CONTROL_QUEUE);
        let machine = Arc::new(Mutex::new(Machine::default()));
        let views: Arc<Mutex<Vec<Arc<View>>>> = Arc::default();
        let proposed: Arc<Mutex<Vec<Command>>> = Arc::default();
        let (applying, published, log) = (machine.clone(), views.clone(), proposed.clone());
        tokio::spawn(async move {
            while let Ok(call) = calls.recv_async().await {
                match call {
                    ControlCall::Propose(change, reply) => {
                        log.lock().unwrap().push(change.command.clone());
                        let applied = applying.lock().unwrap().apply(&change);
                        publish(&applying, &published);
                        let _ = reply.send(Ok(applied));
                    }
                    ControlCall::Grant(request, reply) => {
                        let _ = reply.send(Ok(grant_all(request)));
                    }
                    ControlCall::Report(_) => {}
                }
            }
        });
        Control {
            machine,
            views,
            handle,
            clock: Clock::manual(),
            proposed,
        }
    }

    /// Proves all views as of now, each time it is called.
    pub fn prover(&self) -> impl Fn() + Send + 'static {
        let (views, clock) = (self.views.clone(), self.clock.clone());
        move || {
            for view in views.lock().unwrap().iter() {
                view.prove(clock.now());
            }
        }
    }

    /// Applies a command and distributes it to all entries.
    pub fn apply(&self, command: Command) {
        let change = Change {
            request: Name::from(format!("{command:?}")),
            sender: Name::from("test"),
            base: None,
            at: Millis(1),
            command,
        };
        let applied = self.machine.lock().unwrap().apply(&change);
        assert!(!format!("{applied:?}").contains("Refused"), "{applied:?}");
        publish(&self.machine, &self.views);
    }

    /// Starts an entry instance that sees the same document.
    pub async fn entry(&self, edit: impl FnOnce(&mut EntryConfig)) -> EntryHandle {
        let view = Arc::new(View::default());
        view.prove(self.clock.now());
        let count = {
            let mut views = self.views.lock().unwrap();
            views.push(view.clone());
            views.len()
        };
        publish(&self.machine, &self.views);
        let mut config = EntryConfig {
            instance: Name::from(format!("e{count}")),
            region: Name::from("north"),
            domain: Name::from("north-a"),
            poll_ms: 0,
            list_ms: 20,
            spread_ms: 20,
            ..EntryConfig::default()
        };
        edit(&mut config);
        Entry::start(config, view, self.handle.clone(), self.clock.clone())
            .await
            .unwrap()
    }

    /// Lets the manual clock follow real time.
    pub fn run_clock(&self) {
        let clock = self.clock.clone();
        tokio::spawn(async move {
            let mut last = tokio::time::Instant::now();
            loop {
                tokio::time::sleep(Duration::from_millis(2)).await;
                let passed = last.elapsed().as_millis() as u64;
                last += Duration::from_millis(passed);
                clock.advance(passed);
            }
        });
    }

    pub fn add_server(&self, name: &str, address: SocketAddr) {
        self.apply(Command::PutBackend {
            name: Name::from(name),
            backend: Backend {
                address,
                service: Name::from("catalogue"),
                region: Name::from("north"),
                domain: Name::from("north-a"),
                slots: 6,
                connections: 330,
                state: MemberState::Serving,
            },
        });
    }

    pub fn add_instance(&self, name: &str, domain: &str, port: u16) {
        self.apply(Command::PutInstance {
            name: Name::from(name),
            instance: Instance {
                callers: Some(SocketAddr::from(([127, 0, 0, 1], port))),
                peers: None,
                region: Name::from(domain.split('-').next().unwrap()),
                domain: Name::from(domain),
                state: MemberState::Serving,
            },
        });
    }
}

/// A ledger without limits.
fn grant_all(request: GrantRequest) -> GrantReply {
    let rate = 1_000 * TOKEN;
    let grant = |want: &Want| Grant {
        workspace: want.workspace.clone(),
        rate,
        cap: 1_000 * rate,
        tokens: 1_000 * rate,
        retry_ms: 0,
        short: false,
    };
    GrantReply {
        instance: request.instance.clone(),
        seq: request.seq,
        epoch: 1,
        life_ms: 1_000_000,
        grants: request.wants.iter().map(grant).collect(),
    }
}

fn publish(machine: &Mutex<Machine>, views: &Mutex<Vec<Arc<View>>>) {
    let document = machine.lock().unwrap().document.clone();
    for view in views.lock().unwrap().iter() {
        view.publish(document.clone());
    }
}

/// Two regions, a service with an open route, two workspaces with a key each,
/// and the given backend servers, named `b0`, `b1` and so on.
pub fn setup(servers: &[&Server]) -> Control {
    let control = Control::start();
    for region in ["north", "south"] {
        let domains = vec![
            Name::from(format!("{region}-a")),
            Name::from(format!("{region}-b")),
        ];
        control.apply(Command::PutRegion {
            name: Name::from(region),
            region: Region { domains },
        });
    }
    let route = |prefix: &str, open| Route {
        prefix: prefix.to_owned(),
        open,
        idempotent: None,
        deferrable: false,
    };
    control.apply(Command::PutService {
        name: Name::from("catalogue"),
        service: Service {
            routes: vec![route("/public", true), route("/public/private", false)],
            timeout_ms: 2_000,
            bytes: 1_024,
        },
    });
    for n in 1..=2 {
        let workspace = Name::from(format!("w{n}"));
        control.apply(Command::PutWorkspace {
            name: workspace.clone(),
            workspace: Workspace {
                rate: 1_000,
                burst: 1_000,
                weight: 1,
            },
        });
        let text = format!("pk.k{n}.secret-{n}");
        control.apply(Command::PutKey {
            id: Name::from(format!("k{n}")),
            holder: KeyHolder::Workspace(workspace),
            digest: KeyText::parse(&text).unwrap().digest(),
        });
    }
    for (n, server) in servers.iter().enumerate() {
        control.add_server(&format!("b{n}"), server.address);
    }
    control
}

/// Waits until a condition holds; the test harness bounds the wait.
pub async fn until(mut done: impl FnMut() -> bool) {
    while !done() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
