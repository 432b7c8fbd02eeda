//! What answers of backend servers say about sending them requests.

use std::time::{Duration, SystemTime};

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use pomelovale_protocol::header_names::HeaderNames;

/// 21 October 2015, 07:28:00 UTC.
const NOW_S: u64 = 1_445_412_480;

fn headers(lines: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        headers.append(name, HeaderValue::from_str(value).unwrap());
    }
    headers
}

macro_rules! rests {
    ($($(#[$doc:meta])* $name:ident: $values:expr, $dates:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let values: &[&str] = &$values;
            let dates: &[&str] = &$dates;
            let values = values.iter().map(|v| ("retry-after", *v));
            let lines: Vec<_> = values.chain(dates.iter().map(|v| ("date", *v))).collect();
            let now = SystemTime::UNIX_EPOCH + Duration::from_secs(NOW_S);
            let mut answer = Response::new(());
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            *answer.headers_mut() = headers(&lines);
            let (mut parts, ()) = answer.into_parts();
            assert_eq!(HeaderNames::rest_ms(&parts, now), $expected);
            parts.status = StatusCode::OK;
            assert_eq!(HeaderNames::rest_ms(&parts, now), None);
        })*
    };
}

rests! {
    no_value: [], [] => None;
    whole_seconds: ["3"], [] => Some(3_000);
    fraction_of_a_second: ["0.25"], [] => Some(250);
    surrounding_space: [" 2 "], [] => Some(2_000);
    zero: ["0"], [] => None;
    below_zero: ["-2"], [] => None;
    words: ["soon"], [] => None;
    empty: [""], [] => None;
    infinite: ["inf"], [] => None;
    no_number: ["NaN"], [] => None;
    exponent: ["1e9"], [] => None;
    two_points: ["1.2.3"], [] => None;
    /// Guards against a number whose conversion wraps around.
    huge: ["99999999999999999999999999"], [] => Some(u64::MAX);
    longest_of_several: ["1", "4", "2"], [] => Some(4_000);
    valid_one_of_several: ["soon", "-1", "2"], [] => Some(2_000);
    date: ["Wed, 21 Oct 2015 07:28:05 GMT"], [] => Some(5_000);
    /// Guards against a date that is taken by the clock of this machine, which may differ.
    date_by_the_clock_of_the_server: ["Wed, 21 Oct 2015 07:28:05 GMT"], ["Wed, 21 Oct 2015 07:28:03 GMT"] => Some(2_000);
    past_date: ["Wed, 21 Oct 2015 07:27:00 GMT"], [] => None;
    broken_date: ["Wed, 42 Oct 2015 07:28:05 GMT"], [] => None;
}

macro_rules! leaving {
    ($($name:ident: $values:expr => $expected:expr;)*) => {
        $(#[test] fn $name() {
            let values: &[&str] = &$values;
            let lines: Vec<_> = values.iter().map(|v| ("pomelovale-leaving", *v)).collect();
            assert_eq!(HeaderNames::default().says_leaving(&headers(&lines)), $expected);
        })*
    };
}

leaving! {
    leaving_without_a_value: [] => false;
    leaving_one: ["1"] => true;
    leaving_one_with_space: [" 1 "] => true;
    leaving_zero: ["0"] => false;
    leaving_word: ["yes"] => false;
    leaving_one_of_several: ["0", "1"] => true;
}

/// Guards against a load that is lost because its fourth field is missing or wrong.
#[test]
fn load_has_an_optional_pace() {
    let names = HeaderNames::default();
    let load = |value: &str| names.load(&headers(&[("pomelovale-load", value)]));
    let paced = |value: &str| load(value).map(|l| ([l.running, l.waiting, l.slots], l.pace));
    assert_eq!(paced("3, 1, 6"), Some(([3, 1, 6], None)));
    assert_eq!(paced("3,1,6,250"), Some(([3, 1, 6], Some(250))));
    assert_eq!(paced("3,1,6,slow"), Some(([3, 1, 6], None)));
    assert_eq!(paced("3,1,6,-4"), Some(([3, 1, 6], None)));
    assert_eq!(paced("3,1"), None);
}
