//! Chunks of the client-block table: sorted rows in a compact form.
//!
//! Rows are sorted by first address and then by length, so that the last row
//! that begins at or before an address is the innermost such block. Each row
//! stores the index of the row in its chunk that encloses it, its parent; a
//! chunk stores the rows of earlier chunks that enclose its start. Chunks are
//! immutable and shared between the versions of a table.

use std::sync::Arc;

use crate::blocks::{mask, Prefix};

/// Maximum number of rows in a chunk: the index of a row fits in a byte and is
/// never [`NO_PARENT`].
pub(crate) const CHUNK_MAX: usize = 255;
/// Maximum number of rows in a chunk when a table is built or a chunk is split;
/// the difference to [`CHUNK_MAX`] leaves room for rows that are inserted later.
pub(crate) const CHUNK_INITIAL_MAX: usize = 240;
/// Number of 32-bit offsets in a cache line of 64 bytes.
const GROUP_LEN: usize = 16;
const GROUPS: usize = CHUNK_MAX.div_ceil(GROUP_LEN);
const NO_PARENT: u8 = 255;
/// Bytes of the two reference counts of an `Arc` allocation.
const ARC_HEADER_BYTES: usize = 16;

/// One block and the index of its site.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Row {
    pub(crate) prefix: Prefix,
    pub(crate) site: u16,
}

impl Row {
    fn contains(&self, bits: u128) -> bool {
        (bits ^ self.prefix.first) & mask(self.prefix.length) == 0
    }
}

/// Fields of a row other than its first address.
#[derive(Clone, Copy, Debug)]
struct Meta {
    length: u8,
    parent: u8,
    site: u16,
}

/// First addresses as offsets from the first row, in the smallest integer type
/// that fits. Trailing zero bits that all offsets share are shifted out.
#[derive(Debug)]
enum Offsets {
    U128(Box<[u128]>),
    /// The last offset of each group, then all offsets. A search compares the
    /// former and reads one group of the latter.
    U32([u32; GROUPS], Box<[u32]>),
    U64(Box<[u64]>),
}

#[derive(Debug)]
struct Rows {
    base: u128,
    shift: u32,
    offsets: Offsets,
    metas: Box<[Meta]>,
}

/// A run of rows.
#[derive(Clone, Debug)]
pub(crate) struct Chunk {
    rows: Arc<Rows>,
    /// Rows of earlier chunks that enclose the start of this one, outermost first.
    enclosing: Option<Arc<[Row]>>,
}

impl Offsets {
    fn from_u32(offsets: Box<[u32]>) -> Offsets {
        let mut ends = [u32::MAX; GROUPS];
        for (end, group) in ends.iter_mut().zip(offsets.chunks_exact(GROUP_LEN)) {
            *end = group[GROUP_LEN - 1];
        }
        Offsets::U32(ends, offsets)
    }
}

impl Rows {
    /// `rows` must be non-empty, sorted and without duplicates.
    fn new(rows: &[Row]) -> Rows {
        let base = rows[0].prefix.first;
        let offset = |r: &Row| r.prefix.first - base;
        let shift = rows.iter().map(|r| offset(r).trailing_zeros()).min();
        let shift = shift.unwrap_or(0).min(127);
        let last = rows.last().map_or(0, |r| offset(r) >> shift);
        let offsets = rows.iter().map(|r| offset(r) >> shift);
        let offsets = match last {
            n if u32::try_from(n).is_ok() => Offsets::from_u32(offsets.map(|o| o as u32).collect()),
            n if u64::try_from(n).is_ok() => Offsets::U64(offsets.map(|o| o as u64).collect()),
            _ => Offsets::U128(offsets.collect()),
        };
        let mut metas: Vec<Meta> = Vec::with_capacity(rows.len());
        for (i, row) in rows.iter().enumerate() {
            let mut parent = match i {
                0 => NO_PARENT,
                _ => (i - 1) as u8,
            };
            while parent != NO_PARENT && !rows[parent as usize].contains(row.prefix.first) {
                parent = metas[parent as usize].parent;
            }
            metas.push(Meta {
                length: row.prefix.length,
                parent,
                site: row.site,
            });
        }
        Rows {
            base,
            shift,
            offsets,
            metas: metas.into(),
        }
    }

    fn row(&self, i: usize) -> Row {
        let offset = match &self.offsets {
            Offsets::U128(o) => o[i],
            Offsets::U32(_, o) => u128::from(o[i]),
            Offsets::U64(o) => u128::from(o[i]),
        };
        Row {
            prefix: Prefix {
                first: self.base + (offset << self.shift),
                length: self.metas[i].length,
            },
            site: self.metas[i].site,
        }
    }

