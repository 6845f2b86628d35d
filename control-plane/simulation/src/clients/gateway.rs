//! A gateway that pulls updates from the coordinators.

use crate::cluster::{Client, Cluster, Request, Response, Role};
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest, Pull, VersionVector};
use std::time::Duration;

/// Time for which a coordinator may hold a pull open until there is an update.
const PULL_WAIT_MS: u32 = 500;
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
const NEXT_PULL_DELAY: Duration = Duration::from_millis(1);
/// Delay before the next coordinator is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Pulls from one coordinator, switches to the next one if a pull fails, and occasionally to a random one.
pub struct Gateway {
    known_versions: VersionVector,
    /// The configuration that was pulled last.
    configuration: Option<String>,
    sent_at: Duration,
    /// Number of the last call.
    last_call: u64,
    /// Number of the coordinator that it pulls from.
    coordinator: usize,
}

impl Gateway {
    /// Returns a gateway that pulls first from the coordinator of this number.
    pub fn new(coordinator: usize) -> Gateway {
        Gateway {
            known_versions: VersionVector::default(),
            configuration: None,
            sent_at: Duration::ZERO,
            last_call: 0,
            coordinator,
        }
    }
}

impl Client for Gateway {
    fn wake(&mut self, cluster: &mut Cluster, number: usize) {
        let coordinators = cluster.machines_of(Role::Coordinator);
        let to = coordinators[self.coordinator % coordinators.len()];
        self.sent_at = cluster.now;
        let pull =
            CoordinatorRequest::Pull(Pull { known_versions: self.known_versions, wait_ms: PULL_WAIT_MS });
        self.last_call = cluster.call_from_client(number, to, Request::Coordinator(pull), PULL_TIMEOUT);
    }

    fn on_reply(&mut self, cluster: &mut Cluster, number: usize, call: u64, response: Option<Response>) {
        if call != self.last_call {
            return;
        }
        let Some(Response::Coordinator(CoordinatorReply::Updates(updates))) = response.filter(is_fresh)
        else {
            self.coordinator += 1;
            cluster.wake_client(number, RETRY_INTERVAL);
            return;
        };
        if let Some(update) = updates
            .configuration
            .filter(|update| update.sequence > self.known_versions.configuration_sequence)
        {
            self.known_versions.configuration_sequence = update.sequence;
            self.configuration = Some(String::from_utf8_lossy(&update.body.0).into_owned());
        }
        if let Some(update) =
            updates.servers.filter(|update| update.version > self.known_versions.server_list_version)
        {
            self.known_versions.server_list_version = update.version;
            if let Some(server) = update.servers.first() {
                cluster.checker.server_lists.on_server_list(number, &server.id);
            }
        }
        if let Some(view) = updates.stores.filter(|view| view.number > self.known_versions.store_view_number)
        {
            self.known_versions.store_view_number = view.number;
        }
        let (now, configuration) = (cluster.now, self.configuration.as_deref());
        cluster.checker.configuration.on_pulled(number, self.sent_at, now, configuration);
        if cluster.rng.u32(0..60) == 0 {
            self.coordinator = cluster.rng.usize(0..16);
        }
        cluster.wake_client(number, NEXT_PULL_DELAY);
    }
}

/// Returns whether a response is a reply to a pull that the coordinator marks as fresh.
fn is_fresh(response: &Response) -> bool {
    matches!(response, Response::Coordinator(CoordinatorReply::Updates(updates)) if updates.fresh)
}
