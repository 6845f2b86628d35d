//! The store's commands, its decisions, and the records of changes, which are stored and replicated.

use crate::format::Host;
use serde::{Deserialize, Serialize};
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The properties that a server registers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// The server's id, unique in the store.
    pub id: String,
    /// The address at which it serves.
    pub addr: SocketAddr,
    /// Its zone; empty if it has none.
    pub zone: String,
    /// Its kind of machine; empty if unknown.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its capacity relative to other servers.
    pub weight: f64,
}

/// A command to the store. If a `revision` is given, the entry must have it (compare-and-set).
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Creates an entry, or renews the lease of an equal one.
    Register {
        /// The registered properties.
        server: Registration,
        /// The time after which the entry expires unless it is renewed. Without a lease, it never expires.
        lease: Option<Duration>,
        /// The revision that the entry must have. Without one, an existing entry must be equal to this one.
        revision: Option<u64>,
    },
    /// Renews an entry's lease.
    Renew {
        /// The entry's id.
        id: String,
    },
    /// Sets an entry's state to draining.
    Drain {
        /// The entry's id.
        id: String,
        /// The revision that the entry must have.
        revision: Option<u64>,
    },
    /// Sets an entry's state back to serving.
    Undrain {
        /// The entry's id.
        id: String,
        /// The revision that the entry must have.
        revision: Option<u64>,
    },
    /// Deletes an entry.
    Deregister {
        /// The entry's id.
        id: String,
        /// The revision that the entry must have.
        revision: Option<u64>,
    },
}

/// The reason why a command is rejected. A rejected command changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// There is no such entry, or its lease has expired.
    Unknown,
    /// The entry does not have the required revision, or, if none was given, is not equal to the registered
    /// one.
    Conflict {
        /// The entry's revision.
        revision: u64,
    },
    /// The list would exceed [`MAX_LIST_BYTES`](crate::format::MAX_LIST_BYTES).
    ListTooLong,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Unknown => write!(f, "no such entry, or its lease has expired"),
            Rejection::Conflict { revision } => write!(f, "the entry is at revision {revision}"),
            Rejection::ListTooLong => write!(f, "the list would exceed its maximum length"),
        }
    }
}

impl Error for Rejection {}

/// A change, as it is stored and replicated. Each record has a higher version than the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A writer opened the store. All earlier versions are lower.
    Opened {
        /// The store's version after this change.
        version: u64,
    },
    /// An entry was created or changed.
    Put {
        /// The store's version after this change, and the entry's revision.
        version: u64,
        /// The entry.
        host: Host,
        /// Its lease in milliseconds.
        lease_ms: Option<u64>,
    },
    /// An entry was deleted.
    #[serde(rename = "Gone")]
    Deleted {
        /// The store's version after this change.
        version: u64,
        /// The entry's id.
        id: String,
    },
    /// Operators promoted the store's process to writer. Changes of the former writer that were not
    /// replicated to this process are discarded, so readers with an older version get the full list.
    Promoted {
        /// The store's version after this change.
        version: u64,
        /// The epoch of the new writer.
        epoch: u64,
    },
}

impl Record {
    /// Returns the store's version after this change.
    pub fn version(&self) -> u64 {
        let (Record::Opened { version }
        | Record::Put { version, .. }
        | Record::Deleted { version, .. }
        | Record::Promoted { version, .. }) = self;
        *version
    }
}

/// The action that a command requires.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Renew the lease of this entry. The renewal is not recorded.
    Renew(String),
    /// Do nothing: the entry already has the requested state.
    Nothing,
    /// Make this record durable and apply it.
    Change(Record),
}
