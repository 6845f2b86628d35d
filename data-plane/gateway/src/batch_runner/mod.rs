//! Runs items of batch jobs: asks the stores for some under leases, runs them at servers that have room, and has their
//! results recorded.

use crate::gateway::Gateway;
use crate::live_request::strip_connection_headers;
use crate::stores::Outcome;
use crate::upstream::{
    AttemptError, UpstreamRequest, UpstreamResponse, LAST_EVENT_ID, NOT_EXECUTED, REQUEST_ID, SERVER_LOAD,
    SIGNATURE,
};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Method, StatusCode};
use marblecroft_batch_state::ItemOutcome;
use marblecroft_protocol::load_address;
use marblecroft_protocol::servers::Server;
use marblecroft_protocol::store::{
    FinishedItem, GatewayLoad, GrantedItem, ItemId, StoreReply, StoreRequest, WorkRequest,
};
use marblecroft_routing::balance::{PlacementRequest, ReportedLoad, ServerOutcome};
use marblecroft_routing::events::EventSplitter;
use marblecroft_routing::prompt::Prompt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::task::{spawn_blocking, spawn_local, AbortHandle};
use tokio::time::{sleep, timeout, Instant};
use tracing::debug;

/// Items that one gateway runs at once.
const MAX_RUNNING_ITEMS: usize = 64;
/// Pause between two questions for work.
const WORK_INTERVAL: Duration = Duration::from_millis(250);
/// Results wait so long for others, so that several are recorded at once.
const RESULT_BATCHING_DELAY: Duration = Duration::from_millis(30);
/// Time for a question.
const WORK_CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// An item goes to a server that is taken no further than this.
const MAX_SERVER_LOAD: f64 = 0.88;
/// Items that are granted together begin so far apart: their prompts are read in turn, and streams pause less.
const START_SPACING: Duration = Duration::from_millis(12);
/// Pause where no server has room.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_millis(40);
/// Pause after an attempt that failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(60);
/// A server that is silent for so long is given up.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2500);
/// An item is given up so long after its time is over, by clocks that may differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// An item that is run here.
struct Running {
    task: AbortHandle,
}

/// The items of this gateway.
#[derive(Default)]
struct Runner {
    running: RefCell<HashMap<ItemId, Running>>,
    finished: RefCell<Vec<FinishedItem>>,
    /// Something was finished.
    item_finished: Notify,
    /// Until when the leases hold.
    lease_expires_at: Cell<Option<Instant>>,
}

/// Runs until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    let runner = Rc::new(Runner::default());
    let lapse = runner.clone();
    spawn_local(async move { lapse.abort_expired().await });
    loop {
        tokio::select! {
            () = sleep(WORK_INTERVAL) => {}
            () = runner.item_finished.notified() => sleep(RESULT_BATCHING_DELAY).await,
        }
        if gateway.state.snapshot().stores.number > 0 {
            runner.exchange_work(&gateway).await;
        }
    }
}

impl Runner {
    /// Stops everything when the leases have lapsed.
    async fn abort_expired(&self) {
        loop {
            sleep(WORK_INTERVAL).await;
            if self.lease_expires_at.get().is_some_and(|until| Instant::now() >= until) {
                for (_, running) in self.running.borrow_mut().drain() {
                    running.task.abort();
                }
            }
        }
    }

    async fn exchange_work(self: &Rc<Runner>, gateway: &Rc<Gateway>) {
        let finished = std::mem::take(&mut *self.finished.borrow_mut());
        let running: Vec<ItemId> = self.running.borrow().keys().cloned().collect();
        let room =
            if gateway.state.is_terminating() { 0 } else { MAX_RUNNING_ITEMS.saturating_sub(running.len()) };
        let zones = gateway.balancer.borrow_mut().zone_averages(gateway.now());
        let slots = gateway.balancer.borrow().total_slots();
        let request = StoreRequest::Work(WorkRequest {
            gateway: gateway.settings.node_name.clone(),
            running,
            finished: finished.clone(),
            capacity: u32::try_from(room).unwrap_or(0),
            load: GatewayLoad { live_requests: gateway.live_concurrency.recent_mean(), slots },
            zone: gateway.settings.zone.clone(),
            load_address: load_address(gateway.settings.ip.into(), gateway.settings.ephemeral_ports),
            peers_digest: gateway.load_exchange.digest(),
            zone_loads: zones,
        });
        let stores = gateway.stores.clone();
        let asked_at = Instant::now();
        let outcome = spawn_blocking(move || stores.call(&request, WORK_CALL_TIMEOUT)).await;
        let reply = match outcome {
            Ok(Outcome::Reply(reply)) => match *reply {
                StoreReply::Work(reply) => reply,
                _ => return self.requeue_results(finished),
            },
            Ok(Outcome::NotExecuted | Outcome::MayHaveExecuted) | Err(_) => {
                return self.requeue_results(finished)
            }
        };
        self.lease_expires_at.set(Some(asked_at + Duration::from_millis(reply.lease_ms.into())));
        gateway.pool.set_gateway_count(reply.gateway_count);
        gateway.balancer.borrow_mut().on_cluster_load(&reply.zone_loads, reply.live_requests, gateway.now());
        if let Some(peers) = reply.peers {
            gateway.load_exchange.update(peers.digest, peers.addresses);
        }
        for name in reply.stop {
            if let Some(running) = self.running.borrow_mut().remove(&name) {
                running.task.abort();
            }
        }
        for (place, granted) in (0..).zip(reply.granted) {
            self.start_item(gateway, granted, START_SPACING * place);
        }
    }

