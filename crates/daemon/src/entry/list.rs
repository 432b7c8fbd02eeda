//! The list of entry instances, ranked for a caller.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::Response;
use pomelovale_state::document::{Document, Instance, MemberState};
use pomelovale_state::{ErrorKind, Name};
use pomelovale_transport::body::CallerBody;
use serde::Serialize;

use super::refusal::Refusal;
use super::Shared;

/// Path of the entry list.
pub const PATH: &str = "/.pomelovale/entries";

#[derive(Debug, Serialize)]
struct Row<'a> {
    instance: &'a Name,
    address: SocketAddr,
    region: &'a Name,
    failure_domain: &'a Name,
}

#[derive(Debug, Serialize)]
struct List<'a> {
    ttl_ms: u64,
    version: u64,
    entries: Vec<Row<'a>>,
}

/// The answer to a request for the entry list.
pub fn answer(
    shared: &Shared,
    caller: IpAddr,
    query: Option<&str>,
) -> Result<Response<CallerBody>, Refusal> {
    let asked = query
        .into_iter()
        .flat_map(|q| q.split('&'))
        .find_map(|pair| pair.strip_prefix("address="));
    let address = match asked {
        None => caller,
        Some(text) => text.parse().map_err(|_| ErrorKind::BadRequest)?,
    };
    let document = shared.view.document();
    let own = &shared.config.instance;
    let leaving = shared.leaving.load(Ordering::Relaxed);
    let entries = rank(&document, address)
        .into_iter()
        .filter(|(name, _, _)| !(leaving && *name == own))
        .map(|(name, address, i)| Row {
            instance: name,
            address,
            region: &i.region,
            failure_domain: &i.domain,
        });
    let list = List {
        ttl_ms: shared.config.list_ms,
        version: document.version,
        entries: entries.collect(),
    };
    let body = serde_json::to_vec(&list).map_err(|_| ErrorKind::Internal)?;
    let mut response = Response::new(CallerBody::Full(Bytes::from(body)));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(response)
}

/// Instances that callers may use, the nearest first; equally near ones in an
/// order of the caller's own, so that callers spread.
pub fn rank(document: &Document, caller: IpAddr) -> Vec<(&Name, SocketAddr, &Instance)> {
    let site = document
        .blocks
        .lookup(caller)
        .and_then(|name| document.sites.get(name));
    let far = |i: &Instance| match site {
        None => 0,
        Some(s) if s.domain == i.domain => 0,
        Some(s) if s.region == i.region => 1,
        Some(_) => 2,
    };
    let order = |name: &Name| {
        let mut hash = DefaultHasher::new();
        (name, caller).hash(&mut hash);
        hash.finish()
    };
    let open = |(name, i): (_, &'_ Instance)| {
        (i.state == MemberState::Serving).then_some((name, i.callers?))
    };
    let mut rows: Vec<_> = document
        .instances
        .iter()
        .filter_map(|(name, i)| open((name, i)).map(|(name, address)| (name, address, i)))
        .collect();
    rows.sort_by_key(|(name, _, i)| (far(i), order(name)));
    rows
}
