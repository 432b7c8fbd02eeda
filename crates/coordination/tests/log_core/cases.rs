//! Single failures, one case each.

use crate::sim::Sim;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($size:expr) $case:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let case: fn(Sim) = $case;
            (0..4).for_each(|seed| case(Sim::settled($size, seed)));
        })*
    };
}

cases! {
    /// Guards against a group that elects no leader or loses proposals
    /// without any fault.
    accepts_proposals(3) |mut sim| {
        for _ in 0..20 {
            sim.propose();
        }
        sim.run(500);
        assert_eq!(sim.accepted.len(), 20);
        assert!(sim.is_whole());
        assert!(sim.current_leader().is_some_and(|leader| sim.quorum_age(leader) < 300));
    };
}
