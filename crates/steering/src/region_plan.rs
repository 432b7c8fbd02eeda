//! Division of the objects of all regions among the regions, from the demand of each region.
//!
//! Designed for regions whose demand differs from their capacity and changes within seconds.
//! One instance computes the [`RegionPlan`] of a service from the demand that all gateways
//! report; the gateways follow it with [`PlanFollower`], so that all gateways of a region
//! agree on the region of an object. The plan depends on what callers ask for and not on where
//! their requests run, so that it doesn't react to its own effect, and old figures delay it
//! but don't make it oscillate.
//!
//! The division is the cheapest one: a request that leaves its region costs the part of its
//! slack that the round trip takes, where the slack is its objective less the work on a server
//! that holds its object, and each slot costs more the busier its region is. Routes with long
//! objectives leave first, routes that can't bear the distance stay up to a high utilization.

use std::collections::VecDeque;

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::min_cost_flow::Network;
use crate::region_assignment::{hash, hash_bytes};

/// Number of parts of the objects of a route that are assigned to regions.
pub const PARTS: u16 = 1_000;
/// Interval between two steps of a plan, in milliseconds.
pub const PLAN_STEP_MS: u64 = 500;
/// Parts of a region's requests that may change their region in [`SHIFT_MS`]. The rule is 0.15;
/// the rest is left for requests that leave for lack of capacity.
const SHIFT_MAX: u64 = 100;
/// The same for an instance that follows a plan. More than [`SHIFT_MAX`], so that it keeps up
/// with the plan unless it has missed some of it.
const FOLLOW_MAX: u64 = 120;
/// See [`SHIFT_MAX`]; in milliseconds.
const SHIFT_MS: u64 = 2_000;
/// Parts of a region's requests below which a difference to the target is left. Objects that
/// move lose their holder, and figures of small regions vary by about this much.
const SHIFT_MIN: u64 = 10;
/// Age up to which figures count in full, in milliseconds.
pub const FIGURES_MAX_AGE_MS: u64 = 3_000;
/// Time in which the figures of a region that is not heard of change to an equal share of the
/// demand, in milliseconds.
const FIGURES_DECAY_MS: u64 = 4_000;
/// Time by which demand is extrapolated, in milliseconds: about the age of the figures, and the
/// time until the plan is in force. A small region would otherwise be full whenever its demand
/// rises.
const LEAD_MS: f64 = 2_500.0;
/// Number of steps over which the trend of a region's demand is measured.
const TREND_STEPS: usize = 8;
/// Time by which a plan follows demand late, in milliseconds. See [`Swing`].
const LAG_MS: u64 = 2_500;
/// Time in which the remembered peak and rise of a region's demand halve, in milliseconds.
const SWING_HALF_LIFE_MS: f64 = 60_000.0;
/// Peak of a region's demand, relative to the first figures, and its rise in a millisecond, until
/// they are known.
const FIRST_SWING: (f64, f64) = (1.5, 0.000_08);
/// Share of a region's slots that its own demand may take at the foreseen peak.
const SAFE_UTILIZATION: f64 = 0.9;
/// Times for which the demand of a region is foreseen: distance in milliseconds, and number.
const FORESEEN: (u64, u64) = (1_000, 15);
/// Cost in thousandths of a request that stays although its region couldn't send requests away
/// as fast as its demand may rise.
const UNSAFE_COST: i64 = 600;
/// Bounds of the extrapolated demand, relative to the last figures.
const LEAD_BOUNDS: (f64, f64) = (0.6, 1.5);
/// Assumed round trip to another region without samples, in milliseconds.
const ROUND_TRIP_MS: u32 = 110;
/// Cost of a request that the round trip makes late, in thousandths; the round trip of one
/// with `ROUND_TRIP_MS` of slack costs 1,000.
const LATE_COST: i64 = 2_000;
/// Discount for what a region serves already, in thousandths. Without it, regions with equal
/// costs alternate.
const STAY_DISCOUNT: i64 = 100;
/// Utilization in percent up to which slots cost nothing, and above which their cost rises
/// steeply, since all requests of a full region wait.
const UTILIZATION: (u64, u64) = (60, 100);
/// Width of the bands of equal cost in percent of a region's slots, and their number.
const BANDS: (u64, u64) = (5, 28);
/// Increase of the cost from band to band, in thousandths: before a region is full, and after.
const BAND_COSTS: (i64, i64) = (50, 200);
/// Greatest share of objects that a region with servers sends to others for equal demand.
const REMOTE_MAX: f64 = 0.9;
/// Weight of a new sample of demand or work.
const SAMPLE_WEIGHT: f64 = 0.4;
/// Weight of a new sample of the work of one request.
const WORK_WEIGHT: f64 = 0.05;
/// Largest number of routes that a report or a plan contains.
pub const ROUTES_MAX: usize = 128;

