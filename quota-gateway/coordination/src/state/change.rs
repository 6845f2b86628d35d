//! Changes of the state, as they are reported to watches.

use super::command::{Revision, SessionId, Token};
use serde::{Deserialize, Serialize};

/// One change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A value was written.
    Value {
        /// Its key.
        key: String,
        /// The value.
        value: Vec<u8>,
    },
    /// A value was deleted.
    Deleted {
        /// Its key.
        key: String,
    },
    /// The holder of a lock has changed, or the lock is now free.
    Lock {
        /// The lock.
        name: String,
        /// The holder and its token; `None` if the lock is free.
        holder: Option<(SessionId, Token)>,
    },
    /// A session was opened or has ended.
    Session {
        /// The session.
        id: SessionId,
        /// Whether it was opened.
        open: bool,
    },
}

impl Change {
    /// Returns the name that is matched against the prefix of a watch: the key or the lock. It is empty for
    /// sessions.
    pub fn name(&self) -> &str {
        match self {
            Change::Value { key, .. } | Change::Deleted { key } => key,
            Change::Lock { name, .. } => name,
            Change::Session { .. } => "",
        }
    }
}

/// The response to a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Changes {
    /// All changes after the requested revision, up to this one.
    Changes {
        /// The last revision that the changes cover. The next watch continues after it.
        last_revision: Revision,
        /// The changes with their revisions, in order.
        changes: Vec<(Revision, Change)>,
    },
    /// The changes after the requested revision are no longer retained, or the revision belongs to another
    /// history. The caller must read the state again and watch from the revision of that read.
    Lost {
        /// The current revision.
        now: Revision,
    },
}
