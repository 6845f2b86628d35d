//! The bounds of the state machine. All of them are part of it: replicas with other bounds would diverge.

use std::time::Duration;

/// Sessions that are open at once.
pub const MAX_SESSIONS: usize = 20_000;
/// Locks that have a holder at once.
pub const MAX_LOCKS: usize = 65_536;
/// Sessions in the queue of one lock.
pub const MAX_WAITERS: usize = 1_024;
/// Clients whose replies are cached.
pub const MAX_CLIENTS: usize = 100_000;
/// Replies that are cached for a client which has not acknowledged them.
pub const MAX_CACHED_REPLIES: usize = 1_024;
/// Bytes of all values with their keys.
pub const MAX_TOTAL_VALUE_BYTES: usize = 64 << 20;
/// Bytes of one value.
pub const MAX_VALUE_BYTES: usize = 64 << 10;
/// Bytes of a key, or of the name of a session or lock.
pub const MAX_NAME_BYTES: usize = 256;
/// Operations of one batch.
pub const MAX_BATCH_OPS: usize = 64;
/// Bytes of all values of one batch.
pub const MAX_BATCH_BYTES: usize = 1 << 20;
/// Changes that are retained for watches.
pub const MAX_CHANGES: usize = 16_384;
/// The shortest time to live that a session may have.
pub const MIN_SESSION_TTL: Duration = Duration::from_millis(500);
/// The longest time to live that a session may have.
pub const MAX_SESSION_TTL: Duration = Duration::from_secs(300);
