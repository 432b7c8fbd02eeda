//! The first start of control instances that find each other by their addresses.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use pomelovale_state::{Clock, Name};
use pomelovale_transport::peer_client::PeerAddress;
use pomelovaled::control::config::{ControlConfig, Joining};
use pomelovaled::control::{Control, ControlServer};

const IPS: [&str; 2] = ["127.0.0.81", "127.0.0.82"];
const TIMEOUT: Duration = Duration::from_secs(20);

fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind((IPS[0], 0)).unwrap();
    listener.local_addr().unwrap().port()
}

async fn start(i: usize, port: u16, founding: bool, folder: &Path) -> ControlServer {
    let address = |ip: &str| SocketAddr::new(ip.parse::<IpAddr>().unwrap(), port);
    let peers = IPS.iter().map(|ip| PeerAddress {
        name: Name::from(*ip),
        address: address(ip),
    });
    let config = ControlConfig {
        name: Name::from(IPS[i]),
        directory: folder.join(IPS[i]),
        listen: address(IPS[i]),
        peers: peers.collect(),
        joining: Joining::ByAddress {
            founding,
            voters: 3,
        },
        secret: serde_json::from_value("0123456789abcdef0123456789abcdef".into()).unwrap(),
        initial: Vec::new(),
        timings: Default::default(),
        limits: Default::default(),
        unnamed: Default::default(),
    };
    Control::start(config, Clock::monotonic()).await.unwrap()
}

async fn has_leader(servers: &[&ControlServer], limit: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if servers.iter().any(|s| s.status().role == "leader") {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Guards against a deployment that never starts, and answers 503 to every order, after the
/// process of a seed ended within its first seconds: only its first start is told that it is
/// the first one.
#[tokio::test]
async fn seed_that_ended_before_the_bootstrap_starts_again() {
    let (folder, port) = (tempfile::tempdir().unwrap(), free_port());
    let first = start(0, port, true, folder.path()).await;
    first.kill().await;
    let first = start(0, port, false, folder.path()).await;
    let second = start(1, port, true, folder.path()).await;
    assert!(has_leader(&[&first, &second], TIMEOUT).await);
    second.kill().await;
    first.kill().await;
}

/// A directory that was lost later is not of the first start, whatever others hold.
#[tokio::test]
async fn seed_that_lost_its_disk_does_not_bootstrap() {
    let (folder, port) = (tempfile::tempdir().unwrap(), free_port());
    let first = start(0, port, true, folder.path()).await;
    first.kill().await;
    std::fs::remove_dir_all(folder.path().join(IPS[0])).unwrap();
    let first = start(0, port, false, folder.path()).await;
    let second = start(1, port, true, folder.path()).await;
    assert!(!has_leader(&[&first, &second], Duration::from_secs(3)).await);
    second.kill().await;
    first.kill().await;
}
