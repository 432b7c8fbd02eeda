//! Attempts to send one request to backend servers, and when it is sent again.

use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::{Method, Response, Uri};
use pomelovale_state::digest::Digest;
use pomelovale_state::routing::{HostRoute, Repeat};
use pomelovale_state::{ErrorKind, Name};
use pomelovale_steering::placement::{Chosen, PlacementDecision, PlacementEnd, ServerReport};
use pomelovale_transport::body::CallerBody;
use tokio::time::{timeout, Instant};

use super::coordinator_client::Place;
use super::hedge::Second;
use super::request_log::{RequestLog, Timing};
use super::stopping::Sent;
use super::{exchange, relaying, server_selection, Shared};
use crate::crash::{self, Run, RunGuard, Trial};
use crate::entry::refusal::Refusal;
use crate::reach::{LinkFault, State};
use crate::relay::{self, RelayEnd};

/// Number of attempts that sent no byte after which a request is refused, for
/// example because the connection failed, or the server became ineligible while
/// it was opened. They don't count towards the attempts of the route.
const CONNECT_FAILURES_MAX: usize = 3;
/// Retry delay of a request that a server with free slots has shed, in milliseconds. It is
/// random, so that callers don't return together.
const SHED_RETRY_MS: RangeInclusive<u64> = 60..=120;
/// Maximum number of servers of which it is not known whether they have left, and which don't
/// show that they stay. The request is refused then.
const UNCONFIRMED_MAX: usize = 6;
/// Time reserved for sending the response to the caller, in milliseconds.
pub(super) const RESPONSE_RESERVE_MS: u64 = 5;
/// A request that is within the limits of its workspace, with its route and
/// service.
#[derive(Debug)]
pub(super) struct RoutedRequest {
    pub(super) service: Name,
    /// Path at which the servers of the service answer probes.
    pub(super) probe: Name,
    pub(super) route: HostRoute,
    /// Hash of the object that the request concerns.
    pub(super) object: u64,
    pub(super) priority: u32,
    /// Regions that may serve the request; all if empty.
    pub(super) homes: Vec<Name>,
    /// Workspace of the key; `None` on open routes.
    pub(super) workspace: Option<Name>,
    pub(super) host: String,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) start: Instant,
    pub(super) deadline: Instant,
    /// Whether another instance relays it.
    pub(super) is_relayed: bool,
    /// Header with the key of its caller, which no server gets.
    pub(super) authorization: Option<HeaderValue>,
    /// Version of the routing table that it was routed by.
    pub(super) version: u64,
    /// Fingerprint, computed on first use.
    pub(super) fingerprint: OnceLock<Digest>,
    /// Whether it is tried although it is quarantined.
    pub(super) trial: Trial,
    pub(super) sent: Arc<Sent>,
}

impl RoutedRequest {
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(super) fn is_idempotent(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
    }

    /// Returns the digest by which a resend of the request by its caller is
    /// recognized.
    pub(super) fn fingerprint(&self) -> Digest {
        *self.fingerprint.get_or_init(|| {
            let target = self.target.to_string();
            let head = [
                self.workspace
                    .as_ref()
                    .map_or(&[][..], |name| name.as_bytes()),
                self.host.as_bytes(),
                self.method.as_str().as_bytes(),
                target.as_bytes(),
            ];
            crash::fingerprint(&head, &self.body)
        })
    }
}

impl RoutedRequest {
    /// Returns the first 8 bytes of the fingerprint.
    pub(super) fn short_fingerprint(&self) -> u64 {
        let Digest(bytes) = self.fingerprint();
        let first = bytes.first_chunk().copied();
        u64::from_le_bytes(first.unwrap_or_default())
    }
}

