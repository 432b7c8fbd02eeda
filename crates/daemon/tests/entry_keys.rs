//! Key rules of the request path.

mod entry_support;

use entry_support::{keyed, ok, setup, Caller, Server, KEY};
use pomelovale_state::command::Command;
use pomelovale_state::Name;

/// The test key as the user name of basic authentication.
const KEY_BASE64: &str = "cGsuazEuc2VjcmV0LTE6";

macro_rules! cases {
    ($run:ident: $($(#[$doc:meta])* $name:ident => ($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() { $run($($arg),*).await })*
    };
}

/// Sends one request and checks the status, and whether it reached a server.
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
    /// A request with a valid key is refused.
    accepts_a_bearer_key => (&keyed("GET", "/catalogue/x", "", ""), 200, 1);
    /// A request with a valid key in the other header is refused.
    accepts_an_api_key => (&without_bearer("/catalogue/x", &format!("x-api-key: {KEY}\r\n")), 200, 1);
    /// A request without a key runs.
    refuses_no_key => (&without_bearer("/catalogue/x", ""), 401, 0);
    /// A key with the right identifier and a wrong secret runs.
    refuses_a_wrong_secret => (&without_bearer("/catalogue/x", "x-api-key: pk.k1.wrong\r\n"), 401, 0);
    /// An unknown key runs.
    refuses_an_unknown_key => (&without_bearer("/catalogue/x", "x-api-key: pk.k9.secret-1\r\n"), 401, 0);
    /// A request runs for one of two workspaces whose keys it carries.
    refuses_two_keys => (&keyed("GET", "/catalogue/x", "x-api-key: pk.k2.secret-2\r\n", ""), 401, 0);
    /// An open route asks for a key.
    serves_an_open_route => (&without_bearer("/catalogue/public/x", ""), 200, 1);
    /// The key of a caller reaches the servers of an open route.
    removes_the_key_on_open_routes => (&keyed("GET", "/catalogue/public/x", "", ""), 200, 1);
    /// The key reaches a server as the name of a user.
    removes_other_schemes => (&without_bearer("/catalogue/public/x", &format!("authorization: Basic {KEY_BASE64}\r\n")), 200, 1);
    /// A prefix matches in the middle of a segment.
    keeps_segments_apart => (&without_bearer("/catalogue/publicity", ""), 401, 0);
    /// A longer closed prefix below an open one is served without a key.
    prefers_the_longest_route => (&without_bearer("/catalogue/public/private/x", ""), 401, 0);
    /// A dot segment leads from an open route to a closed one.
    refuses_dot_segments => (&without_bearer("/catalogue/public/../x", ""), 400, 0);
    /// An encoded dot segment leads from an open route to a closed one.
    refuses_encoded_dots => (&without_bearer("/catalogue/public/%2e%2E/x", ""), 400, 0);
    /// An encoded slash changes the route on the server.
    refuses_encoded_slashes => (&without_bearer("/catalogue/public/..%2fx", ""), 400, 0);
    /// A key in the path reaches a server.
    refuses_a_key_in_the_path => (&without_bearer(&format!("/catalogue/public/{KEY}"), ""), 400, 0);
    /// A key in a query, plain or encoded, reaches a server.
    removes_keys_from_queries => (
        &keyed("GET", &format!("/catalogue/x?kept=1&k={KEY}&l=p%6b.k1%2Esecret-1&m=%2570k.k1.secret-1&kept=2"), "", ""), 200, 1,
    );
    /// A key in a cookie reaches a server.
    removes_keys_from_cookies => (
        &keyed("GET", "/catalogue/x", &format!("cookie: kept=1; k={KEY}; kept=2\r\ncookie: c=\"{KEY}\"\r\n"), ""), 200, 1,
    );
    /// A key in another header reaches a server.
    removes_keys_from_headers => (
        &keyed("GET", "/catalogue/x", &format!("referer: http://x/?k={KEY}\r\nbaggage: k={KEY}\r\ntracestate: a={KEY}\r\n"), ""), 200, 1,
    );
    /// A key in a trailer reaches a server.
    removes_keys_from_trailers => (
        &format!("POST /catalogue/x HTTP/1.1\r\nhost: x\r\nx-api-key: {KEY}\r\ntrailer: x-api-key\r\n\
            transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\nx-api-key: {KEY}\r\n\r\n"), 200, 1,
    );
}

/// A key revoked between two requests of one connection still works.
#[tokio::test]
async fn checks_every_request() {
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

/// A view that is cut off from revocations serves keyed requests, or stops
/// serving open routes.
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

/// A workspace within its rate is told that it exceeded the limit, although it
/// was the ledger that did not answer.
#[tokio::test]
async fn a_silent_ledger_is_not_an_exceeded_limit() {
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
