//! Ranking of servers for objects, and placement that changes their servers rarely.

use pomelovale_state::{Millis, Name};
use pomelovale_steering::affinity::{
    holders_wanted, pauses, reach, weight, Holders, MoveCounts, Room, Scope, ScopeSwitch, Score,
    HOLDERS_MAX, SWITCH_MIN_MS,
};
use pomelovale_steering::placement::{
    Chosen, LoadReport, Placement, PlacementDecision, PlacementEnd, PlacementRequest, ServerSpec,
    ServiceSpec,
};
use pomelovale_steering::region_assignment::{hash, hash_bytes};
use pomelovale_steering::server_limit::LimitShare;
use quickcheck::quickcheck;

const OBJECTS: u64 = 20_000;
const SLOTS: u32 = 4;
const COLD_MS: u64 = 8_000;

fn object(n: u64) -> u64 {
    hash(&[n, 99])
}

/// Index of the first server for an object.
fn first(object: u64, weights: &[f64]) -> usize {
    let mut holders = Holders::default();
    for (i, weight) in weights.iter().enumerate() {
        holders.add(Score::new(object, hash(&[i as u64]), *weight), i);
    }
    let first = holders.indices().next();
    first.expect("no server")
}

quickcheck! {
    /// Guards against a new ranking in deployments whose servers have one size.
    fn equal_sizes_are_ranked_by_hash(object: u64, servers: Vec<u64>, slots: u8) -> bool {
        let weight = weight(u32::from(slots), 1.0);
        let (mut by_score, mut by_hash) = (servers.clone(), servers);
        by_score.sort_by_key(|s| Score::new(object, *s, weight));
        by_hash.sort_by_key(|s| hash(&[object, *s]));
        by_score == by_hash
    }

    /// Guards against an order of holders other than that of the whole ranking.
    fn holders_are_the_top_of_the_ranking(object: u64, servers: Vec<u64>) -> bool {
        let score = |s: &u64| Score::new(object, *s, (s % 9) as f64);
        let mut holders = Holders::default();
        servers.iter().enumerate().for_each(|(i, s)| holders.add(score(s), i));
        let mut all: Vec<u64> = servers.clone();
        all.sort_by_key(|s| std::cmp::Reverse(score(s)));
        all.truncate(HOLDERS_MAX);
        holders.indices().map(|i| servers[i]).eq(all)
    }
}

/// Guards against shares that don't follow the sizes of the servers.
#[test]
fn shares_follow_sizes() {
    let weights = [2.0, 4.0, 6.0, 9.0, 18.0];
    let mut counts = [0.0; 5];
    for n in 0..OBJECTS {
        counts[first(object(n), &weights)] += 1.0 / OBJECTS as f64;
    }
    let total: f64 = weights.iter().sum();
    for (count, weight) in counts.iter().zip(weights) {
        let ratio = count / (weight / total);
        assert!((0.94..1.06).contains(&ratio), "{weight}: {ratio:.3}");
    }
}

/// Guards against moves between other servers, or away from a server, while one joins.
#[test]
fn joining_server_only_gains_objects() {
    let at = |slots: f64| move |n| first(object(n), &[6.0, 9.0, 3.0, slots]);
    let steps: Vec<f64> = (0..=16).map(|s| weight(9, f64::from(s) / 16.0)).collect();
    for pair in steps.windows(2) {
        let (before, after) = (at(pair[0]), at(pair[1]));
        let moved: Vec<u64> = (0..OBJECTS).filter(|n| before(*n) != after(*n)).collect();
        assert!(moved.iter().all(|n| after(*n) == 3));
        let share = moved.len() as f64 / OBJECTS as f64;
        assert!(share < 0.04, "{share} moved in one step");
    }
}

/// Guards against use of a later holder while an earlier one has room.
#[test]
fn holders_are_used_in_their_order() {
    use Room::{Closed, Free, Full};
    let cases = [
        (vec![Free, Free, Free], 1, 1),
        (vec![Full, Free, Free], 1, 2),
        (vec![Closed, Full, Free], 1, 3),
        (vec![Full, Full, Full], 1, 3),
        (vec![Free, Full, Free], 2, 3),
        (vec![Free, Free, Free], 3, 3),
    ];
    for (rooms, wanted, count) in cases {
        assert_eq!(reach(rooms.iter().copied(), wanted), count, "{rooms:?}");
    }
    let wanted = [0.5, 3.9, 4.0, 8.0, 400.0].map(|running| holders_wanted(running, SLOTS));
    assert_eq!(wanted, [1, 1, 2, 3, 3]);
}

/// Guards against a pause that moves the objects of a server with free slots.
#[test]
fn only_a_full_server_pauses() {
    let report = |running, waiting| LoadReport {
        running,
        waiting,
        slots: SLOTS,
        pace: None,
    };
    assert!(!pauses(None, false));
    assert!(!pauses(Some(report(SLOTS - 1, 0)), false));
    assert!(pauses(Some(report(SLOTS, 0)), false));
    assert!(pauses(Some(report(1, 1)), false));
    assert!(pauses(Some(report(0, 0)), true));
}

