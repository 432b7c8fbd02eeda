//! The client-block table: address blocks and the sites they are steered to.

use std::collections::{BTreeMap, HashSet};
use std::net::IpAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ErrorKind, Name};

/// An IPv4 or IPv6 prefix with its host bits cleared.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Prefix {
    /// First address; IPv4 in its IPv6-mapped form.
    pub first: u128,
    /// Length in bits of the IPv6 form.
    pub length: u8,
}

const MAPPED: u128 = 0xffff_0000_0000;

/// The IPv6 form of an address, IPv4 mapped.
pub fn address_bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(a) => MAPPED | u128::from(u32::from(a)),
        IpAddr::V6(a) => u128::from(a),
    }
}

fn mask(length: u8) -> u128 {
    match length {
        0 => 0,
        n => u128::MAX << (128 - u32::from(n)),
    }
}

impl Prefix {
    /// The prefix of `length` bits (of the IPv6 form) that holds `bits`.
    pub fn new(bits: u128, length: u8) -> Prefix {
        Prefix {
            first: bits & mask(length),
            length,
        }
    }
}

impl FromStr for Prefix {
    type Err = ErrorKind;

    fn from_str(text: &str) -> Result<Prefix, ErrorKind> {
        let (address, length) = text.split_once('/').ok_or(ErrorKind::BadRequest)?;
        let address: IpAddr = address.parse().map_err(|_| ErrorKind::BadRequest)?;
        let length: u8 = length.parse().map_err(|_| ErrorKind::BadRequest)?;
        match address {
            IpAddr::V4(_) if length <= 32 => Ok(Prefix::new(address_bits(address), length + 96)),
            IpAddr::V6(_) if length <= 128 => Ok(Prefix::new(address_bits(address), length)),
            _ => Err(ErrorKind::BadRequest),
        }
    }
}

/// One changed row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlockChange {
    /// The block.
    pub prefix: Prefix,
    /// The site it is steered to; `None` removes the row.
    pub site: Option<Name>,
}

/// Parts of the table that are copied on their own.
const SHARDS: usize = 256;

type Rows = BTreeMap<Prefix, Name>;

/// Longest-prefix-match table from client blocks to sites. Clones share the
/// parts that neither has changed since.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BlockTable {
    #[serde(with = "rows")]
    shards: Arc<Vec<Arc<Rows>>>,
}

impl Default for BlockTable {
    fn default() -> BlockTable {
        BlockTable {
            shards: Arc::new(vec![Arc::default(); SHARDS]),
        }
    }
}

// Neighbouring blocks spread over all shards: multiplication by 2^64 divided
// by the golden ratio.
fn shard(prefix: &Prefix) -> usize {
    let bits = prefix.first ^ u128::from(prefix.length);
    let folded = (bits >> 64) as u64 ^ bits as u64;
    let hash = (folded ^ folded >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (hash >> 56) as usize % SHARDS
}

// Many rows name the same site; they share one name, which saves half of the
// memory of a large table.
#[derive(Default)]
struct Shared(HashSet<Name>);

impl Shared {
    fn get(&mut self, name: &Name) -> Name {
        match self.0.get(name) {
            Some(known) => known.clone(),
            None => {
                self.0.insert(name.clone());
                name.clone()
            }
        }
    }
}

// A JSON object can't have a prefix as its key, so rows are kept as a list.
mod rows {
    use super::{Arc, BlockTable, Deserialize, Name, Prefix, Rows, Serialize, Shared};

    pub fn serialize<S: serde::Serializer>(shards: &[Arc<Rows>], to: S) -> Result<S::Ok, S::Error> {
        let rows: Vec<_> = shards.iter().flat_map(|rows| rows.iter()).collect();
        rows.serialize(to)
    }

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(
        from: D,
    ) -> Result<Arc<Vec<Arc<Rows>>>, D::Error> {
        let mut table = BlockTable::default();
        let mut shared = Shared::default();
        for (prefix, site) in Vec::<(Prefix, Name)>::deserialize(from)? {
            table.set(prefix, Some(shared.get(&site)));
        }
        Ok(table.shards)
    }
}

impl BlockTable {
    /// Applies changed rows.
    pub fn apply(&mut self, changes: &[BlockChange]) {
        let mut shared = Shared::default();
        for change in changes {
            self.set(change.prefix, change.site.as_ref().map(|s| shared.get(s)));
        }
    }

    fn set(&mut self, prefix: Prefix, site: Option<Name>) {
        let shards = Arc::make_mut(&mut self.shards);
        let rows = Arc::make_mut(&mut shards[shard(&prefix)]);
        match site {
            Some(site) => rows.insert(prefix, site),
            None => rows.remove(&prefix),
        };
    }

    /// The site of the longest block that holds an address.
    pub fn lookup(&self, address: IpAddr) -> Option<&Name> {
        let bits = address_bits(address);
        (0..=128).rev().find_map(|length| {
            let prefix = Prefix::new(bits, length);
            self.shards[shard(&prefix)].get(&prefix)
        })
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|rows| rows.len()).sum()
    }

    /// Whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.shards.iter().all(|rows| rows.is_empty())
    }
}
