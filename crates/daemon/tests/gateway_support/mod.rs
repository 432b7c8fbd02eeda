//! Gateways with mock control instances, and messages of callers and backend servers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pomelovale_coordination::control::{ControlCall, ControlHandle};
use pomelovale_coordination::view::View;
use pomelovale_protocol::auth::Secret;
use pomelovale_protocol::messages::Admitted;
use pomelovale_state::command::Applied;
use pomelovale_state::digest::Digest;
use pomelovale_state::document::{Backend, Document, Instance, MemberState, Region, Workspace};
use pomelovale_state::routing::{
    CallerLimits, HostRoute, Repeat, RoutedService, RoutedWorkspace, Routing, Target, Window,
};
use pomelovale_state::{Clock, Millis};
use pomelovale_steering::region_assignment::{hash, hash_bytes};
use pomelovaled::gateway::config::{GatewayConfig, Peering};
use pomelovaled::gateway::{Gateway, GatewayHandle};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::entry_support::{ReceivedRequest, Server, ServerAction};

pub mod fleet;

pub const KEY: &str = "xd9dnn2ctnfz";

pub fn route(name: &str, prefix: &str, repeat: Repeat) -> HostRoute {
    HostRoute {
        name: name.into(),
        prefix: prefix.into(),
        repeat,
        timeout_ms: 1_500,
        objective_ms: 400,
        priority: 1,
        open: false,
        sticky: true,
        attempts: 2,
        homes: Vec::new(),
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
    }
}

pub fn document(servers: &[&Server]) -> Document {
    let workspace = RoutedWorkspace {
        priority: None,
        rate: 10,
        burst: 10,
        window: Window {
            ms: 5_000,
            overage: 0,
            slack: 0,
        },
        homes: Vec::new(),
    };
    let service = RoutedService {
        probe: "/health".into(),
        connections: 100,
        cold_ms: 0,
        cold_rate: 0,
    };
    let routes = vec![
        route("safe", "/safe/", Repeat::Idempotent),
        route("once", "/once/", Repeat::Once),
        HostRoute {
            open: true,
            ..route("open", "/open/", Repeat::Idempotent)
        },
    ];
    let mut document = Document {
        version: 1,
        routing: Some(Arc::new(Routing {
            version: 1,
            limits: CallerLimits::default(),
            workspaces: [("w".into(), workspace)].into(),
            keys: [(Digest::of_key(KEY), "w".into())].into(),
            hosts: [("shop.example".into(), routes)].into(),
            services: [("s".into(), service)].into(),
        })),
        ..Document::default()
    };
    let limited = Workspace {
        rate: 10,
        burst: 10,
        weight: 1,
    };
    document.workspaces.insert("w".into(), limited);
    let domains = vec!["north-a".into()];
    document.regions.insert("north".into(), Region { domains });
    for (i, server) in servers.iter().enumerate() {
        let backend = Backend {
            address: server.address,
            service: "s".into(),
            region: "north".into(),
            domain: "north-a".into(),
            slots: 6,
            connections: 100,
            cold_ms: 0,
            state: MemberState::Serving,
        };
        document.backends.insert(format!("b{i}").into(), backend);
    }
    document
}

/// Answers every admission with `verdict`, and sets `down` once a server is
/// reported unreachable.
pub fn control(verdict: Arc<Mutex<Admitted>>, down: Arc<AtomicBool>) -> ControlHandle {
    let (handle, calls) = ControlHandle::new(1_024);
    tokio::spawn(async move {
        while let Ok(call) = calls.recv_async().await {
            match call {
                ControlCall::Admit(_, reply) => {
                    let _ = reply.send(Ok(*verdict.lock().unwrap()));
                }
                ControlCall::Propose(_, reply) => {
                    let _ = reply.send(Ok(Applied::Accepted {
                        version: 1,
                        item: 1,
                    }));
                }
                ControlCall::Report(report) if !report.down.is_empty() => {
                    down.store(true, Ordering::SeqCst);
                }
                ControlCall::Demand(_)
                | ControlCall::Grant(..)
                | ControlCall::Report(_)
                | ControlCall::Tokens(..) => {}
            }
        }
    });
    handle
}

pub struct Site {
    pub gateway: GatewayHandle,
    pub verdict: Arc<Mutex<Admitted>>,
    pub view: Arc<View>,
    pub down: Arc<AtomicBool>,
}

pub async fn site(document: Option<Document>) -> Site {
    let site = start("g", None).await;
    if let Some(document) = document {
        site.show(document);
    }
    site
}

