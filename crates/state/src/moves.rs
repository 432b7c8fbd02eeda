//! Moves of services from one region to another, in steps of limited size.

use serde::{Deserialize, Serialize};

use crate::{ErrorKind, Millis, Name};

/// All traffic of a service, in per mille.
pub const FULL_SHARE: u16 = 1_000;

/// One step of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Share of the source region's traffic that is moved once the step is in
    /// force, per mille.
    pub share: u16,
    /// Maximum share that this step may shift, per mille.
    pub cap: u16,
}

/// State of a move.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveState {
    /// Stopped by an operator or by the leader's checks of measurements. Only
    /// `Leave` still changes shares.
    Held,
    /// Steps may be taken.
    #[default]
    Open,
}

/// An operator action on a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveAction {
    /// Puts step `to` in force, which must be the next one.
    Advance {
        /// Index of the step.
        to: usize,
    },
    /// Stops the move at its current step.
    Hold {
        /// Why the move is held.
        reason: String,
    },
    /// Reverts to any lower number of steps at once, because the destination is
    /// failing. Unlike `Reverse`, also allowed while the move is held.
    Leave {
        /// Number of steps in force afterwards.
        to: usize,
    },
    /// Ends a hold.
    Release,
    /// Reverts the last step in force; refused while the move is held.
    Reverse {
        /// Number of steps in force afterwards.
        to: usize,
    },
}

/// A move and its progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Move {
    /// Services that move.
    pub services: Vec<Name>,
    /// Source region.
    pub from: Name,
    /// Destination region.
    pub to: Name,
    /// The steps in order.
    pub steps: Vec<Step>,
    /// Number of steps in force.
    pub done: usize,
    /// Whether it is held.
    pub state: MoveState,
    /// Reason of the hold; empty if the move is not held.
    pub reason: String,
    /// Log time of the last shift, see [`Millis`].
    pub shifted: Millis,
    /// Version of the document at the last shift.
    pub version: u64,
}

impl Move {
    /// A move with no step in force.
    pub fn new(services: Vec<Name>, from: Name, to: Name, steps: Vec<Step>) -> Move {
        Move {
            services,
            from,
            to,
            steps,
            done: 0,
            state: MoveState::Open,
            reason: String::new(),
            shifted: Millis(0),
            version: 0,
        }
    }

    /// Share that is moved now, per mille.
    pub fn share(&self) -> u16 {
        self.share_at(self.done)
    }

    /// Share that is moved with `done` steps in force, per mille.
    pub fn share_at(&self, done: usize) -> u16 {
        match done {
            0 => 0,
            n => self.steps[n - 1].share,
        }
    }

    /// Faults of the plan, each with the index of its step.
    pub fn faults(&self) -> Vec<(usize, String)> {
        let mut faults = Vec::new();
        for (i, step) in self.steps.iter().enumerate() {
            let before = self.share_at(i);
            match step.share {
                s if s > FULL_SHARE => faults.push((i, format!("share {s} is over {FULL_SHARE}"))),
                s if s <= before => faults.push((
                    i,
                    format!("share {s} is not above the share {before} of the previous step"),
                )),
                s if s - before > step.cap => {
                    faults.push((
                        i,
                        format!("shift of {} is over the cap {}", s - before, step.cap),
                    ));
                }
                _ => {}
            }
        }
        faults
    }

    /// Replaces the steps that are not in force yet; the others must be equal.
    pub fn replace_pending_steps(&mut self, steps: Vec<Step>) -> Result<(), (ErrorKind, String)> {
        match steps.get(..self.done) {
            Some(same) if same == &self.steps[..self.done] => self.steps = steps,
            _ => {
                return Err((
                    ErrorKind::MoveHeld,
                    "a step in force can't be changed".to_owned(),
                ))
            }
        }
        Ok(())
    }

    /// Applies an action. Checks it against the plan only, not against
    /// measurements.
    pub fn apply_action(
        &mut self,
        at: Millis,
        version: u64,
        action: &MoveAction,
    ) -> Result<(), (ErrorKind, String)> {
        let refuse = |text: String| Err((ErrorKind::MoveHeld, text));
        match action {
            MoveAction::Advance { .. } | MoveAction::Reverse { .. }
                if self.state == MoveState::Held =>
            {
                return refuse(format!("the move is held: {}", self.reason));
            }
            MoveAction::Advance { to } if *to != self.done || *to >= self.steps.len() => {
                return refuse(format!(
                    "step {to} is not the next step; {} steps are in force",
                    self.done
                ));
            }
            MoveAction::Reverse { to } if *to + 1 != self.done => {
                return refuse(format!(
                    "only the last step in force can be reversed; {} steps are in force",
                    self.done
                ));
            }
            MoveAction::Leave { to } if *to >= self.done => {
                return refuse(format!(
                    "step {to} is not in force; {} steps are in force",
                    self.done
                ));
            }
            MoveAction::Advance { to } => self.shift(at, version, to + 1),
            MoveAction::Hold { reason } => {
                (self.state, self.reason) = (MoveState::Held, reason.clone())
            }
            MoveAction::Leave { to } => self.shift(at, version, *to),
            MoveAction::Release => (self.state, self.reason) = (MoveState::Open, String::new()),
            MoveAction::Reverse { to } => self.shift(at, version, *to),
        }
        Ok(())
    }

    fn shift(&mut self, at: Millis, version: u64, done: usize) {
        (self.done, self.shifted, self.version) = (done, at, version);
    }
}
