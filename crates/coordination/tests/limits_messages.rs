//! Individual messages between limiter and ledger, and the division of amounts.

use pomelovale_coordination::fairness::{max_min, proportional};
use pomelovale_coordination::ledger::{
    Ledger, LedgerConfig, RateLimit, LEASE_LIFE_MS, LEASE_MARGIN_MS,
};
use pomelovale_coordination::limiter::{Admit, Limiter, LimiterConfig};
use pomelovale_protocol::grants::{GrantReply, GrantRequest, WorkspaceDemand, TOKEN};
use pomelovale_state::{Millis, Name};
use quickcheck::{Gen, QuickCheck};

const RATE: RateLimit = RateLimit {
    per_second: 100,
    burst: 100,
};

fn ledger(epoch: u64) -> Ledger {
    let mut ledger = Ledger::new(LedgerConfig::new(epoch), Millis(0));
    ledger.set_limit(&Name::from("w"), RATE, Millis(0));
    ledger
}

fn request(instance: &str, seq: u64, epoch: u64) -> GrantRequest {
    let want = WorkspaceDemand {
        workspace: Name::from("w"),
        wanted: 50 * TOKEN,
        demand: TOKEN,
        ..WorkspaceDemand::default()
    };
    GrantRequest {
        instance: Name::from(instance),
        seq,
        epoch,
        wants: vec![want],
    }
}

fn held(reply: &GrantReply) -> u64 {
    reply.grants.iter().map(|g| g.cap.max(g.tokens)).sum()
}

/// A limiter that sent its second request at 1,000 ms, and the reply to that.
fn answered(life_ms: u64) -> (Limiter, GrantReply) {
    let config = LimiterConfig {
        timeout_ms: 10_000,
        ..LimiterConfig::new(Name::from("a"))
    };
    let (mut limiter, mut ledger) = (Limiter::new(config), ledger(1));
    let (start, full) = (Millis(1_000), Millis(20_000));
    assert_eq!(limiter.admit(start, &Name::from("w"), 1), Admit::Wait);
    let hello = limiter.next_request(start).expect("due");
    limiter.receive(start, ledger.request(full, &hello));
    let asked = limiter.next_request(start).expect("due");
    let mut reply = ledger.request(full, &asked);
    reply.life_ms = life_ms;
    (limiter, reply)
}

macro_rules! reply_at {
    ($($(#[$doc:meta])* $name:ident: $received:literal, $asked:literal => $granted:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (mut limiter, reply) = answered(2_000);
            limiter.receive(Millis($received), reply);
            let admit = limiter.admit(Millis($asked), &Name::from("w"), 1);
            assert_eq!(admit == Admit::Granted, $granted);
        }
    )*};
}

reply_at! {
    /// Guards against a reply in time that has no effect.
    reply_in_time_grants: 1_110, 1_200 => true;
    /// Guards against a lease life that counts from the receipt of the reply: the
    /// ledger reserves the lease only for one life and a margin after it received the
    /// request.
    life_counts_from_the_sending: 2_900, 3_000 => false;
    /// Guards against use of a lease that expired before the reply arrived.
    reply_after_its_life_grants_nothing: 3_000, 3_000 => false;
}

/// Guards against a late reply to a request that timed out and was replaced.
#[test]
fn reply_to_an_abandoned_request_is_ignored() {
    let (mut limiter, reply) = answered(20_000);
    assert!(limiter.next_request(Millis(11_000)).is_some());
    limiter.receive(Millis(11_001), reply);
    let admit = limiter.admit(Millis(11_500), &Name::from("w"), 1);
    assert_ne!(admit, Admit::Granted);
}

/// Guards against grants that rest on a request of an earlier epoch. A copy of it
/// may have reached the earlier leader, whose reply changed what the instance
/// holds.
#[test]
fn request_of_an_earlier_epoch_gets_no_grant() {
    let (mut old, mut new) = (ledger(1), ledger(2));
    let later = Millis(LEASE_LIFE_MS + LEASE_MARGIN_MS);
    assert_ne!(held(&old.request(later, &request("a", 1, 1))), 0);
    assert_eq!(held(&new.request(later, &request("a", 1, 1))), 0);
    assert_ne!(held(&new.request(later, &request("a", 2, 2))), 0);
}

/// Guards against a leader that waits for an instance which lost its disk and
/// with it the list of workspaces. The instance holds no leases and must report
/// that.
#[test]
fn limiter_without_shares_reports_to_the_ledger() {
    let config = LimiterConfig {
        report_empty: true,
        ..LimiterConfig::new(Name::from("a-7f"))
    };
    let (mut limiter, mut ledger) = (Limiter::new(config), ledger(2));
    for now in [Millis(1_000), Millis(2_000)] {
        let request = limiter.next_request(now).expect("due");
        limiter.receive(now, ledger.request(now, &request));
    }
    assert!(ledger.has_reported(&Name::from("a")));
    assert!(ledger.release(Millis(2_000), [Name::from("a")].iter()));
}

