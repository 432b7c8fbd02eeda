//! Test cases with a single failure each.

use pomelovale_coordination::log::{Action, Event, Replica, Role};
use pomelovale_protocol::log::{Entry, Epoch, LogIndex, LogMessage, Position, Refused};
use pomelovale_state::Millis;

use crate::sim::{write, Sim};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($size:expr, $seeds:expr) $case:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let case: fn(Sim) = $case;
            (0..$seeds).for_each(|seed| case(Sim::with_leader($size, seed)));
        })*
    };
}

cases! {
    /// Guards against a group that elects no leader or loses proposals although
    /// nothing fails.
    accepts_proposals(3, 10) |mut sim| {
        (0..20).for_each(|_| sim.propose());
        sim.run(500);
        assert_eq!(sim.accepted.len(), 20);
        assert!(sim.is_fully_replicated());
        assert!((0..3).all(|node| sim.staleness_ms(node) < 300));
    };

    /// Guards against one sync per proposal.
    proposals_share_a_sync(3, 1) |mut sim| {
        sim.sync_ms = (10, 10);
        let before = sim.writes;
        (0..100).for_each(|_| sim.propose());
        sim.run(200);
        assert_eq!(sim.accepted.len(), 100);
        assert!(sim.writes - before <= 12, "{} writes", sim.writes - before);
    };

    /// Guards against a leader that fills its memory with large proposals which can't be
    /// committed.
    uncommitted_proposals_are_bounded_in_bytes(3, 1) |mut sim| {
        let leader = sim.current_leader().expect("there is a leader");
        sim.partition(|node| usize::from(node == leader));
        for token in 0..100 {
            let payload = vec![0; 256 * 1024].into();
            sim.step(leader, Event::Propose { token, payload });
        }
        let status = sim.status(leader).expect("the leader runs");
        assert_eq!(status.last.0 - status.commit.0, 33);
    };

    /// Guards against acceptance before a majority has synced.
    accepts_after_sync(3, 5) |mut sim| {
        let leader = sim.current_leader().unwrap_or(0);
        for (slow, accepted) in [([300, 300, 300], 0), ([0, 300, 300], 0), ([300, 0, 300], 0), ([300, 0, 0], 1)] {
            let before = sim.accepted.len();
            (0..3).for_each(|n| sim.extra_sync_ms[(leader + n) % 3] = slow[n]);
            sim.propose();
            sim.run(200);
            assert_eq!(sim.accepted.len() - before, accepted, "{slow:?}");
            sim.run(500);
            assert_eq!(sim.accepted.len() - before, 1, "{slow:?}");
        }
    };

    /// Guards against a second vote in one epoch after a restart.
    vote_survives_restart(3, 5) |mut sim| {
        let epoch = Epoch(1_000);
        let last = Position { epoch, index: LogIndex(1_000) };
        let message = LogMessage::Vote { epoch, last, transfer: true };
        let mut replica = sim.new_replica(0);
        let vote = Event::Receive { from: sim.id(1), message: message.clone() };
        let actions = replica.step(Millis(0), vote);
        let persist = actions.into_iter().find_map(|action| match action {
            Action::Send { .. } => panic!("answered before the vote is synced"),
            Action::Persist(persist) => Some(persist),
            _ => None,
        });
        let persist = persist.expect("the vote is written");
        write(&mut sim.nodes[0].disk, &persist);
        let granted = |action: &Action| {
            let vote = LogMessage::VoteReply { epoch, granted: true };
            matches!(action, Action::Send { message, .. } if *message == vote)
        };
        assert!(replica.step(Millis(0), persist.done()).iter().any(granted));
        let mut replica = sim.new_replica(0);
        let vote = Event::Receive { from: sim.id(2), message };
        assert!(!replica.step(Millis(0), vote).iter().any(granted));
    };

    /// Guards against entries stored at a wrong index after an `Append` that
    /// leaves a gap.
    append_with_gap_is_ignored(3, 5) |mut sim| {
        let leader = sim.current_leader().unwrap_or(0);
        let node = (leader + 1) % 3;
        let before = sim.status(node).expect("the replica runs");
        let last = sim.history.last().expect("the history has an entry").clone();
        let gap = Entry { index: LogIndex(last.index.0 + 2), ..last.clone() };
        let message = LogMessage::Append {
            age_ms: None,
            commit: gap.index,
            echo: 0,
            epoch: before.epoch,
            entries: vec![gap],
            previous: last.position(),
            round: 1,
        };
        sim.step(node, Event::Receive { from: sim.id(leader), message });
        assert_eq!(sim.status(node).map(|s| (s.last, s.commit)), Some((before.last, before.commit)));
        sim.recover();
    };

    /// Guards against entries lost when all replicas restart.
    entries_survive_restarts(3, 10) |mut sim| {
        for _ in 0..5 {
            (0..5).for_each(|_| sim.propose());
            sim.run(100);
            (0..3).for_each(|node| sim.crash(node));
            (0..3).for_each(|node| sim.start(node));
            sim.run(3_000);
        }
        assert_eq!(sim.accepted.len(), 25);
        sim.recover();
    };

    /// Guards against a partitioned leader that continues to lead, to count as
    /// current or to accept proposals, or that deposes the new leader when it
    /// returns.
    isolated_leader_for_an_hour(3, 1) |sim| check_isolation(sim, 3_600_000, true);
    isolated_leader_of_five(5, 5) |sim| check_isolation(sim, 30_000, true);

    /// The same for a follower, whose epoch would rise without pre-vote.
    isolated_follower_for_an_hour(3, 1) |sim| check_isolation(sim, 3_600_000, false);
    isolated_follower_of_five(5, 5) |sim| check_isolation(sim, 30_000, false);

    /// Guards against a planned stop that never completes because no replica
    /// can take over.
    resigns_alone(1, 3) |mut sim| {
        sim.step(0, Event::Resign);
        assert!(sim.status(0).is_some_and(|s| s.role != Role::Leader));
    };
    resigns_to_a_dead_replica(3, 10) |mut sim| {
        let old = sim.current_leader().unwrap_or(0);
        (0..3).filter(|n| *n != old).for_each(|n| sim.crash(n));
        sim.step(old, Event::Resign);
        sim.run(100);
        sim.start((old + 1) % 3);
        let follows = |sim: &Sim| sim.status(old).is_some_and(|s| s.role != Role::Leader);
        assert!(sim.run_until(1_300, follows));
    };

    /// Guards against a leader that receives no messages, but whose heartbeats
    /// keep the others from electing a new one.
    leader_without_inbound_messages_steps_down(3, 10) |mut sim| {
        let old = sim.current_leader();
        sim.inbound_blocked = old;
        assert!(sim.run_until(4_000, |sim| sim.current_leader().is_some_and(|new| Some(new) != old)));
        sim.propose();
        sim.run(100);
        assert_eq!(sim.accepted.len(), 1);
    };

    /// Guards against a replica that never catches up, by log or by snapshot.
    catches_up_by_log(3, 5) |sim| check_catch_up(sim, 40, false);
    catches_up_by_snapshot(3, 5) |sim| check_catch_up(sim, 600, true);

    /// Guards against data lost when further disks fail right after a repair,
    /// although entries had only as many copies as a quorum requires.
    second_loss_after_repair_of_three(3, 20) |sim| check_second_loss(sim);
    second_loss_after_repair_of_five(5, 20) |sim| check_second_loss(sim);

    /// Guards against a planned stop that costs an election timeout: the
    /// successor has to start its election at once.
    resigns(3, 20) |mut sim| {
        let old = sim.current_leader();
        sim.propose();
        old.into_iter().for_each(|node| sim.step(node, Event::Resign));
        let changed = |sim: &Sim| sim.current_leader().is_some_and(|new| Some(new) != old);
        assert!(sim.run_until(100, changed));
        assert_eq!(sim.leaders.len(), 2);
    };
}

