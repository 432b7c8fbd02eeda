//! Settings of the daemon, read from one JSON file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use indexmap::IndexMap;
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::digest::Digest;
use pomelovale_state::document::{
    Backend, Instance, KeyHolder, Link, Region, Service, Site, Workspace,
};
use pomelovale_state::machine::StateMachine;
use pomelovale_state::{Millis, Name};
use pomelovale_transport::peer_link::PeerTimings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::control::config::ControlLimits;
use crate::entry::config::EntryConfig;
use crate::schema::{check, optional, required, Field, SettingsError, Shape};

const UNBOUNDED: u64 = u64::MAX;

static REGION: Shape = Shape::Object(&[required("domains", Shape::List(&Shape::Name))]);
static LINK: Shape = Shape::Object(&[
    required("from", Shape::Name),
    required("to", Shape::Name),
    required("mbits", Shape::Number(1, u32::MAX as u64)),
]);
static SITE: Shape = Shape::Object(&[
    required("region", Shape::Name),
    required("domain", Shape::Name),
]);
static ROUTE: Shape = Shape::Object(&[
    required("prefix", Shape::Text),
    optional("open", Shape::Bool),
    optional("idempotent", Shape::List(&Shape::Text)),
    optional("deferrable", Shape::Bool),
]);
static SERVICE: Shape = Shape::Object(&[
    optional("routes", Shape::List(&ROUTE)),
    optional("timeout_ms", Shape::Number(1, 600_000)),
    optional("bytes", Shape::Number(1, UNBOUNDED)),
]);
static BACKEND: Shape = Shape::Object(&[
    required("address", Shape::Address),
    required("service", Shape::Name),
    required("region", Shape::Name),
    required("domain", Shape::Name),
    required("slots", Shape::Number(1, u32::MAX as u64)),
    required("connections", Shape::Number(1, u32::MAX as u64)),
    optional("state", Shape::OneOf(&["leaving", "serving"])),
]);
static INSTANCE: Shape = Shape::Object(&[
    optional("callers", Shape::Address),
    optional("peers", Shape::Address),
    required("region", Shape::Name),
    required("domain", Shape::Name),
    optional("state", Shape::OneOf(&["leaving", "serving"])),
]);
static WORKSPACE: Shape = Shape::Object(&[
    required("rate", Shape::Number(1, UNBOUNDED)),
    required("burst", Shape::Number(1, UNBOUNDED)),
    optional("weight", Shape::Number(1, u32::MAX as u64)),
]);
static KEY: Shape = Shape::Object(&[
    optional("workspace", Shape::Name),
    optional("operator", Shape::Name),
    required("digest", Shape::Digest),
]);
const INITIAL: Shape = Shape::Object(&[
    optional("regions", Shape::Map(&REGION)),
    optional("links", Shape::List(&LINK)),
    optional("sites", Shape::Map(&SITE)),
    optional("services", Shape::Map(&SERVICE)),
    optional("backends", Shape::Map(&BACKEND)),
    optional("instances", Shape::Map(&INSTANCE)),
    optional("workspaces", Shape::Map(&WORKSPACE)),
    optional("keys", Shape::Map(&KEY)),
]);
static PEER: Shape = Shape::Object(&[
    required("address", Shape::Address),
    required("region", Shape::Name),
    required("domain", Shape::Name),
]);
static FIELDS: &[Field] = &[
    required("instance", Shape::Name),
    required("region", Shape::Name),
    required("domain", Shape::Name),
    required("roles", Shape::List(&Shape::OneOf(&["control", "entry"]))),
    optional("callers", Shape::Address),
    required("operators", Shape::Address),
    optional("listen", Shape::Address),
    required("peers", Shape::Map(&PEER)),
    required("secret_file", Shape::Text),
    optional("data", Shape::Text),
    optional("entry", Shape::PerField(try_parse_entry)),
    optional("control", Shape::PerField(try_parse_control)),
    optional("peering", Shape::PerField(try_parse_peering)),
    optional("initial", INITIAL),
];

/// Roles that a process can have.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Keeps a replica of the shared state.
    Control,
    /// Serves callers.
    Entry,
}

