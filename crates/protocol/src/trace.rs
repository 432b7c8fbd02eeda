//! W3C trace context.

use std::fmt;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use rand::Rng;

/// Header that propagates the trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
/// Header with vendor-specific trace data.
pub const TRACESTATE: HeaderName = HeaderName::from_static("tracestate");
const SAMPLED: u8 = 1;

/// The trace context of one hop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceContext {
    /// Identifier of the whole trace.
    pub trace: u128,
    /// Identifier of this hop.
    pub span: u64,
    /// Trace flags, forwarded as received.
    pub flags: u8,
}

impl TraceContext {
    /// The context of a new, sampled trace.
    pub fn root() -> TraceContext {
        let mut rng = rand::rng();
        TraceContext {
            trace: rng.random_range(1..=u128::MAX),
            span: rng.random_range(1..=u64::MAX),
            flags: SAMPLED,
        }
    }

    /// The context in a request's headers; `None` if it is absent, malformed or
    /// repeated.
    pub fn from_headers(headers: &HeaderMap) -> Option<TraceContext> {
        let mut values = headers.get_all(TRACEPARENT).iter();
        match (values.next(), values.next()) {
            (Some(value), None) => TraceContext::parse(value.to_str().ok()?),
            _ => None,
        }
    }

    /// Parses the value of a `traceparent` header.
    pub fn parse(text: &str) -> Option<TraceContext> {
        let mut parts = text.trim().split('-');
        let (version, trace) = (parts.next()?, parts.next()?);
        let (span, flags) = (parts.next()?, parts.next()?);
        let more = parts.next().is_some();
        let hex = |s: &str| s.bytes().all(|c| matches!(c, b'0'..=b'9' | b'a'..=b'f'));
        let sized = [version, trace, span, flags].map(str::len) == [2, 32, 16, 2];
        let known = version != "ff" && !(version == "00" && more);
        if !sized || !known || ![version, trace, span, flags].into_iter().all(hex) {
            return None;
        }
        let parsed = TraceContext {
            trace: u128::from_str_radix(trace, 16).ok()?,
            span: u64::from_str_radix(span, 16).ok()?,
            flags: u8::from_str_radix(flags, 16).ok()?,
        };
        (parsed.trace != 0 && parsed.span != 0).then_some(parsed)
    }

    /// The context of the next hop in the same trace.
    pub fn child(&self) -> TraceContext {
        let span = rand::rng().random_range(1..=u64::MAX);
        TraceContext { span, ..*self }
    }

    /// The value of the `traceparent` header.
    pub fn header_value(&self) -> HeaderValue {
        HeaderValue::try_from(self.to_string()).expect("only hexadecimal digits and dashes")
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "00-{:032x}-{:016x}-{:02x}",
            self.trace, self.span, self.flags
        )
    }
}
