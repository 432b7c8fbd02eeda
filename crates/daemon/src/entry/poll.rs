//! Load reports of backend servers, and the upkeep of idle connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use http::{header, Request};
use http_body_util::Full;
use pomelovale_state::document::MemberState;
use pomelovale_state::{Millis, Name};
use pomelovale_transport::backend::Connection;
use tokio::time::timeout;

use super::decide::LoadReport;
use super::Shared;

const PATH: &str = "/load";
const REPORT_MAX_BYTES: usize = 4_096;
const SWEEP_MS: u64 = 500;

/// Polls all backend servers until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let polls = shared.config.poll_ms > 0;
    let pause = if polls {
        shared.config.poll_ms
    } else {
        SWEEP_MS
    };
    loop {
        tokio::time::sleep(Millis(pause).duration()).await;
        let document = shared.view.document();
        let serving = document
            .backends
            .iter()
            .filter(|(_, b)| b.state == MemberState::Serving);
        let servers: Vec<(Name, SocketAddr)> =
            serving.map(|(name, b)| (name.clone(), b.address)).collect();
        let age = Millis(shared.config.idle_ms).duration();
        let in_use = |address: &SocketAddr| servers.iter().any(|(_, a)| a == address);
        shared.pool.sweep(age, &in_use);
        if polls {
            for (server, address) in servers {
                tokio::spawn(poll(shared.clone(), server, address));
            }
        }
    }
}

// The oldest idle connection is used, so that each report proves one more.
async fn poll(shared: Arc<Shared>, server: Name, address: SocketAddr) {
    let limit = Millis(shared.config.poll_ms).duration();
    let load = timeout(limit, fetch(&shared, address)).await.ok().flatten();
    let now = shared.clock.now();
    shared.decisions.report_load(now, &server, load);
}

async fn fetch(shared: &Shared, address: SocketAddr) -> Option<LoadReport> {
    let limit = Millis(shared.config.connect_ms).duration();
    let connection = match shared.pool.take_oldest(address) {
        Some(connection) => connection,
        None => Connection::open(address, limit).await.ok()?,
    };
    let request = Request::get(PATH)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let limit = Millis(shared.config.poll_ms).duration();
    let mut reply = connection.send(request, "", limit).await.ok()?;
    let mut body = BytesMut::new();
    loop {
        let part = std::future::poll_fn(|cx| match reply.body.poll_part(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(part) => Poll::Ready(part),
        });
        match part.await {
            None => break,
            Some(Ok(part)) if body.len() + part.len() <= REPORT_MAX_BYTES => {
                body.extend_from_slice(&part);
            }
            Some(_) => return None,
        }
    }
    if let Some(connection) = reply.body.finish() {
        shared.pool.put(address, connection);
    }
    serde_json::from_slice(&body).ok()
}