/// Identifies a route of a service in figures and plans.
pub fn route_key(service: &Name, route: &Name) -> u32 {
    let parts = [service.as_bytes(), route.as_bytes()].map(hash_bytes);
    (hash(&parts) >> 32) as u32
}

/// Demand of callers for a route, before any of it is refused.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteDemand {
    /// See [`route_key`].
    pub key: u32,
    /// Requests in 10 s.
    pub rate: u32,
    /// Mean work of a request, in milliseconds.
    pub work_ms: u32,
    /// Work on a server that holds the object, in milliseconds.
    pub held_ms: u32,
    /// Requests of `rate` that may not leave the region.
    pub pinned: u32,
}

impl RouteDemand {
    // Thousandths of a slot that are busy if all of these requests run.
    fn slots(&self, rate: u32) -> u64 {
        u64::from(rate) * u64::from(self.work_ms) / 10
    }

    // Adds the demand of another instance.
    fn add(&mut self, other: &RouteDemand) {
        let total = u64::from(self.rate) + u64::from(other.rate);
        let mean = |a: u32, b: u32| {
            let sum = u64::from(a) * u64::from(self.rate) + u64::from(b) * u64::from(other.rate);
            sum.checked_div(total).unwrap_or(0) as u32
        };
        (self.work_ms, self.held_ms) = (
            mean(self.work_ms, other.work_ms),
            mean(self.held_ms, other.held_ms),
        );
        self.rate = u32::try_from(total).unwrap_or(u32::MAX);
        self.pinned = self.pinned.saturating_add(other.pinned);
    }

    fn scale(&mut self, factor: f64) {
        self.rate = (f64::from(self.rate) * factor) as u32;
        self.pinned = (f64::from(self.pinned) * factor) as u32;
    }

    // The demand, with a rate that is `weight` of 1,000 parts of another one.
    fn blend(&self, rate: u32, weight: u64) -> RouteDemand {
        let (own, other) = (u64::from(self.rate), u64::from(rate));
        let parts = u64::from(PARTS);
        let rate = (own * (parts - weight) + other * weight) / parts;
        RouteDemand {
            rate: rate as u32,
            pinned: u64::from(self.pinned).min(rate) as u32,
            ..*self
        }
    }
}

/// Figures that a gateway reports for its callers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DemandReport {
    /// The gateway.
    pub instance: Name,
    /// Demand by route.
    pub routes: Vec<RouteDemand>,
    /// Round trips to other regions, in milliseconds.
    pub round_trips: Vec<(Name, u32)>,
}

/// Figures of one region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegionFigures {
    /// Its name.
    pub region: Name,
    /// Slots of its servers, divided by their pace.
    pub slots: u32,
    /// Demand of its callers.
    pub routes: Vec<RouteDemand>,
    /// Round trips to other regions, in milliseconds.
    pub round_trips: Vec<(Name, u32)>,
}

impl RegionFigures {
    fn demand(&self, key: u32) -> Option<&RouteDemand> {
        self.routes.iter().find(|r| r.key == key)
    }

    fn round_trip_ms(&self, to: &Name) -> u32 {
        let known = self.round_trips.iter().find(|(name, _)| name == to);
        known.map_or(ROUND_TRIP_MS, |(_, ms)| *ms)
    }
}

#[derive(Clone, Debug)]
struct Received {
    at: Millis,
    region: Name,
    report: DemandReport,
}

/// The latest figures of all gateways.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    reports: IndexMap<Name, Received>,
}

impl DemandTable {
    /// Records the figures of a gateway of a region.
    pub fn record(&mut self, now: Millis, region: &Name, mut report: DemandReport) {
        report.routes.truncate(ROUTES_MAX);
        let received = Received {
            at: now,
            region: region.clone(),
            report,
        };
        self.reports
            .insert(received.report.instance.clone(), received);
        let kept = FIGURES_MAX_AGE_MS + FIGURES_DECAY_MS;
        self.reports.retain(|_, r| now.since(r.at) <= kept);
    }

    /// Whether any gateway has reported recently.
    pub fn has_figures(&self, now: Millis) -> bool {
        let mut reports = self.reports.values();
        reports.any(|r| now.since(r.at) <= FIGURES_MAX_AGE_MS)
    }

