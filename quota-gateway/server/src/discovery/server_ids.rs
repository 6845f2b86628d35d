//! Numbers for the ids of servers.
//!
//! The numbers are passed from process to process as JSON, so field names are part of the format.

use marblecroft_discovery::format::Host;
use marblecroft_quota_gateway_core::{Lifecycle, Scope, ServerId, ServerInfo};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tracing::info;

/// How long the number of an unlisted server is kept: longer than any request to it may last.
const ID_RETENTION: Duration = Duration::from_secs(60);
/// The parameters of the 32-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// Numbers for the ids of servers. The number is a hash of the id, so that a server keeps its number across
/// restarts of the gateway. On a collision the next free number is used.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct ServerIds(HashMap<u32, ServerEntry>);

#[derive(Clone, Serialize, Deserialize)]
struct ServerEntry {
    id: String,
    /// The server's last entry, while it is listed.
    host: Option<Host>,
    /// Whether the operators have disabled it. Kept also while the server is not listed, because they may
    /// enable it again.
    disabled: bool,
    /// The instant since which it is not listed.
    #[serde(skip)]
    unlisted_since: Option<Instant>,
}

impl ServerIds {
    /// Returns the number of an id, and assigns one if it has none.
    pub fn number(&mut self, id: &str) -> ServerId {
        let mut number =
            id.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME));
        while self.0.get(&number).is_some_and(|taken| taken.id != id) {
            number = number.wrapping_add(1);
        }
        self.0.entry(number).or_insert_with(|| {
            // The core's log lines identify servers by number.
            info!(server = %id, number, "server {id} has number {number}");
            ServerEntry { id: id.to_owned(), host: None, disabled: false, unlisted_since: None }
        });
        ServerId(number)
    }

    /// Records an entry of the list and returns the number of its server.
    pub fn on_host(&mut self, host: &Host) -> ServerId {
        let number = self.number(&host.id);
        if let Some(server) = self.0.get_mut(&number.0) {
            server.host = Some(host.clone());
        }
        number
    }

    /// Marks a server as disabled or enabled, and returns its number if the id is known.
    pub fn set_disabled(&mut self, id: &str, disabled: bool) -> Option<ServerId> {
        let (&number, server) = self.0.iter_mut().find(|(_, server)| server.id == id)?;
        server.disabled = disabled;
        Some(ServerId(number))
    }

    /// The servers that the operators have disabled.
    pub fn disabled(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.0.iter().filter(|(_, server)| server.disabled).map(|(&number, _)| ServerId(number))
    }

    /// The entries of the servers that are listed.
    pub fn listed_hosts(&self) -> impl Iterator<Item = &Host> {
        self.0.values().filter_map(|server| server.host.as_ref())
    }

    /// Applies an endpoint list, and removes servers that were unlisted longer ago than [`ID_RETENTION`]:
    /// over time, new ids keep appearing.
    pub fn on_endpoint_list(&mut self, scope: Scope, servers: &[ServerInfo], now: Instant) {
        if scope == Scope::Full {
            for server in self.0.values_mut() {
                server.unlisted_since = server.unlisted_since.or(Some(now));
            }
        }
        for info in servers {
            if let Some(server) = self.0.get_mut(&info.id.0) {
                server.unlisted_since = (info.lifecycle == Lifecycle::Unlisted).then_some(now);
            }
        }
        for server in self.0.values_mut().filter(|server| server.unlisted_since.is_some()) {
            server.host = None;
        }
        self.0.retain(|_, server| {
            server.disabled || server.unlisted_since.is_none_or(|since| now - since < ID_RETENTION)
        });
    }
}

#[cfg(test)]
mod tests;
