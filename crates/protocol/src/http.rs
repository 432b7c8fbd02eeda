//! HTTP rules of the request path: keys, hop-by-hop headers, paths and deadlines.

use std::borrow::Cow;
use std::fmt;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use pomelovale_state::document::Digest;
use pomelovale_state::ErrorKind;

/// Header of an error answer that states whether the request may have been run.
pub const OUTCOME: HeaderName = HeaderName::from_static("pomelovale-outcome");
/// Header with the time left for a request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("pomelovale-deadline-ms");
/// Header by which a backend server states that it did not run a request.
pub const SHED: HeaderName = HeaderName::from_static("pomelovale-shed");
/// Header that names one attempt; an answer that echoes another value belongs
/// to another request.
pub const REQUEST: HeaderName = HeaderName::from_static("pomelovale-request");
/// Marks a request that another instance relays, and the refusal of one.
pub const RELAY: HeaderName = HeaderName::from_static("pomelovale-relay");
/// Header with the idempotency key, which lets a caller retry a request that is
/// not idempotent.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header for the API key, an alternative to `Authorization`.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// Prefix of headers that only the system sets.
const INTERNAL_HEADER_PREFIX: &str = "pomelovale-";

/// Longest key text in bytes.
pub const KEY_MAX_BYTES: usize = 256;
const KEY_PREFIX: &str = "pk.";
// Number of nested percent-encodings that are decoded in the search for keys.
const MAX_DECODE_PASSES: usize = 3;

const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The text of a key as a caller presents it; never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct KeyText(String);

impl fmt::Debug for KeyText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyText(..)")
    }
}

impl KeyText {
    /// Parses the text of a key.
    pub fn parse(text: &str) -> Option<KeyText> {
        let rest = text.strip_prefix(KEY_PREFIX)?;
        let whole = rest
            .split_once('.')
            .is_some_and(|(a, b)| !a.is_empty() && !b.is_empty());
        (whole && text.len() <= KEY_MAX_BYTES).then(|| KeyText(text.to_owned()))
    }

    /// Possible identifiers of the key: names may contain dots, so the identifier
    /// may end at the first or at the last dot. Dots between these are not tried.
    pub fn candidate_ids(&self) -> [&str; 2] {
        let rest = &self.0[KEY_PREFIX.len()..];
        let first = rest.split_once('.').map_or("", |(id, _)| id);
        let last = rest.rsplit_once('.').map_or("", |(id, _)| id);
        [first, last]
    }

    /// SHA-256 of the whole text.
    pub fn digest(&self) -> Digest {
        Digest::of_key(&self.0)
    }
}

/// The key of a request. A request with two different keys is refused.
pub fn find_key(headers: &HeaderMap) -> Result<Option<KeyText>, ErrorKind> {
    let bearer = headers
        .get_all(header::AUTHORIZATION)
        .iter()
        .filter_map(bearer_token);
    let plain = headers
        .get_all(API_KEY)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let mut found: Option<KeyText> = None;
    for text in bearer.chain(plain) {
        match (KeyText::parse(text.trim()), &found) {
            (None, _) => return Err(ErrorKind::KeyRefused),
            (Some(key), Some(first)) if key != *first => return Err(ErrorKind::KeyRefused),
            (key, _) => found = key,
        }
    }
    Ok(found)
}

fn bearer_token(value: &HeaderValue) -> Option<&str> {
    let (scheme, token) = value.to_str().ok()?.trim_start().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token)
}

/// Whether a text contains a key, percent-encoded or not.
pub fn contains_key(text: &[u8]) -> bool {
    let mut text = Cow::Borrowed(text);
    for _ in 0..MAX_DECODE_PASSES {
        if contains_unencoded_key(&text) {
            return true;
        }
        match percent_decode(&text) {
            None => return false,
            Some(decoded) => text = Cow::Owned(decoded),
        }
    }
    contains_unencoded_key(&text)
}

fn contains_unencoded_key(text: &[u8]) -> bool {
    let is_name = |c: &u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'_');
    let starts = text
        .windows(KEY_PREFIX.len())
        .enumerate()
        .filter(|(_, w)| w.eq_ignore_ascii_case(KEY_PREFIX.as_bytes()));
    for (at, _) in starts {
        let rest = &text[at + KEY_PREFIX.len()..];
        let id = rest.iter().take_while(|c| is_name(c)).count();
        let secret = rest.get(id + 1).is_some_and(|c| !c.is_ascii_whitespace());
        if id > 0 && rest.get(id) == Some(&b'.') && secret {
            return true;
        }
    }
    false
}

