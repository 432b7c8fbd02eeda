//! Ranking of the entry list, and the graceful stop.

mod entry_support;

use std::time::Duration;

use entry_support::{keyed, ok, ok_bytes, setup, until, Caller, Control, Server, ServerAction};
use pomelovale_state::blocks::BlockChange;
use pomelovale_state::command::Command;
use pomelovale_state::document::Site;
use pomelovale_state::Name;
use pomelovaled::entry::config::EntryConfig;
use pomelovaled::entry::EntryHandle;
use tokio::io::AsyncReadExt;
use tokio::time::{sleep, timeout};

/// Timeout of the service.
const SERVICE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time that a stop may take beyond that.
const STOP_SLACK: Duration = Duration::from_millis(3_000);

macro_rules! cases {
    ($run:ident: $($(#[$doc:meta])* $name:ident => ($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() { $run($($arg),*).await })*
    };
}

fn instances(control: &Control) {
    for (n, domain) in ["south-b", "south-a", "north-b", "north-a"]
        .iter()
        .enumerate()
    {
        control.add_instance(&format!("e{}", n + 1), domain, 4_000 + n as u16);
    }
    for domain in ["north-b", "south-a"] {
        control.apply(Command::PutSite {
            name: Name::from(format!("site-{domain}")),
            site: Site {
                region: Name::from(&domain[..5]),
                domain: Name::from(domain),
            },
        });
    }
    let row = |block: &str, site: &str| BlockChange {
        prefix: block.parse().unwrap(),
        site: Some(Name::from(site)),
    };
    control.apply(Command::ChangeBlocks(vec![
        row("10.0.0.0/8", "site-north-b"),
        row("10.9.0.0/16", "site-south-a"),
        row("127.0.0.0/8", "site-south-a"),
    ]));
}

async fn list(entry: &EntryHandle, query: &str) -> Vec<String> {
    let mut caller = Caller::connect(entry.address()).await;
    let request = format!("GET /.pomelovale/entries{query} HTTP/1.1\r\nhost: x\r\n\r\n");
    let got = caller.round_trip(&request).await.unwrap();
    let list: serde_json::Value = serde_json::from_str(&got.body).unwrap();
    let rows = list["entries"].as_array().unwrap().iter();
    rows.map(|r| r["failure_domain"].as_str().unwrap().to_owned())
        .collect()
}

/// Checks that the list for a caller starts with the instances of `region`.
async fn check_ranking(query: &str, region: &str) {
    let control = setup(&[]);
    instances(&control);
    let entry = control.entry(|_| {}).await;
    let list = list(&entry, query).await;
    assert_eq!(list.len(), 4);
    assert!(
        list[..2].iter().all(|domain| domain.starts_with(region)),
        "{list:?}"
    );
}

cases! { check_ranking:
    /// Guards against sending a caller to a distant region.
    by_block => ("?address=10.1.2.3", "north");
    /// Guards against a match of a shorter block instead of a longer one.
    by_longest_block => ("?address=10.9.2.3", "south");
    /// Guards against ignoring the address of the connection.
    by_connection => ("", "south");
}

/// Guards against a stopping instance that interrupts requests, refuses callers
/// that still use an old list, or stays in the list.
#[tokio::test]
async fn stops_gracefully() {
    let server = Server::start(|seen, _| match seen.head.contains("slow") {
        true => ServerAction::WriteAfter(300, ok_bytes("slow")),
        false => ok("done"),
    })
    .await;
    let control = setup(&[&server]);
    instances(&control);
    let leaving = control
        .entry(|c| (c.list_ms, c.spread_ms) = (100, 50))
        .await;
    let staying = control.entry(|_| {}).await;
    let address = leaving.address();
    let mut waiting = Caller::connect(address).await;
    let mut old = Caller::connect(address).await;
    waiting
        .write(&keyed("POST", "/catalogue/slow", "", "b"))
        .await;
    until(|| server.requests().len() == 1).await;
    let stopping = tokio::spawn(leaving.stop());
    let left = |c: &Command| matches!(c, Command::SetInstance { .. });
    until(|| control.proposed.lock().unwrap().iter().any(left)).await;
    assert!(!list(&staying, "").await.contains(&"south-b".to_owned()));
    let got = old
        .round_trip(&keyed("GET", "/catalogue/x", "", ""))
        .await
        .unwrap();
    assert_eq!(got.status, 200);
    assert!(got.head.contains("connection: close"));
    assert_eq!(waiting.read().await.unwrap().body, "slow");
    stopping.await.unwrap();
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}

/// Guards against a stop that does not wait for a booking whose caller has
/// disconnected.
#[tokio::test]
async fn stop_waits_for_requests_of_disconnected_callers() {
    let server = Server::start(|_, _| ServerAction::WriteAfter(300, ok_bytes("slow"))).await;
    let control = setup(&[&server]);
    let entry = control.entry(|c| (c.list_ms, c.spread_ms) = (1, 1)).await;
    let mut caller = Caller::connect(entry.address()).await;
    let headers = "idempotency-key: k\r\n";
    caller
        .write(&keyed("POST", "/catalogue/slow", headers, "b"))
        .await;
    until(|| server.requests().len() == 1).await;
    drop(caller);
    entry.stop().await;
    let ended = |c: &Command| matches!(c, Command::EndIntent(_));
    assert!(control.proposed.lock().unwrap().iter().any(ended));
}

/// Size of a body that no socket buffer holds.
const BODY_BYTES: usize = 24 * 1024 * 1024;

/// Guards against a stop that is held up by a caller which takes a little of its response
/// now and then.
#[tokio::test]
async fn stop_does_not_wait_for_a_caller_that_hardly_reads() {
    let response = ok_bytes(&"x".repeat(BODY_BYTES));
    let server = Server::start(move |_, _| ServerAction::Write(response.clone())).await;
    let control = setup(&[&server]);
    let edit = |c: &mut EntryConfig| (c.list_ms, c.spread_ms, c.unread_ms) = (1, 1, 300);
    let entry = control.entry(edit).await;
    let mut caller = Caller::connect(entry.address()).await;
    let request = keyed("GET", "/catalogue/x", "", "");
    caller.write(&request).await;
    let reading = tokio::spawn(async move {
        let mut buffer = [0; 64];
        while let Ok(1..) = caller.stream.read(&mut buffer).await {
            sleep(Duration::from_millis(50)).await;
        }
    });
    sleep(Duration::from_millis(300)).await;
    let stopped = timeout(SERVICE_TIMEOUT + STOP_SLACK, entry.stop()).await;
    stopped.expect("an end of the stop");
    reading.abort();
}
