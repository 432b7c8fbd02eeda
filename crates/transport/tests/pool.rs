//! Tests of the pool of connections to backend servers.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

use pomelovale_transport::backend::Connection;
use pomelovale_transport::pool::Pool;
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(5);

/// Guards against a panic while the pool is locked after which every use of it panics.
#[tokio::test]
async fn pool_is_usable_after_a_panic() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Pool::default();
    pool.put(address, Connection::open(address, LIMIT).await.unwrap());
    let sweep = || pool.sweep(LIMIT, &|_| panic!("while locked"));
    assert!(catch_unwind(AssertUnwindSafe(sweep)).is_err());
    assert_eq!(pool.count(address), 1);
    assert!(pool.take(address, LIMIT).is_some());
}
