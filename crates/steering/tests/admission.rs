//! Tests of admission control: fairness, bounds and removal of waiting requests.

use pomelovale_state::{Millis, Name};
use pomelovale_steering::admission::{
    Admission, AdmissionDecision, AdmissionLimits, AdmissionPolicy, RequestEnd, Ticket,
};
use pomelovale_steering::{AttemptEnd, Class};

const LIMIT: u32 = 4;

fn admission(policy: AdmissionPolicy) -> Admission {
    let limits = AdmissionLimits {
        start: LIMIT,
        min: LIMIT,
        max: LIMIT,
        queue: 40,
        wait_ms: 500,
        defer_ms: 5_000,
    };
    Admission::new(policy, limits)
}

fn offer(
    a: &mut Admission,
    t: u64,
    ticket: u64,
    workspace: &str,
    class: Class,
) -> AdmissionDecision {
    a.offer(Millis(t), Ticket(ticket), &Name::from(workspace), class)
}

fn release(a: &mut Admission, t: u64, ticket: u64) -> Vec<u64> {
    let ended = RequestEnd {
        ticket: Ticket(ticket),
        end: AttemptEnd::Complete,
        latency_ms: 20,
    };
    a.release(Millis(t), ended).iter().map(|t| t.0).collect()
}

/// Admits tickets 0 to 3, which exhaust the concurrency limit.
fn full(policy: AdmissionPolicy) -> Admission {
    let mut a = admission(policy);
    for i in 0..u64::from(LIMIT) {
        assert_eq!(
            offer(&mut a, 0, i, "w", Class::Idempotent),
            AdmissionDecision::Admitted
        );
    }
    a
}

/// Guards against a request that waits behind the flood of another workspace.
#[test]
fn flood_does_not_delay_others() {
    let mut a = full(AdmissionPolicy::Fair);
    for i in 0..30 {
        offer(&mut a, 1, 100 + i, "flood", Class::Idempotent);
    }
    offer(&mut a, 2, 500, "calm", Class::Idempotent);
    let served: Vec<u64> = (0..3).flat_map(|i| release(&mut a, 3, i)).collect();
    assert!(served.contains(&500), "{served:?}");
}

/// Guards against a FIFO baseline that reorders requests, which would distort the
/// comparison with the fair queue.
#[test]
fn fifo_serves_in_order_of_arrival() {
    let mut a = full(AdmissionPolicy::Fifo);
    offer(&mut a, 1, 100, "flood", Class::Idempotent);
    offer(&mut a, 1, 101, "flood", Class::Idempotent);
    offer(&mut a, 2, 500, "calm", Class::Idempotent);
    let served: Vec<u64> = (0..3).flat_map(|i| release(&mut a, 3, i)).collect();
    assert_eq!(served, [100, 101, 500]);
}

macro_rules! removal {
    ($($name:ident: $leave:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut a = full(AdmissionPolicy::Fair);
            offer(&mut a, 1, 100, "w", Class::Idempotent);
            offer(&mut a, 1, 101, "w", Class::Deferrable);
            let leave: fn(&mut Admission) = $leave;
            leave(&mut a);
            assert_eq!(a.waiting(), 0);
            let admitted: Vec<u64> = (0..4).flat_map(|i| release(&mut a, 20_000, i)).collect();
            assert_eq!(admitted, Vec::<u64>::new());
            assert_eq!(a.in_flight(), 0);
        }
    )*};
}

// Guards against a refused or cancelled request that stays queued and runs later.
removal! {
    cancelled_ticket_leaves_every_queue: |a| {
        a.cancel(Ticket(100));
        a.cancel(Ticket(101));
    };
    late_ticket_leaves_every_queue: |a| {
        let late: Vec<u64> = a.take_refused(Millis(10_000)).iter().map(|r| r.ticket.0).collect();
        assert_eq!(late, [100, 101]);
    };
}

/// Guards against a queue that grows without bound, and against shedding a
/// workspace with few waiting requests instead of the one that floods.
#[test]
fn longest_workspace_queue_is_shed_when_full() {
    let mut a = full(AdmissionPolicy::Fair);
    let mut flood = (0..40).map(|i| offer(&mut a, 1, 100 + i, "flood", Class::Idempotent));
    assert!(flood.all(|v| v == AdmissionDecision::Queued));
    assert!(matches!(
        offer(&mut a, 1, 200, "flood", Class::Idempotent),
        AdmissionDecision::Refused { .. }
    ));
    assert_eq!(
        offer(&mut a, 1, 300, "calm", Class::Idempotent),
        AdmissionDecision::Queued
    );
    let shed: Vec<u64> = a
        .take_refused(Millis(2))
        .iter()
        .map(|r| r.ticket.0)
        .collect();
    assert_eq!(shed, [139]);
    assert_eq!(a.waiting(), 40);
}

/// Guards against deferrable requests that take capacity from interactive ones.
#[test]
fn deferrable_work_uses_spare_capacity_only() {
    let mut a = admission(AdmissionPolicy::Fair);
    let decisions: Vec<AdmissionDecision> = (0..4)
        .map(|i| offer(&mut a, 0, i, "w", Class::Deferrable))
        .collect();
    assert_eq!(
        decisions
            .iter()
            .filter(|v| **v == AdmissionDecision::Admitted)
            .count(),
        3
    );
    assert_eq!(
        offer(&mut a, 0, 10, "w", Class::Idempotent),
        AdmissionDecision::Admitted
    );
    assert_eq!(
        offer(&mut a, 0, 11, "w", Class::Idempotent),
        AdmissionDecision::Queued
    );
    assert_eq!(release(&mut a, 1, 0), [11]);
    assert_eq!(release(&mut a, 1, 1), Vec::<u64>::new());
    assert_eq!(release(&mut a, 1, 2), [3]);
}

/// Guards against a ticket that is released twice and frees two slots.
#[test]
fn second_release_admits_nothing() {
    let mut a = full(AdmissionPolicy::Fair);
    offer(&mut a, 1, 100, "w", Class::Idempotent);
    offer(&mut a, 1, 101, "w", Class::Idempotent);
    assert_eq!(release(&mut a, 2, 0), [100]);
    assert_eq!(release(&mut a, 2, 0), Vec::<u64>::new());
    assert_eq!(a.in_flight(), 4);
}

/// Guards against a lasting overload in which every request waits for the full
/// `wait_ms`, and against a short burst that is refused as an overload.
#[test]
fn wait_bound_shrinks_in_a_lasting_overload() {
    let mut a = full(AdmissionPolicy::Fair);
    for t in 0..5_000u64 {
        if t % 20 == 0 {
            offer(&mut a, t, 1_000 + t, "w", Class::Idempotent);
        }
        let late = a.take_refused(Millis(t));
        assert!(t > 4_000 || t <= 500 || late.iter().all(|r| t - (r.ticket.0 - 1_000) == 501));
        assert!(t <= 4_001 || late.iter().all(|r| t - (r.ticket.0 - 1_000) <= 126));
    }
}
