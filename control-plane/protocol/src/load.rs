//! What gateways of one zone tell each other of the servers, by datagrams. One that is lost is made good by the next.

use musli::{Decode, Encode};

/// All that a gateway has out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadUpdate {
    /// Hash of the gateway's name.
    pub gateway: u64,
    /// Orders the notices of one process; one that was overtaken is dropped.
    pub sequence: u64,
    pub servers: Vec<ServerLoad>,
}

/// What a gateway has at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServerLoad {
    /// Hash of the server's id.
    pub server: u64,
    /// Requests that the server has of this gateway.
    pub in_flight: u32,
    /// Tokens of prompts that the gateway has sent there since its last notice.
    pub prompt_tokens: u32,
    /// The share of its requests that fail there, as this gateway has met it itself, of 255.
    pub failure_share: u8,
}

/// What is out at the servers of one zone.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ZoneLoad {
    pub zone: String,
    /// Requests, in the mean over the latest time.
    pub in_flight: f32,
}
