//! The events of a run, as observed by each side.
//!
//! Histories encode variants and fields by position: new ones are appended under a new version of the format.

use super::Setup;
use crate::deployment::Nanos;
use crate::endpoint::Endpoint;
use serde::{Deserialize, Serialize};

/// Trace id that a client assigns to an attempt; a client that lost its gateway may reuse it.
pub type Trace = u64;

/// How an attempt ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Status 200 with the body of a pay server.
    Served {
        /// Number of the attempt in the body, if it can be parsed.
        attempt: Option<u64>,
    },
    /// Status 429 or 503.
    Refused,
    /// Any other response.
    Failed,
    /// According to the response it is unknown whether the request ran.
    Unknown,
    /// The connection was not established, or no part of the request was received.
    Unreachable,
    /// The connection ended after the gateway had received the request.
    Reset {
        /// Whether it was the first request on its connection.
        first: bool,
    },
    /// No response arrived within the client's timeout.
    TimedOut,
}

/// How a pay server responded to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerOutcome {
    /// The attempt ran and succeeded.
    Served,
    /// The attempt ran and failed.
    Error,
    /// The attempt was rejected without running.
    NeverRan,
}

/// A change in the state of a process or a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessChange {
    /// The process was started.
    Started,
    /// The process accepts requests.
    Ready,
    /// The harness terminated or killed the process.
    Ended,
    /// The process exited by itself.
    Crashed,
    /// The process was suspended.
    Stopped,
    /// The process was resumed.
    Continued,
}

/// State of a pay server in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// The server accepts requests.
    Serving,
    /// The server is draining.
    Draining,
    /// The server has been removed.
    Removed,
}

/// State of a zone in a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneState {
    /// The zone receives traffic.
    Serving,
    /// The zone may have failed.
    Suspect,
    /// The zone has failed over.
    FailedOver,
    /// The zone's traffic is being ramped up after a failover.
    Returning,
    /// An operator keeps the zone out of service.
    HeldByOperator,
}

/// Step of a shard's migration in a shard map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ShardStep {
    /// The shard is not being migrated.
    Stable,
    /// The migration is planned.
    Planned,
    /// The old cell is being fenced.
    Fencing,
    /// The old cell has no writes in flight.
    Drained,
    /// The new cell has all data of the shard.
    Copied,
}

/// A shard in a shard map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Id of the first firm in the shard.
    pub first: u64,
    /// Number of the cell that owns the shard.
    pub cell: u16,
    /// Epoch of the shard, which grows with each migration.
    pub epoch: u64,
    /// Step of the shard's migration.
    pub step: ShardStep,
    /// Number of the cell that the shard migrates to, or of its present cell if it is not being migrated.
    pub to: u16,
}

/// Kinds of fleet-wide decisions that the controllers make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DecisionKind {
    /// Zone failover.
    Zones,
    /// Fair shares.
    Shares,
    /// The shard map.
    ShardMap,
}

/// Result of a call on a register of the coordination service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallResult {
    /// The value was read.
    Value {
        /// The value.
        value: Option<u64>,
        /// The revision.
        revision: u64,
    },
    /// The value was written.
    Written {
        /// The revision.
        revision: u64,
    },
    /// The value was not written, because it is at another revision than expected.
    Conflict {
        /// The revision.
        revision: u64,
    },
    /// The call had no effect, for another reason.
    NoEffect,
    /// It is unknown whether the call took effect.
    Unknown,
}

