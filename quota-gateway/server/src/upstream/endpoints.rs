//! The endpoint table: the current process of each server, and the servers that the operators have disabled.

use marblecroft_quota_gateway_core::{Lifecycle, Scope, ServerId, ServerInfo, Time};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One process of a server, as listed in an endpoint list.
///
/// An address may later belong to another server, and the connections to a server do not survive its restart,
/// so connections are pooled by id, address and start time together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerProcess {
    /// The server's number.
    pub server: ServerId,
    /// The address at which it serves.
    pub addr: SocketAddr,
    started_at: Option<Time>,
}

/// The listed endpoints.
#[derive(Default)]
pub struct Endpoints {
    listed: RefCell<BTreeMap<ServerId, (ServerProcess, Lifecycle)>>,
    disabled: RefCell<BTreeSet<ServerId>>,
}

impl Endpoints {
    /// Applies an endpoint list: a full list replaces the table, a delta changes only the listed servers.
    pub fn on_endpoint_list(
        &self,
        scope: Scope,
        servers: &[ServerInfo],
        addresses: &[(ServerId, SocketAddr)],
    ) {
        let mut listed = self.listed.borrow_mut();
        if scope == Scope::Full {
            listed.clear();
        }
        for (info, &(server, addr)) in servers.iter().zip(addresses) {
            if info.lifecycle == Lifecycle::Unlisted {
                listed.remove(&server);
            } else {
                let process = ServerProcess { server, addr, started_at: info.started };
                listed.insert(server, (process, info.lifecycle));
            }
        }
    }

    /// The current process of a server, if it is listed.
    pub fn process_of(&self, server: ServerId) -> Option<ServerProcess> {
        self.listed.borrow().get(&server).map(|(process, _)| *process)
    }

    /// Returns whether the process is still listed as running.
    pub fn is_running(&self, process: &ServerProcess) -> bool {
        self.listed.borrow().get(&process.server) == Some(&(*process, Lifecycle::Running))
    }

    /// Disables a server, or enables it again.
    pub fn set_disabled(&self, server: ServerId, is_disabled: bool) {
        let mut disabled = self.disabled.borrow_mut();
        if is_disabled {
            disabled.insert(server);
        } else {
            disabled.remove(&server);
        }
    }

    /// Returns whether the operators have disabled the server.
    pub fn is_disabled(&self, server: ServerId) -> bool {
        self.disabled.borrow().contains(&server)
    }
}