/// Guards against a ranking that follows each crossing of the utilization.
#[test]
fn scope_switches_rarely() {
    let mut switch = ScopeSwitch::default();
    let (mut switches, mut last) = (Vec::new(), Scope::Domain);
    for now in (0..60_000).step_by(200) {
        let utilization = if now / 600 % 2 == 0 { 0.6 } else { 0.1 };
        switch.record(Millis(now), utilization, 0.4);
        if switch.scope() != last {
            last = switch.scope();
            switches.push(now);
        }
    }
    assert!(switches.len() > 5, "{switches:?}");
    assert!(switches.windows(2).all(|w| w[1] - w[0] >= SWITCH_MIN_MS));
    let mut switch = ScopeSwitch::default();
    switch.record(Millis(0), 0.41, 0.4);
    switch.record(Millis(20_000), 0.39, 0.4);
    assert_eq!(switch.scope(), Scope::Region, "no distance between limits");
}

fn spec(n: usize) -> ServerSpec {
    ServerSpec {
        name: format!("s{n}").into(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "north".into(),
        domain: "north-a".into(),
        slots: SLOTS,
        cold_ms: 0,
        down: false,
        limit: None,
        share: LimitShare::default(),
    }
}

fn placement(servers: usize, stable: bool) -> Placement {
    let mut p = Placement::new(&"g".into(), &"north".into(), &"north-a".into(), 3);
    set_servers(&mut p, 0, servers, stable);
    p
}

fn set_servers(p: &mut Placement, now: u64, servers: usize, stable: bool) {
    let specs: Vec<ServerSpec> = (0..servers).map(spec).collect();
    let service = ServiceSpec {
        cold_ms: COLD_MS,
        cold_rate: None,
        stable,
    };
    p.set_servers(Millis(now), &specs, service, &["north".into()]);
}

fn choose(p: &mut Placement, now: u64, object: u64) -> Chosen {
    let request = PlacementRequest {
        route: &"lookup".into(),
        object,
        priority: 1,
        objective_ms: 2_000,
        left_ms: 4_000,
        homes: &[],
        tried: &[],
    };
    match p.choose(Millis(now), &request) {
        PlacementDecision::Send(chosen) => chosen,
        PlacementDecision::Refuse { .. } => panic!("refused"),
    }
}

fn end(p: &mut Placement, now: u64, chosen: &Chosen, ended: PlacementEnd, running: u32) {
    let report = LoadReport {
        running,
        waiting: 0,
        slots: SLOTS,
        pace: None,
    };
    p.finish(
        Millis(now),
        chosen,
        &"lookup".into(),
        ended,
        40,
        Some(report),
    );
}

/// The server that gets a request for an object, which ends at once.
fn serve(p: &mut Placement, now: u64, object: u64) -> Name {
    let chosen = choose(p, now, object);
    end(p, now, &chosen, PlacementEnd::Answered, 0);
    chosen.server
}

/// Guards against moved objects after a single shed request of a server with free slots, and
/// against many requests to one that sheds all.
#[test]
fn shed_request_moves_objects_of_a_full_server_only() {
    for (stable, running, sheds, stays) in [
        (false, 0, 1, false),
        (true, 0, 1, true),
        (true, SLOTS, 1, false),
        (true, 0, 2, false),
    ] {
        let mut p = placement(6, stable);
        let home = serve(&mut p, 0, 5);
        for _ in 0..sheds {
            let chosen = choose(&mut p, 1_000, 5);
            end(&mut p, 1_000, &chosen, PlacementEnd::Shed, running);
        }
        let next = serve(&mut p, 1_010, 5);
        assert_eq!(next == home, stays, "{stable} {running} {sheds}");
    }
}

/// Guards against moves to any server of the region, and against objects that don't return.
#[test]
fn object_goes_to_the_next_server_of_its_ranking() {
    let mut p = placement(12, true);
    for object in (0..40).map(object) {
        let mut ranked: Vec<usize> = (0..12).collect();
        let hash_of = |n: usize| hash_bytes(format!("s{n}").as_bytes());
        ranked.sort_by_key(|n| std::cmp::Reverse(hash(&[object, hash_of(*n)])));
        let now = 1_000_000 + object % 1_000 * 100_000;
        let running: Vec<Chosen> = (0..12).map(|_| choose(&mut p, now, object)).collect();
        let allowed: Vec<Name> = ranked[..3].iter().map(|n| spec(*n).name).collect();
        assert!(running.iter().all(|c| allowed.contains(&c.server)));
        assert!(running[..4].iter().all(|c| c.server == allowed[0]));
        let ended = PlacementEnd::Answered;
        running
            .iter()
            .for_each(|c| end(&mut p, now + 40, c, ended, 0));
        assert_eq!(serve(&mut p, now + 20_000, object), allowed[0]);
    }
    let counts = p.take_moves();
    assert!(counts.displaced > 0 && counts.moved > 0, "{counts:?}");
    assert_eq!(p.take_moves(), MoveCounts::default());
}

/// Guards against a sudden take-over by a server that joins, and against moves between others.
#[test]
fn joining_server_takes_over_gradually() {
    let mut p = placement(8, true);
    let all = |p: &mut Placement, now: u64| -> Vec<Name> {
        (0..800).map(|n| serve(p, now, object(n))).collect()
    };
    let before = all(&mut p, 100_000);
    set_servers(&mut p, 200_000, 9, true);
    let joined = |names: &[Name]| names.iter().filter(|n| **n == spec(8).name).count();
    let counts: Vec<usize> = (0..=4)
        .map(|step| {
            let now = all(&mut p, 200_000 + COLD_MS / 4 * step);
            let mut pairs = before.iter().zip(&now);
            assert!(pairs.all(|(b, n)| b == n || *n == spec(8).name));
            joined(&now)
        })
        .collect();
    assert_eq!(counts[0], 0);
    assert!(counts.windows(2).all(|w| w[0] < w[1]), "{counts:?}");
    assert!((60..125).contains(&counts[4]), "{counts:?}");
}