    /// Figures of all regions for the routes of one service. `slots` lists the regions. The last
    /// figures of a region of which none are recent change to an equal share of the demand.
    pub fn figures(&self, now: Millis, slots: &[(Name, u32)], keys: &[u32]) -> Vec<RegionFigures> {
        let summed = slots
            .iter()
            .map(|(name, slots)| self.sum(now, name, *slots, keys));
        let summed: Vec<(u64, RegionFigures)> = summed.collect();
        let heard = |(weight, _): &&(u64, RegionFigures)| *weight == 0;
        let count = summed.iter().filter(heard).count().max(1) as u64;
        let mean = |key: u32| -> RouteDemand {
            let mut total = RouteDemand {
                key,
                ..RouteDemand::default()
            };
            let known = summed.iter().filter(heard);
            known
                .filter_map(|(_, f)| f.demand(key))
                .for_each(|d| total.add(d));
            total.rate = (u64::from(total.rate) / count) as u32;
            total
        };
        let decay = |(weight, figures): &(u64, RegionFigures)| {
            let mut figures = figures.clone();
            if *weight > 0 {
                let blend = |key: &u32| {
                    let mean = mean(*key);
                    let own = figures.demand(*key).copied();
                    own.unwrap_or(RouteDemand {
                        rate: 0,
                        pinned: 0,
                        ..mean
                    })
                    .blend(mean.rate, *weight)
                };
                figures.routes = keys.iter().map(blend).filter(|d| d.rate > 0).collect();
            }
            figures
        };
        summed.iter().map(decay).collect()
    }

    // Sum over the gateways of a region, and the weight of an equal share in it.
    fn sum(&self, now: Millis, region: &Name, slots: u32, keys: &[u32]) -> (u64, RegionFigures) {
        let here = || self.reports.values().filter(|r| r.region == *region);
        let age = here().map(|r| now.since(r.at)).min().unwrap_or(u64::MAX);
        let beyond = age.saturating_sub(FIGURES_MAX_AGE_MS).min(FIGURES_DECAY_MS);
        let parts = u64::from(PARTS);
        let weight = (beyond * parts).div_ceil(FIGURES_DECAY_MS);
        // If all gateways of the region have fallen silent, all of them count.
        let oldest = age.saturating_add(FIGURES_MAX_AGE_MS);
        let counted = here().filter(|r| now.since(r.at) <= oldest);
        let mut figures = RegionFigures {
            region: region.clone(),
            slots,
            ..RegionFigures::default()
        };
        for key in keys {
            let mut total = RouteDemand {
                key: *key,
                ..RouteDemand::default()
            };
            let rows = counted.clone().flat_map(|r| &r.report.routes);
            rows.filter(|d| d.key == *key).for_each(|d| total.add(d));
            if total.rate > 0 {
                figures.routes.push(total);
            }
        }
        // The smallest distance is the one without queueing.
        for (to, ms) in counted.flat_map(|r| &r.report.round_trips) {
            match figures.round_trips.iter_mut().find(|(name, _)| name == to) {
                Some((_, known)) => *known = (*known).min(*ms),
                None => figures.round_trips.push((to.clone(), *ms)),
            }
        }
        (weight, figures)
    }
}

/// Number of parts of a route's objects that go to each region, in the order of the regions'
/// names. The parts of the home region lie between those of the others, so that a change moves
/// only the parts that one region gains and another one loses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shares(Vec<u16>);

impl Shares {
    /// Shares from numbers for each region, which are scaled to [`PARTS`]. All parts stay in the
    /// region `home` if the numbers are 0.
    fn scaled(numbers: &[u64], home: usize) -> Shares {
        let total: u64 = numbers.iter().sum();
        let parts = u64::from(PARTS);
        let part = |n: &u64| (n * parts).checked_div(total).unwrap_or(0) as u16;
        let mut shares: Vec<u16> = numbers.iter().map(part).collect();
        let rest = PARTS - shares.iter().sum::<u16>();
        if let Some(share) = shares.get_mut(home) {
            *share += rest;
        }
        Shares(shares)
    }

    /// Shares that give all regions the same utilization if their demand is equal.
    fn even(slots: &[u32], home: usize) -> Shares {
        let total: u32 = slots.iter().sum();
        let own = slots.get(home).copied().unwrap_or_default();
        let others = f64::from(total - own);
        if others == 0.0 {
            return Shares::scaled(&vec![0; slots.len()], home);
        }
        let mean = f64::from(total) / slots.len() as f64;
        let limit = match own {
            0 => 1.0,
            _ => REMOTE_MAX,
        };
        let away = (1.0 - f64::from(own) / mean).clamp(0.0, limit);
        let number = |(i, slots): (usize, &u32)| match i == home {
            true => (1e6 * (1.0 - away)) as u64,
            false => (1e6 * away * f64::from(*slots) / others) as u64,
        };
        let numbers: Vec<u64> = slots.iter().enumerate().map(number).collect();
        Shares::scaled(&numbers, home)
    }

    /// Parts that go to each region.
    pub fn parts(&self) -> &[u16] {
        &self.0
    }

    // Whether the shares are valid for this number of regions. Those of a peer may not be.
    fn is_valid(&self, regions: usize) -> bool {
        let total: u32 = self.0.iter().map(|part| u32::from(*part)).sum();
        self.0.len() == regions && total == u32::from(PARTS)
    }

