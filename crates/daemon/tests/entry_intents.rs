//! Requests with an idempotency key.

mod entry_support;

use entry_support::{
    keyed, ok, setup, until, Caller, Control, ReceivedResponse, Server, ServerAction,
};
use pomelovale_state::command::Command;
use pomelovaled::entry::EntryHandle;

async fn book(entry: &EntryHandle, key: &str, body: &str) -> ReceivedResponse {
    let mut caller = Caller::connect(entry.address()).await;
    let headers = format!("idempotency-key: {key}\r\n");
    let request = keyed("POST", "/catalogue/book", &headers, body);
    caller.round_trip(&request).await.unwrap()
}

fn ended(control: &Control) -> usize {
    let end = |c: &&Command| matches!(c, Command::EndIntent(_));
    control.proposed.lock().unwrap().iter().filter(end).count()
}

/// Guards against a repeat through another entry that runs again or gets another
/// response.
#[tokio::test]
async fn repeats_get_the_first_response() {
    let answer = |_: &_, n| ok(&format!("booking {n}"));
    let server = Server::start(answer).await;
    let control = setup(&[&server]);
    let (a, b) = (control.entry(|_| {}).await, control.entry(|_| {}).await);
    let first = book(&a, "k", "x").await;
    until(|| ended(&control) == 1).await;
    let second = book(&b, "k", "x").await;
    assert_eq!((first.status, first.body.as_str()), (200, "booking 0"));
    assert_eq!((second.status, second.body), (200, first.body));
    assert_eq!(book(&b, "other", "x").await.body, "booking 1");
}

/// Guards against one key for two different requests.
#[tokio::test]
async fn key_reuse_for_another_request_is_refused() {
    let server = Server::start(|_, _| ok("done")).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    book(&entry, "k", "x").await;
    until(|| ended(&control) == 1).await;
    let got = book(&entry, "k", "y").await;
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (422, Some("not-run"))
    );
    assert_eq!(server.requests().len(), 1);
}

/// Guards against running a repeat of a request whose outcome is unknown.
#[tokio::test]
async fn unknown_outcomes_stay_unknown() {
    let server = Server::start(|_, _| ServerAction::Close).await;
    let control = setup(&[&server]);
    let entry = control.entry(|_| {}).await;
    for _ in 0..2 {
        let got = book(&entry, "k", "x").await;
        assert_eq!(
            (got.status, got.outcome().as_deref()),
            (502, Some("unknown"))
        );
        until(|| ended(&control) == 1).await;
    }
    assert_eq!(server.requests().len(), 1);
}

/// Guards against a request that did not run and can never be repeated under its
/// key.
#[tokio::test]
async fn requests_that_did_not_run_free_their_key() {
    let control = setup(&[]);
    let entry = control.entry(|_| {}).await;
    let got = book(&entry, "k", "x").await;
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (503, Some("not-run"))
    );
    until(|| ended(&control) == 1).await;
    let server = Server::start(|_, _| ok("done")).await;
    control.add_server("late", server.address);
    assert_eq!(book(&entry, "k", "x").await.status, 200);
}

/// Guards against a duplicate that runs while the first request is in flight.
#[tokio::test]
async fn duplicates_in_flight_run_once() {
    let server =
        Server::start(|_, _| ServerAction::WriteAfter(100, entry_support::ok_bytes("done"))).await;
    let control = setup(&[&server]);
    let (a, b) = (control.entry(|_| {}).await, control.entry(|_| {}).await);
    let (first, second) = tokio::join!(book(&a, "k", "x"), async {
        until(|| server.requests().len() == 1).await;
        book(&b, "k", "x").await
    });
    assert_eq!((first.status, second.status), (200, 409));
    assert_eq!(second.outcome().as_deref(), Some("unknown"));
    assert_eq!(server.requests().len(), 1);
}

/// Guards against running a request that cannot be recorded, since no control
/// instance is reachable.
#[tokio::test]
async fn unrecorded_requests_do_not_run() {
    let server = Server::start(|_, _| ok("done")).await;
    let mut control = setup(&[&server]);
    let (lost, calls) = pomelovale_coordination::control::ControlHandle::new(64);
    control.handle = lost;
    let entry = control.entry(|c| c.control_ms = 50).await;
    let mut caller = Caller::connect(entry.address()).await;
    // An open route, since no rate-limit tokens are available either.
    let request = "POST /catalogue/public/x HTTP/1.1\r\nhost: x\r\nidempotency-key: k\r\n\r\n";
    let got = caller.round_trip(request).await.unwrap();
    assert_eq!(
        (got.status, got.outcome().as_deref()),
        (503, Some("not-run"))
    );
    assert_eq!(server.requests().len(), 0);
    drop(calls);
}
