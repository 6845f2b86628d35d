//! Requests to stores and their replies.
//!
//! Stores send each other the messages of their chain (append, install). Gateways submit jobs, read their results and end
//! them for clients, and exchange [`WorkRequest`] and [`WorkReply`] to run items under leases; only the head serves these.
//!
//! Messages are encoded by position: new variants and fields are appended, and none is reordered.

use crate::load::ZoneLoad;
pub use marblecroft_batch_state::ItemId;

use marblecroft_batch_state::{Item, ItemOutcome, NewJob};
use marblecroft_chain_replication::{Append, AppendReply, Install, Status};
use musli::{Decode, Encode};
use std::net::SocketAddr;

/// A request to a store.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum StoreRequest {
    /// Replicates log entries. Sent by the predecessor in the chain, without entries as a heartbeat.
    Append(Append),
    /// Replaces the state with a snapshot. Sent by the predecessor in the chain to a member that is too far
    /// behind.
    Install(Install),
    /// Queries the process's status. Sent by any process.
    Status,
    /// Requests a snapshot of the state. Sent by a store that is to be added to the chain.
    Fetch,
    /// Submits a job. Sent by a gateway for a client; idempotent, as the job is recognized by its id and
    /// content.
    SubmitJob(NewJob),
    /// Reads a job's results from a position on. Sent by a gateway for a client.
    ReadResults {
        /// Id of the job.
        job: String,
        /// Position of the first result to return, from 0.
        start: u64,
        /// Maximum time in milliseconds for which the reply may be deferred while there is no result at
        /// `start`.
        wait_ms: u32,
    },
    /// Reads the request body of an item that has no result yet. Sent by a gateway for a client.
    ReadItemBody {
        /// Id of the job.
        job: String,
        /// The client's id of the item.
        item: String,
    },
    /// Ends a job; idempotent. Sent by a gateway for a client.
    EndJob {
        /// Id of the job.
        job: String,
    },
    /// Reports and requests items to run. Sent by each gateway periodically.
    Work(WorkRequest),
}

/// A reply of a store.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum StoreReply {
    /// Reply to [`StoreRequest::Append`] and [`StoreRequest::Install`].
    Append(AppendReply),
    /// Reply to [`StoreRequest::Status`].
    Status(Status),
    /// Reply to [`StoreRequest::Fetch`].
    State(Install),
    /// The submitted job is stored.
    Accepted,
    /// The submitted job exceeds its route's quota; none of its items runs.
    OverQuota,
    /// Another job is stored under the submitted job's id; none of the submitted job's items runs.
    Conflict,
    /// Reply to [`StoreRequest::ReadResults`].
    Results(ResultsPage),
    /// Reply to [`StoreRequest::ReadItemBody`].
    Body(#[musli(bytes)] Vec<u8>),
    /// The job is ended.
    Ended,
    /// No such job is stored, or the job has no such item without a result.
    NotFound,
    /// Reply to [`StoreRequest::Work`].
    Work(WorkReply),
    /// The process is not the head, and nothing was executed; contains the head's address, if it is known.
    NotHead(Option<SocketAddr>),
    /// The chain has too few members to replicate the change safely; nothing was executed.
    Unavailable,
    /// The request may or may not have been executed.
    OutcomeUnknown,
}

/// Consecutive results of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ResultsPage {
    /// Number of items of the job.
    pub total: u64,
    /// The results from the requested position on, possibly not all that there are.
    pub results: Vec<NamedResult>,
}

/// A result with the id of its item.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NamedResult {
    /// The client's id of the item.
    pub id: String,
    /// The outcome of the item.
    pub outcome: ItemOutcome,
}

/// A gateway's periodic report of its running and finished items, with its request for more items.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WorkRequest {
    /// Name of the gateway.
    pub gateway: String,
    /// All items that the gateway is running; its leases on other items are released.
    pub running: Vec<ItemId>,
    /// Finished items whose outcome has not been acknowledged yet.
    pub finished: Vec<FinishedItem>,
    /// Number of further items that the gateway can start.
    pub capacity: u32,
    /// The gateway's live load, from which the head derives how many items all gateways together may run.
    pub load: GatewayLoad,
    /// Zone of the gateway's machine.
    pub zone: String,
    /// Address on which the gateway receives the load datagrams of other gateways.
    pub load_address: SocketAddr,
    /// [`Peers::digest`] of the latest peers that the gateway received; 0 before the first.
    pub peers_digest: u64,
    /// The gateway's own requests in flight at the servers of each zone.
    pub zone_loads: Vec<ZoneLoad>,
}

/// The gateways with which a gateway exchanges load datagrams: those of its zone, or one group of them in a large zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Peers {
    /// Hash of the addresses; it differs if the set of addresses has changed.
    pub digest: u64,
    /// Addresses on which the gateways receive load datagrams.
    pub addresses: Vec<SocketAddr>,
}

/// The live load of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Encode, Decode)]
pub struct GatewayLoad {
    /// Concurrent live requests of the gateway at servers, as a moving average.
    pub live_requests: f64,
    /// Sum of the slots of all servers that the gateway may send requests to.
    pub slots: u32,
}

/// The outcome of an item that the gateway has run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FinishedItem {
    /// The item.
    pub id: ItemId,
    /// Its outcome.
    pub outcome: ItemOutcome,
}

/// The reply to a gateway's work request.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct WorkReply {
    /// Items that are newly leased to the gateway.
    pub granted: Vec<GrantedItem>,
    /// Items that the gateway must stop, as they are leased to another gateway or must no longer be run.
    pub stop: Vec<ItemId>,
    /// Duration of the leases in milliseconds. It counts from when the gateway sent the request, so that the gateway's
    /// leases never outlast the head's.
    pub lease_ms: u32,
    /// The gateway's peers, if they differ from those whose digest the request contained.
    pub peers: Option<Peers>,
    /// Requests of all gateways together in flight at the servers of each zone.
    pub zone_loads: Vec<ZoneLoad>,
    /// Number of gateways that have recently requested work.
    pub gateway_count: u32,
    /// Concurrent live requests of all gateways together at servers, as a moving average.
    pub live_requests: f32,
}

/// An item to run.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct GrantedItem {
    /// The item's identity.
    pub id: ItemId,
    /// The `Host` header with which the item is sent.
    pub host: String,
    /// Name of the route on which the job was submitted.
    pub route: String,
    /// The request to send.
    pub item: Item,
    /// Time at which the job was accepted, in milliseconds since 1970 by the clock of the process that
    /// proposed it.
    pub accepted_at_ms: u64,
}
