//! Serialization of the client-block table: a list of rows in human-readable
//! formats, and packed rows of about three bytes each in binary formats.

use std::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::blocks::{BlockChange, BlockTable, Prefix};
use crate::Name;

/// Bits of an IPv6 address.
const ADDRESS_BITS: u8 = 128;

impl fmt::Debug for BlockTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BlockTable({} blocks)", self.len())
    }
}

impl PartialEq for BlockTable {
    fn eq(&self, other: &BlockTable) -> bool {
        self.len() == other.len() && self.iter().eq(other.iter())
    }
}

/// The network bits of a prefix as an integer of `length` bits.
fn network_bits(first: u128, length: u8) -> u128 {
    match length {
        0 => 0,
        n => first >> (ADDRESS_BITS - n),
    }
}

fn write_varint(bytes: &mut Vec<u8>, mut number: u128) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

fn read_varint(bytes: &mut &[u8]) -> Option<u128> {
    let mut number = 0;
    for shift in (0..ADDRESS_BITS).step_by(7) {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        number |= u128::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return Some(number);
        }
    }
    None
}

/// Encodes each row as its prefix length, the distance from the previous row in
/// blocks of its own size, and the index of its site, the latter two as varints.
/// Adds missing sites to `sites`.
fn pack(table: &BlockTable, sites: &mut indexmap::IndexSet<Name>) -> Vec<u8> {
    let (mut bytes, mut previous) = (Vec::new(), 0);
    for (prefix, site) in table.iter() {
        let delta =
            network_bits(prefix.first, prefix.length) - network_bits(previous, prefix.length);
        let site = match sites.get_index_of(site) {
            Some(number) => number,
            None => sites.insert_full(site.clone()).0,
        };
        bytes.push(prefix.length);
        write_varint(&mut bytes, delta);
        write_varint(&mut bytes, site as u128);
        previous = prefix.first;
    }
    bytes
}

fn unpack(mut bytes: &[u8], sites: &[Name]) -> Option<Vec<BlockChange>> {
    let (mut rows, mut previous) = (Vec::new(), 0);
    while let Some((&length, rest)) = bytes.split_first() {
        bytes = rest;
        let delta = read_varint(&mut bytes)?;
        let site = usize::try_from(read_varint(&mut bytes)?).ok()?;
        let number = network_bits(previous, length.min(ADDRESS_BITS)).checked_add(delta)?;
        let first = match length {
            0 => 0,
            1..=ADDRESS_BITS => number << (ADDRESS_BITS - length),
            _ => return None,
        };
        rows.push(BlockChange {
            prefix: Prefix::new(first, length),
            site: Some(sites.get(site)?.clone()),
        });
        previous = first;
    }
    Some(rows)
}

/// Packed rows, serialized as a byte string.
struct Packed(Vec<u8>);

impl Serialize for Packed {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

struct PackedVisitor;

impl<'de> Visitor<'de> for PackedVisitor {
    type Value = Packed;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("packed client blocks")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Packed, E> {
        Ok(Packed(bytes.to_vec()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Packed, E> {
        Ok(Packed(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Packed, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(Packed(bytes))
    }
}

impl<'de> Deserialize<'de> for Packed {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Packed, D::Error> {
        deserializer.deserialize_byte_buf(PackedVisitor)
    }
}

impl Serialize for BlockTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_seq(self.iter());
        }
        let mut sites = indexmap::IndexSet::new();
        let packed = Packed(pack(self, &mut sites));
        (sites.as_slice().iter().collect::<Vec<_>>(), packed).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for BlockTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<BlockTable, D::Error> {
        let rows = if deserializer.is_human_readable() {
            let rows: Vec<(Prefix, Name)> = Vec::deserialize(deserializer)?;
            let change = |(prefix, site): (Prefix, Name)| BlockChange {
                prefix: Prefix::new(prefix.first, prefix.length.min(ADDRESS_BITS)),
                site: Some(site),
            };
            rows.into_iter().map(change).collect()
        } else {
            let (sites, packed) = <(Vec<Name>, Packed)>::deserialize(deserializer)?;
            unpack(&packed.0, &sites)
                .ok_or_else(|| D::Error::custom("malformed packed client blocks"))?
        };
        let mut table = BlockTable::default();
        table.apply(&rows);
        Ok(table)
    }
}
