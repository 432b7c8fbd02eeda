//! Pool of idle connections to backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::backend::Connection;

/// Idle connections by address, sorted by [`Connection::proven`]. The one that was
/// proven last is reused first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

/// Numbers of idle connections to an address.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IdleConnections {
    /// Those that are open.
    pub open: usize,
    /// Those that the server has closed since they were used or swept last.
    pub closed: usize,
}

impl Pool {
    /// Removes and returns an idle connection that was proven within `age`.
    pub fn take(&self, address: SocketAddr, age: Duration) -> Option<Connection> {
        loop {
            let mut connection = self.pop(address)?;
            match connection.proven().elapsed() <= age {
                true if connection.is_usable() => return Some(connection),
                true => drop(connection),
                // All other connections were proven before this one.
                false => {
                    self.put(address, connection);
                    return None;
                }
            }
        }
    }

    /// Removes and returns the idle connection that was proven least recently, to be
    /// probed.
    pub fn take_oldest(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let mut connection = {
                let mut idle = self.lock();
                let list = idle.get_mut(&address).filter(|l| !l.is_empty())?;
                list.remove(0)
            };
            if connection.is_usable() {
                return Some(connection);
            }
        }
    }

    /// Adds an idle connection.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        let list = idle.entry(address).or_default();
        let at = list.partition_point(|c| c.proven() <= connection.proven());
        list.insert(at, connection);
    }

    /// Closes connections that were last proven before `moment`. Called after another
    /// connection to the same address timed out.
    pub fn purge(&self, address: SocketAddr, moment: Instant) {
        let mut idle = self.lock();
        if let Some(list) = idle.get_mut(&address) {
            list.retain(|c| c.proven() >= moment);
        }
    }

    /// Closes connections that are idle for longer than `age`, that the server has
    /// closed, or whose address is no longer in use.
    pub fn sweep(&self, age: Duration, in_use: &dyn Fn(&SocketAddr) -> bool) {
        let mut idle = self.lock();
        idle.retain(|address, _| in_use(address));
        for list in idle.values_mut() {
            list.retain_mut(|c| c.proven().elapsed() <= age && c.is_usable());
        }
    }

    /// Number of idle connections to an address.
    pub fn count(&self, address: SocketAddr) -> usize {
        self.lock().get(&address).map_or(0, Vec::len)
    }

    /// Number of idle connections to an address that were proven within `age` and are open.
    pub fn count_within(&self, address: SocketAddr, age: Duration) -> usize {
        let mut idle = self.lock();
        let list = idle.get_mut(&address).into_iter().flatten();
        let reusable = |c: &mut Connection| c.proven().elapsed() <= age && c.is_usable();
        list.filter_map(|c| reusable(c).then_some(())).count()
    }

    /// Numbers of idle connections to an address, as they are at the moment.
    pub fn connections(&self, address: SocketAddr) -> IdleConnections {
        let mut idle = self.lock();
        let list = idle.get_mut(&address).into_iter().flatten();
        let mut numbers = IdleConnections::default();
        for connection in list {
            match connection.is_usable() {
                true => numbers.open += 1,
                false => numbers.closed += 1,
            }
        }
        numbers
    }

    fn pop(&self, address: SocketAddr) -> Option<Connection> {
        self.lock().get_mut(&address)?.pop()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
