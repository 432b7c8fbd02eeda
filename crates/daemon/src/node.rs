//! One process: starts the roles named in its settings, and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use metrics_exporter_prometheus::PrometheusHandle;
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_protocol::auth::Secret;
use pomelovale_protocol::messages::ClusterStatus;
use pomelovale_state::command::Command;
use pomelovale_state::{Clock, ErrorKind};
use pomelovale_transport::peer_client::PeerAddress;
use rustix::process::{getrlimit, Resource};
use serde_json::{json, Value};
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::control::config::{ControlConfig, Joining};
use crate::control::{Control, ControlServer};
use crate::entry::{Entry, EntryHandle};
use crate::operators::{OperatorServer, OperatorServerConfig, OperatorServerSources, StatusSource};
use crate::settings::{Role, Settings};
use crate::subscriber::{ControlEndpoint, Subscriber, SubscriberConfig};
use crate::tasks::until_ended;

/// Part of the process's descriptors that connections of callers may use: one in so many.
/// The others are for connections to backend servers and to other instances.
const CALLERS_ONE_IN: u64 = 2;
/// Timeout for the leader's answer to a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// A running process.
pub struct Node {
    control: Option<Arc<ControlServer>>,
    entry: Option<EntryHandle>,
    handle: ControlHandle,
    operators: OperatorServer,
    view: Arc<View>,
}

impl Node {
    /// Starts the control and entry roles that the settings name.
    pub async fn start(
        settings: &Settings,
        clock: Clock,
        metrics: PrometheusHandle,
    ) -> Result<Node, Report<ErrorKind>> {
        let secret = read_secret(settings)?;
        let control = match settings.has_role(Role::Control) {
            true => Some(start_control(settings, secret.clone(), clock.clone()).await?),
            false => None,
        };
        let (handle, view) = match &control {
            Some(control) => (control.handle(), control.view()),
            None => subscribe(settings, secret, clock.clone()),
        };
        let entry = match settings.has_role(Role::Entry) {
            true => Some(start_entry(settings, &view, &handle, &clock).await?),
            false => None,
        };
        let (status, moves) = status_sources(settings, &control);
        let sources = OperatorServerSources {
            handle: handle.clone(),
            view: Arc::clone(&view),
            clock,
            status,
            moves,
            metrics: Arc::new(move || metrics.render()),
        };
        let config = OperatorServerConfig {
            listen: settings.operators,
            bootstrap: None,
        };
        let operators = OperatorServer::start(config, sources).map_err(|e| {
            Report::new(ErrorKind::BadSettings)
                .attach(format!("can't start the listener for operators: {e}"))
        })?;
        Ok(Node {
            control,
            entry,
            handle,
            operators,
            view,
        })
    }

    /// Bound address for callers; `None` without the entry role.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.entry.as_ref().map(EntryHandle::address)
    }

    /// Bound address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The control instance of this process; `None` without the control role.
    pub fn control(&self) -> Option<&ControlServer> {
        self.control.as_deref()
    }

    /// Handle for calls to the control instances.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// The view of the shared document.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Waits until a part of the process has ended by itself, and returns the error; see
    /// [`ControlServer::failed`]. The process has to end.
    pub async fn failed(&mut self) -> Report<ErrorKind> {
        let Node {
            control,
            entry,
            handle,
            ..
        } = self;
        let check = || match entry.as_mut().and_then(EntryHandle::ended_part) {
            None if !handle.is_open() => Some("the connection to the control instances"),
            ended => ended,
        };
        let control_failed = async {
            match control {
                Some(control) => control.failed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            fault = control_failed => fault,
            part = until_ended(check) => {
                Report::new(ErrorKind::Internal).attach(format!("{part} has ended"))
            }
        }
    }

    /// Stops gracefully. The entry role stops first, since its requests in flight
    /// need the control role until they are finished.
    pub async fn stop(self) {
        if let Some(entry) = self.entry {
            entry.stop().await;
        }
        drop(self.operators);
        if let Some(control) = self.control.and_then(Arc::into_inner) {
            control.stop().await;
        }
    }
}

