//! What backend servers tell one instance: rest, that they leave, and that they stay.

use pomelovale_state::Millis;
use pomelovale_steering::availability::{Availability, REST_MAX_MS};

const NOW: Millis = Millis(50_000);

/// Guards against a shorter rest that ends a longer one.
#[test]
fn longer_rest_outlasts_a_shorter_one() {
    let mut server = Availability::default();
    assert!(server.record_rest(NOW, 4_000));
    assert!(!server.record_rest(NOW.plus(100), 1_000));
    assert_eq!(server.rest_ms(NOW.plus(2_000)), 2_000);
    assert!(server.is_open(NOW.plus(4_000)));
}

/// Guards against a leaving server that is sent requests, or never looked at again.
#[test]
fn leaving_server_is_probed_until_it_is_back() {
    let mut server = Availability::default();
    assert!(server.record_leaving(NOW));
    assert!(!server.record_leaving(NOW.plus(50)));
    assert!(!server.is_open(NOW.plus(60_000)));
    assert!(!server.take_probe(NOW.plus(4_000)));
    assert!(server.take_probe(NOW.plus(6_000)));
    assert!(!server.take_probe(NOW.plus(7_000)));
    server.record_back();
    assert!(server.is_open(NOW.plus(7_000)));
}

/// Guards against a server that is never asked again because of a value without measure.
#[test]
fn rest_without_measure_ends() {
    let mut server = Availability::default();
    server.record_rest(NOW, u64::MAX);
    assert!(!server.is_open(NOW.plus(REST_MAX_MS - 1)));
    assert!(server.is_open(NOW.plus(REST_MAX_MS)));
}

/// Guards against a server that is asked whether it stays while it rests, or by each request
/// although it doesn't show it.
#[test]
fn server_is_not_asked_at_each_request_whether_it_stays() {
    let mut server = Availability::default();
    assert!(server.may_check(NOW));
    server.record_unconfirmed(NOW);
    assert!(!server.may_check(NOW.plus(200)));
    assert!(server.may_check(NOW.plus(250)));
    server.record_rest(NOW.plus(250), 1_000);
    assert!(!server.may_check(NOW.plus(1_200)));
    assert!(server.may_check(NOW.plus(1_250)));
}

/// Guards against a server that counts as staying since it did so once, or although it may
/// leave.
#[test]
fn probe_shows_for_a_while_that_a_server_stays() {
    let mut server = Availability::default();
    assert!(!server.is_staying(NOW));
    server.record_staying(NOW);
    assert!(server.is_staying(NOW.plus(1_900)));
    assert!(!server.is_staying(NOW.plus(2_000)));
    server.record_staying(NOW.plus(2_000));
    server.record_doubt();
    assert!(!server.is_staying(NOW.plus(2_200)));
    server.record_staying(NOW.plus(2_200));
    server.record_leaving(NOW.plus(2_300));
    assert!(!server.is_staying(NOW.plus(2_400)));
}
