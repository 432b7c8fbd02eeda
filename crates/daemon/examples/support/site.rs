//! Three instances, eight mock backend servers and an operator, in one process.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use pomelovale_state::command::{Change, Command, Item};
use pomelovale_state::digest::Digest;
use pomelovale_state::document::Document;
use pomelovale_state::sheet::{self, MoveStatus, Sheet};
use pomelovale_state::Clock;
use pomelovaled::node::Node;
use pomelovaled::settings::Settings;
use serde::de::DeserializeOwned;
use serde_json::{json, Map, Value};

use crate::support::{BackendRecord, MockBackend};

/// Error type of the example; any error ends it.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// API key of the operator.
pub const OPERATOR_KEY: &str = "pk.op.1f0e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a6978";
/// The workspaces and their API keys.
pub const WORKSPACE_KEYS: [(&str, &str); 2] = [
    (
        "alpha",
        "pk.alpha1.00112233445566778899aabbccddeeff0011223344556677",
    ),
    (
        "beta",
        "pk.beta1.8899aabbccddeeff00112233445566778899aabbccddeeff",
    ),
];
const INSTANCES: [(&str, &str, &str); 3] = [
    ("north-1", "north", "north-a"),
    ("north-2", "north", "north-b"),
    ("south-1", "south", "south-a"),
];

/// The instances and backend servers of the example.
pub struct Site {
    /// The instances with their names.
    pub nodes: Vec<(String, Node)>,
    /// Counters of the mock backend servers.
    pub record: Arc<BackendRecord>,
    /// Client of the operators' listeners.
    pub operator: Operator,
}

// Returns free ports below the ephemeral range: an outgoing connection could take
// an ephemeral port before the instance binds it.
fn free_ports(count: usize) -> Vec<u16> {
    let first = 20_000 + std::process::id() as u16 % 10_000;
    let is_free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
    (first..32_000).filter(is_free).take(count).collect()
}

fn json_object<'a>(fields: impl Iterator<Item = (&'a str, Value)>) -> Value {
    Value::Object(
        fields
            .map(|(k, v)| (k.to_owned(), v))
            .collect::<Map<String, Value>>(),
    )
}

impl Site {
    /// Starts the backend servers and the instances, with their files under `directory`.
    pub async fn start(directory: &Path) -> Result<Site, BoxError> {
        let record = Arc::new(BackendRecord::default());
        let mut backends = Map::new();
        for service in ["shop", "desk"] {
            for domain in ["north-a", "north-b", "south-a", "south-b"] {
                let name = format!("{service}-{domain}");
                let any_port = "127.0.0.1:0".parse()?;
                let (address, _) =
                    MockBackend::start(&name, any_port, 6, Arc::clone(&record)).await?;
                let region = &domain[..5];
                let row = json!({"address": address, "service": service, "region": region,
                    "domain": domain, "slots": 6, "connections": 330});
                backends.insert(name, row);
            }
        }
        std::fs::write(directory.join("secret"), "the secret of the quickstart\n")?;
        let ports = free_ports(6);
        let metrics = PrometheusBuilder::new().install_recorder()?;
        let mut nodes = Vec::new();
        for (i, (name, _, _)) in INSTANCES.iter().enumerate() {
            let settings = settings(directory, i, &ports, &backends);
            let settings = Settings::parse(&settings.to_string()).map_err(|f| format!("{f:?}"))?;
            let node = Node::start(&settings, Clock::monotonic(), metrics.clone());
            nodes.push((
                (*name).to_owned(),
                node.await.map_err(|e| format!("{e:?}"))?,
            ));
        }
        let listeners = nodes.iter().map(|(_, n)| n.operators()).collect();
        let operator = Operator { listeners };
        Ok(Site {
            nodes,
            record,
            operator,
        })
    }

    /// Returns the addresses on which the instances accept callers.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().filter_map(|(_, n)| n.callers()).collect()
    }
}

