//! Gateways that divide objects among regions by a plan.

mod entry_support;
mod gateway_support;

use std::sync::Arc;
use std::time::Duration;

use entry_support::Server;
use gateway_support::fleet::Fleet;
use gateway_support::{document, proven, request, send_to, status, KEY};
use pomelovale_state::document::{Backend, Document, Region};
use pomelovaled::gateway::config::GatewayConfig;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// A service with long objectives: the first server in the gateways' region, with a tenth of the
/// slots, the second one in another region.
fn two_regions(servers: &[&Server; 2]) -> Document {
    let mut document = document(servers);
    let domains = vec!["south-a".into()];
    document.regions.insert("south".into(), Region { domains });
    document.backends[1] = Backend {
        region: "south".into(),
        domain: "south-a".into(),
        slots: 54,
        ..document.backends[1].clone()
    };
    let mut routing = (**document.routing.as_ref().unwrap()).clone();
    let routes = routing.hosts.values_mut().flatten();
    routes.for_each(|r| r.objective_ms = 1_400);
    document.routing = Some(Arc::new(routing));
    document
}

fn config(region_planning: bool) -> GatewayConfig {
    GatewayConfig {
        region_planning,
        ..GatewayConfig::default()
    }
}

// Waits for a connection that stays unused. Gateways without requests also probe a server that
// they draw at random, to see that they have a way to the servers.
async fn accept_unused(listener: &TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let sent = timeout(Duration::from_millis(200), stream.read_u8()).await;
        if sent.is_err() {
            return;
        }
    }
}

/// Guards against requests to other regions that wait for a connection because their objective
/// is long, and against connections that are opened ahead where that isn't asked for.
#[tokio::test]
async fn connections_to_other_regions_are_opened_ahead() {
    let server = Server::start(|_, _| proven("200 OK", "fine")).await;
    for planned in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut document = two_regions(&[&server, &server]);
        document.backends[1].address = listener.local_addr().unwrap();
        let _fleet = Fleet::start_with(config(planned), 1, document).await;
        let opened = timeout(Duration::from_millis(1_500), accept_unused(&listener)).await;
        assert_eq!(opened.is_ok(), planned);
    }
}

/// Guards against a gateway without a plan, such as one beside control instances of the previous
/// build, that fails requests, or keeps them in a region with too few servers.
#[tokio::test]
async fn objects_are_divided_as_for_equal_demand_without_a_plan() {
    let [north, south] = [(); 2].map(|()| Server::start(|_, _| proven("200 OK", "fine")));
    let (north, south) = (north.await, south.await);
    let fleet = Fleet::start_with(config(true), 1, two_regions(&[&north, &south])).await;
    for n in 0..60 {
        let headers = format!("authorization: Bearer {KEY}\r\ncookie: pomelovale-object=o{n}\r\n");
        let lookup = request("GET", "/safe/x", &headers);
        let answer = send_to(fleet.gateways[0].address(), &lookup).await;
        assert_eq!(status(&answer), 200);
    }
    let south = south.seen.lock().unwrap().len();
    assert!(
        (38..=57).contains(&south),
        "{south} of 60 requests left, 48 expected"
    );
}
