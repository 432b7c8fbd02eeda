//! Every decision that the request path asks for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use indexmap::IndexMap;
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_protocol::report::ServiceLoad;
use pomelovale_state::document::{Document, MemberState};
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use pomelovale_steering::admission::{Ended, Ticket, Verdict};
use pomelovale_steering::balancer::EntryInfo;
pub use pomelovale_steering::balancer::LoadReport;
use pomelovale_steering::entries::{EntryPolicy, EntryRanking, RegionHeadroom};
pub use pomelovale_steering::{AttemptEnd, Class};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::config::EntryConfig;
use super::rates::Rates;
use super::refusal::Refusal;
use super::service::{Admitted, Steering, Waiter};

/// What a decision is about.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The service.
    pub service: Name,
    /// The workspace; empty on open routes.
    pub workspace: Name,
    /// Kind of request.
    pub class: Class,
    /// The only region allowed; any if absent.
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
    /// Time for the attempt in milliseconds, if another one may follow it.
    pub attempt: Option<u64>,
}

/// The decisions of one entry instance.
#[derive(Debug)]
pub struct Decisions {
    config: EntryConfig,
    view: Arc<View>,
    clock: Clock,
    rates: Rates,
    services: RwLock<HashMap<Name, Arc<Mutex<Steering>>>>,
    ranking: Mutex<EntryRanking>,
    next: std::sync::atomic::AtomicU64,
}

/// The right of one request to run; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    decisions: Arc<Decisions>,
    service: Name,
    // None for a request that skipped admission here.
    ticket: Option<Ticket>,
    last: Mutex<(AttemptEnd, u64)>,
}

impl Permit {
    fn new(decisions: &Arc<Decisions>, service: &Name, ticket: Option<Ticket>) -> Permit {
        Permit {
            decisions: decisions.clone(),
            service: service.clone(),
            ticket,
            last: Mutex::new((AttemptEnd::Cancelled, 0)),
        }
    }

    /// Takes note of how the last attempt ended.
    pub fn record(&self, end: AttemptEnd, latency_ms: u64) {
        *self.last.lock().expect("no panic while held") = (end, latency_ms);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        let (end, latency_ms) = *self.last.lock().expect("no panic while held");
        let now = self.decisions.clock.now();
        let ended = Ended {
            ticket,
            end,
            latency_ms,
        };
        self.decisions.with(&self.service, |s| {
            let next = s.admission.release(now, ended);
            s.wake(next);
        });
    }
}

/// What an entry does with a request.
enum Offered {
    Admitted,
    Queued(oneshot::Receiver<Admitted>),
    Spilled(Name),
}

/// A place in a queue; left when dropped before the request is admitted.
struct Place<'a> {
    decisions: &'a Decisions,
    service: &'a Name,
    ticket: Ticket,
    admitted: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.admitted {
            return;
        }
        self.decisions.with(self.service, |s| {
            s.waiting.remove(&self.ticket);
            let next = s.admission.cancel(self.ticket);
            s.wake(next);
        });
    }
}

impl Decisions {
    /// Decisions by the given view. `start` differs for each start of the process.
    pub fn new(config: &EntryConfig, view: Arc<View>, clock: Clock, start: u64) -> Decisions {
        let unique = Name::from(format!("{}-{start:x}", config.instance));
        Decisions {
            config: config.clone(),
            view,
            rates: Rates::new(unique, clock.clone()),
            clock,
            services: RwLock::default(),
            ranking: Mutex::new(EntryRanking::new(EntryPolicy::Headroom)),
            next: start.into(),
        }
    }

    fn service(&self, name: &Name) -> Arc<Mutex<Steering>> {
        let known = self.services.read().expect("no panic while held");
        if let Some(service) = known.get(name) {
            return service.clone();
        }
        drop(known);
        let seed = rand::random();
        let new = || Arc::new(Mutex::new(Steering::new(&self.config, name, seed)));
        let mut known = self.services.write().expect("no panic while held");
        known.entry(name.clone()).or_insert_with(new).clone()
    }

    fn with<T>(&self, name: &Name, run: impl FnOnce(&mut Steering) -> T) -> T {
        let service = self.service(name);
        let mut steering: MutexGuard<'_, Steering> = service.lock().expect("no panic while held");
        let document = self.view.document();
        steering.sync(self.clock.now(), &self.config.instance, &document);
        run(&mut steering)
    }

    /// Asks the ledger for tokens until the task is aborted.
    pub async fn run_rates(&self, control: ControlHandle) {
        self.rates.run(control).await;
    }

    /// Whether a workspace is within its rate.
    pub async fn admit(&self, workspace: &Name) -> Result<(), Refusal> {
        self.rates.admit(workspace).await
    }

