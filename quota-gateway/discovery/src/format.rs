//! The list of servers as JSON, and the requests for it as URL queries.
//!
//! The service, which writes the list, and the gateways, which read it, share this definition. Parsing is
//! lenient, so that services and gateways of different releases work together: unknown fields are ignored,
//! missing optional fields have defaults, and an entry that cannot be parsed does not invalidate the others.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The URL path of the list.
pub const HOSTS: &str = "/discovery/hosts";
/// The maximum wait of a watch.
pub const MAX_WATCH_TIME: Duration = Duration::from_secs(60);
/// The maximum length of a list, in bytes. Readers reject longer bodies.
pub const MAX_LIST_BYTES: usize = 64 << 10;

/// A list of servers as it is parsed: all of them, or those that have changed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HostList {
    /// The store's version at which the list was made.
    pub version: u64,
    /// Whether it contains all servers. Otherwise it contains those that have changed since the requested
    /// version.
    pub full: bool,
    /// The origin of the store to which the version belongs, if the service sends it.
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
    /// An entry that cannot be parsed, with its id if that is readable. Its state is unknown, so the server
    /// must not be used any more.
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
    /// Its zone; empty if it has none.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine; empty if unknown.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Its capacity relative to other servers; 0 if unknown.
    #[serde(default)]
    pub weight: f64,
    /// Its last start, in milliseconds since the Unix epoch; 0 if unknown, which counts as a start long ago.
    #[serde(default)]
    pub started_ms: u64,
}

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum State {
    /// It takes new work.
    Serving,
    /// It completes the work that it has, and takes no new work.
    Draining,
    /// It has left, or its lease has expired. Only a list of changes contains it.
    Deleted,
}

/// A list of servers as it is serialized; see [`HostList`].
#[derive(Serialize)]
pub struct HostListRef<'a> {
    /// The store's version at which the list was made.
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

/// The reason why the query of a list request is rejected, with the name of the parameter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// The parameter occurs more than once.
    Repeated(&'static str),
    /// The parameter is not an unsigned integer.
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
    /// The full list, returned at once.
    Full,
    /// The changes after a version (long polling): returned as soon as there are any, or empty after the
    /// wait.
    Watch {
        /// The version that the reader has.
        since: u64,
        /// The maximum wait.
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

    /// Parses the query of a request. Unknown parameters are ignored, and the wait is limited to
    /// [`MAX_WATCH_TIME`].
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
            // The value consists of digits, so parsing fails only if it is too large. `u64::MAX` also exceeds
            // every version and every wait, so the result is the same.
            *parameter = Some(value.parse::<u64>().unwrap_or(u64::MAX));
        }
        let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WATCH_TIME);
        Ok(since.map_or(ListRequest::Full, |since| ListRequest::Watch { since, wait }))
    }
}
