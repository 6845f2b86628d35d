//! Live requests: admission, placement, attempts one after the other, and streams that are taken up at another server.
//!
//! Every attempt ends in a verdict: nothing ran, it may have run, or it was answered. Only what never ran is refused with 429
//! or 503.

use crate::body::{full, stream, ChunkSender, ResponseBody};
use crate::gateway::Gateway;
use crate::server::{local_reply, rejection, BufferedRequest};
use crate::upstream::{
    AttemptError, Connection, UpstreamRequest, UpstreamResponse, LAST_EVENT_ID, NOT_EXECUTED, REQUEST_ID,
    SERVER_LOAD, SIGNATURE, TIMEOUT_MS,
};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Response, StatusCode};
use marblecroft_configuration::Route;
use marblecroft_protocol::servers::Server;
use marblecroft_routing::balance::{PlacementRequest, ReportedLoad, ServerOutcome};
use marblecroft_routing::events::EventSplitter;
use marblecroft_routing::prompt::Prompt;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};
use tracing::debug;

/// Servers that refuse, or do not come up, that one request is offered to.
const MAX_OFFERS: u32 = 5;
/// An answer is out so long before the client stops waiting.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// A server that has said nothing for so long may be a machine that has vanished; a stream that can be taken up elsewhere
/// is.
const FRAME_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest answer that is kept whole, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 32 << 20;
/// Time that a request has where its client tells none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Told to clients that are refused for overload, in seconds.
const RETRY_AFTER_OVERLOAD: &str = "0.5";
/// ... and for want of a server that takes the request.
const RETRY_AFTER_NO_SERVER: &str = "0.3";

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection alone.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] =
    [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Removes the headers that concern one connection alone, and those that `Connection` names.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// A request at a server; counted there until it is dropped.
struct InFlightAttempt {
    gateway: Rc<Gateway>,
    server: Server,
}

impl InFlightAttempt {
    fn new(gateway: &Rc<Gateway>, server: Server, prompt: &Prompt) -> InFlightAttempt {
        gateway.balancer.borrow_mut().on_sent(&server.id, prompt.input_tokens, gateway.now());
        gateway.live_concurrency.enter();
        InFlightAttempt { gateway: gateway.clone(), server }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.gateway.balancer.borrow_mut().on_finished(&self.server.id, self.gateway.now());
        self.gateway.live_concurrency.leave();
    }
}

/// A live request on its way.
struct LiveRequest {
    gateway: Rc<Gateway>,
    route: Arc<Route>,
    service: String,
    request: UpstreamRequest,
    id: String,
    prompt: Prompt,
    received_at: Instant,
    deadline: Instant,
    attempted: Vec<String>,
    /// Attempts that may have run.
    executions: u32,
    /// Offers that a server refused, or that did not reach one.
    rejections: u32,
}

/// What one attempt came to.
enum Verdict {
    /// A 2xx of the right server for this request.
    Success(Box<Success>),
    /// Another answer of the server's own, whole.
    Response(Response<ResponseBody>),
    /// Nothing ran.
    NotExecuted,
    MayHaveExecuted,
}

struct Success {
    attempt: InFlightAttempt,
    head: hyper::http::response::Parts,
    body: Incoming,
    connection: Connection,
}

/// Serves a live request.
pub async fn serve(
    gateway: &Rc<Gateway>,
    route: Arc<Route>,
    request: BufferedRequest,
) -> Response<ResponseBody> {
    let Some(id) = request.header("x-request-id").map(str::to_owned) else {
        return local_reply(StatusCode::BAD_REQUEST, "X-Request-Id is missing");
    };
    let told = request.header("x-timeout-ms").and_then(|ms| ms.trim().parse::<f64>().ok());
    let told = told.map_or(DEFAULT_TIMEOUT, |ms| Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0));
    let deadline = request.received_at + told.min(route.timeout).saturating_sub(RESPONSE_MARGIN);
    let prompt = Prompt::parse(request.header("x-token-usage"), request.header("x-prefix-hash"));
    if !gateway.admission.borrow_mut().admit(&route.name, prompt.cost().max(1.0)) {
        return rejection(StatusCode::TOO_MANY_REQUESTS, "overloaded", RETRY_AFTER_OVERLOAD);
    }
    let mut headers = request.headers;
    strip_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let may_repeat = route.may_run_twice() && route.attempts > 1;
    let order = UpstreamRequest {
        method: request.method,
        uri: request.uri,
        headers,
        body: request.body,
        idempotent: may_repeat,
    };
    let live = LiveRequest {
        service: gateway.service_of(&route, &id),
        gateway: gateway.clone(),
        request: order,
        id,
        prompt,
        received_at: request.received_at,
        deadline,
        attempted: Vec::new(),
        executions: 0,
        rejections: 0,
        route,
    };
    live.run().await
}

