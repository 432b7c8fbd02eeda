//! Costs of the client block table: build, memory, lookups, changes, snapshots.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use pomelovale_state::blocks::{address_bits, BlockChange, BlockTable, Prefix};
use pomelovale_state::Name;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::{min_micros, print_fit};

const SITES: u64 = 59;
const LOOKUPS: usize = 1_000_000;

/// Distribution of the prefixes in a table.
#[derive(Clone, Copy, Debug)]
enum Mix {
    /// Adjacent IPv4 /24 blocks; in every 32 rows one is a /20 and one a /27.
    Dense,
    /// Random IPv4 prefixes of /16 to /24 and IPv6 prefixes of /32 to /48, in
    /// equal numbers.
    Mixed,
}

fn rows(mix: Mix, count: usize, rng: &mut SmallRng) -> Vec<BlockChange> {
    let prefix = |i: usize, rng: &mut SmallRng| match (mix, i % 32) {
        (Mix::Dense, 0) => v4((i as u32) << 8, 20),
        (Mix::Dense, 1) => v4((i as u32) << 8 | 64, 27),
        (Mix::Dense, _) => v4((i as u32) << 8, 24),
        (Mix::Mixed, n) if n % 2 == 0 => v4(rng.random(), rng.random_range(16..=24)),
        (Mix::Mixed, _) => {
            let bits = 0x2000 << 112 | rng.random::<u128>() >> 3;
            Prefix::new(bits, rng.random_range(32..=48))
        }
    };
    let mut rows = indexmap::IndexMap::new();
    for i in 0.. {
        if rows.len() == count {
            break;
        }
        let site = Name::from(format!("site{}", rng.random_range(0..SITES)));
        rows.insert(prefix(i, rng), site);
    }
    let row = |(prefix, site)| BlockChange {
        prefix,
        site: Some(site),
    };
    rows.into_iter().map(row).collect()
}

fn v4(bits: u32, length: u8) -> Prefix {
    Prefix::new(address_bits(IpAddr::V4(Ipv4Addr::from(bits))), length + 96)
}

/// Returns random addresses, each inside a random block of the table.
fn random_addresses(rows: &[BlockChange], rng: &mut SmallRng) -> Vec<IpAddr> {
    let random_address = |_| {
        let prefix = rows[rng.random_range(0..rows.len())].prefix;
        let host = rng.random::<u128>() & !Prefix::new(u128::MAX, prefix.length).first;
        let bits = Ipv6Addr::from(prefix.first | host);
        bits.to_ipv4_mapped().map_or(IpAddr::V6(bits), IpAddr::V4)
    };
    (0..LOOKUPS).map(random_address).collect()
}

struct TableCosts {
    build_us: f64,
    memory_bytes: f64,
    lookup_ns: f64,
    delta_us: f64,
    shared_delta_us: f64,
    snapshot_bytes: f64,
}

fn measure_table(mix: Mix, count: usize) -> TableCosts {
    let mut rng = SmallRng::seed_from_u64(count as u64);
    let mut rows = rows(mix, count, &mut rng);
    rows.shuffle(&mut rng);
    let config = bincode::config::standard();
    let mut table = BlockTable::default();
    let build_us = min_micros(1, || table.apply(&rows));
    let encoded = bincode::serde::encode_to_vec(&table, config).expect("encodes");
    let addresses = random_addresses(&rows, &mut rng);
    let lookup_us = min_micros(5, || {
        for &address in &addresses {
            black_box(table.lookup(address));
        }
    });
    let mut changed = table.clone();
    let delta_us = min_micros(200, || {
        let at = rng.random_range(0..rows.len());
        changed.apply(&rows[at..=at]);
    });
    let shared_delta_us = min_micros(50, || {
        let mut copy = table.clone();
        copy.apply(&rows[..1]);
        black_box(copy.len());
    });
    TableCosts {
        build_us,
        memory_bytes: table.memory_bytes() as f64,
        lookup_ns: lookup_us * 1e3 / LOOKUPS as f64,
        delta_us,
        shared_delta_us,
        snapshot_bytes: encoded.len() as f64,
    }
}

pub fn measure() {
    for mix in [Mix::Dense, Mix::Mixed] {
        let sizes = [101_250, 202_500, 405_000, 810_000];
        let all: Vec<(f64, TableCosts)> = sizes.map(|n| (n as f64, measure_table(mix, n))).into();
        let print_costs = |what: &str, unit: &str, value: fn(&TableCosts) -> f64| {
            let points: Vec<(f64, f64)> = all.iter().map(|(n, m)| (*n, value(m))).collect();
            print_fit(&format!("blocks {mix:?}: {what}"), unit, &points);
        };
        print_costs("build", "us", |m| m.build_us);
        print_costs("row memory", "bytes", |m| m.memory_bytes);
        print_costs("lookup", "ns", |m| m.lookup_ns);
        print_costs("lookups on one core", "million/s", |m| 1e3 / m.lookup_ns);
        print_costs("change of 1 row", "us", |m| m.delta_us);
        print_costs("change of 1 row, table shared", "us", |m| m.shared_delta_us);
        print_costs("snapshot", "bytes", |m| m.snapshot_bytes);
    }
}
