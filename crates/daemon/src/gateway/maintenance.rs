//! Background work of a gateway: registration, reports, connections and probes.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use indexmap::IndexSet;
use pomelovale_protocol::report::{LimitReport, Report};
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::document::{Instance, MemberState};
use pomelovale_state::{Millis, Name};
use pomelovale_steering::region_assignment::STEP_MS;
use pomelovale_transport::http_server::TimeoutsHandle;

use super::{caller_timeouts, connections, probe, region_plan, Shared};
use crate::reach::State;

/// Age of the view beyond which this instance may have been replaced in the shares of
/// limited servers, in milliseconds: less than the time after which a silent one is.
const VIEW_MAX_AGE_MS: u64 = 4_000;
/// Pause before a failed registration is retried, in milliseconds.
const REGISTER_RETRY_MS: u64 = 400;

/// Registers this instance in the document, and retries until that succeeds.
pub(super) async fn register(shared: Arc<Shared>) {
    let config = &shared.config;
    let instance = Instance {
        callers: Some(shared.callers),
        peers: shared.peers,
        region: config.region.clone(),
        domain: config.domain.clone(),
        state: MemberState::Serving,
    };
    let command = Command::PutInstance {
        name: config.instance.clone(),
        instance,
    };
    let start: u64 = rand::random();
    for n in 0u64.. {
        let change = Change {
            request: Name::from(format!("register-{}-{start:x}-{n}", config.instance)),
            sender: config.instance.clone(),
            base: None,
            at: Millis(0),
            command: command.clone(),
        };
        match shared.control.propose(change).await {
            Ok(Applied::Accepted { version, .. }) => {
                tracing::info!(event = "register", instance = %config.instance, version);
                return;
            }
            other => {
                tracing::warn!(event = "register", instance = %config.instance, "registration failed, retrying: {other:?}");
                tokio::time::sleep(Millis(REGISTER_RETRY_MS).duration()).await;
            }
        }
    }
}

/// Sends reports and probes and maintains the connections to servers and
/// coordinators until the task is aborted.
pub(super) async fn run(shared: Arc<Shared>, timeouts: TimeoutsHandle) {
    let mut last_report = Millis(0);
    loop {
        tokio::time::sleep(Millis(STEP_MS).duration()).await;
        let (now, document) = (shared.clock.now(), shared.view.document());
        if let Some(routing) = &document.routing {
            timeouts.set(caller_timeouts::of(&routing.limits));
        }
        let mut due_probes = Vec::new();
        let mut is_paced = false;
        let mut suspended: IndexSet<Name> = IndexSet::new();
        let is_reached = shared.reach.state() == State::Reached;
        let age_ms = shared.view.age(now);
        let (known_at, is_isolated) = (now.minus(age_ms), age_ms > VIEW_MAX_AGE_MS);
        let planned = shared.config.region_planning;
        let distances = planned.then(|| shared.connections.distances().clone());
        shared.services.for_each(now, &document, |name, service| {
            if let Some(distances) = &distances {
                service.placement.set_distances(distances);
                region_plan::follow(&shared, name, service, now);
            }
            service.placement.set_view(now, known_at, is_isolated);
            service.placement.tick(now);
            is_paced |= service.placement.reports_pace(now);
            let found = service.placement.suspended_servers();
            suspended.extend(found.map(|(server, _)| server.clone()));
            if !is_reached {
                return;
            }
            for (server, address) in service.placement.due_probes(now) {
                due_probes.push((name.clone(), server, address, service.probe.clone()));
            }
        });
        if shared.config.needs_pace {
            shared.paced.store(is_paced, Ordering::Relaxed);
            let prefetch = shared.config.token_prefetch && is_paced;
            shared.quota.set_prefetching(prefetch);
        }
        shared.crashes.check_abandoned(|s| suspended.contains(s));
        if is_reached {
            connections::preconnect(&shared);
        }
        shared
            .coordinator_client
            .connect_wanted(&shared.services.coordinators(now));
        for (service, server, address, path) in due_probes {
            tokio::spawn(probe::run(shared.clone(), service, server, address, path));
        }
        if now.since(last_report) >= shared.config.report_ms {
            last_report = now;
            report(&shared);
            if planned {
                region_plan::report(&shared, now, &document);
            }
            let server_addresses = document.backends.values().map(|b| b.address);
            let server_addresses: IndexSet<SocketAddr> = server_addresses.collect();
            let age = Millis(shared.config.idle_ms).duration();
            shared
                .connections
                .pool
                .sweep(age, &|a| server_addresses.contains(a));
            shared.relays.sweep();
        }
    }
}

/// Follows whether this instance reaches the servers, until the task is aborted. What it
/// has met while it lost them says nothing about them.
pub(super) async fn follow_reach(shared: Arc<Shared>) {
    let mut state = State::Reached;
    loop {
        state = shared.reach.changed(state).await;
        let (now, document) = (shared.clock.now(), shared.view.document());
        shared.services.for_each(now, &document, |_, service| {
            service.placement.forget_failures();
        });
        if state == State::Reached {
            // Servers may have ended meanwhile.
            shared.crashes.check_abandoned(|_| true);
        }
        report(&shared);
    }
}

/// Sends a report to the leader: that this instance is alive, whether callers should use
/// others, and which servers it finds unreachable or recovered.
pub(super) fn report(shared: &Shared) {
    let document = shared.view.document();
    let now = shared.clock.now();
    let contact_ms = shared.reach.contact_ms();
    let (mut down, mut back, mut limits) = (Vec::new(), Vec::new(), Vec::new());
    shared.services.for_each(now, &document, |name, service| {
        let left = service.retry_budget.left() as f64;
        metrics::gauge!("gateway_retries_left", "service" => name.to_string()).set(left);
        let moves = service.placement.take_moves();
        metrics::counter!("gateway_displaced_total", "service" => name.to_string())
            .increment(moves.displaced);
        metrics::counter!("gateway_moves_total", "service" => name.to_string())
            .increment(moves.moved);
        let suspended = service.placement.suspended_servers();
        let confirmed = suspended.filter(|(_, at)| now.since(*at) >= contact_ms);
        down.extend(confirmed.map(|(server, _)| server.clone()));
        back.extend(service.placement.recovered(now));
        let notices = service.placement.limit_notices(now);
        limits.extend(notices.map(|(server, rate, age_ms)| LimitReport {
            server: server.clone(),
            rate,
            age_ms,
        }));
    });
    let view_ms = shared.view.age(shared.clock.now());
    metrics::gauge!("server_limits").set(document.limits.len() as f64);
    metrics::gauge!("document_version").set(document.version as f64);
    metrics::gauge!("view_age_ms").set(view_ms as f64);
    let list_ms = shared.view.list().age_ms(now);
    metrics::gauge!("server_list_age_ms").set(list_ms.map_or(f64::NAN, |ms| ms as f64));
    shared.control.report(Report {
        instance: shared.config.instance.clone(),
        version: document.version,
        view_ms,
        leaving: shared.leaving.load(Ordering::Relaxed) || shared.reach.state() != State::Reached,
        down,
        back,
        limits,
        services: Vec::new(),
        links: Vec::new(),
    });
}
