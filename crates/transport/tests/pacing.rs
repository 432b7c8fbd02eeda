//! Pacing of large responses on a narrow link.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use pomelovale_transport::body::CallerBody;
use pomelovale_transport::pacing::{Pacer, PART_BYTES};
use tokio::time::Instant;

/// 6.7 Mbit/s.
const LINK_RATE: u64 = 837_500;
const LARGE: usize = 540_000;
const SMALL: usize = 5_000;

// Admits the parts of some bodies in turn, each as soon as its last one was written. Returns
// when the last part of each may be written.
fn play(pacer: &Pacer, start: Instant, sizes: &[usize]) -> Vec<Duration> {
    let mut bodies: Vec<(usize, Instant)> = sizes.iter().map(|n| (*n, start)).collect();
    let mut ends = vec![Duration::ZERO; sizes.len()];
    while let Some(next) = (0..bodies.len())
        .filter(|i| bodies[*i].0 > 0)
        .min_by_key(|i| bodies[*i].1)
    {
        let (left, at) = bodies[next];
        let part = left.min(PART_BYTES);
        let admitted = pacer.admit(at, part);
        bodies[next] = (left - part, admitted);
        ends[next] = admitted.duration_since(start);
    }
    ends
}

fn link_time(bytes: usize) -> Duration {
    Duration::from_micros(bytes as u64 * 1_000_000 / LINK_RATE)
}

// Guards against a large response that holds up all others until its last byte.
#[test]
fn concurrent_bodies_share_the_link_in_turn() {
    let start = Instant::now();
    let ends = play(&Pacer::new(LINK_RATE), start, &[LARGE, 90_000, SMALL]);
    // Each part waits for one of each other body.
    assert!(
        ends[2] < link_time(SMALL + 4 * PART_BYTES) * 10 / 9,
        "{ends:?}"
    );
    assert!(
        ends[1] < link_time(2 * 90_000 + SMALL + PART_BYTES) * 10 / 9,
        "{ends:?}"
    );
}

// Guards against bodies that fill the link, so that messages wait behind them.
#[test]
fn bodies_leave_a_part_of_the_link_free() {
    let start = Instant::now();
    let ends = play(&Pacer::new(LINK_RATE), start, &[LARGE, LARGE]);
    let last = ends.iter().max().copied().unwrap_or_default();
    let free = last.saturating_sub(link_time(2 * LARGE - PART_BYTES));
    assert!(free >= link_time(2 * LARGE) / 10, "{ends:?}");
}

// Guards against bodies that lose bytes or their length when they are paced, and against a
// response that is counted after its end.
#[tokio::test]
async fn paced_body_is_whole() {
    let pacer = Arc::new(Pacer::new(100_000_000));
    let text: Vec<u8> = (0..100_000u32).map(|n| n as u8).collect();
    let body = pacer.pace(CallerBody::Full(Bytes::from(text.clone())));
    assert_eq!(pacer.streams(), 1);
    let hint = hyper::body::Body::size_hint(&body);
    assert_eq!(hint.exact(), Some(text.len() as u64));
    let read = body.collect().await.map(|b| b.to_bytes());
    assert_eq!(read.ok(), Some(Bytes::from(text)));
    assert_eq!(pacer.streams(), 0);
}

// Guards against small responses that wait for the link.
#[tokio::test]
async fn small_body_is_not_paced() {
    let pacer = Arc::new(Pacer::new(LINK_RATE));
    pacer.admit(Instant::now(), LARGE);
    let body = pacer.pace(CallerBody::Full(Bytes::from(vec![0; SMALL])));
    assert!(matches!(body, CallerBody::Full(_)));
    assert_eq!(pacer.streams(), 0);
}
