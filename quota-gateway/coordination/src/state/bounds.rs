//! Limits of the state machine. They are part of its definition: replicas with different limits would
//! diverge.

use std::time::Duration;

/// Maximum number of open sessions.
pub const MAX_SESSIONS: usize = 20_000;
/// Maximum number of locks that have a holder.
pub const MAX_LOCKS: usize = 65_536;
/// Maximum number of sessions in the queue of one lock.
pub const MAX_WAITERS: usize = 1_024;
/// Maximum number of clients whose replies are cached.
pub const MAX_CLIENTS: usize = 100_000;
/// Maximum number of unacknowledged replies that are cached for one client.
pub const MAX_CACHED_REPLIES: usize = 1_024;
/// Maximum total size of all values and their keys, in bytes.
pub const MAX_TOTAL_VALUE_BYTES: usize = 64 << 20;
/// Maximum size of one value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 << 10;
/// Maximum length of a key, or of the name of a session or lock, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum number of operations in one batch.
pub const MAX_BATCH_OPS: usize = 64;
/// Maximum total size of the values in one batch, in bytes.
pub const MAX_BATCH_BYTES: usize = 1 << 20;
/// Maximum number of changes that are retained for watches.
pub const MAX_CHANGES: usize = 16_384;
/// Shortest time to live of a session.
pub const MIN_SESSION_TTL: Duration = Duration::from_millis(500);
/// Longest time to live of a session.
pub const MAX_SESSION_TTL: Duration = Duration::from_secs(300);