/// An event of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The setup of the run.
    Setup(Box<Setup>),
    /// A client starts a request.
    RequestStarted {
        /// Number of the request.
        request: u32,
        /// Number of the customer.
        customer: u32,
        /// Class of the request.
        class: u8,
        /// How late the harness sends the request, relative to its scheduled time, in nanoseconds.
        late: Nanos,
    },
    /// A client sends an attempt of a request to a gateway. The gateways' own attempts at pay servers are
    /// recorded by `Arrived`, `Ran` and `Responded`.
    AttemptStarted {
        /// Number of the request.
        request: u32,
        /// The id of the client attempt.
        trace: Trace,
        /// Number of the gateway.
        gateway: u16,
        /// The client's timeout for the attempt, in nanoseconds.
        timeout: Nanos,
        /// Whether the attempt reuses the id of an earlier one whose gateway was lost.
        reuses_id: bool,
    },
    /// An attempt has ended for its client, with a response or without one.
    AttemptEnded {
        /// The id of the client attempt.
        trace: Trace,
        /// How the client attempt ended.
        outcome: Outcome,
    },
    /// The connection of a client attempt that had timed out has delivered a response or has ended.
    AttemptEndedLate {
        /// The id of the client attempt.
        trace: Trace,
        /// Whether a response arrived after the timeout; false if the connection ended without one.
        answered: bool,
    },
    /// A request has ended, after its last client attempt.
    RequestEnded {
        /// Number of the request.
        request: u32,
        /// How the request ended.
        outcome: Outcome,
    },
    /// A connection between two ends was established.
    Opened {
        /// Number of the connection.
        connection: u64,
        /// The end that opened it.
        from: Endpoint,
        /// The end that accepted it.
        to: Endpoint,
    },
    /// The end that opened a connection has closed it or has terminated.
    Closed {
        /// Number of the connection.
        connection: u64,
    },
    /// A pay server has received an attempt completely.
    Arrived {
        /// Number of the attempt.
        attempt: u64,
        /// The id of the client attempt.
        trace: Trace,
        /// Number of the pay server.
        server: u16,
        /// Number of the connection.
        connection: u64,
        /// Number of the gateway.
        gateway: u16,
    },
    /// An attempt starts to run at its pay server.
    Ran {
        /// Number of the attempt.
        attempt: u64,
    },
    /// A pay server responds to an attempt.
    Responded {
        /// Number of the attempt.
        attempt: u64,
        /// The kind of response.
        outcome: ServerOutcome,
    },
    /// A gateway has sent a health probe to a pay server.
    Probed {
        /// Number of the pay server.
        server: u16,
        /// Number of the gateway.
        gateway: u16,
    },
    /// A pay server crashed because its load exceeded its capacity.
    OverloadCrash {
        /// Number of the pay server.
        server: u16,
    },
    /// A gateway requests the pay servers from discovery.
    DiscoveryRequested {
        /// Number of the gateway.
        gateway: u16,
        /// The version that the gateway has, if any.
        since: Option<u64>,
    },
    /// A gateway receives pay servers from discovery.
    DiscoveryReceived {
        /// Number of the gateway.
        gateway: u16,
        /// Number of the discovery service's process that sent it.
        process: u16,
        /// Id of the store that numbers the versions.
        store: u64,
        /// The epoch.
        epoch: u64,
        /// The version.
        version: u64,
        /// Whether it contains all servers; otherwise it contains changes only.
        full: bool,
        /// Numbers and states of the servers.
        servers: Vec<(u16, ServerState)>,
    },
    /// The discovery service acknowledged a registration.
    Registered {
        /// Number of the pay server.
        server: u16,
        /// Number of the discovery service's process that acknowledged it.
        process: u16,
    },
    /// A pay server has renewed its registration.
    Renewed {
        /// Number of the pay server.
        server: u16,
    },
    /// A gateway has called the counter.
    CounterCalled {
        /// Number of the gateway.
        gateway: u16,
        /// Whether the counter rejected the call because of its load.
        busy: bool,
    },
    /// A candidate has received the grant of a lock.
    Granted {
        /// Number of the candidate.
        candidate: u16,
        /// Number of the lock.
        lock: u16,
        /// The fencing token.
        token: u64,
        /// When the candidate requested the lock.
        requested_at: Nanos,
    },
    /// A candidate has verified by its own clock that it still holds a lock, and is about to act under it.
    ActionStarted {
        /// Number of the candidate.
        candidate: u16,
        /// Number of the lock.
        lock: u16,
        /// The fencing token.
        token: u64,
    },
    /// The effect of an action under a lock has arrived at the resource that it changes.
    Effect {
        /// Number of the candidate.
        candidate: u16,
        /// Number of the lock.
        lock: u16,
        /// The fencing token.
        token: u64,
        /// Whether the resource accepted it.
        admitted: bool,
    },
    /// A client starts a call on a register: it reads the register, or writes a value if the register is at
    /// the expected revision, or at any revision.
    CallStarted {
        /// Number of the client.
        client: u16,
        /// Number of the call.
        call: u64,
        /// Number of the register.
        register: u16,
        /// The value to write and the expected revision, if any; `None` for a read.
        put: Option<(u64, Option<u64>)>,
    },
    /// A call on a register has returned.
    CallReturned {
        /// Number of the call.
        call: u64,
        /// The result.
        result: CallResult,
    },
    /// A watcher has received the changes after `since` up to `upto`. Without `since` the watch starts at
    /// `upto`.
    Watched {
        /// Number of the watcher.
        watcher: u16,
        /// The revision after which the changes are reported.
        since: Option<u64>,
        /// The revision up to which the changes are reported.
        upto: u64,
        /// The changes: revision, register and value.
        changes: Vec<(u64, u16, u64)>,
    },
    /// The state of a process or a stand-in has changed.
    ProcessChanged {
        /// The process or stand-in.
        endpoint: Endpoint,
        /// The change.
        change: ProcessChange,
    },
    /// A fault starts.
    FaultBegan {
        /// Number of the fault.
        fault: u16,
    },
    /// A fault has ended.
    FaultEnded {
        /// Number of the fault.
        fault: u16,
    },
    /// The harness was late by this much: times that it recorded meanwhile are inexact.
    Stalled {
        /// The delay in nanoseconds.
        late: Nanos,
    },
    /// Processor time that the harness used in the last second.
    HarnessCpu {
        /// Processor time in nanoseconds.
        cpu: Nanos,
    },
    /// The run has ended; this is the last event.
    Finished {
        /// Processor time of the harness in nanoseconds.
        harness_cpu: Nanos,
        /// Processor time of all other processes in nanoseconds.
        fleet_cpu: Nanos,
    },
    /// A decision on zones was published.
    ZonesDecided {
        /// The fencing token.
        token: u64,
        /// The revision.
        revision: u64,
        /// The state of each zone, and its capacity in units per second.
        zones: Vec<(ZoneState, f64)>,
    },
    /// A decision on fair shares was published.
    SharesDecided {
        /// The fencing token.
        token: u64,
        /// The revision.
        revision: u64,
        /// The units per second that a firm may send per unit of its weight.
        level: f64,
        /// The units per second that all firms together may send to pay servers.
        capacity: f64,
    },
    /// A shard map was published.
    ShardMapDecided {
        /// The fencing token.
        token: u64,
        /// The revision.
        revision: u64,
        /// The shards.
        shards: Vec<ShardRecord>,
    },
    /// A write has arrived at a cell.
    ShardWrite {
        /// Number of the attempt.
        attempt: u64,
        /// Number of the cell.
        cell: u16,
        /// Id of the firm.
        firm: u64,
        /// The epoch that the write carries; 0 if it carries none.
        epoch: u64,
        /// Whether the cell accepted the write.
        admitted: bool,
    },
    /// Recorded at the end of the run: the cells that hold what a client attempt wrote.
    WriteLocations {
        /// The id of the client attempt.
        trace: Trace,
        /// Numbers of the cells.
        cells: Vec<u16>,
    },
    /// A gateway has logged that it applies a decision from now on.
    DecisionApplied {
        /// Number of the gateway.
        gateway: u16,
        /// The kind of the decision.
        kind: DecisionKind,
        /// The fencing token.
        token: u64,
        /// The revision.
        revision: u64,
    },
    /// A controller's decision was refused because it came too late.
    DecisionRefused {
        /// Number of the controller.
        controller: u16,
    },
    /// The state that the platform's agents hold for a server has changed. It counts as received by every
    /// gateway, whether the gateway has requested it or not.
    AgentStateChanged {
        /// Number of the pay server.
        server: u16,
        /// The state.
        state: ServerState,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedEvent {
    /// Time of the event in nanoseconds since the start of the run.
    pub at: Nanos,
    /// The event.
    pub event: Event,
}
