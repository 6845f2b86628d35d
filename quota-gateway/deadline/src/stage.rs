//! The stages of a request's life, and how long a request spent in each.
//!
//! A budget is in exactly one [`Stage`] at a time, so the times in [`StageTimes`] never overlap and add up to
//! the time since the request began.

use std::time::Duration;

/// A phase of a request, to which the time spent in it is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The request waits in the operating system: its connection is not yet accepted, or the gateway is busy.
    Unread,
    /// Its head and body are arriving. By the protocol the client's timeout starts at the last byte, so this
    /// stage does not count against the timeout.
    Read,
    /// It waits for a server, before the first attempt or between two.
    Waiting,
    /// A connection to a server is being established.
    Connect,
    /// A server is processing it.
    Attempt,
    /// Its response is being written to the client.
    Write,
}

impl Stage {
    /// All stages, in the order of their numbers.
    pub const ALL: [Stage; 6] =
        [Stage::Unread, Stage::Read, Stage::Waiting, Stage::Connect, Stage::Attempt, Stage::Write];

    /// The value of the metric label `stage`.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Unread => "unseen",
            Stage::Read => "read",
            Stage::Waiting => "waiting",
            Stage::Connect => "connect",
            Stage::Attempt => "attempt",
            Stage::Write => "write",
        }
    }
}

/// The time that a request spent in each stage. A stage that it never entered is distinct from one that took
/// no time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageTimes([Option<Duration>; Stage::ALL.len()]);

impl StageTimes {
    /// The time spent in `stage`; zero if the request never entered it.
    pub fn of(&self, stage: Stage) -> Duration {
        self.0[stage as usize].unwrap_or_default()
    }

    /// The stages that the request entered, with the time spent in each.
    pub fn stages(&self) -> impl Iterator<Item = (Stage, Duration)> + '_ {
        Stage::ALL.into_iter().filter_map(|stage| Some((stage, self.0[stage as usize]?)))
    }

    /// The part of the client's timeout that was used before the response was decided.
    pub fn charged(&self) -> Duration {
        [Stage::Unread, Stage::Waiting, Stage::Connect, Stage::Attempt]
            .map(|stage| self.of(stage))
            .iter()
            .sum()
    }

    /// Adds to the time of `stage`.
    pub(crate) fn add(&mut self, stage: Stage, elapsed: Duration) {
        *self.0[stage as usize].get_or_insert_default() += elapsed;
    }

    /// Subtracts from the time of `stage`, down to zero. Has no effect on a stage that was not entered.
    pub(crate) fn subtract(&mut self, stage: Stage, excess: Duration) {
        let spent = &mut self.0[stage as usize];
        *spent = spent.map(|spent| spent.saturating_sub(excess));
    }
}
