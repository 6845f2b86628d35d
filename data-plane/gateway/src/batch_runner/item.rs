//! Runs one item of a batch job: attempts at servers that have capacity, until there is a result.
//!
//! Attempts continue until the item completes or cannot be processed, its route no longer exists,
//! the maximum number of failures of the route is reached, or its retention time has passed. Only a
//! response with status 500 counts as a failure of the item. Everything else is attributed to a
//! server or the network, and another server is tried. An interrupted stream is resumed after
//! the last event received.

use crate::gateway::Gateway;
use crate::headers::{strip_hop_by_hop, LAST_EVENT_ID, PREFIX_HASH, REQUEST_ID, TOKEN_USAGE};
use crate::in_flight::InFlightAttempt;
use crate::upstream::{
    EventStream, ResponseClass, ResponsePolicy, StreamStep, UpstreamRequest, UpstreamResponse,
};
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Method, StatusCode};
use marblecroft_batch_state::ItemOutcome;
use marblecroft_configuration::Route;
use marblecroft_protocol::servers::Server;
use marblecroft_protocol::store::GrantedItem;
use marblecroft_routing::balance::{PlacementRequest, ServerOutcome};
use marblecroft_routing::prompt::Prompt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, timeout};
use tracing::debug;

/// Maximum occupancy of a server that may receive an item. The remaining slots are reserved for
/// live requests.
const MAX_SERVER_OCCUPANCY: f64 = 0.88;
/// Backoff if no server has capacity.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_millis(40);
/// Backoff after an attempt without a result.
const FAILURE_BACKOFF: Duration = Duration::from_millis(60);
/// An attempt is abandoned if the server sends nothing for this time.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2500);
/// Margin for clock skew between gateway and store: an item is dead-lettered only this long after its
/// retention time.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// A running item.
pub(super) struct ItemRun {
    gateway: Rc<Gateway>,
    granted: GrantedItem,
    prompt: Prompt,
    /// Data of the events received so far, over all attempts.
    event_data: Vec<String>,
    /// Id of the event after which the next attempt resumes.
    last_event_id: Option<u64>,
    /// Number of responses with status 500.
    failures: u32,
}

/// Result of an attempt.
enum AttemptOutcome {
    /// The stream is complete.
    Complete,
    /// The server responded with status 500.
    Failed,
    /// The item cannot be processed by any server.
    Unprocessable,
    /// Any other result: the item is tried again at another server.
    Retry,
}

/// Result of looking up an item's route in the current configuration.
enum RouteLookup {
    Found(Arc<Route>),
    /// The current configuration has no such route.
    Removed,
    /// No configuration has been received yet.
    NoConfiguration,
}

impl ItemRun {
    pub(super) fn new(gateway: Rc<Gateway>, granted: GrantedItem) -> ItemRun {
        let header = |name: &str| {
            granted.item.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
        };
        let prompt = Prompt::parse(header(TOKEN_USAGE), header(PREFIX_HASH));
        ItemRun { gateway, granted, prompt, event_data: Vec::new(), last_event_id: None, failures: 0 }
    }

    /// Runs the item until it has an outcome.
    pub(super) async fn run(mut self) -> ItemOutcome {
        let mut attempted: Vec<String> = Vec::new();
        loop {
            let route = match self.route() {
                RouteLookup::Found(route) => route,
                RouteLookup::Removed => {
                    debug!(item = %self.granted.item.id, "route no longer exists");
                    return ItemOutcome::DeadLettered;
                }
                RouteLookup::NoConfiguration => {
                    sleep(NO_CAPACITY_BACKOFF).await;
                    continue;
                }
            };
            if self.failures >= route.attempts || self.is_expired(route.retention) {
                return ItemOutcome::DeadLettered;
            }
            let service = self.gateway.service_of(&route, &self.granted.item.id);
            let Some(server) = self.choose(&service, &attempted) else {
                // The next iteration may choose servers that have already been tried.
                attempted.clear();
                sleep(NO_CAPACITY_BACKOFF).await;
                continue;
            };
            attempted.push(server.id.clone());
            match self.attempt(server).await {
                AttemptOutcome::Complete => return ItemOutcome::Completed(self.event_data.join("\n")),
                AttemptOutcome::Unprocessable => return ItemOutcome::DeadLettered,
                AttemptOutcome::Failed => self.failures += 1,
                AttemptOutcome::Retry => {}
            }
            sleep(FAILURE_BACKOFF).await;
        }
    }

