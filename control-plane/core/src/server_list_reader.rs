//! When the platform's list of servers is read, and under which token it is given on.
//!
//! Every process that begins to read takes a fencing token from the coordinators' state, higher than any before: a list
//! that an earlier reader gave is older than any of a later one, also where both were the same machine.

use marblecroft_protocol::servers::{Server, ServerList, ServerListVersion};
use std::time::Duration;

/// Pause between two reads; far shorter than what a drain allows.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// What the reader does next.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    Wait,
    RequestToken,
    Read,
}

/// The reader's side of a coordinator.
#[derive(Default)]
pub struct ServerListReader {
    /// The view in which this process reads, and its token.
    token: Option<(u64, u64)>,
    token_requested: bool,
    /// Whether a read is under way, and the token that it was begun under.
    read_under_token: Option<u64>,
    next_read_at: Duration,
    list: ServerList,
}

impl ServerListReader {
    /// What to do, where this process may read as the head of the view of this number.
    pub fn step(&mut self, now: Duration, view: u64) -> Step {
        // A token of an earlier view is another head's, even where that was this process.
        self.token = self.token.filter(|token| token.0 == view);
        if self.token.is_none() {
            let begins = !self.token_requested;
            self.token_requested = true;
            return if begins { Step::RequestToken } else { Step::Wait };
        }
        if self.read_under_token.is_some() || now < self.next_read_at {
            return Step::Wait;
        }
        self.read_under_token = self.token.map(|token| token.1);
        self.next_read_at = now + READ_INTERVAL;
        Step::Read
    }

    /// This process may not read.
    pub fn stop(&mut self) {
        self.token = None;
    }

    /// The token that was asked for in the view of this number, or that there was none.
    pub fn on_token(&mut self, view: u64, token: Option<u64>) {
        self.token_requested = false;
        self.token = token.map(|token| (view, token));
    }

    /// Takes what was read; the list, if it is to be given on.
    pub fn on_list(&mut self, servers: Option<Vec<Server>>) -> Option<&ServerList> {
        let begun_under = self.read_under_token.take()?;
        let (_, epoch) = self.token.filter(|token| token.1 == begun_under)?;
        let servers = servers?;
        if servers == self.list.servers && epoch == self.list.version.epoch {
            return None;
        }
        let sequence = self.list.version.sequence + 1;
        self.list = ServerList { version: ServerListVersion { epoch, sequence }, servers };
        Some(&self.list)
    }

    /// When [`ListReader::step`] has something to do.
    pub fn next_wake(&self) -> Duration {
        if self.token.is_none() || self.read_under_token.is_some() {
            Duration::MAX
        } else {
            self.next_read_at
        }
    }
}
