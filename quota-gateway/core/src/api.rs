//! The interface of the decisions: the settings and events that a gateway is given, and the actions that it asks for.

use crate::arithmetic::sanitize;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An instant on the caller's clock, in nanoseconds. It has no particular origin and never goes back.
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
    /// The instant `seconds` later; a negative or non-finite span counts as zero.
    pub fn after_secs(self, seconds: f64) -> Time {
        Time(self.0.saturating_add((seconds.max(0.0) * 1e9) as u64))
    }
}

/// One try of a client, unique while the gateway runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u32);
/// A server; the id survives a restart of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId(pub u32);
/// A customer, across all of its gateways.
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
/// A value that comes back with its timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u64);

/// The servers among which a retry of a keyed request is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What running a request twice does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: the request is idempotent.
    Safe,
    /// Nothing within a scope and for a time: servers drop a retry by its key.
    Keyed {
        /// The servers that know of each other's keys.
        group: DeduplicationScope,
        /// How long they do, from the earliest attempt that may have been executed.
        window: Duration,
    },
    /// Harm.
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full value.
    pub latency_target: Duration,
    /// The longest that a client waits, over all its tries.
    pub deadline: Duration,
    /// The value of an answer, against that of other classes.
    pub value: f64,
    /// What running a request twice does.
    pub effect: Effect,
}

/// A plan's quotas, for each of its customers and over all gateways. Zero means "no such limit".
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units a second.
    pub rate: f64,
    /// Units that the quota's bucket holds.
    pub burst: f64,
    /// Attempts in flight at once.
    pub max_in_flight: u32,
    /// The hard limit, in units a second.
    pub rate_limit: f64,
    /// Units that the hard limit's bucket holds.
    pub rate_limit_burst: f64,
    /// Units by which that bucket may fall below zero.
    pub rate_limit_slack: f64,
    /// Factor on the value of a request.
    pub price: f64,
    /// Share of its value that a request beyond the quota earns when it is served.
    pub over_quota_value: f64,
    /// Share of its value that sending a request beyond the quota costs.
    pub over_quota_cost: f64,
}

impl Settings {
    /// The value of each priority of the load shedder: a class under a plan, within the quota and beyond it.
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

/// How the server list is learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Push,
    /// Changes come only after [`Action::Subscribe`].
    Subscribe,
}

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many gateways there are.
    pub gateways: u32,
    /// Which of them this is, from 0.
    pub gateway_index: u32,
    /// The zone this gateway is in.
    pub zone: u32,
    /// The request classes, by [`ClassId`].
    pub classes: Vec<Class>,
    /// The plans, by [`PlanId`].
    pub plans: Vec<Plan>,
    /// How the server list is learnt.
    pub discovery: Discovery,
    /// [`Action::Cancel`] is permitted.
    pub cancel: bool,
    /// Two attempts of one request may be in flight at once (hedged requests).
    pub hedging: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// The longest retry-after that a client observes.
    pub max_retry_after: Duration,
    /// The least time between two calls; a timer may come this much late.
    pub tick: Duration,
    /// The period over which the meter totals a customer's use; zero means no meter.
    pub meter_period: Duration,
    /// The most units that one request counts.
    pub max_units: f64,
    /// A starting server has at least this share of its capacity ...
    pub slow_start_initial_share: f64,
    /// ... and all of it after this long.
    pub slow_start_duration: Duration,
    /// A starting server falls over when it is sent this multiple of what it can do ...
    pub slow_start_overload_factor: f64,
    /// ... for this long.
    pub slow_start_window: Duration,
    /// Price of an attempt that crosses zones, as a share of a request.
    pub cross_zone_price: f64,
}

/// What the list says of a server's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// It takes requests.
    #[default]
    Running,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServerInfo {
    /// The server.
    pub id: ServerId,
    /// The zone that it is in.
    pub zone: u32,
    /// The cell that it is in.
    pub cell: u32,
    /// Its kind of machine; those of one kind are alike.
    pub kind: u32,
    /// What the list says of its process.
    pub lifecycle: Lifecycle,
    /// Capacity relative to the other servers.
    pub capacity: f64,
    /// When its process started, if not long ago.
    pub started: Option<Time>,
}

/// Whether a list is all servers or those that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All servers: what is not in the list is gone.
    Full,
    /// Those that changed.
    Delta,
    /// Asking failed; the earlier list holds.
    Failed,
}

