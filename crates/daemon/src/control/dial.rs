//! Connections to control instances that are discovered at run time.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use pomelovale_state::{Millis, Name};
use pomelovale_transport::peer_client::{connect_once, PeerAddress};
use pomelovale_transport::peer_link::{PeerConfig, PeerEvent};
use tokio::task::JoinHandle;

/// Minimum time between two attempts of the instance with the smaller name of a
/// pair to connect to the other one, in milliseconds.
const RETRY_MS: u64 = 200;
/// Time in milliseconds that the instance with the larger name of a pair waits
/// for the other one to connect before each attempt of its own. The other one may
/// not know it yet.
const LARGER_NAME_DELAY_MS: u64 = 600;

#[derive(Debug, Default)]
struct Attempt {
    // Time of the last attempt, or when the connection was first found missing.
    since: Millis,
    session: Option<JoinHandle<bool>>,
}

/// Keeps one connection to each known control instance. The name of an instance
/// is its IP address, and all of them use the same port.
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

    /// Starts an attempt for each `known` instance that isn't connected and is
    /// due.
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
                    log::error!("the name of control instance {name} is not an IP address: {e}");
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
