//! Sends requests to the head of the stores' chain, and follows changes of the head.

use crate::cluster::{Cluster, Request, Response, Role};
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use std::time::Duration;

const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Tracks the head of the stores' chain; tries the stores in turn while the head is unknown.
#[derive(Default)]
pub(super) struct HeadFollower {
    head: Option<usize>,
    /// Number of the store to try next if the head is unknown.
    next_store: usize,
    /// Number of the last call.
    pub(super) last_call: u64,
}

impl HeadFollower {
    pub(super) fn send(&mut self, cluster: &mut Cluster, number: usize, request: StoreRequest) {
        let stores = cluster.machines_of(Role::Store);
        let to = self.head.unwrap_or_else(|| stores[self.next_store % stores.len()]);
        self.last_call = cluster.call_from_client(number, to, Request::Store(request), STORE_TIMEOUT);
    }

    /// Returns the reply of the head, or `None` if another store must be tried.
    pub(super) fn handle_response(
        &mut self,
        cluster: &Cluster,
        response: Option<Response>,
    ) -> Option<StoreReply> {
        let reply = match response {
            Some(Response::Store(reply)) => reply,
            _ => {
                self.head = None;
                self.next_store += 1;
                return None;
            }
        };
        match reply {
            StoreReply::NotHead(head) => {
                self.head = head.and_then(|head| cluster.machine_at(head));
                self.next_store += 1;
                None
            }
            reply => Some(reply),
        }
    }
}
