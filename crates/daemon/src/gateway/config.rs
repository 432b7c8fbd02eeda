//! Settings of the gateway role.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use pomelovale_protocol::auth::Secret;
use pomelovale_protocol::header_names::HeaderNames;
use pomelovale_state::Name;
use pomelovale_transport::http_server::ServerLimits;
use pomelovale_transport::peer_format::UnnamedFormat;

/// Settings of the connections between gateways.
#[derive(Clone, Debug)]
pub struct Peering {
    /// Listen address for other gateways.
    pub listen: SocketAddr,
    /// Secret that all instances of the deployment share.
    pub secret: Secret,
    /// Format of the peers that name none.
    pub unnamed: Arc<UnnamedFormat>,
}

/// Settings of a gateway. Durations are in milliseconds.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Name of the instance.
    pub instance: Name,
    /// Region that the instance runs in.
    pub region: Name,
    /// Failure domain that the instance runs in.
    pub domain: Name,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Connections between gateways. Without them, the gateway selects the
    /// server of every request itself.
    pub peering: Option<Peering>,
    /// Whether control instances follow an external list of backend servers.
    pub has_list: bool,
    /// Names of the HTTP headers.
    pub header_names: HeaderNames,
    /// Limits of the server for callers. Those of the routing table replace its
    /// timeouts, and lower its limit on heads.
    pub server: ServerLimits,
    /// Limit on the bytes of request bodies in memory: their declared lengths, and what
    /// has arrived of those of unknown length.
    pub held_bytes: usize,
    /// Size in bytes up to which a response is buffered whole before any of it
    /// is sent to the caller, so that another server can be tried if it breaks off. A
    /// larger one is forwarded while it is received: held back, it would pass the link
    /// twice before its caller has the first byte.
    pub answer_bytes: usize,
    /// Rate of the link of this instance in bytes per second, if it is narrow. Large
    /// responses are then paced, so that messages and small ones don't wait for them.
    pub narrow_link: Option<u64>,
    /// Whether `narrow_link`, `load_exchange` and `token_prefetch` take effect only while
    /// servers report their pace, which shows that they share their machines.
    pub needs_pace: bool,
    /// Whether gateways of a region tell each other the loads that servers report.
    pub load_exchange: bool,
    /// Timeout for opening a connection to a backend server.
    pub connect_ms: u64,
    /// Timeout between two parts of a response that is streamed to the caller. It
    /// applies after the deadline of the request; until then, silence of the server
    /// is no reason to end a response.
    pub pause_ms: u64,
    /// Time since its last response up to which a connection to a backend server
    /// is reused.
    pub idle_ms: u64,
    /// Time after the last crash until a request that is quarantined for crashes of its
    /// servers may be tried once more.
    pub trial_ms: u64,
    /// Whether objects change their server as little as possible when servers are added,
    /// removed or briefly unavailable. All gateways of a deployment should have the same value.
    pub stable_placement: bool,
    /// Interval between reports to the leader.
    pub report_ms: u64,
    /// Retry budget of each service, which all instances share.
    pub retry_budget: RetryBudgetConfig,
    /// Whether the division of objects among regions follows the demand of all regions, with
    /// measured distances and with connections that are opened before they are needed.
    pub region_planning: bool,
    /// Whether tokens of workspaces are obtained from the control instance in advance of the
    /// requests that use them. For gateways on narrow links, where each round trip waits
    /// behind responses.
    pub token_prefetch: bool,
    /// Whether the requests of all services are ordered while demand exceeds capacity; see
    /// docs/design/scheduler.md. Otherwise only those of services whose servers share their
    /// machines are.
    pub scheduling: bool,
    /// One in this many requests is logged. Refused and retried requests always
    /// are.
    pub log_one_in: u64,
    /// Time for which a stopping instance still serves after it was removed
    /// from the entry list.
    pub deregistration_delay_ms: u64,
    /// Time from the start of a stop until requests in flight are aborted.
    pub grace_ms: u64,
}

/// Token bucket for the retries of one service that all instances together may
/// send; each instance uses a part of it. A full bucket allows `reserve` retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries that each request adds to the bucket, in per mille.
    pub per_mille: u64,
    /// Capacity of the bucket: the largest burst of retries.
    pub reserve: u64,
}

impl Default for GatewayConfig {
    fn default() -> GatewayConfig {
        GatewayConfig {
            instance: Name::default(),
            region: Name::default(),
            domain: Name::default(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            peering: None,
            has_list: false,
            header_names: HeaderNames::default(),
            server: ServerLimits::default(),
            held_bytes: 64 * 1024 * 1024,
            answer_bytes: 32 * 1024,
            narrow_link: None,
            needs_pace: false,
            load_exchange: false,
            connect_ms: 400,
            pause_ms: 400,
            idle_ms: 6_000,
            trial_ms: 3_000,
            stable_placement: false,
            report_ms: 500,
            retry_budget: RetryBudgetConfig {
                per_mille: 100,
                reserve: 20,
            },
            region_planning: false,
            token_prefetch: false,
            scheduling: false,
            log_one_in: 16,
            deregistration_delay_ms: 2_800,
            grace_ms: 5_700,
        }
    }
}
