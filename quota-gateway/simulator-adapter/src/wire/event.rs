//! The wire format of events. The names in the `rename` attributes, or else the names of variants and the
//! names of fields in `PascalCase`, are part of the format.

use marblecroft_simulator_adapter::GatewaySettings;
use serde::Deserialize;
use std::collections::BTreeMap;

/// An event of one gateway.
#[derive(Deserialize)]
pub enum WireEvent {
    Init(Box<Init>),
    PowerOff(InstanceEvent),
    #[serde(rename = "Sync")]
    ServerListUpdate(ServerListUpdate),
    NewRequest(NewRequest),
    Headers(Headers),
    #[serde(rename = "Settled")]
    AttemptEnded(AttemptEnded),
    #[serde(rename = "Dropped")]
    ClientDisconnected(ClientDisconnected),
    #[serde(rename = "DeadlineHit")]
    TimerExpired(TimerExpired),
    Sampled(InstanceEvent),
    Message(InstanceEvent),
    LedgerReply(InstanceEvent),
}

/// An event of which only the gateway is used.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct InstanceEvent {
    pub(super) gateway_id: String,
}

/// A gateway starts.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Init {
    pub(super) gateway_id: String,
    #[serde(rename = "InitSeed")]
    pub(super) seed: u64,
    #[serde(rename = "BootInfo")]
    pub(super) gateway_settings: GatewaySettings,
}

/// A server list, or a change to it.
#[derive(Deserialize)]
#[serde(rename = "Sync", rename_all = "PascalCase")]
pub struct ServerListUpdate {
    pub(super) gateway_id: String,
    pub(super) scope: String,
    #[serde(default)]
    pub(super) members: Vec<Member>,
}

/// An entry of a server list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Member {
    pub(super) server: u32,
    #[serde(rename = "Area", default)]
    pub(super) zone: u32,
    #[serde(rename = "FamilyType", default)]
    pub(super) kind: u32,
    #[serde(rename = "Group", default)]
    pub(super) cell: u32,
    pub(super) lifecycle: String,
    #[serde(rename = "CapacityHint", default)]
    pub(super) capacity: f64,
    #[serde(rename = "Since", default)]
    pub(super) started_at: u64,
}

/// A client's request.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct NewRequest {
    pub(super) gateway_id: String,
    #[serde(rename = "Tid")]
    pub(super) request_id: u32,
    #[serde(rename = "Category", default)]
    pub(super) class: usize,
    #[serde(rename = "Tier", default)]
    pub(super) plan: usize,
    #[serde(rename = "ClientId", default)]
    pub(super) customer: String,
    pub(super) deadline: u64,
    #[serde(rename = "SizeUnits", default)]
    pub(super) units: f64,
    #[serde(rename = "NEntries", default)]
    pub(super) gateways: f64,
    #[serde(rename = "Bitmap", default)]
    pub(super) flags: u32,
}

/// The bit of [`NewRequest::flags`] that marks a client's retry.
pub(super) const RETRY_BIT: u32 = 2;

/// The head of a streamed response has been received.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Headers {
    pub(super) gateway_id: String,
    #[serde(rename = "Tid")]
    pub(super) request_id: u32,
    #[serde(rename = "SendNo", default)]
    pub(super) attempt: u32,
}

/// An attempt has ended.
#[derive(Deserialize)]
#[serde(rename = "Settled", rename_all = "PascalCase")]
pub struct AttemptEnded {
    pub(super) gateway_id: String,
    #[serde(rename = "Tid")]
    pub(super) request_id: u32,
    #[serde(rename = "SendNo", default)]
    pub(super) attempt: u32,
    #[serde(default)]
    pub(super) status: u32,
    #[serde(rename = "Spent", default)]
    pub(super) elapsed: u64,
    #[serde(rename = "Over", default)]
    pub(super) is_finished: bool,
    #[serde(rename = "QuotaUse", default)]
    pub(super) metered_use: u64,
    #[serde(rename = "TrueUnits", default)]
    pub(super) actual_units: f64,
    #[serde(rename = "ServerStats", default)]
    pub(super) load_report: BTreeMap<String, f64>,
}

/// A client has disconnected.
#[derive(Deserialize)]
#[serde(rename = "Dropped", rename_all = "PascalCase")]
pub struct ClientDisconnected {
    pub(super) gateway_id: String,
    #[serde(rename = "Tid")]
    pub(super) request_id: u32,
}

/// A timer is due.
#[derive(Deserialize)]
#[serde(rename = "DeadlineHit", rename_all = "PascalCase")]
pub struct TimerExpired {
    pub(super) gateway_id: String,
    #[serde(rename = "Ref")]
    pub(super) token: u64,
}
