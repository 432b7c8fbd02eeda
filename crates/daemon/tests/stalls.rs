//! For how long something may have waited before it was read.

use pomelovale_state::Clock;
use pomelovaled::stalls::Stalls;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $steps:expr => $unread:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let clock = Clock::manual();
            let stalls = Stalls::new(clock.clone());
            let steps: &[u64] = &$steps;
            for ms in steps {
                stalls.observe();
                clock.advance(*ms);
            }
            assert_eq!(stalls.unread_ms(), $unread);
        })*
    };
}

cases! {
    running: [20, 100, 400] => 0;
    /// The request is read before the task that observes runs again.
    read_first_after_a_stall: [20, 4_000] => 4_000;
    read_soon_after_a_stall: [20, 4_000, 300] => 4_300;
    read_later_after_a_stall: [20, 4_000, 400, 400, 200] => 0;
    second_stall: [4_000, 400, 400, 400, 700] => 700;
}

#[test]
fn stalls_since_a_time_are_known() {
    let clock = Clock::manual();
    let stalls = Stalls::new(clock.clone());
    clock.advance(600);
    assert!(stalls.any_since(clock.now()));
    clock.advance(100);
    assert!(!stalls.any_since(clock.now()));
}
