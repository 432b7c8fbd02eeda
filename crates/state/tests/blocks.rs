//! The client-block table: longest-prefix match, clones and encodings.

use std::net::{IpAddr, Ipv4Addr};

use pomelovale_state::blocks::{BlockChange, BlockTable};
use pomelovale_state::Name;

fn row(block: &str, site: Option<&str>) -> BlockChange {
    BlockChange {
        prefix: block.parse().unwrap(),
        site: site.map(Name::from),
    }
}

fn table() -> BlockTable {
    let mut table = BlockTable::default();
    let mut rows: Vec<_> = (0..2_000)
        .map(|n| row(&format!("10.{}.{}.0/24", n / 256, n % 256), Some("near")))
        .collect();
    rows.push(row("10.0.0.0/8", Some("wide")));
    rows.push(row("2001:db8::/32", Some("six")));
    table.apply(&rows);
    table
}

fn site(table: &BlockTable, address: &str) -> Option<String> {
    let address: IpAddr = address.parse().unwrap();
    table.lookup(address).map(|site| site.to_string())
}

macro_rules! lookups {
    ($($name:ident: $address:expr => $site:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected: Option<&str> = $site;
            assert_eq!(site(&table(), $address).as_deref(), expected);
        }
    )*};
}

// Guards against a lookup that searches another chunk than the one that holds
// the row.
lookups! {
    longest_match: "10.0.7.9" => Some("near");
    shorter_match: "10.200.0.1" => Some("wide");
    ipv6_block_matches_ipv6_address: "2001:db8::1" => Some("six");
    no_match: "11.0.0.1" => None;
}

// Guards against a clone that changes with its original, and against tables
// that differ after a change is undone or after encoding and decoding.
#[test]
fn copies_are_independent_and_equal() {
    let first = table();
    let mut second = first.clone();
    second.apply(&[row("10.0.7.0/24", None), row("10.9.0.0/16", Some("new"))]);
    assert_eq!((first.len(), second.len()), (2_002, 2_002));
    assert_eq!(site(&first, "10.0.7.9").as_deref(), Some("near"));
    assert_eq!(site(&second, "10.0.7.9").as_deref(), Some("wide"));
    second.apply(&[row("10.0.7.0/24", Some("near")), row("10.9.0.0/16", None)]);
    assert_eq!(first, second);
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&first, config).unwrap();
    let (decoded, _) = bincode::serde::decode_from_slice(&bytes, config).unwrap();
    assert_eq!(first, decoded);
    let text = serde_json::to_string(&first).unwrap();
    assert_eq!(first, serde_json::from_str(&text).unwrap());
}

// Guards against an emptied table that differs from a new one, which would make
// control instances diverge.
#[test]
fn emptied_table_equals_new_table() {
    let mut table = BlockTable::default();
    let address = IpAddr::V4(Ipv4Addr::LOCALHOST);
    table.apply(&[row("127.0.0.0/8", Some("local"))]);
    assert!(table.lookup(address).is_some());
    table.apply(&[row("127.0.0.0/8", None)]);
    assert!(table.is_empty());
    assert_eq!(table, BlockTable::default());
}
