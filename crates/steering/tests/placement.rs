//! Placement of requests on backend servers.

use pomelovale_state::{Millis, Name};
use pomelovale_steering::distances::Distances;
use pomelovale_steering::estimate::Held;
use pomelovale_steering::placement::{
    Chosen, Placement, PlacementDecision, PlacementEnd, PlacementRequest, ServerSpec, ServiceSpec,
};
use pomelovale_steering::server_limit::LimitShare;

const COLD_RATE: f64 = 9.5;

fn server(name: &str, region: &str, domain: &str) -> ServerSpec {
    ServerSpec {
        name: name.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: region.into(),
        domain: domain.into(),
        slots: 6,
        cold_ms: 0,
        down: false,
        limit: None,
        share: LimitShare::default(),
    }
}

fn servers() -> Vec<ServerSpec> {
    let mut all = Vec::new();
    for (region, domain) in [
        ("north", "north-a"),
        ("north", "north-b"),
        ("south", "south-a"),
        ("south", "south-b"),
    ] {
        all.extend((0..3).map(|i| server(&format!("{domain}-{i}"), region, domain)));
    }
    all
}

fn service() -> ServiceSpec {
    ServiceSpec {
        cold_ms: 3_000,
        cold_rate: Some(COLD_RATE),
        stable: false,
    }
}

fn regions() -> Vec<Name> {
    vec!["north".into(), "south".into()]
}

fn placement(instance: &str, servers: &[ServerSpec]) -> Placement {
    let mut p = Placement::new(&instance.into(), &"north".into(), &"north-a".into(), 7);
    p.set_servers(Millis(0), servers, service(), &regions());
    p
}

fn request<'a>(route: &'a Name, object: u64, priority: u32) -> PlacementRequest<'a> {
    PlacementRequest {
        route,
        object,
        priority,
        objective_ms: 400,
        left_ms: 2_000,
        homes: &[],
        tried: &[],
    }
}

fn choose(p: &mut Placement, now: u64, request: &PlacementRequest) -> Option<Chosen> {
    match p.choose(Millis(now), request) {
        PlacementDecision::Send(chosen) => Some(chosen),
        PlacementDecision::Refuse { .. } => None,
    }
}

/// Serves one request per step and returns the servers that it went to.
fn serve(p: &mut Placement, route: &Name, objects: impl Iterator<Item = u64>) -> Vec<(u64, Name)> {
    let mut served = Vec::new();
    for (step, object) in objects.enumerate() {
        let now = step as u64 * 50;
        let chosen = choose(p, now, &request(route, object, 1)).expect("no server was chosen");
        p.finish(
            Millis(now + 40),
            &chosen,
            route,
            PlacementEnd::Answered,
            110,
            None,
        );
        served.push((object, chosen.server));
    }
    served
}

/// Guards against requests for one object that go to several servers: each server
/// evicts the objects that it handled earlier, and a request takes three times as
/// long where its object is not held.
#[test]
fn requests_for_an_object_go_to_one_server() {
    let route = Name::from("r");
    let mut p = placement("g", &servers());
    let served = serve(&mut p, &route, (0..400).map(|i| i % 20));
    for object in 0..20 {
        let mut places: Vec<&Name> = served
            .iter()
            .filter(|(o, _)| *o == object)
            .map(|(_, s)| s)
            .collect();
        places.dedup();
        assert_eq!(places.len(), 1, "object {object} went to {places:?}");
    }
}

/// Guards against instances that send requests for one object to different
/// servers.
#[test]
fn instances_agree_on_the_holder() {
    let route = Name::from("r");
    let (mut one, mut two) = (placement("g1", &servers()), placement("g2", &servers()));
    let first = serve(&mut one, &route, 0..40);
    let second = serve(&mut two, &route, 0..40);
    assert_eq!(first, second);
}

/// Guards against requests that wait for the holder of their object although
/// another server would answer sooner.
#[test]
fn objects_leave_a_holder_that_is_full() {
    let route = Name::from("r");
    let mut p = placement("g", &servers());
    let chosen: Vec<Chosen> = (0..24)
        .filter_map(|_| choose(&mut p, 0, &request(&route, 1, 0)))
        .collect();
    let first = chosen
        .iter()
        .filter(|c| c.server == chosen[0].server)
        .count();
    assert!(
        first < 24,
        "all 24 requests went to the holder {}",
        chosen[0].server
    );
}

/// Guards against priorities that are ignored under overload: with all servers
/// full, requests of the lowest priority must be refused first.
#[test]
fn low_priority_requests_are_refused_first() {
    let route = Name::from("r");
    let admitted = |priority: u32| {
        let mut p = placement("g", &servers());
        (0..500)
            .filter(|i| choose(&mut p, 0, &request(&route, *i, priority)).is_some())
            .count()
    };
    let (urgent, usual, late) = (admitted(0), admitted(1), admitted(2));
    assert!(urgent > usual && usual > late, "{urgent} {usual} {late}");
}

