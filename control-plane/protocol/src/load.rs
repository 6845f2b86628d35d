//! The datagrams by which the gateways of one zone inform each other of their requests in flight.
//!
//! Each datagram contains the complete load of its sender, so the next one compensates for a lost one.
//! Messages are encoded by position: new fields are appended, and none is reordered.

use musli::{Decode, Encode};

/// The load of one gateway at all servers. Sent periodically to each peer of the gateway's zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadUpdate {
    /// Hash of the sending gateway's name.
    pub gateway_hash: u64,
    /// Orders the datagrams of one process; the receiver drops a datagram that arrives after a later one.
    pub sequence: u64,
    /// The servers at which the gateway has load.
    pub servers: Vec<ServerLoad>,
}

/// The load of one gateway at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServerLoad {
    /// Hash of the server's id.
    pub server_hash: u64,
    /// Requests of this gateway that the server has not completed.
    pub in_flight: u32,
    /// Prompt tokens that the gateway has sent to the server since its previous datagram.
    pub prompt_tokens: u32,
    /// Share of the gateway's own requests that fail at the server, in units of 1/255.
    pub failure_share: u8,
}

/// Requests in flight at the servers of one zone, from one gateway or from all gateways together.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ZoneLoad {
    /// Name of the servers' zone.
    pub zone: String,
    /// Requests in flight, as a moving average.
    pub in_flight: f32,
}
