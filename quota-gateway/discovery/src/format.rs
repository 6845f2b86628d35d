//! The list of servers as discovery words it, and the calls that ask for it.
//!
//! One definition for the service, which writes it, and the gateways, which read it. A reader bears more than a writer
//! writes: fields that it does not know, fields that are missing, and single entries that cannot be read.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Where the list is asked for.
pub const HOSTS: &str = "/discovery/hosts";
/// The longest that a watch waits.
pub const MAX_WATCH_TIME: Duration = Duration::from_secs(60);
/// The longest list, in bytes: bodies are no longer by the protocol.
pub const MAX_LIST_BYTES: usize = 64 << 10;

/// A list of servers, whole or what has changed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HostList {
    pub version: u64,
    pub full: bool,
    /// Which store's versions these are, where the service says.
    #[serde(default)]
    pub store: Option<u64>,
    /// Under which writer: each that operators promote has a higher one.
    #[serde(default)]
    pub epoch: u64,
    #[serde(deserialize_with = "readable")]
    pub servers: Vec<Entry>,
}

/// An entry of a list. One that cannot be read must not void the others.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    Readable(Host),
    /// Which server it means, if that can be read: whatever became of it, it may not be used any more.
    Spoilt(Option<String>),
}

fn readable<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Entry>, D::Error> {
    let entries: Vec<Entry> = Vec::<Value>::deserialize(deserializer)?
        .into_iter()
        .map(|entry| {
            let id = entry.get("id").and_then(Value::as_str).map(str::to_owned);
            serde_json::from_value(entry).map_or(Entry::Spoilt(id), Entry::Readable)
        })
        .collect();
    if !entries.is_empty() && entries.iter().all(|entry| matches!(entry, Entry::Spoilt(_))) {
        return Err(serde::de::Error::custom("no entry can be read"));
    }
    Ok(entries)
}

/// A server, as the list has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    pub id: String,
    pub addr: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: u32,
    pub state: State,
    #[serde(default)]
    pub weight: f64,
    /// Its last start, in Unix time; 0 for long ago.
    #[serde(default)]
    pub started_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum State {
    Serving,
    /// Completes what it has and wants nothing new.
    Draining,
    /// Only among changes.
    Deleted,
}

/// A list as it is written.
#[derive(Serialize)]
pub struct Telling<'a> {
    pub version: u64,
    pub full: bool,
    pub store: u64,
    pub epoch: u64,
    pub servers: Vec<&'a Host>,
}

/// A call for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// All of it, at once.
    Full,
    /// What is newer than a version, as soon as there is something, or nothing after a wait.
    Watch { since: u64, wait: Duration },
}

impl ListRequest {
    /// The call's path and query.
    pub fn target(&self) -> String {
        match self {
            ListRequest::Full => HOSTS.to_owned(),
            ListRequest::Watch { since, wait } => {
                format!("{HOSTS}?since={since}&timeout_ms={}", wait.as_millis())
            }
        }
    }

    /// Reads a call's query; the error names the field. Names that mean nothing here are passed over, and a wait of any
    /// length is one of at most [`WAIT_MOST`].
    pub fn of_query(query: &str) -> Result<ListRequest, String> {
        let (mut since, mut wait) = (None, None);
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let place = match name {
                "since" => &mut since,
                "timeout_ms" => &mut wait,
                _ => continue,
            };
            if place.is_some() {
                return Err(format!("{name} comes more than once"));
            }
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(format!("{name} is no whole number"));
            }
            // All digits, so only its size can be wrong: what is beyond all numbers is beyond all versions and waits.
            *place = Some(value.parse::<u64>().unwrap_or(u64::MAX));
        }
        let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WATCH_TIME);
        Ok(since.map_or(ListRequest::Full, |since| ListRequest::Watch { since, wait }))
    }
}