/// State of a request over its attempts.
#[derive(Default)]
pub(super) struct Progress {
    pub(super) tried: Vec<Name>,
    pub(super) sent: u32,
    connect_failures: usize,
    unconfirmed: usize,
    // Last crash of the request that was known when the last attempt began.
    pub(super) known_crash: u64,
    // Servers in the failure domain of the server that crashed last. They are avoided
    // if others are available.
    avoided: Vec<Name>,
    // The error to return instead of a refusal, once a server may have run the
    // request.
    unknown_outcome: Option<ErrorKind>,
    // Whether the last server shed the request although it reports free slots.
    shed_idle: bool,
    // Whether the request has waited for another look at servers out of reach.
    rechecked: bool,
    // The next attempt, if its server was selected before the last one was abandoned.
    pub(super) next: Option<AttemptGuard>,
    // Whether the request has been hedged, which happens once.
    pub(super) hedged: bool,
    // The second attempt beside the last one.
    pub(super) second: Option<Second>,
}

impl Progress {
    /// State of a second attempt beside one at `chosen`.
    pub(super) fn beside(&self, chosen: &Chosen) -> Progress {
        let mut tried = self.tried.clone();
        tried.push(chosen.server.clone());
        Progress {
            tried,
            sent: self.sent + 1,
            known_crash: self.known_crash,
            hedged: true,
            ..Progress::default()
        }
    }

    // Starts over with servers that are within reach again.
    fn restart(&mut self) {
        self.tried.clear();
        self.connect_failures = 0;
        self.rechecked = true;
    }
}

/// How one attempt ended.
pub(super) enum Outcome {
    Answer(Response<CallerBody>),
    /// The request was quarantined before it was sent.
    Blocked,
    /// No byte of the request was sent.
    Unsent,
    /// Likewise, since the server may have left.
    Unconfirmed,
    /// The server states that it did not run the request.
    NotRun {
        /// Whether it shed the request although it reports free slots.
        has_slots: bool,
    },
    /// The server may have run the request.
    Unknown {
        kind: ErrorKind,
        /// Whether the server has ended under it.
        ended: bool,
    },
}

impl Outcome {
    /// A response of the server, which is up, without proof that it ran the request.
    pub(super) fn unproven() -> Outcome {
        Outcome::Unknown {
            kind: ErrorKind::UnknownOutcome,
            ended: false,
        }
    }
}

/// Records the end of an attempt; an attempt whose guard is dropped counts as
/// cancelled.
pub(super) struct AttemptGuard {
    pub(super) shared: Arc<Shared>,
    pub(super) routed: Arc<RoutedRequest>,
    pub(super) chosen: Chosen,
    place: Option<Place>,
    pub(super) since: Instant,
    pub(super) report: ServerReport,
    // When the answer with the report arrived.
    pub(super) reported: Instant,
    /// Whether the server counts as silent if the attempt is cancelled.
    pub(super) silent: Arc<AtomicBool>,
    // Set once the request is sent, until the attempt ends.
    pub(super) run: Option<(Run, RunGuard)>,
    ended: bool,
}

impl AttemptGuard {
    pub(super) fn new(
        shared: &Arc<Shared>,
        routed: &Arc<RoutedRequest>,
        chosen: Chosen,
        place: Option<Place>,
    ) -> AttemptGuard {
        AttemptGuard {
            shared: shared.clone(),
            routed: routed.clone(),
            chosen,
            place,
            since: Instant::now(),
            report: ServerReport::default(),
            reported: Instant::now(),
            silent: Arc::default(),
            run: None,
            ended: false,
        }
    }

    /// Whether a coordinator has selected the server.
    pub(super) fn is_placed_by_other(&self) -> bool {
        self.place.is_some()
    }