    // The parts of each region, which are adjacent: start and end. Every second other region
    // gets parts from the lower end, the rest from the upper end, home what lies between.
    fn intervals(&self, home: usize) -> impl Iterator<Item = (usize, u16, u16)> + '_ {
        let (mut low, mut high) = (0, PARTS);
        let others = (0..self.0.len()).filter(move |i| *i != home);
        let all = others.enumerate().map(|(n, i)| (n % 2, i));
        all.chain([(2, home)]).map(move |(side, region)| {
            let share = self.0[region];
            let start = match side {
                0 => low,
                1 => high - share,
                _ => low,
            };
            match side {
                0 => low += share,
                1 => high -= share,
                _ => {}
            }
            (region, start, start + share)
        })
    }

    // Index of the region of a part.
    fn region(&self, home: usize, part: u16) -> usize {
        let mut all = self.intervals(home);
        let found = all.find(|(_, start, end)| (*start..*end).contains(&part));
        found.map_or(home, |(region, ..)| region)
    }

    // Number of parts that are in another region after a change to `next`.
    fn moved(&self, next: &Shares, home: usize) -> u64 {
        let pairs = self.intervals(home).zip(next.intervals(home));
        let kept = pairs.map(|((_, a, b), (_, c, d))| b.min(d).saturating_sub(a.max(c)));
        u64::from(PARTS) - kept.map(u64::from).sum::<u64>()
    }

    // The shares after `n` of `of` equal steps towards `target`.
    fn towards(&self, target: &Shares, n: u64, of: u64, home: usize) -> Shares {
        let mix = |(a, b): (&u16, &u16)| u64::from(*a) * (of - n) + u64::from(*b) * n;
        let numbers: Vec<u64> = self.0.iter().zip(&target.0).map(mix).collect();
        Shares::scaled(&numbers, home)
    }
}

// One route of a region, with the number of its requests.
struct Shift<'a> {
    rate: u64,
    shares: &'a mut Shares,
    target: Shares,
}

/// Number of equal steps into which a change is divided to find the longest one allowed.
const FRACTIONS: u64 = 64;

// Moves the routes of a region towards their targets, so that at most `limit` parts of its
// requests change their region. A difference of less than `min` parts is left.
fn shift(routes: &mut [Shift], home: usize, limit: u64, min: u64) {
    let total: u64 = routes.iter().map(|r| r.rate).sum::<u64>().max(1);
    let moved = |n: u64, routes: &[Shift]| -> u64 {
        let moved = routes.iter().map(|r| {
            let next = r.shares.towards(&r.target, n, FRACTIONS, home);
            r.rate * r.shares.moved(&next, home)
        });
        moved.sum::<u64>()
    };
    if moved(FRACTIONS, routes) < min * total {
        return;
    }
    let (mut least, mut most) = (0, FRACTIONS);
    while least < most {
        let n = (least + most).div_ceil(2);
        match moved(n, routes) <= limit * total {
            true => least = n,
            false => most = n - 1,
        }
    }
    for route in routes {
        *route.shares = route.shares.towards(&route.target, least, FRACTIONS, home);
    }
}

/// Row of a plan: the division of the objects of a route among regions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanRow {
    /// Index of the region of the callers.
    pub home: u8,
    /// See [`route_key`].
    pub key: u32,
    /// Requests of the route in 10 s.
    pub rate: u32,
    /// Shares of the regions.
    pub shares: Shares,
}

/// The plan of all services.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanNotice {
    /// Age of the plan in milliseconds.
    pub age_ms: u64,
    /// All regions, in the order of their names.
    pub regions: Vec<Name>,
    /// Shares by region and route.
    pub rows: Vec<PlanRow>,
}

impl PlanNotice {
    /// The part of the plan that the gateways of a region need.
    pub fn of_region(&self, region: &Name) -> PlanNotice {
        let home = self.regions.iter().position(|name| name == region);
        let rows = self
            .rows
            .iter()
            .filter(|r| Some(usize::from(r.home)) == home);
        PlanNotice {
            rows: rows.cloned().collect(),
            ..self.clone()
        }
    }
}

/// Division of the objects of a route of one region, and its requests in 10 s.
#[derive(Clone, Debug)]
struct Planned {
    rate: u32,
    shares: Shares,
}

/// How far and how fast the demand of a region has risen lately, in thousandths of a slot.
///
/// Objects that have returned to a small region while its demand was low can't leave fast enough
/// when it rises, since steps are limited. Therefore a region keeps only what it can send away
/// in time if its demand rises as fast and as far as before.
#[derive(Clone, Copy, Debug, Default)]
struct Swing {
    demand: f64,
    peak: f64,
    // Greatest rise in a millisecond.
    rise: f64,
}

impl Swing {
    fn record(&mut self, elapsed_ms: u64, demand: f64, slope: f64) {
        if self.peak == 0.0 {
            (self.peak, self.rise) = (demand * FIRST_SWING.0, demand * FIRST_SWING.1);
        }
        let kept = 0.5f64.powf(elapsed_ms as f64 / SWING_HALF_LIFE_MS);
        self.peak = demand.max(demand + (self.peak - demand) * kept);
        self.rise = slope.max(self.rise * kept);
        self.demand = demand;
    }

