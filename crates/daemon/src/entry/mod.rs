//! The entry role: accepts requests of callers and forwards them to backend servers.

pub mod config;
pub mod forward;
pub mod intent;
pub mod keys;
pub mod list;
pub mod pipeline;
pub mod poll;
pub mod rates;
pub mod refusal;
pub mod relaying;
pub mod service;
pub mod steering;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_protocol::header_names::HeaderNames;
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::document::{Instance, MemberState};
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use pomelovale_transport::http_server::{Handler, Server};
use pomelovale_transport::pool::Pool;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;

use config::EntryConfig;
use steering::EntrySteering;

use crate::crash::{CrashTimings, CrashTracker};
use crate::reach::{ProbePath, Reach};
use crate::relay::{RelayConfig, Relays};
use crate::tasks::has_panicked;

// Attempts to report that this instance leaves, and the pause between them. The
// retries must outlast the election of a new leader, which takes about 2 s.
const LEAVE_ATTEMPTS: usize = 5;
const LEAVE_RETRY_MS: u64 = 500;

/// State shared by all requests of an entry instance.
#[derive(Debug)]
pub struct Shared {
    config: EntryConfig,
    view: Arc<View>,
    control: ControlHandle,
    clock: Clock,
    steering: Arc<EntrySteering>,
    pool: Arc<Pool>,
    header_names: HeaderNames,
    crashes: Arc<CrashTracker>,
    reach: Arc<Reach>,
    relays: Arc<Relays>,
    leaving: AtomicBool,
    held: AtomicUsize,
    // Random for each start of the process, so that identifiers never repeat.
    start: u64,
    seq: AtomicU64,
    task_guard: mpsc::WeakSender<()>,
}

impl Shared {
    /// Returns an identifier that is unique across instances and restarts.
    fn unique_id(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{seq:x}", self.config.instance, self.start)
    }

    /// Proposes a command and waits at most `control_ms` for its result.
    async fn propose(&self, command: Command) -> Result<Applied, ErrorKind> {
        let change = Change {
            request: Name::from(self.unique_id()),
            sender: self.config.instance.clone(),
            base: None,
            at: Millis(0),
            command,
        };
        let limit = Millis(self.config.control_ms).duration();
        let proposed = timeout(limit, self.control.propose(change));
        proposed.await.unwrap_or(Err(ErrorKind::Unavailable))
    }

    /// Sets the state of this instance to `Away`, so that callers are no longer
    /// sent to it. The state `Leaving`, which an operator's drain sets, is kept,
    /// so that the next start does not end the drain.
    async fn leave(&self) {
        let name = &self.config.instance;
        let document = self.view.document();
        let drained = |i: &Instance| i.state == MemberState::Leaving;
        if document.instances.get(name).is_some_and(drained) {
            return;
        }
        let mut left = Err(ErrorKind::Unavailable);
        for _ in 0..LEAVE_ATTEMPTS {
            left = self
                .propose(Command::SetInstance {
                    name: name.clone(),
                    state: MemberState::Away,
                })
                .await;
            if left.is_ok() {
                break;
            }
            tokio::time::sleep(Millis(LEAVE_RETRY_MS).duration()).await;
        }
        if !matches!(left, Ok(Applied::Accepted { .. })) {
            log::warn!("{name}: could not record the state `Away`: {left:?}");
        }
    }

    /// How long a stop waits for connections. All requests are answered by the longest
    /// timeout of a service; the rest of the time is for callers to take the responses.
    fn stop_limit(&self) -> Duration {
        let document = self.view.document();
        let timeouts = document.services.values().map(|s| s.timeout_ms);
        let longest = timeouts.max().unwrap_or(0);
        Millis(longest.saturating_add(self.config.unread_ms)).duration()
    }

    /// Spawns a task that a graceful stop waits for.
    fn spawn<F>(self: &Arc<Self>, task: F) -> JoinHandle<F::Output>
    where
        F: std::future::Future<Output: Send> + Send + 'static,
    {
        let guard = self.task_guard.upgrade();
        tokio::spawn(async move {
            let output = task.await;
            drop(guard);
            output
        })
    }
}

/// Starts the entry role.
#[derive(Clone, Copy, Debug)]
pub struct Entry;

