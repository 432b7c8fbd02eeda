//! Tests of the ways in which a caller's connection ends.

mod support;

use std::time::Duration;

use support::{answers, bodies, get, send, start_server, start_timed, Answer};
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

// The bodies of responses, and which of them announce the close.
fn outline(answers: &[Answer]) -> (Vec<&str>, Vec<bool>) {
    let closes = answers.iter().map(Answer::closes).collect();
    (answers.iter().map(|a| a.body.as_str()).collect(), closes)
}

/// Guards against a timeout that ends a connection while a pipelined request runs.
#[tokio::test]
async fn timeouts_spare_a_pipelined_request() {
    let (server, _) = start_timed(400).await;
    let mut stream = send(&server, &[get("/10/a"), get("/900/b")]).await;
    assert_eq!(bodies(&mut stream, 2).await, ["a", "b"]);
}

/// Guards against a timeout that ends a connection which is never idle.
#[tokio::test]
async fn timeouts_spare_continuous_pipelining() {
    let (server, _) = start_timed(400).await;
    let stream = send(&server, &[]).await;
    let (read, mut write) = stream.into_split();
    let sender = tokio::spawn(async move {
        for i in 0..30 {
            if write
                .write_all(get(&format!("/200/{i}")).as_bytes())
                .await
                .is_err()
            {
                break;
            }
            sleep(Duration::from_millis(60)).await;
        }
        write
    });
    let write = sender.await.unwrap();
    let mut stream = read.reunite(write).unwrap();
    let expected: Vec<String> = (0..30).map(|i| i.to_string()).collect();
    assert_eq!(bodies(&mut stream, 30).await, expected);
}

/// Guards against a response that closes the connection under requests that were
/// started behind it.
#[tokio::test]
async fn close_by_a_response_spares_started_requests() {
    let (server, _) = start_server().await;
    let requests = [get("/200/close"), get("/300/b"), get("/300/c")];
    let mut stream = send(&server, &requests).await;
    let got = answers(&mut stream, 4).await;
    assert_eq!(
        outline(&got),
        (vec!["close", "b", "c"], vec![false, false, true])
    );
}

/// Guards against a stop that ends a connection under pipelined requests while the
/// first request is in progress.
#[tokio::test]
async fn stop_spares_requests_behind_the_first() {
    let (server, _) = start_server().await;
    let requests = [get("/400/a"), get("/500/b"), get("/600/c")];
    let mut stream = send(&server, &requests).await;
    sleep(Duration::from_millis(100)).await;
    let stop = tokio::spawn(server.stop());
    let got = answers(&mut stream, 4).await;
    assert_eq!(
        outline(&got),
        (vec!["a", "b", "c"], vec![false, false, true])
    );
    stop.await.unwrap();
}