fn settings(directory: &Path, i: usize, ports: &[u16], backends: &Map<String, Value>) -> Value {
    let (name, region, domain) = INSTANCES[i];
    let address = |port: u16| format!("127.0.0.1:{port}");
    let peers = json_object(
        INSTANCES
            .iter()
            .enumerate()
            .map(|(i, (name, region, domain))| {
                (
                    *name,
                    json!({"address": address(ports[i]), "region": region, "domain": domain}),
                )
            }),
    );
    let instances = json_object(
        INSTANCES
            .iter()
            .enumerate()
            .map(|(i, (name, region, domain))| {
                let row = json!({"callers": address(ports[3 + i]), "peers": address(ports[i]),
            "region": region, "domain": domain});
                (*name, row)
            }),
    );
    let mut keys = Map::new();
    keys.insert(
        "op".to_owned(),
        json!({"operator": "ann", "digest": Digest::of_key(OPERATOR_KEY)}),
    );
    for (workspace, key) in WORKSPACE_KEYS {
        let row = json!({"workspace": workspace, "digest": Digest::of_key(key)});
        keys.insert(format!("{workspace}1"), row);
    }
    json!({
        "instance": name, "region": region, "domain": domain, "roles": ["entry", "control"],
        "callers": address(ports[3 + i]), "operators": "127.0.0.1:0", "listen": address(ports[i]),
        "peers": peers, "secret_file": directory.join("secret"), "data": directory.join(name),
        "initial": {
            "regions": {"north": {"domains": ["north-a", "north-b"]}, "south": {"domains": ["south-a", "south-b"]}},
            "links": [{"from": "north", "to": "south", "mbits": 4000}],
            "services": {
                "shop": {"timeout_ms": 2000, "bytes": 4096, "routes": [{"prefix": "/stock"}, {"prefix": "/hours", "open": true}]},
                "desk": {"timeout_ms": 4000, "bytes": 4096, "routes": [{"prefix": "/bookings"}]}
            },
            "backends": backends, "instances": instances, "keys": keys,
            "workspaces": {"alpha": {"rate": 400, "burst": 800}, "beta": {"rate": 200, "burst": 400}}
        }
    })
}

/// A client of the operators' HTTP listeners.
#[derive(Clone)]
pub struct Operator {
    listeners: Vec<SocketAddr>,
}

impl Operator {
    /// Removes a listener, so that no further request is sent to it.
    pub fn remove_listener(&mut self, listener: SocketAddr) {
        self.listeners.retain(|l| *l != listener);
    }

    /// Fetches JSON from the first listener that responds with status 200.
    pub async fn get<T: DeserializeOwned + Send + 'static>(
        &self,
        path: &'static str,
    ) -> Result<T, BoxError> {
        let listeners = self.listeners.clone();
        let read = move || {
            let mut last = "no operator listener is left".to_owned();
            for listener in listeners {
                let request = minreq::get(format!("http://{listener}{path}"))
                    .with_header("Authorization", format!("Bearer {OPERATOR_KEY}"))
                    .with_timeout(5);
                match request.send() {
                    Ok(response) if response.status_code == 200 => {
                        return Ok(serde_json::from_str(response.as_str()?)?)
                    }
                    Ok(response) => last = format!("{listener}: {}", response.as_str()?),
                    Err(e) => last = format!("{listener}: {e}"),
                }
            }
            Err(last.into())
        };
        tokio::task::spawn_blocking(read).await?
    }

    /// Proposes a change and returns the status and the body of the response.
    pub async fn propose(&self, change: &Change) -> Result<(u16, Value), BoxError> {
        let body =
            json!({"request": change.request, "base": change.base, "command": change.command});
        let (listener, body) = (self.listeners[0], body.to_string());
        let send = move || {
            let request = minreq::post(format!("http://{listener}/v1/changes"))
                .with_header("Authorization", format!("Bearer {OPERATOR_KEY}"))
                .with_body(body)
                .with_timeout(15);
            let response = request.send()?;
            let body: Value = serde_json::from_str(response.as_str()?)?;
            Ok((response.status_code, body))
        };
        tokio::task::spawn_blocking(send).await?
    }

    /// Proposes a command, based on the current version of the item it changes.
    pub async fn propose_command(
        &self,
        request: &str,
        command: Command,
    ) -> Result<(u16, Value), BoxError> {
        let document: Document = self.get("/v1/document").await?;
        let base = command
            .item()
            .map(|item: Item| document.item_version(&item));
        let change = Change {
            request: request.into(),
            sender: "op".into(),
            base,
            at: pomelovale_state::Millis(0),
            command,
        };
        self.propose(&change).await
    }

    /// Exports the move sheet, fills in `action` for the next step and applies it.
    /// Retries up to 200 times, 250 ms apart, while the gate holds the step.
    pub async fn apply_next_step(&self, action: &str) -> Result<String, BoxError> {
        for _ in 0..200 {
            let moves: Vec<MoveStatus> = self.get("/v1/moves").await?;
            let text = sheet::write(&moves)?;
            let filled: Vec<String> = text
                .lines()
                .map(|l| {
                    if l.contains(",next,") {
                        format!("{l}{action}")
                    } else {
                        l.to_owned()
                    }
                })
                .collect();
            let Sheet { changes, .. } = sheet::read(&filled.join("\n"), &"op".into());
            let Some(row) = changes.first() else {
                return Err("the move sheet has no next step".into());
            };
            let (status, body) = self.propose(&row.change).await?;
            match status {
                200 => return Ok(body.to_string()),
                409 | 503 => tokio::time::sleep(Duration::from_millis(250)).await,
                _ => return Err(format!("{status}: {body}").into()),
            }
        }
        Err("the gate still held the step after 200 attempts".into())
    }
}
