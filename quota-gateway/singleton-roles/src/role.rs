//! One duty at one candidate: wishing for its lock, owning it, and giving it back in order.

use std::time::Duration;

pub type Now = Duration;

/// The work has this long to finish what it began when the duty is to go to another; then the lock is given back all the same, and
/// what comes late is fenced.
pub const FINISH: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Idle,
    /// In the lock's queue.
    Wishing,
    /// Acts under this token.
    Owning(u64),
    /// Finishes, to give the lock back by then.
    Finishing(u64, Now),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Whether this candidate should own it, by the newest view.
    Wanted(bool),
    /// The lock is held.
    Granted(u64),
    /// The wish came to nothing.
    NotGranted,
    /// The lock can no longer be shown to be held.
    Lost,
    /// The work has ended.
    Ended,
    /// Time passes.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    RequestLock,
    /// The work begins under this token.
    Begin(u64),
    /// The work is to finish and end.
    Finish,
    /// The work is ended where it stands.
    Abort,
    GiveBack,
}

#[derive(Clone, Copy, Debug)]
pub struct Role {
    state: State,
    wanted: bool,
}

impl Default for Role {
    fn default() -> Role {
        Role { state: State::Idle, wanted: false }
    }
}

impl Role {
    pub fn state(&self) -> State {
        self.state
    }

    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        if let Event::Wanted(wanted) = event {
            self.wanted = wanted;
        }
        match (self.state, event) {
            (State::Idle, Event::Wanted(true)) => self.enter(State::Wishing, &[Action::RequestLock]),
            (State::Wishing, Event::Granted(token)) if self.wanted => {
                self.enter(State::Owning(token), &[Action::Begin(token)])
            }
            // It came too late: another one is to have it.
            (State::Wishing, Event::Granted(_)) => self.enter(State::Idle, &[Action::GiveBack]),
            (State::Wishing, Event::NotGranted) if self.wanted => vec![Action::RequestLock],
            (State::Wishing, Event::NotGranted) => self.enter(State::Idle, &[]),
            (State::Owning(token), Event::Wanted(false)) => {
                self.enter(State::Finishing(token, now + FINISH), &[Action::Finish])
            }
            (State::Owning(_), Event::Lost) => self.lost(&[Action::Abort]),
            // Work that ends of its own accord, as its word was refused: somebody else has the lock, or will.
            (State::Owning(_) | State::Finishing(..), Event::Ended) => self.lost(&[Action::GiveBack]),
            (State::Finishing(..), Event::Lost) => self.lost(&[Action::Abort]),
            (State::Finishing(_, by), Event::Tick) if now >= by => {
                self.lost(&[Action::Abort, Action::GiveBack])
            }
            _ => Vec::new(),
        }
    }

    fn enter(&mut self, state: State, actions: &[Action]) -> Vec<Action> {
        self.state = state;
        actions.to_vec()
    }

    fn lost(&mut self, actions: &[Action]) -> Vec<Action> {
        self.state = if self.wanted { State::Wishing } else { State::Idle };
        let wish = self.wanted.then_some(Action::RequestLock);
        actions.iter().copied().chain(wish).collect()
    }
}
