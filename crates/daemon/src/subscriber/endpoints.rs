//! Settings of a subscriber, and the ranking of control instances.

use std::net::SocketAddr;
use std::sync::Arc;

use pomelovale_protocol::auth::Secret;
use pomelovale_state::document::{Digest, Document, Instance, MemberState};
use pomelovale_state::Name;
use pomelovale_transport::peer_format::UnnamedFormat;
use pomelovale_transport::peer_link::{PeerCounters, PeerTimings};
use serde::Deserialize;

/// Address and location of a control instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControlEndpoint {
    /// Its instance name.
    pub name: Name,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Its region.
    pub region: Name,
    /// Its failure domain.
    pub domain: Name,
}

/// Settings of a subscriber.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubscriberConfig {
    /// Name of this instance.
    pub name: Name,
    /// Region of this instance.
    pub region: Name,
    /// Failure domain of this instance.
    pub domain: Name,
    /// All control instances.
    pub controls: Vec<ControlEndpoint>,
    /// Secret shared by all instances of the deployment.
    pub secret: Secret,
    /// Time limits of connections.
    #[serde(default)]
    pub timings: PeerTimings,
    /// Time limits of the subscription.
    #[serde(default)]
    pub limits: SubscriberLimits,
    /// Counters of the connections.
    #[serde(skip)]
    pub counters: Arc<PeerCounters>,
    /// Format of the peers that name none.
    #[serde(skip)]
    pub unnamed: Arc<UnnamedFormat>,
}

/// Time limits of a subscription, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct SubscriberLimits {
    /// Timeout of a call, including resends.
    pub call_ms: u64,
    /// Delay added to each message sent, to simulate distant regions in tests.
    pub delay_ms: u64,
    /// Time after which a connection to the next control instance is started
    /// while earlier attempts are still open.
    pub next_ms: u64,
    /// Time between two renewals.
    pub renew_ms: u64,
    /// Minimum time that a newly connected control instance gets to prove its
    /// document before another one is chosen.
    pub settle_ms: u64,
    /// Age of the view above which the subscriber switches to another control
    /// instance. The default leaves time for two more attempts before keyed
    /// requests are refused at a view age of 4 s.
    pub switch_ms: u64,
}

impl Default for SubscriberLimits {
    fn default() -> SubscriberLimits {
        SubscriberLimits {
            call_ms: 10_000,
            delay_ms: 0,
            next_ms: 400,
            renew_ms: 500,
            settle_ms: 600,
            switch_ms: 1_800,
        }
    }
}

/// Returns the configured control instances in order of preference: those in the
/// own failure domain first, then those in the own region. Equal ones are ordered
/// by a hash of both names, so that subscribers are spread evenly over them.
pub fn ranked_endpoints(config: &SubscriberConfig) -> Vec<ControlEndpoint> {
    let mut endpoints = config.controls.clone();
    sort_by_preference(config, &mut endpoints);
    endpoints
}

// Like `ranked_endpoints`, for the control instances of the document and those of
// the settings that the document does not contain.
pub(super) fn known_endpoints(
    config: &SubscriberConfig,
    document: &Document,
) -> Vec<ControlEndpoint> {
    let endpoint = |(name, i): (&Name, &Instance)| {
        let endpoint = ControlEndpoint {
            name: name.clone(),
            address: i.peers?,
            region: i.region.clone(),
            domain: i.domain.clone(),
        };
        // Gateways have a peer address too, but also one for callers.
        (i.state == MemberState::Serving && i.callers.is_none()).then_some(endpoint)
    };
    let mut endpoints: Vec<ControlEndpoint> =
        document.instances.iter().filter_map(endpoint).collect();
    for seed in &config.controls {
        if !endpoints.iter().any(|p| p.name == seed.name) {
            endpoints.push(seed.clone());
        }
    }
    sort_by_preference(config, &mut endpoints);
    endpoints
}

// Returns 0 for the same failure domain, 1 for the same region, 2 otherwise.
pub(super) fn distance(config: &SubscriberConfig, endpoint: &ControlEndpoint) -> u8 {
    match () {
        () if endpoint.region == config.region && endpoint.domain == config.domain => 0,
        () if endpoint.region == config.region => 1,
        () => 2,
    }
}

fn sort_by_preference(config: &SubscriberConfig, endpoints: &mut [ControlEndpoint]) {
    let hash = |p: &ControlEndpoint| Digest::of(&[config.name.as_bytes(), p.name.as_bytes()]);
    endpoints.sort_by_cached_key(|p| (distance(config, p), hash(p)));
}
