//! Ways of one instance to the backend servers, which can be cut off for it alone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use pomelovale_state::document::Document;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Addresses at which an instance finds the servers, by their own.
pub type Addresses = HashMap<SocketAddr, SocketAddr>;

/// Pause before a port is bound again after that failed.
const BIND_RETRY: Duration = Duration::from_millis(5);

/// Replaces the addresses of servers in a document.
pub fn rewrite(mut document: Document, addresses: &Addresses) -> Document {
    for backend in document.backends.values_mut() {
        let address = addresses.get(&backend.address);
        backend.address = address.copied().unwrap_or(backend.address);
    }
    document
}

/// What happens to the connections of an instance to the servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    Open,
    /// Open and new connections are closed.
    Resets,
    /// Open connections live on, new ones are refused.
    RefusesNew,
    /// Nothing passes on open and new connections.
    Hangs,
}

/// The ways to all servers. They end when it is dropped.
pub struct Ways {
    state: watch::Sender<Way>,
    /// Address of each way, by the address of its server.
    pub addresses: Addresses,
    tasks: Vec<JoinHandle<()>>,
}

impl Ways {
    pub async fn start(servers: impl IntoIterator<Item = SocketAddr>) -> Ways {
        let (state, watched) = watch::channel(Way::Open);
        let (mut addresses, mut tasks) = (HashMap::new(), Vec::new());
        for server in servers {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            addresses.insert(server, listener.local_addr().unwrap());
            tasks.push(tokio::spawn(accept(listener, server, watched.clone())));
        }
        Ways {
            state,
            addresses,
            tasks,
        }
    }

    pub fn set(&self, way: Way) {
        self.state.send_replace(way);
    }
}

impl Drop for Ways {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, state: watch::Receiver<Way>) {
    let address = listener.local_addr().unwrap();
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    let (mut refusing, mut open) = (state.clone(), state.clone());
    loop {
        let Some(bound) = &listener else {
            if open.wait_for(|w| *w != Way::RefusesNew).await.is_err() {
                return;
            }
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                sleep(BIND_RETRY).await;
            }
            continue;
        };
        tokio::select! {
            accepted = bound.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(relay(stream, server, state.clone()));
            },
            refused = refusing.wait_for(|w| *w == Way::RefusesNew) => match refused {
                Ok(_) => drop(listener.take()),
                Err(_) => return,
            },
        }
    }
}

async fn relay(mut stream: TcpStream, server: SocketAddr, mut state: watch::Receiver<Way>) {
    if *state.borrow() == Way::Resets {
        return;
    }
    let Ok(mut far) = TcpStream::connect(server).await else {
        return;
    };
    loop {
        if state.wait_for(|w| *w != Way::Hangs).await.is_err() {
            return;
        }
        tokio::select! {
            _ = copy_bidirectional(&mut stream, &mut far) => return,
            changed = state.wait_for(|w| matches!(w, Way::Hangs | Way::Resets)) => match changed {
                Ok(way) if *way == Way::Hangs => {}
                Ok(_) | Err(_) => return,
            },
        }
    }
}