/// Guards against a full region that sends all its requests to other regions at
/// once: at most 4% of the requests, and three more, may leave it.
#[test]
fn full_region_spills_at_a_bounded_rate() {
    let route = Name::from("r");
    let mut p = placement("g", &servers());
    let chosen: Vec<Chosen> = (0..600)
        .filter_map(|i| choose(&mut p, 0, &request(&route, i, 0)))
        .collect();
    let away = chosen
        .iter()
        .filter(|c| c.region.as_str() == "south")
        .count();
    assert!(away <= 600 * 4 / 100 + 3, "{away} requests left the region");
}

/// Guards against a cold server that gets more requests from all instances of its
/// region together than its cold rate allows.
#[test]
fn cold_server_load_stays_within_its_rate() {
    let route = Name::from("r");
    let names: Vec<Name> = (0..20).map(|i| Name::from(format!("g{i}"))).collect();
    let only = vec![ServerSpec {
        cold_ms: 3_000,
        ..server("s", "north", "north-a")
    }];
    let mut sent = 0;
    for name in &names {
        let mut p = placement(name, &only);
        p.set_warmup_instances(names.iter().cloned());
        for now in (0..1_000).step_by(10) {
            let chosen = choose(&mut p, now, &request(&route, now, 0));
            sent += usize::from(chosen.is_some());
            if let Some(chosen) = chosen {
                p.finish(
                    Millis(now),
                    &chosen,
                    &route,
                    PlacementEnd::Answered,
                    5,
                    None,
                );
            }
        }
    }
    assert!(
        sent as f64 <= COLD_RATE * 1.5 + 5.0,
        "{sent} requests in one second"
    );
    assert!(sent > 0);
}

/// Guards against requests to a server that refuses connections, and against a
/// recovered server that never gets requests again.
#[test]
fn unreachable_server_is_suspended_until_a_probe_succeeds() {
    let route = Name::from("r");
    let only = vec![server("s", "north", "north-a")];
    let mut p = placement("g", &only);
    let chosen = choose(&mut p, 0, &request(&route, 1, 0)).expect("no server was chosen");
    assert!(p.finish(
        Millis(1),
        &chosen,
        &route,
        PlacementEnd::Unreachable,
        1,
        None
    ));
    assert!(choose(&mut p, 2, &request(&route, 1, 0)).is_none());
    assert_eq!(p.suspended_servers().count(), 1);
    assert_eq!(p.due_probes(Millis(500)).len(), 1);
    p.record_probe(Millis(510), &"s".into(), Some(0));
    assert!(choose(&mut p, 520, &request(&route, 1, 0)).is_some());
}

/// Guards against requests to a server that other instances found unreachable.
#[test]
fn server_marked_down_gets_no_requests() {
    let route = Name::from("r");
    let down = ServerSpec {
        down: true,
        ..server("s", "north", "north-a")
    };
    let both = vec![down, server("t", "north", "north-a")];
    let mut p = placement("g", &both);
    for object in 0..20 {
        let chosen = choose(&mut p, 0, &request(&route, object, 0)).expect("no server was chosen");
        assert_eq!(chosen.server.as_str(), "t");
        p.finish(Millis(0), &chosen, &route, PlacementEnd::Answered, 5, None);
    }
    let mut p = placement("g", &both[..1]);
    assert!(choose(&mut p, 0, &request(&route, 1, 0)).is_none());
}

/// Guards against a healthy server that is suspended because a connection was cut.
#[test]
fn cut_connection_does_not_suspend_a_server() {
    let route = Name::from("r");
    let only = vec![server("s", "north", "north-a")];
    let mut p = placement("g", &only);
    for now in 0..5 {
        let chosen = choose(&mut p, now, &request(&route, 1, 0)).expect("no server was chosen");
        assert!(!p.finish(Millis(now), &chosen, &route, PlacementEnd::Cut, 1, None));
    }
}

/// Guards against requests that are sent outside their home regions.
#[test]
fn requests_stay_in_their_home_regions() {
    let route = Name::from("r");
    let mut p = placement("g", &servers());
    let homes = [Name::from("south")];
    for object in 0..50 {
        let request = PlacementRequest {
            homes: &homes,
            ..request(&route, object, 1)
        };
        let chosen = choose(&mut p, object, &request).expect("no server was chosen");
        assert_eq!(chosen.region.as_str(), "south");
        p.finish(
            Millis(object),
            &chosen,
            &route,
            PlacementEnd::Answered,
            110,
            None,
        );
    }
}

/// Guards against a server that joins and never gets a request, because other
/// servers hold all objects.
#[test]
fn new_server_gets_requests() {
    let route = Name::from("r");
    let mut p = placement("g", &servers());
    serve(&mut p, &route, (0..400).map(|i| i % 40));
    let mut more = servers();
    more.push(server("north-a-9", "north", "north-a"));
    p.set_servers(Millis(20_000), &more, service(), &regions());
    let used = (0..80).filter_map(|i| {
        let now = 24_000 + i * 50;
        let chosen = choose(&mut p, now, &request(&route, i % 40, 1))?;
        p.finish(
            Millis(now + 40),
            &chosen,
            &route,
            PlacementEnd::Answered,
            110,
            None,
        );
        Some(chosen.server)
    });
    assert!(used.into_iter().any(|s| s.as_str() == "north-a-9"));
}