/// Address and location of a control instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct ControlPeer {
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Region it runs in.
    pub region: Name,
    /// Failure domain it runs in.
    pub domain: Name,
}

/// A key of the initial document.
#[derive(Clone, Debug, Deserialize)]
pub struct InitialKey {
    /// Workspace that the key belongs to.
    pub workspace: Option<Name>,
    /// Operator that the key belongs to.
    pub operator: Option<Name>,
    /// SHA-256 of the key text.
    pub digest: Digest,
}

/// Content of a new deployment's document, which the first leader proposes once.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct InitialDocument {
    /// Regions by name.
    pub regions: IndexMap<Name, Region>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// Sites by name.
    pub sites: IndexMap<Name, Site>,
    /// Services by name.
    pub services: IndexMap<Name, Service>,
    /// Backend servers by name.
    pub backends: IndexMap<Name, Backend>,
    /// Instances by name.
    pub instances: IndexMap<Name, Instance>,
    /// Workspaces by name.
    pub workspaces: IndexMap<Name, Workspace>,
    /// Keys by identifier.
    pub keys: IndexMap<Name, InitialKey>,
}

impl InitialDocument {
    /// Returns the commands that create the document, each with its JSON path.
    /// They are ordered so that every item follows the items that it refers to.
    pub fn commands(&self) -> Vec<(String, Command)> {
        let mut list = Vec::new();
        let mut add = |kind: &str, name: &str, command: Command| {
            list.push((format!("initial.{kind}.{name}"), command))
        };
        for (name, region) in self.regions.clone() {
            add(
                "regions",
                &name.clone(),
                Command::PutRegion { name, region },
            );
        }
        if !self.links.is_empty() {
            add("links", "", Command::PutLinks(self.links.clone()));
        }
        for (name, site) in self.sites.clone() {
            add("sites", &name.clone(), Command::PutSite { name, site });
        }
        for (name, service) in self.services.clone() {
            add(
                "services",
                &name.clone(),
                Command::PutService { name, service },
            );
        }
        for (name, backend) in self.backends.clone() {
            add(
                "backends",
                &name.clone(),
                Command::PutBackend { name, backend },
            );
        }
        for (name, instance) in self.instances.clone() {
            add(
                "instances",
                &name.clone(),
                Command::PutInstance { name, instance },
            );
        }
        for (name, workspace) in self.workspaces.clone() {
            add(
                "workspaces",
                &name.clone(),
                Command::PutWorkspace { name, workspace },
            );
        }
        for (id, key) in &self.keys {
            if let Some(holder) = key.holder() {
                add(
                    "keys",
                    id,
                    Command::PutKey {
                        id: id.clone(),
                        holder,
                        digest: key.digest,
                    },
                );
            }
        }
        list
    }
}

impl InitialKey {
    fn holder(&self) -> Option<KeyHolder> {
        match (&self.workspace, &self.operator) {
            (Some(w), None) => Some(KeyHolder::Workspace(w.clone())),
            (None, Some(o)) => Some(KeyHolder::Operator(o.clone())),
            _ => None,
        }
    }
}

