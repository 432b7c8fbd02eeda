//! The gateway role: forwards requests of callers to backend servers as the
//! routing table says.
//!
//! Unlike the entry role, it uses a routing table of hosts and routes that
//! operators replace as a whole, discovered backend servers, and header names
//! that the deployment chooses.

pub mod config;
pub mod directory;

mod attempt;
mod availability;
mod caller_timeouts;
mod connections;
mod coordinator;
mod coordinator_client;
mod departures;
mod exchange;
mod hedge;
mod late_sends;
mod loads;
mod maintenance;
mod probe;
mod quota;
mod region_plan;
mod relaying;
mod request;
mod request_log;
mod scheduling;
mod server_selection;
mod services;
mod stopping;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_protocol::auth::Role;
use pomelovale_state::routing::CallerLimits;
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use pomelovale_steering::load_exchange::SharedLoad;
use pomelovale_steering::placement::{Chosen, PlacementEnd};
use pomelovale_transport::http_server::{Handler, Server};
use pomelovale_transport::pacing::Pacer;
use pomelovale_transport::peer_link::{PeerConfig, PeerCounters, PeerTimings};
use pomelovale_transport::peer_server::PeerServer;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{timeout_at, Instant};

use config::{GatewayConfig, Peering};
use connections::Connections;
use coordinator_client::CoordinatorClient;
use quota::Quota;
use services::{ServerChange, Services};
use stopping::Stopping;

use crate::crash::{CrashTimings, CrashTracker};
use crate::reach::{LinkFault, ProbePath, Reach};
use crate::relay::{RelayConfig, Relays};
use crate::tasks::has_panicked;

/// Capacity of the queue of messages from other gateways. While it is full, no
/// more messages are read.
const EVENT_QUEUE: usize = 1_024;
/// Timeout for a proposal that records a crash, in milliseconds. It is repeated.
const CRASH_CONTROL_MS: u64 = 1_000;
/// Longest wait for a recorded crash before a failed request is answered, in
/// milliseconds.
const CRASH_SPREAD_MS: u64 = 300;
/// Longest wait at a stop for crashes that are not recorded yet, in milliseconds.
const CRASH_FLUSH_MS: u64 = 300;

/// State that all requests of a gateway share.
#[derive(Debug)]
struct Shared {
    config: GatewayConfig,
    view: Arc<View>,
    control: ControlHandle,
    clock: Clock,
    services: Services,
    quota: Quota,
    coordinator_client: CoordinatorClient,
    // Listen address for other gateways, which ask this one to select servers.
    peers: Option<SocketAddr>,
    connections: Connections,
    crashes: Arc<CrashTracker>,
    reach: Arc<Reach>,
    relays: Arc<Relays>,
    // Paces large responses on a narrow link.
    pacer: Option<Arc<Pacer>>,
    // Bound address for callers.
    callers: SocketAddr,
    leaving: AtomicBool,
    // Notified when a request starts to wait for a place.
    waits: Notify,
    stopping: Stopping,
    // Bytes of request bodies that are reserved in memory.
    held: AtomicUsize,
    // Requests in flight, streamed responses in flight, and requests received since the
    // start.
    running: AtomicU64,
    streaming: AtomicU64,
    request_count: AtomicU64,
    // Whether the parts that need the pace of servers are in effect.
    paced: AtomicBool,
}

/// Starts the gateway role.
#[derive(Clone, Copy, Debug)]
pub struct Gateway;

