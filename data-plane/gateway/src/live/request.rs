//! A live request under way, and what its route still allows.

use crate::gateway::Gateway;
use crate::upstream::UpstreamRequest;
use marblecroft_configuration::Route;
use marblecroft_routing::prompt::Prompt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The most attempts of one request that servers may decline or that may not reach one.
pub(super) const MAX_REJECTIONS: u32 = 5;
/// The time that a request has whose client states none.
pub(super) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A live request under way.
pub(super) struct LiveRequest {
    pub(super) gateway: Rc<Gateway>,
    pub(super) route: Arc<Route>,
    /// The service, by the weights of the route.
    pub(super) service: String,
    /// The request as it is sent to servers.
    pub(super) request: UpstreamRequest,
    /// The client's id of the request.
    pub(super) id: String,
    pub(super) prompt: Prompt,
    pub(super) received_at: Instant,
    /// When the response must be on its way.
    pub(super) deadline: Instant,
    /// Ids of the servers of all attempts so far.
    pub(super) attempted: Vec<String>,
    /// The attempts that may have been executed.
    pub(super) executions: u32,
    /// The attempts that a server declined or that did not reach one.
    pub(super) rejections: u32,
}

impl LiveRequest {
    /// Returns the number of connections that each server of the service accepts.
    pub(super) fn max_connections(&self) -> u32 {
        self.gateway.max_connections_of(&self.service)
    }

    /// Whether the route allows another attempt after those that have ended.
    pub(super) fn may_retry(&self) -> bool {
        self.route.may_run_twice() && self.executions < self.route.attempts
    }

    /// Whether the route will allow another attempt after the one that is under way.
    pub(super) fn may_retry_after_this(&self) -> bool {
        self.route.may_run_twice() && self.executions + 1 < self.route.attempts
    }

    /// Tells admission in what time the request got its first event, or its response.
    pub(super) fn record_latency(&self, latency: Duration) {
        let target = self.route.target_latency;
        self.gateway.admission.borrow_mut().record_latency(&self.route.name, latency, target);
    }
}
