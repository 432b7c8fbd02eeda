//! Verification and removal of API keys on the request path.

mod entry_support;

use std::sync::Arc;

use entry_support::{keyed, ok, setup, Caller, Server, KEY};
use pomelovale_coordination::view::View;
use pomelovale_state::command::Command;
use pomelovale_state::document::Document;
use pomelovale_state::Name;
use pomelovaled::entry::config::EntryConfig;
use pomelovaled::entry::Entry;

/// Credentials of basic authentication with the test key as the user name.
const KEY_BASE64: &str = "cGsuazEuc2VjcmV0LTE6";

macro_rules! cases {
    ($run:ident: $($(#[$doc:meta])* $name:ident => ($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() { $run($($arg),*).await })*
    };
}

/// Sends a request and checks the status, whether it reached a server, and that no
/// key did.
async fn check_request(request: &str, status: u16, runs: usize) {
    let server = Server::start(|_, _| ok("hello")).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    let got = caller.round_trip(request).await.unwrap();
    assert_eq!(
        (got.status, server.requests().len()),
        (status, runs),
        "{got:?}"
    );
    let outcome = (runs == 0).then(|| "not-run".to_owned());
    assert_eq!(got.outcome(), outcome);
    let seen = format!("{:?}", server.requests());
    assert!(!seen.contains("secret") && !seen.contains(KEY_BASE64));
    assert_eq!(request.contains("kept=1"), seen.contains("kept=1"));
    assert_eq!(request.contains("kept=2"), seen.contains("kept=2"));
}

fn without_bearer(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n{headers}\r\n")
}

cases! { check_request:
    /// Guards against refusing a valid bearer key.
    accepts_a_bearer_key => (&keyed("GET", "/catalogue/x", "", ""), 200, 1);
    /// Guards against refusing a valid key in `x-api-key`.
    accepts_an_api_key => (&without_bearer("/catalogue/x", &format!("x-api-key: {KEY}\r\n")), 200, 1);
    /// Guards against running a request without a key.
    refuses_no_key => (&without_bearer("/catalogue/x", ""), 401, 0);
    /// Guards against accepting a key with a known identifier and a wrong secret.
    refuses_a_wrong_secret => (&without_bearer("/catalogue/x", "x-api-key: pk.k1.wrong\r\n"), 401, 0);
    /// Guards against accepting an unknown key.
    refuses_an_unknown_key => (&without_bearer("/catalogue/x", "x-api-key: pk.k9.secret-1\r\n"), 401, 0);
    /// Guards against running a request with the keys of two workspaces for one of
    /// them.
    refuses_two_keys => (&keyed("GET", "/catalogue/x", "x-api-key: pk.k2.secret-2\r\n", ""), 401, 0);
    /// Guards against requiring a key on an open route.
    serves_an_open_route => (&without_bearer("/catalogue/public/x", ""), 200, 1);
    /// Guards against a key that reaches the servers of an open route.
    removes_the_key_on_open_routes => (&keyed("GET", "/catalogue/public/x", "", ""), 200, 1);
    /// Guards against a key that reaches a server in basic authentication.
    removes_other_schemes => (&without_bearer("/catalogue/public/x", &format!("authorization: Basic {KEY_BASE64}\r\n")), 200, 1);
    /// Guards against a prefix that matches a part of a path segment.
    prefix_matches_whole_segments => (&without_bearer("/catalogue/publicity", ""), 401, 0);
    /// Guards against serving a longer closed prefix below an open one without a key.
    prefers_the_longest_route => (&without_bearer("/catalogue/public/private/x", ""), 401, 0);
    /// Guards against a dot segment that leads from an open route to a closed one.
    refuses_dot_segments => (&without_bearer("/catalogue/public/../x", ""), 400, 0);
    /// Guards against an encoded dot segment that leads from an open route to a closed
    /// one.
    refuses_encoded_dots => (&without_bearer("/catalogue/public/%2e%2E/x", ""), 400, 0);
    /// Guards against an encoded slash that changes the route on the server.
    refuses_encoded_slashes => (&without_bearer("/catalogue/public/..%2fx", ""), 400, 0);
    /// Guards against a key in the path that reaches a server.
    refuses_a_key_in_the_path => (&without_bearer(&format!("/catalogue/public/{KEY}"), ""), 400, 0);
    /// Guards against a key in a query, plain or percent-encoded, that reaches a
    /// server.
    removes_keys_from_queries => (
        &keyed("GET", &format!("/catalogue/x?kept=1&k={KEY}&l=p%6b.k1%2Esecret-1&m=%2570k.k1.secret-1&kept=2"), "", ""), 200, 1,
    );
    /// Guards against a key in a cookie that reaches a server.
    removes_keys_from_cookies => (
        &keyed("GET", "/catalogue/x", &format!("cookie: kept=1; k={KEY}; kept=2\r\ncookie: c=\"{KEY}\"\r\n"), ""), 200, 1,
    );
    /// Guards against a key in another header that reaches a server.
    removes_keys_from_headers => (
        &keyed("GET", "/catalogue/x", &format!("referer: http://x/?k={KEY}\r\nbaggage: k={KEY}\r\ntracestate: a={KEY}\r\n"), ""), 200, 1,
    );
    /// Guards against a key in a trailer that reaches a server.
    removes_keys_from_trailers => (
        &format!("POST /catalogue/x HTTP/1.1\r\nhost: x\r\nx-api-key: {KEY}\r\ntrailer: x-api-key\r\n\
            transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\nx-api-key: {KEY}\r\n\r\n"), 200, 1,
    );
}

/// Guards against a key that still works after it was revoked between two requests
/// of a connection.
#[tokio::test]
async fn revoked_key_is_refused_on_open_connection() {
    let server = Server::start(|_, _| ok("hello")).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    let request = keyed("GET", "/catalogue/x", "", "");
    assert_eq!(caller.round_trip(&request).await.unwrap().status, 200);
    control.apply(Command::RevokeKey(Name::from("k1")));
    assert_eq!(caller.round_trip(&request).await.unwrap().status, 401);
    assert_eq!(server.requests().len(), 1);
}

/// Guards against a view without recent revocations that serves requests with keys,
/// or that stops serving open routes.
#[tokio::test]
async fn refuses_keys_when_the_view_is_old() {
    let server = Server::start(|_, _| ok("hello")).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    control.clock.advance(4_001);
    let got = caller
        .round_trip(&keyed("GET", "/catalogue/x", "", ""))
        .await
        .unwrap();
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (503, Some("not-run"))
    );
    let got = caller
        .round_trip(&without_bearer("/catalogue/public/x", ""))
        .await
        .unwrap();
    assert_eq!((got.status, server.requests().len()), (200, 1));
}

/// Guards against an entry that answers 404, as if services and routes had been
/// removed, before a control instance has proven its first document.
#[tokio::test]
async fn entry_without_a_proven_view_refuses_callers() {
    let control = setup(&[]);
    let view = Arc::new(View::default());
    let config = EntryConfig {
        instance: Name::from("e1"),
        poll_ms: 0,
        ..EntryConfig::default()
    };
    let started = Entry::start(
        config,
        view.clone(),
        control.handle.clone(),
        control.clock.clone(),
    );
    let entry = started.await.unwrap();
    let mut caller = Caller::connect(entry.address()).await;
    let request = without_bearer("/unknown/x", "");
    for _ in 0..2 {
        let got = caller.round_trip(&request).await.unwrap();
        assert_eq!(
            (got.status, got.outcome().as_deref()),
            (503, Some("not-run")),
            "{got:?}"
        );
        view.publish(Document {
            version: 1,
            ..Document::default()
        });
    }
    view.prove(control.clock.now());
    assert_eq!(caller.round_trip(&request).await.unwrap().status, 404);
}

/// Guards against a workspace within its rate that is told that it exceeded the
/// limit because the ledger did not reply.
#[tokio::test]
async fn unresponsive_ledger_is_not_an_exceeded_limit() {
    let server = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&server]);
    control
        .ignore_grants
        .store(true, std::sync::atomic::Ordering::SeqCst);
    control.run_clock();
    let entry = control.entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    let got = caller
        .round_trip(&keyed("GET", "/catalogue/x", "", ""))
        .await
        .unwrap();
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (503, Some("not-run")),
        "{got:?}"
    );
    assert!(got.body.contains("unavailable"), "{got:?}");
    assert!(server.requests().is_empty());
}
