//! Stand-in for the stores: one store that grants the items that a test queues, and records the reports of
//! the gateway.

use super::{internal_address, unused_ip, wait_for};
use marblecroft_batch_state::{Item, ItemId, ItemOutcome, NewJob};
use marblecroft_protocol::store::{GrantedItem, StoreReply, StoreRequest, WorkReply, WorkRequest};
use marblecroft_rpc::{http, serve, Bytes, Service};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

/// Duration of the leases; longer than any test.
const LEASE_MS: u32 = 60_000;

#[derive(Default)]
struct State {
    queued: Vec<GrantedItem>,
    reports: Vec<WorkRequest>,
    jobs: Vec<NewJob>,
    /// Replies to the next submissions; `None` fails the call. Later ones are accepted.
    submission_replies: VecDeque<Option<StoreReply>>,
}

/// The stand-in.
pub struct Stores {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Stores {
    /// Starts a store.
    pub fn start() -> Stores {
        let stores = Stores { address: internal_address(unused_ip()), state: Arc::default() };
        let listener = http::listen(stores.address).expect("the address is free");
        let state = stores.state.clone();
        serve(listener, Service::Stores, move |request| handle(&state, request)).expect("serves");
        stores
    }

    /// Returns the address at which gateways call the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Returns the jobs that gateways have submitted.
    pub fn jobs(&self) -> Vec<NewJob> {
        self.state().jobs.clone()
    }

    /// Sets the replies to the next submissions; `None` fails the call. Later ones are accepted.
    pub fn reply_to_submissions(&self, replies: Vec<Option<StoreReply>>) {
        self.state().submission_replies = replies.into();
    }

    /// Grants an item of a job with one item to the gateway, with its next request.
    pub fn grant(&self, job: &str, host: &str, path: &str) -> ItemId {
        let id = ItemId { job: job.to_owned(), item: 0 };
        let item = Item {
            id: format!("{job}-0"),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes(b"body".to_vec()),
            tokens: 10,
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
        self.state().queued.push(GrantedItem {
            id: id.clone(),
            host: host.to_owned(),
            route: "route".to_owned(),
            item,
            accepted_at_ms: u64::try_from(now).expect("fits"),
        });
        id
    }

    /// Waits until the gateway reports that it runs an item, or that it has finished it.
    pub fn wait_until_started(&self, id: &ItemId) {
        wait_for("a report of the item", || {
            let state = self.state();
            let mut reports = state.reports.iter();
            reports
                .any(|report| {
                    report.running.contains(id) || report.finished.iter().any(|result| result.id == *id)
                })
                .then_some(())
        });
    }

    /// Returns the outcome that the gateway has reported for an item.
    pub fn outcome(&self, id: &ItemId) -> Option<ItemOutcome> {
        let state = self.state();
        let finished = state.reports.iter().flat_map(|report| &report.finished);
        finished.filter(|result| result.id == *id).map(|result| result.outcome.clone()).next()
    }

    /// Waits for the outcome of an item.
    pub fn wait_for_outcome(&self, id: &ItemId) -> ItemOutcome {
        wait_for("the outcome of the item", || self.outcome(id))
    }

    /// Waits for the first report without an item that earlier reports contain, and returns the report.
    pub fn wait_until_returned(&self, id: &ItemId) -> WorkRequest {
        wait_for("the return of the item", || {
            let state = self.state();
            let started = state.reports.iter().position(|report| report.running.contains(id))?;
            state.reports[started..].iter().find(|report| !report.running.contains(id)).cloned()
        })
    }
}

fn handle(state: &Mutex<State>, request: StoreRequest) -> Option<StoreReply> {
    match request {
        StoreRequest::Work(work) => {
            let mut state = state.lock().expect("not poisoned");
            let count = state.queued.len().min(work.capacity as usize);
            state.reports.push(work);
            let granted = state.queued.drain(..count).collect();
            let reply = WorkReply { granted, lease_ms: LEASE_MS, gateway_count: 1, ..WorkReply::default() };
            Some(StoreReply::Work(reply))
        }
        StoreRequest::SubmitJob(job) => {
            let mut state = state.lock().expect("not poisoned");
            state.jobs.push(job);
            state.submission_replies.pop_front().unwrap_or(Some(StoreReply::Accepted))
        }
        _ => None,
    }
}
