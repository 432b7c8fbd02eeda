//! The client-block table compared with a simple reference implementation.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use pomelovale_state::blocks::{address_bits, BlockChange, BlockTable, Prefix};
use pomelovale_state::Name;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Reference implementation: longest-prefix match by trying every length.
#[derive(Clone, Default)]
struct ReferenceTable(BTreeMap<Prefix, Name>);

impl ReferenceTable {
    fn apply(&mut self, changes: &[BlockChange]) {
        for change in changes {
            match &change.site {
                Some(site) => self.0.insert(change.prefix, site.clone()),
                None => self.0.remove(&change.prefix),
            };
        }
    }

    fn lookup(&self, address: IpAddr) -> Option<&Name> {
        let bits = address_bits(address);
        let row = |length| self.0.get(&Prefix::new(bits, length));
        (0..=128).rev().find_map(row)
    }
}

/// A random address with few distinct bits, so that blocks nest, adjoin and
/// repeat.
fn address(rng: &mut SmallRng) -> IpAddr {
    let bits: u128 = rng.random::<u128>() & rng.random::<u128>();
    match rng.random_range(0..3) {
        0 => IpAddr::V4(Ipv4Addr::from(bits as u32 & 0x0303_ffff)),
        1 => IpAddr::V6(Ipv6Addr::from(bits & (0x2003 << 112 | 0xffff << 64 | 3))),
        _ => IpAddr::V6(Ipv6Addr::from(bits)),
    }
}

fn change(rng: &mut SmallRng) -> BlockChange {
    let address = address(rng);
    let low = if address.is_ipv4() && rng.random_range(0..50) > 0 {
        96
    } else {
        0
    };
    let length = rng.random_range(low..=128).max(rng.random_range(low..=128));
    let site =
        (rng.random_range(0..4) > 0).then(|| Name::from(format!("s{}", rng.random_range(0..59))));
    BlockChange {
        prefix: Prefix::new(address_bits(address), length),
        site,
    }
}

/// Applies batches to both tables and compares them after each.
fn matches_reference(seed: u64, batches: &[u16]) -> bool {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut table, mut plain) = (BlockTable::default(), ReferenceTable::default());
    batches.iter().all(|&size| {
        let (old_table, old_plain) = (table.clone(), plain.clone());
        let mut changes: Vec<_> = (0..size).map(|_| change(&mut rng)).collect();
        // Also removes a run of existing rows, so that some removals have an effect.
        let skip = rng.random_range(0..=plain.0.len());
        let remove = |(p, _): (&Prefix, _)| BlockChange {
            prefix: *p,
            site: None,
        };
        let run = usize::from(size) % 60;
        changes.extend(plain.0.iter().skip(skip).take(run).map(remove));
        table.apply(&changes);
        plain.apply(&changes);
        let mut probes: Vec<IpAddr> = (0..100).map(|_| address(&mut rng)).collect();
        for prefix in plain.0.keys().skip(skip / 2).take(100) {
            let last = prefix.first | !Prefix::new(u128::MAX, prefix.length).first;
            let ends = [
                prefix.first,
                last,
                last.wrapping_add(1),
                prefix.first.wrapping_sub(1),
            ];
            probes.extend(ends.map(|b| IpAddr::V6(Ipv6Addr::from(b))));
        }
        table.len() == plain.0.len()
            && table.iter().eq(plain.0.iter().map(|(p, n)| (*p, n)))
            && probes.iter().all(|&a| table.lookup(a) == plain.lookup(a))
            && old_table
                .iter()
                .eq(old_plain.0.iter().map(|(p, n)| (*p, n)))
            && round_trip(&table) == table
    })
}

fn round_trip(table: &BlockTable) -> BlockTable {
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(table, config).expect("encodes");
    let (back, _) = bincode::serde::decode_from_slice(&bytes, config).expect("decodes");
    back
}

macro_rules! agreement {
    ($($(#[$doc:meta])* $name:ident: $base:literal, $batch:literal, $tests:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            fn property(seed: u64, sizes: Vec<u16>) -> bool {
                let sizes = sizes.iter().map(|s| s % $batch);
                matches_reference(seed, &std::iter::once($base).chain(sizes).collect::<Vec<_>>())
            }
            QuickCheck::new()
                .rng(Gen::from_size_and_seed(8, 11))
                .tests($tests)
                .quickcheck(property as fn(u64, Vec<u16>) -> bool);
        }
    )*};
}

agreement! {
    /// Guards against wrong matches and lost rows after large changes, changes
    /// that affect a clone, and rows lost in a snapshot.
    table_agrees_after_large_changes: 0, 1_500, 20;
    /// Guards against the same after small changes of a large table, where an
    /// outer block encloses rows of many chunks.
    table_agrees_after_small_changes: 6_000, 10, 20;
}

macro_rules! lookup {
    ($($(#[$doc:meta])* $name:ident: [$($block:literal),*], $address:literal => $site:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let rows = [$($block),*].map(|text| BlockChange {
                prefix: text.parse().expect("a block"),
                site: Some(Name::from(text.replace([':', '/'], "_"))),
            });
            let mut table = BlockTable::default();
            table.apply(&rows);
            let site = table.lookup($address.parse().expect("an address"));
            assert_eq!(site.map(Name::as_str), $site);
        }
    )*};
}

lookup! {
    /// Guards against a match of a shorter block instead of a longer one.
    longest_block_wins: ["10.0.0.0/8", "10.1.0.0/16"], "10.1.2.3" => Some("10.1.0.0_16");
    /// Guards against an outer block that has no effect after the end of an inner
    /// one.
    outer_block_applies_after_inner_block: ["10.0.0.0/8", "10.1.0.0/16"], "10.2.0.0" => Some("10.0.0.0_8");
    /// Guards against IPv4 addresses matched by unrelated IPv6 blocks.
    ipv6_block_does_not_match_ipv4: ["2001:db8::/32"], "10.1.2.3" => None;
    /// Guards against a block that matches the address after its last one.
    block_ends: ["10.0.0.0/24"], "10.0.1.0" => None;
    /// Guards against a block of length 0 that matches nothing.
    default_block_matches_all: ["::/0"], "10.1.2.3" => Some("___0");
}

/// Guards against a panic while a corrupt snapshot is decoded.
#[test]
fn damaged_snapshot_is_an_error_or_a_table() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut table = BlockTable::default();
    table.apply(&(0..300).map(|_| change(&mut rng)).collect::<Vec<_>>());
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&table, config).expect("encodes");
    for _ in 0..2_000 {
        let mut bad = bytes.clone();
        let at = rng.random_range(0..bad.len());
        bad[at] = u8::arbitrary(&mut Gen::from_size_and_seed(9, at as u64));
        let decoded: Result<(BlockTable, usize), _> =
            bincode::serde::decode_from_slice(&bad, config);
        assert!(decoded.is_err() || decoded.is_ok_and(|(t, _)| t.len() <= 400));
    }
}
