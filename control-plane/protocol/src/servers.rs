//! The list of model servers: as the platform tells it, and as coordinators pass it on.

// What `nanoserde` derives holds this shape.
#![allow(clippy::question_mark)]

use musli::{Decode, Encode};
use nanoserde::DeJson;
use std::net::SocketAddr;

/// A server of the list.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Server {
    /// Names one incarnation.
    pub id: String,
    /// Its service.
    pub backend: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
    /// Time for which it stays slow.
    pub warmup_left_ms: u32,
}

/// The list as one read had it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ServerList {
    pub version: ServerListVersion,
    pub servers: Vec<Server>,
}

/// Orders lists: a later reader's are newer than an earlier one's, and a reader's own follow each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ServerListVersion {
    /// The reader's fencing token.
    pub epoch: u64,
    pub sequence: u64,
}

#[derive(DeJson)]
struct PageDocument {
    instances: Vec<InstanceDocument>,
    next_page_token: Option<String>,
}

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

/// One page of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    pub servers: Vec<Server>,
    /// Names the following page.
    pub next: Option<String>,
}

impl Page {
    /// Reads a page; `None` where it is not one.
    pub fn parse(text: &str) -> Option<Page> {
        let page: PageDocument = DeJson::deserialize_json(text).ok()?;
        let servers = page.instances.into_iter().map(InstanceDocument::server).collect::<Option<_>>()?;
        Some(Page { servers, next: page.next_page_token.filter(|token| !token.is_empty()) })
    }
}

impl InstanceDocument {
    fn server(self) -> Option<Server> {
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
