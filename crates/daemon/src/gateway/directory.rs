//! Which gateways a caller is told to use.

use std::net::SocketAddr;

use pomelovale_state::document::{Document, Instance, MemberState};
use pomelovale_state::Name;

/// Gateways of the caller's failure domain that suffice to use no others.
const DOMAIN_MIN: usize = 2;

/// Addresses for a caller: the gateways of its failure domain if there are
/// several, else of its region, else all. Without any that serve, those that
/// were silent lately are named, since the fault may be between them and the
/// control instances.
pub fn addresses(document: &Document, region: &str, domain: &str, limit: usize) -> Vec<SocketAddr> {
    let serving = |i: &&Instance| i.state == MemberState::Serving && i.callers.is_some();
    let open: Vec<&Instance> = document.instances.values().filter(serving).collect();
    let in_domain: Vec<&Instance> = select(&open, |i| name_is(&i.domain, domain));
    let in_region: Vec<&Instance> = select(&open, |i| name_is(&i.region, region));
    let chosen = match () {
        () if in_domain.len() >= DOMAIN_MIN => in_domain,
        () if !in_region.is_empty() => in_region,
        () if !open.is_empty() => open,
        () => document.instances.values().collect(),
    };
    let addresses = chosen.iter().filter_map(|i| i.callers);
    addresses.take(limit).collect()
}

fn select<'a>(open: &[&'a Instance], fits: impl Fn(&Instance) -> bool) -> Vec<&'a Instance> {
    open.iter().filter(|i| fits(i)).copied().collect()
}

fn name_is(name: &Name, text: &str) -> bool {
    name.as_str() == text
}
