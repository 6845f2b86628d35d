//! Runs items of batch jobs under leases from the stores.
//!
//! The lifecycle of an item: [`Runner::exchange_work`] asks the stores for work and receives items
//! under leases. `item` runs each item at servers that have spare capacity next to live requests.
//! The next exchange returns the result to the stores. The stores grant an item again when its
//! lease has expired, so each exchange renews the leases of all running items. A runner that cannot
//! reach the stores aborts its items when the leases expire. This ensures that an item runs at only
//! one gateway at a time.
//!
//! An item that this gateway cannot judge, because its configuration may be outdated, is returned: it is
//! no longer reported as running, which releases its lease.
//!
//! Results are sent again until an exchange has confirmed them. The stores record the first result
//! of each item.

mod item;

use crate::gateway::Gateway;
use crate::stores::CallOutcome;
use item::{ItemEnd, ItemRun};
use marblecroft_protocol::load_address;
use marblecroft_protocol::store::{
    FinishedItem, GatewayLoad, GrantedItem, ItemId, StoreReply, StoreRequest, WorkReply, WorkRequest,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_blocking, spawn_local, AbortHandle};
use tokio::time::{sleep, Instant};

/// Maximum number of items that one gateway runs concurrently.
const MAX_RUNNING_ITEMS: usize = 64;
/// Interval between two exchanges with the stores.
const WORK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a result is sent, so that several results can be recorded at once.
const RESULT_BATCHING_DELAY: Duration = Duration::from_millis(30);
/// Time limit of an exchange.
const WORK_CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Delay between the starts of items that are granted together. Servers then prefill their prompts
/// one after the other, and token streams pause less.
const START_SPACING: Duration = Duration::from_millis(12);

/// Running and finished items of this gateway.
#[derive(Default)]
struct Runner {
    /// Tasks of the running items.
    running: RefCell<HashMap<ItemId, AbortHandle>>,
    /// Results that no exchange has confirmed yet.
    finished: RefCell<Vec<FinishedItem>>,
    /// Notified of each result.
    item_finished: Notify,
    /// Whether items have been returned since the last exchange.
    has_returned_items: Cell<bool>,
    /// Time at which the leases of all running items expire, according to the last exchange.
    lease_expires_at: Cell<Option<Instant>>,
}

/// Runs items until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    let runner = Rc::new(Runner::default());
    let watchdog = runner.clone();
    spawn_local(async move { watchdog.abort_expired().await });
    loop {
        tokio::select! {
            () = sleep(WORK_INTERVAL) => {}
            () = runner.item_finished.notified() => sleep(RESULT_BATCHING_DELAY).await,
        }
        if gateway.state.snapshot().store_view.number > 0 {
            runner.exchange_work(&gateway).await;
        }
    }
}

impl Runner {
    /// Aborts all items whenever the leases have expired.
    async fn abort_expired(&self) {
        loop {
            sleep(WORK_INTERVAL).await;
            if self.lease_expires_at.get().is_some_and(|expires_at| Instant::now() >= expires_at) {
                for (_, task) in self.running.borrow_mut().drain() {
                    task.abort();
                }
            }
        }
    }

    /// Reports results and load to the stores, renews the leases, and starts the items that are
    /// granted.
    async fn exchange_work(self: &Rc<Runner>, gateway: &Rc<Gateway>) {
        let finished = std::mem::take(&mut *self.finished.borrow_mut());
        let request = StoreRequest::Work(self.work_request(gateway, finished.clone()));
        let stores = gateway.stores.clone();
        // The lease time is counted from before the call. The stores grant the leases later, so
        // they expire here first.
        let sent_at = Instant::now();
        let outcome = spawn_blocking(move || stores.call(&request, WORK_CALL_TIMEOUT)).await;
        let reply = match outcome {
            Ok(CallOutcome::Reply(reply)) => match *reply {
                StoreReply::Work(reply) => reply,
                _ => return self.requeue_results(finished),
            },
            Ok(CallOutcome::NotExecuted | CallOutcome::MayHaveExecuted) | Err(_) => {
                return self.requeue_results(finished)
            }
        };
        self.lease_expires_at.set(Some(sent_at + Duration::from_millis(reply.lease_ms.into())));
        self.on_work_reply(gateway, reply);
    }

    fn work_request(&self, gateway: &Gateway, finished: Vec<FinishedItem>) -> WorkRequest {
        let running: Vec<ItemId> = self.running.borrow().keys().cloned().collect();
        // The exchange that releases returned items requests none, so that another gateway gets them.
        let may_start_items = !self.has_returned_items.take() && !gateway.state.is_terminating();
        let capacity = if may_start_items { MAX_RUNNING_ITEMS.saturating_sub(running.len()) } else { 0 };
        let zone_loads = gateway.balancer.borrow_mut().zone_averages(gateway.now());
        let slots = gateway.balancer.borrow().total_slots();
        WorkRequest {
            gateway: gateway.settings.node_name.clone(),
            running,
            finished,
            capacity: u32::try_from(capacity).unwrap_or(0),
            load: GatewayLoad { live_requests: gateway.live_concurrency.recent_mean(), slots },
            zone: gateway.settings.zone.clone(),
            load_address: load_address(gateway.settings.ip.into(), gateway.settings.ephemeral_ports),
            peers_digest: gateway.peers.digest(),
            zone_loads,
        }
    }

    /// Records the load and the peer gateways that the stores report, and stops and starts items as
    /// they request.
    fn on_work_reply(self: &Rc<Runner>, gateway: &Rc<Gateway>, reply: WorkReply) {
        gateway.pool.set_gateway_count(reply.gateway_count);
        gateway.balancer.borrow_mut().on_cluster_load(&reply.zone_loads, reply.live_requests, gateway.now());
        if let Some(peers) = reply.peers {
            gateway.peers.update(peers.digest, peers.addresses);
        }
        for id in reply.stop {
            if let Some(task) = self.running.borrow_mut().remove(&id) {
                task.abort();
            }
        }
        for (index, granted) in (0..).zip(reply.granted) {
            self.start_item(gateway, granted, START_SPACING * index);
        }
    }

    /// Puts results whose recording was not confirmed before newer ones, to be sent with the next
    /// exchange.
    fn requeue_results(&self, finished: Vec<FinishedItem>) {
        self.finished.borrow_mut().splice(0..0, finished);
    }

    /// Starts an item after a delay, unless it is already running.
    fn start_item(self: &Rc<Runner>, gateway: &Rc<Gateway>, granted: GrantedItem, delay: Duration) {
        let id = granted.id.clone();
        if self.running.borrow().contains_key(&id) {
            return;
        }
        let (runner, gateway, finished_id) = (self.clone(), gateway.clone(), id.clone());
        let task = spawn_local(async move {
            sleep(delay).await;
            let end = ItemRun::new(gateway, granted).run().await;
            runner.on_item_ended(finished_id, end);
        });
        self.running.borrow_mut().insert(id, task.abort_handle());
    }
    fn on_item_ended(&self, id: ItemId, end: ItemEnd) {
        self.running.borrow_mut().remove(&id);
        match end {
            ItemEnd::Finished(outcome) => {
                self.finished.borrow_mut().push(FinishedItem { id, outcome });
                self.item_finished.notify_one();
            }
            ItemEnd::Returned => self.has_returned_items.set(true),
        }
    }
}
