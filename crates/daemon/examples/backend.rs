//! Runs a mock backend server: `backend ADDRESS [SLOTS]`.
//!
//! On Ctrl-C it prints how many requests it served and whether a booking ran twice.

use std::net::SocketAddr;
use std::sync::Arc;

mod support;

use support::{BackendRecord, MockBackend};

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let address: SocketAddr = arguments
        .next()
        .ok_or("usage: backend ADDRESS [SLOTS]")?
        .parse()?;
    let slots: u32 = arguments.next().map_or(Ok(6), |s| s.parse())?;
    let record = Arc::new(BackendRecord::default());
    let (bound, backend) =
        MockBackend::start(&address.to_string(), address, slots, Arc::clone(&record)).await?;
    println!("listening on {bound} with {slots} slots");
    tokio::signal::ctrl_c().await?;
    let booking_runs = record
        .booking_runs
        .lock()
        .map_err(|_| "a request handler panicked")?;
    let repeated = booking_runs.values().filter(|n| **n > 1).count();
    let served = backend.served.load(std::sync::atomic::Ordering::Relaxed);
    println!(
        "requests served: {served}, bookings: {}, bookings run more than once: {repeated}",
        booking_runs.len()
    );
    Ok(())
}
