//! An admitted request and its attempts.

use crate::api::{CustomerId, Placement, ServerId, Status, Time};

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(super) server: ServerId,
    pub(super) sent: Time,
    /// The result; `None` while it is in flight.
    pub(super) end: Option<Status>,
}

impl Attempt {
    /// Returns whether its server may have executed it, or may still do so.
    fn may_have_executed(&self) -> bool {
        !matches!(self.end, Some(Status::Rejected | Status::ConnectFailed | Status::NotSent))
    }
}

/// An admitted request.
#[derive(Default)]
pub(crate) struct Request {
    pub(super) class: usize,
    pub(super) customer: CustomerId,
    /// When the client's timeout ends.
    pub(super) deadline: Time,
    /// A response after this has no value.
    pub(super) latency_deadline: Time,
    /// Units that it counts against the quota.
    pub(super) units: f64,
    pub(super) within_quota: bool,
    pub(super) placement: Placement,
    /// Whether it has no final response yet.
    pub(super) open: bool,
    pub(super) client_disconnected: bool,
    /// Whether its body is still arriving.
    pub(super) body_in_flight: bool,
    /// Whether a streamed response has begun.
    pub(super) streaming: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl Request {
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.end.is_none())
    }

    /// The earliest attempt that a server may have executed, or may still execute.
    pub(super) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_executed())
    }
}
