//! Gateways whose process stands still for a while, as it does once it has used up its
//! processor time.

mod entry_support;
mod gateway_support;

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use entry_support::Server;
use gateway_support::{document, keyed, peers, proven, send_to, status};
use metrics_exporter_prometheus::PrometheusBuilder;
use pomelovale_coordination::control::{ControlCall, ControlHandle};
use pomelovale_coordination::view::View;
use pomelovale_protocol::messages::Admitted;
use pomelovale_state::{Clock, Millis};
use pomelovaled::gateway::config::GatewayConfig;
use pomelovaled::gateway::Gateway;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Number of requests that are in progress during a stall.
const CALLERS: usize = 6;

/// Starts a thread that returns each byte it receives.
fn start_responder() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut byte = [0];
        while stream.read_exact(&mut byte).is_ok() {
            thread::sleep(Duration::from_millis(30));
            stream.write_all(&byte).unwrap();
        }
    });
    address
}

/// Counts the admissions and grants each after a reply from the responder, which passes
/// through two tasks as the messages of a control instance do.
async fn control(asked: Arc<AtomicUsize>) -> ControlHandle {
    let (handle, calls) = ControlHandle::new(1_024);
    let stream = TcpStream::connect(start_responder()).await.unwrap();
    let (mut input, mut output) = stream.into_split();
    let (messages, received) = flume::unbounded();
    tokio::spawn(async move {
        while let Ok(byte) = input.read_u8().await {
            messages.send(byte).unwrap();
        }
    });
    tokio::spawn(async move {
        let mut open = VecDeque::new();
        loop {
            tokio::select! {
                call = calls.recv_async() => match call {
                    Ok(ControlCall::Admit(_, reply)) => {
                        open.push_back(reply);
                        output.write_u8(0).await.unwrap();
                        asked.fetch_add(1, Ordering::SeqCst);
                    }
                    Ok(_) => {}
                    Err(_) => return,
                },
                Ok(_) = received.recv_async() => {
                    let reply: flume::Sender<_> = open.pop_front().unwrap();
                    let _ = reply.send(Ok(Admitted::Granted));
                }
            }
        }
    });
    handle
}

/// Guards against a request that is refused within the rate of its workspace, since the
/// reply of the control instance is still in the socket when the timeout is noticed.
#[tokio::test]
async fn requests_within_their_rate_are_admitted_after_a_stall() {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let view = Arc::new(View::default());
    let config = GatewayConfig {
        instance: "g".into(),
        region: "north".into(),
        domain: "north-a".into(),
        ..GatewayConfig::default()
    };
    let asked = Arc::new(AtomicUsize::new(0));
    let control = control(asked.clone()).await;
    let gateway = Gateway::start(config, view.clone(), control, Clock::monotonic()).await;
    let gateway = gateway.expect("the gateway starts");
    view.publish(document(&[&server]));
    view.prove(Millis(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let address = gateway.address();
            tokio::spawn(async move { status(&send_to(address, &keyed("GET", "/safe/x")).await) })
        })
        .collect();
    while asked.load(Ordering::SeqCst) < CALLERS {
        sleep(Duration::from_millis(1)).await;
    }
    thread::sleep(Duration::from_millis(400));
    for caller in callers {
        assert_eq!(caller.await.unwrap(), 200);
    }
}

/// Guards against a coordinator that is taken to be down because the gateway that asks it
/// has stood still.
#[tokio::test]
async fn coordinator_is_asked_on_after_stalls() {
    let metrics = PrometheusBuilder::new().install_recorder().unwrap();
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let sites = peers(2, document(&[&server])).await;
    let address = sites[1].gateway.address();
    for _ in 0..CALLERS {
        tokio::spawn(async move {
            loop {
                send_to(address, &keyed("GET", "/safe/x")).await;
            }
        });
    }
    for _ in 0..20 {
        sleep(Duration::from_millis(20)).await;
        thread::sleep(Duration::from_millis(150));
    }
    sleep(Duration::from_millis(200)).await;
    let text = metrics.render();
    let count = |name: &str| {
        let mut values = text.lines().filter_map(|l| l.strip_prefix(name));
        values.next().map_or(0, |v| v.trim().parse().unwrap())
    };
    assert!(count("gateway_placed_for_others_total") > 0, "{text}");
    assert_eq!(count("gateway_coordinator_unanswered_total"), 0);
}
