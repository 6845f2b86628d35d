//! Classification of the head of a server's response: whether the request was executed, and whether
//! the response comes from the server itself.
//!
//! The same table applies to live requests and to items of batch jobs. The first matching row
//! decides:
//!
//! | response | [`ResponseClass`] |
//! |---|---|
//! | `X-Request-Id` of another request, or none on a reused connection | `Untrusted` |
//! | declined: has `X-Not-Executed` or status 421 | `NotExecuted` |
//! | no `X-Response-Signature` | `Untrusted` |
//! | status 408, 429 or 503 | `Untrusted` |
//! | 2xx with `Content-Encoding` | `Untrusted` |
//! | 2xx | `Success` |
//! | any other status | `Error` |
//!
//! The first row comes first because a server may send a response twice, and the second copy then
//! arrives in the place of the response to the next request on the connection. Whatever it says, it
//! says nothing about that request, which the server may be executing. On a new connection there is
//! no earlier request, and `X-Request-Id` may be missing.
//!
//! Statuses 408, 429 and 503 promise a client that its request has not run and will not run. Only
//! `X-Not-Executed` proves that; without it the server may have run the request, so its status must
//! not be forwarded.
//!
//! Status 421 means that another incarnation is at the address. Requests ask for no encoding, so an
//! encoded body is not the server's.
//!
//! Live requests and batch items differ in these points, which are the fields of
//! [`ResponsePolicy`]:
//!
//! | | live request ([`ResponsePolicy::LIVE`]) | batch item ([`ResponsePolicy::BATCH`]) |
//! |---|---|---|
//! | declined with 2xx | classified like any 2xx | not executed |
//! | server health, declined | full | full |
//! | server health, the server's own response | by status: 5xx failed, else succeeded | succeeded |
//! | server health, otherwise | by status: 5xx failed, else succeeded | not recorded |
//!
//! A 5xx response to a batch item is not a failure of the server, because an item that cannot be
//! processed gets status 500 from every server.
//!
//! The callers also act differently on each class:
//!
//! | class | live request | batch item |
//! |---|---|---|
//! | not executed | counted as a rejection; body is drained to reuse the connection | retry |
//! | untrusted | may have executed | retry |
//! | success | forwarded | events are collected |
//! | error 1xx | may have executed | retry |
//! | error 500 | forwarded to the client | counts as a failure of the item |
//! | error 422 | forwarded to the client | the item is dead-lettered |
//! | other error | forwarded to the client | retry |

use super::counters::{AttemptCounters, AttemptEnd};
use crate::headers::{NOT_EXECUTED, REQUEST_ID, SERVER_LOAD, SIGNATURE};
use hyper::header::{HeaderMap, HeaderName, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;
use marblecroft_routing::balance::{LoadBalancer, ReportedLoad, ServerOutcome};
use marblecroft_routing::Timestamp;
use tracing::debug;

/// Class of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The server promises that it has not executed the request and will not.
    NotExecuted,
    /// Belongs to another request, is not the server's own, cannot be read, or promises without proof.
    /// The request may have been executed. The connection must not be reused.
    Untrusted,
    /// A 2xx response to this request from the server itself.
    Success,
    /// Any other response to this request from the server itself.
    Error(StatusCode),
}

/// How a response affects the server's recorded health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthRule {
    /// Every response counts: 5xx as a failure, any other status as a success.
    ByStatus,
    /// Every response from the server itself counts as a success. Other responses are not recorded.
    AnyOwn,
}

/// The request to which a response is expected.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// Its `X-Request-Id`.
    pub id: &'a str,
    /// Whether other requests were sent on the connection before.
    pub on_reused_connection: bool,
}

/// Points in which the classification of live requests and batch items differs.
#[derive(Clone, Copy, Debug)]
pub struct ResponsePolicy {
    /// Whether `X-Not-Executed` is also accepted with a 2xx status.
    pub accepts_decline_with_success: bool,
    /// How responses affect the server's recorded health.
    pub health: HealthRule,
}

