//! The latest measurements that each entry reported to the leader.

use indexmap::IndexMap;
use pomelovale_protocol::report::{Report, ServiceLoad};
use pomelovale_state::document::{Document, Instance, MemberState};
use pomelovale_state::{Millis, Name};

/// Largest age of a measurement that a decision may use.
pub const MEASUREMENT_AGE_MAX_MS: u64 = 3_000;
/// Time without a report after which an entry is removed from the entry list.
pub const LOST_AFTER_MS: u64 = 5_000;

/// Time for which the report of an entry that is not in the document is kept.
const REPORT_LIFE_MS: u64 = 60_000;

/// A report and when the leader received it.
#[derive(Clone, Debug)]
struct Received {
    at: Millis,
    report: Report,
}

/// Load of one service in one region, summed over all entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RegionLoad {
    /// Requests per second.
    pub rate: u64,
    /// Failed requests per second.
    pub failed: u64,
    /// Busy slots: the larger of those that servers report and the requests that
    /// entries have in flight.
    pub busy: u64,
    /// Age of the oldest measurement used, in milliseconds; `u64::MAX` if one is
    /// missing.
    pub oldest: u64,
}

/// The latest report of each entry.
#[derive(Clone, Debug)]
pub struct Measurements {
    since: Millis,
    lost_ms: u64,
    lost_all_ms: u64,
    reports: IndexMap<Name, Received>,
}

impl Default for Measurements {
    fn default() -> Measurements {
        Measurements::new(Millis(0))
    }
}

impl Measurements {
    /// Creates an empty set of measurements for a leader that starts at `now`.
    pub fn new(now: Millis) -> Measurements {
        Measurements {
            since: now,
            lost_ms: LOST_AFTER_MS,
            lost_all_ms: 0,
            reports: IndexMap::new(),
        }
    }

    /// Sets the time without a report after which an entry counts as lost, and
    /// the time after which it does so even if most entries don't report (0: never).
    pub fn set_lost_timeouts(&mut self, lost_ms: u64, lost_all_ms: u64) {
        (self.lost_ms, self.lost_all_ms) = (lost_ms, lost_all_ms);
    }

    /// Stores a report in place of the entry's previous one.
    pub fn record(&mut self, now: Millis, report: &Report) {
        let received = Received {
            at: now,
            report: report.clone(),
        };
        self.reports.insert(report.instance.clone(), received);
    }

    /// Age of an entry's latest report in milliseconds; `u64::MAX` without one.
    pub fn age(&self, now: Millis, instance: &Name) -> u64 {
        self.reports
            .get(instance)
            .map_or(u64::MAX, |r| now.since(r.at))
    }

    /// The latest report of an entry.
    pub fn report(&self, instance: &Name) -> Option<&Report> {
        self.reports.get(instance).map(|r| &r.report)
    }

    /// Serving entries without a report of at most [`MEASUREMENT_AGE_MAX_MS`] that
    /// confirms `version` of the document or a later one, and drained entries
    /// likewise while they report.
    pub fn instances_behind(&self, document: &Document, now: Millis, version: u64) -> Vec<Name> {
        let confirms = |name: &Name| match self.reports.get(name) {
            Some(r) => now.since(r.at) <= MEASUREMENT_AGE_MAX_MS && r.report.version >= version,
            None => false,
        };
        self.counted_instances(document, now)
            .filter(|n| !confirms(n))
            .cloned()
            .collect()
    }

    /// Load of a service in a region. If an entry has not reported, the load is
    /// incomplete and its `oldest` is `u64::MAX`.
    pub fn load(
        &self,
        document: &Document,
        now: Millis,
        service: &Name,
        region: &Name,
    ) -> RegionLoad {
        let mut sum = RegionLoad::default();
        let (mut outstanding, mut reported, mut freshest) = (0, 0, u64::MAX);
        for name in self.counted_instances(document, now) {
            let Some(r) = self.reports.get(name) else {
                sum.oldest = u64::MAX;
                continue;
            };
            sum.oldest = sum.oldest.max(now.since(r.at));
            let Some(row) = find_row(&r.report, service, region) else {
                continue;
            };
            sum.rate += row.rate;
            sum.failed += row.failed;
            outstanding += row.outstanding;
            if row.slots > 0 {
                reported = reported.max(row.busy);
                freshest = freshest.min(row.oldest_ms.saturating_add(now.since(r.at)));
            }
        }
        // All entries poll the same servers, so the most recent poll is enough.
        sum.oldest = sum.oldest.max(freshest);
        sum.busy = outstanding.max(reported);
        sum
    }

