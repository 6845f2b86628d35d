//! What the store is asked to do, what it decides, and the records in which changes are stored and replicated.

use crate::format::Host;
use serde::{Deserialize, Serialize};
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// What a server registers as.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// The server's id, unique in the store.
    pub id: String,
    /// The address at which it serves.
    pub addr: SocketAddr,
    /// Its zone; empty where it has none.
    pub zone: String,
    /// Its kind of machine; empty where it is not known.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its capacity relative to others.
    pub weight: f64,
}

/// A command to the store. Where a `revision` is given, the entry must have it (compare-and-set).
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Creates an entry, or renews the lease of an equal one.
    Register {
        /// The entry.
        server: Registration,
        /// How long the entry lives without renewal; without a lease it lives until it is deregistered.
        lease: Option<Duration>,
        /// The revision that the entry must have. Without one, an existing entry must be equal.
        revision: Option<u64>,
    },
    /// Renews an entry's lease.
    Renew {
        /// The entry.
        id: String,
    },
    /// Sets an entry's state to draining.
    Drain {
        /// The entry.
        id: String,
        /// The revision that the entry must have.
        revision: Option<u64>,
    },
    /// Sets an entry's state back to serving.
    Undrain {
        /// The entry.
        id: String,
        /// The revision that the entry must have.
        revision: Option<u64>,
    },
    /// Deletes an entry.
    Deregister {
        /// The entry.
        id: String,
        /// The revision that the entry must have.
        revision: Option<u64>,
    },
}

/// Why a command is rejected. It has changed nothing then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// There is no such entry, or its lease has expired.
    Unknown,
    /// The entry does not have the required revision, or, where none was required, is not equal.
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

/// A change, as it is stored and replicated. Versions rise from each record to the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The store was opened. All versions before were lower.
    Opened {
        /// The store's version from now on.
        version: u64,
    },
    /// An entry was created or changed.
    Put {
        /// The store's version from now on, and the entry's revision.
        version: u64,
        /// The entry.
        host: Host,
        /// Its lease in milliseconds.
        lease_ms: Option<u64>,
    },
    /// An entry was deleted.
    #[serde(rename = "Gone")]
    Deleted {
        /// The store's version from now on.
        version: u64,
        /// The entry.
        id: String,
    },
    /// Operators promoted the store's process to writer. What another writer did since the two last met is void, so readers
    /// with an older version get the full list.
    Promoted {
        /// The store's version from now on.
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

/// What is to be done for a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Renew the lease of this entry, which is not recorded.
    Renew(String),
    /// Nothing: the entry already is as commanded.
    Nothing,
    /// Make this record durable and apply it.
    Change(Record),
}
