//! Calls that a store answers.

use crate::load::ZoneLoad;
pub use marblecroft_batch_state::ItemId;

use marblecroft_batch_state::{Item, ItemOutcome, NewJob};
use marblecroft_chain_replication::{Append, AppendReply, Install, Status};
use musli::{Decode, Encode};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum StoreRequest {
    /// From the member before this one.
    Append(Append),
    /// From the member before this one.
    Install(Install),
    /// From anyone: what this process says of itself.
    Status,
    /// From a store that is to join: the whole state.
    Fetch,
    /// Take a job.
    SubmitJob(NewJob),
    /// Results of a job from a position on.
    ReadResults { job: String, start: u64, wait_ms: u32 },
    /// The body of an item that is not listed.
    ReadItemBody { job: String, item: String },
    /// End a job.
    EndJob { job: String },
    /// From a gateway that runs items.
    Work(WorkRequest),
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum StoreReply {
    Append(AppendReply),
    Status(Status),
    State(Install),
    /// A job was taken.
    Accepted,
    /// A job does not fit; none of it runs.
    OverQuota,
    /// Another job was taken under its id; none of this one runs.
    Conflict,
    Results(ResultsPage),
    Body(#[musli(bytes)] Vec<u8>),
    /// A job was ended.
    Ended,
    /// There is no such job, or no such item without a result.
    NotFound,
    Work(WorkReply),
    /// Another process is the head, as far as this one knows. Nothing was carried out.
    NotHead(Option<SocketAddr>),
    /// Too few copies would be made. Nothing was carried out.
    Unavailable,
    /// It may have been carried out.
    OutcomeUnknown,
}

/// A part of a job's results.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ResultsPage {
    /// Items of the job.
    pub total: u64,
    pub results: Vec<NamedResult>,
}

/// A result by the id of its item.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NamedResult {
    pub id: String,
    pub outcome: ItemOutcome,
}

/// A gateway tells what it runs and has run, and asks for more.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WorkRequest {
    pub gateway: String,
    pub running: Vec<ItemId>,
    pub finished: Vec<FinishedItem>,
    /// Items that it would begin.
    pub capacity: u32,
    /// What it sees of the servers, by which the stores bound how many items all gateways run.
    pub load: GatewayLoad,
    pub zone: String,
    /// Where it takes the load notices of other gateways.
    pub load_address: SocketAddr,
    /// The digest of the peers that it was last told, 0 before the first.
    pub peers_digest: u64,
    /// What it has at the servers of each zone.
    pub zone_loads: Vec<ZoneLoad>,
}

/// The gateways of one zone that exchange load notices.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Peers {
    /// Tells one set of peers from another.
    pub digest: u64,
    pub addresses: Vec<SocketAddr>,
}

/// What a gateway sees of the servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Encode, Decode)]
pub struct GatewayLoad {
    /// Live requests that it had at servers at once lately, in the mean.
    pub live_requests: f64,
    /// Slots of all servers that requests may be sent to.
    pub slots: u32,
}

/// An item that was run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FinishedItem {
    pub id: ItemId,
    pub outcome: ItemOutcome,
}

/// What a gateway is to do.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct WorkReply {
    /// Items to run under a lease.
    pub granted: Vec<GrantedItem>,
    /// Items to stop: they are another gateway's, or are not wanted any more.
    pub stop: Vec<ItemId>,
    /// How long the leases last from when the request was sent.
    pub lease_ms: u32,
    /// The gateways of its zone, where they are others than those that it knows.
    pub peers: Option<Peers>,
    /// What all gateways together have at the servers of each zone.
    pub zone_loads: Vec<ZoneLoad>,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// Live requests that all of them had at servers lately, in the mean.
    pub live_requests: f32,
}

/// An item to run.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct GrantedItem {
    pub id: ItemId,
    /// The host and route that its job came in with.
    pub host: String,
    pub route: String,
    pub item: Item,
    /// When its job was taken, in milliseconds since 1970.
    pub accepted_at_ms: u64,
}
