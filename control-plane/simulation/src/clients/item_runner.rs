//! A gateway that gets items of batch jobs from the stores, runs them and reports their outcomes.

use super::head_follower::HeadFollower;
use crate::cluster::{Client, Cluster, Response};
use marblecroft_batch_state::ItemOutcome;
use marblecroft_protocol::store::{
    FinishedItem, GatewayLoad, GrantedItem, ItemId, StoreReply, StoreRequest, WorkRequest,
};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// A gateway that runs items of batch jobs.
pub struct ItemRunner {
    name: String,
    running: VecDeque<GrantedItem>,
    finished: Vec<FinishedItem>,
    /// Number of items run so far.
    run_count: u64,
    head_follower: HeadFollower,
}

impl ItemRunner {
    /// Returns a runner for the gateway of this name.
    pub fn new(name: String) -> ItemRunner {
        ItemRunner {
            name,
            running: VecDeque::new(),
            finished: Vec::new(),
            run_count: 0,
            head_follower: HeadFollower::default(),
        }
    }

    fn finish_next_item(&mut self, cluster: &mut Cluster) {
        let Some(item) = self.running.pop_front() else { return };
        self.run_count += 1;
        let outcome = format!("{} run {}", self.name, self.run_count);
        let ItemId { job, item: index } = &item.id;
        cluster.checker.jobs.on_item_run(job, *index as usize, &item.item.id, &outcome);
        self.finished.push(FinishedItem { id: item.id, outcome: ItemOutcome::Completed(outcome) });
    }
}

impl Client for ItemRunner {
    fn wake(&mut self, cluster: &mut Cluster, number: usize) {
        if cluster.rng.bool() {
            self.finish_next_item(cluster);
        }
        let work = WorkRequest {
            gateway: self.name.clone(),
            running: self.running.iter().map(|item| item.id.clone()).collect(),
            finished: self.finished.clone(),
            capacity: 4,
            load: GatewayLoad { live_requests: 0.0, slots: 64 },
            zone: "a".to_owned(),
            load_address: SocketAddr::from(([10, 9, 9, 9], 7735)),
            peers_digest: 0,
            zone_loads: Vec::new(),
        };
        self.head_follower.send(cluster, number, StoreRequest::Work(work));
    }

    fn on_reply(&mut self, cluster: &mut Cluster, number: usize, call: u64, response: Option<Response>) {
        if call != self.head_follower.last_call {
            return;
        }
        if let Some(StoreReply::Work(reply)) = self.head_follower.handle_response(cluster, response) {
            for finished in self.finished.drain(..) {
                cluster.checker.jobs.on_item_acknowledged(&finished.id.job, finished.id.item as usize);
            }
            self.running.retain(|item| !reply.stop.contains(&item.id));
            self.running.extend(reply.granted);
        }
        let poll_interval = Duration::from_millis(cluster.rng.u64(30..150));
        cluster.wake_client(number, poll_interval);
    }
}
