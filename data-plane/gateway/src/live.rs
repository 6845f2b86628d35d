//! Live requests: admission, placement, attempts one after the other, and streams that are taken up at another server.
//!
//! Every attempt ends in a verdict: nothing ran, it may have run, or it was answered. Only what never ran is refused with 429
//! or 503.

use crate::body::{stream, whole, AnswerBody, PartSender};
use crate::front::{own, refusal, Whole};
use crate::gateway::Gateway;
use crate::upstream::{
    Answer, Failure, Link, Order, LAST_EVENT_ID, NOT_EXECUTED, REQUEST_ID, SERVER_LOAD, SIGNATURE, TIMEOUT_MS,
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
use marblecroft_routing::events::Splitter;
use marblecroft_routing::placement::{ServerOutcome, ToldLoad, Wish};
use marblecroft_routing::prompt::Prompt;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};
use tracing::debug;

/// Servers that refuse, or do not come up, that one request is offered to.
const OFFERS_MOST: u32 = 5;
/// An answer is out so long before the client stops waiting.
const WAY_BACK: Duration = Duration::from_millis(15);
/// A server that has said nothing for so long may be a machine that has vanished; a stream that can be taken up elsewhere
/// is.
const SILENCE_MOST: Duration = Duration::from_millis(700);
/// Longest answer that is kept whole, in bytes.
const WHOLE_MOST: usize = 32 << 20;
/// Time that a request has where its client tells none.
const TIME_DEFAULT: Duration = Duration::from_secs(30);
/// Told to clients that are refused for overload, in seconds.
const RETRY_OVERLOAD: &str = "0.5";
/// ... and for want of a server that takes the request.
const RETRY_NO_SERVER: &str = "0.3";

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection alone.
const OF_ONE_CONNECTION: [HeaderName; 7] =
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
    for name in named.iter().chain(&OF_ONE_CONNECTION) {
        headers.remove(name);
    }
}

/// A request at a server; counted there until it is dropped.
struct Placed {
    gateway: Rc<Gateway>,
    server: Server,
}

impl Placed {
    fn new(gateway: &Rc<Gateway>, server: Server, prompt: &Prompt) -> Placed {
        gateway.fleet.borrow_mut().sent(&server.id, prompt.tokens_in, gateway.now());
        gateway.live.enter();
        Placed { gateway: gateway.clone(), server }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.gateway.fleet.borrow_mut().ended(&self.server.id, self.gateway.now());
        self.gateway.live.leave();
    }
}

/// A live request on its way.
struct Live {
    gateway: Rc<Gateway>,
    route: Arc<Route>,
    service: String,
    order: Order,
    id: String,
    prompt: Prompt,
    begun: Instant,
    deadline: Instant,
    tried: Vec<String>,
    /// Attempts that may have run.
    runs: u32,
    /// Offers that a server refused, or that did not reach one.
    offers: u32,
}

/// What one attempt came to.
enum Verdict {
    /// A 2xx of the right server for this request.
    Success(Box<Success>),
    /// Another answer of the server's own, whole.
    Answered(Response<AnswerBody>),
    /// Nothing ran.
    NotRun,
    MayHaveRun,
}

struct Success {
    placed: Placed,
    head: hyper::http::response::Parts,
    body: Incoming,
    link: Link,
}

/// Serves a live request.
pub async fn serve(gateway: &Rc<Gateway>, route: Arc<Route>, request: Whole) -> Response<AnswerBody> {
    let Some(id) = request.header("x-request-id").map(str::to_owned) else {
        return own(StatusCode::BAD_REQUEST, "X-Request-Id is missing");
    };
    let told = request.header("x-timeout-ms").and_then(|ms| ms.trim().parse::<f64>().ok());
    let told = told.map_or(TIME_DEFAULT, |ms| Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0));
    let deadline = request.at + told.min(route.timeout).saturating_sub(WAY_BACK);
    let prompt = Prompt::parse(request.header("x-token-usage"), request.header("x-prefix-hash"));
    if !gateway.admission.borrow_mut().admit(&route.name, prompt.cost().max(1.0)) {
        return refusal(StatusCode::TOO_MANY_REQUESTS, "overloaded", RETRY_OVERLOAD);
    }
    let mut headers = request.headers;
    strip_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let may_repeat = route.may_run_twice() && route.attempts > 1;
    let order = Order { method: request.method, uri: request.uri, headers, body: request.body, may_repeat };
    let live = Live {
        service: gateway.service_of(&route, &id),
        gateway: gateway.clone(),
        order,
        id,
        prompt,
        begun: request.at,
        deadline,
        tried: Vec::new(),
        runs: 0,
        offers: 0,
        route,
    };
    live.run().await
}

