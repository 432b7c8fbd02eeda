//! HTTP server for operators: metrics, status, the document and changes.

use std::io::{Cursor, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_state::blocks::BlockTable;
use pomelovale_state::command::{Applied, Change, Command, Refusal};
use pomelovale_state::document::{Digest, Document, KeyHolder};
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use serde::Deserialize;
use serde_json::{json, Value};
use tiny_http::{Header, Method, Request, Response, Server};

/// Number of worker threads, each of which serves one request at a time.
const WORKERS: usize = 4;
/// Maximum size of a request body.
const BODY_MAX_BYTES: u64 = 1024 * 1024;
/// Sender name of changes made with the bootstrap key.
const BOOTSTRAP: &str = "bootstrap";

/// Returns the part of `GET /v1/status` that describes this process. May block.
pub type StatusSource = Arc<dyn Fn() -> Value + Send + Sync>;
/// Renders `GET /metrics`.
pub type MetricsSource = Arc<dyn Fn() -> String + Send + Sync>;

/// Settings of the HTTP server for operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorServerConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Digest of the key that is accepted while the document contains no operator
    /// key.
    #[serde(default)]
    pub bootstrap: Option<Digest>,
}

/// Data sources of the server.
#[derive(Clone)]
pub struct OperatorServerSources {
    /// Proposes changes.
    pub handle: ControlHandle,
    /// The document, including the operator keys.
    pub view: Arc<View>,
    /// Clock for the age of the view.
    pub clock: Clock,
    /// Status of the process.
    pub status: StatusSource,
    /// Progress of moves, as measured by the leader.
    pub moves: StatusSource,
    /// Metrics of the process.
    pub metrics: MetricsSource,
}

/// A running server; dropping it stops its threads.
pub struct OperatorServer {
    address: SocketAddr,
    server: Arc<Server>,
    stopped: Arc<AtomicBool>,
}

struct Worker {
    bootstrap: Option<Digest>,
    sources: OperatorServerSources,
    runtime: tokio::runtime::Runtime,
}

type Answer = (u16, Value);

/// Body of `POST /v1/changes`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    request: Name,
    #[serde(default)]
    base: Option<u64>,
    command: Command,
}

impl OperatorServer {
    /// Binds the address and serves requests on dedicated threads.
    pub fn start(
        config: OperatorServerConfig,
        sources: OperatorServerSources,
    ) -> Result<OperatorServer, Box<dyn std::error::Error + Send + Sync>> {
        let server = Arc::new(Server::http(config.listen)?);
        let address = server.server_addr().to_ip().unwrap_or(config.listen);
        let stopped = Arc::new(AtomicBool::new(false));
        for _ in 0..WORKERS {
            let worker = Worker {
                bootstrap: config.bootstrap,
                sources: sources.clone(),
                runtime: tokio::runtime::Builder::new_current_thread().build()?,
            };
            let (server, stopped) = (server.clone(), stopped.clone());
            thread::spawn(move || {
                while !stopped.load(Ordering::Acquire) {
                    match server.recv() {
                        Ok(request) => worker.serve(request),
                        Err(_) => return,
                    }
                }
            });
        }
        Ok(OperatorServer {
            address,
            server,
            stopped,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        (0..WORKERS).for_each(|_| self.server.unblock());
    }
}

fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).ok()
}

fn error_answer(kind: ErrorKind, text: &str) -> Answer {
    let answer = kind.answer();
    let body = json!({ "outcome": "refused", "code": answer.code, "text": text });
    (answer.status, body)
}

// Leaves out the client blocks, of which there can be hundreds of thousands.
fn document_answer(document: &Document) -> Answer {
    let document = Document {
        blocks: BlockTable::default(),
        ..document.clone()
    };
    match serde_json::to_value(&document) {
        Ok(body) => (200, body),
        Err(e) => error_answer(ErrorKind::Internal, &e.to_string()),
    }
}

fn refusal_answer(refusal: &Refusal) -> Answer {
    let (status, mut body) = error_answer(refusal.kind, &refusal.text);
    if let Some(winner) = &refusal.winner {
        body["winner"] = json!(winner);
    }
    (status, body)
}

/// Returns the operator that a key belongs to, or `KeyRefused`.
pub fn authenticate(
    document: &Document,
    bootstrap: Option<&Digest>,
    text: &str,
) -> Result<Name, ErrorKind> {
    let digest = Digest::of_key(text);
    let equals = |known: &Digest| known.matches(&digest);
    let id = text.strip_prefix("pk.").and_then(|t| t.split('.').next());
    let key = id.and_then(|id| document.keys.get(id));
    let has_operator_key = document
        .keys
        .values()
        .any(|k| matches!(k.holder, KeyHolder::Operator(_)));
    match (key.map(|k| (k, &k.holder)), bootstrap) {
        (Some((k, KeyHolder::Operator(name))), _) if !k.revoked && equals(&k.digest) => {
            Ok(name.clone())
        }
        (_, Some(known)) if !has_operator_key && equals(known) => Ok(Name::from(BOOTSTRAP)),
        _ => Err(ErrorKind::KeyRefused),
    }
}

