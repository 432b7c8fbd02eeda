//! Backend servers that name a limit, behind several entries.

mod entry_support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use entry_support::{keyed, setup, Caller, Server, ServerAction};
use pomelovale_state::command::Command;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Requests a second that a limited server names.
const LIMIT: f64 = 3.9;
/// Window in which requests are counted, the factor by which they may exceed the limit,
/// and the requests tolerated on top of that.
const WINDOW: (Duration, f64, f64) = (Duration::from_secs(4), 1.5, 5.0);

/// Share of its limit that a server must get, if there are enough requests.
const USED: f64 = 0.8;

async fn start_server(named: &'static str) -> (Server, Arc<Mutex<Vec<Instant>>>) {
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let arrived = arrivals.clone();
    let server = Server::start(move |_, _| {
        arrived.lock().unwrap().push(Instant::now());
        let head = format!("HTTP/1.1 200 OK\r\n{named}content-length: 4\r\n\r\ndone");
        ServerAction::WriteAfter(10, head.into_bytes())
    });
    (server.await, arrivals)
}

/// Guards against an entry that ignores the limit of a server, and against entries that
/// each use the whole limit.
#[tokio::test]
async fn limited_server_gets_what_it_names_from_all_entries_together() {
    let (limited, arrivals) = start_server("pomelovale-limit: 3.9\r\n").await;
    let mut others = Vec::new();
    for _ in 0..3 {
        others.push(start_server("").await.0);
    }
    let all: Vec<&Server> = [&limited].into_iter().chain(&others).collect();
    let control = setup(&all);
    control.run_clock();
    let mut entries = Vec::new();
    for _ in 0..3 {
        entries.push(control.entry(|_| {}).await);
    }
    for (n, entry) in entries.iter().enumerate() {
        control.add_instance(&format!("e{}", n + 1), "north-a", entry.address().port());
    }
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for n in 0..12 {
        let address = entries[n % entries.len()].address();
        callers.spawn(async move {
            let mut served = 0;
            while start.elapsed() < WINDOW.0 * 2 {
                let mut caller = Caller::connect(address).await;
                let request = keyed("GET", &format!("/catalogue/{n}"), "", "");
                let answer = caller.round_trip(&request).await;
                served += usize::from(answer.is_some_and(|a| a.status == 200));
                sleep(Duration::from_millis(40)).await;
            }
            served
        });
    }
    sleep(Duration::from_millis(500)).await;
    // As the leader does once an entry has reported the limit.
    let recorded = vec![("b0".into(), Some((LIMIT * 1_000.0) as u64))];
    control.apply(Command::SetServerLimits(recorded));
    let told = Instant::now();
    let served: usize = callers.join_all().await.into_iter().sum();
    let arrivals = arrivals.lock().unwrap();
    let inside = |at: &&Instant| **at >= told && at.duration_since(told) < WINDOW.0;
    let count = arrivals.iter().filter(inside).count() as f64;
    let (window, factor, slack) = WINDOW;
    let limit = LIMIT * window.as_secs_f64();
    assert!(count <= limit * factor + slack, "{count} requests");
    assert!(count >= limit * USED, "{count} requests");
    assert!(served > 500, "{served} served");
}
