//! When the platform's list of servers is read, and under which token it is given on.
//!
//! Every process that begins to read takes a fencing token from the coordinators' state, higher than any before: a list
//! that an earlier reader gave is older than any of a later one, also where both were the same machine.

use marblecroft_protocol::servers::{ListVersion, Server, ServerList};
use std::time::Duration;

/// Pause between two reads; far shorter than what a drain allows.
const READ_EVERY: Duration = Duration::from_millis(400);

/// What the reader does next.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    Wait,
    TakeToken,
    Read,
}

/// The reader's side of a coordinator.
#[derive(Default)]
pub struct ListReader {
    /// The view in which this process reads, and its token.
    token: Option<(u64, u64)>,
    takes_token: bool,
    /// Whether a read is under way, and the token that it was begun under.
    reading: Option<u64>,
    read_at: Duration,
    list: ServerList,
}

impl ListReader {
    /// What to do, where this process may read as the head of the view of this number.
    pub fn step(&mut self, now: Duration, view: u64) -> Step {
        // A token of an earlier view is another head's, even where that was this process.
        self.token = self.token.filter(|token| token.0 == view);
        if self.token.is_none() {
            let begins = !self.takes_token;
            self.takes_token = true;
            return if begins { Step::TakeToken } else { Step::Wait };
        }
        if self.reading.is_some() || now < self.read_at {
            return Step::Wait;
        }
        self.reading = self.token.map(|token| token.1);
        self.read_at = now + READ_EVERY;
        Step::Read
    }

    /// This process may not read.
    pub fn stop(&mut self) {
        self.token = None;
    }

    /// The token that was asked for in the view of this number, or that there was none.
    pub fn note_token(&mut self, view: u64, token: Option<u64>) {
        self.takes_token = false;
        self.token = token.map(|token| (view, token));
    }

    /// Takes what was read; the list, if it is to be given on.
    pub fn note_list(&mut self, servers: Option<Vec<Server>>) -> Option<&ServerList> {
        let begun_under = self.reading.take()?;
        let (_, epoch) = self.token.filter(|token| token.1 == begun_under)?;
        let servers = servers?;
        if servers == self.list.servers && epoch == self.list.version.epoch {
            return None;
        }
        let sequence = self.list.version.sequence + 1;
        self.list = ServerList { version: ListVersion { epoch, sequence }, servers };
        Some(&self.list)
    }

    /// When [`ListReader::step`] has something to do.
    pub fn next_wake(&self) -> Duration {
        if self.token.is_none() || self.reading.is_some() {
            Duration::MAX
        } else {
            self.read_at
        }
    }
}
