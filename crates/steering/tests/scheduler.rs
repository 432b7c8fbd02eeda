//! Order of requests, retry delays and returning callers, in model time.

#[path = "../benches/scheduling/model.rs"]
#[allow(dead_code, reason = "shared with the benchmark")]
mod model;

use model::{simulate, Outcome, Policy, Run, FLOODER, WORKSPACES};
use pomelovale_state::Millis;
use pomelovale_steering::returns::{Return, Returns};
use pomelovale_steering::scheduler::{Candidacy, Estimate, Fit, Offer, Order, Scheduler, Ticket};

const FULL: Estimate = Estimate {
    fit: Fit::Full,
    work_ms: 100.0,
    wait_ms: 50.0,
    gap_ms: 10.0,
    target: 1,
    exact: true,
};
const FREE: Estimate = Estimate {
    fit: Fit::OnTime,
    ..FULL
};

fn request(workspace: &str, priority: u32) -> Candidacy {
    Candidacy {
        workspace: workspace.into(),
        domain: "d".into(),
        priority,
        objective_ms: 1_000,
        left_ms: 3_000,
        returned: false,
    }
}

fn wait(s: &mut Scheduler, request: Candidacy) -> Ticket {
    match s.offer(Millis(0), request, 0, &FULL) {
        Offer::Wait { ticket } => ticket,
        other => panic!("{other:?}"),
    }
}

fn next(s: &mut Scheduler, now: u64) -> Option<Ticket> {
    let released = s.release(Millis(now), |_| FREE)?;
    assert_eq!(released.1, Offer::Place);
    Some(released.0)
}

/// Guards against urgent requests and returning callers that wait behind others.
#[test]
fn urgent_requests_and_returning_callers_come_first() {
    let mut s = Scheduler::new(Order::Fair);
    let low = wait(&mut s, request("a", 2));
    let first = wait(&mut s, request("a", 1));
    let returned = Candidacy {
        returned: true,
        ..request("a", 1)
    };
    let returned = wait(&mut s, returned);
    let urgent = wait(&mut s, request("a", 0));
    let order: Vec<Ticket> = std::iter::from_fn(|| next(&mut s, 10)).collect();
    assert_eq!(order, [urgent, returned, first, low]);
}

/// Guards against a workspace whose many requests delay those of the others.
#[test]
fn workspaces_share_the_places() {
    let mut s = Scheduler::new(Order::Fair);
    let large: Vec<Ticket> = (0..30).map(|_| wait_long(&mut s, "large")).collect();
    let small: Vec<Ticket> = (0..5).map(|_| wait_long(&mut s, "small")).collect();
    let first: Vec<Ticket> = (0..10).filter_map(|_| next(&mut s, 10)).collect();
    let of = |all: &[Ticket]| first.iter().filter(|t| all.contains(t)).count();
    assert_eq!((of(&large), of(&small)), (5, 5));
}

fn wait_long(s: &mut Scheduler, workspace: &str) -> Ticket {
    wait(s, request(workspace, 1))
}

/// Guards against a kind of request that gets no place while more urgent ones wait.
#[test]
fn each_priority_gets_a_tenth() {
    let mut s = Scheduler::new(Order::Fair);
    let low = [wait(&mut s, request("a", 2)), wait(&mut s, request("b", 2))];
    for _ in 0..30 {
        wait(&mut s, request("a", 0));
    }
    let order: Vec<Ticket> = std::iter::from_fn(|| next(&mut s, 10)).collect();
    let mut places = low.map(|t| order.iter().position(|o| *o == t).unwrap());
    places.sort_unstable();
    assert!(places[0] <= 9 && places[1] <= 19, "{places:?}");
}

/// Guards against callers that are held although they can't be served in time.
#[test]
fn request_that_misses_its_objective_is_rejected_at_once() {
    let mut s = Scheduler::new(Order::Fair);
    let slow = Estimate {
        wait_ms: 950.0,
        ..FULL
    };
    let offer = s.offer(Millis(0), request("a", 1), 7, &slow);
    assert!(
        matches!(offer, Offer::Refuse { retry_ms: 60.. }),
        "{offer:?}"
    );
    // The wait turns out longer than expected.
    let ticket = wait(&mut s, request("a", 1));
    let released = s.release(Millis(100), |_| slow);
    assert!(matches!(released, Some((t, Offer::Refuse { .. })) if t == ticket));
    assert_eq!(s.waiting(), 0);
}

