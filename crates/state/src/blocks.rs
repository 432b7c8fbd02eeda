//! The client-block table: address blocks and the sites they are steered to.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::str::FromStr;

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

/// Longest-prefix-match table from client blocks to sites.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BlockTable {
    #[serde(with = "rows")]
    rows: BTreeMap<Prefix, Name>,
}

// A JSON object can't have a prefix as its key, so rows are kept as a list.
mod rows {
    use super::{BTreeMap, Deserialize, Name, Prefix, Serialize};

    pub fn serialize<S: serde::Serializer>(
        rows: &BTreeMap<Prefix, Name>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        rows.iter().collect::<Vec<_>>().serialize(to)
    }

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(
        from: D,
    ) -> Result<BTreeMap<Prefix, Name>, D::Error> {
        Ok(Vec::<(Prefix, Name)>::deserialize(from)?
            .into_iter()
            .collect())
    }
}

impl BlockTable {
    /// Applies changed rows.
    pub fn apply(&mut self, changes: &[BlockChange]) {
        for change in changes {
            match &change.site {
                Some(site) => self.rows.insert(change.prefix, site.clone()),
                None => self.rows.remove(&change.prefix),
            };
        }
    }

    /// The site of the longest block that holds an address.
    pub fn lookup(&self, address: IpAddr) -> Option<&Name> {
        let bits = address_bits(address);
        (0..=128)
            .rev()
            .find_map(|length| self.rows.get(&Prefix::new(bits, length)))
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