impl Worker {
    fn serve(&self, mut request: Request) {
        let path = request.url().split('?').next().unwrap_or("").to_string();
        if (request.method(), path.as_str()) == (&Method::Get, "/metrics") {
            let text = (self.sources.metrics)();
            return respond(request, 200, text, "text/plain; version=0.0.4");
        }
        let (status, body) = match self.operator(&request) {
            Err((kind, text)) => error_answer(kind, text),
            Ok(operator) => self.answer(&mut request, &path, operator),
        };
        respond(request, status, body.to_string(), "application/json");
    }

    // Returns the operator of the request's key. Refuses all keys while the view is
    // too old: a key in it may have been revoked since.
    fn operator(&self, request: &Request) -> Result<Name, (ErrorKind, &'static str)> {
        let sources = &self.sources;
        if !sources.view.is_fresh_for_keys(sources.clock.now()) {
            let text = "the view of keys is too old to check an operator's key";
            return Err((ErrorKind::StaleView, text));
        }
        let key = request
            .headers()
            .iter()
            .find(|h| h.field.equiv("Authorization"))
            .and_then(|h| h.value.as_str().strip_prefix("Bearer "));
        authenticate(
            &sources.view.document(),
            self.bootstrap.as_ref(),
            key.unwrap_or(""),
        )
        .map_err(|kind| (kind, "an operator's key is required"))
    }

    fn answer(&self, request: &mut Request, path: &str, operator: Name) -> Answer {
        let sources = &self.sources;
        match (request.method(), path) {
            (Method::Get, "/v1/status") => {
                let mut body = (sources.status)();
                body["view"] = json!({
                    "version": sources.view.document().version,
                    "blocks": sources.view.document().blocks.len(),
                    "age_ms": sources.view.age(sources.clock.now()),
                });
                (200, body)
            }
            (Method::Get, "/v1/document") => document_answer(&sources.view.document()),
            (Method::Get, "/v1/moves") => (200, (sources.moves)()),
            (Method::Post, "/v1/changes") => self.change(request, operator),
            _ => error_answer(ErrorKind::NotFound, "there is nothing at this path"),
        }
    }

    fn change(&self, request: &mut Request, operator: Name) -> Answer {
        let mut body = Vec::new();
        let mut reader = request.as_reader().take(BODY_MAX_BYTES + 1);
        match reader.read_to_end(&mut body) {
            Err(_) => return error_answer(ErrorKind::BadRequest, "the body is incomplete"),
            Ok(n) if n as u64 > BODY_MAX_BYTES => {
                return error_answer(ErrorKind::TooLarge, "a change takes at most 1 MiB");
            }
            Ok(_) => {}
        }
        let proposal: Proposal = match serde_json::from_slice(&body) {
            Ok(proposal) => proposal,
            Err(e) => return error_answer(ErrorKind::BadRequest, &e.to_string()),
        };
        match &proposal.command {
            Command::BeginIntent(_) | Command::EndIntent(_) | Command::RecordCrash { .. } => {
                return error_answer(ErrorKind::BadRequest, "only instances send this command");
            }
            _ if !proposal.request.is_valid() => {
                return error_answer(ErrorKind::BadRequest, "the request identifier is not valid");
            }
            _ => {}
        }
        let change = Change {
            request: proposal.request,
            sender: operator,
            base: proposal.base,
            at: Millis(0),
            command: proposal.command,
        };
        match self.runtime.block_on(self.sources.handle.propose(change)) {
            Ok(Applied::Accepted { version, item }) => {
                let body = json!({ "outcome": "accepted", "version": version, "item": item });
                (200, body)
            }
            Ok(Applied::Refused(r)) => refusal_answer(&r),
            Ok(Applied::Intent(_)) => error_answer(ErrorKind::Internal, "unexpected answer"),
            Err(kind @ (ErrorKind::Unavailable | ErrorKind::Internal)) => {
                let text = "the change may have been accepted; \
                            send it again under the same request identifier";
                let (status, mut body) = error_answer(kind, text);
                body["outcome"] = json!("unknown");
                (status, body)
            }
            Err(kind) => error_answer(kind, "the change was not taken"),
        }
    }
}

fn respond(request: Request, status: u16, body: String, kind: &str) {
    let length = body.len();
    let headers = [
        header("Content-Type", kind),
        header("Cache-Control", "no-store"),
    ];
    let response = Response::new(
        status.into(),
        headers.into_iter().flatten().collect(),
        Cursor::new(body.into_bytes()),
        Some(length),
        None,
    );
    // The client may have disconnected; a write error has no one to be reported to.
    let _ = request.respond(response);
}