/// Guards against requests that miss their objective and take the room of others, and against
/// an instance that knows little of the load and rejects requests for which there is room.
#[test]
fn late_requests_leave_the_room_to_requests_in_time() {
    let late = |target, exact| Estimate {
        fit: Fit::Late,
        work_ms: 1_500.0,
        target,
        exact,
        ..FULL
    };
    let mut s = Scheduler::new(Order::Fair);
    let is_placed = |s: &mut Scheduler, now, estimate| {
        s.offer(Millis(now), request("a", 0), now, &estimate) == Offer::Place
    };
    assert!(is_placed(&mut s, 0, late(1, true)));
    wait(&mut s, request("a", 1));
    assert!(!is_placed(&mut s, 10, late(2, true)));
    assert!(!is_placed(&mut s, 10, late(1, false)));
    assert!(is_placed(&mut s, 10, late(2, false)));
    assert!(is_placed(&mut s, 1_000, late(2, true)));
}

/// Guards against rejected callers that return together, before there is capacity, or too
/// late, and against an advantage for callers that don't keep their time.
#[test]
fn rejected_callers_return_one_by_one() {
    let mut r = Returns::default();
    let (drain, now) = (0.02, Millis(1_000));
    let delays: Vec<u64> = (0..40)
        .map(|f| r.give_place(now, drain, 3_000, f))
        .collect();
    assert_eq!(delays[..4], [60, 110, 160, 210]);
    assert!(
        delays.iter().all(|ms| (60..=1_000).contains(ms)),
        "{delays:?}"
    );
    assert_eq!(r.take(Millis(1_059), 0), Return::Early);
    assert_eq!(r.take(Millis(1_060), 0), Return::First);
    assert_eq!(r.take(Millis(1_115), 1), Return::OnTime);
    assert_eq!(r.take(Millis(1_115), 1), Return::First);
    assert_eq!(r.take(Millis(2_200), 2), Return::First);
    for fingerprint in 100..9_000 {
        r.give_place(now, drain, 3_000, fingerprint);
    }
    assert!(r.len() <= 4_096, "{}", r.len());
}

fn run(policy: Policy, instances: usize) -> Run {
    Run {
        policy,
        instances,
        rate: 550.0,
        seconds: 14,
        flood: 1.0,
        death: None,
        seed: 5,
    }
}

const FAIR: Policy = Policy::Ordered(Order::Fair);

fn assert_complete(outcome: &Outcome) {
    let total = outcome.total();
    assert_eq!((total.lost, outcome.twice), (0, 0), "{outcome:?}");
}

/// Guards against an order that serves callers worse than none: the most urgent kind, all of
/// them, and those that return. The run takes one period of the demand: while most objects are
/// held by no server, as in the first seconds, the order serves callers worse.
#[test]
fn order_serves_competing_callers_better_than_none() {
    let period = |policy| Run {
        seconds: 36,
        seed: 11,
        ..run(policy, 2)
    };
    let (ordered, none) = (simulate(period(FAIR)), simulate(period(Policy::Unordered)));
    assert_complete(&ordered);
    let (o, n) = (ordered.total(), none.total());
    assert!(o.on_time_share() > n.on_time_share(), "{o:?} {n:?}");
    assert!(o.value > n.value, "{o:?} {n:?}");
    let urgent = [&ordered, &none].map(|r| r.kinds[2].on_time_share());
    assert!(urgent[0] > urgent[1], "{urgent:?}");
    let domains = ordered.domains.map(|d| d.on_time_share());
    assert!((domains[0] - domains[1]).abs() < 0.05, "{domains:?}");
}

/// Guards against a workspace that sends a multiple of its rate at the cost of the others.
#[test]
fn flood_costs_the_other_workspaces_little() {
    let flood = |policy| Run {
        flood: 7.5,
        rate: 350.0,
        ..run(policy, 2)
    };
    let (ordered, none) = (simulate(flood(FAIR)), simulate(flood(Policy::Unordered)));
    assert_complete(&ordered);
    let others = |o: &Outcome| {
        let shares = (0..WORKSPACES).filter(|w| *w != FLOODER);
        let shares = shares.map(|w| o.workspaces[w].on_time_share());
        shares.sum::<f64>() / (WORKSPACES - 1) as f64
    };
    let (with, without) = (others(&ordered), others(&none));
    assert!(with > without, "{with} {without}");
}

/// Guards against requests that are lost or run twice when the instance at which they wait
/// dies.
#[test]
fn death_of_the_ordering_instance_loses_nothing() {
    let mut waited = 0;
    for death in [6_000, 9_000, 12_000] {
        let outcome = simulate(Run {
            death: Some(death),
            ..run(FAIR, 3)
        });
        waited += outcome.waited_at_death;
        assert_complete(&outcome);
    }
    assert!(waited > 0, "nothing waited");
}
