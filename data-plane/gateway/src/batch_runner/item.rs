//! Runs one item of a batch job: attempts at servers that have capacity, until there is a result.
//!
//! Attempts continue until the item completes or cannot be processed, its route no longer exists,
//! the maximum number of failures of the route is reached, or its retention time has passed. Only a
//! response with status 500 counts as a failure of the item. Everything else is attributed to a
//! server or the network, and another server is tried. An interrupted stream is resumed after
//! the last event received.
//!
//! A result is final, but the configuration of this gateway may be older than the one under which the
//! item was accepted: its route may be unknown here, or have other limits. An item is therefore only
//! dead-lettered by a configuration that was still the newest one when the reason to do so was found.
//! If this cannot be confirmed, the item goes back to the stores without a result.

use crate::gateway::Gateway;
use crate::headers::{strip_hop_by_hop, LAST_EVENT_ID, PREFIX_HASH, REQUEST_ID, TOKEN_USAGE};
use crate::in_flight::InFlightAttempt;
use crate::upstream::{
    AttemptError, EventStream, ResponseClass, ResponsePolicy, SentRequest, StreamStep, UpstreamRequest,
    UpstreamResponse,
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
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

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

/// Time within which a configuration must be confirmed before an item is dead-lettered by it. A gateway
/// in contact with the coordinators needs up to two pulls of 500 ms each.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);

/// How the run of an item ended.
pub(super) enum ItemEnd {
    /// The item has a result.
    Finished(ItemOutcome),
    /// This gateway cannot tell whether the item may still be run. Another gateway must run it.
    Returned,
}

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

/// What the current configuration says about an item.
enum Verdict {
    /// The item may be run.
    Run(Arc<Route>),
    /// The item has no route, or the limits of its route are reached.
    DeadLetter(DeadLetterReason),
    /// No configuration has been received yet.
    NoConfiguration,
}

/// Why an item may not be run any more.
#[derive(Clone, Copy, Debug)]
enum DeadLetterReason {
    NoRoute,
    TooManyFailures,
    RetentionExpired,
}

impl ItemRun {
    pub(super) fn new(gateway: Rc<Gateway>, granted: GrantedItem) -> ItemRun {
        let header = |name: &str| {
            granted.item.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
        };
        let prompt = Prompt::parse(header(TOKEN_USAGE), header(PREFIX_HASH));
        ItemRun { gateway, granted, prompt, event_data: Vec::new(), last_event_id: None, failures: 0 }
    }

    /// Runs the item until it has an outcome, or until it turns out that this gateway cannot judge it.
    pub(super) async fn run(mut self) -> ItemEnd {
        let mut attempted: Vec<String> = Vec::new();
        loop {
            let route = match self.verdict() {
                Verdict::Run(route) => route,
                Verdict::DeadLetter(reason) => {
                    if let Some(end) = self.confirm_dead_letter(reason).await {
                        return end;
                    }
                    continue;
                }
                Verdict::NoConfiguration => {
                    sleep(NO_CAPACITY_BACKOFF).await;
                    continue;
                }
            };
            let service = self.gateway.service_of(&route, &self.granted.item.id);
            let Some(server) = self.choose(&service, &attempted) else {
                // The next iteration may choose servers that have already been tried.
                attempted.clear();
                sleep(NO_CAPACITY_BACKOFF).await;
                continue;
            };
            attempted.push(server.id.clone());
            match self.attempt(server).await {
                AttemptOutcome::Complete => {
                    return ItemEnd::Finished(ItemOutcome::Completed(self.event_data.join("\n")))
                }
                AttemptOutcome::Unprocessable => return ItemEnd::Finished(ItemOutcome::DeadLettered),
                AttemptOutcome::Failed => self.failures += 1,
                AttemptOutcome::Retry => {}
            }
            sleep(FAILURE_BACKOFF).await;
        }
    }

    /// Judges the item by the current configuration, which may not be the newest one.
    fn verdict(&self) -> Verdict {
        let Some(configuration) = self.gateway.state.snapshot().configuration else {
            return Verdict::NoConfiguration;
        };
        let Some(route) = configuration.route(&self.granted.host, &self.granted.item.path) else {
            return Verdict::DeadLetter(DeadLetterReason::NoRoute);
        };
        if self.failures >= route.attempts {
            return Verdict::DeadLetter(DeadLetterReason::TooManyFailures);
        }
        if self.is_expired(route.retention) {
            return Verdict::DeadLetter(DeadLetterReason::RetentionExpired);
        }
        Verdict::Run(route.clone())
    }

    /// Waits until the configuration is known to be the newest one, and judges the item again. Returns
    /// how its run ends, or `None` if a newer configuration allows it.
    async fn confirm_dead_letter(&self, reason: DeadLetterReason) -> Option<ItemEnd> {
        let found_at = Instant::now();
        let state = &self.gateway.state;
        if !state.wait_until_confirmed_since(found_at, found_at + CONFIRMATION_TIMEOUT).await {
            info!(item = %self.granted.item.id, ?reason, "item returned: the configuration may be outdated");
            return Some(ItemEnd::Returned);
        }
        match self.verdict() {
            Verdict::DeadLetter(reason) => {
                debug!(item = %self.granted.item.id, ?reason, "item dead-lettered");
                Some(ItemEnd::Finished(ItemOutcome::DeadLettered))
            }
            Verdict::Run(_) | Verdict::NoConfiguration => None,
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
        let sending = timeout(FRAME_TIMEOUT, gateway.pool.send(server, &request, may_send));
        match sending.await.unwrap_or(Err(AttemptError::MayHaveExecuted)) {
            Ok(response) => self.on_response(server, response).await,
            Err(cause) => {
                gateway.on_attempt_failed(&self.granted.item.id, server, cause);
                AttemptOutcome::Retry
            }
        }
    }

    /// Classifies the head of a response, and reads the events of a successful one.
    async fn on_response(&mut self, server: &Server, response: UpstreamResponse) -> AttemptOutcome {
        let UpstreamResponse { response, connection, is_reused } = response;
        let max_connections = self.gateway.max_connections_of(&server.backend);
        let (head, body) = response.into_parts();
        let sent = SentRequest { id: &self.granted.item.id, on_reused_connection: is_reused };
        let class = self.gateway.on_response(ResponsePolicy::BATCH, &head, &sent, server);
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