    /// Results that were not recorded, or perhaps not, are told again.
    fn requeue_results(&self, finished: Vec<FinishedItem>) {
        let mut kept = self.finished.borrow_mut();
        kept.splice(0..0, finished);
    }

    fn start_item(self: &Rc<Runner>, gateway: &Rc<Gateway>, granted: GrantedItem, after: Duration) {
        let name = granted.id.clone();
        if self.running.borrow().contains_key(&name) {
            return;
        }
        let (runner, gateway, key) = (self.clone(), gateway.clone(), name.clone());
        let task = spawn_local(async move {
            sleep(after).await;
            let outcome = ItemRun::new(gateway, granted).run().await;
            runner.running.borrow_mut().remove(&key);
            runner.finished.borrow_mut().push(FinishedItem { id: key, outcome });
            runner.item_finished.notify_one();
        });
        self.running.borrow_mut().insert(name, Running { task: task.abort_handle() });
    }
}

/// One item on its way.
struct ItemRun {
    gateway: Rc<Gateway>,
    granted: GrantedItem,
    prompt: Prompt,
    /// The data of the events so far.
    event_data: Vec<String>,
    last_event_id: Option<u64>,
    /// Answers of 500.
    failures: u32,
}

/// How an attempt of an item ended.
enum Attempt {
    Complete,
    /// The server answered 500.
    Failed,
    /// The server says that the item can never be done.
    Impossible,
    /// Anything else: again, at another server.
    Retry,
}

/// Counts an item at a server while it is there.
struct InFlightItem<'a>(&'a Gateway, &'a Server);

impl Drop for InFlightItem<'_> {
    fn drop(&mut self) {
        self.0.balancer.borrow_mut().on_finished(&self.1.id, self.0.now());
    }
}

impl ItemRun {
    fn new(gateway: Rc<Gateway>, granted: GrantedItem) -> ItemRun {
        let header = |name: &str| {
            granted.item.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
        };
        let prompt = Prompt::parse(header("x-token-usage"), header("x-prefix-hash"));
        ItemRun { gateway, granted, prompt, event_data: Vec::new(), last_event_id: None, failures: 0 }
    }

    /// Runs the item until it has an outcome.
    async fn run(mut self) -> ItemOutcome {
        let mut tried: Vec<String> = Vec::new();
        loop {
            let known = self.gateway.state.snapshot();
            let route = known.configuration.as_ref().and_then(|configuration| {
                configuration.route(&self.granted.host, &self.granted.item.path).cloned()
            });
            let Some(route) = route else {
                if known.configuration.is_some() {
                    debug!(item = %self.granted.item.id, "its route is gone");
                    return ItemOutcome::DeadLettered;
                }
                sleep(NO_CAPACITY_BACKOFF).await;
                continue;
            };
            if self.failures >= route.attempts || self.is_expired(route.retention) {
                return ItemOutcome::DeadLettered;
            }
            let service = self.gateway.service_of(&route, &self.granted.item.id);
            let Some(server) = self.choose(&service, &tried) else {
                tried.clear();
                sleep(NO_CAPACITY_BACKOFF).await;
                continue;
            };
            match self.attempt(&server).await {
                Attempt::Complete => return ItemOutcome::Completed(self.event_data.join("\n")),
                Attempt::Impossible => return ItemOutcome::DeadLettered,
                Attempt::Failed => self.failures += 1,
                Attempt::Retry => {}
            }
            tried.push(server.id);
            sleep(FAILURE_BACKOFF).await;
        }
    }

