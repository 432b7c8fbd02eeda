//! The list of entry instances, ranked for a caller.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::Response;
use pomelovale_state::blocks::{address_bits, Prefix};
use pomelovale_state::document::{Document, Instance};
use pomelovale_state::{ErrorKind, Name};
use pomelovale_transport::body::CallerBody;
use serde::Serialize;

use super::refusal::Refusal;
use super::service::{entries, REGION_RTT_MS};
use super::Shared;

/// Path of the entry list.
pub const PATH: &str = "/.pomelovale/entries";
// Prefix length of a caller's network, in bits of the IPv6 form of its address.
const V4_NETWORK_BITS: u8 = 96 + 24;
const V6_NETWORK_BITS: u8 = 48;

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

/// Responds to a request for the entry list.
pub fn answer(
    shared: &Shared,
    caller: IpAddr,
    query: Option<&str>,
) -> Result<Response<CallerBody>, Refusal> {
    let requested_address = query
        .into_iter()
        .flat_map(|q| q.split('&'))
        .find_map(|pair| pair.strip_prefix("address="));
    let address = match requested_address {
        None => caller,
        Some(text) => text.parse().map_err(|_| ErrorKind::BadRequest)?,
    };
    let document = shared.view.document();
    let own = &shared.config.instance;
    let leaving = shared.leaving.load(Ordering::Relaxed);
    let entries = rank(shared, &document, address)
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

/// Ranks the instances that callers may use, the nearest region with headroom
/// first. The order within a region differs between networks of callers, so that
/// load is spread.
fn rank<'a>(
    shared: &Shared,
    document: &'a Document,
    caller: IpAddr,
) -> Vec<(&'a Name, SocketAddr, &'a Instance)> {
    let site = document
        .blocks
        .lookup(caller)
        .and_then(|name| document.sites.get(name));
    let home = site.map_or(&shared.config.region, |s| &s.region);
    let distance = |region: &Name| if region == home { 0.0 } else { REGION_RTT_MS };
    let network = network_id(caller);
    let names = shared.steering.rank(network, &entries(document), distance);
    let open = |name: &Name| {
        let (name, instance) = document.instances.get_key_value(name)?;
        Some((name, instance.callers?, instance))
    };
    names.iter().filter_map(open).collect()
}

// Callers of the same network get the same order.
fn network_id(caller: IpAddr) -> u64 {
    let length = match caller {
        IpAddr::V4(_) => V4_NETWORK_BITS,
        IpAddr::V6(_) => V6_NETWORK_BITS,
    };
    let prefix = Prefix::new(address_bits(caller), length);
    (prefix.first >> 64) as u64 ^ prefix.first as u64
}