    /// Waits for room; `limit_ms` bounds the wait. Also tells the region of a
    /// request that another region takes instead.
    pub async fn enter(
        self: &Arc<Self>,
        subject: &Subject,
        limit_ms: u64,
    ) -> Result<(Permit, Option<Name>), Refusal> {
        let next = &self.next;
        let ticket = Ticket(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
        let permit = |ticket| Permit::new(self, &subject.service, ticket);
        let admitted = match self.offer(subject, ticket)? {
            Offered::Admitted => return Ok((permit(Some(ticket)), None)),
            Offered::Spilled(region) => return Ok((permit(None), Some(region))),
            Offered::Queued(admitted) => admitted,
        };
        let mut place = Place {
            decisions: self,
            service: &subject.service,
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

    fn offer(&self, subject: &Subject, ticket: Ticket) -> Result<Offered, Refusal> {
        let now = self.clock.now();
        let (workspace, class) = (&subject.workspace, subject.class);
        self.with(&subject.service, |s| {
            let wait = s.admission.expected_or_observed_wait(now, workspace);
            let spilled = match class {
                Class::Deferrable => None,
                _ => s.spill(wait),
            };
            if let Some(region) = spilled {
                return Ok(Offered::Spilled(region));
            }
            let verdict = s.admission.offer(now, ticket, workspace, class);
            s.refuse_late(now);
            match verdict {
                Verdict::Admitted => Ok(Offered::Admitted),
                Verdict::Refused { retry_after_ms } => Err(overloaded(retry_after_ms)),
                Verdict::Queued => {
                    let (admit, admitted) = oneshot::channel();
                    s.waiting.insert(
                        ticket,
                        Waiter {
                            admit,
                            since: now,
                            deferrable: class == Class::Deferrable,
                        },
                    );
                    Ok(Offered::Queued(admitted))
                }
            }
        })
    }

    /// Ends waits that are too long. Call every few tens of milliseconds.
    pub fn tick(&self) {
        let now = self.clock.now();
        for service in self.all() {
            let mut steering = service.1.lock().expect("no panic while held");
            if !steering.waiting.is_empty() {
                steering.refuse_late(now);
            }
        }
    }

    fn all(&self) -> Vec<(Name, Arc<Mutex<Steering>>)> {
        let known = self.services.read().expect("no panic while held");
        known.iter().map(|(n, s)| (n.clone(), s.clone())).collect()
    }

    /// Counts an admitted request towards the retry budget and returns the only
    /// region allowed for it, if any. Call once for each request.
    pub fn begin(&self, service: &Name, spilled: Option<Name>) -> Option<Name> {
        self.with(service, |s| {
            s.record_request();
            spilled.or_else(|| s.region())
        })
    }

    /// Chooses a backend server, other than those in `tried`, and counts the
    /// attempt until [`Decisions::finish`].
    pub fn choose(&self, now: Millis, subject: &Subject, tried: &[Name]) -> Option<Choice> {
        self.with(&subject.service, |s| {
            s.choose(now, subject.class, subject.region.as_ref(), tried)
        })
    }

    /// Whether a chosen server still takes new work.
    pub fn may_write(&self, server: &Name) -> bool {
        let document = self.view.document();
        let backend = document.backends.get(server);
        backend.is_some_and(|b| b.state == MemberState::Serving)
    }

    /// Ends an attempt that [`Decisions::choose`] began.
    pub fn finish(&self, now: Millis, choice: &Choice, end: AttemptEnd, latency_ms: u64) {
        self.with(&choice.service, |s| {
            s.finish(now, choice, end, latency_ms);
        });
    }

    /// Takes note of a load report that was asked for at `at`.
    pub fn report_load(&self, at: Millis, service: &Name, server: &Name, report: LoadReport) {
        self.with(service, |s| s.report_load(at, server, report));
    }

    /// Spends one retry of a service's budget.
    pub fn try_spend(&self, service: &Name) -> bool {
        self.with(service, |s| s.budget.try_spend())
    }

    /// Takes new measurements into account and returns them for the leader.
    pub fn measure(&self) -> Vec<ServiceLoad> {
        let now = self.clock.now();
        let document = self.view.document();
        let measure = |(_, service): (Name, Arc<Mutex<Steering>>)| {
            let mut steering = service.lock().expect("no panic while held");
            steering.measure(now, &document)
        };
        let loads: Vec<ServiceLoad> = self.all().into_iter().flat_map(measure).collect();
        let headroom = headroom(now, &document, &loads);
        let mut ranking = self.ranking.lock().expect("no panic while held");
        ranking.update(now, &headroom);
        loads
    }

    /// The entries in the order in which a block of callers should use them.
    pub fn rank(
        &self,
        block: u64,
        entries: &[EntryInfo],
        distance_ms: impl Fn(&Name) -> f64,
    ) -> Vec<Name> {
        let ranking = self.ranking.lock().expect("no panic while held");
        ranking.rank(block, entries, distance_ms)
    }
}

/// Load of each region over all services.
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