/// Valid settings of the daemon.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this instance.
    pub instance: Name,
    /// Region it runs in.
    pub region: Name,
    /// Failure domain it runs in.
    pub domain: Name,
    /// Roles of the process.
    pub roles: Vec<Role>,
    /// Address of the listener for callers; required for the entry role.
    pub callers: Option<SocketAddr>,
    /// Address of the listener for operators and `/metrics`.
    pub operators: SocketAddr,
    /// Address of the listener for peers; required for the control role.
    pub listen: Option<SocketAddr>,
    /// All control instances by name.
    pub peers: IndexMap<Name, ControlPeer>,
    /// File with the secret shared by all instances.
    pub secret_file: PathBuf,
    /// Data directory of the control instance; required for the control role.
    pub data: Option<PathBuf>,
    /// Limits and policies of the entry role.
    #[serde(default)]
    pub entry: EntryConfig,
    /// Limits of the control role.
    #[serde(default)]
    pub control: ControlLimits,
    /// Timings of connections between instances.
    #[serde(default)]
    pub peering: PeerTimings,
    /// Content of a new deployment's document.
    #[serde(default)]
    pub initial: InitialDocument,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, Vec<SettingsError>> {
        let file_error = |text: String| {
            vec![SettingsError {
                path: String::new(),
                text,
            }]
        };
        let text = std::fs::read_to_string(path)
            .map_err(|e| file_error(format!("can't read {}: {e}", path.display())))?;
        Settings::parse(&text)
    }

    /// Parses and checks settings. Returns all errors of the first check that fails:
    /// JSON syntax, schema, or consistency.
    pub fn parse(text: &str) -> Result<Settings, Vec<SettingsError>> {
        let file_error = |text: String| {
            vec![SettingsError {
                path: String::new(),
                text,
            }]
        };
        let value: Value =
            serde_json::from_str(text).map_err(|e| file_error(format!("invalid JSON: {e}")))?;
        let mut errors = Vec::new();
        check(&Shape::Object(FIELDS), &value, "", &mut errors);
        if !errors.is_empty() {
            return Err(errors);
        }
        let settings: Settings =
            serde_json::from_value(value).map_err(|e| file_error(e.to_string()))?;
        settings.check_roles(&mut errors);
        settings.check_initial(&mut errors);
        match errors.is_empty() {
            true => Ok(settings),
            false => Err(errors),
        }
    }

    /// Returns the settings of the entry role, with the instance's name, location
    /// and listener.
    pub fn entry_config(&self) -> EntryConfig {
        let config = self.entry.clone();
        EntryConfig {
            instance: self.instance.clone(),
            region: self.region.clone(),
            domain: self.domain.clone(),
            listen: self.callers.unwrap_or(config.listen),
            ..config
        }
    }

    /// Whether the instance has a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    fn check_roles(&self, errors: &mut Vec<SettingsError>) {
        let mut add = |path: &str, text: &str| {
            errors.push(SettingsError {
                path: path.to_owned(),
                text: text.to_owned(),
            })
        };
        if self.roles.is_empty() {
            add("roles", "at least one role is required");
        }
        if self.peers.is_empty() {
            add("peers", "at least one control instance is required");
        }
        if self.has_role(Role::Entry) && self.callers.is_none() {
            add(
                "callers",
                "required for the entry role: the address of the listener for callers",
            );
        }
        if self.has_role(Role::Control) && self.data.is_none() {
            add(
                "data",
                "required for the control role: the path of the data directory",
            );
        }
        if self.has_role(Role::Control) && self.listen.is_none() {
            add(
                "listen",
                "required for the control role: the address of the listener for peers",
            );
        }
        if self.has_role(Role::Control) && !self.peers.contains_key(&self.instance) {
            add(
                "peers",
                "this instance has the control role and must be listed",
            );
        }
    }

    fn check_initial(&self, errors: &mut Vec<SettingsError>) {
        for (id, key) in self
            .initial
            .keys
            .iter()
            .filter(|(_, k)| k.holder().is_none())
        {
            let text = format!(
                "a key needs exactly one of workspace ({:?}) and operator ({:?})",
                key.workspace, key.operator
            );
            errors.push(SettingsError {
                path: format!("initial.keys.{id}"),
                text,
            });
        }
        let mut machine = StateMachine::default();
        for (i, (path, command)) in self.initial.commands().into_iter().enumerate() {
            let request = Name::from(format!("check-{i}"));
            let change = Change {
                request,
                sender: self.instance.clone(),
                base: None,
                at: Millis(0),
                command,
            };
            if let Applied::Refused(refusal) = machine.apply(&change) {
                errors.push(SettingsError {
                    path,
                    text: refusal.text,
                });
            }
        }
    }
}

fn try_parse<T: DeserializeOwned>(map: &Map<String, Value>) -> Result<(), String> {
    let read = serde_json::from_value::<T>(Value::Object(map.clone()));
    read.map(|_| ()).map_err(|e| e.to_string())
}

fn try_parse_entry(map: &Map<String, Value>) -> Result<(), String> {
    try_parse::<EntryConfig>(map)
}

fn try_parse_control(map: &Map<String, Value>) -> Result<(), String> {
    try_parse::<ControlLimits>(map)
}

fn try_parse_peering(map: &Map<String, Value>) -> Result<(), String> {
    try_parse::<PeerTimings>(map)
}