    /// Number of rows that begin at or before `bits`, which must not be below the
    /// base.
    fn count_up_to(&self, bits: u128) -> usize {
        let target = (bits - self.base) >> self.shift;
        match &self.offsets {
            Offsets::U128(o) => o.partition_point(|&x| x <= target),
            Offsets::U32(ends, o) => {
                let target = u32::try_from(target).unwrap_or(u32::MAX);
                let group = ends.iter().filter(|&&x| x <= target).count();
                let from = (group * GROUP_LEN).min(o.len());
                let to = (from + GROUP_LEN).min(o.len());
                from + o[from..to].iter().filter(|&&x| x <= target).count()
            }
            Offsets::U64(o) => {
                let target = u64::try_from(target).unwrap_or(u64::MAX);
                o.partition_point(|&x| x <= target)
            }
        }
    }

    /// Row `i` and the rows that enclose it, innermost first, as far as they
    /// contain `bits`.
    fn enclosing(&self, i: usize, bits: u128) -> impl Iterator<Item = Row> + '_ {
        let mut next = i as u8;
        let rows = std::iter::from_fn(move || match next {
            NO_PARENT => None,
            at => {
                next = self.metas[at as usize].parent;
                Some(self.row(at as usize))
            }
        });
        rows.filter(move |r| r.contains(bits))
    }

    fn bytes(&self) -> usize {
        let offsets = match &self.offsets {
            Offsets::U128(o) => size_of_val(&**o),
            Offsets::U32(_, o) => size_of_val(&**o),
            Offsets::U64(o) => size_of_val(&**o),
        };
        size_of::<Rows>() + offsets + size_of_val(&*self.metas)
    }
}

impl Chunk {
    /// Splits sorted rows into chunks of at most `fill` rows. The caller must
    /// then call [`Chunk::update_enclosing`] on each chunk in order.
    pub(crate) fn split(rows: &[Row], fill: usize) -> Vec<Chunk> {
        let chunk = |rows: &[Row]| Chunk {
            rows: Arc::new(Rows::new(rows)),
            enclosing: None,
        };
        let parts = rows.len().div_ceil(fill).max(1);
        let even = rows.len().div_ceil(parts).max(1);
        rows.chunks(even).map(chunk).collect()
    }

    /// First address of the first row.
    pub(crate) fn start(&self) -> u128 {
        self.rows.base
    }

    /// Block of the first row.
    pub(crate) fn first(&self) -> Prefix {
        self.rows.row(0).prefix
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.metas.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Row> + '_ {
        (0..self.len()).map(|i| self.rows.row(i))
    }

    /// Index of the site of the longest block that contains `bits`, which must not
    /// be below the start.
    pub(crate) fn lookup(&self, bits: u128) -> Option<u16> {
        let last = self.rows.count_up_to(bits) - 1;
        let own = self.rows.enclosing(last, bits).next();
        let earlier = || {
            let enclosing = self.enclosing.iter().flat_map(|c| c.iter());
            enclosing.rev().find(|r| r.contains(bits)).copied()
        };
        own.or_else(earlier).map(|r| r.site)
    }

    /// Updates the rows of earlier chunks that enclose the start, which are
    /// derived from the previous chunk. Returns whether they changed.
    pub(crate) fn update_enclosing(&mut self, before: Option<&Chunk>) -> bool {
        let start = self.start();
        let mut enclosing: Vec<Row> = Vec::new();
        if let Some(before) = before {
            enclosing.extend(before.rows.enclosing(before.len() - 1, start));
            let earlier = before.enclosing.iter().flat_map(|c| c.iter());
            enclosing.extend(earlier.rev().filter(|r| r.contains(start)));
        }
        enclosing.reverse();
        let old = self.enclosing.as_deref().unwrap_or_default();
        let changed = old != enclosing;
        if changed {
            self.enclosing = (!enclosing.is_empty()).then(|| enclosing.into());
        }
        changed
    }

    /// Memory of the chunk in bytes, without allocator overhead.
    pub(crate) fn bytes(&self) -> usize {
        let enclosing = self
            .enclosing
            .as_deref()
            .map_or(0, |c| size_of_val(c) + ARC_HEADER_BYTES);
        size_of::<Chunk>() + ARC_HEADER_BYTES + self.rows.bytes() + enclosing
    }
}
