//! A caller that fetches the entry list, reuses its connection and counts responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use rand::seq::IndexedRandom;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for the head of a response, and again for its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A complete response.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Pomelovale-Outcome` header; empty if it is absent.
    pub outcome: String,
    /// Response body.
    pub body: String,
}

/// Number of requests by result.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseCounts {
    /// Responses with status 200 whose body matches the request.
    pub correct: u64,
    /// Responses with status 200 whose body doesn't match the request.
    pub wrong: u64,
    /// Requests without a complete response, because the connection failed or a time
    /// limit passed.
    pub disconnected: u64,
    /// Refusals with the outcome `not-run`.
    pub refused: u64,
    /// All other responses, such as those with the outcome `unknown`.
    pub unknown: u64,
}

impl ResponseCounts {
    /// Counts a response; `matches_request` tells whether its body belongs to the request.
    pub fn count(&mut self, response: Option<&ReceivedResponse>, matches_request: bool) {
        match response {
            None => self.disconnected += 1,
            Some(a) if a.status == 200 && matches_request => self.correct += 1,
            Some(a) if a.status == 200 => self.wrong += 1,
            Some(a) if a.outcome == "not-run" => self.refused += 1,
            Some(_) => self.unknown += 1,
        }
    }
}

/// A caller that authenticates with an API key.
pub struct Caller {
    key: String,
    entries: Vec<SocketAddr>,
    listed_at: Option<Instant>,
    list_ttl: Duration,
    connection: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

impl Caller {
    /// Creates a caller that fetches the entry list from one of `entries`.
    pub fn new(key: &str, entries: Vec<SocketAddr>) -> Caller {
        let list_ttl = Duration::ZERO;
        Caller {
            key: key.to_owned(),
            entries,
            listed_at: None,
            list_ttl,
            connection: None,
        }
    }

    /// Sends a request to an entry of the list, on the open connection if its entry is
    /// still listed.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<ReceivedResponse> {
        self.refresh_entries().await;
        let address = match &self.connection {
            Some((address, _)) if self.entries.contains(address) => *address,
            _ => *self.entries.choose(&mut rand::rng())?,
        };
        self.send_to(address, method, path, body).await
    }

    /// Sends a request to the entry at `address`.
    pub async fn send_to(
        &mut self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<ReceivedResponse> {
        loop {
            let is_new =
                !matches!(&self.connection, Some((a, s)) if *a == address && !s.is_closed());
            if is_new {
                self.connection = Some((address, connect(address).await?));
            }
            let (_, sender) = self.connection.as_mut()?;
            let request = Request::builder()
                .method(method.clone())
                .uri(path)
                .header("host", "pomelovale.example")
                .header("authorization", format!("Bearer {}", self.key))
                .body(Full::new(Bytes::from(body.to_owned())))
                .ok()?;
            // A request that was not written to a reused connection is sent again on a new
            // one.
            let unsent = match sender.ready().await {
                Err(_) => true,
                Ok(()) => match timeout(RESPONSE_TIMEOUT, sender.send_request(request))
                    .await
                    .ok()?
                {
                    Ok(response) => return read_response(response).await,
                    Err(e) => e.is_canceled(),
                },
            };
            self.connection = None;
            if is_new || !unsent {
                return None;
            }
        }
    }

    async fn refresh_entries(&mut self) {
        if self
            .listed_at
            .is_some_and(|at| at.elapsed() < self.list_ttl)
        {
            return;
        }
        for address in self.entries.clone() {
            let mut list_caller = Caller::new("", Vec::new());
            let path = "/.pomelovale/entries";
            let response = Box::pin(list_caller.send_to(address, Method::GET, path, "")).await;
            let list = response.and_then(|a| serde_json::from_str::<Value>(&a.body).ok());
            let Some(list) = list else {
                continue;
            };
            let rows = list["entries"].as_array().into_iter().flatten();
            let found: Vec<SocketAddr> = rows
                .filter_map(|e| e["address"].as_str()?.parse().ok())
                .collect();
            if !found.is_empty() {
                self.entries = found;
                self.listed_at = Some(Instant::now());
                self.list_ttl = Duration::from_millis(list["ttl_ms"].as_u64().unwrap_or(1_000));
                return;
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

async fn read_response(
    response: http::Response<hyper::body::Incoming>,
) -> Option<ReceivedResponse> {
    let (parts, body) = response.into_parts();
    let body = timeout(RESPONSE_TIMEOUT, body.collect()).await.ok()?.ok()?;
    let outcome = parts
        .headers
        .get("pomelovale-outcome")
        .and_then(|v| v.to_str().ok());
    Some(ReceivedResponse {
        status: parts.status.as_u16(),
        outcome: outcome.unwrap_or("").to_owned(),
        body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    })
}
