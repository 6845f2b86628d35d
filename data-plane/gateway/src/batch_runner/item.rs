//! One item of a batch job: attempts at servers that have capacity, until there is a result.
//!
//! Attempts go on until the item completes, its route's number of failures is reached, or its retention is over. Only a
//! response of 500 counts as a failure of the item; everything else is a fault of a server or of the way there, and another
//! server is tried. A stream that broke off is resumed after the last event received.

use crate::gateway::Gateway;
use crate::headers::{strip_hop_by_hop, LAST_EVENT_ID, PREFIX_HASH, REQUEST_ID, TOKEN_USAGE};
use crate::in_flight::InFlightAttempt;
use crate::upstream::{EventStream, ResponsePolicy, StreamStep, UpstreamRequest, UpstreamResponse, Verdict};
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

/// The highest occupancy of a server that gets an item: the rest of its slots is left to live requests.
const MAX_SERVER_OCCUPANCY: f64 = 0.88;
/// The backoff where no server has capacity.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_millis(40);
/// The backoff after an attempt without a result.
const FAILURE_BACKOFF: Duration = Duration::from_millis(60);
/// A server that sends nothing for so long is given up.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2500);
/// An item is given up so long after its retention, since the clocks of gateway and store may differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// An item under way.
pub(super) struct ItemRun {
    gateway: Rc<Gateway>,
    granted: GrantedItem,
    prompt: Prompt,
    /// The data of the events so far, over all attempts.
    event_data: Vec<String>,
    /// The id of the event after which the next attempt resumes.
    last_event_id: Option<u64>,
    /// The responses of 500.
    failures: u32,
}

/// What an attempt came to.
enum AttemptOutcome {
    /// The stream is complete.
    Complete,
    /// The server responded 500.
    Failed,
    /// The item can never be done.
    Impossible,
    /// Anything else: to be tried again, at another server.
    Retry,
}

/// What the current configuration says of an item's route.
enum RouteLookup {
    Found(Arc<Route>),
    /// There is a configuration, and it has no such route.
    Gone,
    /// No configuration has come yet.
    Unknown,
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
                RouteLookup::Gone => {
                    debug!(item = %self.granted.item.id, "route is gone");
                    return ItemOutcome::DeadLettered;
                }
                RouteLookup::Unknown => {
                    sleep(NO_CAPACITY_BACKOFF).await;
                    continue;
                }
            };
            if self.failures >= route.attempts || self.is_expired(route.retention) {
                return ItemOutcome::DeadLettered;
            }
            let service = self.gateway.service_of(&route, &self.granted.item.id);
            let Some(server) = self.choose(&service, &attempted) else {
                // Servers that were tried may be chosen again.
                attempted.clear();
                sleep(NO_CAPACITY_BACKOFF).await;
                continue;
            };
            attempted.push(server.id.clone());
            match self.attempt(server).await {
                AttemptOutcome::Complete => return ItemOutcome::Completed(self.event_data.join("\n")),
                AttemptOutcome::Impossible => return ItemOutcome::DeadLettered,
                AttemptOutcome::Failed => self.failures += 1,
                AttemptOutcome::Retry => {}
            }
            sleep(FAILURE_BACKOFF).await;
        }
    }

    fn route(&self) -> RouteLookup {
        let Some(configuration) = self.gateway.state.snapshot().configuration else {
            return RouteLookup::Unknown;
        };
        match configuration.route(&self.granted.host, &self.granted.item.path) {
            Some(route) => RouteLookup::Found(route.clone()),
            None => RouteLookup::Gone,
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

    /// Returns the request as it is sent to servers; `None` where the item's path or headers cannot be sent.
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
            idempotent: true,
        })
    }

    /// Makes one attempt at `server`.
    async fn attempt(&mut self, server: Server) -> AttemptOutcome {
        let gateway = self.gateway.clone();
        let Some(request) = self.upstream_request() else { return AttemptOutcome::Impossible };
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

    /// Handles the head of a response by its verdict, and reads its events.
    async fn on_response(&mut self, server: &Server, response: UpstreamResponse) -> AttemptOutcome {
        let UpstreamResponse { response, connection } = response;
        let max_connections = self.gateway.max_connections_of(&server.backend);
        let (head, body) = response.into_parts();
        let verdict = ResponsePolicy::BATCH.judge_and_record(
            &head,
            &self.granted.item.id,
            &server.id,
            &mut self.gateway.balancer.borrow_mut(),
            self.gateway.now(),
        );
        match verdict {
            Verdict::Success => {}
            Verdict::Error(StatusCode::INTERNAL_SERVER_ERROR) => return AttemptOutcome::Failed,
            Verdict::Error(StatusCode::UNPROCESSABLE_ENTITY) => return AttemptOutcome::Impossible,
            Verdict::Error(_) | Verdict::NotExecuted | Verdict::Untrusted => return AttemptOutcome::Retry,
        }
        let outcome = self.collect_events(server, EventStream::new(body)).await;
        if matches!(outcome, AttemptOutcome::Complete) {
            self.gateway.pool.put_back(server, connection, &head.headers, max_connections);
        }
        outcome
    }

    /// Keeps the data of all events, until the stream ends.
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