    pub(super) fn end(&mut self, ended: PlacementEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        if let Some(fault) = link_fault(ended) {
            self.shared.reach.record_failure(fault);
        }
        let now = self.shared.clock.now();
        let latency_ms = self.since.elapsed().as_millis() as u64;
        let document = self.shared.view.document();
        // The body may have taken long after the head.
        let report_ms = self.reported.elapsed().as_millis() as u64;
        self.report = self.report.aged(report_ms);
        let (chosen, routed, report) = (&self.chosen, &self.routed, self.report);
        let services = &self.shared.services;
        let changed = services.with(now, &document, &routed.service, |s| {
            s.finish(now, chosen, &routed.route.name, ended, latency_ms, report)
        });
        let changed = changed.unwrap_or_default();
        let own = &self.shared.config.instance;
        super::report_changed_server(&self.shared, own, &routed.service, chosen, ended, changed);
        let lost = matches!(ended, PlacementEnd::Cancelled | PlacementEnd::TimedOut);
        if let Some((run, _)) = self.run.take().filter(|_| lost) {
            self.shared.crashes.abandon(run);
        }
        if let Some(place) = self.place.take() {
            self.tell_coordinator(place, ended, latency_ms);
        }
        metrics::histogram!("gateway_attempt_seconds").record(self.since.elapsed());
    }
}

impl AttemptGuard {
    // Tells the coordinator how the attempt has ended. A failure is the server's only once
    // another server has been reached after it.
    fn tell_coordinator(&self, place: Place, ended: PlacementEnd, latency_ms: u64) {
        let report = self.report;
        let Some(fault) = link_fault(ended) else {
            return place.end(ended, latency_ms, report);
        };
        let (reach, since) = (self.shared.reach.clone(), Instant::now());
        tokio::spawn(async move {
            let ended = match reach.confirm(fault, since).await {
                true => ended,
                false => PlacementEnd::Cancelled,
            };
            place.end(ended, latency_ms, report);
        });
    }
}

/// The failure to reach a server that an attempt has met.
pub(super) fn link_fault(ended: PlacementEnd) -> Option<LinkFault> {
    match ended {
        PlacementEnd::TimedOut => Some(LinkFault::Silent),
        PlacementEnd::Unreachable => Some(LinkFault::Closed),
        PlacementEnd::Answered
        | PlacementEnd::Cancelled
        | PlacementEnd::Cut
        | PlacementEnd::Failed
        | PlacementEnd::Moved
        | PlacementEnd::Shed => None,
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(match self.silent.load(Ordering::Relaxed) {
            true => PlacementEnd::TimedOut,
            false => PlacementEnd::Cancelled,
        });
    }
}

