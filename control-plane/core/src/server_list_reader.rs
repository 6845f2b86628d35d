//! Schedule of the head's reads of the platform's list of servers, and the fencing token under which a list
//! is broadcast.
//!
//! Every process that starts to read takes a fencing token from the coordinators' state, which is higher than
//! any before. A list of an earlier reader therefore counts as older than any list of a later reader, even if
//! both ran on the same machine.

use marblecroft_protocol::servers::{Server, ServerList, ServerListVersion};
use std::time::Duration;

/// Interval between reads. Much shorter than the time that is allowed for draining a server.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// The next step of the reader.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing is due.
    Wait,
    /// Request a fencing token from the chain and pass it to [`ServerListReader::on_token`].
    RequestToken,
    /// Read the list and pass it to [`ServerListReader::on_list`].
    Read,
}

/// A fencing token, which is valid in one view.
#[derive(Clone, Copy)]
struct FencingToken {
    view: u64,
    value: u64,
}

/// The reader of the list of servers, which only the head uses.
#[derive(Default)]
pub struct ServerListReader {
    token: Option<FencingToken>,
    token_requested: bool,
    /// Fencing token under which the read in flight was started.
    read_under_token: Option<u64>,
    next_read_at: Duration,
    list: ServerList,
}

impl ServerListReader {
    /// Returns the next step. This process must be the head of the view with number `view`, and have a valid
    /// lease.
    pub fn step(&mut self, now: Duration, view: u64) -> Step {
        // A token of another view was issued to another head, or to this process in an earlier term as the
        // head.
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

    /// Discards the fencing token, because this process may no longer read.
    pub fn stop(&mut self) {
        self.token = None;
    }

    /// Handles the fencing token that was requested in the view with number `view`; `None` if the request
    /// failed.
    pub fn on_token(&mut self, view: u64, token: Option<u64>) {
        self.token_requested = false;
        self.token = token.map(|value| FencingToken { view, value });
    }

    /// Handles the list that was read; `None` if the read failed. Returns the list to broadcast, if it is new
    /// and the token under which the read was started is still valid.
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

    /// Returns when the next read is due; `Duration::MAX` without a token or while a read is in flight.
    pub fn next_wake(&self) -> Duration {
        if self.token.is_none() || self.read_under_token.is_some() {
            Duration::MAX
        } else {
            self.next_read_at
        }
    }
}
