//! Backend servers that ask for rest or leave, behind an entry.

mod entry_support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use entry_support::{header, keyed, ok_bytes, setup, write_text, Caller, Server, ServerAction};
use pomelovaled::entry::EntryHandle;
use tokio::time::sleep;

/// Time within a rest from which a server gets nothing, and the requests tolerated.
const SETTLED: (Duration, usize) = (Duration::from_millis(500), 2);

struct Resting {
    server: Server,
    // Rest that it asks for, in seconds; 0 if it works.
    seconds: Arc<AtomicU64>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Resting {
    async fn start() -> Resting {
        let (seconds, arrivals) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(Mutex::new(Vec::new())),
        );
        let (asked, arrived) = (seconds.clone(), arrivals.clone());
        let server = Server::start(move |_, _| {
            arrived.lock().unwrap().push(Instant::now());
            match asked.load(Ordering::SeqCst) {
                0 => ServerAction::WriteAfter(5, ok_bytes("done")),
                seconds => write_text(&format!(
                    "HTTP/1.1 503 Service Unavailable\r\npomelovale-shed: not-run\r\nretry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
                )),
            }
        });
        Resting {
            server: server.await,
            seconds,
            arrivals,
        }
    }

    fn arrived_since(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| **at > since).count()
    }
}

async fn start(servers: &[Resting]) -> EntryHandle {
    let control = setup(&servers.iter().map(|s| &s.server).collect::<Vec<_>>());
    control.run_clock();
    let prove = control.prover();
    tokio::spawn(async move {
        loop {
            prove();
            sleep(Duration::from_millis(100)).await;
        }
    });
    control.entry(|_| {}).await
}

async fn send(entry: &EntryHandle, n: usize) -> (u16, String) {
    let mut caller = Caller::connect(entry.address()).await;
    let request = keyed("GET", &format!("/catalogue/{n}"), "", "");
    let answer = caller.round_trip(&request).await.unwrap();
    (answer.status, answer.head)
}

/// Guards against an entry that sends a resting server requests, or takes rest for a failure.
#[tokio::test]
async fn server_that_asks_an_entry_for_rest_gets_it() {
    let servers = [
        Resting::start().await,
        Resting::start().await,
        Resting::start().await,
    ];
    let entry = start(&servers).await;
    servers[0].seconds.store(2, Ordering::SeqCst);
    let begin = Instant::now();
    let mut n = 0;
    while servers[0].arrived_since(begin) == 0 {
        assert_eq!(send(&entry, n).await.0, 200);
        n += 1;
    }
    let told = Instant::now();
    while told.elapsed() < Duration::from_millis(1_900) {
        assert_eq!(send(&entry, n).await.0, 200);
        n += 1;
    }
    let late = servers[0].arrived_since(told + SETTLED.0);
    assert!(late <= SETTLED.1, "{late} requests in a rest");
    servers[0].seconds.store(0, Ordering::SeqCst);
    sleep(Duration::from_millis(200)).await;
    let over = Instant::now();
    while servers[0].arrived_since(over) == 0 {
        assert_eq!(send(&entry, n).await.0, 200);
        n += 1;
        assert!(
            over.elapsed() < Duration::from_secs(2),
            "the server is not used again"
        );
    }
}

/// Guards against an entry that tries or holds requests although all servers rest.
#[tokio::test]
async fn entry_refuses_at_once_with_the_earliest_end_if_all_servers_rest() {
    let servers = [Resting::start().await, Resting::start().await];
    let entry = start(&servers).await;
    servers[0].seconds.store(30, Ordering::SeqCst);
    servers[1].seconds.store(9, Ordering::SeqCst);
    let begin = Instant::now();
    for n in 0..4 {
        assert_eq!(send(&entry, n).await.0, 503);
    }
    assert!(servers.iter().all(|s| s.arrived_since(begin) == 1));
    let start = Instant::now();
    let (status, head) = send(&entry, 9).await;
    assert!(start.elapsed() < Duration::from_millis(100));
    let after: u64 = header(&head, "retry-after").unwrap().parse().unwrap();
    assert!(status == 503 && (8..=9).contains(&after), "{head}");
    assert!(servers.iter().all(|s| s.arrived_since(begin) == 1));
}

/// Guards against an entry that sends requests to a server that says that it leaves.
#[tokio::test]
async fn server_that_says_it_leaves_gets_no_requests_of_an_entry() {
    let leaving = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let says = leaving.clone();
    let server = Server::start(move |_, _| {
        let line = if says.load(Ordering::SeqCst) {
            "pomelovale-leaving: 1\r\n"
        } else {
            ""
        };
        write_text(&format!(
            "HTTP/1.1 200 OK\r\n{line}content-length: 4\r\n\r\ndone"
        ))
    })
    .await;
    let other = Server::start(|_, _| ok_bytes_after("done")).await;
    let control = setup(&[&server, &other]);
    control.run_clock();
    let prove = control.prover();
    tokio::spawn(async move {
        loop {
            prove();
            sleep(Duration::from_millis(100)).await;
        }
    });
    let entry = control.entry(|_| {}).await;
    for n in 0..10 {
        assert_eq!(send(&entry, n).await.0, 200);
    }
    leaving.store(true, Ordering::SeqCst);
    let before = server.requests().len();
    for n in 0..40 {
        assert_eq!(send(&entry, n).await.0, 200);
    }
    assert_eq!(server.requests().len(), before + 1);
}

fn ok_bytes_after(body: &str) -> ServerAction {
    ServerAction::WriteAfter(2, ok_bytes(body))
}
