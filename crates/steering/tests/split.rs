//! Guards against a move that shifts more requests than its share.

use pomelovale_state::Name;
use pomelovale_steering::split::Split;
use quickcheck::quickcheck;

/// Handles requests of one service, each with the current share, whether it
/// spills if it is not moved, and whether it is refunded if it is. Returns
/// whether the number of requests moved never exceeds the sum of the shares by
/// more than one.
fn stays_within(requests: &[(u16, bool, bool)]) -> bool {
    let service = Name::from("catalogue");
    let mut split = Split::new();
    let (mut moved, mut weight) = (0u64, 0u64);
    requests.iter().all(|&(share, spill, refunded)| {
        let share = share % 1_001;
        weight += u64::from(share);
        match split.try_move(&service, share) {
            true if refunded => split.refund(&service),
            true => moved += 1,
            false if spill && split.try_spill(&service) => moved += 1,
            false => {}
        }
        moved * 1_000 <= weight + 1_000
    })
}

quickcheck! {
    fn any_prefix_within_one_request(requests: Vec<(u16, bool, bool)>) -> bool {
        stays_within(&requests)
    }

    fn any_window_within_one_request(share: u16, before: u8, length: u8) -> bool {
        let (service, share) = (Name::from("depot"), share % 1_001);
        let mut split = Split::new();
        (0..before).for_each(|_| { split.try_move(&service, share); });
        let moved = (0..length).filter(|_| split.try_move(&service, share)).count() as u64;
        let weight = u64::from(share) * u64::from(length);
        moved * 1_000 <= weight + 1_000 && weight <= moved * 1_000 + 1_000
    }

    fn services_are_independent(share: u16, count: u8) -> bool {
        let (a, b, share) = (Name::from("a"), Name::from("b"), share % 1_001);
        let (mut alone, mut both) = (Split::new(), Split::new());
        (0..count).all(|_| {
            both.try_move(&b, 500);
            alone.try_move(&a, share) == both.try_move(&a, share)
        })
    }
}

macro_rules! exact {
    ($($name:ident: $share:literal of $count:literal moves $moved:literal;)*) => {$(
        #[test]
        fn $name() {
            let (service, mut split) = (Name::from("catalogue"), Split::new());
            let moved = (0..$count).filter(|_| split.try_move(&service, $share)).count();
            assert_eq!(moved, $moved);
        }
    )*};
}

exact! {
    nothing_at_zero: 0 of 1_000 moves 0;
    one_in_a_thousand: 1 of 1_000 moves 1;
    a_third: 333 of 1_000 moves 333;
    everything: 1_000 of 1_000 moves 1_000;
}

/// Guards against leftover credit of an earlier share that moves requests at a
/// share of zero.
#[test]
fn nothing_moves_after_a_reverse_to_zero() {
    let (service, mut split) = (Name::from("catalogue"), Split::new());
    (0..7).for_each(|_| {
        split.try_move(&service, 999);
        split.refund(&service);
    });
    assert!((0..100).all(|_| !split.try_move(&service, 0)));
}
