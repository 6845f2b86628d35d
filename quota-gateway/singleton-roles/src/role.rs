//! The state machine of one role at one candidate: requesting its lock, owning it, and releasing it in order.
//!
//! Work starts only with a granted lock, and ends before the lock is released; work that outlives its lock is fenced by the
//! coordination service.

use std::time::Duration;

/// An instant of the monotonic clock of the candidate.
pub type Now = Duration;

/// Time in which the work must finish when the role goes to another candidate. Then the lock is released all the same, and late
/// publications are fenced.
pub const FINISH_TIMEOUT: Duration = Duration::from_secs(3);

/// The state of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Neither owns the role nor requests it.
    Idle,
    /// Waits in the queue of the lock.
    AwaitingLock,
    /// Owns the role under this fencing token.
    Owning(u64),
    /// The work under this token finishes; the lock is released by this instant.
    Finishing(u64, Now),
}

/// An event at a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Whether the role is assigned to this candidate, by the newest view.
    Assigned(bool),
    /// The lock was acquired under this fencing token.
    Granted(u64),
    /// The request for the lock failed.
    NotGranted,
    /// The lock is no longer known to be valid.
    LockLost,
    /// The work has ended.
    WorkEnded,
    /// Time passes.
    Tick,
}

/// What a candidate must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request the lock.
    RequestLock,
    /// Start the work under this fencing token.
    StartWork(u64),
    /// Ask the work to finish and end.
    FinishWork,
    /// Abort the work.
    AbortWork,
    /// Release the lock.
    ReleaseLock,
}

/// One role at one candidate.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    state: State,
    is_assigned: bool,
}

impl Default for Role {
    fn default() -> Role {
        Role { state: State::Idle, is_assigned: false }
    }
}

impl Role {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Handles an event, and returns the actions in their order.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        if let Event::Assigned(wanted) = event {
            self.is_assigned = wanted;
        }
        match (self.state, event) {
            (State::Idle, Event::Assigned(true)) => self.enter(State::AwaitingLock, &[Action::RequestLock]),
            (State::AwaitingLock, Event::Granted(token)) if self.is_assigned => {
                self.enter(State::Owning(token), &[Action::StartWork(token)])
            }
            // The grant came too late: the role is assigned to another candidate by now.
            (State::AwaitingLock, Event::Granted(_)) => self.enter(State::Idle, &[Action::ReleaseLock]),
            (State::AwaitingLock, Event::NotGranted) if self.is_assigned => vec![Action::RequestLock],
            (State::AwaitingLock, Event::NotGranted) => self.enter(State::Idle, &[]),
            (State::Owning(token), Event::Assigned(false)) => {
                self.enter(State::Finishing(token, now + FINISH_TIMEOUT), &[Action::FinishWork])
            }
            (State::Owning(_), Event::LockLost) => self.leave(&[Action::AbortWork]),
            // Work ends by itself when a publication of its was fenced: another candidate has the lock, or will have it.
            (State::Owning(_) | State::Finishing(..), Event::WorkEnded) => self.leave(&[Action::ReleaseLock]),
            (State::Finishing(..), Event::LockLost) => self.leave(&[Action::AbortWork]),
            (State::Finishing(_, deadline), Event::Tick) if now >= deadline => {
                self.leave(&[Action::AbortWork, Action::ReleaseLock])
            }
            _ => Vec::new(),
        }
    }

    fn enter(&mut self, state: State, actions: &[Action]) -> Vec<Action> {
        self.state = state;
        actions.to_vec()
    }

    /// Leaves the role, and requests the lock again while the role is assigned.
    fn leave(&mut self, actions: &[Action]) -> Vec<Action> {
        self.state = if self.is_assigned { State::AwaitingLock } else { State::Idle };
        let request = self.is_assigned.then_some(Action::RequestLock);
        actions.iter().copied().chain(request).collect()
    }
}
