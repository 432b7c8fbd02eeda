//! Polling of backend servers for load, reports to the leader, and closing of
//! idle connections.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::{header, Request};
use http_body_util::Full;
use indexmap::IndexMap;
use pomelovale_state::document::MemberState;
use pomelovale_state::{Millis, Name};
use pomelovale_transport::backend::Connection;
use tokio::time::timeout;

use pomelovale_protocol::http::REQUEST;
use pomelovale_protocol::report::{LinkLoad, Report, ServiceLoad};

use super::steering::ServerLoad;
use super::{forward, Shared};
use crate::reach::State;

/// Path at which servers report their load.
pub(super) const PATH: &str = "/load";
/// Age of the view beyond which this instance may have been replaced in the shares of
/// limited servers, in milliseconds: less than the time after which a silent one is.
const VIEW_MAX_AGE_MS: u64 = 4_000;
const REPORT_MAX_BYTES: usize = 4_096;
const SWEEP_INTERVAL_MS: u64 = 500;
const QUEUE_CHECK_INTERVAL_MS: u64 = 20;

/// Closes idle connections, reports to the leader and polls the backend
/// servers in state `Serving`, until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let polling = shared.config.poll_ms > 0;
    let pause = if polling {
        shared.config.poll_ms
    } else {
        SWEEP_INTERVAL_MS
    };
    loop {
        tokio::time::sleep(Millis(pause).duration()).await;
        let document = shared.view.document();
        let serving = document
            .backends
            .iter()
            .filter(|(_, b)| b.state == MemberState::Serving);
        let servers: Vec<(Name, Name, SocketAddr)> = serving
            .map(|(name, b)| (b.service.clone(), name.clone(), b.address))
            .collect();
        let age = Millis(shared.config.idle_ms).duration();
        let in_use = |address: &SocketAddr| servers.iter().any(|(_, _, a)| a == address);
        shared.pool.sweep(age, &in_use);
        shared.relays.sweep();
        let age_ms = shared.view.age(shared.clock.now());
        shared.steering.set_view(age_ms, age_ms > VIEW_MAX_AGE_MS);
        report(&shared);
        if polling && shared.reach.state() == State::Reached {
            // Polls would use up the limit of a server.
            let unlimited = |s: &Name| !document.limits.contains_key(s);
            let wants = |a: SocketAddr| !shared.reach.is_resting(a);
            let polled = servers
                .into_iter()
                .filter(|s| unlimited(&s.1) && wants(s.2));
            for (service, server, address) in polled {
                tokio::spawn(poll(shared.clone(), service, server, address));
            }
        }
    }
}

/// Follows whether this instance reaches the servers, until the task is aborted. What it
/// has met while it lost them says nothing about them.
pub async fn follow_reach(shared: Arc<Shared>) {
    let mut state = State::Reached;
    loop {
        state = shared.reach.changed(state).await;
        shared.steering.forget_failures();
        if state == State::Reached {
            // Servers may have ended meanwhile.
            shared.crashes.check_abandoned(|_| true);
        }
        report(&shared);
    }
}

/// Sends this instance's measurements to the leader.
pub(super) fn report(shared: &Shared) {
    let services = shared.steering.measure();
    let (version, view_ms) = (
        shared.view.document().version,
        shared.view.age(shared.clock.now()),
    );
    metrics::gauge!("document_version").set(version as f64);
    metrics::gauge!("view_age_ms").set(view_ms as f64);
    let links = links(shared, &services);
    shared.control.report(Report {
        instance: shared.config.instance.clone(),
        version,
        view_ms,
        leaving: shared.leaving.load(Ordering::Relaxed) || shared.reach.state() != State::Reached,
        down: Vec::new(),
        back: Vec::new(),
        limits: shared.steering.limit_reports(),
        services,
        links,
    });
}

// Estimated from the request size that each service declares.
fn links(shared: &Shared, services: &[ServiceLoad]) -> Vec<LinkLoad> {
    let document = shared.view.document();
    let mut kbits: IndexMap<&Name, u64> = IndexMap::new();
    let home = &shared.config.region;
    for load in services.iter().filter(|l| l.region != *home) {
        let bytes = document.services.get(&load.service).map_or(0, |s| s.bytes);
        *kbits.entry(&load.region).or_default() += load.rate * bytes * 8 / 1_000;
    }
    let rows = kbits.into_iter().map(|(to, kbits)| LinkLoad {
        from: home.clone(),
        to: to.clone(),
        kbits,
    });
    rows.collect()
}

/// Refuses queued requests whose wait has expired, until the task is aborted.
pub async fn run_queue_timeouts(shared: &Shared) {
    loop {
        tokio::time::sleep(Millis(QUEUE_CHECK_INTERVAL_MS).duration()).await;
        shared.steering.refuse_expired();
    }
}

async fn poll(shared: Arc<Shared>, service: Name, server: Name, address: SocketAddr) {
    let limit = Millis(shared.config.poll_ms).duration();
    let at = shared.clock.now();
    if let Ok(Some((load, leaving))) = timeout(limit, fetch_load(&shared, address)).await {
        forward::record_leaving(&shared, &service, &server, leaving);
        shared.steering.report_load(at, &service, &server, load);
    }
}

// Also returns whether the server says that it leaves. Uses the oldest idle connection, so that each poll also confirms that one
// more connection is alive.
async fn fetch_load(shared: &Shared, address: SocketAddr) -> Option<(ServerLoad, bool)> {
    let limit = Millis(shared.config.connect_ms).duration();
    let connection = match shared.pool.take_oldest(address) {
        Some(connection) => connection,
        None => Connection::open(address, limit).await.ok()?,
    };
    let request = Request::get(PATH)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let opened = connection.is_fresh().then(|| connection.proven());
    let limit = Millis(shared.config.poll_ms).duration();
    let mut reply = connection.send(request, &REQUEST, b"", limit).await.ok()?;
    shared.crashes.record_reply(address, opened);
    let leaving = shared.header_names.says_leaving(&reply.parts.headers);
    let mut body = BytesMut::new();
    loop {
        let part = std::future::poll_fn(|cx| reply.body.poll_part(cx));
        match part.await {
            None => break,
            Some(Ok(part)) if body.len() + part.len() <= REPORT_MAX_BYTES => {
                body.extend_from_slice(&part);
            }
            Some(_) => return None,
        }
    }
    shared.pool.put(address, reply.body.finish());
    let load = serde_json::from_slice(&body).ok()?;
    Some((load, leaving))
}
