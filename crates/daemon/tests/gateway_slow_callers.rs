//! Callers that read slowly.

mod entry_support;
mod gateway_support;

use std::sync::Arc;
use std::time::Duration;

use entry_support::{Caller, Server, ServerAction};
use gateway_support::{document, keyed, site};
use pomelovale_state::document::Document;
use tokio::time::sleep;

/// Size of a body that no socket buffer holds.
const BODY_BYTES: usize = 24 * 1024 * 1024;
/// Time for which the caller reads nothing.
const PAUSE: Duration = Duration::from_millis(4_000);

/// A table with timeouts that are longer than the pause.
fn patient(server: &Server) -> Document {
    let mut document = document(&[server]);
    document.version = 2;
    let mut routing = document.routing.as_deref().cloned().unwrap();
    let routes = routing.hosts.values_mut().flatten();
    routes.for_each(|route| route.timeout_ms = 20_000);
    document.routing = Some(Arc::new(routing));
    document
}

/// Guards against a response that is cut because its caller pauses while it reads.
#[tokio::test]
async fn caller_that_pauses_gets_the_whole_response() {
    let head = format!(
        "HTTP/1.1 200 OK\r\npomelovale-request: q1\r\npomelovale-proof: p\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    let mut response = head.into_bytes();
    response.resize(response.len() + BODY_BYTES, b'x');
    let server = Server::start(move |_, _| ServerAction::Write(response.clone())).await;
    let site = site(Some(patient(&server))).await;
    let mut caller = Caller::connect(site.gateway.address()).await;
    caller.write(&keyed("GET", "/safe/x")).await;
    sleep(PAUSE).await;
    let answer = caller.read().await.expect("a whole response");
    assert_eq!(answer.body.len(), BODY_BYTES);
}
