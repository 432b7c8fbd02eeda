//! Groups with an open membership, which instances join through the founders.

use crate::sim::Sim;

const FOUNDERS: usize = 3;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($size:expr, $seeds:expr) $case:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let case: fn(Sim) = $case;
            (0..$seeds).for_each(|seed| case(Sim::open($size, FOUNDERS, seed)));
        })*
    };
}

fn voters(sim: &Sim) -> Vec<String> {
    let leader = sim.current_leader().expect("the group has a leader");
    let status = sim.status(leader).expect("the leader runs");
    status.voters.iter().map(|v| v.name.to_string()).collect()
}

fn run_until_voters(sim: &mut Sim, voters_wanted: usize) {
    let done = |sim: &Sim| sim.current_leader().is_some() && voters(sim).len() == voters_wanted;
    assert!(sim.run_until(20_000, done), "{:?}", voters(sim));
    sim.run(500);
}

cases! {
    /// Guards against instances that are not founders and never become voters.
    others_join_and_vote(5, 10) |mut sim| {
        run_until_voters(&mut sim, 5);
        sim.propose();
        sim.run(500);
        assert_eq!(sim.accepted.len(), 1);
    };

    /// Guards against membership changes that stop at a learner which cannot
    /// be promoted, so that later instances never become learners.
    learners_beyond_the_voter_limit_follow(8, 5) |mut sim| {
        run_until_voters(&mut sim, 5);
        sim.run(3_000);
        let leader = sim.current_leader().expect("the group has a leader");
        let status = sim.status(leader).expect("the leader runs");
        assert_eq!(status.learners.len(), 3);
        sim.propose();
        sim.run(1_000);
        let commit = sim.status(leader).expect("the leader runs").commit;
        assert!((0..8).all(|n| sim.status(n).is_some_and(|s| s.commit == commit)));
    };

    /// Guards against a permanently lost machine that stays a voter while a
    /// learner waits for promotion.
    learner_replaces_a_lost_voter(6, 5) |mut sim| {
        run_until_voters(&mut sim, 5);
        let names = voters(&sim);
        let leader = sim.current_leader().expect("the group has a leader");
        let voter = |n: &usize| names.contains(&format!("c{n}")) && *n != leader;
        let lost = (0..6).find(voter).expect("a follower votes");
        sim.crash(lost);
        let lost_name = format!("c{lost}");
        let done = |sim: &Sim| {
            sim.current_leader().is_some()
                && voters(sim).len() == 5
                && !voters(sim).contains(&lost_name)
        };
        assert!(sim.run_until(20_000, done), "{:?}", voters(&sim));
    };

    /// Guards against a lost voter that stays among four: the group would
    /// tolerate no further loss, while three voters tolerate one.
    even_group_drops_a_lost_voter(4, 5) |mut sim| {
        run_until_voters(&mut sim, 4);
        let leader = sim.current_leader().expect("the group has a leader");
        let lost = (0..4).find(|n| *n != leader).expect("the group has a follower");
        sim.crash(lost);
        assert!(sim.run_until(20_000, |sim| sim.current_leader().is_some() && voters(sim).len() == 3));
    };
}

/// Crashes the leader until an instance leads that is not a founder.
fn elect_non_founder(sim: &mut Sim) {
    for _ in 0..30 {
        let leader = sim.current_leader().expect("the group has a leader");
        if leader >= FOUNDERS {
            return;
        }
        sim.crash(leader);
        assert!(sim.run_until(20_000, |sim| sim.current_leader().is_some()));
        sim.start(leader);
        sim.run(1_500);
        assert!(sim.run_until(20_000, |sim| sim.current_leader().is_some()));
    }
    panic!("only founders became leader");
}

fn has_caught_up(sim: &Sim, n: usize) -> bool {
    let commit = |n| sim.status(n).map(|s| s.commit);
    let leader = sim.current_leader();
    leader.is_some_and(|l| commit(n) == commit(l))
}

cases! {
    /// Guards against a wiped founder that is never added again because it
    /// knows only the founders, none of which leads.
    wiped_founder_rejoins_under_another_leader(5, 5) |mut sim| {
        run_until_voters(&mut sim, 5);
        elect_non_founder(&mut sim);
        sim.crash(0);
        sim.wipe(0);
        sim.start(0);
        assert!(sim.run_until(6_000, |sim| has_caught_up(sim, 0)));
    };

    /// The same for an instance that starts for the first time.
    new_instance_joins_under_another_leader(6, 5) |mut sim| {
        sim.crash(5);
        run_until_voters(&mut sim, 5);
        elect_non_founder(&mut sim);
        sim.start(5);
        assert!(sim.run_until(6_000, |sim| has_caught_up(sim, 5)));
    };
}

/// Guards against a first start that never ends: a founder ended before the log was
/// bootstrapped, and was started again like after any other end.
#[test]
fn founders_that_ended_early_take_part_in_the_bootstrap() {
    for seed in 0..10 {
        let mut sim = Sim::open(3, FOUNDERS, seed);
        (1..3).for_each(|n| sim.crash(n));
        sim.run(1_000);
        assert_eq!(sim.current_leader(), None);
        sim.founding = false;
        (1..3).for_each(|n| sim.start(n));
        run_until_voters(&mut sim, 3);
    }
}

/// Guards against the bootstrap of a second log: an empty disk after the first
/// start means that data was lost, and its instance must not bootstrap a log.
#[test]
fn empty_disks_do_not_bootstrap_a_log_after_the_first_start() {
    for seed in 0..5 {
        let mut sim = Sim::open(3, FOUNDERS, seed);
        (0..3).for_each(|n| sim.crash(n));
        (0..3).for_each(|n| sim.wipe(n));
        sim.founding = false;
        (0..3).for_each(|n| sim.start(n));
        sim.run(10_000);
        assert_eq!(sim.current_leader(), None);
    }
}
