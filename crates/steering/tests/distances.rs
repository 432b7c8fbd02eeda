//! Measured round trips, and idle connections to servers of other regions.

use pomelovale_state::Millis;
use pomelovale_steering::connection_demand::ConnectionDemand;
use pomelovale_steering::distances::Distances;

/// Guards against an estimate that takes the queue of a narrow link for distance: here, one
/// connection in four finds the link idle, the others wait for 70 to 280 ms.
#[test]
fn queueing_is_not_distance() {
    let mut distances = Distances::default();
    let (region, domain) = ("south".into(), "south-a".into());
    for n in 0..200u32 {
        let queued = f64::from(n % 4) * 70.0 + f64::from(n % 3);
        distances.record(
            &region,
            &domain,
            110.0 + queued + f64::from(n % 4 / 2) * 35.0,
        );
    }
    let measured = distances.region_ms(&region).unwrap();
    assert!((110.0..=125.0).contains(&measured), "{measured}");
    assert_eq!(distances.domain_ms(&domain), Some(measured));
}

/// Guards against an estimate from a single connect time, and against one that never rises
/// after a route between regions has become longer.
#[test]
fn estimates_need_samples_and_follow_a_longer_route() {
    let mut distances = Distances::default();
    let (region, domain) = ("south".into(), "south-a".into());
    distances.record(&region, &domain, 400.0);
    assert_eq!(distances.region_ms(&region), None);
    (0..20).for_each(|_| distances.record(&region, &domain, 110.0));
    (0..200).for_each(|_| distances.record(&region, &domain, 180.0));
    let measured = distances.region_ms(&region).unwrap();
    assert!(measured > 170.0, "{measured}");
}

/// Guards against a single idle connection for servers whose requests overlap, and against
/// connections that are kept for ever.
#[test]
fn overlapping_requests_get_more_connections() {
    let mut demand = ConnectionDemand::default();
    let address = "127.0.0.1:1".parse().unwrap();
    assert_eq!(demand.target(Millis(0), address), 1);
    (0..9).for_each(|n| demand.record_miss(Millis(n * 100), address));
    assert_eq!(demand.target(Millis(1_000), address), 4);
    assert_eq!(demand.target(Millis(30_000), address), 1);
}