/// Guards against an object that is expected on more servers than hold it: in a
/// failure domain of 28 servers, eleven counted as holders of each object.
#[test]
fn at_most_two_servers_count_as_holders() {
    let route = Name::from("r");
    let many: Vec<ServerSpec> = (0..28)
        .map(|i| server(&format!("s{i}"), "north", "north-a"))
        .collect();
    let holders = (0..40u64).map(|object| {
        let mut p = placement("g", &many);
        let places = (0..60).filter_map(|_| choose(&mut p, 0, &request(&route, object, 0)));
        let held = places.filter(|c| c.held == Held::Likely);
        held.map(|c| c.server)
            .collect::<std::collections::HashSet<_>>()
            .len()
    });
    assert!(holders.max() <= Some(2));
}

/// Guards against an overloaded server that is suspended for its timeouts, after
/// which its region sent all requests to other regions, and against a silent one
/// that is never suspended.
#[test]
fn only_a_silent_server_is_suspended_for_timeouts() {
    let route = Name::from("r");
    let only = vec![server("s", "north", "north-a")];
    let mut p = placement("g", &only);
    for step in 0..6 {
        let now = step * 400;
        let ended = if step % 3 == 0 {
            PlacementEnd::Answered
        } else {
            PlacementEnd::TimedOut
        };
        let chosen = choose(&mut p, now, &request(&route, 1, 0)).expect("no server was chosen");
        assert!(!p.finish(Millis(now + 300), &chosen, &route, ended, 300, None));
    }
    let held = (6..12).any(|step| {
        let now = step * 400;
        let chosen = choose(&mut p, now, &request(&route, 1, 0)).expect("no server was chosen");
        p.finish(
            Millis(now + 300),
            &chosen,
            &route,
            PlacementEnd::TimedOut,
            300,
            None,
        )
    });
    assert!(held, "a silent server was never suspended");
}

/// Guards against a server that stays cold because the document changes, for whatever
/// reason, while its cold time runs.
#[test]
fn unrelated_changes_do_not_restart_the_cold_time() {
    let route: Name = "lookup".into();
    let cold = ServerSpec {
        cold_ms: 3_000,
        ..server("north-a-0", "north", "north-a")
    };
    let mut p = placement("g", std::slice::from_ref(&cold));
    for now in (200..=3_000).step_by(200) {
        let specs = std::slice::from_ref(&cold);
        p.set_servers(Millis(now), specs, service(), &regions());
    }
    let sent = (0..5).filter(|n| choose(&mut p, 3_100, &request(&route, *n, 1)).is_some());
    assert_eq!(sent.count(), 5);
    let down = ServerSpec {
        down: true,
        ..cold.clone()
    };
    p.set_servers(Millis(3_200), &[down], service(), &regions());
    p.set_servers(Millis(3_300), &[cold], service(), &regions());
    let sent = (0..5).filter(|n| choose(&mut p, 3_400, &request(&route, *n, 1)).is_some());
    assert!(sent.count() <= 2, "the server is cold again");
}

/// Guards against a resting server that gets requests because its failure domain was
/// evacuated for a moment.
#[test]
fn rest_outlasts_an_evacuation() {
    let route = Name::from("r");
    let all = servers();
    let (resting, others): (Vec<_>, Vec<_>) = all
        .iter()
        .cloned()
        .partition(|s| s.domain.as_str() == "north-a");
    let mut p = placement("g", &all);
    for server in &resting {
        p.record_rest(Millis(100), &server.name, 4_000);
    }
    p.set_servers(Millis(200), &others, service(), &regions());
    p.set_servers(Millis(300), &all, service(), &regions());
    for object in 0..8 {
        let chosen = choose(&mut p, 1_000, &request(&route, object, 1)).unwrap();
        assert!(resting.iter().all(|s| s.name != chosen.server));
    }
}

/// Guards against expected latencies that keep the assumed 112 ms to another region and 25 ms
/// to another failure domain where the distance was measured.
#[test]
fn measured_distances_replace_the_assumed_ones() {
    let route = "lookup".into();
    let expected = |region: &str, domain: &str, distances: &Distances| {
        let mut p = placement("g0", &[server("s0", region, domain)]);
        p.set_distances(distances);
        choose(&mut p, 0, &request(&route, 1, 1))
            .unwrap()
            .expected_ms
    };
    let mut measured = Distances::default();
    for _ in 0..3 {
        measured.record(&"north".into(), &"north-b".into(), 2.0);
        measured.record(&"south".into(), &"south-a".into(), 40.0);
    }
    for (region, domain, difference) in [("north", "north-b", 23), ("south", "south-a", 72)] {
        let assumed = expected(region, domain, &Distances::default());
        assert_eq!(
            assumed - expected(region, domain, &measured),
            difference,
            "{region}"
        );
    }
}