    // Largest share of its demand that a region can keep.
    fn share(&self, slots: u32) -> f64 {
        let capacity = f64::from(slots) * 1_000.0 * SAFE_UTILIZATION;
        let share = |n: u64| {
            let after = n * FORESEEN.0;
            let demand = (self.demand + self.rise * after as f64).min(self.peak);
            let shifted = SHIFT_MAX * after.saturating_sub(LAG_MS) / SHIFT_MS;
            capacity / demand.max(1.0) + shifted as f64 / f64::from(PARTS)
        };
        (0..FORESEEN.1).map(share).fold(1.0, f64::min)
    }
}

/// Plan of one service.
#[derive(Clone, Debug, Default)]
pub struct RegionPlan {
    regions: Vec<Name>,
    rows: IndexMap<(usize, u32), Planned>,
    // Demand of each region in the last steps, in thousandths of a slot.
    history: VecDeque<(Millis, Vec<u64>)>,
    swings: Vec<Swing>,
    stepped: Option<Millis>,
}

impl RegionPlan {
    /// Continues a plan that another instance has made, so that a new one doesn't shift requests
    /// at once.
    pub fn resume(notice: &PlanNotice, keys: &[u32]) -> RegionPlan {
        let valid = |r: &&PlanRow| keys.contains(&r.key) && r.shares.is_valid(notice.regions.len());
        let rows = notice.rows.iter().filter(valid);
        let rows = rows.map(|r| {
            let (rate, shares) = (r.rate, r.shares.clone());
            ((usize::from(r.home), r.key), Planned { rate, shares })
        });
        RegionPlan {
            regions: notice.regions.clone(),
            rows: rows.collect(),
            history: VecDeque::new(),
            swings: Vec::new(),
            stepped: None,
        }
    }

    /// Takes one step towards the cheapest division. `figures` lists all regions;
    /// `objectives` contains the latency objective of each route in milliseconds.
    pub fn step(&mut self, now: Millis, figures: &[RegionFigures], objectives: &[(u32, u64)]) {
        let mut figures: Vec<&RegionFigures> = figures.iter().collect();
        figures.sort_by(|a, b| a.region.cmp(&b.region));
        let regions: Vec<Name> = figures.iter().map(|f| f.region.clone()).collect();
        if regions != self.regions {
            (self.regions, self.rows) = (regions, IndexMap::new());
            self.history.clear();
            self.swings.clear();
        }
        self.swings.resize(figures.len(), Swing::default());
        let leads = self.leads(now, &figures);
        let mut expected: Vec<RegionFigures> = figures.iter().map(|f| (*f).clone()).collect();
        for (region, lead) in expected.iter_mut().zip(leads) {
            region.routes.iter_mut().for_each(|d| d.scale(lead));
        }
        let figures: Vec<&RegionFigures> = expected.iter().collect();
        let slots: Vec<u32> = figures.iter().map(|f| f.slots).collect();
        self.rows
            .retain(|(_, key), _| objectives.iter().any(|(k, _)| k == key));
        self.rows.values_mut().for_each(|row| row.rate = 0);
        for (home, demand) in demands(&figures) {
            let even = || Planned {
                rate: 0,
                shares: Shares::even(&slots, home),
            };
            let row = self.rows.entry((home, demand.key)).or_insert_with(even);
            row.rate = demand.rate;
        }
        let mut targets = self.targets(&figures, objectives);
        let elapsed = self.stepped.map_or(PLAN_STEP_MS, |at| now.since(at));
        let limit = SHIFT_MAX * elapsed.min(PLAN_STEP_MS) / SHIFT_MS;
        self.stepped = Some(now);
        for home in 0..self.regions.len() {
            let rows = self.rows.iter_mut().filter(|((h, _), _)| *h == home);
            let shifts = rows.filter_map(|(at, row)| {
                let target = targets.swap_remove(at)?;
                Some(Shift {
                    rate: u64::from(row.rate),
                    shares: &mut row.shares,
                    target,
                })
            });
            let mut shifts: Vec<Shift> = shifts.collect();
            shift(&mut shifts, home, limit, SHIFT_MIN);
        }
    }

