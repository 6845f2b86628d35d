//! Live requests, for which a client is waiting.
//!
//! Each request passes through these steps:
//!
//! 1. [`serve`] reads its id, deadline and prompt, and calls admission control. A request that is
//!    shed causes no further work.
//! 2. [`LiveRequest::run`] makes attempts (`attempt`), one after the other, until one succeeds, the
//!    route allows no further attempt, or the deadline has passed.
//! 3. A successful response is forwarded (`forward`): a plain response once it is complete, an
//!    event stream event by event (`streaming`). An interrupted stream is resumed at another
//!    server within the same response.
//!
//! A request is rejected with 429 or 503 only if no server has executed it, because these statuses
//! promise the client that it may send the request again.

mod attempt;
mod forward;
mod request;
mod streaming;

use crate::body::ResponseBody;
use crate::gateway::Gateway;
use crate::headers::{strip_hop_by_hop, PREFIX_HASH, REQUEST_ID, TIMEOUT_MS, TOKEN_USAGE};
use crate::reply::{local_reply, rejection};
use crate::request::BufferedRequest;
use crate::upstream::UpstreamRequest;
use attempt::AttemptOutcome;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use marblecroft_configuration::Route;
use marblecroft_routing::prompt::Prompt;
use request::{LiveRequest, DEFAULT_TIMEOUT, MAX_REJECTIONS};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// Margin between the deadline for the response and the time limit of the client or the route.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// `Retry-After` for clients whose request is shed, in seconds.
const RETRY_AFTER_OVERLOAD: &str = "0.5";
/// `Retry-After` for clients whose request no server has accepted, in seconds.
const RETRY_AFTER_NO_SERVER: &str = "0.3";

/// Serves a live request.
pub async fn serve(
    gateway: &Rc<Gateway>,
    route: Arc<Route>,
    request: BufferedRequest,
) -> Response<ResponseBody> {
    let Some(id) = request.header(REQUEST_ID.as_str()).map(str::to_owned) else {
        return local_reply(StatusCode::BAD_REQUEST, "X-Request-Id is missing");
    };
    let deadline = deadline(&request, &route);
    let prompt = Prompt::parse(request.header(TOKEN_USAGE), request.header(PREFIX_HASH));
    if !gateway.admission.borrow_mut().admit(&route.name, prompt.cost().max(1.0)) {
        return rejection(StatusCode::TOO_MANY_REQUESTS, "overloaded", RETRY_AFTER_OVERLOAD);
    }
    let live = LiveRequest {
        service: gateway.service_of(&route, &id),
        gateway: gateway.clone(),
        received_at: request.received_at,
        request: upstream_request(request, &route),
        id,
        prompt,
        deadline,
        attempted: Vec::new(),
        executions: 0,
        rejections: 0,
        route,
    };
    live.run().await
}

/// Returns the deadline for the response: the time of receipt plus the shorter of the client's
/// `X-Timeout-Ms` ([`DEFAULT_TIMEOUT`] if it is no number) and the route's time limit, minus the margin.
fn deadline(request: &BufferedRequest, route: &Route) -> Instant {
    let stated = request.header(TIMEOUT_MS.as_str()).and_then(|ms| ms.trim().parse::<f64>().ok());
    let stated = stated.filter(|ms| !ms.is_nan());
    let time_limit =
        stated.map_or(DEFAULT_TIMEOUT, |ms| Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0));
    request.received_at + time_limit.min(route.timeout).saturating_sub(RESPONSE_MARGIN)
}

/// Returns the request to send to servers, with end-to-end headers only.
fn upstream_request(request: BufferedRequest, route: &Route) -> UpstreamRequest {
    let mut headers = request.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    UpstreamRequest {
        method: request.method,
        uri: request.uri,
        headers,
        body: request.body,
        allows_reexecution: route.allows_reexecution() && route.attempts > 1,
    }
}

impl LiveRequest {
    /// Makes attempts until there is a response.
    async fn run(mut self) -> Response<ResponseBody> {
        loop {
            match self.attempt(None).await {
                Some(AttemptOutcome::Success(success)) => return self.forward(*success).await,
                Some(AttemptOutcome::Response(response)) => return response,
                Some(AttemptOutcome::NotExecuted) => self.rejections += 1,
                Some(AttemptOutcome::MayHaveExecuted) => {
                    self.executions += 1;
                    if !self.may_retry() {
                        return local_reply(StatusCode::BAD_GATEWAY, "the server broke off");
                    }
                }
                None => return self.no_response(),
            }
            if self.rejections >= MAX_REJECTIONS || Instant::now() >= self.deadline {
                return self.no_response();
            }
        }
    }

    /// Returns the response for a request for which no server or no time is left.
    fn no_response(&self) -> Response<ResponseBody> {
        if self.executions + self.rejections > 0 {
            self.record_latency(self.route.timeout);
        }
        if self.executions > 0 && !self.route.allows_reexecution() {
            return local_reply(StatusCode::BAD_GATEWAY, "no server has answered");
        }
        if self.executions > 0 {
            return local_reply(StatusCode::GATEWAY_TIMEOUT, "no server has answered");
        }
        debug!(id = %self.id, rejections = self.rejections, "request rejected");
        rejection(StatusCode::SERVICE_UNAVAILABLE, "no server takes the request", RETRY_AFTER_NO_SERVER)
    }
}

#[cfg(test)]
mod tests;
