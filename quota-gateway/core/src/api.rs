//! Interface of the decision logic: settings, input events and output actions of a gateway.

use crate::arithmetic::sanitize;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An instant on the caller's clock, in nanoseconds. The origin is arbitrary; the clock is monotonic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// Seconds from `earlier` to `self`; zero when `earlier` is later.
    pub fn since(self, earlier: Time) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1e9
    }
    /// The instant `span` later.
    pub fn after(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
    /// The instant `seconds` later. A negative span or NaN counts as zero; a very large span saturates.
    pub fn after_secs(self, seconds: f64) -> Time {
        Time(self.0.saturating_add((seconds.max(0.0) * 1e9) as u64))
    }
}

/// A request, unique while the gateway runs. A client's retry is a new request with another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u32);
/// A server. The id stays the same when its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId(pub u32);
/// A customer. The id is the same at all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CustomerId(pub u64);
/// Index of a request class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);
/// Index of a plan in [`Settings::plans`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlanId(pub usize);
/// Number of an attempt within its request, from 0 in the order of the sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNo(pub u32);
/// Identifies a timer: passed out with [`Action::Timer`] and back with [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u64);

/// The set of servers that share idempotency keys, and so recognize and drop a repeated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// The effect of executing a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: the request is idempotent.
    Safe,
    /// None at the servers of a group within a period, because they deduplicate requests by key.
    Keyed {
        /// The set of servers that share their keys.
        group: DeduplicationScope,
        /// How long a key is kept, from the send of the earliest attempt that may have been executed.
        window: Duration,
    },
    /// Harmful: the request must not be executed twice.
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// A response within this time has the full value.
    pub latency_target: Duration,
    /// Longest time that a client waits, including its retries.
    pub deadline: Duration,
    /// Value of a response, relative to other classes.
    pub value: f64,
    /// The effect of executing a request twice.
    pub effect: Effect,
}

/// Limits of each customer of a plan, over all gateways together. A limit of zero means that there is none.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The quota, in units per second.
    pub rate: f64,
    /// Capacity of the quota's token bucket, in units.
    pub burst: f64,
    /// Maximum number of attempts in flight.
    pub max_in_flight: u32,
    /// The hard rate limit, in units per second.
    pub rate_limit: f64,
    /// Capacity of the rate limit's token bucket, in units.
    pub rate_limit_burst: f64,
    /// Units by which the rate limit's bucket may go below zero.
    pub rate_limit_slack: f64,
    /// Multiplier of a request's value.
    pub price: f64,
    /// Share of its value that a request over the quota earns when it is served.
    pub over_quota_value: f64,
    /// Share of its value that it costs to send a request over the quota.
    pub over_quota_cost: f64,
}

impl Settings {
    /// The value of each priority of the load shedder: for each plan and class, one within the quota and one
    /// over it.
    pub(crate) fn priority_values(&self) -> impl Iterator<Item = f64> + '_ {
        let of_plan = move |plan: &'_ Plan| {
            let factors = [1.0, sanitize(plan.over_quota_value - plan.over_quota_cost)];
            let price = sanitize(plan.price);
            self.classes
                .iter()
                .flat_map(move |class| factors.map(|factor| sanitize(class.value) * price * factor))
        };
        self.plans.iter().flat_map(of_plan)
    }
}

/// How changes of the server list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Push,
    /// Changes arrive only after [`Action::Subscribe`].
    Subscribe,
}

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// Index of this gateway, from 0.
    pub gateway_index: u32,
    /// Zone of this gateway.
    pub zone: u32,
    /// The request classes, by [`ClassId`].
    pub classes: Vec<Class>,
    /// The plans, by [`PlanId`].
    pub plans: Vec<Plan>,
    /// How changes of the server list arrive.
    pub discovery: Discovery,
    /// Whether [`Action::Cancel`] is permitted.
    pub cancel: bool,
    /// Whether two attempts of one request may be in flight at once (hedged requests).
    pub hedging: bool,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Longest retry-after that clients honor.
    pub max_retry_after: Duration,
    /// Minimum time between two calls; a timer may fire this much late.
    pub tick: Duration,
    /// Period over which the meter totals a customer's use; zero if there is no meter.
    pub meter_period: Duration,
    /// Maximum number of units that one request counts.
    pub max_units: f64,
    /// Lower bound of a server's capacity when it starts, as a share of its full capacity.
    pub slow_start_initial_share: f64,
    /// Time after which a started server has its full capacity.
    pub slow_start_duration: Duration,
    /// A server in slow start fails when it is sent this multiple of its current capacity for
    /// [`slow_start_window`](Self::slow_start_window).
    pub slow_start_overload_factor: f64,
    /// How long the overload must last for a server in slow start to fail.
    pub slow_start_window: Duration,
    /// Price of an attempt that crosses zones, as a share of the price of a request.
    pub cross_zone_price: f64,
}

/// State of a server's process, as reported by the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// It accepts requests.
    #[default]
    Running,
    /// It completes the requests in flight and accepts no new ones.
    Draining,
    /// It is no longer listed.
    #[serde(rename = "Gone")]
    Unlisted,
}

/// An entry of the server list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServerInfo {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its machine type; machines of one type perform alike.
    pub kind: u32,
    /// State of its process, as reported by the list.
    pub lifecycle: Lifecycle,
    /// Capacity relative to the other servers.
    pub capacity: f64,
    /// When its process started, if recently.
    pub started: Option<Time>,
}

