//! List of gateways that callers fetch.

use std::net::SocketAddr;

use pomelovale_state::document::{Document, Instance, MemberState};
use pomelovale_state::Name;

/// Minimum number of gateways in the caller's failure domain for the list to
/// hold only these.
const DOMAIN_MIN: usize = 2;

/// Returns the addresses of gateways for a caller: those of its failure domain
/// if there are at least `DOMAIN_MIN`, else those of its region, else all. If
/// no gateway is marked as serving, all gateways are listed, also those that
/// have stopped reporting, since the fault may lie between them and the control
/// instances.
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