/// Sends a request, and retries it as long as its route, the retry budget and
/// the outcome of the last attempt allow.
pub(super) async fn run(
    shared: &Arc<Shared>,
    routed: Arc<RoutedRequest>,
    request_log: &mut RequestLog,
) -> Result<Response<CallerBody>, Refusal> {
    if !routed.is_relayed {
        add_retry_credit(shared, &routed);
    }
    let mut progress = Progress::default();
    request_log.object = routed.object;
    loop {
        if routed.left() <= Duration::from_millis(RESPONSE_RESERVE_MS) {
            // Unless a server may have run the request, the caller may send it
            // again.
            let kind = progress.unknown_outcome.unwrap_or(ErrorKind::Overloaded);
            return Err(kind.into());
        }
        if shared.stopping.is_late() {
            let unknown = progress.unknown_outcome.map(Refusal::from);
            return Err(unknown.unwrap_or_else(|| shared.stopping.refusal()));
        }
        if let Some(retry_ms) = blocked_ms(shared, &routed) {
            request_log.fingerprint = Some(routed.fingerprint());
            wait_until_recorded(shared, &routed, &progress).await;
            let kind = progress.unknown_outcome.unwrap_or(ErrorKind::Quarantined);
            return Err(Refusal { kind, retry_ms });
        }
        let is_relay_due = match shared.reach.state() {
            State::Reached => false,
            // Old connections may live on.
            State::Blocked => progress.connect_failures >= CONNECT_FAILURES_MAX,
            State::Lost => true,
        };
        if is_relay_due && may_relay(&routed, &progress) {
            let may_have_run = progress.unknown_outcome.is_some();
            let sent = progress.sent;
            let ended = relaying::relay_rest(shared, &routed, sent, may_have_run, request_log);
            let ended = ended.await;
            let unknown = progress.unknown_outcome.map(RelayEnd::Unknown);
            let may_wait = unknown.is_none() && !progress.rechecked;
            if matches!(ended, RelayEnd::NotTaken)
                && may_wait
                && shared.reach.recheck(relay::RECHECK).await
            {
                progress.restart();
                continue;
            }
            return relaying::result(match ended {
                RelayEnd::NotTaken => unknown.unwrap_or(RelayEnd::NotTaken),
                ended => ended,
            });
        }
        progress.known_crash = shared.crashes.last_crash(|| routed.fingerprint());
        let since = Instant::now();
        let running = match progress.next.take() {
            Some(next) => next,
            None => match choose(shared, &routed, &progress).await {
                (PlacementDecision::Send(chosen), place) => {
                    AttemptGuard::new(shared, &routed, chosen, place)
                }
                (PlacementDecision::Refuse { .. }, _)
                    if is_own_failure(shared, &routed, &mut progress).await =>
                {
                    continue;
                }
                (PlacementDecision::Refuse { retry_ms }, _) => {
                    let kind = progress.unknown_outcome.unwrap_or(ErrorKind::Overloaded);
                    return Err(Refusal { kind, retry_ms });
                }
            },
        };
        let chosen = running.chosen.clone();
        let mut timing = Timing {
            by_coordinator: running.place.is_some(),
            place_ms: since.elapsed().as_millis() as u64,
            connect_ms: 0,
        };
        let since = Instant::now();
        let (outcome, end) =
            exchange::attempt(shared, &routed, running, &mut progress, &mut timing).await;
        request_log.add_attempt(&chosen, timing, since, end);
        progress.tried.push(chosen.server.clone());
        if let Some(second) = progress.second.take() {
            request_log.add_attempt(&second.chosen, second.timing, second.since, second.end);
            progress.tried.push(second.chosen.server);
            progress.sent += 1;
            progress.hedged = true;
        }
        let may_have_run = matches!(outcome, Outcome::Unknown { .. });
        progress.shed_idle = matches!(outcome, Outcome::NotRun { has_slots: true });
        let sent = progress.unknown_outcome.is_some() || may_have_run;
        routed.sent.set(sent);
        let retry = match outcome {
            Outcome::Answer(response) => return Ok(response),
            // The next pass of the loop returns the refusal.
            Outcome::Blocked => continue,
            Outcome::Unsent => {
                metrics::counter!("gateway_unsent_attempts_total").increment(1);
                progress.connect_failures += 1;
                progress.connect_failures < CONNECT_FAILURES_MAX
            }
            Outcome::Unconfirmed => {
                progress.unconfirmed += 1;
                progress.unconfirmed < UNCONFIRMED_MAX
            }
            Outcome::NotRun { .. } => {
                progress.sent += 1;
                progress.sent < routed.route.attempts && spend_retry(shared, &routed)
            }
            Outcome::Unknown { kind, ended } => {
                progress.sent += 1;
                progress.unknown_outcome = Some(kind);
                request_log.fingerprint = Some(routed.fingerprint());
                if ended {
                    // The whole failure domain may be failing.
                    progress.avoided = shared.view.document().domain_peers(&chosen.server);
                }
                routed.is_idempotent()
                    && !routed.trial.is_taken()
                    && progress.sent < routed.route.attempts
                    && spend_retry(shared, &routed)
            }
        };
        if !retry && is_own_failure(shared, &routed, &mut progress).await {
            continue;
        }
        if !retry && progress.unknown_outcome.is_none() && progress.shed_idle {
            if let Some(refusal) = shed_refusal(shared, &routed) {
                return Err(refusal);
            }
        }
        if !retry {
            wait_until_recorded(shared, &routed, &progress).await;
            let kind = progress.unknown_outcome.unwrap_or(ErrorKind::Unavailable);
            return Err(kind.into());
        }
        if progress.sent > 0 {
            metrics::counter!("gateway_repeats_total").increment(1);
        }
    }
}