fn check_isolation(mut sim: Sim, ms: u64, leader: bool) {
    let old = sim.current_leader().unwrap_or(0);
    let node = if leader { old } else { (old + 1) % 3 };
    sim.partition(|other| usize::from(other == node));
    sim.propose();
    sim.run(2_000);
    let status = sim.status(node).expect("the replica runs");
    assert!(status.role != Role::Leader, "leads without a quorum");
    sim.run(ms - 2_000);
    assert!(sim.staleness_ms(node) >= ms - 500);
    let others = sim.current_leader();
    assert!(others.is_some() && others != Some(node));
    assert!(others.is_some_and(|other| sim.staleness_ms(other) < 300));
    let leaders = sim.leaders.len();
    sim.partition(|_| 0);
    sim.run(5_000);
    assert_eq!((sim.current_leader(), sim.leaders.len()), (others, leaders));
    assert!(sim.is_fully_replicated() && sim.staleness_ms(node) < 300);
}

fn check_catch_up(mut sim: Sim, entries: usize, snapshot: bool) {
    let leader = sim.current_leader().unwrap_or(0);
    let node = (leader + 1) % 3;
    sim.crash(node);
    for _ in 0..entries / 20 {
        (0..20).for_each(|_| sim.propose());
        sim.run(50);
    }
    sim.run(100);
    sim.compact(leader);
    sim.start(node);
    sim.run(1_000);
    assert!(sim.is_fully_replicated());
    assert_eq!(sim.accepted.len(), entries);
    assert_eq!(sim.nodes[node].disk.snapshot.index.0 > 0, snapshot);
}

