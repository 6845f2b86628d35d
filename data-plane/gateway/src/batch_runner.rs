//! Runs items of batch jobs: asks the stores for some under leases, runs them at servers that have room, and has their
//! results recorded.

use crate::gateway::Gateway;
use crate::live::strip_connection_headers;
use crate::stores::Outcome;
use crate::upstream::{
    Answer, Failure, Order, LAST_EVENT_ID, NOT_EXECUTED, REQUEST_ID, SERVER_LOAD, SIGNATURE,
};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Method, StatusCode};
use marblecroft_batch_state::ItemOutcome;
use marblecroft_protocol::load_address;
use marblecroft_protocol::servers::Server;
use marblecroft_protocol::store::{
    FinishedItem, GatewayLoad, GrantedItem, ItemName, StoreReply, StoreRequest, WorkRequest,
};
use marblecroft_routing::events::Splitter;
use marblecroft_routing::placement::{ServerOutcome, ToldLoad, Wish};
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
const ITEMS_MOST: usize = 64;
/// Pause between two questions for work.
const ASK_EVERY: Duration = Duration::from_millis(250);
/// Results wait so long for others, so that several are recorded at once.
const GATHER: Duration = Duration::from_millis(30);
/// Time for a question.
const ASK_TIME: Duration = Duration::from_millis(2500);
/// An item goes to a server that is taken no further than this.
const LOAD_MOST: f64 = 0.88;
/// Items that are granted together begin so far apart: their prompts are read in turn, and streams pause less.
const BEGIN_APART: Duration = Duration::from_millis(12);
/// Pause where no server has room.
const ROOM_PAUSE: Duration = Duration::from_millis(40);
/// Pause after an attempt that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(60);
/// A server that is silent for so long is given up.
const SILENCE_MOST: Duration = Duration::from_millis(2500);
/// An item is given up so long after its time is over, by clocks that may differ.
const CLOCKS_DIFFER: Duration = Duration::from_secs(10);

/// An item that is run here.
struct Running {
    task: AbortHandle,
}

/// The items of this gateway.
#[derive(Default)]
struct Runner {
    running: RefCell<HashMap<ItemName, Running>>,
    finished: RefCell<Vec<FinishedItem>>,
    /// Something was finished.
    news: Notify,
    /// Until when the leases hold.
    lease_until: Cell<Option<Instant>>,
}

/// Runs until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    let runner = Rc::new(Runner::default());
    let lapse = runner.clone();
    spawn_local(async move { lapse.stop_lapsed().await });
    loop {
        tokio::select! {
            () = sleep(ASK_EVERY) => {}
            () = runner.news.notified() => sleep(GATHER).await,
        }
        if gateway.state.known().stores.number > 0 {
            runner.ask(&gateway).await;
        }
    }
}

impl Runner {
    /// Stops everything when the leases have lapsed.
    async fn stop_lapsed(&self) {
        loop {
            sleep(ASK_EVERY).await;
            if self.lease_until.get().is_some_and(|until| Instant::now() >= until) {
                for (_, running) in self.running.borrow_mut().drain() {
                    running.task.abort();
                }
            }
        }
    }

