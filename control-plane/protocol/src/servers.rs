//! The list of model servers.
//!
//! The reader, which is one coordinator at a time, polls the platform's API: [`Page`] parses one page of its
//! JSON. The resulting [`ServerList`] is passed to gateways with a version that distinguishes it from lists
//! of earlier readers.

// The code that `nanoserde` derives triggers this lint.
#![allow(clippy::question_mark)]

use musli::{Decode, Encode};
use nanoserde::DeJson;
use std::net::SocketAddr;

/// A model server. Encoded by position: new fields are appended, and none is reordered.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Server {
    /// The platform's id of the server. Identifies one incarnation: a restarted server has a new id.
    pub id: String,
    /// Name of the service that the server belongs to.
    pub backend: String,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Zone of the server's machine.
    pub zone: String,
    /// Number of requests that the server runs concurrently; 0 if the platform does not specify it.
    pub slots: u32,
    /// Whether the server must not receive new requests.
    pub draining: bool,
    /// Time in milliseconds from the read of the list until the server has warmed up; it is slow until then.
    pub warmup_left_ms: u32,
}

/// The list of servers from one complete read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ServerList {
    /// The version of this list.
    pub version: ServerListVersion,
    /// All servers.
    pub servers: Vec<Server>,
}

/// The version of a server list. The order of fields matters: lists of a later reader are newer than those of an earlier one,
/// and those of one reader are ordered by their sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ServerListVersion {
    /// The reader's fencing token, from 1; 0 before the first list.
    pub epoch: u64,
    /// Number of the list among those of its reader.
    pub sequence: u64,
}

/// A page in the platform's JSON.
#[derive(DeJson)]
struct PageDocument {
    instances: Vec<InstanceDocument>,
    next_page_token: Option<String>,
}

/// A server in the platform's JSON.
#[derive(DeJson)]
struct InstanceDocument {
    id: String,
    backend: String,
    address: String,
    zone: String,
    slots: Option<f64>,
    state: String,
    warmup_left_ms: Option<f64>,
}

/// One page of the platform's server list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The servers of this page.
    pub servers: Vec<Server>,
    /// Token of the following page; `None` on the last page.
    pub next: Option<String>,
}

impl Page {
    /// Parses a page; returns `None` if the text is not a valid page. Unknown members are ignored.
    pub fn parse(text: &str) -> Option<Page> {
        let page: PageDocument = DeJson::deserialize_json(text).ok()?;
        let servers = page.instances.into_iter().map(InstanceDocument::into_server).collect::<Option<_>>()?;
        Some(Page { servers, next: page.next_page_token.filter(|token| !token.is_empty()) })
    }
}

impl InstanceDocument {
    fn into_server(self) -> Option<Server> {
        Some(Server {
            id: self.id,
            backend: self.backend,
            address: self.address.parse().ok()?,
            zone: self.zone,
            // The conversions saturate.
            slots: self.slots.unwrap_or(0.0) as u32,
            draining: self.state != "ready",
            warmup_left_ms: self.warmup_left_ms.unwrap_or(0.0) as u32,
        })
    }
}