impl Gateway {
    /// Binds the addresses for callers and for other gateways, and starts to
    /// serve.
    pub async fn start(
        config: GatewayConfig,
        view: Arc<View>,
        control: ControlHandle,
        clock: Clock,
    ) -> Result<GatewayHandle, Report<ErrorKind>> {
        let listener = TcpListener::bind(config.listen)
            .await
            .change_context(ErrorKind::BadSettings)
            .attach_with(|| format!("can't listen on {}", config.listen))?;
        let callers = listener
            .local_addr()
            .change_context(ErrorKind::BadSettings)?;
        let start: u64 = rand::random();
        let (events, received) = flume::bounded(EVENT_QUEUE);
        let peering = config.peering.as_ref().map(|p| peer_config(&config, p));
        let peers = match (&config.peering, &peering) {
            (Some(settings), Some(peering)) => {
                let server = PeerServer::start(peering.clone(), settings.listen, events);
                let bound = server.await.change_context(ErrorKind::BadSettings);
                let failed = || format!("can't listen on {}", settings.listen);
                Some(bound.attach_with(failed)?)
            }
            _ => None,
        };
        let connections = Connections::default();
        let reach = Arc::new(Reach::new(view.clone(), ProbePath::Routed));
        let crashes = CrashTracker::new(
            config.instance.clone(),
            view.clone(),
            control.clone(),
            clock.clone(),
            CrashTimings {
                connect_ms: config.connect_ms,
                control_ms: CRASH_CONTROL_MS,
                spread_ms: CRASH_SPREAD_MS,
                trial_ms: config.trial_ms,
            },
            connections.pool.clone(),
            reach.clone(),
        );
        let relays = Relays::new(relay_config(&config));
        let needs_pace = config.needs_pace;
        let pacer = config.narrow_link.map(|rate| Arc::new(Pacer::new(rate)));
        let shared = Arc::new(Shared {
            services: Services::new(&config, start, view.clone()),
            quota: Quota::new(&config, control.clone(), view.clone(), clock.clone()),
            coordinator_client: CoordinatorClient::new(peering, clock.clone()),
            peers: peers.as_ref().map(PeerServer::address),
            config,
            view,
            control,
            clock,
            connections,
            crashes: Arc::new(crashes),
            reach,
            relays: Arc::new(relays),
            pacer,
            callers,
            leaving: AtomicBool::new(false),
            waits: Notify::new(),
            stopping: Stopping::new(),
            held: AtomicUsize::new(0),
            running: AtomicU64::new(0),
            streaming: AtomicU64::new(0),
            request_count: AtomicU64::new(0),
            paced: AtomicBool::new(!needs_pace),
        });
        let handler_shared = shared.clone();
        let handler: Handler = Arc::new(move |request, caller| {
            let shared = handler_shared.clone();
            Box::pin(request::answer(shared, request, caller))
        });
        let limits = shared.config.server.clone();
        let server =
            Server::start(listener, limits, handler).change_context(ErrorKind::BadSettings)?;
        let mut tasks = JoinSet::new();
        let timeouts = server.timeouts();
        timeouts.set(caller_timeouts::of(&CallerLimits::default()));
        tasks.spawn(maintenance::run(shared.clone(), timeouts));
        tasks.spawn(maintenance::register(shared.clone()));
        tasks.spawn(maintenance::follow_reach(shared.clone()));
        tasks.spawn(scheduling::run(shared.clone()));
        tasks.spawn(coordinator::run(shared.clone(), received));
        tasks.spawn(shared.crashes.clone().run());
        tasks.spawn(shared.crashes.clone().watch_runs());
        tasks.spawn(shared.reach.clone().watch_contact());
        let client_shared = shared.clone();
        tasks.spawn(async move {
            let client = &client_shared.coordinator_client;
            let record = |service: &Name, loads: &[SharedLoad]| {
                loads::record(&client_shared, service, loads);
            };
            client.run(record).await;
        });
        Ok(GatewayHandle {
            shared,
            server,
            peers,
            tasks,
        })
    }
}

/// A running gateway.
#[derive(Debug)]
pub struct GatewayHandle {
    shared: Arc<Shared>,
    server: Server,
    peers: Option<PeerServer>,
    tasks: JoinSet<()>,
}

fn relay_config(config: &GatewayConfig) -> RelayConfig {
    RelayConfig {
        instance: config.instance.clone(),
        region: config.region.clone(),
        header_names: config.header_names.clone(),
        connect_ms: config.connect_ms,
        answer_bytes: config.answer_bytes,
        pause_ms: config.pause_ms,
    }
}

fn peer_config(config: &GatewayConfig, peering: &Peering) -> PeerConfig {
    PeerConfig {
        name: config.instance.clone(),
        role: Role::Entry,
        secret: peering.secret.clone(),
        timings: PeerTimings::default(),
        delay_ms: 0,
        counters: Arc::new(PeerCounters::default()),
        unnamed: peering.unnamed.clone(),
    }
}