impl Live {
    async fn run(mut self) -> Response<AnswerBody> {
        loop {
            match self.attempt(None).await {
                Some(Verdict::Success(success)) => return self.pass_on(*success).await,
                Some(Verdict::Answered(response)) => return response,
                Some(Verdict::NotRun) => self.offers += 1,
                Some(Verdict::MayHaveRun) => {
                    self.runs += 1;
                    if !self.may_run_again() {
                        return own(StatusCode::BAD_GATEWAY, "the server broke off");
                    }
                }
                None => return self.give_up(),
            }
            if self.offers >= OFFERS_MOST || Instant::now() >= self.deadline {
                return self.give_up();
            }
        }
    }

    /// Connections that each server of the service takes.
    fn connections(&self) -> u32 {
        self.gateway.connections_of(&self.service)
    }

    fn may_run_again(&self) -> bool {
        self.route.may_run_twice() && self.runs < self.route.attempts
    }

    /// The answer where no server takes the request, or time is up.
    fn give_up(&self) -> Response<AnswerBody> {
        if self.runs + self.offers > 0 {
            let (deadline, aim) = (self.route.timeout, self.route.target_latency);
            self.gateway.admission.borrow_mut().sample(&self.route.name, deadline, aim);
        }
        if self.runs > 0 && !self.route.may_run_twice() {
            return own(StatusCode::BAD_GATEWAY, "no server has answered");
        }
        if self.runs > 0 {
            return own(StatusCode::GATEWAY_TIMEOUT, "no server has answered");
        }
        refusal(StatusCode::SERVICE_UNAVAILABLE, "no server takes the request", RETRY_NO_SERVER)
    }

