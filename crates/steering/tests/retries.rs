//! Tests of the retry budget, the quarantine and hedging.

use pomelovale_state::command::CRASH_RETENTION_MS;
use pomelovale_state::document::Digest;
use pomelovale_state::{Millis, Name};
use pomelovale_steering::hedge::{Hedge, HedgePolicy, HEDGE_MIN_SAMPLES};
use pomelovale_steering::quarantine::{last_crash, next_crash, trial_delay, Quarantine};
use pomelovale_steering::retry::{RetryBudget, RetryPolicy, RETRY_BURST};
use pomelovale_steering::Class;
use quickcheck::quickcheck;

quickcheck! {
    /// In any sequence, retries stay within a tenth of the requests plus the burst.
    fn budget_bounds_retries(attempts: Vec<bool>) -> bool {
        let mut budget = RetryBudget::new(RetryPolicy::Budget);
        let (mut requests, mut retries) = (0u64, 0u64);
        attempts.iter().all(|&retry| {
            match retry {
                true => retries += u64::from(budget.try_spend()),
                false => {
                    requests += 1;
                    budget.record_request();
                }
            }
            retries <= requests / 10 + RETRY_BURST
        })
    }

    /// In any sequence, retries stay within an instance's share of the common budget.
    fn shared_budget_bounds_retries(attempts: Vec<bool>, share: u8, burst: u8) -> bool {
        let (per_mille, burst) = (u64::from(share), u64::from(burst));
        let mut budget = RetryBudget::new(RetryPolicy::Shared { per_mille, burst });
        let (mut requests, mut retries) = (0u64, 0u64);
        attempts.iter().all(|&retry| {
            match retry {
                true => retries += u64::from(budget.try_spend()),
                false => {
                    requests += 1;
                    budget.record_request();
                }
            }
            retries <= requests * per_mille / 1_000 + burst
        })
    }
}

const POISON: Digest = Digest([1; 32]);

fn crashes(servers: &[&str]) -> Quarantine {
    let mut quarantine = Quarantine::new();
    for server in servers {
        quarantine.record_crash(Millis(0), POISON, &Name::from(*server));
    }
    quarantine
}

macro_rules! quarantine {
    ($($name:ident: $servers:expr, at $now:expr => blocked $blocked:literal, suspect $suspect:literal;)*) => {$(
        #[test]
        fn $name() {
            let quarantine = crashes(&$servers);
            assert_eq!(quarantine.is_blocked(Millis($now), &POISON), $blocked);
            assert_eq!(quarantine.is_suspect(Millis($now), &POISON), $suspect);
            assert!(!quarantine.is_suspect(Millis($now), &Digest([2; 32])));
        }
    )*};
}

quarantine! {
    request_without_crash_is_not_blocked: [], at 0 => blocked false, suspect false;
    one_crash_is_suspect: ["a"], at 1 => blocked false, suspect true;
    same_crash_counts_once: ["a", "a"], at 1 => blocked false, suspect true;
    two_crashes_block: ["a", "b"], at 1 => blocked true, suspect true;
    block_ends: ["a", "b"], at CRASH_RETENTION_MS => blocked false, suspect false;
}

macro_rules! hedges {
    ($($name:ident: $policy:ident, $samples:expr, $class:ident, suspect $suspect:literal, spent $spent:literal => $allowed:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut hedge = Hedge::new(HedgePolicy::$policy);
            let mut budget = RetryBudget::new(RetryPolicy::Budget);
            (0..$samples).for_each(|_| hedge.record(20));
            (0..$spent).for_each(|_| { budget.try_spend(); });
            assert_eq!(hedge.try_hedge(Class::$class, $suspect, &mut budget), $allowed);
        }
    )*};
}

hedges! {
    idempotent_request_is_hedged: Percentile, HEDGE_MIN_SAMPLES, Idempotent, suspect false, spent 0 => true;
    non_idempotent_request_is_not_hedged: Percentile, HEDGE_MIN_SAMPLES, Once, suspect false, spent 0 => false;
    suspect_request_is_not_hedged: Percentile, HEDGE_MIN_SAMPLES, Idempotent, suspect true, spent 0 => false;
    no_hedge_without_budget: Percentile, HEDGE_MIN_SAMPLES, Idempotent, suspect false, spent 10 => false;
    no_hedge_without_samples: Percentile, 10, Idempotent, suspect false, spent 0 => false;
    no_hedge_when_policy_is_off: Off, HEDGE_MIN_SAMPLES, Idempotent, suspect false, spent 0 => false;
}

/// Guards against a delay so short that ordinary requests are hedged.
#[test]
fn delay_follows_the_high_percentile() {
    let mut hedge = Hedge::new(HedgePolicy::Percentile);
    for i in 0..20_000u64 {
        hedge.record(10 + i * 37 % 100);
    }
    let delay = hedge.delay().unwrap().0;
    assert!((95..=125).contains(&delay), "{delay}");
}

/// Guards against hedges that only take capacity, and against a delay so long that
/// requests at an unresponsive server are not hedged in time.
#[test]
fn delay_grows_while_hedges_do_not_win() {
    let mut hedge = Hedge::new(HedgePolicy::Percentile);
    (0..1_000).for_each(|_| hedge.record(20));
    let early = hedge.delay().unwrap();
    (0..100).for_each(|_| hedge.record_hedge(false));
    let late = hedge.delay().unwrap();
    (0..20).for_each(|_| hedge.record_hedge(true));
    assert!(late.0 >= 2 * early.0 - 1 && late.0 <= 2 * early.0 + 1);
    assert_eq!(hedge.delay(), Some(early));
}

macro_rules! next_crash {
    ($($name:ident: $crashes:expr, known $known:literal => last $last:literal, next $next:expr;)*) => {$(
        #[test]
        fn $name() {
            let crashes: Vec<Name> = $crashes.into_iter().map(Name::from).collect();
            let next: Option<&str> = $next;
            assert_eq!(last_crash(&crashes), $last);
            assert_eq!(next_crash(&crashes, $known).as_deref(), next);
        }
    )*};
}

next_crash! {
    first_crash: [""; 0], known 0 => last 0, next Some("1");
    crash_after_a_known_one: ["1"], known 1 => last 1, next Some("2");
    crash_of_a_run_beside_the_last_one: ["1"], known 0 => last 1, next None;
    crash_after_the_record_was_cleared: [""; 0], known 2 => last 0, next Some("1");
    crash_after_an_incomplete_record: ["2"], known 2 => last 2, next Some("3");
    crash_recorded_by_server_name: ["b0"], known 1 => last 1, next Some("2");
}

#[test]
fn trials_of_a_quarantined_request_become_rarer() {
    let delays: Vec<Option<u64>> = (0..6).map(|n| trial_delay(n, 3)).collect();
    assert_eq!(
        delays,
        [None, None, Some(3), Some(24), Some(192), Some(1_536)]
    );
    assert_eq!(trial_delay(200, 3), Some(u64::MAX));
}