impl Entry {
    /// Binds the address for callers and starts to serve requests.
    pub async fn start(
        config: EntryConfig,
        view: Arc<View>,
        control: ControlHandle,
        clock: Clock,
    ) -> Result<EntryHandle, Report<ErrorKind>> {
        let listener = TcpListener::bind(config.listen)
            .await
            .change_context(ErrorKind::BadSettings)
            .attach_with(|| format!("can't listen on {}", config.listen))?;
        let (task_guard, done) = mpsc::channel(1);
        let start = rand::random();
        let pool = Arc::new(Pool::default());
        let reach = Arc::new(Reach::new(
            view.clone(),
            ProbePath::Fixed(poll::PATH.into()),
        ));
        let crashes = CrashTracker::new(
            config.instance.clone(),
            view.clone(),
            control.clone(),
            clock.clone(),
            CrashTimings {
                connect_ms: config.connect_ms,
                control_ms: config.control_ms,
                spread_ms: config.spread_ms,
                trial_ms: config.trial_ms,
            },
            pool.clone(),
            reach.clone(),
        );
        let relays = Relays::new(relay_config(&config));
        let steering = EntrySteering::new(&config, view.clone(), clock.clone(), start);
        let shared = Arc::new(Shared {
            steering: Arc::new(steering),
            config,
            view,
            control,
            clock,
            pool,
            header_names: HeaderNames::default(),
            crashes: Arc::new(crashes),
            reach,
            relays: Arc::new(relays),
            leaving: AtomicBool::new(false),
            held: AtomicUsize::new(0),
            start,
            seq: AtomicU64::new(0),
            task_guard: task_guard.downgrade(),
        });
        let handler_shared = shared.clone();
        let handler: Handler = Arc::new(move |request, caller| {
            let shared = handler_shared.clone();
            Box::pin(pipeline::answer(shared, request, caller))
        });
        let limits = shared.config.server.clone();
        let server =
            Server::start(listener, limits, handler).change_context(ErrorKind::BadSettings)?;
        let (timeout_shared, limiter_shared) = (shared.clone(), shared.clone());
        let mut background_tasks = JoinSet::new();
        background_tasks.spawn(poll::run(shared.clone()));
        background_tasks.spawn(shared.crashes.clone().run());
        background_tasks.spawn(shared.crashes.clone().watch_runs());
        background_tasks.spawn(shared.reach.clone().watch_contact());
        background_tasks.spawn(poll::follow_reach(shared.clone()));
        background_tasks.spawn(async move { poll::run_queue_timeouts(&timeout_shared).await });
        background_tasks.spawn(async move {
            let control = limiter_shared.control.clone();
            limiter_shared.steering.run_rate_limiter(control).await;
        });
        Ok(EntryHandle {
            shared,
            server,
            background_tasks,
            task_guard,
            done,
        })
    }
}

fn relay_config(config: &EntryConfig) -> RelayConfig {
    RelayConfig {
        instance: config.instance.clone(),
        region: config.region.clone(),
        header_names: HeaderNames::default(),
        connect_ms: config.connect_ms,
        answer_bytes: config.answer_bytes,
        pause_ms: config.pause_ms,
    }
}

/// A running entry role.
#[derive(Debug)]
pub struct EntryHandle {
    shared: Arc<Shared>,
    server: Server,
    background_tasks: JoinSet<()>,
    task_guard: mpsc::Sender<()>,
    done: mpsc::Receiver<()>,
}

impl EntryHandle {
    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the part of the entry role that has ended although it isn't stopping, if
    /// any.
    pub fn ended_part(&mut self) -> Option<&'static str> {
        match () {
            () if has_panicked(&mut self.background_tasks) => Some("a task of the entry role"),
            () if !self.server.is_running() => Some("the listener for callers"),
            () => None,
        }
    }

    /// Removes the instance from the entry list, keeps serving until callers'
    /// copies of the list have expired, completes requests in flight and stops. Callers
    /// that take their responses too slowly don't hold it up.
    pub async fn stop(mut self) {
        let config = &self.shared.config;
        self.shared.leaving.store(true, Ordering::Relaxed);
        log::info!("{}: leaving the entry list", config.instance);
        // Reported first, since the leader sets an instance back to serving if its
        // last report says that it serves.
        poll::report(&self.shared);
        self.shared.leave().await;
        let window = Millis(config.list_ms + config.spread_ms);
        tokio::time::sleep(window.duration()).await;
        if timeout(self.shared.stop_limit(), self.server.stop())
            .await
            .is_err()
        {
            log::warn!(
                "{}: closing connections whose callers have not taken their responses",
                self.shared.config.instance
            );
        }
        drop(self.task_guard);
        let _ = self.done.recv().await;
        let limit = Millis(self.shared.config.control_ms).duration();
        self.shared.crashes.flush(limit).await;
        self.background_tasks.shutdown().await;
        log::info!("{}: stopped", self.shared.config.instance);
    }
}