    /// One attempt at the best server; `None` where there is none, or no time.
    async fn attempt(&mut self, resume_after: Option<u64>) -> Option<Verdict> {
        let wish = Wish {
            service: &self.service,
            shared: self.prompt.shared_key(),
            tried: &self.tried,
            load_most: f64::INFINITY,
        };
        let server = self.gateway.fleet.borrow_mut().choose(&wish, self.gateway.now())?;
        let left = self.deadline.checked_duration_since(Instant::now())?;
        self.tried.push(server.id.clone());
        let headers = &mut self.order.headers;
        headers.insert(
            TIMEOUT_MS,
            HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1)),
        );
        if let Some(last) = resume_after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(last));
        }
        let placed = Placed::new(&self.gateway, server, &self.prompt);
        let patience = if self.may_resume_elsewhere() { SILENCE_MOST.min(left) } else { left };
        let usable = || self.gateway.fleet.borrow().usable(&placed.server.id);
        let sending = self.gateway.pool.send(&placed.server, &self.order, usable);
        let sent = timeout(patience, sending).await;
        let now = self.gateway.now();
        match sent {
            Ok(Ok(answer)) => Some(self.judge(placed, answer).await),
            Ok(Err(failure)) => {
                debug!(id = %self.id, server = %placed.server.id, ?failure, "attempt failed");
                self.gateway.fleet.borrow_mut().note_outcome(&placed.server.id, ServerOutcome::Failed, now);
                self.gateway.pool.forget(&placed.server);
                Some(match failure {
                    Failure::NotSent => Verdict::NotRun,
                    Failure::MayHaveRun => Verdict::MayHaveRun,
                })
            }
            Err(_) => {
                self.gateway.fleet.borrow_mut().note_outcome(&placed.server.id, ServerOutcome::Failed, now);
                self.gateway.pool.forget(&placed.server);
                Some(Verdict::MayHaveRun)
            }
        }
    }

    /// Whether another attempt is left after this one.
    fn may_resume_elsewhere(&self) -> bool {
        self.route.may_run_twice() && self.runs + 1 < self.route.attempts
    }

    /// What the head of an answer tells.
    async fn judge(&self, placed: Placed, answer: Answer) -> Verdict {
        let Answer { response, link } = answer;
        let (head, body) = response.into_parts();
        let now = self.gateway.now();
        let header = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
        {
            let mut fleet = self.gateway.fleet.borrow_mut();
            if let Some(load) = header(&SERVER_LOAD).and_then(ToldLoad::parse) {
                fleet.told(&placed.server.id, load, now);
            }
        }
        let not_run =
            head.headers.contains_key(NOT_EXECUTED) || head.status == StatusCode::MISDIRECTED_REQUEST;
        let signed = head.headers.contains_key(SIGNATURE);
        if not_run && !(200..300).contains(&head.status.as_u16()) {
            self.gateway.fleet.borrow_mut().note_outcome(&placed.server.id, ServerOutcome::Full, now);
            self.finish_short(&placed.server, link, &head.headers, body).await;
            return Verdict::NotRun;
        }
        let outcome =
            if head.status.is_server_error() { ServerOutcome::Failed } else { ServerOutcome::Answered };
        self.gateway.fleet.borrow_mut().note_outcome(&placed.server.id, outcome, now);
        // An answer to another request, or none of the server's own: the connection is not used again.
        let own = header(&REQUEST_ID).is_none_or(|id| id == self.id);
        let plain = !head.headers.contains_key(CONTENT_ENCODING);
        if head.status.is_success() {
            if own && signed && plain {
                return Verdict::Success(Box::new(Success { placed, head, body, link }));
            }
            return Verdict::MayHaveRun;
        }
        if !own || !signed || head.status.is_informational() {
            return Verdict::MayHaveRun;
        }
        match self.read_short(body).await {
            Some(bytes) => {
                self.gateway.pool.give_back(&placed.server, link, &head.headers, self.connections());
                let mut response = Response::new(whole(bytes));
                *response.status_mut() = head.status;
                *response.headers_mut() = head.headers;
                strip_connection_headers(response.headers_mut());
                Verdict::Answered(response)
            }
            None => Verdict::MayHaveRun,
        }
    }

    async fn read_short(&self, body: Incoming) -> Option<Bytes> {
        let limited = http_body_util::Limited::new(body, WHOLE_MOST);
        let collected = timeout_at(self.deadline, limited.collect()).await;
        collected.ok()?.ok().map(|body| body.to_bytes())
    }

    /// Reads the rest of a refusal, so that its connection can be used again.
    async fn finish_short(&self, server: &Server, link: Link, headers: &HeaderMap, body: Incoming) {
        const REFUSAL_TIME: Duration = Duration::from_millis(20);
        if let Ok(Ok(_)) = timeout(REFUSAL_TIME, body.collect()).await {
            self.gateway.pool.give_back(server, link, headers, self.connections());
        }
    }

    /// Passes a success on: events as they come, anything else once it is whole.
    async fn pass_on(self, success: Success) -> Response<AnswerBody> {
        let event_stream = success
            .head
            .headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"));
        let mut response = Response::new(whole(Bytes::new()));
        *response.status_mut() = success.head.status;
        *response.headers_mut() = success.head.headers.clone();
        strip_connection_headers(response.headers_mut());
        if !event_stream {
            return self.pass_whole(success, response).await;
        }
        response.headers_mut().remove(CONTENT_LENGTH);
        let (parts, body) = stream();
        *response.body_mut() = body;
        spawn_local(self.pump(success, parts));
        response
    }

    async fn pass_whole(
        mut self,
        success: Success,
        mut response: Response<AnswerBody>,
    ) -> Response<AnswerBody> {
        let Success { placed, head, body, link } = success;
        match self.read_short(body).await {
            Some(bytes) => {
                self.gateway.pool.give_back(&placed.server, link, &head.headers, self.connections());
                let took = self.begun.elapsed();
                self.gateway.admission.borrow_mut().sample(&self.route.name, took, self.route.target_latency);
                *response.body_mut() = whole(bytes);
                response
            }
            None => {
                self.runs += 1;
                own(StatusCode::BAD_GATEWAY, "the server broke off")
            }
        }
    }

    /// Passes events on, from one server after the other where the route allows it.
    async fn pump(mut self, success: Success, parts: PartSender) {
        let mut next = Some(success);
        let mut last_event = None;
        while let Some(success) = next.take() {
            let end = self.pump_one(success, &parts, &mut last_event).await;
            match end {
                StreamEnd::Whole | StreamEnd::ClientGone => return,
                StreamEnd::Broken => {}
            }
            self.runs += 1;
            while next.is_none() && self.may_run_again() && self.offers < OFFERS_MOST {
                match self.attempt(last_event).await {
                    Some(Verdict::Success(success)) => next = Some(*success),
                    Some(Verdict::NotRun) => self.offers += 1,
                    Some(Verdict::MayHaveRun) => self.runs += 1,
                    Some(Verdict::Answered(_)) | None => break,
                }
            }
        }
        debug!(id = %self.id, "a stream broke off");
        drop(parts.send(Err(io::Error::other("the server broke off"))).await);
    }

    async fn pump_one(
        &self,
        success: Success,
        parts: &PartSender,
        last_event: &mut Option<u64>,
    ) -> StreamEnd {
        let Success { placed, head, mut body, link } = success;
        let mut splitter = Splitter::default();
        let mut first = last_event.is_none();
        loop {
            let patience = if self.may_resume_elsewhere() { SILENCE_MOST } else { TIME_DEFAULT };
            let frame = tokio::select! {
                frame = timeout(patience, body.frame()) => frame,
                () = parts.closed() => return StreamEnd::ClientGone,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) if splitter.is_partial() => return StreamEnd::Broken,
                Ok(None) => {
                    self.gateway.pool.give_back(&placed.server, link, &head.headers, self.connections());
                    return StreamEnd::Whole;
                }
                Ok(Some(Err(_))) => return StreamEnd::Broken,
                Err(_) => {
                    self.gateway.fleet.borrow_mut().note_outcome(
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
                let took = self.begun.elapsed();
                self.gateway.admission.borrow_mut().sample(&self.route.name, took, self.route.target_latency);
            }
            if parts.send(Ok(out.into())).await.is_err() {
                return StreamEnd::ClientGone;
            }
        }
    }
}

/// How one server's part of a stream ended.
enum StreamEnd {
    Whole,
    Broken,
    ClientGone,
}
