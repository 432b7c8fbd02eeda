//! Names of the headers that callers, instances and backend servers exchange.

use http::header::{HeaderMap, HeaderName, HeaderValue};

use crate::http::{DEADLINE, REQUEST, SHED};

/// Header names of one deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; echoed by backend servers.
    pub request: HeaderName,
    /// Time left for the request, in milliseconds.
    pub deadline: HeaderName,
    /// Name of the backend server that may run the request; any other one
    /// answers 421.
    pub expect: HeaderName,
    /// Workspace that the request runs for; only the system sets it.
    pub workspace: HeaderName,
    /// Proof in an answer that a backend server made it.
    pub proof: HeaderName,
    /// States in an answer that the request was not run.
    pub refused: HeaderName,
    /// Load of a backend server: running and waiting requests, and its slots.
    pub load: HeaderName,
    /// Time that a backend server stays cold, in milliseconds; in the answers
    /// of health probes.
    pub cold: HeaderName,
    /// Name of the backend server that answers a health probe.
    pub instance: HeaderName,
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
            cold: HeaderName::from_static("pomelovale-cold-ms"),
            instance: HeaderName::from_static("pomelovale-backend"),
            object: "pomelovale-object",
        }
    }
}

impl HeaderNames {
    /// The object that a request concerns.
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

    /// Numbers of the load header: running, waiting, slots.
    pub fn load(&self, headers: &HeaderMap) -> Option<[u32; 3]> {
        let text = headers.get(&self.load)?.to_str().ok()?;
        let mut parts = text.split(',').map(|part| part.trim().parse().ok());
        Some([parts.next()??, parts.next()??, parts.next()??])
    }

    /// A header with a whole number.
    pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
        let text = headers.get(name)?.to_str().ok()?;
        text.trim().parse().ok()
    }

    /// The token of a `Bearer` authorization.
    pub fn bearer(headers: &HeaderMap) -> Option<&str> {
        let value: &HeaderValue = headers.get(http::header::AUTHORIZATION)?;
        let (scheme, token) = value.to_str().ok()?.trim().split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
    }
}