impl LiveRequest {
    async fn run(mut self) -> Response<ResponseBody> {
        loop {
            match self.attempt(None).await {
                Some(Verdict::Success(success)) => return self.forward(*success).await,
                Some(Verdict::Response(response)) => return response,
                Some(Verdict::NotExecuted) => self.rejections += 1,
                Some(Verdict::MayHaveExecuted) => {
                    self.executions += 1;
                    if !self.may_retry() {
                        return local_reply(StatusCode::BAD_GATEWAY, "the server broke off");
                    }
                }
                None => return self.no_response(),
            }
            if self.rejections >= MAX_OFFERS || Instant::now() >= self.deadline {
                return self.no_response();
            }
        }
    }

    /// Connections that each server of the service takes.
    fn max_connections(&self) -> u32 {
        self.gateway.max_connections_of(&self.service)
    }

    fn may_retry(&self) -> bool {
        self.route.may_run_twice() && self.executions < self.route.attempts
    }

    /// The answer where no server takes the request, or time is up.
    fn no_response(&self) -> Response<ResponseBody> {
        if self.executions + self.rejections > 0 {
            let (deadline, aim) = (self.route.timeout, self.route.target_latency);
            self.gateway.admission.borrow_mut().record_latency(&self.route.name, deadline, aim);
        }
        if self.executions > 0 && !self.route.may_run_twice() {
            return local_reply(StatusCode::BAD_GATEWAY, "no server has answered");
        }
        if self.executions > 0 {
            return local_reply(StatusCode::GATEWAY_TIMEOUT, "no server has answered");
        }
        rejection(StatusCode::SERVICE_UNAVAILABLE, "no server takes the request", RETRY_AFTER_NO_SERVER)
    }

