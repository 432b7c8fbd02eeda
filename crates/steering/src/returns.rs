//! Retry delays of rejected callers, and callers that return at the time they were given.

use indexmap::IndexMap;
use pomelovale_state::Millis;

/// Shortest and longest retry delay, in milliseconds.
const RETRY_MS: (u64, u64) = (60, 2_000);
/// Part of the time that a caller has left up to which it retries.
const LEFT_PART: u64 = 3;
/// Drain rate that is assumed while no request has ended, in requests per millisecond.
const DRAIN_MIN: f64 = 0.005;
/// Time for which the place of a caller is kept after it, in milliseconds.
const KEPT_MS: u64 = 1_000;
/// Largest number of places that are kept: 64 KB.
const PLACES_MAX: usize = 4_096;

/// How a request relates to earlier rejections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Return {
    /// Its caller came back before the time that it was given.
    Early,
    /// No rejection of it is known.
    First,
    /// Its caller came back at the time that it was given.
    OnTime,
}

/// Virtual queue of rejected callers. Each gets the next free place, so that they don't
/// all return at once.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    // By fingerprint of the request, the oldest first.
    places: IndexMap<u64, Millis>,
    // Time of the next free place, in milliseconds.
    next_ms: f64,
}

impl Returns {
    /// Gives a rejected caller a place and returns the time until it, in milliseconds.
    /// `drain` is the number of requests that end per millisecond.
    pub fn give_place(&mut self, now: Millis, drain: f64, left_ms: u64, fingerprint: u64) -> u64 {
        let longest = (left_ms / LEFT_PART).min(RETRY_MS.1).max(RETRY_MS.0);
        let bounds = (now.plus(RETRY_MS.0).0 as f64, now.plus(longest).0 as f64);
        let place = self.next_ms.clamp(bounds.0, bounds.1);
        // A place beyond the longest delay would be given to nobody.
        self.next_ms = place + 1.0 / drain.max(DRAIN_MIN);
        let place = Millis(place as u64);
        self.put(now, fingerprint, place);
        place.since(now)
    }

    /// Sets the time at which a rejected caller is to return.
    pub fn put(&mut self, now: Millis, fingerprint: u64, place: Millis) {
        self.places.shift_remove(&fingerprint);
        self.places.insert(fingerprint, place);
        self.expire(now);
    }

    /// Returns how a request relates to earlier rejections, and forgets these.
    pub fn take(&mut self, now: Millis, fingerprint: u64) -> Return {
        match self.places.shift_remove(&fingerprint) {
            Some(place) if now < place => Return::Early,
            Some(place) if now.since(place) <= KEPT_MS => Return::OnTime,
            Some(_) | None => Return::First,
        }
    }

    /// Number of places that are kept.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no place is kept.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    fn expire(&mut self, now: Millis) {
        let is_over = |place: &Millis| now.since(*place) > KEPT_MS;
        while self.places.len() > PLACES_MAX
            || self.places.first().is_some_and(|(_, place)| is_over(place))
        {
            self.places.shift_remove_index(0);
        }
    }
}
