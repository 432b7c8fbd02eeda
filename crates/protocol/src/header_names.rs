//! Names of the headers that callers, instances and backend servers exchange,
//! which a deployment can replace by its own.

use std::time::SystemTime;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{response, StatusCode};

use pomelovale_steering::placement::LoadReport;
use pomelovale_steering::server_limit::{LimitNotice, LIMIT_MAX};

use crate::http::{DEADLINE, RELAY, REQUEST, SHED};

/// Header names of one deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; echoed by backend servers.
    pub request: HeaderName,
    /// Time left for the request, in milliseconds.
    pub deadline: HeaderName,
    /// Name of the backend server that the request is meant for; any other one
    /// answers with status 421.
    pub expect: HeaderName,
    /// Workspace of the request; set by the system only.
    pub workspace: HeaderName,
    /// Proof that an answer comes from a backend server.
    pub proof: HeaderName,
    /// States that a backend server did not run the request.
    pub refused: HeaderName,
    /// Load of a backend server: running and waiting requests, its slots, and its pace in
    /// percent of the usual time if it knows it.
    pub load: HeaderName,
    /// Requests a second that a backend server takes from all instances together.
    pub limit: HeaderName,
    /// States that a backend server leaves and wants no more requests.
    pub leaving: HeaderName,
    /// How long a backend server stays cold, in milliseconds; in answers to
    /// health probes.
    pub cold: HeaderName,
    /// Name of the backend server that answers a health probe.
    pub instance: HeaderName,
    /// Marks a request that another instance relays, and the refusal of one.
    pub relay: HeaderName,
    /// Cookie that names the object of a request.
    pub object: &'static str,
}

impl Default for HeaderNames {
    fn default() -> HeaderNames {
        HeaderNames {
            request: REQUEST,
            deadline: DEADLINE,
            expect: HeaderName::from_static("pomelovale-expect"),
            workspace: HeaderName::from_static("pomelovale-workspace"),
            proof: HeaderName::from_static("pomelovale-proof"),
            refused: SHED,
            load: HeaderName::from_static("pomelovale-load"),
            limit: HeaderName::from_static("pomelovale-limit"),
            leaving: HeaderName::from_static("pomelovale-leaving"),
            cold: HeaderName::from_static("pomelovale-cold-ms"),
            instance: HeaderName::from_static("pomelovale-backend"),
            relay: RELAY,
            object: "pomelovale-object",
        }
    }
}

// A decimal number of seconds, in milliseconds.
fn seconds(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?.trim();
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number: f64 = text.parse().ok().filter(|_| is_decimal)?;
    // The cast saturates.
    Some((number * 1_000.0) as u64)
}

impl HeaderNames {
    /// The object that a request concerns, from its cookies.
    pub fn object<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        let values = headers.get_all(http::header::COOKIE).iter();
        let mut pairs = values
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(';'));
        pairs.find_map(|pair| {
            let (name, value) = pair.trim().split_once('=')?;
            (name == self.object).then_some(value)
        })
    }

    /// The numbers in the load header. A pace that is no number is left out.
    pub fn load(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let text = headers.get(&self.load)?.to_str().ok()?;
        let mut parts = text.split(',').map(|part| part.trim().parse().ok());
        Some(LoadReport {
            running: parts.next()??,
            waiting: parts.next()??,
            slots: parts.next()??,
            pace: parts.next().flatten(),
        })
    }

    /// What an answer says about the limit of its server. A value that is not a decimal
    /// number of at least zero says nothing; of several, the lowest one counts.
    pub fn limit(&self, headers: &HeaderMap) -> LimitNotice {
        let mut values = headers.get_all(&self.limit).iter().peekable();
        if values.peek().is_none() {
            return LimitNotice::Unlimited;
        }
        let numbers = values.filter_map(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
        let valid = numbers.filter(|n| n.is_finite() && *n >= 0.0);
        let lowest = valid.min_by(f64::total_cmp);
        // The cast saturates.
        match lowest.map(|n| (n * 1_000.0) as u64) {
            None => LimitNotice::Unknown,
            Some(rate) if rate > LIMIT_MAX => LimitNotice::Unlimited,
            Some(rate) => LimitNotice::Limited(rate),
        }
    }

    /// Whether an answer says that its server leaves.
    pub fn says_leaving(&self, headers: &HeaderMap) -> bool {
        let mut values = headers.get_all(&self.leaving).iter();
        values.any(|v| v.as_bytes().trim_ascii() == b"1")
    }

    /// The time for which a server wants no requests, from `Retry-After` of an answer with
    /// status 503, in milliseconds. Seconds may have fractions; a date counts from the `Date` of the answer, or
    /// from `now`. Values that are no such time say nothing; of several, the longest one counts.
    pub fn rest_ms(parts: &response::Parts, now: SystemTime) -> Option<u64> {
        if parts.status != StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        let headers = &parts.headers;
        let date = |value: &HeaderValue| httpdate::parse_http_date(value.to_str().ok()?).ok();
        let sent = headers.get(http::header::DATE).and_then(date);
        let until = |value: &HeaderValue| {
            let left = date(value)?.duration_since(sent.unwrap_or(now)).ok()?;
            u64::try_from(left.as_millis()).ok()
        };
        let values = headers.get_all(http::header::RETRY_AFTER).iter();
        let times = values.filter_map(|value| seconds(value).or_else(|| until(value)));
        times.max().filter(|ms| *ms > 0)
    }

    /// The value of a header that holds an unsigned integer.
    pub fn parse_integer(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
        let text = headers.get(name)?.to_str().ok()?;
        text.trim().parse().ok()
    }

    /// The token of an `Authorization` header with the `Bearer` scheme.
    pub fn bearer(headers: &HeaderMap) -> Option<&str> {
        let value: &HeaderValue = headers.get(http::header::AUTHORIZATION)?;
        let (scheme, token) = value.to_str().ok()?.trim().split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
    }
}
