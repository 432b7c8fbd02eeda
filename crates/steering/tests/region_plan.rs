//! Division of objects among regions by a plan, played without a network: regions with a third
//! of the demand each and 48%, 10% and 42% of the slots.

use std::collections::VecDeque;

use pomelovale_state::{Millis, Name};
use pomelovale_steering::region_assignment::{hash, RegionAssignment, STEP_MS};
use pomelovale_steering::region_plan::{
    route_key, DemandReport, DemandTable, PlanFollower, PlanNotice, RegionFigures, RegionPlan,
    RouteDemand, PLAN_STEP_MS,
};

const REGIONS: [&str; 3] = ["east", "mid", "west"];
const SLOTS: [u32; 3] = [522, 108, 450];
/// Name, objective, work and work on a holder in milliseconds, and share of the requests.
const ROUTES: [(&str, u64, u32, u32, f64); 4] = [
    ("lookup", 800, 700, 336, 0.3),
    ("permit", 2_000, 900, 444, 0.2),
    ("download", 500, 560, 264, 0.25),
    ("bunk", 600, 560, 264, 0.25),
];
/// Age of the figures when the plan is made, and delay of the plan for two gateways.
const FIGURES_AGE_MS: u64 = 2_000;
const DELAYS_MS: [u64; 2] = [200, 600];
const OBJECTS: u64 = 100;
/// Largest share of a region's requests that may change the region in 2 s.
const SHIFT_MAX: f64 = 0.15;

fn keys() -> Vec<u32> {
    let keys = ROUTES.iter().map(|r| route_key(&"s".into(), &r.0.into()));
    keys.collect()
}

fn objectives() -> Vec<(u32, u64)> {
    keys().into_iter().zip(ROUTES.iter().map(|r| r.1)).collect()
}

fn capacities() -> Vec<(Name, u32)> {
    let slots = REGIONS.iter().zip(SLOTS);
    slots.map(|(name, slots)| ((*name).into(), slots)).collect()
}

/// Demand by region in slots at a time in milliseconds.
type Demand<'a> = &'a dyn Fn(u64) -> [f64; 3];

fn waves(utilization: f64) -> impl Fn(u64) -> [f64; 3] {
    let mean = utilization * f64::from(SLOTS.iter().sum::<u32>()) / 3.0;
    move |ms| {
        [0.0, 1.0, 2.0].map(|n| {
            let turns = ms as f64 / 36_000.0 + n / 3.0;
            mean * (1.0 + 0.55 * (turns * std::f64::consts::TAU).sin())
        })
    }
}

fn routes(slots: f64) -> Vec<RouteDemand> {
    let mean_work: f64 = ROUTES.iter().map(|r| f64::from(r.2) * r.4).sum();
    let rate = slots * 10_000.0 / mean_work;
    let row = |(key, r): (u32, &(&str, u64, u32, u32, f64))| RouteDemand {
        key,
        rate: (rate * r.4) as u32,
        work_ms: r.2,
        held_ms: r.3,
        pinned: 0,
    };
    keys().into_iter().zip(&ROUTES).map(row).collect()
}

/// How the regions are divided.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// By utilizations, for all routes alike.
    Assignment,
    /// By the plan; no figures and no plans get through in this time.
    Plan { cut: (u64, u64) },
}

const PLAN: Way = Way::Plan { cut: (0, 0) };

/// What callers got, from 10 s on.
#[derive(Debug, Default)]
struct Outcome {
    /// Share of the requests, and of those in the worst 2 s, that found a free slot.
    served: f64,
    worst: f64,
    /// Share of the requests that ran in another region, by route.
    away: [f64; 4],
    /// Largest share of a region's requests that changed the region within 2 s.
    shift: f64,
    /// Largest share of objects about which two gateways of a region disagreed.
    disagreement: f64,
    /// Share of the requests of each region that ran elsewhere at the end.
    away_at_end: [f64; 3],
}

struct Site {
    plan: RegionPlan,
    table: DemandTable,
    figures: VecDeque<(u64, [f64; 3])>,
    notices: VecDeque<(u64, PlanNotice)>,
    followers: Vec<[PlanFollower; 2]>,
    assignments: Vec<RegionAssignment>,
}

impl Site {
    fn new() -> Site {
        let follower = |home: &str| {
            let mut f = PlanFollower::new(&"s".into(), &home.into());
            f.set_capacities(&capacities());
            f
        };
        let assignment = |home: &str| {
            let mut a = RegionAssignment::new(&home.into());
            a.set_capacities(&capacities());
            a
        };
        Site {
            plan: RegionPlan::default(),
            table: DemandTable::default(),
            figures: VecDeque::new(),
            notices: VecDeque::new(),
            followers: REGIONS.map(|r| [follower(r), follower(r)]).into(),
            assignments: REGIONS.map(assignment).into(),
        }
    }

