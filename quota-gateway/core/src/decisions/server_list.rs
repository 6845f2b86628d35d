//! Which servers there are, which of them operators have disabled, and which this gateway prefers.

use super::server::Server;
use super::Gateway;
use crate::api::{Discovery, Lifecycle, Scope, ServerId, ServerInfo};
use crate::arithmetic::sanitize;
use crate::subsetting::subset;
use std::collections::BTreeMap;

/// Servers that a gateway prefers, so that it knows them and its connections to them stay in use (ours) ...
const MIN_SUBSET_SIZE: f64 = 9.0;
/// ... and gateways that share each server at least, which makes the subsets larger where gateways are few
/// (ours).
const MIN_GATEWAYS_PER_SERVER: f64 = 4.0;

impl Gateway {
    /// Applies a server list. Drains take effect at once: a server is chosen only while it is listed as
    /// running.
    pub(super) fn on_server_list(&mut self, scope: Scope, list: Vec<ServerInfo>) {
        match scope {
            Scope::Failed => self.subscribe_due = self.settings.discovery == Discovery::Subscribe,
            Scope::Full => {
                self.servers.values_mut().for_each(|server| server.info.lifecycle = Lifecycle::Gone)
            }
            Scope::Delta => {}
        }
        for info in list {
            self.on_listed(info);
        }
        self.choose_subset();
    }

    fn on_listed(&mut self, mut info: ServerInfo) {
        info.capacity = if sanitize(info.capacity) > 0.0 { sanitize(info.capacity) } else { 1.0 };
        let restarted = self.servers.get(&info.id).is_some_and(|server| server.info.started != info.started);
        let now = self.now;
        // A random part of a first token: hundreds of gateways would else send a cold server its first
        // request together.
        let slow_start_tokens = self.random.uniform();
        let fresh = |info: ServerInfo| Server { slow_start_tokens, ..Server::new(info, now) };
        let server = self.servers.entry(info.id).or_insert_with(|| fresh(info.clone()));
        if restarted {
            let in_flight = std::mem::take(&mut server.in_flight);
            let (elsewhere, is_owed_request) = (server.elsewhere, server.is_owed_request);
            *server = Server { in_flight, elsewhere, is_owed_request, ..fresh(info) };
        } else {
            server.info = info;
        }
    }

    /// Chooses the servers that this gateway prefers, the same share of each zone (deterministic subsetting).
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

    /// Enables a server again. What was learnt of it may be of an earlier process: it counts as warming up
    /// until the list has had time to report a restart, and it gets the next request that it may take, since
    /// nothing else shows how it is.
    pub(super) fn enable_server(&mut self, id: ServerId) {
        let (Some(since), now) = (self.disabled.remove(&id), self.now) else { return };
        if let Some(server) = self.servers.get_mut(&id) {
            let (in_flight, info) = (std::mem::take(&mut server.in_flight), server.info.clone());
            let reenabled_at = info.started.is_none_or(|started| started < since).then_some(now);
            *server = Server {
                in_flight,
                elsewhere: server.elsewhere,
                reenabled_at,
                is_owed_request: true,
                slow_start_tokens: self.random.uniform(),
                ..Server::new(info, now)
            };
        }
        self.choose_subset();
    }

    /// The servers that are listed as running and not disabled.
    pub(super) fn usable_servers(&self) -> impl Iterator<Item = &Server> {
        let listed = self.servers.values().filter(|server| server.info.lifecycle == Lifecycle::Running);
        listed.filter(|server| !self.disabled.contains_key(&server.info.id))
    }
}
