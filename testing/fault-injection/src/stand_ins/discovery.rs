//! The platform's discovery: the versioned set of pay servers, and the responses to gateways.
//!
//! Models: complete responses, changes since a version, servers that are draining or deleted, addresses that
//! differ between gateways, delays until a change becomes visible. Leaves out: an agent per gateway that may
//! be behind the others, and lost changes.

use crate::history::ServerState;
use marblecroft_discovery::format::{Host, HostListRef, ListRequest, State};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Servers by their number, each with the version of its last change.
pub struct Discovery {
    version: u64,
    entries: BTreeMap<u16, (Host, u64)>,
}

/// A response to a gateway.
pub struct DiscoveryResponse {
    /// Version of the set of servers.
    pub version: u64,
    /// Whether the response contains all servers, not only changes.
    pub full: bool,
    /// The servers, by number.
    pub servers: Vec<(u16, Host)>,
}

impl Discovery {
    /// Returns a discovery service without servers, at this version.
    pub fn new(version: u64) -> Discovery {
        Discovery { version, entries: BTreeMap::new() }
    }

    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Adds or replaces an entry, and increments the version.
    pub fn set(&mut self, number: u16, host: Host) {
        self.version += 1;
        self.entries.insert(number, (host, self.version));
    }

    /// Returns the response to a request. Returns `None` for a watch whose sender already has the current
    /// version.
    pub fn respond(&self, request: ListRequest) -> Option<DiscoveryResponse> {
        let since = match request {
            // A higher version than the current one is from another store, so the response contains all
            // servers.
            ListRequest::Watch { since, .. } if since <= self.version => Some(since),
            _ => None,
        };
        if since == Some(self.version) {
            return None;
        }
        let includes = |host: &Host, version: u64| match since {
            Some(since) => version > since,
            None => host.state != State::Deleted,
        };
        let servers = self.entries.iter().filter(|(_, (host, version))| includes(host, *version));
        let servers = servers.map(|(number, (host, _))| (*number, host.clone())).collect();
        Some(DiscoveryResponse { version: self.version, full: since.is_none(), servers })
    }
}

impl DiscoveryResponse {
    /// Returns the response body, with the address at which the caller reaches the servers.
    pub fn body(&mut self, host_ip: Ipv4Addr) -> serde_json::Result<Vec<u8>> {
        self.servers.iter_mut().for_each(|(_, host)| host.addr.set_ip(host_ip.into()));
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
    pub fn server_states(&self) -> Vec<(u16, ServerState)> {
        self.servers.iter().map(|(number, host)| (*number, server_state(host.state))).collect()
    }
}

/// Converts the state of a server for the history.
pub fn server_state(state: State) -> ServerState {
    match state {
        State::Serving => ServerState::Serving,
        State::Draining => ServerState::Draining,
        State::Deleted => ServerState::Removed,
    }
}
