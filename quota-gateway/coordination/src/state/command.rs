//! Commands of the replicated log, and their outcomes. `postcard` encodes by position: fields and variants
//! may only be added at the end, under a new [`VERSION`](super::VERSION).

use serde::{Deserialize, Serialize};

/// A fencing token. It increases with every grant of any lock, also across restarts of the service.
pub type Token = u64;
/// Revision of the state. It increases by one with every change that is reported to watches.
pub type Revision = u64;

/// Identifies a session. Identifiers are never reused within a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// Identifies one incarnation of a client. The client draws it at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClientId(pub u64);

/// The condition under which a value is written, and the lifetime of the value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Owner {
    /// Written without a condition; the value is kept until it is deleted.
    Nobody,
    /// Written only while the lock is held under this token; the value is kept until it is deleted.
    Lock {
        /// The lock.
        name: String,
        /// The token under which the writer holds the lock.
        token: Token,
    },
    /// Written only while the session is open, and deleted when it ends.
    Session(SessionId),
}

/// An operation that a client requests. Batches do not nest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Opens a session.
    Open {
        /// Its time to live in milliseconds, within [`MIN_SESSION_TTL`](super::bounds::MIN_SESSION_TTL) and
        /// [`MAX_SESSION_TTL`](super::bounds::MAX_SESSION_TTL).
        ttl_ms: u32,
        /// The owner's name, for operators.
        name: String,
    },
    /// Ends a session at once.
    Close {
        /// The session.
        session: SessionId,
    },
    /// Acquires a lock. Idempotent: the holder gets its current token, a waiter its current position.
    Acquire {
        /// The session that requests the lock.
        session: SessionId,
        /// The lock.
        lock: String,
        /// Whether to queue while another session holds it.
        wait: bool,
    },
    /// Releases a lock, or leaves its queue.
    Release {
        /// The session that holds the lock or waits for it.
        session: SessionId,
        /// The lock.
        lock: String,
    },
    /// Takes a lock from its current holder. For operators.
    Revoke {
        /// The lock.
        lock: String,
    },
    /// Writes a value.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The revision that the key must have, 0 if it must be absent, `None` for any revision.
        expect: Option<Revision>,
        /// The condition for the write, and the lifetime of the value.
        owner: Owner,
    },
    /// Deletes a value.
    Delete {
        /// The key.
        key: String,
        /// The revision that the key must have; `None` for any revision.
        expect: Option<Revision>,
        /// The condition for the deletion.
        owner: Owner,
    },
    /// Fails unless the lock is held under this token. Guards the other operations of a batch.
    Check {
        /// The lock.
        lock: String,
        /// The token.
        token: Token,
    },
    /// Applies all operations in order, or none of them.
    Batch(Vec<Op>),
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A client's operation.
    Call {
        /// The client.
        client: ClientId,
        /// The client's sequence number of this call, starting at 1. A number takes effect once.
        number: u64,
        /// The client has received the replies to all numbers up to and including this one.
        acknowledged: u64,
        /// The operation.
        op: Op,
    },
    /// Sessions have expired according to the leader's clock.
    ExpireSessions {
        /// The sessions.
        sessions: Vec<SessionId>,
    },
    /// A new leader has taken over, possibly of a service that was restored from a snapshot. Tokens that are
    /// granted after this command are higher than its token.
    RaiseTokenFloor {
        /// The lower bound of later tokens.
        token: Token,
    },
    /// Clients that have not called the leader for a long time have expired; their cached replies are
    /// dropped.
    ExpireClients {
        /// The clients.
        clients: Vec<ClientId>,
    },
}

/// The result of an operation that was applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Done {
    /// The session that was opened.
    Opened(SessionId),
    /// The lock is held under this token.
    Granted(Token),
    /// The session is queued for the lock, behind this many other sessions.
    Waiting(u32),
    /// The revision of the write.
    At(Revision),
    /// The operation was applied and has no result.
    Nothing,
    /// The results of a batch, in the order of its operations.
    All(Vec<Done>),
}

/// The error of an operation that was not applied. The state has not changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OperationError {
    /// The session has ended or never existed.
    NoSession,
    /// Another session holds the lock, under this token.
    Held(Token),
    /// The operation's token is not the one under which the lock is held. Holds the current token, or 0 if
    /// the lock is free.
    Fenced(Token),
    /// The key does not have the expected revision. Holds its current revision, or 0 if the key is absent.
    Conflict(Revision),
    /// A limit is reached. Holds the delay before a retry, in milliseconds.
    Busy(u32),
    /// This field is invalid.
    Bad(String),
    /// The reply to this number is no longer cached, so it is unknown whether the call took effect.
    Forgotten,
    /// All tokens have been used.
    Exhausted,
}

/// The outcome of an operation.
pub type Outcome = Result<Done, OperationError>;
