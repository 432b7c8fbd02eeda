//! Runs the real binary in a temporary folder against a simulated operators' listener.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::thread;

use pomelovale_state::command::{self, Applied, Change};
use pomelovale_state::machine::StateMachine;
use pomelovale_state::sheet::MoveStatus;
use pomelovale_state::{Millis, Name};
use serde::Deserialize;
use serde_json::json;
use tempfile::TempDir;
use tiny_http::{Header, Method, Request, Response, Server};

/// Body of `POST /v1/changes`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    request: Name,
    base: Option<u64>,
    command: command::Command,
}

/// Fault of the simulated listener at the next change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Applies one change and closes the connection without an answer.
    LostAnswer,
    /// No fault.
    Nothing,
}

/// A temporary folder with a simulated site.
pub struct Workdir {
    dir: TempDir,
    address: String,
    /// State of the simulated site.
    pub machine: Arc<Mutex<StateMachine>>,
    /// The next fault.
    pub fault: Arc<Mutex<Fault>>,
    server: Arc<Server>,
}

impl Workdir {
    /// Starts a simulated site.
    pub fn new() -> Workdir {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let address = server.server_addr().to_string();
        let machine = Arc::new(Mutex::new(StateMachine::default()));
        let fault = Arc::new(Mutex::new(Fault::Nothing));
        let (s, m, f) = (
            Arc::clone(&server),
            Arc::clone(&machine),
            Arc::clone(&fault),
        );
        thread::spawn(move || s.incoming_requests().for_each(|r| serve(r, &m, &f)));
        Workdir {
            dir: TempDir::new().unwrap(),
            address,
            machine,
            fault,
            server,
        }
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Reads a file.
    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.path().join(name)).unwrap()
    }

    /// Runs the binary in the folder.
    pub fn run(&self, words: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_pomelovale"))
            .current_dir(self.dir.path())
            .env("POMELOVALE_OPERATORS", &self.address)
            .env("POMELOVALE_KEY", "pk.op.secret")
            .args(words)
            .output()
            .unwrap()
    }

    /// Runs the binary and returns what it printed; fails unless it exits with `code`.
    pub fn expect(&self, code: i32, words: &[&str]) -> String {
        let output = self.run(words);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8(text).unwrap();
        assert_eq!(output.status.code(), Some(code), "{words:?}: {text}");
        text
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

fn serve(mut request: Request, machine: &Mutex<StateMachine>, fault: &Mutex<Fault>) {
    let mut machine = machine.lock().unwrap();
    let key = request
        .headers()
        .iter()
        .find(|h| h.field.equiv("Authorization"));
    if key.is_none_or(|k| k.value.as_str() != "Bearer pk.op.secret") {
        let body = r#"{"outcome":"refused","code":"key-refused","text":"the key is unknown"}"#;
        return answer(request, 401, body.to_owned());
    }
    match (request.method(), request.url()) {
        (Method::Get, "/v1/document") => answer(request, 200, text(&machine.document)),
        (Method::Get, "/v1/status") => {
            let view = json!({ "version": machine.document.version, "blocks": machine.document.blocks.len(), "age_ms": 5 });
            let log =
                json!({ "role": "leader", "epoch": 1, "leader": "c1", "commit": 2, "last": 2 });
            let instances = json!([{ "instance": "e1", "version": 1, "view_ms": 300 }]);
            let body =
                json!({ "instance": "c1", "view": view, "log": log, "instances": instances });
            answer(request, 200, body.to_string());
        }
        (Method::Get, "/v1/moves") => {
            let moves: Vec<MoveStatus> = statuses(&machine);
            answer(request, 200, text(&moves));
        }
        (Method::Post, "/v1/changes") => {
            let mut body = String::new();
            request.as_reader().read_to_string(&mut body).unwrap();
            let proposal: Proposal = serde_json::from_str(&body).unwrap();
            let change = Change {
                request: proposal.request,
                sender: "op".into(),
                base: proposal.base,
                at: Millis(0),
                command: proposal.command,
            };
            let applied = machine.apply(&change);
            let fault = std::mem::replace(&mut *fault.lock().unwrap(), Fault::Nothing);
            match (&applied, fault) {
                (_, Fault::LostAnswer) => drop(request.into_writer()),
                (Applied::Refused(r), _) => {
                    let answered = r.kind.answer();
                    let body = json!({ "outcome": "refused", "code": answered.code, "text": r.text, "winner": r.winner });
                    answer(request, answered.status, body.to_string());
                }
                (Applied::Accepted { version, item }, _) => {
                    let body = json!({ "outcome": "accepted", "version": version, "item": item });
                    answer(request, 200, body.to_string());
                }
                (Applied::Intent(_), _) => panic!("an operator sent an intent"),
            }
        }
        _ => answer(request, 404, String::new()),
    }
}

fn statuses(machine: &StateMachine) -> Vec<MoveStatus> {
    let version = |name: &Name| {
        let item = pomelovale_state::command::Item::Move(name.clone());
        machine.document.item_version(&item)
    };
    let status = |(name, plan): (&Name, &pomelovale_state::moves::Move)| MoveStatus {
        name: name.clone(),
        version: version(name),
        plan: plan.clone(),
        next: None,
    };
    machine.document.moves.iter().map(status).collect()
}

fn text<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap()
}

fn answer(request: Request, status: u16, body: String) {
    let header = Header::from_bytes("Content-Type", "application/json").unwrap();
    let response = Response::from_string(body)
        .with_status_code(status)
        .with_header(header);
    request.respond(response).unwrap();
}
