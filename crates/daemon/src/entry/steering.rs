//! Admission, rate limiting and server selection on the request path.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use indexmap::IndexMap;
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_protocol::report::{LimitReport, ServiceLoad};
use pomelovale_state::document::{Document, MemberState};
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use pomelovale_steering::admission::{AdmissionDecision, RequestEnd, Ticket};
use pomelovale_steering::balancer::EntryInfo;
pub use pomelovale_steering::balancer::ServerLoad;
use pomelovale_steering::entries::{EntryPolicy, EntryRanking, RegionHeadroom};
use pomelovale_steering::server_limit::LimitNotice;
pub use pomelovale_steering::{AttemptEnd, Class};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::config::EntryConfig;
use super::rates::RateLimiter;
use super::refusal::Refusal;
use super::service::{ServiceSteering, WaitResult, Waiter};

/// Attributes of a request that steering depends on.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// Target service.
    pub service: Name,
    /// Workspace; empty on open routes.
    pub workspace: Name,
    /// Request class.
    pub class: Class,
    /// The only region allowed; `None` for any.
    pub region: Option<Name>,
}

/// A backend server chosen for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Its service.
    pub service: Name,
    /// Its name.
    pub server: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its region.
    pub region: Name,
    /// Timeout of the attempt in milliseconds, if another attempt may follow.
    pub attempt: Option<u64>,
}

/// Steering of requests on one entry instance.
#[derive(Debug)]
pub struct EntrySteering {
    config: EntryConfig,
    view: Arc<View>,
    clock: Clock,
    rates: RateLimiter,
    services: RwLock<HashMap<Name, Arc<Mutex<ServiceSteering>>>>,
    ranking: Mutex<EntryRanking>,
    next: std::sync::atomic::AtomicU64,
}

/// Admission of one request; released when dropped.
#[derive(Debug)]
pub struct Permit {
    steering: Arc<EntrySteering>,
    service: Name,
    // `None` for a request that skipped admission on this instance.
    ticket: Option<Ticket>,
    last: Mutex<(AttemptEnd, u64)>,
}

impl Permit {
    fn new(steering: &Arc<EntrySteering>, service: &Name, ticket: Option<Ticket>) -> Permit {
        Permit {
            steering: steering.clone(),
            service: service.clone(),
            ticket,
            last: Mutex::new((AttemptEnd::Cancelled, 0)),
        }
    }

    /// Records the end of the last attempt.
    pub fn record(&self, end: AttemptEnd, latency_ms: u64) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = (end, latency_ms);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        let (end, latency_ms) = *self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.steering.clock.now();
        let ended = RequestEnd {
            ticket,
            end,
            latency_ms,
        };
        self.steering.with_service(&self.service, |s| {
            let next = s.admission.release(now, ended);
            s.notify_admitted(next);
        });
    }
}

/// Result of offering a request for admission.
enum OfferResult {
    Admitted,
    Queued(oneshot::Receiver<WaitResult>),
    Spilled(Name),
}

/// A position in an admission queue; given up if dropped before admission.
struct Place<'a> {
    steering: &'a EntrySteering,
    service: &'a Name,
    ticket: Ticket,
    admitted: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.admitted {
            return;
        }
        self.steering.with_service(self.service, |s| {
            s.waiting.remove(&self.ticket);
            let next = s.admission.cancel(self.ticket);
            s.notify_admitted(next);
        });
    }
}

impl EntrySteering {
    /// Creates steering by the given view. `start` must differ for each start of
    /// the process.
    pub fn new(config: &EntryConfig, view: Arc<View>, clock: Clock, start: u64) -> EntrySteering {
        let limiter_name = Name::from(format!("{}-{start:x}", config.instance));
        EntrySteering {
            config: config.clone(),
            view,
            rates: RateLimiter::new(limiter_name, clock.clone()),
            clock,
            services: RwLock::default(),
            ranking: Mutex::new(EntryRanking::new(EntryPolicy::Headroom)),
            next: start.into(),
        }
    }

    fn service(&self, name: &Name) -> Arc<Mutex<ServiceSteering>> {
        let known = self.services.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(service) = known.get(name) {
            return service.clone();
        }
        drop(known);
        let seed = rand::random();
        let new = || Arc::new(Mutex::new(ServiceSteering::new(&self.config, name, seed)));
        let mut known = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        known.entry(name.clone()).or_insert_with(new).clone()
    }

    fn with_service<T>(&self, name: &Name, run: impl FnOnce(&mut ServiceSteering) -> T) -> T {
        let service = self.service(name);
        let mut steering: MutexGuard<'_, ServiceSteering> =
            service.lock().unwrap_or_else(PoisonError::into_inner);
        let document = self.view.document();
        steering.sync(self.clock.now(), &self.config.instance, &document);
        run(&mut steering)
    }

    /// Requests tokens from the ledger until the task is aborted.
    pub async fn run_rate_limiter(&self, control: ControlHandle) {
        self.rates.run(control).await;
    }