// Logs that the end of a request of the instance `source` has changed the state of a server,
// and reports it to the leader without waiting for the next periodic report. That a server is
// out of reach is reported once it is known not to be this instance's own fault.
fn report_changed_server(
    shared: &Arc<Shared>,
    source: &Name,
    service: &Name,
    chosen: &Chosen,
    ended: PlacementEnd,
    changed: ServerChange,
) {
    if changed.suspended {
        tracing::info!(event = "unreachable", service = %service, server = %chosen.server,
            cause = ?ended, %source);
    }
    report_changed_limit(shared, service, changed.limit);
    if changed.suspended {
        let (shared, since) = (shared.clone(), Instant::now());
        let fault = attempt::link_fault(ended).unwrap_or(LinkFault::Closed);
        tokio::spawn(async move {
            if shared.reach.confirm(fault, since).await {
                maintenance::report(&shared);
            }
        });
    }
}

// Likewise if the limit of a server has started or ended.
fn report_changed_limit(shared: &Shared, service: &Name, changed: Option<(Name, Option<u64>)>) {
    let Some((server, limit)) = changed else {
        return;
    };
    metrics::counter!("server_limit_changes_total").increment(1);
    tracing::info!(event = "server-limit", %service, %server, per_1000_s = limit, source = "answer");
    maintenance::report(shared);
}

/// The readiness check of a gateway.
#[derive(Clone, Debug)]
pub struct Readiness {
    shared: Arc<Shared>,
}

impl Readiness {
    /// Returns whether the gateway has a routing table and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.shared.leaving.load(Ordering::Relaxed) && self.shared.has_routing()
    }
}

impl Shared {
    /// Returns whether a document with a routing table has arrived, and a proof of
    /// a control instance that it was current.
    fn has_routing(&self) -> bool {
        self.view.is_proven() && self.view.document().routing.is_some()
    }

    // Whether the parts are in effect that may need the pace of servers.
    fn is_paced(&self) -> bool {
        self.paced.load(Ordering::Relaxed)
    }

    fn log_stop(&self, finished: bool) {
        let (refused, unknown) = self.stopping.counts();
        let unfinished = self.running.load(Ordering::Relaxed);
        let streams = self.streaming.load(Ordering::Relaxed);
        match finished {
            true => tracing::info!(
                event = "stop",
                refused,
                unknown,
                "all connections are closed"
            ),
            false => tracing::warn!(
                event = "stop",
                refused,
                unknown,
                unfinished,
                streams,
                "grace period is over; aborting requests in flight"
            ),
        }
    }
}

impl GatewayHandle {
    /// The bound address for callers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The bound address for other gateways.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.shared.peers
    }

    /// The readiness check of this gateway.
    pub fn readiness(&self) -> Readiness {
        Readiness {
            shared: self.shared.clone(),
        }
    }

    /// Returns the part of the gateway that has ended although it isn't stopping, if any.
    /// Callers would be served wrongly or not at all without it.
    pub fn ended_part(&mut self) -> Option<&'static str> {
        let peers = self.peers.as_ref();
        match () {
            () if has_panicked(&mut self.tasks) => Some("a task of the gateway"),
            () if !self.server.is_running() => Some("the listener for callers"),
            () if peers.is_some_and(|p| !p.is_running()) => Some("the listener for gateways"),
            () => None,
        }
    }

    /// Stops the gateway: removes it from the entry list, serves on until
    /// callers have refreshed their copies of the list, then finishes the
    /// requests in flight. From the middle of the grace period on, new requests
    /// whose deadline is after its end are refused. Towards its end, those that no
    /// server was sent are refused; those that a server still runs at its end are
    /// answered as unknown.
    pub async fn stop(mut self) {
        let config = &self.shared.config;
        let (start, grace) = (Instant::now(), Millis(config.grace_ms).duration());
        self.shared.stopping.begin(start, grace);
        let stopping = self.shared.clone();
        self.tasks
            .spawn(async move { stopping.stopping.run().await });
        self.shared.leaving.store(true, Ordering::Relaxed);
        tracing::info!(event = "leave", instance = %config.instance);
        maintenance::report(&self.shared);
        tokio::time::sleep(Millis(config.deregistration_delay_ms).duration()).await;
        let end = start + grace;
        let finished = timeout_at(end, self.server.stop()).await.is_ok();
        self.shared.log_stop(finished);
        let left = end.saturating_duration_since(Instant::now());
        let limit = left.min(Millis(CRASH_FLUSH_MS).duration());
        self.shared.crashes.flush(limit).await;
        self.tasks.shutdown().await;
        drop(self.peers);
    }
}
