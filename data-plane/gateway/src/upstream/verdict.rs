//! The verdict on the head of a server's response: whether the request ran, and whether the response is the server's own.
//!
//! One table judges for both users, live requests and items of batch jobs. The first row that fits decides:
//!
//! | response | verdict |
//! |---|---|
//! | declined: `X-Not-Executed`, or 421 (another incarnation is at the address); for live requests only with a status other than 2xx | [`Verdict::NotExecuted`] |
//! | `X-Request-Id` of another request (none at all is allowed), or no `X-Response-Signature` | [`Verdict::Untrusted`] |
//! | 2xx with `Content-Encoding`, for live requests: its events cannot be read | [`Verdict::Untrusted`] |
//! | 2xx | [`Verdict::Success`] |
//! | any other status | [`Verdict::Error`] |
//!
//! The users differ in these points, which [`ResponsePolicy`] holds as data:
//!
//! | | live request ([`ResponsePolicy::LIVE`]) | batch item ([`ResponsePolicy::BATCH`]) |
//! |---|---|---|
//! | declined with 2xx | judged like any 2xx | not executed |
//! | 2xx with `Content-Encoding` | untrusted | success |
//! | server's health, declined | full | full |
//! | server's health, untrusted | by status: 5xx failed, else succeeded | not recorded |
//! | server's health, otherwise | by status: 5xx failed, else succeeded | succeeded: an item that cannot be done is answered with 500 by each server |
//!
//! What follows from a verdict differs too, and stays with the users:
//!
//! | verdict | live request | batch item |
//! |---|---|---|
//! | not executed | the body is drained for the connection's sake; a rejection is counted | retry |
//! | untrusted | may have executed | retry |
//! | success | forwarded | events are collected |
//! | error 1xx | may have executed | retry |
//! | error 500 | relayed to the client | counts as a failure of the item |
//! | error 422 | relayed to the client | the item is dead-lettered |
//! | other error | relayed to the client | retry |

use crate::headers::{NOT_EXECUTED, REQUEST_ID, SERVER_LOAD, SIGNATURE};
use hyper::header::{HeaderMap, HeaderName, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;
use marblecroft_routing::balance::{LoadBalancer, ReportedLoad, ServerOutcome};
use marblecroft_routing::Timestamp;

/// The verdict on a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server promises that it has not executed the request and will not.
    NotExecuted,
    /// The response is to another request, is not the server's own, or cannot be read. The request may have been executed.
    /// The connection must not be used again.
    Untrusted,
    /// A 2xx of the server's own to this request.
    Success,
    /// Another response of the server's own to this request.
    Error(StatusCode),
}

/// What a response says of the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthRule {
    /// Every response counts: 5xx as a failure, any other status as a success.
    ByStatus,
    /// Every response of the server's own counts as a success; others do not count.
    AnyTrusted,
}

/// The points in which the users of the table differ.
#[derive(Clone, Copy, Debug)]
pub struct ResponsePolicy {
    /// Whether `X-Not-Executed` is believed beside a 2xx.
    pub declines_with_success: bool,
    /// Whether a 2xx with `Content-Encoding` is a success.
    pub accepts_encoded: bool,
    /// What is recorded of the server's health.
    pub health: HealthRule,
}

impl ResponsePolicy {
    /// The policy of live requests.
    pub const LIVE: ResponsePolicy =
        ResponsePolicy { declines_with_success: false, accepts_encoded: false, health: HealthRule::ByStatus };
    /// The policy of items of batch jobs.
    pub const BATCH: ResponsePolicy =
        ResponsePolicy { declines_with_success: true, accepts_encoded: true, health: HealthRule::AnyTrusted };

    /// Judges the response to the request `request_id`; returns what is to be recorded of the server's health with it.
    fn judge(&self, head: &ResponseHead<'_>, request_id: &str) -> (Verdict, Option<ServerOutcome>) {
        let is_success = head.status.is_success();
        if head.is_declined() && (self.declines_with_success || !is_success) {
            return (Verdict::NotExecuted, Some(ServerOutcome::Full));
        }
        let is_readable = self.accepts_encoded || !is_success || !head.has(&CONTENT_ENCODING);
        let verdict = if !head.is_for(request_id) || !head.has(&SIGNATURE) || !is_readable {
            Verdict::Untrusted
        } else if is_success {
            Verdict::Success
        } else {
            Verdict::Error(head.status)
        };
        let outcome = match self.health {
            HealthRule::ByStatus if head.status.is_server_error() => Some(ServerOutcome::Failed),
            HealthRule::ByStatus => Some(ServerOutcome::Succeeded),
            HealthRule::AnyTrusted => (verdict != Verdict::Untrusted).then_some(ServerOutcome::Succeeded),
        };
        (verdict, outcome)
    }

    /// Judges the response of the server `server_id` to the request `request_id`, and records with the balancer the load
    /// that the server reports and what the response says of its health.
    pub fn judge_and_record(
        &self,
        head: &Parts,
        request_id: &str,
        server_id: &str,
        balancer: &mut LoadBalancer,
        now: Timestamp,
    ) -> Verdict {
        let head = ResponseHead { status: head.status, headers: &head.headers };
        if let Some(load) = head.text(&SERVER_LOAD).and_then(ReportedLoad::parse) {
            balancer.on_reported_load(server_id, load, now);
        }
        let (verdict, outcome) = self.judge(&head, request_id);
        if let Some(outcome) = outcome {
            balancer.on_outcome(server_id, outcome, now);
        }
        verdict
    }
}

/// The head of a response.
struct ResponseHead<'a> {
    status: StatusCode,
    headers: &'a HeaderMap,
}

impl ResponseHead<'_> {
    fn has(&self, name: &HeaderName) -> bool {
        self.headers.contains_key(name)
    }

    /// Returns a header's value, where it is text.
    fn text(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    fn is_declined(&self) -> bool {
        self.has(&NOT_EXECUTED) || self.status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Whether it can be the response to `request_id`. Servers may leave the id out.
    fn is_for(&self, request_id: &str) -> bool {
        self.text(&REQUEST_ID).is_none_or(|id| id == request_id)
    }
}

#[cfg(test)]
mod tests;