fn percent_decode(text: &[u8]) -> Option<Vec<u8>> {
    if !text.contains(&b'%') {
        return None;
    }
    let digit = |c: u8| (c as char).to_digit(16).map(|d| d as u8);
    let mut out = Vec::with_capacity(text.len());
    let (mut i, mut changed) = (0, false);
    while i < text.len() {
        let pair = text
            .get(i + 1..i + 3)
            .and_then(|p| Some(digit(p[0])? * 16 + digit(p[1])?));
        match (text[i], pair) {
            (b'%', Some(byte)) => {
                out.push(byte);
                (i, changed) = (i + 3, true);
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    changed.then_some(out)
}

/// Removes all headers and cookies that contain a key. `Authorization` is always
/// removed, since other schemes can carry the same key in an encoded form.
pub fn strip_keys(headers: &mut HeaderMap) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(API_KEY);
    strip_cookies(headers);
    let name_if_key = |(name, value): (&HeaderName, &HeaderValue)| {
        (contains_key(value.as_bytes()) || contains_key(name.as_str().as_bytes()))
            .then(|| name.clone())
    };
    let names: Vec<HeaderName> = headers.iter().filter_map(name_if_key).collect();
    for name in names {
        headers.remove(name);
    }
}

fn strip_cookies(headers: &mut HeaderMap) {
    let has_key = |v: &HeaderValue| contains_key(v.as_bytes());
    if !headers.get_all(header::COOKIE).iter().any(has_key) {
        return;
    }
    let kept: Vec<Vec<u8>> = headers
        .get_all(header::COOKIE)
        .iter()
        .flat_map(|v| v.as_bytes().split(|c| *c == b';'))
        .filter(|pair| !contains_key(pair) && !pair.trim_ascii().is_empty())
        .map(|pair| pair.trim_ascii().to_vec())
        .collect();
    headers.remove(header::COOKIE);
    match HeaderValue::from_bytes(&kept.join(&b"; "[..])) {
        Ok(value) if !kept.is_empty() => drop(headers.insert(header::COOKIE, value)),
        _ => {}
    }
}

/// The path and query without parameters that contain a key.
pub fn strip_query_keys<'a>(path: &'a str, query: Option<&'a str>) -> Cow<'a, str> {
    let Some(query) = query else {
        return Cow::Borrowed(path);
    };
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| !contains_key(pair.as_bytes()))
        .collect();
    match kept.is_empty() {
        true => Cow::Borrowed(path),
        false => Cow::Owned(format!("{path}?{}", kept.join("&"))),
    }
}

/// Checks that every server interprets a path in the same way. Dot segments,
/// empty segments, encoded separators, double encoding, control characters and
/// backslashes are refused, since they could turn the path of an open route
/// into that of another route. So is a path that contains a key.
pub fn check_path(path: &str) -> Result<(), ErrorKind> {
    let mut segments = path.strip_prefix('/').unwrap_or("").split('/').peekable();
    let decoded = match path.contains('%') {
        true => percent_decode(path.as_bytes()).ok_or(ErrorKind::BadRequest)?,
        false => path.as_bytes().to_vec(),
    };
    let separators = |text: &[u8]| text.iter().filter(|c| **c == b'/').count();
    let is_forbidden_byte = |c: &u8| *c == b'\\' || *c < b' ' || *c == 0x7f;
    let is_dot_segment =
        |s: &[u8]| matches!(s, b"." | b"..") || s.starts_with(b".;") || s.starts_with(b"..;");
    let double_encoded = path.contains('%') && percent_decode(&decoded).is_some();
    let has_empty_segment =
        std::iter::from_fn(|| segments.next().map(|s| (s, segments.peek().is_some())))
            .any(|(s, more)| s.is_empty() && more);
    match decoded.split(|c| *c == b'/').any(is_dot_segment) {
        true => Err(ErrorKind::BadRequest),
        _ if has_empty_segment
            || double_encoded
            || separators(&decoded) != separators(path.as_bytes()) =>
        {
            Err(ErrorKind::BadRequest)
        }
        _ if decoded.iter().any(is_forbidden_byte) || contains_key(path.as_bytes()) => {
            Err(ErrorKind::BadRequest)
        }
        _ => Ok(()),
    }
}

/// Removes hop-by-hop headers, which apply to a single connection.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes headers that only the system sets.
pub fn strip_internal_headers(headers: &mut HeaderMap) {
    let own = |name: &HeaderName| name.as_str().starts_with(INTERNAL_HEADER_PREFIX);
    if !headers.keys().any(own) {
        return;
    }
    let names: Vec<HeaderName> = headers.keys().filter(|n| own(n)).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

/// The time left for a request as stated by its caller, in milliseconds.
pub fn deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, ErrorKind> {
    let mut values = headers.get_all(DEADLINE).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok())
            .map(Some)
            .ok_or(ErrorKind::BadRequest),
        (Some(_), Some(_)) => Err(ErrorKind::BadRequest),
    }
}
