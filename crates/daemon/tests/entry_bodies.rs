//! Requests that an entry refuses before it has read their bodies.

mod entry_support;

use std::time::Duration;

use entry_support::{header, keyed, ok, setup, Caller, Server, KEY};

fn post(path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\n{headers}content-length: 40000\r\n\r\n")
}

async fn check_next_request(headers: &str, path: &str, status: u16) {
    let server = Server::start(|_, _| ok("done")).await;
    let entry = setup(&[&server]).entry(|_| {}).await;
    let mut caller = Caller::connect(entry.address()).await;
    let half = "x".repeat(20_000);
    caller.write(&post(path, headers)).await;
    caller.write(&half).await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    caller.write(&half).await;
    let answer = caller.read().await.expect("a refusal");
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(header(&answer.head, "connection"), None);
    let next = caller
        .round_trip(&keyed("GET", "/catalogue/x", "", ""))
        .await;
    assert_eq!(next.expect("a response").status, 200);
}

/// Guards against a refusal without a key that ends the connection unannounced.
#[tokio::test]
async fn request_behind_one_without_key_is_served() {
    check_next_request("", "/catalogue/x", 401).await;
}

/// Guards against the same where no service matches.
#[tokio::test]
async fn request_behind_one_without_service_is_served() {
    let key = format!("x-api-key: {KEY}\r\n");
    check_next_request(&key, "/other/x", 404).await;
}