    /// Admits a request if its workspace is within its rate limit.
    pub async fn admit(&self, workspace: &Name) -> Result<(), Refusal> {
        self.rates.admit(workspace).await
    }

    /// Waits up to `limit_ms` for admission. Also returns the region of a request
    /// that is sent to another region instead.
    pub async fn acquire_permit(
        self: &Arc<Self>,
        info: &RequestInfo,
        limit_ms: u64,
    ) -> Result<(Permit, Option<Name>), Refusal> {
        let next = &self.next;
        let ticket = Ticket(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
        let permit = |ticket| Permit::new(self, &info.service, ticket);
        let admitted = match self.offer(info, ticket)? {
            OfferResult::Admitted => return Ok((permit(Some(ticket)), None)),
            OfferResult::Spilled(region) => return Ok((permit(None), Some(region))),
            OfferResult::Queued(admitted) => admitted,
        };
        let mut place = Place {
            steering: self,
            service: &info.service,
            ticket,
            admitted: false,
        };
        let ended = timeout(Millis(limit_ms).duration(), admitted).await;
        match ended {
            Ok(Ok(Ok(region))) => {
                place.admitted = true;
                let ticket = region.is_none().then_some(ticket);
                Ok((permit(ticket), region))
            }
            Ok(Ok(Err(retry_ms))) => Err(overloaded(retry_ms)),
            Ok(Err(_)) => Err(ErrorKind::Overloaded.into()),
            Err(_) => Err(ErrorKind::DeadlineSpent.into()),
        }
    }

    fn offer(&self, info: &RequestInfo, ticket: Ticket) -> Result<OfferResult, Refusal> {
        let now = self.clock.now();
        let (workspace, class) = (&info.workspace, info.class);
        self.with_service(&info.service, |s| {
            let wait = s.admission.expected_or_observed_wait_ms(now, workspace);
            let spilled = match class {
                Class::Deferrable => None,
                _ => s.spill(wait),
            };
            if let Some(region) = spilled {
                return Ok(OfferResult::Spilled(region));
            }
            let verdict = s.admission.offer(now, ticket, workspace, class);
            s.refuse_expired(now);
            match verdict {
                AdmissionDecision::Admitted => Ok(OfferResult::Admitted),
                AdmissionDecision::Refused { retry_after_ms } => Err(overloaded(retry_after_ms)),
                AdmissionDecision::Queued => {
                    let (admit, admitted) = oneshot::channel();
                    s.waiting.insert(
                        ticket,
                        Waiter {
                            admit,
                            since: now,
                            deferrable: class == Class::Deferrable,
                        },
                    );
                    Ok(OfferResult::Queued(admitted))
                }
            }
        })
    }

    /// Refuses requests whose wait has expired, and ends the wait for services that have
    /// lost their last server. Call every few tens of milliseconds.
    pub fn refuse_expired(&self) {
        let (now, document) = (self.clock.now(), self.view.document());
        for service in self.all_services() {
            let mut steering = service.1.lock().unwrap_or_else(PoisonError::into_inner);
            if !steering.waiting.is_empty() {
                steering.sync(now, &self.config.instance, &document);
                steering.admit_if_unserved();
                steering.refuse_expired(now);
            }
        }
    }

    fn all_services(&self) -> Vec<(Name, Arc<Mutex<ServiceSteering>>)> {
        let known = self.services.read().unwrap_or_else(PoisonError::into_inner);
        known.iter().map(|(n, s)| (n.clone(), s.clone())).collect()
    }

    /// Counts an admitted request towards the retry budget and returns the only
    /// region allowed for it, if any. Call once for each request.
    pub fn start_request(&self, service: &Name, spilled: Option<Name>) -> Option<Name> {
        self.with_service(service, |s| {
            s.record_request();
            spilled.or_else(|| s.region())
        })
    }

    /// Chooses a backend server that is not in `tried`. The attempt counts as
    /// outstanding until [`EntrySteering::finish`].
    pub fn choose(&self, now: Millis, info: &RequestInfo, tried: &[Name]) -> Option<Choice> {
        self.with_service(&info.service, |s| {
            s.choose(now, info.class, info.region.as_ref(), tried)
        })
    }

    /// Whether a server still accepts new requests.
    pub fn is_serving(&self, server: &Name) -> bool {
        let document = self.view.document();
        let backend = document.backends.get(server);
        backend.is_some_and(|b| b.state == MemberState::Serving)
    }

    /// Records the end of an attempt that [`EntrySteering::choose`] started.
    pub fn finish(&self, now: Millis, choice: &Choice, end: AttemptEnd, latency_ms: u64) {
        self.with_service(&choice.service, |s| {
            s.finish(now, choice, end, latency_ms);
        });
    }

    /// Records a load report that was requested at `at`.
    pub fn report_load(&self, at: Millis, service: &Name, server: &Name, report: ServerLoad) {
        self.with_service(service, |s| s.report_load(at, server, report));
    }

    /// Records what an answer of a server says about its limit, `spent_ms` milliseconds after
    /// the request was sent. Returns whether a limit has started or ended by it.
    pub fn record_limit(&self, choice: &Choice, spent_ms: u64, notice: LimitNotice) -> bool {
        let now = self.clock.now();
        self.with_service(&choice.service, |s| {
            let sent = now.minus(spent_ms);
            s.balancer.record_limit(now, sent, &choice.server, notice)
        })
    }

    /// Sets the age of the document in milliseconds, and whether it is too old.
    pub fn set_view(&self, age_ms: u64, is_isolated: bool) {
        let now = self.clock.now();
        for (_, service) in self.all_services() {
            let mut steering = service.lock().unwrap_or_else(PoisonError::into_inner);
            steering
                .balancer
                .set_view(now, now.minus(age_ms), is_isolated);
        }
    }

    /// Records that a server wants no requests of this entry for a time in milliseconds.
    /// Returns whether that is new.
    pub fn record_rest(&self, service: &Name, server: &Name, rest_ms: u64) -> bool {
        let now = self.clock.now();
        self.with_service(service, |s| s.balancer.record_rest(now, server, rest_ms))
    }

    /// Records whether a server says that it leaves. Returns whether it does so for the first
    /// time.
    pub fn record_leaving(&self, service: &Name, server: &Name, leaving: bool) -> bool {
        let now = self.clock.now();
        self.with_service(service, |s| s.balancer.record_leaving(now, server, leaving))
    }

    /// Whether a server wants requests of this entry, as far as is known.
    pub fn is_open(&self, service: &Name, server: &Name) -> bool {
        let now = self.clock.now();
        self.with_service(service, |s| s.balancer.is_open(now, server))
    }

    /// If all servers of a service want no requests of this entry, the refusal of one with the
    /// time until the first server does.
    pub fn refuse_if_all_rest(&self, service: &Name) -> Result<(), Refusal> {
        let now = self.clock.now();
        match self.with_service(service, |s| s.balancer.all_rest_ms(now)) {
            Some(retry_ms) => Err(overloaded(retry_ms)),
            None => Ok(()),
        }
    }

    /// Ends all ejections, because this instance itself was their cause.
    pub fn forget_failures(&self) {
        for (_, service) in self.all_services() {
            let mut steering = service.lock().unwrap_or_else(PoisonError::into_inner);
            steering.balancer.forget_failures();
        }
    }

    /// What servers have recently said about their limits.
    pub fn limit_reports(&self) -> Vec<LimitReport> {
        let now = self.clock.now();
        let mut reports = Vec::new();
        for (_, service) in self.all_services() {
            let steering = service.lock().unwrap_or_else(PoisonError::into_inner);
            let notices = steering.balancer.limit_notices(now);
            reports.extend(notices.map(|(server, rate, age_ms)| LimitReport {
                server: server.clone(),
                rate,
                age_ms,
            }));
        }
        reports
    }

    /// Takes one retry from a service's budget, if any is left.
    pub fn try_spend(&self, service: &Name) -> bool {
        self.with_service(service, |s| s.retry_budget.try_spend())
    }

    /// Updates region selection and the entry ranking with new measurements, and
    /// returns these for the report to the leader.
    pub fn measure(&self) -> Vec<ServiceLoad> {
        let now = self.clock.now();
        let document = self.view.document();
        let measure = |(_, service): (Name, Arc<Mutex<ServiceSteering>>)| {
            let mut steering = service.lock().unwrap_or_else(PoisonError::into_inner);
            steering.measure(now, &document)
        };
        let loads: Vec<ServiceLoad> = self.all_services().into_iter().flat_map(measure).collect();
        let headroom = headroom(now, &document, &loads);
        let mut ranking = self.ranking.lock().unwrap_or_else(PoisonError::into_inner);
        ranking.update(now, &headroom);
        loads
    }

    /// Returns the entries in the order in which callers of a network should use
    /// them.
    pub fn rank(
        &self,
        network: u64,
        entries: &[EntryInfo],
        distance_ms: impl Fn(&Name) -> f64,
    ) -> Vec<Name> {
        let ranking = self.ranking.lock().unwrap_or_else(PoisonError::into_inner);
        ranking.rank(network, entries, distance_ms)
    }
}

/// Sums up capacity and load of all services for each region.
fn headroom(now: Millis, document: &Document, loads: &[ServiceLoad]) -> Vec<RegionHeadroom> {
    let mut regions: IndexMap<&Name, RegionHeadroom> = IndexMap::new();
    for load in loads {
        let known = document.regions.get(&load.region);
        let row = regions
            .entry(&load.region)
            .or_insert_with(|| RegionHeadroom {
                region: load.region.clone(),
                capacity: 0.0,
                load: 0.0,
                domains: known.map_or(1, |r| r.domains.len() as u32),
                sampled: now,
            });
        row.capacity += load.slots as f64;
        row.load += load.busy as f64;
        row.sampled = row.sampled.min(now.minus(load.oldest_ms));
    }
    regions.into_values().collect()
}

fn overloaded(retry_ms: u64) -> Refusal {
    let kind = ErrorKind::Overloaded;
    Refusal { kind, retry_ms }
}