    // Reports, makes and distributes the plan.
    fn plan(&mut self, ms: u64, demand: [f64; 3], is_cut: bool) {
        self.figures.push_back((ms, demand));
        let due = |(at, _): &&(u64, [f64; 3])| at + FIGURES_AGE_MS <= ms;
        let old = self.figures.iter().rfind(due).copied();
        let is_due = ms % PLAN_STEP_MS < STEP_MS;
        if let Some((_, demand)) = old.filter(|_| is_due && !is_cut) {
            for (region, slots) in REGIONS.iter().zip(demand) {
                let report = DemandReport {
                    instance: format!("g-{region}").into(),
                    routes: routes(slots),
                    round_trips: Vec::new(),
                };
                self.table.record(Millis(ms), &(*region).into(), report);
            }
            let figures = self.table.figures(Millis(ms), &capacities(), &keys());
            self.plan.step(Millis(ms), &figures, &objectives());
            let notice = PlanNotice {
                age_ms: 0,
                regions: REGIONS.map(Name::from).into(),
                rows: self.plan.rows().collect(),
            };
            self.notices.push_back((ms, notice));
        }
        for (n, delay) in DELAYS_MS.into_iter().enumerate() {
            for f in &mut self.followers {
                let arrived = self.notices.iter().filter(|(at, _)| at + delay == ms);
                arrived.for_each(|(at, notice)| {
                    let age_ms = ms - at;
                    let notice = PlanNotice {
                        age_ms,
                        ..notice.clone()
                    };
                    f[n].receive(Millis(ms), &notice);
                });
                f[n].record_request(&"lookup".into(), false);
                if ms.is_multiple_of(STEP_MS) {
                    f[n].step(Millis(ms));
                }
            }
        }
    }

    // Region of each sampled object of a route, by region of the caller and gateway.
    fn regions(&self, way: Way, home: usize, gateway: usize, route: &Name) -> Vec<usize> {
        let index = |name: &Name| REGIONS.iter().position(|r| *r == name.as_str()).unwrap();
        let objects = (0..OBJECTS).map(|o| hash(&[o, 77]));
        let region = |object: u64| match way {
            Way::Assignment => index(&self.assignments[home].region(object)),
            Way::Plan { .. } => index(self.followers[home][gateway].region(route, object).unwrap()),
        };
        objects.map(region).collect()
    }
}

fn play(way: Way, seconds: u64, demand: Demand) -> Outcome {
    let mut site = Site::new();
    let mut outcome = Outcome {
        worst: 1.0,
        ..Outcome::default()
    };
    let (mut offered, mut served) = (0.0, 0.0);
    let mut recent: VecDeque<(f64, f64)> = VecDeque::new();
    let mut before: VecDeque<Vec<Vec<usize>>> = VecDeque::new();
    let mut away = [0.0; 4];
    for ms in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let slots = demand(ms);
        let cut = match way {
            Way::Plan { cut } => cut,
            Way::Assignment => (0, 0),
        };
        site.plan(ms, slots, (cut.0..cut.1).contains(&ms));
        let mut loads = [0.0; 3];
        let mut all = Vec::new();
        let mut rates = [0.0; 3];
        for (home, slots) in slots.iter().enumerate() {
            let rows = routes(*slots);
            let total: f64 = rows.iter().map(|d| f64::from(d.rate)).sum();
            let mut elsewhere = 0.0;
            for (n, (row, spec)) in rows.iter().zip(&ROUTES).enumerate() {
                let regions = site.regions(way, home, 0, &spec.0.into());
                let other = site.regions(way, home, 1, &spec.0.into());
                let differ = regions.iter().zip(&other).filter(|(a, b)| a != b).count();
                let part = 1.0 / OBJECTS as f64;
                outcome.disagreement = outcome.disagreement.max(differ as f64 * part);
                let load = f64::from(row.rate) * f64::from(row.work_ms) / 10_000.0;
                regions.iter().for_each(|r| loads[*r] += load * part);
                let left = regions.iter().filter(|r| **r != home).count() as f64 * part;
                elsewhere += left * f64::from(row.rate) / total;
                if ms >= 10_000 {
                    away[n] += left * spec.4 * slots;
                }
                all.push(regions);
            }
            outcome.away_at_end[home] = elsewhere;
            rates[home] = total;
        }
        // A region's requests that changed the region within the last 2 s.
        before.push_back(all);
        if before.len() > 10 {
            let (old, new) = (before.pop_front().unwrap(), before.back().unwrap());
            for home in 0..3 {
                let moved = (0..4).map(|n| {
                    let (a, b) = (&old[home * 4 + n], &new[home * 4 + n]);
                    let moved = a.iter().zip(b).filter(|(a, b)| a != b).count();
                    ROUTES[n].4 * moved as f64 / OBJECTS as f64
                });
                outcome.shift = outcome.shift.max(moved.sum());
            }
        }
        let utilization = [0, 1, 2].map(|r| loads[r] / f64::from(SLOTS[r]));
        if ms.is_multiple_of(STEP_MS) {
            for (home, a) in site.assignments.iter_mut().enumerate() {
                a.record_request();
                let others = (0..3).filter(|r| *r != home);
                let others = others.map(|r| (REGIONS[r].into(), utilization[r].min(1.5)));
                a.step(utilization[home].min(1.5), &others.collect::<Vec<_>>());
            }
        }
        if ms < 10_000 {
            continue;
        }
        let run: f64 = (0..3).map(|r| loads[r].min(f64::from(SLOTS[r]))).sum();
        let asked: f64 = loads.iter().sum();
        (offered, served) = (offered + asked, served + run);
        recent.push_back((asked, run));
        if recent.len() > 10 {
            recent.pop_front();
            let sum = recent
                .iter()
                .fold((0.0, 0.0), |s, r| (s.0 + r.0, s.1 + r.1));
            outcome.worst = outcome.worst.min(sum.1 / sum.0);
        }
        // Total demand by route, to which the shares relate.
        for (n, spec) in ROUTES.iter().enumerate() {
            outcome.away[n] += spec.4 * slots.iter().sum::<f64>();
        }
    }
    (0..4).for_each(|n| outcome.away[n] = away[n] / outcome.away[n]);
    outcome.served = served / offered;
    outcome
}

