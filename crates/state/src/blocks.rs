//! The client-block table maps blocks of client addresses to the sites that
//! their traffic is steered to.

use std::net::IpAddr;
use std::str::FromStr;
use std::sync::Arc;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::block_rows::{Chunk, Row, CHUNK_INITIAL_MAX, CHUNK_MAX};
use crate::{ErrorKind, Name};

/// An IPv4 or IPv6 prefix with its host bits cleared.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Prefix {
    /// First address; IPv4 as an IPv4-mapped IPv6 address.
    pub first: u128,
    /// Length in bits of the IPv6 form.
    pub length: u8,
}

const IPV4_MAPPED_PREFIX: u128 = 0xffff_0000_0000;

/// The bits of an IPv6 address, or of the IPv4-mapped form of an IPv4 address.
pub fn address_bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(a) => IPV4_MAPPED_PREFIX | u128::from(u32::from(a)),
        IpAddr::V6(a) => u128::from(a),
    }
}

pub(crate) fn mask(length: u8) -> u128 {
    match length {
        0 => 0,
        n => u128::MAX << (128 - u32::from(n)),
    }
}

impl Prefix {
    /// The prefix of `length` bits (in the IPv6 form) that contains `bits`.
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

/// Longest-prefix-match table from client blocks to sites. A clone shares all
/// rows with the original until one of them is changed.
#[derive(Clone, Default)]
pub struct BlockTable {
    index: Arc<Index>,
    sites: Arc<IndexSet<Name>>,
    len: usize,
}

#[derive(Clone, Default)]
struct Index {
    /// Start address of each chunk.
    starts: Vec<u128>,
    chunks: Vec<Chunk>,
}

/// A table is rebuilt if a batch changes more than one in this many chunks.
const REBUILD_DIVISOR: usize = 4;
/// A chunk with fewer rows is merged into the previous chunk.
const CHUNK_MIN: usize = 64;

impl BlockTable {
    /// Applies changed rows, in order.
    pub fn apply(&mut self, changes: &[BlockChange]) {
        // If a batch changes a block more than once, the last change wins.
        let mut order: Vec<&BlockChange> = changes.iter().collect();
        order.sort_by_key(|c| c.prefix);
        let last = |i: usize| order.get(i + 1).is_none_or(|n| n.prefix != order[i].prefix);
        let order: Vec<&BlockChange> = (0..order.len())
            .filter(|&i| last(i))
            .map(|i| order[i])
            .collect();
        let edits: Vec<Edit> = order.into_iter().map(|c| self.edit(c)).collect();
        let groups = self.index.group_by_chunk(&edits);
        let index = Arc::make_mut(&mut self.index);
        match groups.len() > index.chunks.len() / REBUILD_DIVISOR {
            true => index.rebuild(&edits),
            false => index.update_chunks(&groups),
        }
        self.len = self.index.chunks.iter().map(Chunk::len).sum();
    }

    fn edit(&mut self, change: &BlockChange) -> Edit {
        let site = change.site.as_ref().map(|name| self.site_number(name));
        Edit {
            prefix: change.prefix,
            site,
        }
    }

    fn site_number(&mut self, name: &Name) -> u16 {
        if let Some(number) = self.sites.get_index_of(name) {
            return number as u16;
        }
        if self.sites.len() > usize::from(u16::MAX) {
            self.remove_unused_sites();
        }
        let sites = Arc::make_mut(&mut self.sites);
        sites.insert_full(name.clone()).0 as u16
    }

    /// Renumbers the sites and removes those that no row refers to.
    fn remove_unused_sites(&mut self) {
        let mut sites = IndexSet::new();
        let number = |row: Row| Row {
            site: sites
                .insert_full(self.sites[usize::from(row.site)].clone())
                .0 as u16,
            ..row
        };
        let rows: Vec<Row> = self.index.rows().map(number).collect();
        self.index = Arc::new(Index::new(&rows));
        self.sites = Arc::new(sites);
    }

    /// The site of the longest block that contains an address.
    pub fn lookup(&self, address: IpAddr) -> Option<&Name> {
        let bits = address_bits(address);
        let at = self.index.starts.partition_point(|&s| s <= bits);
        let site = self.index.chunks[..at].last()?.lookup(bits)?;
        self.sites.get_index(usize::from(site))
    }