    async fn ask(self: &Rc<Runner>, gateway: &Rc<Gateway>) {
        let finished = std::mem::take(&mut *self.finished.borrow_mut());
        let running: Vec<ItemName> = self.running.borrow().keys().cloned().collect();
        let room = if gateway.state.is_terminating() { 0 } else { ITEMS_MOST.saturating_sub(running.len()) };
        let zones = gateway.fleet.borrow_mut().zone_means(gateway.now());
        let slots = gateway.fleet.borrow().all_slots();
        let request = StoreRequest::Work(WorkRequest {
            gateway: gateway.settings.node_name.clone(),
            running,
            finished: finished.clone(),
            room: u32::try_from(room).unwrap_or(0),
            load: GatewayLoad { live: gateway.live.recent_mean(), slots },
            zone: gateway.settings.zone.clone(),
            load_address: load_address(gateway.settings.ip.into(), gateway.settings.ephemeral_ports),
            peers: gateway.load_exchange.digest(),
            zones,
        });
        let stores = gateway.stores.clone();
        let asked_at = Instant::now();
        let outcome = spawn_blocking(move || stores.call(&request, ASK_TIME)).await;
        let reply = match outcome {
            Ok(Outcome::Reply(reply)) => match *reply {
                StoreReply::Work(reply) => reply,
                _ => return self.keep(finished),
            },
            Ok(Outcome::NotRun | Outcome::MayHaveRun) | Err(_) => return self.keep(finished),
        };
        self.lease_until.set(Some(asked_at + Duration::from_millis(reply.lease_ms.into())));
        gateway.pool.note_gateways(reply.gateways);
        gateway.fleet.borrow_mut().note_all(&reply.zones, reply.live, gateway.now());
        if let Some(peers) = reply.peers {
            gateway.load_exchange.update(peers.digest, peers.addresses);
        }
        for name in reply.stop {
            if let Some(running) = self.running.borrow_mut().remove(&name) {
                running.task.abort();
            }
        }
        for (place, granted) in (0..).zip(reply.granted) {
            self.begin(gateway, granted, BEGIN_APART * place);
        }
    }

    /// Results that were not recorded, or perhaps not, are told again.
    fn keep(&self, finished: Vec<FinishedItem>) {
        let mut kept = self.finished.borrow_mut();
        kept.splice(0..0, finished);
    }

