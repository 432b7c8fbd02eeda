//! Reads of the external list of servers, and what is known from them.

use pomelovale_coordination::server_list::{KnownList, ReadSchedule, Reader};
use pomelovale_state::{Millis, Name};

const START: Millis = Millis(100_000);
const INTERVAL_MS: u64 = 1_000;

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

/// When an instance reads after it has begun its own reads at `own` and heard of one at
/// `known`, in milliseconds after its start.
fn due(reader: Reader, own: &[u64], known: Option<u64>) -> u64 {
    let mut schedule = ReadSchedule::new(START);
    for at in own {
        schedule.begin(START.plus(*at));
        schedule.end(true);
    }
    let known = known.map(|at| START.plus(at));
    schedule.due(reader, known, INTERVAL_MS).since(START)
}

const FIRST: Reader = Reader::Standby { rank: 0 };
const FIFTH: Reader = Reader::Standby { rank: 4 };

macro_rules! schedules {
    ($($(#[$doc:meta])* $name:ident: $reader:expr, $own:expr, $known:expr => $due:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(due($reader, &$own, $known), $due);
        }
    )*};
}

schedules! {
    /// Guards against a new leader that waits before its first read.
    new_leader_reads_at_once: Reader::Leader, [], None => 0;
    /// Guards against an interval that begins at the end of a read, or of a commit.
    leader_reads_at_a_fixed_interval: Reader::Leader, [0, 1_000], Some(1_000) => 2_000;
    /// Guards against a leader that waits since others read.
    leader_reads_beside_a_standby: Reader::Leader, [0], Some(900) => 1_000;
    /// Guards against each instance reading the list while one does.
    standby_waits_for_the_reads_of_others: FIRST, [], Some(5_000) => 6_600;
    standbys_take_over_in_turn: FIFTH, [], Some(5_000) => 7_600;
    standby_reads_though_it_has_heard_of_no_read: FIRST, [], None => 1_600;
    /// Guards against reads of a standby that are further apart than those of a leader.
    reading_standby_keeps_the_interval: FIFTH, [7_000], Some(7_000) => 8_000;
    /// Guards against two readers for good.
    standby_stops_when_another_reads: FIRST, [7_000], Some(7_500) => 9_100;
}

/// Guards against all instances reading the list at once when they are back in touch.
#[test]
fn standby_that_is_back_waits_for_the_reads_of_others() {
    let back = START.plus(60_000);
    let schedule = ReadSchedule::new(back);
    let due = schedule.due(FIRST, Some(START), INTERVAL_MS);
    assert_eq!(due.since(back), 1_600);
}

/// Guards against instances that are cut off and use up the rate that the list accepts.
#[test]
fn only_instances_in_touch_read() {
    assert_eq!(Reader::of(false, 5_000, 0), Some(FIRST));
    assert_eq!(Reader::of(false, 5_001, 0), None);
    assert_eq!(Reader::of(false, u64::MAX, 0), None);
    assert_eq!(Reader::of(true, u64::MAX, 4), Some(Reader::Leader));
}

/// Guards against a list out of reach that each standby reads all the time.
#[test]
fn standby_reads_less_often_while_it_fails() {
    let mut schedule = ReadSchedule::new(START);
    let pauses = [2_000, 4_000, 4_000].map(|pause| {
        let now = START.plus(60_000);
        schedule.begin(now);
        schedule.end(false);
        schedule.due(FIRST, None, INTERVAL_MS).since(now) == pause
    });
    assert_eq!(pauses, [true; 3]);
}

/// Guards against a server whose leaving is told to nobody, or again with each read.
#[test]
fn each_leaving_server_is_new_once() {
    let mut list = KnownList::default();
    assert!(list.record(START, None, &names(&["a", "b"])));
    let told = list.last_number();
    assert!(!list.record(START.plus(1_000), Some(START), &names(&["a"])));
    assert!(list.noticed_after(told).is_empty());
    assert!(list.record(START.plus(2_000), None, &names(&["b", "c"])));
    assert_eq!(list.noticed_after(told), names(&["c"]));
    assert_eq!(list.noticed_after(0), names(&["a", "b", "c"]));
}

/// Guards against a name that is kept for good after its server has ended.
#[test]
fn servers_that_are_no_longer_listed_are_forgotten() {
    let mut list = KnownList::default();
    list.record(START, None, &names(&["a", "b"]));
    list.record(START.plus(9_000), None, &names(&["b"]));
    list.record(START.plus(11_000), None, &[]);
    assert_eq!(list.noticed_after(0), names(&["b"]));
    assert!(list.record(START.plus(12_000), None, &names(&["a"])));
}

/// Guards against the age of a list of which only a part was read, and against an earlier
/// read that is heard of late.
#[test]
fn only_complete_reads_count_for_the_age() {
    let mut list = KnownList::default();
    list.record(START, None, &names(&["a"]));
    assert_eq!(list.age_ms(START), None);
    list.record(START.plus(500), Some(START.plus(400)), &[]);
    list.record(START.plus(600), Some(START), &[]);
    list.record(START.plus(700), None, &[]);
    assert_eq!(list.age_ms(START.plus(1_000)), Some(600));
}