    /// Traffic between two regions in kbit/s, in both directions, summed over all
    /// entries.
    pub fn link_kbits(&self, document: &Document, now: Millis, from: &Name, to: &Name) -> u64 {
        let rows = self
            .counted_instances(document, now)
            .filter_map(|n| self.reports.get(n))
            .flat_map(|r| &r.report.links);
        rows.filter(|l| (&l.from, &l.to) == (from, to) || (&l.from, &l.to) == (to, from))
            .map(|l| l.kbits)
            .sum()
    }

    /// Changes of state for entries that stopped reporting, report again, or report
    /// that they are stopping. If most entries stop reporting at once, none is
    /// removed before the second timeout of [`Measurements::set_lost_timeouts`]: the
    /// fault is then more likely between them and the leader. Entries that an
    /// operator drained stay drained.
    pub fn membership_changes(&self, document: &Document, now: Millis) -> Vec<(Name, MemberState)> {
        let is_stopping = |n: &Name| self.reports.get(n).is_some_and(|r| r.report.leaving);
        let stopped_reporting = |n: &Name| self.time_since_report(now, n) > self.lost_ms;
        let mut changes = Vec::new();
        let (mut lost, mut serving) = (Vec::new(), 0);
        for (name, instance) in document
            .instances
            .iter()
            .filter(|(_, i)| i.callers.is_some())
        {
            serving += usize::from(instance.state == MemberState::Serving);
            match instance.state {
                MemberState::Away
                    if self.reports.contains_key(name)
                        && !stopped_reporting(name)
                        && !is_stopping(name) =>
                {
                    changes.push((name.clone(), MemberState::Serving));
                }
                MemberState::Serving if stopped_reporting(name) => {
                    lost.push((name.clone(), MemberState::Away))
                }
                MemberState::Serving if is_stopping(name) => {
                    changes.push((name.clone(), MemberState::Away))
                }
                MemberState::Away | MemberState::Leaving | MemberState::Serving => {}
            }
        }
        let minority_lost = lost.len() * 2 <= serving;
        let lost_for_long =
            |n: &Name| self.lost_all_ms > 0 && self.time_since_report(now, n) > self.lost_all_ms;
        changes.extend(
            lost.into_iter()
                .filter(|(n, _)| minority_lost || lost_for_long(n)),
        );
        changes
    }

    // Without a report, the time counts from the start of this leader, so that each
    // entry has the full timeout for its first report to a new leader.
    fn time_since_report(&self, now: Millis, instance: &Name) -> u64 {
        let last = self.reports.get(instance).map_or(self.since, |r| r.at);
        now.since(last)
    }

    /// Entries whose measurements count: those that serve, and drained ones while
    /// they report.
    fn counted_instances<'a>(
        &'a self,
        document: &'a Document,
        now: Millis,
    ) -> impl Iterator<Item = &'a Name> {
        let counts = move |(name, i): &(&Name, &Instance)| match i.state {
            _ if i.callers.is_none() => false,
            MemberState::Away => false,
            MemberState::Leaving => self.age(now, name) <= self.lost_ms,
            MemberState::Serving => true,
        };
        document.instances.iter().filter(counts).map(|(n, _)| n)
    }

    /// The latest reports of all entries that have reported.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values().map(|r| &r.report)
    }

    /// Drops the reports of entries that are not in the document and have not
    /// reported recently.
    pub fn retain(&mut self, document: &Document, now: Millis) {
        let known = |name: &Name| document.instances.contains_key(name);
        self.reports
            .retain(|name, r| known(name) || now.since(r.at) < REPORT_LIFE_MS);
    }
}

fn find_row<'a>(report: &'a Report, service: &Name, region: &Name) -> Option<&'a ServiceLoad> {
    report
        .services
        .iter()
        .find(|s| &s.service == service && &s.region == region)
}
