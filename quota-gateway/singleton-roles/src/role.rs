//! The state machine of one role at one candidate: it requests the lock, owns the role, and releases the
//! lock.
//!
//! The work starts only after the lock was granted, and ends before the lock is released. If the work
//! continues after the lock was lost, the coordination service fences its writes.

use std::time::Duration;

/// An instant of the candidate's monotonic clock.
pub type Now = Duration;

/// Time within which the work must finish when the role is assigned to another candidate. After this time the
/// work is aborted and the lock released, and late publications are fenced.
pub const FINISH_TIMEOUT: Duration = Duration::from_secs(3);

/// The state of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The candidate does not own the role and does not request it.
    Idle,
    /// The candidate waits in the queue of the lock.
    AwaitingLock,
    /// The candidate owns the role under this fencing token.
    Owning(u64),
    /// The work under this fencing token is finishing. The lock is released at this instant at the latest.
    Finishing(u64, Now),
}

/// An event at a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Whether the newest view assigns the role to this candidate.
    Assigned(bool),
    /// The lock was acquired under this fencing token.
    Granted(u64),
    /// The request for the lock failed.
    NotGranted,
    /// The lock may no longer be valid.
    LockLost,
    /// The work has ended.
    WorkEnded,
    /// Periodic event, so that timeouts are checked.
    Tick,
}

/// An action that the candidate must perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request the lock.
    RequestLock,
    /// Start the work under this fencing token.
    StartWork(u64),
    /// Signal the work to finish.
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

    /// Handles an event, and returns the actions to perform, in order.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        if let Event::Assigned(is_assigned) = event {
            self.is_assigned = is_assigned;
        }
        match (self.state, event) {
            (State::Idle, Event::Assigned(true)) => self.enter(State::AwaitingLock, &[Action::RequestLock]),
            (State::AwaitingLock, Event::Granted(token)) if self.is_assigned => {
                self.enter(State::Owning(token), &[Action::StartWork(token)])
            }
            // The lock was granted too late: the role is now assigned to another candidate.
            (State::AwaitingLock, Event::Granted(_)) => self.enter(State::Idle, &[Action::ReleaseLock]),
            (State::AwaitingLock, Event::NotGranted) if self.is_assigned => vec![Action::RequestLock],
            (State::AwaitingLock, Event::NotGranted) => self.enter(State::Idle, &[]),
            (State::Owning(token), Event::Assigned(false)) => {
                self.enter(State::Finishing(token, now + FINISH_TIMEOUT), &[Action::FinishWork])
            }
            (State::Owning(_), Event::LockLost) => self.leave(&[Action::AbortWork]),
            // The work also ends when one of its publications was fenced: another candidate has or will get
            // the lock.
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

    /// Leaves the role. Requests the lock again if the role is still assigned to this candidate.
    fn leave(&mut self, actions: &[Action]) -> Vec<Action> {
        self.state = if self.is_assigned { State::AwaitingLock } else { State::Idle };
        let request = self.is_assigned.then_some(Action::RequestLock);
        actions.iter().copied().chain(request).collect()
    }
}