/// Accepts entries on the smallest quorum, wipes as many of its disks as the
/// group tolerates, and as many again each time the group is repaired.
fn check_second_loss(mut sim: Sim) {
    let size = sim.nodes.len();
    let leader = sim.current_leader().unwrap_or(0);
    let other = |n: usize| (leader + n) % size;
    let half = size / 2;
    (half + 1..size).for_each(|n| sim.crash(other(n)));
    (0..10).for_each(|_| sim.propose());
    sim.run(100);
    assert_eq!(sim.accepted.len(), 10);
    let lose = |sim: &mut Sim, nodes: std::ops::Range<usize>| {
        nodes.map(other).for_each(|node| {
            assert!(sim.tolerates_wipe(node));
            sim.crash(node);
            sim.wipe(node);
        });
        (0..size).for_each(|node| sim.start(node));
        assert!(sim.run_until(30_000, Sim::is_repaired), "not repaired");
    };
    lose(&mut sim, 1..half + 1);
    lose(&mut sim, 0..half);
    lose(&mut sim, half..2 * half);
    sim.recover();
    assert_eq!(sim.accepted.len(), 11);
}

/// Guards against more than 2 s without a leader after a crash, with a latency
/// of 55 ms on every link.
#[test]
fn failover_takes_at_most_two_seconds() {
    for size in [3, 5] {
        let mut times: Vec<u64> = (0..300).map(|seed| failover_ms(size, seed)).collect();
        times.sort_unstable();
        let at = |percent: usize| times[(times.len() - 1) * percent / 100];
        println!(
            "{size} replicas: median {} ms, p90 {} ms, p99 {} ms, longest {} ms",
            at(50),
            at(90),
            at(99),
            at(100)
        );
        assert!(at(100) <= 2_000);
    }
}

/// Returns the time from the crash of the leader until a new leader counts as
/// current, in milliseconds.
fn failover_ms(size: usize, seed: u64) -> u64 {
    let mut sim = Sim::new(size, seed);
    sim.delay_ms = (55, 58);
    sim.sync_ms = (1, 10);
    assert!(sim.run_until(20_000, |sim| sim.current_leader().is_some()));
    sim.run(2_000 + seed % 100);
    sim.current_leader()
        .into_iter()
        .for_each(|node| sim.crash(node));
    let start = sim.now;
    assert!(sim.run_until(20_000, |sim| sim.current_leader().is_some()));
    sim.now - start
}

/// Guards against the commit of an entry of an earlier epoch merely because a
/// quorum holds it: a replica with a later entry could still overwrite it.
#[test]
fn commits_only_with_own_epoch() {
    let mut sim = Sim::with_leader(5, 1);
    let (mut replica, now) = restart_and_elect(&mut sim);
    let old = replica.status().last.previous();
    assert_eq!(replica.status().commit, LogIndex(0));
    let mut matched = |index| {
        (1..5).for_each(|node| {
            drop(replica.step(now, append_reply(&sim, node, &replica, index, None)))
        });
        replica.status().commit
    };
    assert_eq!(matched(old), LogIndex(0));
    assert_eq!(matched(old.next()), old.next());
}

/// Guards against a leader that waits forever for the reply to a snapshot. The
/// replica has the snapshot, but the leader only receives its replies to
/// messages sent before.
#[test]
fn snapshot_reply_may_be_lost() {
    let mut sim = Sim::with_leader(3, 1);
    sim.propose();
    sim.run(100);
    sim.compact(0);
    sim.run(100);
    let (mut replica, mut now) = restart_and_elect(&mut sim);
    let base = sim.nodes[0].disk.snapshot.index;
    let last = replica.status().last;
    assert!(base > LogIndex(0) && base < last);
    let refused = |hint| {
        Some(Refused {
            hint,
            previous: last,
        })
    };
    let sends = |actions: Vec<Action>, wanted: fn(&LogMessage, LogIndex) -> bool| {
        let of = |action: &Action| matches!(action, Action::Send { message, .. } if wanted(message, base));
        actions.iter().any(of)
    };
    let actions = replica.step(
        now,
        append_reply(&sim, 1, &replica, LogIndex(0), refused(LogIndex(0))),
    );
    assert!(sends(actions, |m, _| matches!(
        m,
        LogMessage::Install { .. }
    )));
    let probes = (0..20).filter(|_| {
        now = now.plus(20);
        let mut actions = replica.step(now, Event::Tick);
        actions.extend(replica.step(now, append_reply(&sim, 1, &replica, base, refused(base))));
        sends(actions, |m, base| {
            matches!(m, LogMessage::Append { entries, previous, .. }
                if previous.index == base && !entries.is_empty())
        })
    });
    // The first of these messages is lost as well.
    assert!(probes.count() > 1);
}