impl ResponsePolicy {
    /// Policy for live requests.
    pub const LIVE: ResponsePolicy =
        ResponsePolicy { accepts_decline_with_success: false, health: HealthRule::ByStatus };
    /// Policy for items of batch jobs.
    pub const BATCH: ResponsePolicy =
        ResponsePolicy { accepts_decline_with_success: true, health: HealthRule::AnyOwn };

    /// Classifies a response. `is_for_request` tells whether it is certainly the response to the
    /// request. Also returns the outcome to record for the server's health, if any.
    fn classify(
        &self,
        head: &ResponseHead<'_>,
        is_for_request: bool,
    ) -> (ResponseClass, Option<ServerOutcome>) {
        let is_success = head.status.is_success();
        if is_for_request && head.is_declined() && (self.accepts_decline_with_success || !is_success) {
            return (ResponseClass::NotExecuted, Some(ServerOutcome::Full));
        }
        let is_readable = !is_success || !head.has(&CONTENT_ENCODING);
        let is_own = is_for_request && head.has(&SIGNATURE) && is_readable;
        let class = if !is_own || promises_no_execution(head.status) {
            ResponseClass::Untrusted
        } else if is_success {
            ResponseClass::Success
        } else {
            ResponseClass::Error(head.status)
        };
        let outcome = match self.health {
            HealthRule::ByStatus if head.status.is_server_error() => Some(ServerOutcome::Failed),
            HealthRule::ByStatus => Some(ServerOutcome::Succeeded),
            HealthRule::AnyOwn => is_own.then_some(ServerOutcome::Succeeded),
        };
        (class, outcome)
    }

    /// Classifies the response of the server `server_id` to `request`. Records the load that the
    /// server reports and the outcome for its health with the balancer, and counts the attempt.
    pub fn classify_and_record(
        &self,
        head: &Parts,
        request: &SentRequest<'_>,
        server_id: &str,
        counters: &AttemptCounters,
        balancer: &mut LoadBalancer,
        now: Timestamp,
    ) -> ResponseClass {
        let head = ResponseHead { status: head.status, headers: &head.headers };
        let is_for_request = head.is_for(request);
        if let Some(load) = head.text(&SERVER_LOAD).filter(|_| is_for_request).and_then(ReportedLoad::parse) {
            balancer.on_reported_load(server_id, load, now);
        }
        let (class, outcome) = self.classify(&head, is_for_request);
        let end = head.attempt_end(class, is_for_request);
        debug!(
            id = request.id,
            server = server_id,
            reused = request.on_reused_connection,
            status = head.status.as_u16(),
            response_id = head.text(&REQUEST_ID),
            ?end,
            "response from server"
        );
        counters.record(end);
        if let Some(outcome) = outcome {
            balancer.on_outcome(server_id, outcome, now);
        }
        class
    }
}

/// Returns whether a response with this status promises that its request has not run and will not
/// run.
fn promises_no_execution(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Head of a response.
struct ResponseHead<'a> {
    status: StatusCode,
    headers: &'a HeaderMap,
}

impl ResponseHead<'_> {
    fn has(&self, name: &HeaderName) -> bool {
        self.headers.contains_key(name)
    }

    /// Returns the value of a header, if it is text.
    fn text(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    fn is_declined(&self) -> bool {
        self.has(&NOT_EXECUTED) || self.status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Returns how an attempt ended whose response has this head and class.
    fn attempt_end(&self, class: ResponseClass, is_for_request: bool) -> AttemptEnd {
        match class {
            _ if !is_for_request && self.is_declined() => AttemptEnd::OtherRequestRejected,
            _ if !is_for_request => AttemptEnd::OtherRequest,
            ResponseClass::NotExecuted => AttemptEnd::NotExecuted,
            ResponseClass::Untrusted => AttemptEnd::Untrusted,
            ResponseClass::Success => AttemptEnd::Success,
            ResponseClass::Error(_) => AttemptEnd::Error,
        }
    }

    /// Returns whether this is certainly the response to `request`.
    fn is_for(&self, request: &SentRequest<'_>) -> bool {
        match self.headers.get(&REQUEST_ID) {
            Some(id) => id.as_bytes() == request.id.as_bytes(),
            None => !request.on_reused_connection,
        }
    }
}

#[cfg(test)]
mod tests;
