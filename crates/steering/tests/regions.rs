//! Tests of the selection of regions and of the ranking of entries.

use pomelovale_state::{Millis, Name};
use pomelovale_steering::balancer::EntryInfo;
use pomelovale_steering::entries::{EntryPolicy, EntryRanking, RegionHeadroom};
use pomelovale_steering::region::{RegionMeasurement, RegionPolicy, RegionSelector};

const REQUEST_MS: f64 = 20.0;

fn measure(
    region: &str,
    load: f64,
    wait_ms: f64,
    spare_rate: f64,
    sampled: u64,
) -> RegionMeasurement {
    RegionMeasurement {
        region: Name::from(region),
        slots: 100.0,
        load,
        wait_ms,
        distance_ms: if region == "north" { 0.0 } else { 110.0 },
        spare_rate,
        sampled: Millis(sampled),
    }
}

/// Returns how many of 1,000 requests in a second spill, given the local wait and
/// the measurement of the other region.
fn spilled(policy: RegionPolicy, local_ms: f64, remote: RegionMeasurement) -> usize {
    let mut regions = RegionSelector::new(policy, &Name::from("north"));
    regions.set_request_ms(REQUEST_MS);
    let home = measure("north", 100.0, local_ms, 0.0, 10_000);
    regions.update(Millis(9_000), 1_000.0, 1, &[]);
    regions.update(Millis(10_000), 1_000.0, 1, &[home, remote]);
    (0..1_000)
        .filter(|_| regions.try_spill(local_ms).is_some())
        .count()
}

macro_rules! spill {
    ($($name:ident: $policy:ident, local $local:literal, load $load:literal, wait $wait:literal, link $link:literal, at $at:literal => $range:expr;)*) => {$(
        #[test]
        fn $name() {
            let remote = measure("south", $load, $wait, $link, $at);
            let count = spilled(RegionPolicy::$policy, $local, remote);
            assert!($range.contains(&count), "{count}");
        }
    )*};
}

spill! {
    spills_within_headroom: Spill, local 300.0, load 85.0, wait 0.0, link 1e6, at 9_900 => 200..=250;
    no_spill_when_local_wait_is_shorter: Spill, local 100.0, load 0.0, wait 0.0, link 1e6, at 9_900 => 0..=0;
    no_spill_when_remote_wait_is_as_long: Spill, local 300.0, load 0.0, wait 200.0, link 1e6, at 9_900 => 0..=0;
    no_spill_without_headroom: Spill, local 300.0, load 95.0, wait 0.0, link 1e6, at 9_900 => 0..=0;
    no_spill_without_link_capacity: Spill, local 300.0, load 0.0, wait 0.0, link 0.0, at 9_900 => 0..=0;
    spill_stays_within_link_capacity: Spill, local 300.0, load 0.0, wait 0.0, link 40.0, at 9_900 => 35..=40;
    no_spill_on_a_stale_measurement: Spill, local 300.0, load 0.0, wait 0.0, link 1e6, at 5_000 => 0..=0;
    no_spill_when_spilling_is_off: NoSpill, local 300.0, load 0.0, wait 0.0, link 1e6, at 9_900 => 0..=0;
}

/// Guards against overload and oscillation when eight entries spill to one region
/// based on measurements that are one second old.
#[test]
fn lagging_measurements_do_not_overload() {
    let mut entries = vec![RegionSelector::new(RegionPolicy::Spill, &Name::from("north")); 8];
    entries
        .iter_mut()
        .for_each(|e| e.set_request_ms(REQUEST_MS));
    let own = 60.0;
    let mut loads = vec![own; 5];
    for tick in 0..240u64 {
        let now = Millis(10_000 + tick * 250);
        let seen = loads[loads.len() - 5];
        let remote = measure("south", seen, 0.0, 1e6, now.0 - 1_000);
        let mut sent = 0;
        for e in &mut entries {
            e.update(now, 500.0, 8, std::slice::from_ref(&remote));
            sent += (0..125).filter(|_| e.try_spill(1_000.0).is_some()).count();
        }
        loads.push(own + sent as f64 * 4.0 * REQUEST_MS / 1_000.0);
    }
    let settled = &loads[120..];
    let (low, high) = settled
        .iter()
        .fold((f64::MAX, 0.0f64), |(l, h), x| (l.min(*x), h.max(*x)));
    assert!(loads.iter().all(|l| *l <= 100.0), "{loads:?}");
    assert!(low > 75.0 && high - low < 15.0, "{low} to {high}");
}