/// Guards against a slow link on which heartbeats wait behind hundreds of large entries
/// that the other replica has not acknowledged.
#[test]
fn unacknowledged_entries_are_bounded_in_bytes() {
    const ENTRY_BYTES: usize = 128 * 1024;
    let mut sim = Sim::with_leader(3, 1);
    let (mut replica, now) = restart_and_elect(&mut sim);
    // The other replica has acknowledged all entries so far, and nothing later.
    let last = replica.status().last;
    let acknowledged = append_reply(&sim, 1, &replica, last, None);
    let mut actions = replica.step(now, acknowledged);
    for token in 0..30 {
        let payload = vec![0; ENTRY_BYTES].into();
        actions.extend(replica.step(now, Event::Propose { token, payload }));
    }
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send {
            to,
            message: LogMessage::Append { entries, .. },
        } if *to == sim.id(1) => Some(entries.iter().map(Entry::size).sum::<usize>()),
        _ => None,
    });
    let sent: usize = sent.sum();
    assert!(
        (1_000_000..1_500_000).contains(&sent),
        "{sent} bytes are in flight"
    );
}

/// Restarts the replica of the first instance and gets it elected.
fn restart_and_elect(sim: &mut Sim) -> (Replica, Millis) {
    let mut replica = sim.new_replica(0);
    let mut now = Millis(5_000_000);
    let mut replies = Vec::new();
    while replica.status().role != Role::Leader {
        now = now.plus(100);
        let mut actions = replica.step(now, Event::Tick);
        for (from, message) in replies.drain(..) {
            actions.extend(replica.step(now, Event::Receive { from, message }));
        }
        while let Some(action) = actions.pop() {
            match action {
                Action::Persist(persist) => actions.extend(replica.step(now, persist.done())),
                Action::Send { to, message } => replies.extend(grant(message).map(|m| (to, m))),
                _ => {}
            }
        }
    }
    (replica, now)
}

/// Builds the reply of an instance to the leader's first heartbeat round.
fn append_reply(
    sim: &Sim,
    node: usize,
    replica: &Replica,
    matched: LogIndex,
    refused: Option<Refused>,
) -> Event {
    let message = LogMessage::AppendReply {
        counter: 1,
        epoch: replica.status().epoch,
        matched,
        refused,
        round: 1,
        verified: matched,
    };
    let from = sim.id(node);
    Event::Receive { from, message }
}

/// Builds the reply of a replica that grants every pre-vote and vote.
fn grant(message: LogMessage) -> Option<LogMessage> {
    let granted = true;
    match message {
        LogMessage::PreVote { epoch, .. } => Some(LogMessage::PreVoteReply { epoch, granted }),
        LogMessage::Vote { epoch, .. } => Some(LogMessage::VoteReply { epoch, granted }),
        _ => None,
    }
}

// Guards against a group that never elects a leader because its disks are slow: a
// candidate started its next election before the votes for the previous one were
// synced, and votes do not count in a later epoch.
macro_rules! slow_disks {
    ($($name:ident($($ms:literal),*) < $bound:literal;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..20 {
                let mut sim = Sim::new(3, seed);
                sim.extra_sync_ms = vec![$($ms),*];
                let done = |sim: &Sim| sim.current_leader().is_some();
                assert!(sim.run_until($bound, done), "seed {seed}: no first leader");
                sim.run(2_000);
                let leader = sim.current_leader().expect("the leader stays");
                sim.crash(leader);
                assert!(sim.run_until($bound, done), "seed {seed}: no second leader");
                sim.propose();
                sim.run(5_000);
                assert_eq!(sim.accepted.len(), 1, "seed {seed}");
            }
        }
    )*};
}

slow_disks! {
    disks_of_300_ms_elect_a_leader(300, 300, 300) < 8_000;
    disks_of_700_ms_elect_a_leader(700, 700, 700) < 15_000;
    disks_of_1500_ms_elect_a_leader(1_500, 1_500, 1_500) < 30_000;
    one_fast_disk_elects_a_leader(0, 700, 700) < 15_000;
    one_slow_disk_delays_no_leader(700, 0, 0) < 8_000;
}