    fn route(&self) -> RouteLookup {
        let Some(configuration) = self.gateway.state.snapshot().configuration else {
            return RouteLookup::NoConfiguration;
        };
        match configuration.route(&self.granted.host, &self.granted.item.path) {
            Some(route) => RouteLookup::Found(route.clone()),
            None => RouteLookup::Removed,
        }
    }

    fn is_expired(&self, retention: Duration) -> bool {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let accepted_at = Duration::from_millis(self.granted.accepted_at_ms);
        now.saturating_sub(accepted_at) > retention.saturating_add(MAX_CLOCK_SKEW)
    }

    fn choose(&self, service: &str, attempted: &[String]) -> Option<Server> {
        let placement = PlacementRequest {
            service,
            prefix_key: self.prompt.prefix_key(),
            attempted,
            max_occupancy: MAX_SERVER_OCCUPANCY,
        };
        self.gateway.balancer.borrow_mut().choose(&placement, self.gateway.now())
    }

    /// Returns the request to send to servers, or `None` if the item's path or headers are not
    /// valid HTTP.
    fn upstream_request(&self) -> Option<UpstreamRequest> {
        let item = &self.granted.item;
        let mut headers = HeaderMap::new();
        for (name, value) in &item.headers {
            headers.insert(name.parse::<HeaderName>().ok()?, HeaderValue::from_str(value).ok()?);
        }
        strip_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        headers.insert(HOST, HeaderValue::from_str(&self.granted.host).ok()?);
        headers.insert(REQUEST_ID, HeaderValue::from_str(&item.id).ok()?);
        if let Some(last_event) = self.last_event_id {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(last_event));
        }
        Some(UpstreamRequest {
            method: Method::POST,
            uri: item.path.parse().ok()?,
            headers,
            body: Bytes::from(item.body.0.clone()),
            allows_reexecution: true,
        })
    }

    /// Makes one attempt at `server`.
    async fn attempt(&mut self, server: Server) -> AttemptOutcome {
        let gateway = self.gateway.clone();
        let Some(request) = self.upstream_request() else { return AttemptOutcome::Unprocessable };
        let in_flight = InFlightAttempt::new(&gateway, server, &self.prompt);
        let server = in_flight.server();
        let may_send = || gateway.balancer.borrow().is_available(&server.id);
        match timeout(FRAME_TIMEOUT, gateway.pool.send(server, &request, may_send)).await {
            Ok(Ok(response)) => self.on_response(server, response).await,
            Ok(Err(_)) | Err(_) => {
                gateway.on_attempt_failed(server);
                AttemptOutcome::Retry
            }
        }
    }

    /// Classifies the head of a response, and reads the events of a successful one.
    async fn on_response(&mut self, server: &Server, response: UpstreamResponse) -> AttemptOutcome {
        let UpstreamResponse { response, connection } = response;
        let max_connections = self.gateway.max_connections_of(&server.backend);
        let (head, body) = response.into_parts();
        let class = ResponsePolicy::BATCH.classify_and_record(
            &head,
            &self.granted.item.id,
            &server.id,
            &mut self.gateway.balancer.borrow_mut(),
            self.gateway.now(),
        );
        match class {
            ResponseClass::Success => {}
            ResponseClass::Error(StatusCode::INTERNAL_SERVER_ERROR) => return AttemptOutcome::Failed,
            ResponseClass::Error(StatusCode::UNPROCESSABLE_ENTITY) => return AttemptOutcome::Unprocessable,
            ResponseClass::Error(_) | ResponseClass::NotExecuted | ResponseClass::Untrusted => {
                return AttemptOutcome::Retry
            }
        }
        let outcome = self.collect_events(server, EventStream::new(body)).await;
        if matches!(outcome, AttemptOutcome::Complete) {
            self.gateway.pool.put_back(server, connection, &head.headers, max_connections);
        }
        outcome
    }

    /// Collects the data of all events until the stream ends.
    async fn collect_events(&mut self, server: &Server, mut stream: EventStream) -> AttemptOutcome {
        loop {
            match stream.next(FRAME_TIMEOUT).await {
                StreamStep::Frame => {
                    while let Some(event) = stream.next_event() {
                        self.event_data.push(event.data);
                        self.last_event_id = event.id.or(self.last_event_id);
                    }
                    if stream.is_overlong() {
                        return AttemptOutcome::Retry;
                    }
                }
                StreamStep::Complete => return AttemptOutcome::Complete,
                StreamStep::Broken => return AttemptOutcome::Retry,
                StreamStep::TimedOut => {
                    self.gateway.record_outcome(server, ServerOutcome::Failed);
                    return AttemptOutcome::Retry;
                }
            }
        }
    }
}