/// A server's report on its load; what it does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that wait for service.
    pub queue: Option<f64>,
    /// Share of the processor that is busy, from 0.
    pub utilization: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server answered with an error.
    Error,
    /// Rejected unexamined: it was not executed.
    Rejected,
    /// Not answered in time.
    TimedOut,
    /// Not connected: it was not executed.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled by this gateway, or by its client.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// One try of a client.
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
    /// When the client gives this try up.
    pub deadline: Time,
    /// Units that it counts (a guess where they are settled later).
    pub units: f64,
    /// Gateways through which this customer's requests come.
    pub gateways: u32,
    /// The client says that it has tried before, under another id.
    pub is_retry: bool,
    /// Its body is long and still on its way: it can be passed on but once, and what the request has of time begins
    /// with [`Event::BodyWritten`].
    pub body_in_flight: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// The attempt that ended.
    pub attempt: AttemptNo,
    /// How it ended.
    pub status: Status,
    /// Time since the send.
    pub elapsed: Duration,
    /// The client has had its final answer.
    pub finished: bool,
    /// The customer's metered use over all gateways, as a share of its limit.
    pub metered_use: Option<f64>,
    /// The units that the request really counted.
    pub actual_units: Option<f64>,
    /// What the server reported of its load.
    pub report: LoadReport,
    /// The request can't be sent again: its body is gone.
    pub not_retryable: bool,
}

/// What another process of the same gateway does while one replaces the other. For quotas, rate limits and starting servers
/// the two count as one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerProcessEvent {
    /// It has sent an attempt.
    Sent {
        /// The customer of the request.
        customer: CustomerId,
        /// The customer's plan.
        plan: PlanId,
        /// Gateways through which this customer's requests come.
        gateways: u32,
        /// Units that are counted with a request's first attempt; 0 with others.
        units: f64,
        /// The server that it went to.
        server: ServerId,
    },
    /// An attempt that it had sent has ended.
    Ended {
        /// The customer of the request.
        customer: CustomerId,
        /// The server that it had gone to.
        server: ServerId,
        /// The server answered it.
        answered: bool,
    },
    /// It has ended, and with it what it had in flight.
    Gone,
}

/// Where the fleet's decisions let a request go.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Placement {
    /// No decision binds it.
    #[default]
    Unrestricted,
    /// Its attempts go to servers of this cell alone.
    Cell(u32),
    /// Nowhere now: it is rejected, unless its quota rejects it before.
    Unavailable {
        /// What its client is advised to wait.
        retry_after: Duration,
    },
}

/// What is decided for the fleet of one zone, for one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// The zone.
    pub zone: u32,
    /// The share of this gateway's first attempts that goes there; nothing goes where it is 0.
    pub share: f64,
    /// Requests a second that may go there from here, whatever the share; infinite: no such bound.
    pub max_rate: f64,
}

/// What happens to a gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// A server list, or a change of it.
    Servers {
        /// Whether it is complete.
        scope: Scope,
        /// The servers.
        servers: Vec<ServerInfo>,
    },
    /// A new request.
    Request(NewRequest),
    /// A new request that a decision for the fleet binds.
    RequestWithPlacement(NewRequest, Placement),
    /// A request that was bound to a cell is bound to another one from now on: its shard has moved.
    PlacementMoved {
        /// The request.
        id: RequestId,
        /// The cell that it is bound to now.
        cell: u32,
    },
    /// The server has all of a body that was in flight.
    BodyWritten {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The request's deadline from now on.
        deadline: Time,
    },
    /// A streamed answer has begun: the attempt is the client's now.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client has disconnected; nothing more is owed.
    ClientDisconnected(RequestId),
    /// Operators disable a server, whatever the list says of it ...
    ServerDisabled(ServerId),
    /// ... and enable it again.
    ServerEnabled(ServerId),
    /// Another process of this gateway did something.
    PeerProcess(PeerProcessEvent),
    /// The shares of zones, as decided for the fleet; empty: nothing is decided, and each gateway chooses for itself.
    ZoneShares(Vec<ZoneShare>),
    /// A timer that was asked for with [`Action::Timer`].
    Timer(Token),
}

/// What a gateway asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server that it goes to.
        server: ServerId,
        /// When it is given up.
        deadline: Time,
        /// Nothing is written at this time or later: servers no longer recognize a retry then.
        begin_by: Option<Time>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: it was not executed, or trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// What the client is advised to wait.
        retry_after: Duration,
    },
    /// Final answer: it may have been executed, and must not be tried again.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Pass in [`Event::Timer`] at or after a time.
    Timer {
        /// The time.
        at: Time,
        /// What comes back with it.
        token: Token,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
