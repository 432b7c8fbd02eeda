//! Mock backend servers, callers and control instances for entry tests.
#![allow(dead_code)]

mod server;
pub mod way;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pomelovale_coordination::control::{ControlCall, ControlHandle};
use pomelovale_coordination::view::View;
use pomelovale_protocol::grants::{Grant, GrantReply, GrantRequest, WorkspaceDemand, TOKEN};
use pomelovale_protocol::http::KeyText;
use pomelovale_state::command::{Change, Command};
use pomelovale_state::document::{
    Backend, Instance, KeyHolder, MemberState, Region, Route, Service, Workspace,
};
use pomelovale_state::machine::StateMachine;
use pomelovale_state::{Clock, Millis, Name};
use pomelovaled::entry::config::EntryConfig;
use pomelovaled::entry::{Entry, EntryHandle};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

pub use server::*;
use way::Addresses;

pub const KEY: &str = "pk.k1.secret-1";
const CONTROL_QUEUE: usize = 1_024;

/// A complete response, as a caller received it.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl ReceivedResponse {
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

    /// Reads the next complete final response; `None` if the connection ends first.
    pub async fn read(&mut self) -> Option<ReceivedResponse> {
        let (head, body) = read_message(&mut self.stream, &mut self.buffer).await?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        match status {
            100..200 => Box::pin(self.read()).await,
            _ => Some(ReceivedResponse {
                status,
                head,
                body: String::from_utf8_lossy(&body).into_owned(),
            }),
        }
    }

    pub async fn round_trip(&mut self, text: &str) -> Option<ReceivedResponse> {
        self.write(text).await;
        self.read().await
    }
}

/// Returns the text of a request with the test key.
pub fn keyed(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("content-length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n{headers}{length}\r\n{body}"
    )
}

/// The view of each entry, and where it finds the servers.
type Views = Arc<Mutex<Vec<(Arc<View>, Addresses)>>>;

/// A mock control instance that applies changes at once, and its entries' views.
pub struct Control {
    machine: Arc<Mutex<StateMachine>>,
    views: Views,
    pub handle: ControlHandle,
    pub clock: Clock,
    pub proposed: Arc<Mutex<Vec<Command>>>,
    /// Whether requests for tokens get no reply.
    pub ignore_grants: Arc<AtomicBool>,
    /// Whether proposals get no reply.
    pub ignore_changes: Arc<AtomicBool>,
}

impl Control {
    pub fn start() -> Control {
        let (handle, calls) = ControlHandle::new(CONTROL_QUEUE);
        let machine = Arc::new(Mutex::new(StateMachine::default()));
        let views = Views::default();
        let proposed: Arc<Mutex<Vec<Command>>> = Arc::default();
        let ignore_grants: Arc<AtomicBool> = Arc::default();
        let ignoring = ignore_grants.clone();
        let ignore_changes: Arc<AtomicBool> = Arc::default();
        let silent = ignore_changes.clone();
        let (applying, published, log) = (machine.clone(), views.clone(), proposed.clone());
        tokio::spawn(async move {
            while let Ok(call) = calls.recv_async().await {
                match call {
                    ControlCall::Propose(..) if silent.load(Ordering::SeqCst) => {}
                    ControlCall::Propose(change, reply) => {
                        log.lock().unwrap().push(change.command.clone());
                        let applied = applying.lock().unwrap().apply(&change);
                        publish(&applying, &published);
                        let _ = reply.send(Ok(applied));
                    }
                    ControlCall::Grant(..) if ignoring.load(Ordering::SeqCst) => {}
                    ControlCall::Grant(request, reply) => {
                        let _ = reply.send(Ok(grant_all(request)));
                    }
                    ControlCall::Admit(..)
                    | ControlCall::Demand(_)
                    | ControlCall::Report(_)
                    | ControlCall::Tokens(..) => {}
                }
            }
        });
        Control {
            machine,
            views,
            handle,
            clock: Clock::manual(),
            proposed,
            ignore_grants,
            ignore_changes,
        }
    }

    /// Returns a function that marks all views as up to date.
    pub fn prover(&self) -> impl Fn() + Send + 'static {
        let (views, clock) = (self.views.clone(), self.clock.clone());
        move || {
            for (view, _) in views.lock().unwrap().iter() {
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

    /// Starts an entry instance with a view of the control instance's document.
    pub async fn entry(&self, edit: impl FnOnce(&mut EntryConfig)) -> EntryHandle {
        self.entry_behind(Addresses::new(), edit).await
    }

    /// Likewise; the entry finds the servers at other addresses.
    pub async fn entry_behind(
        &self,
        addresses: Addresses,
        edit: impl FnOnce(&mut EntryConfig),
    ) -> EntryHandle {
        let view = Arc::new(View::default());
        view.prove(self.clock.now());
        let count = {
            let mut views = self.views.lock().unwrap();
            views.push((view.clone(), addresses));
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

    /// Advances the manual clock with real time.
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
                cold_ms: 0,
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

/// Grants practically unlimited tokens for each request.
fn grant_all(request: GrantRequest) -> GrantReply {
    let rate = 1_000 * TOKEN;
    let grant = |want: &WorkspaceDemand| Grant {
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

fn publish(machine: &Mutex<StateMachine>, views: &Views) {
    let document = machine.lock().unwrap().document.clone();
    for (view, addresses) in views.lock().unwrap().iter() {
        view.publish(way::rewrite(document.clone(), addresses));
    }
}

/// Sets up two regions, a service with an open route, two workspaces with a key
/// each, and the given backend servers, named `b0`, `b1` and so on.
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

/// Polls until a condition holds; the test harness limits the wait.
pub async fn until(mut done: impl FnMut() -> bool) {
    while !done() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
