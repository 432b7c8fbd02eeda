//! Connections to control instances that are found while the process runs.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use pomelovale_state::{Millis, Name};
use pomelovale_transport::peer_client::{connect_once, PeerAddress};
use pomelovale_transport::peer_link::{PeerConfig, PeerEvent};
use tokio::task::JoinHandle;

/// Pause between two attempts to reach the same instance, in milliseconds.
const RETRY_MS: u64 = 200;
/// How long the larger name of a pair leaves it to the smaller one to connect,
/// in milliseconds. The smaller one may not know the larger one yet.
const LARGER_NAME_DELAY_MS: u64 = 600;

#[derive(Debug, Default)]
struct Attempt {
    // When the pair was first seen without a connection, or last tried.
    since: Millis,
    session: Option<JoinHandle<bool>>,
}

/// Keeps one connection to each known control instance. An instance is named
/// by its IP address; the port is the same on all of them.
#[derive(Debug)]
pub(super) struct Dialer {
    peering: PeerConfig,
    port: u16,
    events: flume::Sender<PeerEvent>,
    attempts: HashMap<Name, Attempt>,
}

impl Dialer {
    pub(super) fn new(peering: PeerConfig, port: u16, events: flume::Sender<PeerEvent>) -> Dialer {
        Dialer {
            peering,
            port,
            events,
            attempts: HashMap::new(),
        }
    }

    /// Connects to those of the `known` instances that have no connection.
    pub(super) fn dial<'a>(
        &mut self,
        now: Millis,
        known: impl Iterator<Item = &'a Name>,
        connected: impl Fn(&Name) -> bool,
    ) {
        for name in known.filter(|n| **n != self.peering.name) {
            if connected(name) {
                self.attempts.remove(name);
                continue;
            }
            let address = match name.parse::<IpAddr>() {
                Ok(ip) => SocketAddr::new(ip, self.port),
                Err(e) => {
                    log::error!("the control instance {name} is not named by its address: {e}");
                    continue;
                }
            };
            let attempt = self.attempts.entry(name.clone()).or_insert(Attempt {
                since: now,
                session: None,
            });
            let tried = attempt.session.as_ref();
            let pause = match tried {
                Some(session) if !session.is_finished() => continue,
                Some(_) if self.peering.name < *name => RETRY_MS,
                None if self.peering.name < *name => 0,
                Some(_) | None => LARGER_NAME_DELAY_MS,
            };
            if now.since(attempt.since) < pause {
                continue;
            }
            attempt.since = now;
            let (peering, events) = (self.peering.clone(), self.events.clone());
            let target = PeerAddress {
                name: name.clone(),
                address,
            };
            attempt.session = Some(tokio::spawn(async move {
                connect_once(&peering, &target, &events).await
            }));
        }
    }
}