macro_rules! released {
    ($($(#[$doc:meta])* $name:ident: $reporting:expr => $granted:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut ledger = ledger(2);
            let holders = [Name::from("a"), Name::from("b-1")];
            for reporting in $reporting {
                ledger.request(Millis(100), &request(reporting, 1, 2));
                ledger.release(Millis(100), holders.iter());
            }
            // Refill since the release: 100 per second for 300 ms.
            let reply = ledger.request(Millis(400), &request("a-7f", 9, 2));
            let tokens: u64 = reply.grants.iter().map(|g| g.tokens / TOKEN).sum();
            assert_eq!(tokens, $granted);
        }
    )*};
}

released! {
    /// Guards against a site that refuses requests for one lease life after all
    /// its instances restarted, although no instance holds a lease.
    all_holders_reported: ["a-7f", "b-1-3"] => 29;
    /// Guards against granting a lease twice: an instance that has not reported
    /// may still use what an earlier leader granted.
    one_holder_has_not_reported: ["a-7f", "b-2"] => 0;
    /// The same if the name of another instance has a common prefix.
    instance_names_with_a_common_prefix: ["a-7f", "b-3"] => 0;
}

/// Guards against a grant that is given to others because its reply was lost.
#[test]
fn grant_of_a_lost_reply_stays_reserved() {
    let mut ledger = ledger(1);
    let now = Millis(10_000);
    ledger.request(now, &request("x", 1, 1));
    let now = now.plus(10_000);
    let lost = held(&ledger.request(now, &request("a", 1, 1)));
    let others = ["b", "c", "d"].map(|i| held(&ledger.request(now, &request(i, 1, 1))));
    assert!(lost > 0 && lost + others.iter().sum::<u64>() <= RATE.burst * TOKEN);
}

/// Guards against leasing to others what a reply took from an instance, before
/// that instance acknowledges the reply with its next request.
#[test]
fn lowered_lease_stays_reserved_until_acknowledged() {
    let mut ledger = ledger(1);
    let now = Millis(10_000);
    ledger.request(now, &request("x", 1, 1));
    let now = now.plus(10_000);
    let cap = ledger.request(now, &request("a", 1, 1)).grants[0].cap;
    let mut idle = request("a", 2, 1);
    (
        idle.wants[0].cap,
        idle.wants[0].demand,
        idle.wants[0].wanted,
    ) = (cap, 0, 0);
    ledger.request(now, &request("b", 1, 1));
    let lowered = ledger.request(now, &idle).grants[0].cap;
    let other = held(&ledger.request(now, &request("b", 2, 1)));
    assert!(lowered < cap && cap + other <= RATE.burst * TOKEN);
}

/// Guards against a duplicate request that takes or returns tokens twice.
#[test]
fn duplicate_gets_the_same_reply_and_an_old_one_none() {
    let mut ledger = ledger(1);
    let now = Millis(10_000);
    let first = ledger.request(now, &request("a", 1, 1));
    assert_eq!(ledger.request(now.plus(5), &request("a", 1, 1)), first);
    ledger.request(now.plus(9), &request("a", 2, 1));
    assert!(ledger.request(now, &request("a", 1, 1)).grants.is_empty());
}

/// Guards against a refusal without a retry delay.
#[test]
fn refusal_says_when_to_retry() {
    let (mut limiter, reply) = answered(20_000);
    limiter.receive(Millis(1_000), reply);
    let name = Name::from("w");
    let refused = limiter.retry(Millis(5_000), &name, 1_000, Millis(1_000));
    assert!(matches!(
        refused,
        Admit::Refused {
            retry_after_ms: 1..
        }
    ));
}

fn seeded_quickcheck() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(1_000)
}

/// Guards against a division that hands out more than the total, less than it
/// could, or more to one demand than to a larger unmet one.
#[test]
fn division_is_max_min_fair() {
    fn holds(total: u32, claims: Vec<u32>) -> bool {
        let claims: Vec<u64> = claims.into_iter().map(u64::from).collect();
        let shares = max_min(total.into(), &claims);
        let (given, sum) = (shares.iter().sum::<u64>(), claims.iter().sum::<u64>());
        let highest = shares.iter().max().copied().unwrap_or(0);
        let fair = |(s, c): (&u64, &u64)| s == c || (s < c && s + 1 >= highest);
        given == sum.min(total.into()) && shares.iter().zip(&claims).all(fair)
    }
    seeded_quickcheck().quickcheck(holds as fn(u32, Vec<u32>) -> bool);
}

/// Guards against a proportional division that exceeds the total.
#[test]
fn division_is_proportional() {
    fn holds(total: u32, claims: Vec<u32>) -> bool {
        let claims: Vec<u64> = claims.into_iter().map(u64::from).collect();
        proportional(total.into(), &claims).iter().sum::<u64>() <= total.into()
    }
    seeded_quickcheck().quickcheck(holds as fn(u32, Vec<u32>) -> bool);
}
