//! What watches see of the state's history.

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
    /// A lock has another holder, or is free.
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
    /// The name that a watch's prefix is compared with: a key or a lock; empty for sessions.
    pub fn name(&self) -> &str {
        match self {
            Change::Value { key, .. } | Change::Deleted { key } => key,
            Change::Lock { name, .. } => name,
            Change::Session { .. } => "",
        }
    }
}

/// What a watch receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Changes {
    /// All changes after the requested revision, up to this one.
    Changes {
        /// The revision to continue from.
        upto: Revision,
        /// The changes with their revisions, in order.
        changes: Vec<(Revision, Change)>,
    },
    /// The changes after the requested revision are not retained, or the revision is of another history: the caller reads
    /// the state anew and watches from there.
    Lost {
        /// The present revision.
        now: Revision,
    },
}