    /// All rows, ordered by first address and then by length.
    pub fn iter(&self) -> impl Iterator<Item = (Prefix, &Name)> {
        let row = |r: Row| (r.prefix, &self.sites[usize::from(r.site)]);
        self.index.rows().map(row)
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Memory of the rows in bytes, without allocator overhead.
    pub fn memory_bytes(&self) -> usize {
        let chunks = self.index.chunks.iter().map(Chunk::bytes);
        chunks.sum::<usize>() + size_of_val(&*self.index.starts)
    }
}

/// A changed row with the index of its site.
#[derive(Clone, Copy)]
struct Edit {
    prefix: Prefix,
    site: Option<u16>,
}

/// Merges sorted rows and sorted edits.
fn merge(rows: impl Iterator<Item = Row>, edits: &[Edit]) -> Vec<Row> {
    let mut merged = Vec::with_capacity(rows.size_hint().0 + edits.len());
    let (mut rows, mut edits) = (rows.peekable(), edits.iter().peekable());
    while let Some(edit) = edits.peek() {
        match rows.peek() {
            Some(row) if row.prefix < edit.prefix => merged.extend(rows.next()),
            Some(row) if row.prefix == edit.prefix => drop(rows.next()),
            _ => {
                let prefix = edit.prefix;
                merged.extend(edit.site.map(|site| Row { prefix, site }));
                edits.next();
            }
        }
    }
    merged.extend(rows);
    merged
}

impl Index {
    fn new(rows: &[Row]) -> Index {
        let mut index = Index::default();
        index.chunks = Chunk::split(rows, CHUNK_INITIAL_MAX);
        index.starts = index.chunks.iter().map(Chunk::start).collect();
        index.update_enclosing(0, index.chunks.len());
        index
    }

    fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        self.chunks.iter().flat_map(Chunk::iter)
    }

    /// Groups sorted edits by the index of the chunk that they belong to.
    fn group_by_chunk<'a>(&self, edits: &'a [Edit]) -> Vec<(usize, &'a [Edit])> {
        let (mut groups, mut rest) = (Vec::new(), edits);
        while let Some(first) = rest.first() {
            let after = self.chunks.partition_point(|c| c.first() <= first.prefix);
            let end = match self.chunks.get(after) {
                Some(next) => rest.partition_point(|e| e.prefix < next.first()),
                None => rest.len(),
            };
            groups.push((after.saturating_sub(1), &rest[..end]));
            rest = &rest[end..];
        }
        groups
    }

    fn rebuild(&mut self, edits: &[Edit]) {
        let rows = merge(self.rows(), edits);
        *self = Index::new(&rows);
    }

    fn update_chunks(&mut self, groups: &[(usize, &[Edit])]) {
        // In reverse order, so that the indices of earlier chunks stay valid.
        for (at, edits) in groups.iter().rev() {
            let rows = merge(self.chunks[*at].iter(), edits);
            let (mut from, mut rows) = (*at, rows);
            if rows.len() < CHUNK_MIN && from > 0 {
                from -= 1;
                rows.splice(0..0, self.chunks[from].iter());
            }
            let chunks = match rows.len() {
                0 => Vec::new(),
                n if n <= CHUNK_MAX => Chunk::split(&rows, CHUNK_MAX),
                _ => Chunk::split(&rows, CHUNK_INITIAL_MAX),
            };
            let left = self.chunks.len() - (at + 1);
            self.starts
                .splice(from..=*at, chunks.iter().map(Chunk::start));
            self.chunks.splice(from..=*at, chunks);
            self.update_enclosing(from, self.chunks.len() - left);
        }
    }

    /// Updates the enclosing rows of the chunks `from..to`, and then of later
    /// chunks up to the first one whose enclosing rows do not change.
    fn update_enclosing(&mut self, from: usize, to: usize) {
        for index in from..self.chunks.len() {
            let (previous, rest) = self.chunks.split_at_mut(index);
            let changed = rest[0].update_enclosing(previous.last());
            if !changed && index >= to {
                return;
            }
        }
    }
}
