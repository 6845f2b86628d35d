//! The platform's discovery: the list of pay servers, by versions, and what a gateway is told.
//!
//! Models: whole lists, changes since a version, servers that drain and are deleted, addresses that differ from gateway to
//! gateway, what the list learns late. Leaves out: an agent of each gateway that is behind the others, lost changes.

use crate::history::ServerState;
use marblecroft_discovery::format::{Host, HostListRef, ListRequest, State};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Servers by their number, each with the version of its last change.
pub struct List {
    version: u64,
    entries: BTreeMap<u16, (Host, u64)>,
}

/// What a gateway is told.
pub struct Answer {
    /// The version.
    pub version: u64,
    /// Whether it is complete.
    pub full: bool,
    /// The servers, by number.
    pub servers: Vec<(u16, Host)>,
}

impl List {
    /// An empty one; versions rise from here.
    pub fn new(version: u64) -> List {
        List { version, entries: BTreeMap::new() }
    }

    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// An entry is as this from now on.
    pub fn set(&mut self, number: u16, host: Host) {
        self.version += 1;
        self.entries.insert(number, (host, self.version));
    }

    /// What a call is answered with; `None`: nothing newer than it knows.
    pub fn answer(&self, ask: ListRequest) -> Option<Answer> {
        let since = match ask {
            // What is of the future was told by nobody here.
            ListRequest::Watch { since, .. } if since <= self.version => Some(since),
            _ => None,
        };
        if since == Some(self.version) {
            return None;
        }
        let told = |host: &Host, version: u64| match since {
            Some(since) => version > since,
            None => host.state != State::Deleted,
        };
        let servers = self.entries.iter().filter(|(_, (host, version))| told(host, *version));
        let servers = servers.map(|(number, (host, _))| (*number, host.clone())).collect();
        Some(Answer { version: self.version, full: since.is_none(), servers })
    }
}

impl Answer {
    /// As the wire has it, with every server at the address by which this caller knows it.
    pub fn body(&mut self, view: Ipv4Addr) -> serde_json::Result<Vec<u8>> {
        self.servers.iter_mut().for_each(|(_, host)| host.addr.set_ip(view.into()));
        let servers = self.servers.iter().map(|(_, host)| host).collect();
        serde_json::to_vec(&HostListRef {
            version: self.version,
            full: self.full,
            store: 1,
            epoch: 1,
            servers,
        })
    }

    /// Returns the state of each server.
    pub fn told(&self) -> Vec<(u16, ServerState)> {
        self.servers.iter().map(|(number, host)| (*number, told(host.state))).collect()
    }
}

/// Returns the state of a server as the history has it.
pub fn told(state: State) -> ServerState {
    match state {
        State::Serving => ServerState::Serving,
        State::Draining => ServerState::Draining,
        State::Deleted => ServerState::Gone,
    }
}
