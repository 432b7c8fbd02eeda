//! Checks of the servers of runs that were lost, and the crashes that they show.

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use pomelovale_state::document::MemberState;
use pomelovale_state::{Millis, Name};
use tokio::time::{timeout, Instant};

use super::check::Sign;
use super::runs::ABANDONED_RUN_MS;
use super::{CrashTracker, Run, RunLoss};
use crate::reach::State;

/// Shortest time without a response after which a server is checked, in milliseconds.
pub const SILENCE_CHECK_MS: u64 = 1_000;
/// Longest wait for the result of a check before the run is retried, in milliseconds.
const CHECK_WAIT_MS: u64 = 300;

/// What a check of the server of a lost run has found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerCheck {
    /// The process has ended, or will not answer any more.
    pub ended: bool,
    /// The server can't be used until it is back.
    pub down: bool,
}

impl CrashTracker {
    /// Checks whether the server of a run that was lost has ended, and records the crash.
    /// Completes also if the returned future is dropped, and if the result takes longer than
    /// a retry should wait for it, or than the time `left` until the answer is due.
    pub async fn check(self: &Arc<Self>, run: Run, left: Duration) -> ServerCheck {
        self.lock().add_cut(run.address);
        let tracker = self.clone();
        let check = tokio::spawn(async move { tracker.check_lost(run, RunLoss::Cut).await });
        let limit = Millis(CHECK_WAIT_MS).duration().min(left);
        match timeout(limit, check).await {
            Ok(Ok(found)) => found,
            Ok(Err(_)) | Err(_) => ServerCheck::default(),
        }
    }

    /// Checks the server of a run that has been silent for a long time, unless that is
    /// being done already.
    pub fn check_silent(self: &Arc<Self>, run: Run) {
        let quiet = !self.heard_since(run.address, run.since);
        if !quiet || !self.lock().checking.insert(run.address) {
            return;
        }
        let tracker = self.clone();
        tokio::spawn(async move {
            let address = run.address;
            tracker.check_lost(run, RunLoss::Silent).await;
            tracker.lock().checking.swap_remove(&address);
        });
    }

    /// Awaits the answer to a run, and checks its server if that takes long.
    pub async fn watch<T>(self: &Arc<Self>, run: &Run, answer: impl Future<Output = T>) -> T {
        let mut answer = std::pin::pin!(answer);
        let limit = Millis(SILENCE_CHECK_MS).duration();
        match timeout(limit, &mut answer).await {
            Ok(answered) => answered,
            Err(_) => {
                self.check_silent(run.clone());
                answer.await
            }
        }
    }

    async fn check_lost(self: &Arc<Self>, run: Run, loss: RunLoss) -> ServerCheck {
        let start = Instant::now();
        let sign = self.find_sign(&run, loss).await;
        let confirmed = !sign.is_end() || self.reach.confirm(sign.link_fault(), start).await;
        metrics::counter!("crash_checks_total", "sign" => sign.label()).increment(1);
        tracing::info!(event = "server-checked", server = %run.server, loss = ?loss,
            sign = sign.label(), confirmed);
        if !confirmed {
            self.abandon(run);
            return ServerCheck::default();
        }
        match sign.is_end() {
            true => self.record_end(run, sign, start),
            // Another run may show that the server has ended.
            false if sign == Sign::Full => self.abandon(run),
            false => {}
        }
        ServerCheck {
            ended: sign.is_end(),
            down: sign.is_down(),
        }
    }

    // Records the crash of a server under a run, and under the others that it has taken
    // with it: those that were in flight before `start`, unless the server has closed its
    // port, since they may still be answered then.
    fn record_end(&self, run: Run, sign: Sign, start: Instant) {
        let mut inner = self.lock();
        let address = run.address;
        let (lost, rest): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut inner.abandoned)
            .into_iter()
            .partition(|(_, r)| r.address == address);
        inner.abandoned = rest;
        let now = self.clock.now();
        let lost = lost.into_iter();
        let recent = lost.filter(|(at, _)| now.since(*at) < ABANDONED_RUN_MS);
        let mut runs: Vec<Run> = recent.map(|(_, run)| run).collect();
        if !sign.is_down() {
            let lost = |r: &&Run| r.address == address && r.since <= start;
            let in_flight = inner.running.values().filter(lost);
            runs.extend(in_flight.cloned());
        }
        drop(inner);
        runs.push(run);
        runs.iter().for_each(|run| self.record_crash(run, sign));
    }

    /// Checks the servers of abandoned runs that may have crashed: those in state
    /// `Away`, and those for which `is_suspect` holds.
    pub fn check_abandoned(self: &Arc<Self>, is_suspect: impl Fn(&Name) -> bool) {
        let (now, document) = (self.clock.now(), self.view.document());
        let is_away = |name: &Name| {
            let backend = document.backends.get(name);
            backend.is_some_and(|b| b.state == MemberState::Away)
        };
        let mut inner = self.lock();
        if inner.abandoned.is_empty() || self.reach.state() != State::Reached {
            return;
        }
        let all = std::mem::take(&mut inner.abandoned).into_iter();
        let recent = all.filter(|(at, _)| now.since(*at) < ABANDONED_RUN_MS);
        let (suspect, rest): (VecDeque<_>, VecDeque<_>) =
            recent.partition(|(_, run)| is_away(&run.server) || is_suspect(&run.server));
        inner.abandoned = rest;
        drop(inner);
        let mut by_address: IndexMap<SocketAddr, Vec<Run>> = IndexMap::new();
        for (_, run) in suspect {
            by_address.entry(run.address).or_default().push(run);
        }
        for mut runs in by_address.into_values() {
            let tracker = self.clone();
            tokio::spawn(async move {
                let (first, start) = (runs.swap_remove(0), Instant::now());
                let sign = tracker.find_sign(&first, RunLoss::Abandoned).await;
                let reach = &tracker.reach;
                if sign.is_end() && reach.confirm(sign.link_fault(), start).await {
                    runs.push(first);
                    runs.iter().for_each(|run| tracker.record_crash(run, sign));
                }
            });
        }
    }
}