    // Factors by which the demand of the regions is expected to change, from the slopes of
    // least squares over the last steps.
    fn leads(&mut self, now: Millis, figures: &[&RegionFigures]) -> Vec<f64> {
        let slots = |f: &&RegionFigures| f.routes.iter().map(|d| d.slots(d.rate)).sum();
        let demand: Vec<u64> = figures.iter().map(slots).collect();
        let newest = demand.clone();
        self.history.push_back((now, demand));
        if self.history.len() > TREND_STEPS {
            self.history.pop_front();
        }
        let count = self.history.len() as f64;
        let ages = || self.history.iter().map(|(at, _)| now.since(*at) as f64);
        let mean_age = ages().sum::<f64>() / count;
        let spread: f64 = ages().map(|age| (age - mean_age).powi(2)).sum();
        let slope = |n: usize| {
            let values = || self.history.iter().map(|(_, demand)| demand[n] as f64);
            let mean = values().sum::<f64>() / count;
            let covariance = ages().zip(values());
            let covariance: f64 = covariance
                .map(|(age, v)| (mean_age - age) * (v - mean))
                .sum();
            let last = newest[n] as f64;
            match spread > 0.0 {
                true => (last, covariance / spread),
                false => (last, 0.0),
            }
        };
        let slopes: Vec<(f64, f64)> = (0..figures.len()).map(slope).collect();
        let elapsed = self.stepped.map_or(0, |at| now.since(at));
        for (swing, (demand, slope)) in self.swings.iter_mut().zip(&slopes) {
            swing.record(elapsed, *demand, *slope);
        }
        let lead = |(demand, slope): &(f64, f64)| {
            let factor = 1.0 + slope * LEAD_MS / demand.max(1.0);
            factor.clamp(LEAD_BOUNDS.0, LEAD_BOUNDS.1)
        };
        slopes.iter().map(lead).collect()
    }

    /// Rows of the plan.
    pub fn rows(&self) -> impl Iterator<Item = PlanRow> + '_ {
        self.rows.iter().map(|((home, key), row)| PlanRow {
            home: *home as u8,
            key: *key,
            rate: row.rate,
            shares: row.shares.clone(),
        })
    }

    /// Shares of a route of a region.
    pub fn shares(&self, region: &Name, key: u32) -> Option<&Shares> {
        let home = self.regions.iter().position(|name| name == region)?;
        self.rows.get(&(home, key)).map(|row| &row.shares)
    }

    // The cheapest division of all routes with demand.
    fn targets(
        &self,
        figures: &[&RegionFigures],
        objectives: &[(u32, u64)],
    ) -> IndexMap<(usize, u32), Shares> {
        let demands: Vec<(usize, &RouteDemand)> = demands(figures).collect();
        let (first_region, source) = (demands.len(), demands.len() + figures.len());
        let (sink, first_home) = (source + 1, source + 2);
        let mut network = Network::new(first_home + figures.len());
        let mut edges = Vec::with_capacity(demands.len());
        for (n, (home, demand)) in demands.iter().enumerate() {
            let free = demand.slots(demand.rate.saturating_sub(demand.pinned));
            network.add(source, n, free, 0);
            let objective = objectives.iter().find(|(key, _)| *key == demand.key);
            let objective_ms = objective.map_or(0, |(_, ms)| *ms);
            let before = self.rows.get(&(*home, demand.key));
            let to = |(t, region): (usize, &&RegionFigures)| {
                let round_trip_ms = match t == *home {
                    true => 0,
                    false => figures[*home].round_trip_ms(&region.region),
                };
                let cost = leaving_cost(demand, objective_ms, round_trip_ms);
                let kept = before.map_or(0, |row| u64::from(row.shares.0[t]));
                let kept = free * kept / u64::from(PARTS);
                let node = match t == *home {
                    true => first_home + t,
                    false => first_region + t,
                };
                let discounted = network.add(n, node, kept, cost - STAY_DISCOUNT);
                (discounted, network.add(n, node, free, cost))
            };
            let to: Vec<(usize, usize)> = figures.iter().enumerate().map(to).collect();
            edges.push(to);
        }
        for (t, region) in figures.iter().enumerate() {
            let pinned = region.routes.iter().map(|d| d.slots(d.pinned)).sum();
            let demand: u64 = region.routes.iter().map(|d| d.slots(d.rate)).sum();
            let safe = self.swings.get(t).map_or(1.0, |s| s.share(region.slots));
            let safe = ((demand as f64 * safe) as u64).saturating_sub(pinned);
            network.add(first_home + t, first_region + t, safe, 0);
            network.add(first_home + t, first_region + t, u64::MAX / 4, UNSAFE_COST);
            add_bands(&mut network, first_region + t, sink, region.slots, pinned);
        }
        network.solve(source, sink);
        let target = |(n, (home, demand)): (usize, &(usize, &RouteDemand))| {
            let flow = |(a, b): &(usize, usize)| network.flow(*a) + network.flow(*b);
            let flows: Vec<u64> = edges[n].iter().map(flow).collect();
            ((*home, demand.key), Shares::scaled(&flows, *home))
        };
        demands.iter().enumerate().map(target).collect()
    }
}

