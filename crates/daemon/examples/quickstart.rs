//! Runs a complete site in one process: caller traffic, a move between regions, the
//! revocation of a key, and a graceful stop of one instance.
//!
//! Prints a table of checks and exits with 1 if one of them fails.

use std::net::SocketAddr;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Method;
use pomelovale_state::command::Command;
use pomelovale_state::moves::Step;

#[path = "support/caller.rs"]
mod caller;
#[path = "support/site.rs"]
mod site;
mod support;

use caller::{Caller, ResponseCounts};
use site::{BoxError, Site, WORKSPACE_KEYS};

/// Pause of each caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Half the number of callers. All of them use the first workspace, because the key
/// of the second is revoked.
const CALLERS: usize = 6;
/// Share and cap of each step of the move, per mille.
const STEPS: [(u16, u16); 2] = [(300, 300), (600, 300)];

/// State shared by all callers.
#[derive(Default)]
struct CallerState {
    paused: AtomicBool,
    stopped: AtomicBool,
    next_request: AtomicU64,
    counts: Mutex<ResponseCounts>,
}

async fn run_caller(state: Arc<CallerState>, key: &'static str, entries: Vec<SocketAddr>) {
    let mut caller = Caller::new(key, entries);
    while !state.stopped.load(Ordering::Relaxed) {
        if state.paused.load(Ordering::Relaxed) {
            tokio::time::sleep(REQUEST_INTERVAL).await;
            continue;
        }
        let n = state.next_request.fetch_add(1, Ordering::Relaxed);
        let is_booking = n.is_multiple_of(5);
        let path = if is_booking {
            "/desk/bookings".to_owned()
        } else {
            format!("/shop/stock/{n}")
        };
        let body = if is_booking {
            format!("b{n}")
        } else {
            String::new()
        };
        let method = if is_booking {
            Method::POST
        } else {
            Method::GET
        };
        let response = caller.send(method, &path, &body).await;
        let matches_request = response.as_ref().is_some_and(|a| {
            a.body.contains(&format!("\"path\":\"{path}\""))
                && a.body.contains(&format!("\"echo\":\"{body}\""))
        });
        state
            .counts
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .count(response.as_ref(), matches_request);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Sends lookups through one entry; returns how many succeeded and how many
/// responses came from the south region. The other callers pause meanwhile, so that no other
/// requests come between the counted ones.
async fn count_moved_lookups(state: &CallerState, entry: SocketAddr, count: u64) -> (u64, u64) {
    state.paused.store(true, Ordering::Relaxed);
    tokio::time::sleep(4 * REQUEST_INTERVAL).await;
    let mut caller = Caller::new(WORKSPACE_KEYS[0].1, vec![entry]);
    let (mut answered, mut moved) = (0, 0);
    for n in 0..count {
        let path = format!("/shop/stock/sample-{n}");
        if let Some(response) = caller.send_to(entry, Method::GET, &path, "").await {
            answered += u64::from(response.status == 200);
            moved += u64::from(response.body.contains("shop-south"));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    state.paused.store(false, Ordering::Relaxed);
    (answered, moved)
}

async fn wait_until_serving(site: &Site) -> Result<(), BoxError> {
    for entry in site.entry_addresses() {
        let mut caller = Caller::new(WORKSPACE_KEYS[0].1, vec![entry]);
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            match caller
                .send_to(entry, Method::GET, "/shop/stock/first", "")
                .await
            {
                Some(response) if response.status == 200 => break,
                response if Instant::now() > end => {
                    return Err(format!(
                        "{entry} did not serve a request within 20 s; last response: {response:?}"
                    )
                    .into())
                }
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }
    Ok(())
}

async fn create_move(site: &Site) -> Result<(), BoxError> {
    let steps = STEPS
        .iter()
        .map(|&(share, cap)| Step { share, cap })
        .collect();
    let command = Command::PutMove {
        name: "weekend".into(),
        services: vec!["shop".into()],
        from: "north".into(),
        to: "south".into(),
        steps,
    };
    let (status, body) = site
        .operator
        .propose_command("create-move", command)
        .await?;
    match status {
        200 => Ok(()),
        _ => Err(format!("the move was refused: {body}").into()),
    }
}

/// Revokes the second workspace's key and returns the time from the operator's
/// response until every entry refuses the key.
async fn revoke_key(site: &Site) -> Result<Duration, BoxError> {
    let (workspace, key) = WORKSPACE_KEYS[1];
    let command = Command::RevokeKey(format!("{workspace}1").into());
    let (status, body) = site.operator.propose_command("revoke-key", command).await?;
    if status != 200 {
        return Err(format!("the revocation was refused: {body}").into());
    }
    let accepted = Instant::now();
    for entry in site.entry_addresses() {
        let mut caller = Caller::new(key, vec![entry]);
        while accepted.elapsed() < Duration::from_secs(10) {
            match caller
                .send_to(entry, Method::GET, "/shop/stock/revoked", "")
                .await
            {
                Some(response) if response.status == 401 => break,
                _ => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }
    Ok(accepted.elapsed())
}

struct CheckTable {
    failed: bool,
}

impl CheckTable {
    fn add(&mut self, what: &str, found: impl ToString, allowed: &str, passed: bool) {
        let verdict = if passed { "passed" } else { "FAILED" };
        println!(
            "{what:<44} {:>12}  {allowed:<18} {verdict}",
            found.to_string()
        );
        self.failed |= !passed;
    }
}

async fn run() -> Result<bool, BoxError> {
    let directory =
        std::env::temp_dir().join(format!("pomelovale-quickstart-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let mut site = Site::start(&directory).await?;
    wait_until_serving(&site).await?;
    println!(
        "three instances are serving; starting {} callers",
        2 * CALLERS
    );
    let state = Arc::new(CallerState::default());
    let mut callers = Vec::new();
    for (_, key) in WORKSPACE_KEYS {
        let count = if key == WORKSPACE_KEYS[1].1 {
            0
        } else {
            2 * CALLERS
        };
        callers
            .extend((0..count).map(|_| {
                tokio::spawn(run_caller(Arc::clone(&state), key, site.entry_addresses()))
            }));
    }
    create_move(&site).await?;
    let mut checks = CheckTable { failed: false };
    println!(
        "{:<44} {:>12}  {:<18} result",
        "check", "measured", "allowed"
    );
    for (share, cap) in STEPS {
        site.operator.apply_next_step("advance").await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        for entry in [site.entry_addresses()[0], site.entry_addresses()[1]] {
            let (answered, moved) = count_moved_lookups(&state, entry, 200).await;
            let allowed_count = answered * u64::from(share) / 1_000 + 1;
            let allowed = format!("at most {allowed_count} (cap {cap})");
            checks.add(
                &format!("lookups moved at a share of {share} per mille"),
                format!("{moved}/{answered}"),
                &allowed,
                moved <= allowed_count,
            );
        }
    }
    let refused_after = revoke_key(&site).await?;
    checks.add(
        "time until a revoked key is refused, ms",
        refused_after.as_millis(),
        "at most 5000",
        refused_after.as_millis() <= 5_000,
    );
    let before = *state.counts.lock().unwrap_or_else(|e| e.into_inner());
    let (name, node) = site.nodes.remove(1);
    site.operator.remove_listener(node.operators());
    node.stop().await;
    println!("stopped {name} gracefully under load");
    tokio::time::sleep(Duration::from_secs(1)).await;
    state.stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await?;
    }
    let counts = *state.counts.lock().unwrap_or_else(|e| e.into_inner());
    checks.add(
        "correct responses",
        counts.correct,
        "more than 0",
        counts.correct > before.correct,
    );
    checks.add("wrong responses", counts.wrong, "0", counts.wrong == 0);
    checks.add(
        "requests without a complete response",
        counts.disconnected,
        "0",
        counts.disconnected == 0,
    );
    checks.add(
        "responses with unknown outcome",
        counts.unknown,
        "0",
        counts.unknown == 0,
    );
    checks.add("requests refused", counts.refused, "0", counts.refused == 0);
    let repeated = site
        .record
        .booking_runs
        .lock()
        .map_err(|_| "a handler of a mock backend server panicked")?
        .values()
        .filter(|n| **n > 1)
        .count();
    checks.add("bookings run more than once", repeated, "0", repeated == 0);
    let with_key = site.record.requests_with_key.load(Ordering::Relaxed);
    checks.add(
        "requests that reached a server with a key",
        with_key,
        "0",
        with_key == 0,
    );
    for (_, node) in site.nodes {
        drop(node);
    }
    std::fs::remove_dir_all(&directory)?;
    Ok(!checks.failed)
}

#[tokio::main]
async fn main() {
    env_logger::init();
    match run().await {
        Ok(true) => println!("all checks passed"),
        Ok(false) => exit(1),
        Err(e) => {
            eprintln!("quickstart: {e}");
            exit(1);
        }
    }
}
