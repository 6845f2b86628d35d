//! The servers that are listed, those that operators have disabled, and the subset that this gateway prefers.

use super::server::Server;
use super::Gateway;
use crate::api::{Discovery, Lifecycle, Scope, ServerId, ServerInfo};
use crate::arithmetic::sanitize;
use crate::subsetting::subset;
use std::collections::BTreeMap;

/// Minimum size of the subset of servers that a gateway prefers. With few servers, the gateway's statistics
/// of each are better and its connections stay in use.
const MIN_SUBSET_SIZE: f64 = 9.0;
/// Minimum number of gateways that share a server. It makes the subsets larger if there are few gateways.
const MIN_GATEWAYS_PER_SERVER: f64 = 4.0;

impl Gateway {
    /// Applies a server list. A drain takes effect at once, because only servers listed as running are
    /// selected.
    pub(super) fn on_server_list(&mut self, scope: Scope, list: Vec<ServerInfo>) {
        match scope {
            Scope::Failed => self.subscribe_due = self.settings.discovery == Discovery::Subscribe,
            Scope::Full => {
                self.servers.values_mut().for_each(|server| server.info.lifecycle = Lifecycle::Unlisted)
            }
            Scope::Delta => {}
        }
        for info in list {
            self.update_server(info);
        }
        self.choose_subset();
    }

    fn update_server(&mut self, mut info: ServerInfo) {
        info.capacity = if sanitize(info.capacity) > 0.0 { sanitize(info.capacity) } else { 1.0 };
        let restarted = self.servers.get(&info.id).is_some_and(|server| server.info.started != info.started);
        let now = self.now;
        // The bucket starts with a random part of a token. Otherwise hundreds of gateways would send a server
        // in slow start its first request at the same time.
        let slow_start_tokens = self.random.uniform();
        let new_server = |info: ServerInfo| Server { slow_start_tokens, ..Server::new(info, now) };
        let server = self.servers.entry(info.id).or_insert_with(|| new_server(info.clone()));
        if restarted {
            let in_flight = std::mem::take(&mut server.in_flight);
            let (peer_in_flight, needs_probe) = (server.peer_in_flight, server.needs_probe);
            *server = Server { in_flight, peer_in_flight, needs_probe, ..new_server(info) };
        } else {
            server.info = info;
        }
    }

    /// Selects the subset of servers that this gateway prefers, with the same share of each zone
    /// (deterministic subsetting).
    pub(super) fn choose_subset(&mut self) {
        let mut zones: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        self.usable_servers()
            .for_each(|server| zones.entry(server.info.zone).or_default().push(server.info.id.0));
        let (gateways, count) = (self.settings.gateways, self.usable_servers().count() as f64);
        let share =
            (MIN_GATEWAYS_PER_SERVER / f64::from(gateways)).max(MIN_SUBSET_SIZE / count.max(1.0)).min(1.0);
        self.servers.values_mut().for_each(|server| server.is_in_subset = false);
        for mut zone in zones.into_values() {
            let size = (share * zone.len() as f64).ceil() as usize;
            for &id in subset(&mut zone, self.settings.gateway_index, gateways, size) {
                self.servers.entry(ServerId(id)).and_modify(|server| server.is_in_subset = true);
            }
        }
    }

    /// Enables a server again. Its statistics may be those of an earlier process and are reset. The server is
    /// in slow start until the list has had time to report a restart, and gets the next request that it may
    /// take, because only a request shows its state.
    pub(super) fn enable_server(&mut self, id: ServerId) {
        let (Some(since), now) = (self.disabled.remove(&id), self.now) else { return };
        if let Some(server) = self.servers.get_mut(&id) {
            let (in_flight, info) = (std::mem::take(&mut server.in_flight), server.info.clone());
            let reenabled_at = info.started.is_none_or(|started| started < since).then_some(now);
            *server = Server {
                in_flight,
                peer_in_flight: server.peer_in_flight,
                reenabled_at,
                needs_probe: true,
                slow_start_tokens: self.random.uniform(),
                ..Server::new(info, now)
            };
        }
        self.choose_subset();
    }

    /// Servers that are listed as running and not disabled.
    pub(super) fn usable_servers(&self) -> impl Iterator<Item = &Server> {
        let listed = self.servers.values().filter(|server| server.info.lifecycle == Lifecycle::Running);
        listed.filter(|server| !self.disabled.contains_key(&server.info.id))
    }
}
