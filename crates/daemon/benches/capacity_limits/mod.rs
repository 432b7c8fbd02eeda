//! Costs of the rate ledger and the limiter.

use std::hint::black_box;

use pomelovale_coordination::ledger::{Ledger, LedgerConfig, RateLimit};
use pomelovale_coordination::limiter::{Limiter, LimiterConfig};
use pomelovale_protocol::grants::{GrantRequest, WorkspaceDemand, TOKEN};
use pomelovale_state::{Millis, Name};

use crate::{min_micros, print_fit};

const ROUNDS: u64 = 20;
const ROUND_TRIP_MS: usize = 110;
const DECISIONS_PER_MS: usize = 100;

fn grant_request(entry: usize, seq: u64, workspaces: usize) -> GrantRequest {
    let demand_of = |w: usize| WorkspaceDemand {
        workspace: Name::from(format!("w{w}")),
        demand: TOKEN / 20,
        wanted: 2 * TOKEN,
        ..WorkspaceDemand::default()
    };
    GrantRequest {
        instance: Name::from(format!("e{entry}")),
        seq,
        epoch: 1,
        wants: (0..workspaces).map(demand_of).collect(),
    }
}

/// Returns the time in microseconds that the ledger takes for one row (one
/// workspace) of a grant request.
fn micros_per_row(entries: usize, workspaces: usize) -> f64 {
    let mut ledger = Ledger::new(LedgerConfig::new(1), Millis(0));
    let rate = RateLimit {
        per_second: 100_000,
        burst: 100_000,
    };
    for w in 0..workspaces {
        ledger.set_limit(&Name::from(format!("w{w}")), rate, Millis(0));
    }
    let requests: Vec<GrantRequest> = (0..ROUNDS)
        .flat_map(|seq| (0..entries).map(move |e| grant_request(e, seq + 1, workspaces)))
        .collect();
    let mut now = Millis(5_000);
    let elapsed_us = min_micros(1, || {
        for (i, request) in requests.iter().enumerate() {
            if i % entries == 0 {
                now = now.plus(250);
            }
            black_box(ledger.request(now, request));
        }
    });
    elapsed_us / (requests.len() * workspaces) as f64
}

/// Returns the time in nanoseconds of one admission decision, including the
/// limiter's share of the exchanges with the ledger.
fn nanos_per_decision(workspaces: usize) -> f64 {
    let names: Vec<Name> = (0..workspaces)
        .map(|w| Name::from(format!("w{w}")))
        .collect();
    let mut limiter = Limiter::new(LimiterConfig::new(Name::from("e")));
    let mut ledger = Ledger::new(LedgerConfig::new(1), Millis(0));
    let rate = RateLimit {
        per_second: 1_000_000,
        burst: 1_000_000,
    };
    for name in &names {
        ledger.set_limit(name, rate, Millis(0));
    }
    let decisions = 200_000;
    let elapsed_us = min_micros(1, || {
        for i in 0..decisions {
            let now = Millis((5_000 + i / DECISIONS_PER_MS) as u64);
            black_box(limiter.admit(now, &names[i * 7 % workspaces], 1));
            // The limiter exchanges one request and reply with the ledger per round trip.
            if i % (ROUND_TRIP_MS * DECISIONS_PER_MS) == 0 {
                if let Some(request) = limiter.next_request(now) {
                    limiter.receive(now, ledger.request(now, &request));
                }
            }
        }
    });
    elapsed_us * 1e3 / decisions as f64
}

pub fn measure() {
    let sizes = [12, 55, 110, 220, 440];
    let points = sizes.map(|n| (n as f64, micros_per_row(n, 8)));
    print_fit("ledger: row of a grant request, by entries", "us", &points);
    let points = [8, 32, 128].map(|n| (n as f64, micros_per_row(110, n)));
    print_fit(
        "ledger: row of a grant request, by workspaces",
        "us",
        &points,
    );
    let points = [8, 64, 512].map(|n| (n as f64, nanos_per_decision(n)));
    print_fit(
        "limiter: decision and exchanges, by workspaces",
        "ns",
        &points,
    );
    let config = bincode::config::standard();
    let points = [8, 32, 128].map(|n| {
        let bytes = bincode::serde::encode_to_vec(grant_request(1, 1, n), config).expect("encodes");
        (n as f64, bytes.len() as f64)
    });
    print_fit(
        "limiter: grant request size, by workspaces",
        "bytes",
        &points,
    );
}
