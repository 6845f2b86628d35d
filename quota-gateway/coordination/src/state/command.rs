//! What the replicated log holds, and the outcomes of it. `postcard` writes by position: fields and variants are only added at
//! the end, under a new [`VERSION`](super::VERSION).

use serde::{Deserialize, Serialize};

/// A fencing token. Rises with every grant of any lock, over all restarts of the service.
pub type Token = u64;
/// Rises by one with every change of the state that a watch can see.
pub type Revision = u64;

/// Identifies a session; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// Identifies one incarnation of a client, which draws it at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClientId(pub u64);

/// The condition under which a value is written, and how long it stays.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Owner {
    /// No condition; the value stays until it is deleted.
    Nobody,
    /// Written only while the lock is held under this token; stays until it is deleted.
    Lock {
        /// The lock.
        name: String,
        /// The token under which the writer holds it.
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
    /// Acquires a lock. Idempotent: the holder gets its present token, a waiter its present position.
    Acquire {
        /// The session that is to hold the lock.
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
    /// Takes a lock from its holder, whoever that is; for operators.
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
        /// The revision at which the key must be, 0 for absent; `None` for any.
        expect: Option<Revision>,
        /// The condition for the write, and the value's lifetime.
        owner: Owner,
    },
    /// Deletes a value.
    Delete {
        /// The key.
        key: String,
        /// The revision at which the key must be; `None` for any.
        expect: Option<Revision>,
        /// The condition for the deletion.
        owner: Owner,
    },
    /// Fails unless the lock is held under this token; guards the other operations of a batch.
    Check {
        /// The lock.
        lock: String,
        /// The token.
        token: Token,
    },
    /// Carries out all operations in their order, or none.
    Batch(Vec<Op>),
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A client's operation.
    Call {
        /// The client.
        client: ClientId,
        /// The client's sequence number of this call, from 1. A number takes effect once.
        number: u64,
        /// The client has the replies to all numbers up to this one.
        done: u64,
        /// The operation.
        op: Op,
    },
    /// Sessions have expired by the leader's clock.
    End {
        /// The sessions.
        sessions: Vec<SessionId>,
    },
    /// A leader takes over, possibly of a restored service: later tokens are above this one.
    Floor {
        /// The floor.
        token: Token,
    },
    /// Clients have not called the leader for long; their cached replies are dropped.
    ExpireClients {
        /// The clients.
        clients: Vec<ClientId>,
    },
}

/// The result of an operation that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Done {
    /// The session that was opened.
    Opened(SessionId),
    /// The lock is held under this token.
    Granted(Token),
    /// The session waits for the lock, behind this many others.
    Waiting(u32),
    /// The revision of the write.
    At(Revision),
    /// Carried out, without a result.
    Nothing,
    /// The results of a batch, in the order of its operations.
    All(Vec<Done>),
}

/// Why an operation was rejected. Nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refused {
    /// The session has ended, or never existed.
    NoSession,
    /// Another session holds the lock, under this token.
    Held(Token),
    /// The lock is held under this token, another one than the operation's; 0 if it is free.
    Fenced(Token),
    /// The key is at this revision, another one than expected; 0 if it is absent.
    Conflict(Revision),
    /// A bound is reached; retry after this many milliseconds.
    Busy(u32),
    /// This field is invalid.
    Bad(String),
    /// The reply to this number is no longer cached, so that it is unknown here whether the call took effect.
    Forgotten,
    /// All tokens are used up.
    Exhausted,
}

/// What an operation comes to.
pub type Outcome = Result<Done, Refused>;
