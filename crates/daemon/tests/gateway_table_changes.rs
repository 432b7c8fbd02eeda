//! Requests in flight while a new routing table drops their route, service or server, or
//! drops it and brings it back.

mod entry_support;
mod gateway_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry_support::{until, Caller, Server, ServerAction};
use gateway_support::{document, keyed, peers, request, response, site, Site, KEY};
use pomelovale_state::document::Document;
use pomelovale_state::routing::Routing;
use tokio::time::sleep;

/// Time that the server of a request takes.
const RUN_MS: u64 = 700;
const AT_ONCE: Duration = Duration::from_millis(400);
const SHED: &str = "pomelovale-shed: not-run\r\n";

fn edited(document: &Document, version: u64, edit: impl FnOnce(&mut Routing)) -> Document {
    let mut routing = document.routing.as_deref().cloned().unwrap();
    routing.version = version;
    edit(&mut routing);
    Document {
        version,
        routing: Some(Arc::new(routing)),
        ..document.clone()
    }
}

fn without_service(document: &Document, version: u64) -> Document {
    let mut document = edited(document, version, |routing| {
        routing.services.clear();
        routing.hosts.clear();
    });
    document.backends.clear();
    document
}

fn without_servers(document: &Document, version: u64) -> Document {
    let mut document = edited(document, version, |_| {});
    document.backends.clear();
    document
}

fn without_keys(document: &Document, version: u64) -> Document {
    edited(document, version, |routing| {
        routing.keys.clear();
        routing.workspaces.clear();
    })
}

async fn slow_server(action: ServerAction) -> Server {
    let ServerAction::Write(bytes) = action else {
        panic!("only a response can be delayed");
    };
    Server::start(move |_, _| ServerAction::WriteAfter(RUN_MS, bytes.clone())).await
}

fn fine() -> ServerAction {
    response("200 OK", "pomelovale-proof: p\r\n", "fine")
}

type Edit = fn(&Document, u64) -> Document;

/// Changes the table in the midst of a request, once or twice, and returns the status of
/// the response, and the time from the end of the server's part to it.
async fn status_beside(
    sites: &[Site],
    before: &Document,
    edits: &[Edit],
    server: &Server,
    request: &str,
) -> (u16, Duration) {
    let mut caller = Caller::connect(sites[0].gateway.address()).await;
    let start = Instant::now();
    caller.write(request).await;
    until(|| !server.requests().is_empty()).await;
    for (n, edit) in edits.iter().enumerate() {
        let document = edit(before, before.version + 1 + n as u64);
        sites.iter().for_each(|site| site.show(document.clone()));
        // Longer than a step of the maintenance.
        sleep(Duration::from_millis(250)).await;
    }
    let answer = caller.read().await.expect("a response");
    let late = start
        .elapsed()
        .saturating_sub(Duration::from_millis(RUN_MS));
    (answer.status, late)
}

fn unchanged(document: &Document, version: u64) -> Document {
    edited(document, version, |_| {})
}

macro_rules! changes {
    ($($(#[$doc:meta])* $name:ident($($edit:expr),+);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let server = slow_server(fine()).await;
            let before = document(&[&server]);
            let site = site(Some(before.clone())).await;
            let request = keyed("POST", "/once/x");
            let (status, late) = status_beside(
                &[site], &before, &[$($edit),+], &server, &request,
            ).await;
            assert_eq!(status, 200);
            assert!(late < AT_ONCE, "{late:?}");
        })*
    };
}

changes! {
    /// Guards against losing a response because its service and route are dropped.
    response_arrives_after_its_service_was_dropped(without_service);
    /// Guards against losing a response because its service is dropped and brought back.
    response_arrives_after_its_service_came_back(without_service, unchanged);
    /// Guards against losing a response because its server leaves the list.
    response_arrives_after_its_server_was_dropped(without_servers);
    /// Guards against losing a response because the key of its caller is withdrawn.
    response_arrives_after_its_key_was_withdrawn(without_keys);
}

/// Guards against a request that is held, or counted as run, because its service is dropped
/// before it can be sent to another server.
#[tokio::test]
async fn retry_after_its_service_was_dropped_is_refused() {
    let server = slow_server(response("503 Service Unavailable", SHED, "")).await;
    let before = document(&[&server]);
    let site = site(Some(before.clone())).await;
    let request = keyed("GET", "/safe/x");
    let edits: [Edit; 1] = [without_service];
    let (status, late) = status_beside(&[site], &before, &edits, &server, &request).await;
    assert_eq!(status, 503);
    assert!(late < AT_ONCE, "{late:?}");
}

/// Guards against a coordinator that loses the requests of other gateways whose service is
/// dropped and brought back.
#[tokio::test]
async fn response_arrives_if_the_coordinator_drops_its_service() {
    let server = slow_server(fine()).await;
    let before = document(&[&server]);
    let sites = peers(2, before).await;
    let before = (*sites[1].view.document()).clone();
    let edits: [Edit; 2] = [without_service, unchanged];
    let placed = [&sites[1], &sites[0]];
    for site in placed {
        let mut caller = Caller::connect(site.gateway.address()).await;
        let seen = server.requests().len();
        caller.write(&keyed("POST", "/once/x")).await;
        until(|| server.requests().len() > seen).await;
        for edit in edits {
            let version = site.view.document().version + 1;
            let document = edit(&before, version);
            sites.iter().for_each(|s| s.show(document.clone()));
            sleep(Duration::from_millis(250)).await;
        }
        assert_eq!(caller.read().await.expect("a response").status, 200);
    }
}

/// Guards against a limit on heads that the gateway does not read, or reads only for new
/// connections, and against a refusal that ends the connection.
#[tokio::test]
async fn limit_on_heads_follows_the_table() {
    let server = Server::start(|_, _| fine()).await;
    let wide = document(&[&server]);
    let site = site(Some(wide.clone())).await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    let head = format!(
        "authorization: Bearer {KEY}\r\nx: {}\r\n",
        "y".repeat(2_000)
    );
    let large = request("GET", "/safe/x", &head);
    let mut status = async |request: &str| {
        let answer = caller.round_trip(request).await.expect("a response");
        (answer.status, answer.outcome())
    };
    assert_eq!(status(&large).await.0, 200);
    site.show(edited(&wide, 2, |routing| {
        routing.limits.head_bytes = 1_000
    }));
    let refused = (431, Some("not-run".to_owned()));
    assert_eq!(status(&large).await, refused);
    assert_eq!(status(&keyed("GET", "/safe/x")).await.0, 200);
    site.show(edited(&wide, 3, |_| {}));
    assert_eq!(status(&large).await.0, 200);
    assert_eq!(server.requests().len(), 3);
}
