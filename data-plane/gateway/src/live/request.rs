//! State of a live request, and the number of attempts that its route still allows.

use crate::gateway::Gateway;
use crate::upstream::UpstreamRequest;
use marblecroft_configuration::Route;
use marblecroft_routing::prompt::Prompt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of attempts of one request that servers decline or that do not reach a server.
pub(super) const MAX_REJECTIONS: u32 = 5;
/// Time limit of a request whose client does not specify one.
pub(super) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A live request in progress.
pub(super) struct LiveRequest {
    pub(super) gateway: Rc<Gateway>,
    pub(super) route: Arc<Route>,
    /// Service selected according to the weights of the route.
    pub(super) service: String,
    /// The request to send to servers.
    pub(super) request: UpstreamRequest,
    /// Id that the client gave to the request.
    pub(super) id: String,
    pub(super) prompt: Prompt,
    pub(super) received_at: Instant,
    /// Time by which the response must be sent.
    pub(super) deadline: Instant,
    /// Ids of the servers of all attempts so far.
    pub(super) attempted: Vec<String>,
    /// Number of attempts that may have been executed.
    pub(super) executions: u32,
    /// Number of attempts that a server declined or that did not reach a server.
    pub(super) rejections: u32,
}

impl LiveRequest {
    /// Returns the number of connections that each server of the service accepts.
    pub(super) fn max_connections(&self) -> u32 {
        self.gateway.max_connections_of(&self.service)
    }

    /// Returns whether the route allows another attempt after those that have ended.
    pub(super) fn may_retry(&self) -> bool {
        self.route.allows_reexecution() && self.executions < self.route.attempts
    }

    /// Returns whether the route will allow another attempt after the current one.
    pub(super) fn may_retry_after_this(&self) -> bool {
        self.route.allows_reexecution() && self.executions + 1 < self.route.attempts
    }

    /// Reports the latency of the request to admission control: the time to the first event of a
    /// stream, the time to a complete response, or the route's time limit if the request failed.
    pub(super) fn record_latency(&self, latency: Duration) {
        let target = self.route.target_latency;
        self.gateway.admission.borrow_mut().record_latency(&self.route.name, latency, target);
    }
}
