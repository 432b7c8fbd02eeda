//! HTTP client for the operators' listeners, which it tries in turn.

use pomelovale_state::command::{Change, Command, Refusal, Winner};
use pomelovale_state::document::Document;
use pomelovale_state::{ErrorKind, Millis, Name};
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::args::Global;
use crate::error::CliError;

/// Time limit for one answer, in seconds.
const RESPONSE_TIMEOUT_S: u64 = 10;
/// Rounds over all listeners before giving up.
const ROUNDS: usize = 3;
/// Pause between two rounds, in milliseconds.
const ROUND_PAUSE_MS: u64 = 500;

/// Client for the operators' listeners of a site.
pub struct Client {
    global: Global,
}

/// Body of `POST /v1/changes`; the listener adds the sender, from the key.
#[derive(Serialize)]
struct Proposal<'a> {
    request: &'a Name,
    base: Option<u64>,
    command: &'a Command,
}

/// Body of the answer to a change, or of a refusal of any request.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
enum Verdict {
    Accepted {
        version: u64,
        item: u64,
    },
    Refused {
        code: String,
        text: String,
        #[serde(default)]
        winner: Option<Winner>,
    },
    Unknown {
        text: String,
    },
}

struct Reply {
    status: u16,
    body: String,
}

impl Client {
    /// Creates a client for the listeners and the key of the global options.
    pub fn new(global: Global) -> Client {
        Client { global }
    }

    /// The global options.
    pub fn global(&self) -> &Global {
        &self.global
    }

    /// Reads JSON from the first listener that answers.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let reply = self.send_to_any(path, None)?;
        match reply.status {
            200 => Ok(serde_json::from_str(&reply.body)?),
            _ => Err(error_from(&reply)),
        }
    }

    /// Reads the shared document.
    pub fn document(&self) -> Result<Document, CliError> {
        self.get("/v1/document")
    }

    /// Proposes a command on top of a version and returns the versions of the
    /// document and of the item afterwards.
    pub fn propose(&self, base: Option<u64>, command: Command) -> Result<(u64, u64), CliError> {
        let request = match &self.global.request {
            Some(request) => request.clone(),
            None => Name::from(format!("{:032x}", rand::rng().random::<u128>())),
        };
        let sender = self.global.sender.clone();
        let base = self.global.base.or(base);
        self.send(&Change {
            request,
            sender,
            base,
            at: Millis(0),
            command,
        })
    }

    /// Sends a change. All attempts carry the same request identifier, so that the change
    /// can't be applied twice if an answer is lost.
    pub fn send(&self, change: &Change) -> Result<(u64, u64), CliError> {
        let proposal = Proposal {
            request: &change.request,
            base: change.base,
            command: &change.command,
        };
        let reply = self.send_to_any("/v1/changes", Some(&serde_json::to_string(&proposal)?))?;
        match serde_json::from_str(&reply.body) {
            Ok(Verdict::Accepted { version, item }) => Ok((version, item)),
            _ => Err(error_from(&reply)),
        }
    }

    fn send_to_any(&self, path: &str, body: Option<&str>) -> Result<Reply, CliError> {
        let mut last = "no listener is given; use --operators or POMELOVALE_OPERATORS".to_owned();
        for round in 0..ROUNDS {
            if round > 0 {
                std::thread::sleep(Millis(ROUND_PAUSE_MS).duration());
            }
            for address in &self.global.operators {
                match self.send_to(address, path, body) {
                    Ok(reply) if !should_try_next(&reply) => return Ok(reply),
                    Ok(reply) => {
                        last = format!("{address} answered {}: {}", reply.status, reply.body)
                    }
                    Err(e) => last = format!("{address}: {e}"),
                }
            }
            if self.global.operators.is_empty() {
                break;
            }
        }
        Err(CliError::kind(ErrorKind::Unavailable, last))
    }

    fn send_to(
        &self,
        address: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<Reply, minreq::Error> {
        let url = format!("http://{address}{path}");
        let request = match body {
            Some(body) => minreq::post(url)
                .with_header("Content-Type", "application/json")
                .with_body(body),
            None => minreq::get(url),
        };
        let key = format!("Bearer {}", self.global.key);
        let response = request
            .with_header("Authorization", key)
            .with_timeout(RESPONSE_TIMEOUT_S)
            .send()?;
        Ok(Reply {
            status: response.status_code as u16,
            body: response.as_str().unwrap_or("").to_owned(),
        })
    }
}

// minreq also returns 503 if the listener closed the connection without an answer, so
// the change may have been accepted. The next listener gets it with the same request
// identifier.
fn should_try_next(reply: &Reply) -> bool {
    matches!(reply.status, 502..=504)
}

fn error_from(reply: &Reply) -> CliError {
    let kind = |code: &str| {
        ErrorKind::ALL
            .iter()
            .copied()
            .find(|k| k.answer().code == code)
    };
    match serde_json::from_str(&reply.body) {
        Ok(Verdict::Refused { code, text, winner }) => {
            let kind = kind(&code).unwrap_or(ErrorKind::Internal);
            CliError::Refused(Refusal { kind, text, winner })
        }
        Ok(Verdict::Unknown { text, .. }) => CliError::kind(ErrorKind::UnknownOutcome, text),
        _ => CliError::kind(
            ErrorKind::Internal,
            format!("unexpected answer {}: {}", reply.status, reply.body),
        ),
    }
}