    fn is_expired(&self, retention: Duration) -> bool {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let taken = Duration::from_millis(self.granted.accepted_at_ms);
        now.saturating_sub(taken) > retention.saturating_add(MAX_CLOCK_SKEW)
    }

    fn choose(&self, service: &str, tried: &[String]) -> Option<Server> {
        let wish = PlacementRequest {
            service,
            prefix_key: self.prompt.prefix_key(),
            attempted: tried,
            max_load: MAX_SERVER_LOAD,
        };
        self.gateway.balancer.borrow_mut().choose(&wish, self.gateway.now())
    }

    fn upstream_request(&self) -> Option<UpstreamRequest> {
        let item = &self.granted.item;
        let mut headers = HeaderMap::new();
        for (name, value) in &item.headers {
            headers.insert(name.parse::<HeaderName>().ok()?, HeaderValue::from_str(value).ok()?);
        }
        strip_connection_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        headers.insert(HOST, HeaderValue::from_str(&self.granted.host).ok()?);
        headers.insert(REQUEST_ID, HeaderValue::from_str(&item.id).ok()?);
        if let Some(last) = self.last_event_id {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(last));
        }
        let body = Bytes::from(item.body.0.clone());
        Some(UpstreamRequest {
            method: Method::POST,
            uri: item.path.parse().ok()?,
            headers,
            body,
            idempotent: true,
        })
    }

    async fn attempt(&mut self, server: &Server) -> Attempt {
        let gateway = self.gateway.clone();
        let Some(order) = self.upstream_request() else { return Attempt::Impossible };
        gateway.balancer.borrow_mut().on_sent(&server.id, self.prompt.input_tokens, gateway.now());
        let _placed = InFlightItem(&gateway, server);
        let usable = || gateway.balancer.borrow().is_available(&server.id);
        let sent = timeout(FRAME_TIMEOUT, gateway.pool.send(server, &order, usable)).await;
        let now = gateway.now();
        match sent {
            Ok(Ok(answer)) => self.handle_response(server, answer).await,
            Ok(Err(AttemptError::NotSent | AttemptError::MayHaveExecuted)) | Err(_) => {
                gateway.balancer.borrow_mut().on_outcome(&server.id, ServerOutcome::Failed, now);
                gateway.pool.close_idle_to(server);
                Attempt::Retry
            }
        }
    }

    async fn handle_response(&mut self, server: &Server, answer: UpstreamResponse) -> Attempt {
        let UpstreamResponse { response, connection: link } = answer;
        let connections = self.gateway.max_connections_of(&server.backend);
        let (head, mut body) = response.into_parts();
        let gateway = self.gateway.clone();
        let now = gateway.now();
        let header = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
        {
            let mut fleet = gateway.balancer.borrow_mut();
            if let Some(load) = header(&SERVER_LOAD).and_then(ReportedLoad::parse) {
                fleet.on_reported_load(&server.id, load, now);
            }
        }
        let own = header(&REQUEST_ID).is_none_or(|id| id == self.granted.item.id);
        let signed = head.headers.contains_key(SIGNATURE);
        if head.headers.contains_key(NOT_EXECUTED) || head.status == StatusCode::MISDIRECTED_REQUEST {
            gateway.balancer.borrow_mut().on_outcome(&server.id, ServerOutcome::Full, now);
            return Attempt::Retry;
        }
        if !own || !signed {
            return Attempt::Retry;
        }
        // An item that cannot be done answers 500 at each server: it tells nothing of this one.
        gateway.balancer.borrow_mut().on_outcome(&server.id, ServerOutcome::Succeeded, now);
        match head.status {
            StatusCode::INTERNAL_SERVER_ERROR => return Attempt::Failed,
            StatusCode::UNPROCESSABLE_ENTITY => return Attempt::Impossible,
            status if !status.is_success() => return Attempt::Retry,
            _ => {}
        }
        let mut splitter = EventSplitter::default();
        loop {
            let data = match timeout(FRAME_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) if !splitter.is_partial() => {
                    gateway.pool.put_back(server, link, &head.headers, connections);
                    return Attempt::Complete;
                }
                Ok(Some(Err(_)) | None) => return Attempt::Retry,
                Err(_) => {
                    gateway.balancer.borrow_mut().on_outcome(
                        &server.id,
                        ServerOutcome::Failed,
                        gateway.now(),
                    );
                    return Attempt::Retry;
                }
            };
            splitter.push(&data);
            while let Some(event) = splitter.next_event() {
                self.event_data.push(event.data);
                self.last_event_id = event.id.or(self.last_event_id);
            }
            if splitter.is_overlong() {
                return Attempt::Retry;
            }
        }
    }
}
