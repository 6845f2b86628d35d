//! Stand-in for a coordinator with a valid lease. It can be made unreachable, which leaves the gateway with
//! the configuration that it has.

use super::{internal_address, unused_ip};
use marblecroft_chain_replication::{Member, View};
use marblecroft_protocol::coordinator::{
    ConfigurationUpdate, ConfigurationUpdates, CoordinatorReply, CoordinatorRequest, Pull,
};
use marblecroft_protocol::servers::{Server, ServerList, ServerListVersion};
use marblecroft_rpc::{http, serve, Bytes, Service};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    is_unreachable: bool,
    configuration_sequence: u64,
    configuration: Vec<u8>,
    servers: ServerList,
    stores: View,
    /// Pulls that failed because the coordinator was unreachable.
    failed_pulls: u32,
}

impl State {
    /// Returns what is newer than the versions of a gateway; `None` if nothing is.
    fn updates_for(&self, pull: &Pull) -> Option<ConfigurationUpdates> {
        let known = pull.known_versions;
        let sequence = self.configuration_sequence;
        let updates = ConfigurationUpdates {
            fresh: true,
            configuration: (sequence > known.configuration_sequence)
                .then(|| ConfigurationUpdate { sequence, body: Bytes(self.configuration.clone()) }),
            servers: (self.servers.version > known.server_list_version).then(|| self.servers.clone()),
            stores: (self.stores.number > known.store_view_number).then(|| self.stores.clone()),
            coordinators: Vec::new(),
        };
        let is_empty =
            updates.configuration.is_none() && updates.servers.is_none() && updates.stores.is_none();
        (!is_empty).then_some(updates)
    }
}

/// The stand-in.
pub struct Coordinator {
    ip: Ipv4Addr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Coordinator {
    /// Starts a coordinator with these model servers, and with one store at `store`.
    pub fn start(store: SocketAddr, servers: Vec<Server>) -> Coordinator {
        let member = Member { address: store, identity: 1, node_name: "storage-a-1".to_owned() };
        let state = State {
            servers: ServerList { version: ServerListVersion { epoch: 1, sequence: 1 }, servers },
            stores: View { number: 1, members: vec![member], voters: Vec::new() },
            ..State::default()
        };
        let coordinator =
            Coordinator { ip: unused_ip(), state: Arc::new((Mutex::new(state), Condvar::new())) };
        let listener = http::listen(internal_address(coordinator.ip)).expect("the address is free");
        let state = coordinator.state.clone();
        serve(listener, Service::Coordinators, move |request| handle(&state, request)).expect("serves");
        coordinator
    }

    /// Returns the address for the gateway's settings.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.0.lock().expect("not poisoned"));
        self.state.1.notify_all();
    }

    /// Puts a configuration in force.
    pub fn set_configuration(&self, text: &str) {
        self.change(|state| {
            state.configuration_sequence += 1;
            state.configuration = text.as_bytes().to_vec();
        });
    }

    /// Fails all pulls from now on, also those in progress.
    pub fn disconnect(&self) {
        self.change(|state| state.is_unreachable = true);
    }

    /// Serves pulls again.
    pub fn reconnect(&self) {
        self.change(|state| state.is_unreachable = false);
    }

    /// Returns how many pulls have failed because the coordinator was unreachable.
    pub fn failed_pulls(&self) -> u32 {
        self.state.0.lock().expect("not poisoned").failed_pulls
    }
}

fn handle(state: &(Mutex<State>, Condvar), request: CoordinatorRequest) -> Option<CoordinatorReply> {
    let CoordinatorRequest::Pull(pull) = request else { return None };
    let deadline = Instant::now() + Duration::from_millis(pull.wait_ms.into());
    let mut locked = state.0.lock().expect("not poisoned");
    loop {
        if locked.is_unreachable {
            locked.failed_pulls += 1;
            return None;
        }
        if let Some(updates) = locked.updates_for(&pull) {
            return Some(CoordinatorReply::Updates(updates));
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            let updates = ConfigurationUpdates { fresh: true, ..ConfigurationUpdates::default() };
            return Some(CoordinatorReply::Updates(updates));
        }
        locked = state.1.wait_timeout(locked, time_left).expect("not poisoned").0;
    }
}