fn headroom(region: &str, load: f64, at: u64) -> RegionHeadroom {
    RegionHeadroom {
        region: Name::from(region),
        capacity: 100.0,
        load,
        domains: 2,
        sampled: Millis(at),
    }
}

/// Returns the share of the callers of north that is diverted after `seconds` of
/// updates with the given loads.
fn diverted(north: f64, south: f64, seconds: u64, age: u64) -> f64 {
    let mut ranking = EntryRanking::new(EntryPolicy::Headroom);
    for s in 10..=10 + seconds {
        let at = (s * 1_000).saturating_sub(age);
        let measures = [headroom("north", north, at), headroom("south", south, at)];
        ranking.update(Millis(s * 1_000), &measures);
    }
    ranking.diverted(&Name::from("north"))
}

macro_rules! ranking {
    ($($name:ident: north $north:literal, south $south:literal, $seconds:literal s, age $age:literal => $range:expr;)*) => {$(
        #[test]
        fn $name() {
            let part = diverted($north, $south, $seconds, $age);
            assert!($range.contains(&part), "{part}");
        }
    )*};
}

ranking! {
    callers_stay_with_headroom: north 80.0, south 10.0, 30 s, age 0 => 0.0..=0.0;
    overload_moves_at_a_bounded_rate: north 150.0, south 10.0, 5 s, age 0 => 0.01..=0.1;
    reserve_for_a_failure_domain_is_kept: north 150.0, south 50.0, 30 s, age 0 => 0.0..=0.0;
    stale_measurements_change_nothing: north 150.0, south 10.0, 30 s, age 6_000 => 0.0..=0.0;
}

fn entry(name: &str, region: &str, leaving: bool) -> EntryInfo {
    EntryInfo {
        name: Name::from(name),
        region: Name::from(region),
        domain: Name::from(format!("{region}-a")),
        leaving,
    }
}

/// Guards against a list that contains an entry being drained or starts with a
/// distant one, and against one entry that is first for all blocks.
#[test]
fn nearest_region_is_listed_first() {
    let entries = [
        entry("a", "north", false),
        entry("b", "north", false),
        entry("c", "north", true),
        entry("d", "south", false),
    ];
    let ranking = EntryRanking::new(EntryPolicy::Headroom);
    let distance_ms = |r: &Name| if r.as_str() == "north" { 1.0 } else { 55.0 };
    let lists: Vec<Vec<Name>> = (0..100)
        .map(|b| ranking.rank(b, &entries, distance_ms))
        .collect();
    assert!(lists.iter().all(|l| l.len() == 3 && l[2].as_str() == "d"));
    let first = lists.iter().filter(|l| l[0].as_str() == "a").count();
    assert!((30..=70).contains(&first), "{first}");
}

/// Guards against callers of a failed region that all use the same other region,
/// and against a change of region for callers whose region has not failed.
#[test]
fn callers_of_a_failed_region_spread_over_equally_distant_ones() {
    let all = [
        entry("a", "north", false),
        entry("b", "east", false),
        entry("c", "south", false),
    ];
    let ranking = EntryRanking::new(EntryPolicy::Headroom);
    let distance_ms = |r: &Name| if r.as_str() == "north" { 1.0 } else { 55.0 };
    let first = |b: u64, list: &[EntryInfo]| ranking.rank(b, list, distance_ms)[0].clone();
    assert!((0..100).all(|b| first(b, &all).as_str() == "a"));
    let east = (0..100)
        .filter(|b| first(*b, &all[1..]).as_str() == "b")
        .count();
    assert!((30..=70).contains(&east), "{east}");
}

/// Guards against a ranking that oscillates when measurements and cached lists are
/// delayed by six seconds in total.
#[test]
fn lagging_lists_do_not_oscillate() {
    let mut ranking = EntryRanking::new(EntryPolicy::Headroom);
    let north = Name::from("north");
    let mut parts = vec![0.0; 7];
    let mut loads = Vec::new();
    for s in 10..130u64 {
        let load = 130.0 * (1.0 - parts[parts.len() - 6]);
        let at = s * 1_000;
        let measures = [
            headroom("north", load, at),
            headroom("south", 150.0 - load, at),
        ];
        let south = RegionHeadroom {
            capacity: 400.0,
            ..measures[1].clone()
        };
        ranking.update(Millis(at), &[measures[0].clone(), south]);
        parts.push(ranking.diverted(&north));
        loads.push(load);
    }
    let settled = &loads[60..];
    assert!(
        settled.iter().all(|l| (90.0..=106.0).contains(l)),
        "{settled:?}"
    );
    let turns = settled.windows(2).filter(|w| w[0] != w[1]).count();
    assert!(turns <= 5, "{settled:?}");
}
