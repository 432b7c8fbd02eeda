//! The limit of a backend server, as one instance applies it.

use pomelovale_state::Millis;
use pomelovale_steering::server_limit::{LimitNotice, LimitShare, ServerLimit};
use quickcheck::{quickcheck, TestResult};

const WHOLE: LimitShare = LimitShare {
    current: 1.0,
    isolated: 0.25,
};

/// A limit of 4 requests a second that was named at 0 ms.
fn limited() -> ServerLimit {
    let mut limit = ServerLimit::default();
    limit.set_share(Millis(0), WHOLE);
    limit.record_notice(Millis(0), Millis(0), LimitNotice::Limited(4_000));
    limit.set_recorded(Millis(0), Some(4_000));
    limit
}

/// Ends the limit by answers that name none, the last one at `at`.
fn end(limit: &mut ServerLimit, at: u64) -> bool {
    let ended = [200, 100, 0].map(|before| {
        let answered = Millis(at - before);
        limit.record_notice(answered, answered.minus(100), LimitNotice::Unlimited)
    });
    ended == [false, false, true]
}

/// Sends whenever that is allowed, at each millisecond of a period.
fn sends(limit: &mut ServerLimit, from: u64, to: u64) -> usize {
    let send = |at: &u64| {
        let may = limit.may_send(Millis(*at));
        if may {
            limit.record_send(Millis(*at));
        }
        may
    };
    (from..to).filter(send).count()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident $run:block)*) => {
        $($(#[$doc])* #[test] fn $name() $run)*
    };
}

cases! {
    /// Guards against a limit that ends by the late answer of a request from before it.
    late_answer_without_a_limit_does_not_end_it {
        let mut limit = limited();
        assert!(!limit.record_notice(Millis(600), Millis(100), LimitNotice::Unlimited));
        assert_eq!(limit.rate(Millis(600)), Some(4_000));
        assert!(end(&mut limit, 2_800));
        assert_eq!(limit.rate(Millis(2_800)), None);
    }

    /// Guards against a limit that ends by answers to long requests from before its start.
    answers_to_requests_from_before_a_limit_do_not_end_it {
        let mut limit = ServerLimit::default();
        limit.record_notice(Millis(400), Millis(350), LimitNotice::Limited(4_000));
        for n in 0..8 {
            let sent = Millis(40 * n);
            assert!(!limit.record_notice(Millis(3_000 + n), sent, LimitNotice::Unlimited));
        }
    }

    /// Guards against a limit that ends by each answer that doesn't name it.
    limit_that_some_answers_name_is_kept {
        let mut limit = limited();
        for n in 1..40 {
            let at = Millis(n * 250);
            let notice = match n % 8 {
                0 => LimitNotice::Limited(4_000),
                _ => LimitNotice::Unlimited,
            };
            limit.record_notice(at, at, notice);
            assert_eq!(limit.rate(at), Some(4_000), "{at:?}");
        }
    }

    /// Guards against a limit below one request in `HOLD_MS` that ends by each answer that
    /// doesn't name it.
    low_limit_that_some_answers_name_is_kept {
        let mut limit = ServerLimit::default();
        limit.set_share(Millis(0), WHOLE);
        limit.record_notice(Millis(0), Millis(0), LimitNotice::Limited(300));
        limit.set_recorded(Millis(0), Some(300));
        let mut sent: Vec<u64> = Vec::new();
        for at in 1..60_000 {
            if !limit.may_send(Millis(at)) {
                continue;
            }
            limit.record_send(Millis(at));
            sent.push(at);
            let notice = match sent.len() % 3 {
                0 => LimitNotice::Limited(300),
                _ => LimitNotice::Unlimited,
            };
            limit.record_notice(Millis(at), Millis(at), notice);
            assert_eq!(limit.rate(Millis(at)), Some(300), "{at} ms");
        }
        // 0.3 a second in 4 s, exceeded by half, and five more.
        let count = |from: u64| sent.iter().filter(|at| (from..from + 4_000).contains(*at)).count();
        assert!(sent.iter().all(|from| count(*from) <= 6), "{sent:?}");
    }

    /// Guards against the end of a low limit that is noticed only after several of its rare
    /// requests.
    end_of_a_low_limit_is_confirmed_at_once {
        let mut limit = ServerLimit::default();
        limit.set_share(Millis(0), WHOLE);
        limit.record_notice(Millis(0), Millis(0), LimitNotice::Limited(300));
        limit.set_recorded(Millis(0), Some(300));
        let first = (1..10_000).find(|at| limit.may_send(Millis(*at))).unwrap();
        for answer in 0..3 {
            let at = Millis(first + answer * 50);
            assert!(limit.may_send(at));
            limit.record_send(at);
            limit.record_notice(at, at, LimitNotice::Unlimited);
        }
        assert_eq!(limit.rate(Millis(first + 100)), None);
    }

    /// Guards against a limit that starts again by the late answer of a request from before
    /// its end.
    late_answer_with_a_limit_does_not_start_it_again {
        let mut limit = limited();
        assert!(end(&mut limit, 2_900));
        assert!(!limit.record_notice(Millis(2_950), Millis(2_600), LimitNotice::Limited(4_000)));
        assert_eq!(limit.rate(Millis(2_950)), None);
    }

    /// Guards against a burst at the start of a limit.
    limit_starts_without_tokens {
        let mut limit = limited();
        assert_eq!(sends(&mut limit, 0, 250), 0);
        assert_eq!(sends(&mut limit, 250, 4_250), 16);
    }

    /// Guards against a burst when an instance takes over from another one.
    share_that_is_taken_over_starts_without_tokens {
        let mut limit = limited();
        limit.set_share(Millis(100), LimitShare::default());
        assert_eq!(sends(&mut limit, 100, 3_000), 0);
        limit.set_share(Millis(3_000), WHOLE);
        assert_eq!(sends(&mut limit, 3_000, 3_250), 0);
    }

    /// Guards against an instance without a current view that uses a whole limit which
    /// another one may have taken over.
    isolated_instance_uses_an_equal_part {
        let mut limit = limited();
        limit.set_recorded(Millis(0), Some(4_000));
        limit.set_view(Millis(0), Millis(0), true);
        assert_eq!(sends(&mut limit, 0, 8_000), 7);
    }

    /// Guards against an isolated instance that forgets a limit which its document lacks.
    isolated_instance_keeps_the_limit_that_it_was_named {
        let mut limit = limited();
        limit.set_recorded(Millis(0), None);
        limit.set_view(Millis(100), Millis(0), true);
        assert_eq!(limit.rate(Millis(60_000)), Some(4_000));
    }

    /// Guards against an instance that sends nothing to a server and keeps its limit.
    end_in_the_document_counts_without_recent_answers {
        let mut limit = limited();
        limit.set_recorded(Millis(100), Some(4_000));
        limit.set_recorded(Millis(5_000), None);
        limit.set_view(Millis(5_000), Millis(5_000), false);
        assert!(limit.may_send(Millis(5_000)));
    }

    /// Guards against an instance that forgets a limit as time passes, with a document from
    /// before that limit.
    limit_is_kept_until_a_later_document_shows_its_end {
        let mut limit = ServerLimit::default();
        limit.set_share(Millis(0), WHOLE);
        limit.record_notice(Millis(1_000), Millis(950), LimitNotice::Limited(4_000));
        limit.set_view(Millis(4_900), Millis(1_000), false);
        assert_eq!(limit.rate(Millis(4_900)), Some(4_000));
        limit.set_view(Millis(5_000), Millis(4_900), false);
        assert_eq!(limit.rate(Millis(5_000)), None);
    }

    /// Guards against a server that names zero and is never sent a request again.
    limit_of_zero_is_tried_now_and_then {
        let mut limit = ServerLimit::default();
        limit.set_share(Millis(0), WHOLE);
        limit.record_notice(Millis(0), Millis(0), LimitNotice::Limited(0));
        limit.set_recorded(Millis(0), Some(0));
        assert_eq!(sends(&mut limit, 0, 9_000), 2);
    }

    /// Guards against shares that add up to more than the limit.
    shares_of_the_users_add_up {
        let all = [("a", true), ("b", true), ("c", false)];
        let shares = all.map(|(name, _)| LimitShare::of(&name, &all));
        assert_eq!(shares.map(|s| s.current), [0.5, 0.5, 0.0]);
        assert!(shares.iter().map(|s| s.isolated).sum::<f64>() <= 1.0);
    }
}

quickcheck! {
    /// Guards against a limit that changes and lets through more than the highest one.
    fn changing_limit_is_kept(rates: Vec<u16>) -> TestResult {
        let Some(most) = rates.iter().max().copied() else {
            return TestResult::discard();
        };
        let mut limit = ServerLimit::default();
        limit.set_share(Millis(0), WHOLE);
        let mut sent = 0;
        for (n, rate) in rates.iter().enumerate() {
            let at = n as u64 * 200;
            limit.record_notice(Millis(at), Millis(at), LimitNotice::Limited(u64::from(*rate)));
            sent += sends(&mut limit, at, at + 200);
        }
        let seconds = rates.len() as f64 * 0.2;
        let rate = f64::from(most.max(250)) / 1_000.0;
        TestResult::from_bool(sent as f64 <= rate * (seconds + 0.5) + 1.0)
    }
}
