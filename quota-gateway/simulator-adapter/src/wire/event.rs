//! The wire format of events. The names of variants, and the names of fields in `PascalCase`, are part of the
//! format.

use marblecroft_simulator_adapter::Site;
use serde::Deserialize;
use std::collections::BTreeMap;

/// An event of one gateway.
#[derive(Deserialize)]
pub enum WireEvent {
    Init(Box<Init>),
    PowerOff(InstanceEvent),
    Sync(Sync),
    NewRequest(NewRequest),
    Headers(Headers),
    Settled(Settled),
    Dropped(Dropped),
    DeadlineHit(DeadlineHit),
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
    pub(super) init_seed: u64,
    pub(super) boot_info: Site,
}

/// A server list, or a change to it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Sync {
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
    #[serde(default)]
    pub(super) area: u32,
    #[serde(default)]
    pub(super) family_type: u32,
    #[serde(default)]
    pub(super) group: u32,
    pub(super) lifecycle: String,
    #[serde(default)]
    pub(super) capacity_hint: f64,
    #[serde(default)]
    pub(super) since: u64,
}

/// A client's request.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct NewRequest {
    pub(super) gateway_id: String,
    pub(super) tid: u32,
    #[serde(default)]
    pub(super) category: usize,
    #[serde(default)]
    pub(super) tier: usize,
    #[serde(default)]
    pub(super) client_id: String,
    pub(super) deadline: u64,
    #[serde(default)]
    pub(super) size_units: f64,
    #[serde(default)]
    pub(super) n_entries: f64,
    #[serde(default)]
    pub(super) bitmap: u32,
}

/// The bit of [`NewRequest::bitmap`] that marks a client's retry.
pub(super) const RETRY_BIT: u32 = 2;

/// The head of a streamed response has been received.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Headers {
    pub(super) gateway_id: String,
    pub(super) tid: u32,
    #[serde(default)]
    pub(super) send_no: u32,
}

/// An attempt has ended.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Settled {
    pub(super) gateway_id: String,
    pub(super) tid: u32,
    #[serde(default)]
    pub(super) send_no: u32,
    #[serde(default)]
    pub(super) status: u32,
    #[serde(default)]
    pub(super) spent: u64,
    #[serde(default)]
    pub(super) over: bool,
    #[serde(default)]
    pub(super) quota_use: u64,
    #[serde(default)]
    pub(super) true_units: f64,
    #[serde(default)]
    pub(super) server_stats: BTreeMap<String, f64>,
}

/// A client has disconnected.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Dropped {
    pub(super) gateway_id: String,
    pub(super) tid: u32,
}

/// A timer is due.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DeadlineHit {
    pub(super) gateway_id: String,
    pub(super) r#ref: u64,
}
