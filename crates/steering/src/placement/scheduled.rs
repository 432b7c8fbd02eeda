//! Placement of requests that a [`crate::scheduler::Scheduler`] has ordered.

use pomelovale_state::{Millis, Name};

use super::choice::{Candidate, FEW_INSTANCES};
use super::{Placement, PlacementDecision, PlacementRequest, Server};
use crate::estimate::Held;
use crate::scheduler::{Estimate, Fit};

/// A server has one place more than slots for this many slots. With the next request
/// there already, a slot is used again as soon as it is free. One place for 4 slots left
/// slots unused, since the reports of servers lag behind their load.
const SLOTS_PER_EXTRA: u32 = 2;

/// A server that has a place for a request.
pub struct Found {
    candidate: Candidate,
    spills: bool,
}

impl Placement {
    /// Whether the servers show that they share their machines with other work, so that
    /// requests are to be ordered.
    pub fn shares_machines(&self, now: Millis) -> bool {
        self.reports_pace(now)
    }

    /// Estimates the placement of a request, without placing it. The server that has a place
    /// for it stays valid until the next call of another method.
    pub fn estimate(
        &mut self,
        now: Millis,
        request: &PlacementRequest,
    ) -> (Estimate, Option<Found>) {
        let allowed = |r: &Name| request.homes.is_empty() || request.homes.contains(r);
        let object_region = self.object_region(request);
        let home = self.region.clone();
        let can_serve = |r: &Name| allowed(r) && self.has_candidate(now, request, r);
        let target = [object_region, home].into_iter().find(|r| can_serve(r));
        let is_target = |r: &Name| match &target {
            Some(region) => r == region,
            None => allowed(r),
        };
        let objective_ms = request.objective_ms as f64;
        let is_on_time = |c: &Candidate| c.expected_ms <= objective_ms;
        let mut spills = false;
        let mut found = self.best_candidate(now, request, &is_target);
        if !found.as_ref().is_some_and(is_on_time) && self.assignment.may_spill() {
            let other = self.best_candidate(now, request, &allowed);
            if let Some(other) = other.filter(is_on_time) {
                spills = true;
                found = Some(other);
            }
        }
        // A request whose server has no place waits for it. Sent elsewhere, it would load its
        // object once more, and the extra work would keep all servers full.
        let has_place = |c: &Candidate| {
            let server = &self.servers[c.index];
            server.state.load(now) + 0.5 <= server.places()
        };
        let fit = match &found {
            Some(best) if !has_place(best) => Fit::Full,
            Some(best) if is_on_time(best) => Fit::OnTime,
            Some(best) if best.idle && best.expected_ms <= request.left_ms as f64 => Fit::Late,
            Some(_) | None => Fit::Full,
        };
        let mean_work = self.mean_work.expected(Held::Known, request.objective_ms);
        let exact = self.instances_beside < FEW_INSTANCES;
        let estimate = match &found {
            Some(best) => {
                let server = &self.servers[best.index];
                let gap_ms = mean_work / f64::from(server.spec.slots.max(1));
                let excess = server.state.load(now) + 1.0 - server.places();
                let wait_ms = excess.max(0.0) * gap_ms;
                Estimate {
                    fit,
                    // The expected latency includes the wait.
                    work_ms: (best.expected_ms - wait_ms).max(1.0),
                    wait_ms,
                    gap_ms,
                    target: server.state.name_hash(),
                    exact,
                }
            }
            None => Estimate {
                fit,
                work_ms: f64::INFINITY,
                wait_ms: 0.0,
                gap_ms: 0.0,
                target: 0,
                exact,
            },
        };
        let candidate = found.filter(|_| fit != Fit::Full);
        (
            estimate,
            candidate.map(|candidate| Found { candidate, spills }),
        )
    }

    /// Places a request on the server that [`Placement::estimate`] has found.
    pub fn place(&mut self, now: Millis, object: u64, found: &Found) -> PlacementDecision {
        self.assignment.record_request();
        if found.spills {
            self.assignment.record_spill();
        }
        self.assign(now, object, &found.candidate)
    }

    /// Counts a request that was rejected.
    pub fn record_refusal(&mut self) {
        self.assignment.record_request();
    }
}

impl Server {
    // Requests that may be in flight there at a time.
    fn places(&self) -> f64 {
        let slots = self.spec.slots.max(1);
        f64::from(slots + slots / SLOTS_PER_EXTRA)
    }
}