    fn begin(self: &Rc<Runner>, gateway: &Rc<Gateway>, granted: GrantedItem, after: Duration) {
        let name = granted.name.clone();
        if self.running.borrow().contains_key(&name) {
            return;
        }
        let (runner, gateway, key) = (self.clone(), gateway.clone(), name.clone());
        let task = spawn_local(async move {
            sleep(after).await;
            let outcome = ItemRun::new(gateway, granted).run().await;
            runner.running.borrow_mut().remove(&key);
            runner.finished.borrow_mut().push(FinishedItem { name: key, outcome });
            runner.news.notify_one();
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
    texts: Vec<String>,
    last_event: Option<u64>,
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
    Again,
}

/// Counts an item at a server while it is there.
struct Placed<'a>(&'a Gateway, &'a Server);

impl Drop for Placed<'_> {
    fn drop(&mut self) {
        self.0.fleet.borrow_mut().ended(&self.1.id, self.0.now());
    }
}

impl ItemRun {
    fn new(gateway: Rc<Gateway>, granted: GrantedItem) -> ItemRun {
        let header = |name: &str| {
            granted.item.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
        };
        let prompt = Prompt::parse(header("x-token-usage"), header("x-prefix-hash"));
        ItemRun { gateway, granted, prompt, texts: Vec::new(), last_event: None, failures: 0 }
    }

    /// Runs the item until it has an outcome.
    async fn run(mut self) -> ItemOutcome {
        let mut tried: Vec<String> = Vec::new();
        loop {
            let known = self.gateway.state.known();
            let route = known.configuration.as_ref().and_then(|configuration| {
                configuration.route(&self.granted.host, &self.granted.item.path).cloned()
            });
            let Some(route) = route else {
                if known.configuration.is_some() {
                    debug!(item = %self.granted.item.id, "its route is gone");
                    return ItemOutcome::DeadLettered;
                }
                sleep(ROOM_PAUSE).await;
                continue;
            };
            if self.failures >= route.attempts || self.is_over(route.retention) {
                return ItemOutcome::DeadLettered;
            }
            let service = self.gateway.service_of(&route, &self.granted.item.id);
            let Some(server) = self.choose(&service, &tried) else {
                tried.clear();
                sleep(ROOM_PAUSE).await;
                continue;
            };
            match self.attempt(&server).await {
                Attempt::Complete => return ItemOutcome::Completed(self.texts.join("\n")),
                Attempt::Impossible => return ItemOutcome::DeadLettered,
                Attempt::Failed => self.failures += 1,
                Attempt::Again => {}
            }
            tried.push(server.id);
            sleep(FAILED_PAUSE).await;
        }
    }

    fn is_over(&self, retention: Duration) -> bool {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let taken = Duration::from_millis(self.granted.taken_at_ms);
        now.saturating_sub(taken) > retention.saturating_add(CLOCKS_DIFFER)
    }

    fn choose(&self, service: &str, tried: &[String]) -> Option<Server> {
        let wish = Wish { service, shared: self.prompt.shared_key(), tried, load_most: LOAD_MOST };
        self.gateway.fleet.borrow_mut().choose(&wish, self.gateway.now())
    }

    fn order(&self) -> Option<Order> {
        let item = &self.granted.item;
        let mut headers = HeaderMap::new();
        for (name, value) in &item.headers {
            headers.insert(name.parse::<HeaderName>().ok()?, HeaderValue::from_str(value).ok()?);
        }
        strip_connection_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        headers.insert(HOST, HeaderValue::from_str(&self.granted.host).ok()?);
        headers.insert(REQUEST_ID, HeaderValue::from_str(&item.id).ok()?);
        if let Some(last) = self.last_event {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(last));
        }
        let body = Bytes::from(item.body.0.clone());
        Some(Order { method: Method::POST, uri: item.path.parse().ok()?, headers, body, may_repeat: true })
    }

    async fn attempt(&mut self, server: &Server) -> Attempt {
        let gateway = self.gateway.clone();
        let Some(order) = self.order() else { return Attempt::Impossible };
        gateway.fleet.borrow_mut().sent(&server.id, self.prompt.tokens_in, gateway.now());
        let _placed = Placed(&gateway, server);
        let usable = || gateway.fleet.borrow().usable(&server.id);
        let sent = timeout(SILENCE_MOST, gateway.pool.send(server, &order, usable)).await;
        let now = gateway.now();
        match sent {
            Ok(Ok(answer)) => self.judge(server, answer).await,
            Ok(Err(Failure::NotSent | Failure::MayHaveRun)) | Err(_) => {
                gateway.fleet.borrow_mut().note_outcome(&server.id, ServerOutcome::Failed, now);
                gateway.pool.forget(server);
                Attempt::Again
            }
        }
    }

    async fn judge(&mut self, server: &Server, answer: Answer) -> Attempt {
        let Answer { response, link } = answer;
        let connections = self.gateway.connections_of(&server.backend);
        let (head, mut body) = response.into_parts();
        let gateway = self.gateway.clone();
        let now = gateway.now();
        let header = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
        {
            let mut fleet = gateway.fleet.borrow_mut();
            if let Some(load) = header(&SERVER_LOAD).and_then(ToldLoad::parse) {
                fleet.told(&server.id, load, now);
            }
        }
        let own = header(&REQUEST_ID).is_none_or(|id| id == self.granted.item.id);
        let signed = head.headers.contains_key(SIGNATURE);
        if head.headers.contains_key(NOT_EXECUTED) || head.status == StatusCode::MISDIRECTED_REQUEST {
            gateway.fleet.borrow_mut().note_outcome(&server.id, ServerOutcome::Full, now);
            return Attempt::Again;
        }
        if !own || !signed {
            return Attempt::Again;
        }
        // An item that cannot be done answers 500 at each server: it tells nothing of this one.
        gateway.fleet.borrow_mut().note_outcome(&server.id, ServerOutcome::Answered, now);
        match head.status {
            StatusCode::INTERNAL_SERVER_ERROR => return Attempt::Failed,
            StatusCode::UNPROCESSABLE_ENTITY => return Attempt::Impossible,
            status if !status.is_success() => return Attempt::Again,
            _ => {}
        }
        let mut splitter = Splitter::default();
        loop {
            let data = match timeout(SILENCE_MOST, body.frame()).await {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) if !splitter.is_partial() => {
                    gateway.pool.give_back(server, link, &head.headers, connections);
                    return Attempt::Complete;
                }
                Ok(Some(Err(_)) | None) => return Attempt::Again,
                Err(_) => {
                    gateway.fleet.borrow_mut().note_outcome(&server.id, ServerOutcome::Failed, gateway.now());
                    return Attempt::Again;
                }
            };
            splitter.push(&data);
            while let Some(event) = splitter.next_event() {
                self.texts.push(event.data);
                self.last_event = event.id.or(self.last_event);
            }
            if splitter.is_overlong() {
                return Attempt::Again;
            }
        }
    }
}
