//! Routes: the requests that they match, the services that the requests go to, and how requests are handled.

use std::time::Duration;

/// The kind of a route's requests, which determines whether they may be retried and the form of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteType {
    /// Requests that may be executed more than once.
    Idempotent,
    /// Requests that must not be executed more than once.
    NonIdempotent,
    /// Requests whose response is a stream of events.
    Streaming,
    /// Jobs of many requests that are run in the background.
    Batch,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedBackend {
    /// Name of the service.
    pub service: String,
    /// Share of the requests relative to the other weights; finite and not negative.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for messages and logs.
    pub name: String,
    /// Host that requests must have, compared without regard to case; not empty.
    pub hostname: String,
    /// Prefix that the paths of requests must have; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of the requests.
    pub route_type: RouteType,
    /// Maximum time for which a request may wait for its response; above 0. Default: 30 s.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, has its full value. Default: the
    /// timeout.
    pub target_latency: Duration,
    /// Priority of the requests; 0, the default, is the highest.
    pub priority: u32,
    /// Services that the requests are distributed over; the sum of the weights is above 0.
    pub backends: Vec<WeightedBackend>,
    /// Maximum number of servers that one request is sent to, or of failed runs of a batch item; at least 1,
    /// which is the default.
    pub attempts: u32,
    /// Whether an interrupted stream may be resumed with `Last-Event-Id`. Default: false.
    pub resumable: bool,
    /// Time from the first submission of a batch job within which its results are due. Default: unlimited.
    pub completion_target: Duration,
    /// Time from the first submission of a batch job after which its items may be abandoned. Default:
    /// unlimited.
    pub retention: Duration,
    /// Maximum number of tokens of batch jobs queued on the route, over all gateways; 0, the default, means
    /// no limit.
    pub max_queued_tokens: u64,
}

impl Route {
    /// Returns whether a request that may have been executed can be sent again: the type of the route is
    /// idempotent, or its streams can be resumed.
    pub fn allows_reexecution(&self) -> bool {
        self.route_type == RouteType::Idempotent || self.resumable
    }
}
