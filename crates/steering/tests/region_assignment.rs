//! Division of the objects of a region between its own and other regions.

use pomelovale_state::Name;
use pomelovale_steering::region_assignment::{hash, RegionAssignment};

const OBJECTS: u64 = 10_000;

fn capacities(north: u32, south: u32, west: u32) -> Vec<(Name, u32)> {
    vec![
        ("north".into(), north),
        ("south".into(), south),
        ("west".into(), west),
    ]
}

fn assignment(north: u32, south: u32, west: u32) -> RegionAssignment {
    let mut s = RegionAssignment::new(&"north".into());
    s.set_capacities(&capacities(north, south, west));
    s
}

fn share(s: &RegionAssignment, region: &str) -> f64 {
    let here = (0..OBJECTS)
        .filter(|o| s.region(hash(&[*o])).as_str() == region)
        .count();
    here as f64 / OBJECTS as f64
}

macro_rules! divisions {
    ($($(#[$doc:meta])* $name:ident($north:expr, $south:expr, $west:expr) => $home:expr, $other:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let s = assignment($north, $south, $west);
            assert!((share(&s, "north") - $home).abs() < 0.02, "{}", share(&s, "north"));
            assert!((share(&s, "south") - $other).abs() < 0.02, "{}", share(&s, "south"));
        })*
    };
}

divisions! {
    /// Guards against a region that sends objects away although its capacity equals
    /// that of the others.
    equal_regions_keep_their_objects(60, 60, 60) => 1.0, 0.0;
    /// Guards against a region with few servers that keeps all its objects although
    /// its demand equals that of the others.
    small_region_sends_its_excess_away(20, 80, 80) => 1.0 / 3.0, 1.0 / 3.0;
    /// Guards against requests that are refused because their region has no
    /// servers.
    region_without_servers_sends_everything_away(0, 60, 60) => 0.0, 0.5;
    /// Guards against a division among other regions that ignores their slots.
    other_regions_get_objects_by_their_slots(0, 90, 30) => 0.0, 0.75;
}

/// Guards against a sudden shift: in 2 s at most 15% of the requests may change
/// their region, however loads and capacities change; the test allows 10%.
#[test]
fn shifts_are_gradual() {
    let mut s = assignment(60, 60, 60);
    s.record_request();
    let before = share(&s, "north");
    s.set_capacities(&capacities(10, 60, 60));
    for _ in 0..10 {
        s.step(2.0, &[("south".into(), 0.0), ("west".into(), 0.0)]);
    }
    let moved = before - share(&s, "north");
    assert!(moved > 0.0 && moved < 0.1, "{moved}");
}

/// Guards against objects that leave a busy region although no load of the other
/// regions was reported.
#[test]
fn unknown_load_shifts_nothing() {
    let mut s = assignment(60, 60, 60);
    s.record_request();
    (0..100).for_each(|_| s.step(2.0, &[]));
    assert_eq!(share(&s, "north"), 1.0);
}

/// Guards against a change of the capacity of one region that moves objects
/// between other regions.
#[test]
fn capacity_change_moves_only_its_own_objects() {
    let (s, mut t) = (assignment(0, 60, 60), assignment(0, 60, 60));
    t.set_capacities(&capacities(0, 60, 54));
    let moved = (0..OBJECTS)
        .map(|o| hash(&[o]))
        .filter(|o| s.region(*o) != t.region(*o));
    assert!(moved.count() < OBJECTS as usize / 20);
}

/// Guards against a region that sends its excess to a region at peak demand
/// while another one has spare capacity, and against a sudden change.
#[test]
fn excess_goes_to_the_region_with_spare_capacity() {
    let mut s = assignment(20, 80, 80);
    s.record_request();
    let loads = [("south".into(), 1.0), ("west".into(), 0.4)];
    let objects: Vec<u64> = (0..OBJECTS).map(|o| hash(&[o])).collect();
    let regions =
        |s: &RegionAssignment| -> Vec<Name> { objects.iter().map(|o| s.region(*o)).collect() };
    let mut before = regions(&s);
    for _ in 0..10 {
        (0..10).for_each(|_| s.step(0.8, &loads));
        let after = regions(&s);
        let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
        assert!(moved < objects.len() / 10, "{moved} objects moved in 2 s");
        before = after;
    }
    assert!(
        share(&s, "south") < 0.5 * share(&s, "west"),
        "{}",
        share(&s, "south")
    );
}
