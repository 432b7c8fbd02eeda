//! Reports of crashes that wait until the control instances accept them.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexSet;
use pomelovale_coordination::control::{ControlCall, ControlHandle};
use pomelovale_coordination::view::View;
use pomelovale_state::command::{Applied, Command, CRASH_RECORDS_MAX, QUARANTINE_CRASHES};
use pomelovale_state::document::Digest;
use pomelovale_state::{Clock, ErrorKind, Name};
use pomelovale_transport::pool::Pool;
use pomelovaled::crash::{fingerprint, CrashTimings, CrashTracker, Run};
use pomelovaled::reach::{ProbePath, Reach};
use tokio::time::{sleep, timeout, Instant};

/// Time after which all instances must know that a request ends servers.
const CONTACT_WINDOW: Duration = Duration::from_secs(4);

type Recorded = Arc<Mutex<IndexSet<(Digest, Name)>>>;

/// A tracker, and the crashes that the control instances have recorded. They accept none
/// until they are reachable.
struct Site {
    tracker: Arc<CrashTracker>,
    recorded: Recorded,
    reachable: Arc<AtomicBool>,
    /// A port that refuses connections.
    ended: SocketAddr,
}

impl Site {
    fn start() -> Site {
        let (handle, calls) = ControlHandle::new(1_024);
        let (recorded, reachable) = (Recorded::default(), Arc::<AtomicBool>::default());
        let (log, accepts) = (recorded.clone(), reachable.clone());
        tokio::spawn(async move {
            while let Ok(call) = calls.recv_async().await {
                let ControlCall::Propose(change, reply) = call else {
                    continue;
                };
                if !accepts.load(Ordering::SeqCst) {
                    let _ = reply.send(Err(ErrorKind::NotLeader));
                    continue;
                }
                if let Command::RecordCrash { fingerprint, crash } = change.command {
                    log.lock().unwrap().insert((fingerprint, crash));
                }
                let accepted = Applied::Accepted {
                    version: 0,
                    item: 0,
                };
                let _ = reply.send(Ok(accepted));
            }
        });
        let view = Arc::new(View::default());
        let timings = CrashTimings {
            connect_ms: 400,
            control_ms: 1_000,
            spread_ms: 100,
            trial_ms: 3_000,
        };
        let reach = Arc::new(Reach::new(view.clone(), ProbePath::Routed));
        let tracker = Arc::new(CrashTracker::new(
            "g0".into(),
            view,
            handle,
            Clock::monotonic(),
            timings,
            Arc::new(Pool::default()),
            reach,
        ));
        tokio::spawn(tracker.clone().run());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Site {
            tracker,
            recorded,
            reachable,
            ended: listener.local_addr().unwrap(),
        }
    }

    fn lose_run(&self, fingerprint: Digest, known: u64) {
        self.tracker.abandon(Run {
            fingerprint,
            server: "b0".into(),
            address: self.ended,
            known,
            probe: "/health".into(),
            since: Instant::now(),
            connect_ms: None,
            opened: None,
        });
    }

    /// Loses one run of each request with a server, and waits until that has been counted.
    async fn end_server(&self, requests: impl Iterator<Item = Digest>, known: u64) {
        let requests: Vec<Digest> = requests.collect();
        for request in &requests {
            self.lose_run(*request, known);
        }
        self.tracker.check_abandoned(|_| true);
        for request in requests {
            while self.tracker.last_crash(|| request) == known {
                sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

fn request(n: usize) -> Digest {
    fingerprint(&[format!("/other{n}").as_bytes()], b"")
}

/// Guards against the crashes of a request that are dropped, since servers that ended had more
/// other requests in flight than reports are kept.
#[tokio::test]
async fn request_that_ends_servers_is_recorded_beside_many_others() {
    let site = Site::start();
    let harmful = fingerprint(&[b"/harmful"], b"");
    site.end_server([harmful].into_iter(), 0).await;
    site.end_server((0..2 * CRASH_RECORDS_MAX - 24).map(request), 0)
        .await;
    site.end_server([harmful].into_iter(), 1).await;
    site.reachable.store(true, Ordering::SeqCst);
    let recorded = async {
        let count = || {
            let recorded = site.recorded.lock().unwrap();
            recorded.iter().filter(|(f, _)| *f == harmful).count()
        };
        while count() < QUARANTINE_CRASHES {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(CONTACT_WINDOW, recorded).await.is_ok());
}
