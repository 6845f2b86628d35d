//! What an attempt is made of, and how it ends.

use crate::body::request_body::{Delivery, RequestBody};
use crate::body::response_body::ResponseBody;
use crate::request_budget::RequestBudget;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use marblecroft_quota_gateway_core::{LoadReport, Status, Time};
use std::cell::Cell;
use std::rc::Rc;

/// The header that tells a server how long its response is waited for, in seconds.
pub const EXPIRES_IN: HeaderName = HeaderName::from_static("x-expires-in");

/// The parts of a request that every attempt carries unchanged from the client.
pub struct UpstreamRequest {
    /// The client's method.
    pub method: Method,
    /// The client's path and query.
    pub uri: Uri,
    /// The client's headers that servers get.
    pub headers: HeaderMap,
    /// The client's body.
    pub body: RequestBody,
    /// The firm whose shard the request writes, if it writes any.
    pub written_firm: Option<u64>,
    /// The time that remains for the request.
    pub budget: Rc<RequestBudget>,
    /// Set with the final response. No attempt is written after that, including those that are still connecting and may
    /// not be cancelled.
    pub is_finished: Cell<bool>,
}

impl UpstreamRequest {
    /// The trace id that the client set; every request that comes this far has one.
    pub fn trace(&self) -> &str {
        self.headers.get("x-trace-id").and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// How much of the body has been delivered; a buffered one goes out in one piece.
    pub fn delivery(&self) -> Delivery {
        self.body.as_streamed().map_or(Delivery::Complete, |body| body.delivery())
    }
}

/// When an attempt may begin and when it ends.
#[derive(Clone, Copy)]
pub struct AttemptWindow {
    /// The attempt is abandoned at this instant, by dropping it.
    pub ends_at: Option<Time>,
    /// Nothing is written at this instant or later.
    pub begin_by: Option<Time>,
}

/// A server's 200 response: a complete one, or a streamed one that has begun.
pub struct ServedResponse {
    /// The server's body.
    pub body: ResponseBody,
    /// The server's content type, if it names one.
    pub content_type: Option<HeaderValue>,
}

/// How an attempt ended.
pub struct AttemptEnd {
    /// How it ended, for the decisions.
    pub status: Status,
    /// The customer's metered use of its quota, as a fraction, if the server reports one.
    pub metered_use: Option<f64>,
    /// The load that the server reports of itself.
    pub load_report: LoadReport,
    /// The response, with [`Status::Ok`] only, and only if it was not streamed before.
    pub response: Option<ServedResponse>,
    /// The cell of the written shard, if it is not the one that the attempt went to.
    pub moved_to_cell: Option<u32>,
}

impl From<Status> for AttemptEnd {
    fn from(status: Status) -> AttemptEnd {
        AttemptEnd {
            status,
            metered_use: None,
            load_report: LoadReport::default(),
            response: None,
            moved_to_cell: None,
        }
    }
}
