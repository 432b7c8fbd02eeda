//! Entries that are partitioned from all backend servers, while callers, control instances and
//! other entries still reach them.

mod entry_support;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use entry_support::way::{Way, Ways};
use entry_support::{header, keyed, ok_bytes, setup, Caller, Server, ServerAction};
use pomelovale_state::command::Command;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const ENTRIES: usize = 3;
const SERVERS: usize = 4;
/// The entry that is cut off.
const CUT: usize = 0;
/// Time from the start of a cut from which requests count, and its whole duration.
const CUT_TIME: (Duration, Duration) = (Duration::from_millis(1_500), Duration::from_secs(4));
/// Least share of first tries that are served.
const SERVED: f64 = 0.95;
/// Time that callers wait for an answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// When and where requests were sent, and their statuses.
type Tries = Arc<Mutex<Vec<(Instant, usize, u16)>>>;

async fn call(
    address: std::net::SocketAddr,
    entry: usize,
    caller: usize,
    end: Instant,
    tries: Tries,
) {
    for n in 0.. {
        if Instant::now() >= end {
            return;
        }
        let id = format!("{entry}-{caller}-{n}");
        let request = match n % 3 {
            0 => keyed(
                "POST",
                &format!("/catalogue/b/{id}"),
                &format!("idempotency-key: {id}\r\n"),
                "hi",
            ),
            1 => keyed("POST", &format!("/catalogue/p/{id}"), "", "hi"),
            _ => keyed("GET", &format!("/catalogue/l/{id}"), "", ""),
        };
        let at = Instant::now();
        let mut caller = Caller::connect(address).await;
        let answer = timeout(PATIENCE, caller.round_trip(&request)).await;
        let status = answer.ok().flatten().map_or(0, |a| a.status);
        tries.lock().unwrap().push((at, entry, status));
        sleep(Duration::from_millis(20)).await;
    }
}

async fn cut_off(way: Way) {
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        let script = |_: &_, _| ServerAction::WriteAfter(10, ok_bytes("done"));
        servers.push(Server::start(script).await);
    }
    let control = setup(&servers.iter().collect::<Vec<_>>());
    control.run_clock();
    let prove = control.prover();
    tokio::spawn(async move {
        loop {
            prove();
            sleep(Duration::from_millis(100)).await;
        }
    });
    let (mut ways, mut entries) = (Vec::new(), Vec::new());
    for n in 0..ENTRIES {
        let way = Ways::start(servers.iter().map(|s| s.address)).await;
        let entry = control.entry_behind(way.addresses.clone(), |_| {}).await;
        control.add_instance(&format!("e{}", n + 1), "north-a", entry.address().port());
        ways.push(way);
        entries.push(entry);
    }
    let tries = Tries::default();
    let mut callers = JoinSet::new();
    let start = Instant::now() + Duration::from_millis(500);
    for (n, entry) in entries.iter().enumerate() {
        for caller in 0..4 {
            callers.spawn(call(
                entry.address(),
                n,
                caller,
                start + CUT_TIME.1,
                tries.clone(),
            ));
        }
    }
    sleep(Duration::from_millis(500)).await;
    ways[CUT].set(way);
    while callers.join_next().await.is_some() {}

    let share = |entry: &dyn Fn(usize) -> bool| {
        let tries = tries.lock().unwrap();
        let inside = tries
            .iter()
            .filter(|(at, n, _)| *at >= start + CUT_TIME.0 && entry(*n));
        let (all, served) = inside.fold((0, 0), |(all, served), (_, _, status)| {
            (all + 1, served + usize::from(*status == 200))
        });
        f64::from(served as u32) / f64::from(all.max(1))
    };
    let (cut, others) = (share(&|n| n == CUT), share(&|n| n != CUT));
    assert!(
        cut >= SERVED && others >= SERVED,
        "cut off {cut}, others {others}: {:?}",
        tries
            .lock()
            .unwrap()
            .iter()
            .filter(|t| t.2 != 200)
            .collect::<Vec<_>>()
    );
    let proposed = control.proposed.lock().unwrap();
    let crashes = proposed
        .iter()
        .filter(|c| matches!(c, Command::RecordCrash { .. }));
    assert_eq!(crashes.count(), 0);
    let mut runs: HashMap<String, usize> = HashMap::new();
    for seen in servers.iter().flat_map(Server::requests) {
        if seen.head.starts_with("POST") {
            *runs
                .entry(seen.head.lines().next().unwrap().to_owned())
                .or_default() += 1;
        }
        assert_eq!(header(&seen.head, "pomelovale-relay"), None);
    }
    runs.retain(|_, n| *n > 1);
    assert!(runs.is_empty(), "{runs:?}");
}

macro_rules! partitions {
    ($($(#[$doc:meta])* $name:ident($way:expr);)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread", worker_threads = 2)] async fn $name() {
            cut_off($way).await;
        })*
    };
}

partitions! {
    /// Guards against an entry that refuses all requests while its connections are reset.
    callers_of_an_entry_with_reset_connections_are_served(Way::Resets);
    /// Guards against an entry that holds all requests while its connections hang.
    callers_of_an_entry_with_hanging_connections_are_served(Way::Hangs);
    /// Guards against an entry that refuses all requests while no new connection is accepted.
    callers_of_an_entry_with_refused_connections_are_served(Way::RefusesNew);
}
