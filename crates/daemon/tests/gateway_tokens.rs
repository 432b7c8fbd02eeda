//! Gateways that obtain tokens of workspaces in advance.

mod entry_support;
mod gateway_support;

use std::sync::Arc;
use std::time::Duration;

use entry_support::Server;
use gateway_support::{document, keyed, proven, send_to, status, KEY};
use pomelovale_coordination::control::{ControlCall, ControlHandle};
use pomelovale_coordination::view::View;
use pomelovale_protocol::messages::TokenReply;
use pomelovale_state::document::Digest;
use pomelovale_state::{Clock, Millis};
use pomelovaled::gateway::config::GatewayConfig;
use pomelovaled::gateway::{Gateway, GatewayHandle};
use tokio::time::sleep;

/// Keys of workspaces whose tokens the control instance refuses or doesn't answer for.
const REFUSED_KEY: &str = "refused-key";
const SILENT_KEY: &str = "silent-key";
/// Time for which the control instance lets requests of the workspace `w` wait, in
/// milliseconds.
const TOKEN_DELAY_MS: u64 = 250;

async fn control(calls: flume::Receiver<ControlCall>) {
    while let Ok(call) = calls.recv_async().await {
        let ControlCall::Tokens(request, reply) = call else {
            continue;
        };
        tokio::spawn(async move {
            match request.workspace.as_str() {
                "silent" => sleep(Duration::from_secs(5)).await,
                "refused" => {
                    let refused = TokenReply::Refused {
                        retry_ms: 350,
                        is_over: true,
                    };
                    let _ = reply.send(Ok(refused));
                }
                _ => {
                    let _ = reply.send(Ok(TokenReply::Waiting));
                    sleep(Millis(TOKEN_DELAY_MS).duration()).await;
                    let granted = TokenReply::Granted {
                        count: request.count,
                        life_ms: 250,
                    };
                    let _ = reply.send(Ok(granted));
                }
            }
        });
    }
}

async fn gateway(server: &Server) -> GatewayHandle {
    let (handle, calls) = ControlHandle::new(1_024);
    tokio::spawn(control(calls));
    let mut document = document(&[server]);
    let routing = Arc::make_mut(document.routing.as_mut().unwrap());
    for (name, key) in [("refused", REFUSED_KEY), ("silent", SILENT_KEY)] {
        let workspace = routing.workspaces["w"].clone();
        routing.workspaces.insert(name.into(), workspace);
        routing.keys.insert(Digest::of_key(key), name.into());
        let limited = document.workspaces["w"].clone();
        document.workspaces.insert(name.into(), limited);
    }
    let view = Arc::new(View::default());
    let config = GatewayConfig {
        instance: "g".into(),
        region: "north".into(),
        domain: "north-a".into(),
        token_prefetch: true,
        ..GatewayConfig::default()
    };
    let gateway = Gateway::start(config, view.clone(), handle, Clock::monotonic()).await;
    view.publish(document);
    view.prove(Millis(0));
    gateway.expect("the gateway starts")
}

async fn get(gateway: &GatewayHandle, key: &str) -> String {
    let request = keyed("GET", "/safe/x").replace(KEY, key);
    send_to(gateway.address(), &request).await
}

/// Guards against a request that reaches a server before it is admitted.
#[tokio::test]
async fn request_waits_for_its_admission() {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let gateway = gateway(&server).await;
    let address = gateway.address();
    let sent = tokio::spawn(async move { send_to(address, &keyed("GET", "/safe/x")).await });
    sleep(Millis(TOKEN_DELAY_MS / 2).duration()).await;
    assert!(server.requests().is_empty());
    assert_eq!(status(&sent.await.unwrap()), 200);
    let answer = get(&gateway, REFUSED_KEY).await;
    assert_eq!(status(&answer), 429);
    let answer = answer.to_ascii_lowercase();
    assert!(answer.contains("retry-after: 0.350"), "{answer}");
    assert_eq!(server.requests().len(), 1);
}

/// Guards against a control instance whose silence about one workspace puts others on a
/// share of their limits, which admits one request at a time.
#[tokio::test]
async fn silence_about_a_workspace_leaves_the_others() {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    let gateway = gateway(&server).await;
    assert_eq!(status(&get(&gateway, SILENT_KEY).await), 200);
    // The share is used up.
    let answer = get(&gateway, SILENT_KEY).await;
    assert_eq!(status(&answer), 503, "{answer}");
    for n in 0..3 {
        let answer = get(&gateway, KEY).await;
        assert_eq!(status(&answer), 200, "request {n}: {answer}");
    }
}
