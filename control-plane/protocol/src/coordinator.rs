//! Calls that a coordinator answers.

use crate::servers::{ServerList, ServerListVersion};
use marblecroft_chain_replication::agreement::{VoteReply, VoteRequest};
use marblecroft_chain_replication::{Append, AppendReply, Install, Member, Position, Status, View};
use marblecroft_rpc::Bytes;
use musli::{Decode, Encode};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorRequest {
    /// From the member before this one.
    Append(Append),
    /// From the member before this one.
    Install(Install),
    /// From a member that proposes a view.
    Vote(VoteRequest),
    /// From anyone: what this process says of itself.
    Status,
    /// From a process that is not in the view and would be, with the position of its state.
    Join { member: Member, position: Position },
    /// From a member that is about to end, as its status says too: the head leaves it out. Names its identity.
    Leave(u64),
    /// From a gateway: what is newer than what it has.
    Pull(Pull),
    /// From a store.
    Report(StoreReport),
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorReply {
    Append(AppendReply),
    Vote(VoteReply),
    Status(Status),
    Updates(ConfigurationUpdates),
    Stores(StoreDirective),
    /// Noted; the view will tell.
    Acknowledged,
    /// To a process that would join: the state that it takes first.
    InstallFirst(Install),
    /// Another process is the head, as far as this one knows.
    NotHead(Option<SocketAddr>),
}

/// The versions that a gateway has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionVector {
    /// Configurations taken, up to the one that it has.
    pub configuration: u64,
    pub servers: ServerListVersion,
    /// Number of the view of the stores' chain.
    pub stores: u64,
}

/// Asks for what is newer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Pull {
    pub known_versions: VersionVector,
    /// How long the answer may be held until there is something.
    pub wait_ms: u32,
}

/// What is newer than what a gateway has.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationUpdates {
    /// Whether the coordinator is in touch with the others; one that was cut off tells old versions.
    pub fresh: bool,
    pub configuration: Option<ConfigurationUpdate>,
    pub servers: Option<ServerList>,
    pub stores: Option<View>,
    /// Where coordinators are called.
    pub coordinators: Vec<SocketAddr>,
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationUpdate {
    pub sequence: u64,
    pub body: Bytes,
}

/// What a store tells the head of the coordinators.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoreReport {
    pub node_name: String,
    pub zone: String,
    pub address: SocketAddr,
    pub status: Status,
}

/// What the head of the coordinators tells a store.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoreDirective {
    /// The view of the stores' chain.
    pub view: View,
    /// A member whose state the store is to fetch, as it is to join next.
    pub fetch_from: Option<SocketAddr>,
    /// Where coordinators are called.
    pub coordinators: Vec<SocketAddr>,
}