fn may_relay(routed: &RoutedRequest, progress: &Progress) -> bool {
    !routed.is_relayed && (progress.unknown_outcome.is_none() || routed.is_idempotent())
}

// Refusal of a request that a server has shed although it has free slots, if the requests of
// the service are ordered: the next server has capacity.
fn shed_refusal(shared: &Shared, routed: &RoutedRequest) -> Option<Refusal> {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let retry_ms = rand::random_range(SHED_RETRY_MS);
    let fingerprint = routed.short_fingerprint();
    let is_active = shared.services.with(now, &document, &routed.service, |s| {
        let is_active = s.scheduling.is_active();
        if is_active {
            s.scheduling.expect_return(now, fingerprint, retry_ms);
        }
        is_active
    });
    let refusal = Refusal {
        kind: ErrorKind::Unavailable,
        retry_ms,
    };
    is_active?.then_some(refusal)
}

// Waits until it is known whether the way to the servers is blocked, if that is suspected and a
// request that no server has run fails. It is relayed then.
async fn is_own_failure(
    shared: &Arc<Shared>,
    routed: &RoutedRequest,
    progress: &mut Progress,
) -> bool {
    if progress.unknown_outcome.is_some() || routed.is_relayed || !shared.reach.is_checking() {
        return false;
    }
    let confirmed = shared.reach.confirm(LinkFault::Closed, Instant::now());
    let is_blocked = matches!(timeout(routed.left(), confirmed).await, Ok(false));
    if is_blocked {
        progress.connect_failures = CONNECT_FAILURES_MAX;
    }
    is_blocked
}

// Before a request under which a server crashed is answered with a failure, waits until
// other instances know of the crash.
async fn wait_until_recorded(shared: &Shared, routed: &RoutedRequest, progress: &Progress) {
    if !progress.avoided.is_empty() {
        let fingerprint = routed.fingerprint();
        let recorded = shared
            .crashes
            .wait_until_recorded(&fingerprint, routed.left());
        recorded.await;
    }
}

// Selects a server, outside of the avoided ones if there is one.
async fn choose(
    shared: &Shared,
    routed: &RoutedRequest,
    progress: &Progress,
) -> (PlacementDecision, Option<Place>) {
    if !progress.avoided.is_empty() {
        let avoid = [progress.tried.as_slice(), progress.avoided.as_slice()].concat();
        let selected = server_selection::choose(shared, routed, &avoid).await;
        if matches!(selected.0, PlacementDecision::Send(_)) {
            return selected;
        }
    }
    server_selection::choose(shared, routed, &progress.tried).await
}

pub(super) fn blocked_ms(shared: &Shared, routed: &RoutedRequest) -> Option<u64> {
    let crashes = &shared.crashes;
    crashes.blocked_ms(&routed.trial, || routed.fingerprint())
}

pub(super) fn add_retry_credit(shared: &Shared, routed: &RoutedRequest) {
    let (now, document) = (shared.clock.now(), shared.view.document());
    shared.services.with(now, &document, &routed.service, |s| {
        s.retry_budget.record_request();
    });
}

pub(super) fn has_retry_budget(shared: &Shared, routed: &RoutedRequest) -> bool {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let left = shared.services.with(now, &document, &routed.service, |s| {
        s.retry_budget.left() > 0
    });
    left.unwrap_or(false)
}

pub(super) fn spend_retry(shared: &Shared, routed: &RoutedRequest) -> bool {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let spent = shared.services.with(now, &document, &routed.service, |s| {
        s.retry_budget.try_spend()
    });
    spent.unwrap_or(false)
}
