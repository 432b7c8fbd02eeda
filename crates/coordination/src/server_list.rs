//! What an instance knows of the external list of backend servers, and when control instances
//! read the list.
//!
//! The leader reads the list and announces each read to the other control instances, together
//! with the servers that leave. That a server leaves needs no agreement: it is never wrong to
//! believe it early, so that it is passed on at once, beside the log. A control instance that
//! hears of no read for too long reads the list itself. Gateways learn from their control
//! instance which servers leave, and as of when this is known.

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};

/// Largest age of the last known read up to which an instance knows which backend servers
/// leave, in milliseconds. A request that is sent by then reaches its server within 3 s after
/// the list has shown that it leaves.
pub const LIST_AGE_MAX_MS: u64 = 2_400;
/// Time for which a server counts as leaving after it was last listed so, in milliseconds.
const LEAVING_TTL_MS: u64 = 10_000;
/// Time beyond the interval of reads after which the first standby reads, in milliseconds: a
/// read from another region and the announcement of it.
const STANDBY_MS: u64 = 600;
/// Time until each further standby reads, in milliseconds.
const STANDBY_STEP_MS: u64 = 250;
/// Largest age of the document up to which a standby reads, in milliseconds. The calls of
/// instances that are cut off for longer would count towards the rate that the list accepts.
const STANDBY_VIEW_MS: u64 = 5_000;
/// Number of times that the interval is doubled while reads of a standby fail.
const BACKOFF_DOUBLINGS_MAX: u32 = 2;

/// A server that is listed as leaving.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    number: u64,
    listed: Millis,
}

/// What is known of the list.
#[derive(Clone, Debug, Default)]
pub struct KnownList {
    read: Option<Millis>,
    leaving: IndexMap<Name, Leaving>,
    last_number: u64,
}

impl KnownList {
    /// Records a read that began at `read`, or a part of one if that is `None`, and the servers
    /// that it has found leaving. Returns whether one of them is new.
    pub fn record(&mut self, now: Millis, read: Option<Millis>, leaving: &[Name]) -> bool {
        self.read = self.read.max(read);
        self.leaving
            .retain(|_, l| now.since(l.listed) < LEAVING_TTL_MS);
        let before = self.last_number;
        for name in leaving {
            let number = self.last_number + 1;
            let entry = self.leaving.entry(name.clone());
            let known = entry.or_insert(Leaving {
                number,
                listed: now,
            });
            known.listed = now;
            self.last_number = self.last_number.max(known.number);
        }
        self.last_number > before
    }

    /// When the last complete read known began.
    pub fn read(&self) -> Option<Millis> {
        self.read
    }

    /// Time since the start of the last complete read known, in milliseconds.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.read.map(|read| now.since(read))
    }

    /// Number of the server that was noticed last.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Leaving servers that were noticed after the one with this number.
    pub fn noticed_after(&self, number: u64) -> Vec<Name> {
        let later = self.leaving.iter().filter(|(_, l)| l.number > number);
        later.map(|(name, _)| name.clone()).collect()
    }
}

/// Who a control instance reads the list as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reader {
    /// The leader.
    Leader,
    /// Another instance, with its place among those that take over.
    Standby {
        /// Number of instances before it.
        rank: usize,
    },
}

impl Reader {
    /// Who an instance reads as. `view_ms` is the age of its document, and `rank` its place
    /// among those that take over. `None` if it doesn't read.
    pub fn of(is_leader: bool, view_ms: u64, rank: usize) -> Option<Reader> {
        match is_leader {
            true => Some(Reader::Leader),
            false if view_ms <= STANDBY_VIEW_MS => Some(Reader::Standby { rank }),
            false => None,
        }
    }
}

/// Decides when a control instance reads the list.
#[derive(Clone, Debug)]
pub struct ReadSchedule {
    started: Millis,
    last: Option<Millis>,
    failures: u32,
}

impl ReadSchedule {
    /// A schedule for an instance that may read from `now` on.
    pub fn new(now: Millis) -> ReadSchedule {
        ReadSchedule {
            started: now,
            last: None,
            failures: 0,
        }
    }

    /// Returns when the next read is due. `known` is the start of the last read that the
    /// instance knows of, its own ones included.
    pub fn due(&self, reader: Reader, known: Option<Millis>, interval_ms: u64) -> Millis {
        let next = self
            .last
            .map_or(self.started, |last| last.plus(interval_ms));
        let Reader::Standby { rank } = reader else {
            return next;
        };
        let is_reading = self.last.is_some() && self.last == known;
        let backoff = self.failures.min(BACKOFF_DOUBLINGS_MAX);
        match is_reading {
            true => next,
            false => {
                let silence = interval_ms + STANDBY_MS + STANDBY_STEP_MS * rank as u64;
                let heard = known.unwrap_or_default().max(self.started).plus(silence);
                let retry = self.last.map(|last| last.plus(interval_ms << backoff));
                heard.max(retry.unwrap_or_default())
            }
        }
    }

    /// Records the start of a read.
    pub fn begin(&mut self, now: Millis) {
        self.last = Some(now);
    }

    /// Records whether the read has succeeded.
    pub fn end(&mut self, succeeded: bool) {
        self.failures = match succeeded {
            true => 0,
            false => self.failures.saturating_add(1),
        };
    }
}