/// Which servers a list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All servers: a server that is not in the list is unlisted.
    Full,
    /// Only the servers that changed.
    Delta,
    /// The list could not be fetched; the previous one stays in effect.
    Failed,
}

/// A server's load report. A value that the server does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests waiting for service.
    pub queue: Option<f64>,
    /// Processor utilization: 0 if idle, 1 if fully busy.
    pub utilization: Option<f64>,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server responded with an error.
    Error,
    /// Rejected by the server before execution.
    Rejected,
    /// No response in time.
    TimedOut,
    /// The connection could not be established: it was not executed.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled by this gateway, or by its client.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// A request from a client.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The plan of its customer.
    pub plan: PlanId,
    /// Its customer.
    pub customer: CustomerId,
    /// When the client's timeout for this request ends.
    pub deadline: Time,
    /// Units that it counts. An estimate, if [`Outcome::actual_units`] reports the actual number later.
    pub units: f64,
    /// Number of gateways that receive this customer's requests.
    pub gateways: u32,
    /// Whether the client marked it as a retry of an earlier request, which had another id.
    pub is_retry: bool,
    /// Whether its body is long and still arriving. Such a request can be forwarded only once, and its
    /// timeout starts with [`Event::BodyWritten`].
    pub body_in_flight: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// The attempt that ended.
    pub attempt: AttemptNo,
    /// The result of the attempt.
    pub status: Status,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
    /// Whether the client has received its final response.
    pub finished: bool,
    /// The customer's metered use over all gateways, as a share of its limit.
    pub metered_use: Option<f64>,
    /// Units that the request actually counted.
    pub actual_units: Option<f64>,
    /// Load report of the server.
    pub report: LoadReport,
    /// Whether the request cannot be sent again because its body is no longer available.
    pub not_retryable: bool,
}

/// Activity of another process of the same gateway while one process replaces the other. Quotas, rate limits
/// and slow start treat the two processes as one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerProcessEvent {
    /// The process has sent an attempt.
    Sent {
        /// The customer of the request.
        customer: CustomerId,
        /// The customer's plan.
        plan: PlanId,
        /// Number of gateways that receive this customer's requests.
        gateways: u32,
        /// Units of the request if this is its first attempt; 0 for retries.
        units: f64,
        /// The server that it was sent to.
        server: ServerId,
    },
    /// An attempt that the process had sent has ended.
    Ended {
        /// The customer of the request.
        customer: CustomerId,
        /// The server that it was sent to.
        server: ServerId,
        /// Whether the server responded to it.
        answered: bool,
    },
    /// The process has exited, and all of its attempts have ended with it.
    #[serde(rename = "Gone")]
    Exited,
}

/// Which servers may receive a request. Decided centrally for all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Placement {
    /// Any server.
    #[default]
    Unrestricted,
    /// Only servers of this cell.
    Cell(u32),
    /// No server at present: the request is rejected, unless its quota rejects it first.
    Unavailable {
        /// Retry-after for the client.
        retry_after: Duration,
    },
}

/// Share of one gateway's traffic that goes to one zone. Decided centrally for all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// The zone.
    pub zone: u32,
    /// Share of this gateway's first attempts that goes to the zone. If it is 0, no attempt goes there.
    pub share: f64,
    /// Maximum number of first attempts per second from this gateway to the zone, whatever the share;
    /// infinite if there is no limit.
    pub max_rate: f64,
}

/// Input of a gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// The server list, or a change of it.
    Servers {
        /// Which servers it contains.
        scope: Scope,
        /// The servers.
        servers: Vec<ServerInfo>,
    },
    /// A new request.
    Request(NewRequest),
    /// A new request with a placement.
    RequestWithPlacement(NewRequest, Placement),
    /// The shard of a request has moved: its further attempts go to another cell.
    PlacementMoved {
        /// The request.
        id: RequestId,
        /// The new cell.
        cell: u32,
    },
    /// A server has received all of a body that was in flight.
    BodyWritten {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The request's new deadline.
        deadline: Time,
    },
    /// A streamed response has begun: the request is no longer retried, cancelled or given up.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client has disconnected and needs no response.
    ClientDisconnected(RequestId),
    /// An operator has disabled a server. This overrides the server list.
    ServerDisabled(ServerId),
    /// An operator has enabled a disabled server again.
    ServerEnabled(ServerId),
    /// Activity of another process of this gateway.
    PeerProcess(PeerProcessEvent),
    /// The zone shares, decided centrally. If empty, each gateway chooses zones by itself.
    ZoneShares(Vec<ZoneShare>),
    /// A timer that was requested with [`Action::Timer`] has expired.
    Timer(Token),
}

/// Output of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// When to give the attempt up.
        deadline: Time,
        /// Nothing may be written at this time or later, because servers no longer recognize a retry then.
        begin_by: Option<Time>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final response: the request was not executed, or retrying it is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-after for the client.
        retry_after: Duration,
    },
    /// Final response: the request may have been executed and must not be retried.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Pass in [`Event::Timer`] at this time or later.
    Timer {
        /// The time.
        at: Time,
        /// The token to pass back.
        token: Token,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// Write a log line for the operators.
    Log(String),
}
