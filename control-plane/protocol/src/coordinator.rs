//! Requests to coordinators and their replies.
//!
//! Coordinators send each other the messages of their own chain (append, install, vote) and the requests of membership (join,
//! leave). Gateways pull new versions of the configuration, the server list and the stores' view, with long
//! polling. Stores report to the head of the coordinators and receive the newest view of their chain in
//! return.
//!
//! Messages are encoded by position: new variants and fields are appended, and none is reordered.

use crate::servers::{ServerList, ServerListVersion};
use marblecroft_chain_replication::agreement::{VoteReply, VoteRequest};
use marblecroft_chain_replication::{Append, AppendReply, Install, Member, Position, Status, View};
use marblecroft_rpc::Bytes;
use musli::{Decode, Encode};
use std::net::SocketAddr;

/// A request to a coordinator.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorRequest {
    /// Replicates log entries. Sent by the predecessor in the chain, without entries as a heartbeat.
    Append(Append),
    /// Replaces the state with a snapshot. Sent by the predecessor in the chain to a member that is too far
    /// behind.
    Install(Install),
    /// A message of the agreement on the next view. Sent by a member that proposes one.
    Vote(VoteRequest),
    /// Queries the process's status. Sent by any process; used as health check and to find the head.
    Status,
    /// Requests to become a member of the view. Sent to the head by a coordinator that is not one.
    Join {
        /// The process that is to become a member.
        member: Member,
        /// The position of the process's state.
        position: Position,
    },
    /// Requests to be excluded from the next view. Sent to the head by a member that is draining; contains
    /// the member's identity.
    Leave(u64),
    /// Requests everything that is newer than the sender's versions. Sent by gateways.
    Pull(Pull),
    /// Reports a store's status. Sent by each store periodically.
    Report(StoreReport),
}

/// A reply of a coordinator.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorReply {
    /// Reply to [`CoordinatorRequest::Append`] and [`CoordinatorRequest::Install`].
    Append(AppendReply),
    /// Reply to [`CoordinatorRequest::Vote`].
    Vote(VoteReply),
    /// Reply to [`CoordinatorRequest::Status`].
    Status(Status),
    /// Reply to [`CoordinatorRequest::Pull`].
    Updates(ConfigurationUpdates),
    /// Reply to [`CoordinatorRequest::Report`].
    Stores(StoreDirective),
    /// Reply to [`CoordinatorRequest::Join`] and [`CoordinatorRequest::Leave`]: the request is recorded. It
    /// takes effect with a later view.
    Acknowledged,
    /// Reply to [`CoordinatorRequest::Join`] of a process whose state is too old: the state that it has to install before
    /// it can become a member.
    InstallFirst(Install),
    /// Reply of a process that is not the head to a request for the head: the head's address, if it is known.
    NotHead(Option<SocketAddr>),
}

/// The versions that a gateway has; a version is 0 if the gateway has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionVector {
    /// Sequence number of the configuration; see [`ConfigurationUpdate::sequence`].
    pub configuration_sequence: u64,
    /// Version of the server list.
    pub server_list_version: ServerListVersion,
    /// Number of the view of the stores' chain.
    pub store_view_number: u64,
}

/// A gateway's request for everything that is newer than its versions.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Pull {
    /// The versions that the gateway has.
    pub known_versions: VersionVector,
    /// Maximum time in milliseconds for which the coordinator may defer its reply while there is nothing
    /// newer.
    pub wait_ms: u32,
}

/// The updates for a gateway; a field is `None` if there is nothing newer than the gateway's version.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationUpdates {
    /// Whether the coordinator is in contact with the other members. A partitioned coordinator may reply with
    /// outdated versions.
    pub fresh: bool,
    /// A newer configuration.
    pub configuration: Option<ConfigurationUpdate>,
    /// A newer server list.
    pub servers: Option<ServerList>,
    /// A newer view of the stores' chain.
    pub stores: Option<View>,
    /// Internal addresses of the coordinators.
    pub coordinators: Vec<SocketAddr>,
}

/// A configuration and its number in the sequence of accepted configurations.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationUpdate {
    /// Number of configurations accepted up to this one. Gateways never return to a lower number.
    pub sequence: u64,
    /// The configuration in JSON.
    pub body: Bytes,
}

/// A store's periodic report to the head of the coordinators.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoreReport {
    /// Name of the store's machine.
    pub node_name: String,
    /// Zone of the store's machine.
    pub zone: String,
    /// Internal address of the store.
    pub address: SocketAddr,
    /// The store's status as a process of its chain.
    pub status: Status,
}

/// The reply of the head of the coordinators to a store's report.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoreDirective {
    /// The newest view of the stores' chain.
    pub view: View,
    /// Internal address of the member from which the store must fetch the state before it is added to the
    /// chain; `None` if there is nothing to fetch.
    pub fetch_from: Option<SocketAddr>,
    /// Internal addresses of the coordinators.
    pub coordinators: Vec<SocketAddr>,
}
