//! Loads of servers that instances pass on to each other.

use std::net::SocketAddr;

use pomelovale_state::{Millis, Name};
use pomelovale_steering::load_exchange::{LoadTable, Origin, SharedLoad, LOADS_MAX};
use pomelovale_steering::placement::{LoadReport, Placement, ServerSpec, ServiceSpec};
use pomelovale_steering::region_assignment::hash_bytes;
use pomelovale_steering::server_limit::LimitShare;

const SERVERS: u64 = 30;
const GATEWAYS: u64 = 22;
/// Time between two messages, and between two answers of a server to one gateway, in
/// milliseconds.
const INTERVAL_MS: u64 = 200;
const ANSWER_MS: u64 = 6_600;

fn report(running: u32) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: 9,
        pace: Some(250),
    }
}

fn name(n: u64) -> Name {
    Name::from(format!("s{n}"))
}

fn placement(n: u64) -> Placement {
    let region = Name::from("r");
    let mut placement = Placement::new(&format!("g{n}").into(), &region, &"d".into(), n);
    let spec = |n| ServerSpec {
        name: name(n),
        address: SocketAddr::from(([10, 0, 0, n as u8], 80)),
        region: region.clone(),
        domain: "d".into(),
        slots: 9,
        cold_ms: 0,
        down: false,
        limit: None,
        share: LimitShare::default(),
    };
    let specs: Vec<ServerSpec> = (0..SERVERS).map(spec).collect();
    placement.set_servers(
        Millis(0),
        &specs,
        ServiceSpec::default(),
        std::slice::from_ref(&region),
    );
    placement
}

// Requests at a server, which change over seconds.
fn load(server: u64, now: u64) -> u32 {
    ((now / 2_000 + server * 7) % 13) as u32
}

// Plays gateways that get one answer of each server in `ANSWER_MS`, and returns the mean error of
// their estimates of the loads.
fn mean_error(exchanges: bool, lost_from: u64) -> f64 {
    let mut gateways: Vec<(Placement, LoadTable)> = (0..GATEWAYS)
        .map(|n| (placement(n), LoadTable::default()))
        .collect();
    let mut coordinator = LoadTable::default();
    let (mut sum, mut count) = (0.0, 0.0);
    for now in (INTERVAL_MS..20_000).step_by(INTERVAL_MS as usize) {
        for (g, (placement, table)) in (0..).zip(&mut gateways) {
            for server in 0..SERVERS {
                let phase = (g * 37 + server * 211) * INTERVAL_MS % ANSWER_MS;
                if now % ANSWER_MS == phase / INTERVAL_MS * INTERVAL_MS {
                    let hash = hash_bytes(name(server).as_bytes());
                    table.record(Millis(now), hash, report(load(server, now)), Origin::Domain);
                    let own = SharedLoad {
                        server: hash,
                        running: load(server, now),
                        waiting: 0,
                        slots: 9,
                        pace: None,
                        age_ms: 0,
                    };
                    placement.record_shared_loads(Millis(now), &[own]);
                }
            }
            if exchanges && now < lost_from {
                for (load, origin) in table.take_changed(Millis(now)) {
                    let at = Millis(now).minus(u64::from(load.age_ms));
                    coordinator.record(at, load.server, load.report(), origin);
                }
            }
        }
        let told = coordinator.take_changed(Millis(now));
        let told: Vec<SharedLoad> = told.into_iter().map(|(load, _)| load).collect();
        for (placement, _) in &mut gateways {
            placement.record_shared_loads(Millis(now), &told);
            for server in (0..SERVERS).filter(|_| now > 10_000) {
                let estimate = placement.load_estimate(Millis(now), &name(server));
                let estimate = estimate.map_or(0.0, |(load, _)| load);
                sum += (estimate - f64::from(load(server, now))).abs();
                count += 1.0;
            }
        }
    }
    sum / count
}

/// Guards against gateways that take busy servers for idle ones, since few answers reach each.
#[test]
fn gateways_know_the_loads_that_others_are_told() {
    let (alone, together) = (mean_error(false, 0), mean_error(true, u64::MAX));
    assert!(together * 2.0 < alone, "{together} and {alone}");
}

/// Guards against estimates that are worse than a gateway's own once the coordinator is lost.
#[test]
fn lost_coordinator_leaves_the_own_answers() {
    let (alone, lost) = (mean_error(false, 0), mean_error(true, 5_000));
    assert!(lost <= alone * 1.01, "{lost} and {alone}");
}

/// Guards against old loads that replace newer ones, and against loads that are told twice.
#[test]
fn newest_load_is_told_once() {
    let mut table = LoadTable::default();
    assert!(table.record(Millis(200), 1, report(5), Origin::Region));
    assert!(!table.record(Millis(100), 1, report(9), Origin::Domain));
    let told = table.take_changed(Millis(250));
    let [(load, Origin::Region)] = told[..] else {
        panic!("{told:?}");
    };
    assert_eq!((load.running, load.age_ms, load.pace), (5, 50, Some(250)));
    assert!(table.take_changed(Millis(300)).is_empty());
    table.record(Millis(400), 1, report(6), Origin::Domain);
    assert!(table.take_changed(Millis(1_500)).is_empty(), "too old");
}

/// Guards against messages that grow with the number of servers.
#[test]
fn message_is_bounded() {
    let mut table = LoadTable::default();
    for server in 0..2 * LOADS_MAX as u64 {
        table.record(Millis(server), server, report(1), Origin::Domain);
    }
    let told = table.take_changed(Millis(2 * LOADS_MAX as u64));
    assert_eq!(told.len(), LOADS_MAX);
    let oldest = told.iter().map(|(load, _)| load.age_ms).max();
    assert!(oldest <= Some(LOADS_MAX as u32), "{oldest:?}");
}
