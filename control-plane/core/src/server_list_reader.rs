//! When the head reads the platform's list of servers, and under which fencing token it broadcasts it.
//!
//! Every process that begins to read takes a fencing token from the coordinators' state, higher than any before: a list of
//! an earlier reader counts as older than any of a later one, even where both were the same machine.

use marblecroft_protocol::servers::{Server, ServerList, ServerListVersion};
use std::time::Duration;

/// Pause between two reads; far shorter than the time that a drain allows.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// What the reader does next.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing is due.
    Wait,
    /// Request a fencing token from the chain, and report it with [`ServerListReader::on_token`].
    RequestToken,
    /// Read the list, and report it with [`ServerListReader::on_list`].
    Read,
}

/// A fencing token, which is valid in one view.
#[derive(Clone, Copy)]
struct FencingToken {
    view: u64,
    value: u64,
}

/// A head's reader of the list of servers.
#[derive(Default)]
pub struct ServerListReader {
    token: Option<FencingToken>,
    token_requested: bool,
    /// The fencing token under which the read in flight was begun.
    read_under_token: Option<u64>,
    next_read_at: Duration,
    list: ServerList,
}

impl ServerListReader {
    /// What to do now, where this process is the head of the view with this number and may read.
    pub fn step(&mut self, now: Duration, view: u64) -> Step {
        // A token of an earlier view is another head's, even where that was this process.
        self.token = self.token.filter(|token| token.view == view);
        let Some(token) = self.token else {
            let is_first = !self.token_requested;
            self.token_requested = true;
            return if is_first { Step::RequestToken } else { Step::Wait };
        };
        if self.read_under_token.is_some() || now < self.next_read_at {
            return Step::Wait;
        }
        self.read_under_token = Some(token.value);
        self.next_read_at = now + READ_INTERVAL;
        Step::Read
    }

    /// Gives the fencing token up: this process may not read.
    pub fn stop(&mut self) {
        self.token = None;
    }

    /// Takes the fencing token that was requested in the view with this number; `None` where the request failed.
    pub fn on_token(&mut self, view: u64, token: Option<u64>) {
        self.token_requested = false;
        self.token = token.map(|value| FencingToken { view, value });
    }

    /// Takes the list that was read, `None` where the read failed; returns the list to broadcast, if it is new and the token
    /// under which the read was begun is still valid.
    pub fn on_list(&mut self, servers: Option<Vec<Server>>) -> Option<&ServerList> {
        let read_under = self.read_under_token.take()?;
        let epoch = self.token.filter(|token| token.value == read_under)?.value;
        let servers = servers?;
        if servers == self.list.servers && epoch == self.list.version.epoch {
            return None;
        }
        let sequence = self.list.version.sequence + 1;
        self.list = ServerList { version: ServerListVersion { epoch, sequence }, servers };
        Some(&self.list)
    }

    /// When [`ServerListReader::step`] has something to do.
    pub fn next_wake(&self) -> Duration {
        if self.token.is_none() || self.read_under_token.is_some() {
            Duration::MAX
        } else {
            self.next_read_at
        }
    }
}
