//! Signs that the process of a backend server has ended under a run.
//!
//! A port that refuses connections is the plainest sign, but a relay or a supervisor in
//! front of a server may keep its port open. A server with too many connections closes
//! new ones as well, and an overloaded one answers late, so that these signs count only
//! if the server shows no life on any connection of this instance.

use std::sync::Arc;
use std::time::Duration;

use pomelovale_state::Millis;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use super::{CrashTracker, Run};
use crate::reach::{look_at_port, probe, LinkFault, Port, Reaction, SETTLE_MS};

/// Pauses before each look at a port that closes connections, in milliseconds.
const CLOSING_PAUSES_MS: [u64; 3] = [0, 50, 100];
/// Time within which connections are lost together if their process ends, in
/// milliseconds.
const TOGETHER_MS: u64 = 100;
/// Time after which a connection is not closed any more for a reason that lies before a
/// request was sent on it, in milliseconds: longer than a round trip.
const LASTING_MS: u64 = 250;
/// Time without an answer after which a server that accepts connections counts as hung,
/// in milliseconds: at least that long since the run began, and since it was probed. A
/// server that is merely overloaded answers some requests in that time.
const HUNG_MS: (u64, u64) = (1_500, 1_000);

/// What happened to a run that ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunLoss {
    /// Its connection was closed by this instance.
    Abandoned,
    /// Its connection was closed by the server.
    Cut,
    /// Nothing has been received for a long time.
    Silent,
}

/// What a server shows after a run was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sign {
    /// It answers.
    Answers,
    /// It closes new connections, and may only have too many of them, or nothing is known.
    Full,
    /// Its port refuses connections.
    Refuses,
    /// It closes new connections after it has closed one with a request at work.
    Closes,
    /// It has closed all connections at once, or one on which it had been silent.
    Restarted,
    /// It accepts connections and stays silent.
    Hangs,
    /// Connections can't be established.
    Unreachable,
}

impl Sign {
    pub(super) fn label(self) -> &'static str {
        match self {
            Sign::Answers => "answers",
            Sign::Full => "full",
            Sign::Refuses => "refuses",
            Sign::Closes => "closes",
            Sign::Restarted => "restarted",
            Sign::Hangs => "hangs",
            Sign::Unreachable => "unreachable",
        }
    }

    /// Whether the process has ended, or will not answer any more.
    pub(super) fn is_end(self) -> bool {
        !matches!(self, Sign::Answers | Sign::Full)
    }

    /// The failure that another server has to confirm.
    pub(super) fn link_fault(self) -> LinkFault {
        match self {
            Sign::Hangs | Sign::Unreachable => LinkFault::Silent,
            Sign::Answers | Sign::Full | Sign::Refuses | Sign::Closes | Sign::Restarted => {
                LinkFault::Closed
            }
        }
    }

    /// Whether the server can't be used until it is back.
    pub(super) fn is_down(self) -> bool {
        matches!(self, Sign::Refuses | Sign::Closes)
    }
}

impl Run {
    // Whether the server had begun to work on the request. A server with too many
    // connections closes a new one about a round trip after it was opened.
    fn was_at_work(&self, lost: Instant) -> bool {
        let age = lost.saturating_duration_since(self.since);
        self.connect_ms
            .is_none_or(|ms| age > Millis(ms + SETTLE_MS).duration())
    }
}

impl CrashTracker {
    /// Looks for signs that the server of a lost run has ended.
    pub(super) async fn find_sign(self: &Arc<Self>, run: &Run, loss: RunLoss) -> Sign {
        let lost = Instant::now();
        let quiet_since = match loss {
            RunLoss::Cut => lost,
            RunLoss::Abandoned | RunLoss::Silent => run.since,
        };
        let limit = Millis(self.timings.connect_ms).duration();
        if loss == RunLoss::Cut && !run.was_at_work(lost) {
            return match look_at_port(run.address, limit).await {
                Port::Refuses => Sign::Refuses,
                Port::Closes | Port::Unreachable => Sign::Full,
                Port::Open(stream) => {
                    let sign = self.probe_open_port(run, stream, quiet_since).await;
                    sign.unwrap_or(Sign::Full)
                }
            };
        }
        let mut unreachable = 0;
        for pause_ms in CLOSING_PAUSES_MS {
            sleep(Millis(pause_ms).duration()).await;
            let stream = match look_at_port(run.address, limit).await {
                Port::Refuses => return Sign::Refuses,
                Port::Closes => continue,
                Port::Unreachable => {
                    unreachable += 1;
                    continue;
                }
                Port::Open(stream) => stream,
            };
            if loss == RunLoss::Cut && self.lost_all_connections(run, lost) {
                return Sign::Restarted;
            }
            if let Some(sign) = self.probe_open_port(run, stream, quiet_since).await {
                return sign;
            }
        }
        match loss {
            // After a connection was closed by the server, another one that is open shows life.
            RunLoss::Cut if self.pool.connections(run.address).open > 0 => Sign::Answers,
            _ if self.heard_since(run.address, lost) => Sign::Answers,
            _ if unreachable == CLOSING_PAUSES_MS.len() => Sign::Unreachable,
            // The connection of the run is still open.
            RunLoss::Silent => Sign::Full,
            RunLoss::Abandoned | RunLoss::Cut => Sign::Closes,
        }
    }

    // What a server shows on a new connection that stays open; `None` if it closes that once
    // it is probed.
    async fn probe_open_port(
        &self,
        run: &Run,
        mut stream: TcpStream,
        quiet_since: Instant,
    ) -> Option<Sign> {
        if self.heard_since(run.address, quiet_since) {
            return Some(Sign::Answers);
        }
        if self.reach.is_resting(run.address) {
            return Some(Sign::Full);
        }
        let opened = Instant::now();
        let reaction = probe(&mut stream, &run.probe, hung_limit(run)).await;
        let lasting = Millis(LASTING_MS).duration();
        match reaction {
            Reaction::Answers => {
                self.reach.record_answer(Some(opened));
                Some(Sign::Answers)
            }
            _ if self.heard_since(run.address, quiet_since) => Some(Sign::Answers),
            Reaction::Silent => Some(Sign::Hangs),
            Reaction::ClosesAfter(time) if time >= lasting => Some(Sign::Restarted),
            Reaction::ClosesAfter(_) => None,
        }
    }

    // Whether all connections of this instance to the server were lost with that of the
    // run, which was not the only one.
    fn lost_all_connections(&self, run: &Run, lost: Instant) -> bool {
        let idle = self.pool.connections(run.address);
        let together = Millis(TOGETHER_MS).duration();
        let inner = self.lock();
        let same = |other: &&Run| other.address == run.address;
        let in_flight = inner.running.values().filter(same).count();
        let cut = inner.cuts.iter().filter(|(at, address)| {
            let apart = (*at).max(lost).duration_since(lost.min(*at));
            *address == run.address && apart <= together
        });
        // The run's own cut is among them.
        let others = cut.count().saturating_sub(1);
        let lasted = lost.saturating_duration_since(run.since) >= Millis(LASTING_MS).duration();
        let more = others > 0 || lasted && idle.closed > 0;
        idle.open == 0 && in_flight == 0 && more
    }
}

// Time for which a probe waits before its server counts as hung.
fn hung_limit(run: &Run) -> Duration {
    let (total_ms, probe_ms) = HUNG_MS;
    let left = Millis(total_ms)
        .duration()
        .saturating_sub(run.since.elapsed());
    left.max(Millis(probe_ms).duration())
}
