//! The list of servers and the requests for it, as JSON and as queries.
//!
//! The service, which writes the list, and the gateways, which read it, share this definition. Reading is lenient, so that
//! versions can be mixed: unknown fields are ignored, missing ones have defaults, and a single entry that cannot be read
//! does not void the others.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The path of the list.
pub const HOSTS: &str = "/discovery/hosts";
/// The longest wait of a watch.
pub const MAX_WATCH_TIME: Duration = Duration::from_secs(60);
/// The longest list, in bytes. Readers reject longer bodies.
pub const MAX_LIST_BYTES: usize = 64 << 10;

/// A list of servers as it is read: all of them, or those that have changed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HostList {
    /// The version as of which it is.
    pub version: u64,
    /// Whether it contains all servers. Otherwise it contains those that have changed after the requested version.
    pub full: bool,
    /// The origin of the store to which the version belongs, if the service states it.
    #[serde(default)]
    pub store: Option<u64>,
    /// The epoch of the writer, which each promotion raises.
    #[serde(default)]
    pub epoch: u64,
    /// The servers.
    #[serde(deserialize_with = "deserialize_entries")]
    pub servers: Vec<Entry>,
}

/// An entry of a list.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A server.
    Readable(Host),
    /// An entry that cannot be read, with its id if that can. Whatever its state is, the server must not be used any more.
    Malformed(Option<String>),
}

fn deserialize_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Entry>, D::Error> {
    let entries: Vec<Entry> = Vec::<Value>::deserialize(deserializer)?
        .into_iter()
        .map(|entry| {
            let id = entry.get("id").and_then(Value::as_str).map(str::to_owned);
            serde_json::from_value(entry).map_or(Entry::Malformed(id), Entry::Readable)
        })
        .collect();
    if !entries.is_empty() && entries.iter().all(|entry| matches!(entry, Entry::Malformed(_))) {
        return Err(serde::de::Error::custom("no entry can be read"));
    }
    Ok(entries)
}

/// A server in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// The server's id, unique in the store.
    pub id: String,
    /// The address at which it serves.
    pub addr: SocketAddr,
    /// Its zone; empty where it has none.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine; empty where it is not known.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Its capacity relative to others; 0 where it is not known.
    #[serde(default)]
    pub weight: f64,
    /// Its last start, in milliseconds since the Unix epoch; 0 where it is not known, which counts as long ago.
    #[serde(default)]
    pub started_ms: u64,
}

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum State {
    /// It takes new work.
    Serving,
    /// It completes its work and takes no more.
    Draining,
    /// It has left, or its lease has expired. Only a list of changes contains it.
    Deleted,
}

/// A list of servers as it is written; see [`HostList`].
#[derive(Serialize)]
pub struct HostListRef<'a> {
    /// The version as of which it is.
    pub version: u64,
    /// Whether it contains all servers.
    pub full: bool,
    /// The origin of the store.
    pub store: u64,
    /// The epoch of the writer.
    pub epoch: u64,
    /// The servers.
    pub servers: Vec<&'a Host>,
}

/// Why the query of a request for the list is rejected, with the parameter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// The parameter occurs more than once.
    Repeated(&'static str),
    /// The parameter is not a whole number.
    NotANumber(&'static str),
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QueryError::Repeated(name) => write!(f, "{name} comes more than once"),
            QueryError::NotANumber(name) => write!(f, "{name} is no whole number"),
        }
    }
}

impl std::error::Error for QueryError {}

/// A request for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// The full list, at once.
    Full,
    /// The changes after a version, as soon as there are any, or none after a wait (long polling).
    Watch {
        /// The version that the reader has.
        since: u64,
        /// The longest wait.
        wait: Duration,
    },
}

impl ListRequest {
    /// Returns the request's path and query.
    pub fn target(&self) -> String {
        match self {
            ListRequest::Full => HOSTS.to_owned(),
            ListRequest::Watch { since, wait } => {
                format!("{HOSTS}?since={since}&timeout_ms={}", wait.as_millis())
            }
        }
    }

    /// Parses the query of a request. Unknown names are ignored, and the wait is limited to [`MAX_WATCH_TIME`].
    pub fn parse(query: &str) -> Result<ListRequest, QueryError> {
        let (mut since, mut wait) = (None, None);
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let (name, parameter) = match name {
                "since" => ("since", &mut since),
                "timeout_ms" => ("timeout_ms", &mut wait),
                _ => continue,
            };
            if parameter.is_some() {
                return Err(QueryError::Repeated(name));
            }
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(QueryError::NotANumber(name));
            }
            // Only digits, so the value can only be too large, and the maximum is beyond all versions and waits as well.
            *parameter = Some(value.parse::<u64>().unwrap_or(u64::MAX));
        }
        let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WATCH_TIME);
        Ok(since.map_or(ListRequest::Full, |since| ListRequest::Watch { since, wait }))
    }
}