fn demands<'a>(
    figures: &'a [&RegionFigures],
) -> impl Iterator<Item = (usize, &'a RouteDemand)> + use<'a> {
    let rows = figures.iter().enumerate();
    rows.flat_map(|(home, f)| f.routes.iter().map(move |d| (home, d)))
}

// Cost of a request that runs at a distance, in thousandths.
fn leaving_cost(demand: &RouteDemand, objective_ms: u64, round_trip_ms: u32) -> i64 {
    let slack_ms = objective_ms.saturating_sub(u64::from(demand.held_ms));
    let round_trip_ms = u64::from(round_trip_ms);
    match round_trip_ms {
        0 => 0,
        _ if round_trip_ms >= slack_ms => LATE_COST,
        _ => (round_trip_ms * 1_000 / slack_ms) as i64,
    }
}

// Adds the slots of a region in bands of rising cost. `pinned` thousandths of a slot are taken.
fn add_bands(network: &mut Network, region: usize, sink: usize, slots: u32, pinned: u64) {
    let milli_slots = |percent: u64| u64::from(slots) * percent * 10;
    let mut taken = pinned;
    let (mut until, mut cost) = (UTILIZATION.0, 0);
    let mut from = 0;
    for _ in 0..BANDS.1 {
        let width = milli_slots(until) - milli_slots(from);
        let free = width.saturating_sub(taken);
        taken = taken.saturating_sub(width);
        network.add(region, sink, free, cost);
        (from, until) = (until, until + BANDS.0);
        cost += match from < UTILIZATION.1 {
            true => BAND_COSTS.0,
            false => BAND_COSTS.1,
        };
    }
    network.add(region, sink, u64::MAX / 4, cost);
}

/// A plan as a gateway follows it, for one service and its own region.
///
/// Until the first plan is received, and while the last one is too old, the objects are divided
/// as for equal demand in all regions.
#[derive(Clone, Debug)]
pub struct PlanFollower {
    service: Name,
    home: Name,
    regions: Vec<Name>,
    slots: Vec<u32>,
    // Shares of the routes that aren't planned.
    base: Shares,
    routes: IndexMap<u32, Followed>,
    // Time of the plan that was received last.
    planned: Option<Millis>,
    stepped: Option<Millis>,
    has_requests: bool,
    meters: IndexMap<Name, Meter>,
    metered: Option<Millis>,
}

/// A route of the plan that is followed, with its requests in 10 s.
#[derive(Clone, Debug)]
struct Followed {
    rate: u32,
    shares: Shares,
    target: Shares,
}

impl PlanFollower {
    /// Follows the plan of a service in the region `home`.
    pub fn new(service: &Name, home: &Name) -> PlanFollower {
        PlanFollower {
            service: service.clone(),
            home: home.clone(),
            regions: Vec::new(),
            slots: Vec::new(),
            base: Shares(Vec::new()),
            routes: IndexMap::new(),
            planned: None,
            stepped: None,
            has_requests: false,
            meters: IndexMap::new(),
            metered: None,
        }
    }

    /// Sets the slots of all regions.
    pub fn set_capacities(&mut self, capacities: &[(Name, u32)]) {
        let mut sorted = capacities.to_vec();
        sorted.sort();
        let regions: Vec<Name> = sorted.iter().map(|(name, _)| name.clone()).collect();
        self.slots = sorted.iter().map(|(_, slots)| *slots).collect();
        let is_new = regions != self.regions;
        if is_new {
            (self.regions, self.planned) = (regions, None);
            self.routes.clear();
        }
        match self.home_index() {
            Some(home) if is_new || !self.has_requests => {
                self.base = Shares::even(&self.slots, home);
            }
            Some(_) | None => {}
        }
    }

    /// Takes over the targets of a plan. Before the first request, they are in force at once.
    pub fn receive(&mut self, now: Millis, notice: &PlanNotice) {
        let planned = now.minus(notice.age_ms);
        let is_older = self.planned.is_some_and(|at| planned <= at);
        let Some(home) = self.home_index() else {
            return;
        };
        if notice.regions != self.regions || is_older {
            return;
        }
        let count = self.regions.len();
        let rows = notice.rows.iter().filter(|r| usize::from(r.home) == home);
        let rows = rows.filter(|r| r.shares.is_valid(count)).take(ROUTES_MAX);
        let mut known = std::mem::take(&mut self.routes);
        let follow = |row: &PlanRow| {
            let before = known.swap_remove(&row.key).filter(|_| self.has_requests);
            let shares = match before {
                Some(route) => route.shares,
                None if self.has_requests => self.base.clone(),
                None => row.shares.clone(),
            };
            let (rate, target) = (row.rate, row.shares.clone());
            (
                row.key,
                Followed {
                    rate,
                    shares,
                    target,
                },
            )
        };
        self.routes = rows.map(follow).collect();
        self.planned = Some(planned);
    }

    /// Moves the shares towards the plan, or, if it is too old, towards the division for equal
    /// demand.
    pub fn step(&mut self, now: Millis) {
        let Some(home) = self.home_index() else {
            return;
        };
        let is_old = self
            .planned
            .is_none_or(|at| now.since(at) > FIGURES_MAX_AGE_MS);
        let elapsed = self.stepped.map_or(0, |at| now.since(at));
        let limit = FOLLOW_MAX * elapsed.min(SHIFT_MS) / SHIFT_MS;
        self.stepped = Some(now);
        let even = Shares::even(&self.slots, home);
        let base = Shift {
            rate: 1,
            shares: &mut self.base,
            target: even.clone(),
        };
        shift(&mut [base], home, limit, 0);
        let routes = self.routes.values_mut().map(|route| Shift {
            rate: u64::from(route.rate),
            shares: &mut route.shares,
            target: match is_old {
                true => even.clone(),
                false => route.target.clone(),
            },
        });
        let mut routes: Vec<Shift> = routes.collect();
        shift(&mut routes, home, limit, 0);
    }

    /// The region of an object of a route; `None` if no servers are known.
    pub fn region(&self, route: &Name, object: u64) -> Option<&Name> {
        let home = self.home_index()?;
        let part = ((hash(&[object, 1]) >> 32) * u64::from(PARTS)) >> 32;
        let followed = self.routes.get(&route_key(&self.service, route));
        let shares = followed.map_or(&self.base, |r| &r.shares);
        self.regions.get(shares.region(home, part as u16))
    }

    /// Share of the objects that go to other regions, from 0 to 1: the mean of all routes.
    pub fn remote_share(&self) -> f64 {
        let Some(home) = self.home_index() else {
            return 0.0;
        };
        let away = |shares: &Shares| 1.0 - f64::from(shares.0[home]) / f64::from(PARTS);
        let routes = self.routes.values();
        let rated = routes.map(|r| (f64::from(r.rate), away(&r.shares)));
        let (rates, sum) = rated.fold((0.0, 0.0), |(rates, sum), (rate, away)| {
            (rates + rate, sum + rate * away)
        });
        match rates > 0.0 {
            true => sum / rates,
            false => away(&self.base),
        }
    }

    /// Whether objects go to a region, or will soon.
    pub fn uses(&self, region: &Name) -> bool {
        let Some(index) = self.regions.iter().position(|name| name == region) else {
            return false;
        };
        let has_part = |shares: &Shares| shares.0.get(index).is_some_and(|part| *part > 0);
        let mut routes = self.routes.values();
        match routes.len() {
            0 => has_part(&self.base),
            _ => routes.any(|r| has_part(&r.shares) || has_part(&r.target)),
        }
    }

    /// Age of the plan in milliseconds; `None` while none is known.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.planned.map(|at| now.since(at))
    }

    /// Counts a request of a caller of this instance. `is_pinned` says that it may not leave
    /// the region.
    pub fn record_request(&mut self, route: &Name, is_pinned: bool) {
        self.has_requests = true;
        let meter = self.meters.entry(route.clone()).or_default();
        meter.count += 1;
        meter.pinned_count += u32::from(is_pinned);
    }

    /// Records the work of a request, in milliseconds.
    pub fn record_work(&mut self, route: &Name, work_ms: f64) {
        let work = &mut self.meters.entry(route.clone()).or_default().work_ms;
        *work = Some(work.map_or(work_ms, |old| old + WORK_WEIGHT * (work_ms - old)));
    }

    /// Demand since the last call, averaged with that before. `held_ms` returns the work on a
    /// server that holds the object, in milliseconds; it stands for the work of a route that has
    /// no samples.
    pub fn demand(&mut self, now: Millis, held_ms: impl Fn(&Name) -> f64) -> Vec<RouteDemand> {
        let elapsed = self.metered.map_or(0, |at| now.since(at));
        self.metered = Some(now);
        let service = &self.service;
        let rows = self.meters.iter_mut().map(|(route, meter)| {
            meter.update(elapsed);
            let held = held_ms(route);
            RouteDemand {
                key: route_key(service, route),
                rate: meter.rate.round() as u32,
                work_ms: meter.work_ms.unwrap_or(held).round() as u32,
                held_ms: held.round() as u32,
                pinned: meter.pinned.min(meter.rate).round() as u32,
            }
        });
        let rows: Vec<RouteDemand> = rows.collect();
        self.meters.retain(|_, m| m.rate > 0.01 || m.count > 0);
        rows.into_iter().filter(|d| d.rate > 0).collect()
    }

    fn home_index(&self) -> Option<usize> {
        self.regions.iter().position(|name| *name == self.home)
    }
}

/// Requests of one route. Rates are in 10 s.
#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    count: u32,
    pinned_count: u32,
    rate: f64,
    pinned: f64,
    work_ms: Option<f64>,
}

impl Meter {
    fn update(&mut self, elapsed_ms: u64) {
        if elapsed_ms == 0 {
            return;
        }
        let weight = 1.0 - (1.0 - SAMPLE_WEIGHT).powf(elapsed_ms as f64 / PLAN_STEP_MS as f64);
        let rate = |count: u32| f64::from(count) * 10_000.0 / elapsed_ms as f64;
        self.rate += weight * (rate(self.count) - self.rate);
        self.pinned += weight * (rate(self.pinned_count) - self.pinned);
        (self.count, self.pinned_count) = (0, 0);
    }
}
