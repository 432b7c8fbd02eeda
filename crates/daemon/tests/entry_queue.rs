//! Requests that wait in an admission queue while the servers of their service go.

mod entry_support;

use std::time::{Duration, Instant};

use entry_support::{keyed, setup, until, Caller, Server, ServerAction};
use pomelovale_state::command::Command;
use tokio::task::JoinSet;
use tokio::time::sleep;

const REQUESTS: usize = 60;
/// Time within which a request must be refused that no server can run.
const AT_ONCE: Duration = Duration::from_millis(400);

/// Guards against requests that wait on although the last server of their service is gone.
#[tokio::test]
async fn waiting_requests_are_refused_once_no_server_is_left() {
    let server = Server::start(|_, _| ServerAction::Silent).await;
    let control = setup(&[&server]);
    control.run_clock();
    let entry = control.entry(|c| c.queue_ms = 10_000).await;
    let address = entry.address();
    let mut callers = JoinSet::new();
    for n in 0..REQUESTS {
        callers.spawn(async move {
            let mut caller = Caller::connect(address).await;
            let request = keyed("POST", &format!("/catalogue/{n}"), "", "b");
            let answer = caller.round_trip(&request).await.expect("a response");
            (answer.status, Instant::now())
        });
    }
    until(|| !server.requests().is_empty()).await;
    sleep(Duration::from_millis(300)).await;
    let waiting = REQUESTS - server.requests().len();
    assert!(waiting > 0);
    control.apply(Command::RemoveBackend("b0".into()));
    let gone = Instant::now();
    let answers = callers.join_all().await;
    let refused = answers.iter().filter(|(status, _)| *status == 503);
    let spent: Vec<Duration> = refused.map(|(_, at)| at.duration_since(gone)).collect();
    assert_eq!(spent.len(), waiting, "{answers:?}");
    assert!(spent.iter().all(|s| *s < AT_ONCE), "{spent:?}");
}