pub async fn start(name: &str, peering: Option<Peering>) -> Site {
    start_with(name, peering, |_| {}).await
}

pub async fn start_with(
    name: &str,
    peering: Option<Peering>,
    edit: impl FnOnce(&mut GatewayConfig),
) -> Site {
    let view = Arc::new(View::default());
    let verdict = Arc::new(Mutex::new(Admitted::Granted));
    let mut config = GatewayConfig {
        instance: name.into(),
        region: "north".into(),
        domain: "north-a".into(),
        peering,
        deregistration_delay_ms: 100,
        grace_ms: 3_000,
        ..GatewayConfig::default()
    };
    edit(&mut config);
    let down = Arc::new(AtomicBool::new(false));
    let control = control(verdict.clone(), down.clone());
    let gateway = Gateway::start(config, view.clone(), control, Clock::monotonic()).await;
    Site {
        gateway: gateway.expect("the gateway starts"),
        verdict,
        view,
        down,
    }
}

impl Site {
    /// Shows a document, which stays proven for the whole test.
    pub fn show(&self, document: Document) {
        self.view.publish(document);
        self.view.prove(Millis(600_000));
    }

    /// Shows a document whose proof grows old.
    pub fn show_once(&self, document: Document) {
        self.view.publish(document);
        self.view.prove(Millis(0));
    }
}

/// Starts connected gateways of one failure domain. The first one is the
/// coordinator of the service `s`.
pub async fn peers(count: usize, document: Document) -> Vec<Site> {
    peers_with(count, document, |_| {}).await
}

/// Likewise, with other settings.
pub async fn peers_with(
    count: usize,
    mut document: Document,
    edit: impl Fn(&mut GatewayConfig),
) -> Vec<Site> {
    let secret: Secret = String::from("a secret of the tests").try_into().unwrap();
    let mut sites = Vec::new();
    for i in 0..count {
        let peering = Peering {
            listen: "127.0.0.1:0".parse().unwrap(),
            secret: secret.clone(),
            unnamed: Arc::default(),
        };
        sites.push((
            format!("g{i}"),
            start_with(&format!("g{i}"), Some(peering), &edit).await,
        ));
    }
    for (name, site) in &sites {
        let instance = Instance {
            callers: Some(site.gateway.address()),
            peers: site.gateway.peers(),
            region: "north".into(),
            domain: "north-a".into(),
            state: MemberState::Serving,
        };
        document.instances.insert(name.as_str().into(), instance);
    }
    let rank = |name: &str| hash(&[hash_bytes(b"s"), hash_bytes(name.as_bytes())]);
    sites.sort_by_key(|(name, _)| std::cmp::Reverse(rank(name)));
    sites
        .iter()
        .for_each(|(_, site)| site.show(document.clone()));
    // The maintenance tasks open the connections between gateways.
    tokio::time::sleep(Duration::from_millis(600)).await;
    sites.into_iter().map(|(_, site)| site).collect()
}

pub async fn send(site: &Site, request: &str) -> String {
    send_to(site.gateway.address(), request).await
}

pub async fn send_to(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut part));
        match read.await {
            Ok(Ok(0)) | Ok(Err(_)) | Err(_) => break,
            Ok(Ok(n)) => answer.extend_from_slice(&part[..n]),
        }
        if String::from_utf8_lossy(&answer).contains("\r\n\r\n")
            && !answer.starts_with(b"HTTP/1.1 1")
        {
            break;
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

pub fn request(method: &str, path: &str, headers: &str) -> String {
    let length = if method == "POST" {
        "content-length: 2\r\n"
    } else {
        ""
    };
    let body = if method == "POST" { "hi" } else { "" };
    format!("{method} {path} HTTP/1.1\r\nhost: shop.example\r\npomelovale-request: q1\r\n{headers}{length}\r\n{body}")
}

pub fn keyed(method: &str, path: &str) -> String {
    request(method, path, &format!("authorization: Bearer {KEY}\r\n"))
}

pub fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0)
}

pub fn header_value(seen: &ReceivedRequest, name: &str) -> Option<String> {
    let mut lines = seen.head.lines().filter_map(|l| l.split_once(": "));
    lines
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.to_owned())
}

pub fn response(status: &str, headers: &str, body: &str) -> ServerAction {
    let length = body.len();
    ServerAction::Write(format!("HTTP/1.1 {status}\r\npomelovale-request: q1\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes())
}

pub fn proven(status: &str, body: &str) -> ServerAction {
    response(status, "pomelovale-proof: p\r\n", body)
}