fn read_secret(settings: &Settings) -> Result<Secret, Report<ErrorKind>> {
    let path = settings.secret_file.display();
    let text = std::fs::read_to_string(&settings.secret_file)
        .change_context(ErrorKind::BadSettings)
        .attach_with(|| format!("can't read the secret file {path}"))?;
    let value = Value::String(text.trim().to_owned());
    serde_json::from_value(value)
        .change_context(ErrorKind::BadSettings)
        .attach_with(|| format!("the secret in {path} is invalid"))
}

async fn start_control(
    settings: &Settings,
    secret: Secret,
    clock: Clock,
) -> Result<Arc<ControlServer>, Report<ErrorKind>> {
    let others = settings
        .peers
        .iter()
        .filter(|(name, _)| **name != settings.instance);
    let initial: Vec<Command> = settings
        .initial
        .commands()
        .into_iter()
        .map(|(_, c)| c)
        .collect();
    let config = ControlConfig {
        name: settings.instance.clone(),
        directory: settings.data.clone().unwrap_or_default(),
        listen: settings.listen.unwrap_or(settings.operators),
        peers: others
            .map(|(name, p)| PeerAddress {
                name: name.clone(),
                address: p.address,
            })
            .collect(),
        secret,
        joining: Joining::Fixed,
        initial,
        timings: settings.peering,
        limits: settings.control,
        unnamed: Default::default(),
    };
    let control = Control::start(config, clock)
        .await
        .map_err(|e| Report::new(e.kind()).attach(e.to_string()))?;
    Ok(Arc::new(control))
}

fn subscribe(settings: &Settings, secret: Secret, clock: Clock) -> (ControlHandle, Arc<View>) {
    let place =
        |(name, p): (&pomelovale_state::Name, &crate::settings::ControlPeer)| ControlEndpoint {
            name: name.clone(),
            address: p.address,
            region: p.region.clone(),
            domain: p.domain.clone(),
        };
    let config = SubscriberConfig {
        name: settings.instance.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        controls: settings.peers.iter().map(place).collect(),
        secret,
        timings: settings.peering,
        limits: Default::default(),
        counters: Default::default(),
        unnamed: Default::default(),
    };
    let view = Arc::new(View::default());
    let handle = Subscriber::start(config, Arc::clone(&view), clock);
    (handle, view)
}

async fn start_entry(
    settings: &Settings,
    view: &Arc<View>,
    handle: &ControlHandle,
    clock: &Clock,
) -> Result<EntryHandle, Report<ErrorKind>> {
    let mut config = settings.entry_config();
    let connections = &mut config.server.connections;
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let most = usize::try_from(descriptors / CALLERS_ONE_IN).unwrap_or(usize::MAX);
    if *connections > most {
        log::warn!(
            "entry.server.connections is lowered from {connections} to {most}, half of the limit on descriptors"
        );
        *connections = most;
    }
    Entry::start(config, Arc::clone(view), handle.clone(), clock.clone()).await
}

type StatusSources = (StatusSource, StatusSource);

fn status_sources(settings: &Settings, control: &Option<Arc<ControlServer>>) -> StatusSources {
    let instance = settings.instance.clone();
    let Some(control) = control.as_ref().map(Arc::downgrade) else {
        let status = move || json!({ "instance": instance });
        return (Arc::new(status), Arc::new(|| json!([])));
    };
    let runtime = Handle::current();
    let cluster_status = move || match control.upgrade() {
        None => (json!(null), ClusterStatus::default()),
        Some(control) => {
            let request = async { timeout(STATUS_TIMEOUT, control.cluster_status()).await };
            let answer = runtime.block_on(request);
            (json!(&*control.status()), answer.unwrap_or_default())
        }
    };
    let cluster_status = Arc::new(cluster_status);
    let moves = Arc::clone(&cluster_status);
    let status = move || {
        let (log, cluster_status) = cluster_status();
        json!({ "instance": instance, "log": log, "instances": cluster_status.instances })
    };
    (Arc::new(status), Arc::new(move || json!(moves().1.moves)))
}