    /// One attempt at the best server; `None` where there is none, or no time.
    async fn attempt(&mut self, resume_after: Option<u64>) -> Option<Verdict> {
        let wish = PlacementRequest {
            service: &self.service,
            prefix_key: self.prompt.prefix_key(),
            attempted: &self.attempted,
            max_load: f64::INFINITY,
        };
        let server = self.gateway.balancer.borrow_mut().choose(&wish, self.gateway.now())?;
        let left = self.deadline.checked_duration_since(Instant::now())?;
        self.attempted.push(server.id.clone());
        let headers = &mut self.request.headers;
        headers.insert(
            TIMEOUT_MS,
            HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1)),
        );
        if let Some(last) = resume_after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(last));
        }
        let placed = InFlightAttempt::new(&self.gateway, server, &self.prompt);
        let patience = if self.may_resume() { FRAME_TIMEOUT.min(left) } else { left };
        let usable = || self.gateway.balancer.borrow().is_available(&placed.server.id);
        let sending = self.gateway.pool.send(&placed.server, &self.request, usable);
        let sent = timeout(patience, sending).await;
        let now = self.gateway.now();
        match sent {
            Ok(Ok(answer)) => Some(self.verdict_of(placed, answer).await),
            Ok(Err(failure)) => {
                debug!(id = %self.id, server = %placed.server.id, ?failure, "attempt failed");
                self.gateway.balancer.borrow_mut().on_outcome(&placed.server.id, ServerOutcome::Failed, now);
                self.gateway.pool.close_idle_to(&placed.server);
                Some(match failure {
                    AttemptError::NotSent => Verdict::NotExecuted,
                    AttemptError::MayHaveExecuted => Verdict::MayHaveExecuted,
                })
            }
            Err(_) => {
                self.gateway.balancer.borrow_mut().on_outcome(&placed.server.id, ServerOutcome::Failed, now);
                self.gateway.pool.close_idle_to(&placed.server);
                Some(Verdict::MayHaveExecuted)
            }
        }
    }

    /// Whether another attempt is left after this one.
    fn may_resume(&self) -> bool {
        self.route.may_run_twice() && self.executions + 1 < self.route.attempts
    }

    /// What the head of an answer tells.
    async fn verdict_of(&self, placed: InFlightAttempt, answer: UpstreamResponse) -> Verdict {
        let UpstreamResponse { response, connection: link } = answer;
        let (head, body) = response.into_parts();
        let now = self.gateway.now();
        let header = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
        {
            let mut fleet = self.gateway.balancer.borrow_mut();
            if let Some(load) = header(&SERVER_LOAD).and_then(ReportedLoad::parse) {
                fleet.on_reported_load(&placed.server.id, load, now);
            }
        }
        let not_run =
            head.headers.contains_key(NOT_EXECUTED) || head.status == StatusCode::MISDIRECTED_REQUEST;
        let signed = head.headers.contains_key(SIGNATURE);
        if not_run && !(200..300).contains(&head.status.as_u16()) {
            self.gateway.balancer.borrow_mut().on_outcome(&placed.server.id, ServerOutcome::Full, now);
            self.drain_response(&placed.server, link, &head.headers, body).await;
            return Verdict::NotExecuted;
        }
        let outcome =
            if head.status.is_server_error() { ServerOutcome::Failed } else { ServerOutcome::Succeeded };
        self.gateway.balancer.borrow_mut().on_outcome(&placed.server.id, outcome, now);
        // An answer to another request, or none of the server's own: the connection is not used again.
        let own = header(&REQUEST_ID).is_none_or(|id| id == self.id);
        let plain = !head.headers.contains_key(CONTENT_ENCODING);
        if head.status.is_success() {
            if own && signed && plain {
                return Verdict::Success(Box::new(Success { attempt: placed, head, body, connection: link }));
            }
            return Verdict::MayHaveExecuted;
        }
        if !own || !signed || head.status.is_informational() {
            return Verdict::MayHaveExecuted;
        }
        match self.read_buffered(body).await {
            Some(bytes) => {
                self.gateway.pool.put_back(&placed.server, link, &head.headers, self.max_connections());
                let mut response = Response::new(full(bytes));
                *response.status_mut() = head.status;
                *response.headers_mut() = head.headers;
                strip_connection_headers(response.headers_mut());
                Verdict::Response(response)
            }
            None => Verdict::MayHaveExecuted,
        }
    }

    async fn read_buffered(&self, body: Incoming) -> Option<Bytes> {
        let limited = http_body_util::Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES);
        let collected = timeout_at(self.deadline, limited.collect()).await;
        collected.ok()?.ok().map(|body| body.to_bytes())
    }

    /// Reads the rest of a refusal, so that its connection can be used again.
    async fn drain_response(&self, server: &Server, link: Connection, headers: &HeaderMap, body: Incoming) {
        const REFUSAL_TIME: Duration = Duration::from_millis(20);
        if let Ok(Ok(_)) = timeout(REFUSAL_TIME, body.collect()).await {
            self.gateway.pool.put_back(server, link, headers, self.max_connections());
        }
    }

    /// Passes a success on: events as they come, anything else once it is whole.
    async fn forward(self, success: Success) -> Response<ResponseBody> {
        let event_stream = success
            .head
            .headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"));
        let mut response = Response::new(full(Bytes::new()));
        *response.status_mut() = success.head.status;
        *response.headers_mut() = success.head.headers.clone();
        strip_connection_headers(response.headers_mut());
        if !event_stream {
            return self.forward_buffered(success, response).await;
        }
        response.headers_mut().remove(CONTENT_LENGTH);
        let (parts, body) = stream();
        *response.body_mut() = body;
        spawn_local(self.forward_stream(success, parts));
        response
    }

    async fn forward_buffered(
        mut self,
        success: Success,
        mut response: Response<ResponseBody>,
    ) -> Response<ResponseBody> {
        let Success { attempt: placed, head, body, connection: link } = success;
        match self.read_buffered(body).await {
            Some(bytes) => {
                self.gateway.pool.put_back(&placed.server, link, &head.headers, self.max_connections());
                let took = self.received_at.elapsed();
                self.gateway.admission.borrow_mut().record_latency(
                    &self.route.name,
                    took,
                    self.route.target_latency,
                );
                *response.body_mut() = full(bytes);
                response
            }
            None => {
                self.executions += 1;
                local_reply(StatusCode::BAD_GATEWAY, "the server broke off")
            }
        }
    }

    /// Passes events on, from one server after the other where the route allows it.
    async fn forward_stream(mut self, success: Success, parts: ChunkSender) {
        let mut next = Some(success);
        let mut last_event = None;
        while let Some(success) = next.take() {
            let end = self.forward_events(success, &parts, &mut last_event).await;
            match end {
                StreamEnd::Complete | StreamEnd::ClientDisconnected => return,
                StreamEnd::Broken => {}
            }
            self.executions += 1;
            while next.is_none() && self.may_retry() && self.rejections < MAX_OFFERS {
                match self.attempt(last_event).await {
                    Some(Verdict::Success(success)) => next = Some(*success),
                    Some(Verdict::NotExecuted) => self.rejections += 1,
                    Some(Verdict::MayHaveExecuted) => self.executions += 1,
                    Some(Verdict::Response(_)) | None => break,
                }
            }
        }
        debug!(id = %self.id, "a stream broke off");
        drop(parts.send(Err(io::Error::other("the server broke off"))).await);
    }

    async fn forward_events(
        &self,
        success: Success,
        parts: &ChunkSender,
        last_event: &mut Option<u64>,
    ) -> StreamEnd {
        let Success { attempt: placed, head, mut body, connection: link } = success;
        let mut splitter = EventSplitter::default();
        let mut first = last_event.is_none();
        loop {
            let patience = if self.may_resume() { FRAME_TIMEOUT } else { DEFAULT_TIMEOUT };
            let frame = tokio::select! {
                frame = timeout(patience, body.frame()) => frame,
                () = parts.closed() => return StreamEnd::ClientDisconnected,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) if splitter.is_partial() => return StreamEnd::Broken,
                Ok(None) => {
                    self.gateway.pool.put_back(&placed.server, link, &head.headers, self.max_connections());
                    return StreamEnd::Complete;
                }
                Ok(Some(Err(_))) => return StreamEnd::Broken,
                Err(_) => {
                    self.gateway.balancer.borrow_mut().on_outcome(
                        &placed.server.id,
                        ServerOutcome::Failed,
                        self.gateway.now(),
                    );
                    return StreamEnd::Broken;
                }
            };
            splitter.push(&data);
            let mut out = Vec::new();
            while let Some(event) = splitter.next_event() {
                out.extend_from_slice(&event.bytes);
                *last_event = event.id.or(*last_event);
            }
            if splitter.is_overlong() {
                return StreamEnd::Broken;
            }
            if out.is_empty() {
                continue;
            }
            if std::mem::take(&mut first) {
                let took = self.received_at.elapsed();
                self.gateway.admission.borrow_mut().record_latency(
                    &self.route.name,
                    took,
                    self.route.target_latency,
                );
            }
            if parts.send(Ok(out.into())).await.is_err() {
                return StreamEnd::ClientDisconnected;
            }
        }
    }
}

/// How one server's part of a stream ended.
enum StreamEnd {
    Complete,
    Broken,
    ClientDisconnected,
}