/// Guards against a region with a third of the demand and a tenth of the servers that is full
/// while others have free slots, and against requests with short objectives that leave before
/// those with long ones.
#[test]
fn waves_find_free_slots() {
    for (utilization, gain) in [(0.85, 0.0), (1.1, 0.03)] {
        let demand = waves(utilization);
        let assigned = play(Way::Assignment, 82, &demand);
        let planned = play(PLAN, 82, &demand);
        assert!(planned.shift <= SHIFT_MAX, "{planned:?}");
        assert!(
            planned.served >= assigned.served + gain,
            "{planned:?} {assigned:?}"
        );
        assert!(planned.worst >= assigned.worst, "{planned:?} {assigned:?}");
        let [lookup, permit, download, bunk] = planned.away;
        assert!(
            permit > lookup && lookup > bunk && bunk > download,
            "{planned:?}"
        );
        assert!(download < 0.1, "{planned:?}");
    }
}

/// Guards against a plan that lags behind callers who move to another region within 2 s, and
/// against one that moves more than the rule allows to follow them.
#[test]
fn callers_who_change_their_region_are_followed() {
    let mean = 0.8 * 1_080.0 / 3.0;
    let demand = |ms: u64| {
        let moved = match ms {
            30_000..32_000 => (ms - 30_000) as f64 / 2_000.0,
            32_000..50_000 => 1.0,
            _ => 0.0,
        } * 0.9;
        [mean * (1.0 - moved), mean, mean * (1.0 + moved)]
    };
    let [assigned, planned] = [Way::Assignment, PLAN].map(|way| play(way, 60, &demand));
    assert!(planned.shift <= SHIFT_MAX, "{planned:?}");
    assert!(planned.served > assigned.served, "{planned:?} {assigned:?}");
}

/// Guards against a division that keeps an old plan for ever, and against one that changes at
/// once, when no figures get through for 5 s and for longer.
#[test]
fn lost_plans_decay_to_the_division_for_equal_demand() {
    let demand = waves(0.85);
    let cut = play(
        Way::Plan {
            cut: (40_000, 45_000),
        },
        82,
        &demand,
    );
    let lost = play(
        Way::Plan {
            cut: (40_000, 99_000),
        },
        82,
        &demand,
    );
    let whole = play(PLAN, 82, &demand);
    assert!(cut.shift <= SHIFT_MAX && lost.shift <= SHIFT_MAX);
    assert!(cut.served > whole.served - 0.02);
    let mut even = RegionAssignment::new(&"mid".into());
    even.set_capacities(&capacities());
    for (away, expected) in lost.away_at_end.iter().zip([0.0, even.remote_share(), 0.0]) {
        assert!((away - expected).abs() < 0.03, "{lost:?}");
    }
}

/// Guards against gateways of a region that disagree about the region of an object for longer
/// than a plan takes to reach them, and against a plan that depends on the order of figures.
#[test]
fn equal_figures_give_equal_plans() {
    let demand = waves(0.95)(5_000);
    let figures = |order: [usize; 3]| {
        let of = |n: usize| RegionFigures {
            region: REGIONS[n].into(),
            slots: SLOTS[n],
            routes: routes(demand[n]),
            round_trips: vec![(REGIONS[(n + 1) % 3].into(), 90)],
        };
        order.map(of).to_vec()
    };
    let plan = |order: [usize; 3]| {
        let mut plan = RegionPlan::default();
        (0..20).for_each(|n| plan.step(Millis(n * 500), &figures(order), &objectives()));
        let shares = keys()
            .into_iter()
            .map(|key| plan.shares(&"mid".into(), key).cloned());
        shares.collect::<Vec<_>>()
    };
    assert_eq!(plan([0, 1, 2]), plan([2, 0, 1]));
    let played = play(PLAN, 40, &waves(0.85));
    assert!(played.disagreement < 0.25, "{played:?}");
}

/// Guards against figures of a region out of reach that count for ever, against a region whose
/// demand is lost at once, and against requests with home regions that the plan sends away.
#[test]
fn old_figures_decay_to_an_equal_share() {
    let mut table = DemandTable::default();
    let report = |region: &str, rate: f64| DemandReport {
        instance: format!("g-{region}").into(),
        routes: routes(rate),
        round_trips: Vec::new(),
    };
    table.record(Millis(0), &"east".into(), report("east", 900.0));
    let slots = |table: &DemandTable, at: u64| {
        let figures = table.figures(Millis(at), &capacities(), &keys());
        let rates = figures[0].routes.iter();
        rates
            .map(|d| f64::from(d.rate) * f64::from(d.work_ms) / 10_000.0)
            .sum::<f64>()
    };
    let expected = [
        (2_900, 900.0),
        (5_000, 600.0),
        (7_000, 300.0),
        (9_000, 300.0),
    ];
    for (at, expected) in expected {
        table.record(Millis(at), &"mid".into(), report("mid", 300.0));
        table.record(Millis(at), &"west".into(), report("west", 300.0));
        let known = slots(&table, at);
        assert!((known - expected).abs() < 5.0, "{known} at {at}");
    }
    let pinned = RegionFigures {
        region: "mid".into(),
        slots: 10,
        routes: vec![RouteDemand {
            pinned: 400,
            rate: 400,
            ..routes(1.0)[0]
        }],
        round_trips: Vec::new(),
    };
    let empty = RegionFigures {
        region: "west".into(),
        slots: 900,
        ..RegionFigures::default()
    };
    let mut plan = RegionPlan::default();
    (0..60).for_each(|n| {
        plan.step(
            Millis(n * 500),
            &[pinned.clone(), empty.clone()],
            &objectives(),
        )
    });
    assert_eq!(
        plan.shares(&"mid".into(), keys()[0]).unwrap().parts()[0],
        1_000
    );
}

/// Guards against a new leader that continues a plan and doesn't leave room for a rise of the
/// demand, so that a small region takes more objects back than it can send away.
#[test]
fn continued_plans_leave_room_for_a_rise() {
    let demand = waves(0.75);
    let step = |plan: &mut RegionPlan, ms: u64| {
        let figures = [0, 1, 2].map(|n| RegionFigures {
            region: REGIONS[n].into(),
            slots: SLOTS[n],
            routes: routes(demand(ms)[n]),
            round_trips: Vec::new(),
        });
        plan.step(Millis(ms), &figures, &objectives());
    };
    let mut whole = RegionPlan::default();
    step(&mut whole, 0);
    let notice = PlanNotice {
        age_ms: 0,
        regions: REGIONS.map(Name::from).into(),
        rows: whole.rows().collect(),
    };
    let mut continued = RegionPlan::resume(&notice, &keys());
    // Largest part of the small region's slots that its own demand takes.
    let mut peaks = [0.0f64; 2];
    for ms in (500..82_000).step_by(500) {
        for (plan, peak) in [&mut whole, &mut continued].into_iter().zip(&mut peaks) {
            step(plan, ms);
            let rows = routes(demand(ms)[1]);
            let kept = rows.iter().map(|d| {
                let parts = plan.shares(&"mid".into(), d.key).unwrap().parts()[1];
                f64::from(d.rate) * f64::from(d.work_ms) / 1e7 * f64::from(parts)
            });
            *peak = peak.max(kept.sum::<f64>() / f64::from(SLOTS[1]));
        }
    }
    assert!((peaks[0] - peaks[1]).abs() < 0.05, "{peaks:?}");
}
