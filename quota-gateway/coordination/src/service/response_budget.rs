//! Bounds the bytes of replies that wait to be written: a reply takes its room before it is made.

use super::MAX_PENDING_BYTES;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Bytes of replies that wait to be written, for one connection.
const MAX_PENDING_BYTES_PER_CONNECTION: usize = 8 << 20;
/// A reply waits for room for this long; then the request is answered as busy.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);

const _: () = assert!(MAX_PENDING_BYTES_PER_CONNECTION <= MAX_PENDING_BYTES);

/// The room for the replies of one connection.
pub(super) struct ResponseBudget {
    connection: Arc<Semaphore>,
    process: Arc<Semaphore>,
}

/// The room of one reply, until it is written.
pub(super) struct Reservation {
    _connection: OwnedSemaphorePermit,
    _process: OwnedSemaphorePermit,
}

impl ResponseBudget {
    /// Returns the budget of a new connection; `process` is what all connections share.
    pub(super) fn new(process: Arc<Semaphore>) -> ResponseBudget {
        ResponseBudget { connection: Arc::new(Semaphore::new(MAX_PENDING_BYTES_PER_CONNECTION)), process }
    }

    /// Reserves room for a reply of at most this many bytes; `None` where there is none in time: this connection's reader, or
    /// all readers together, take too little.
    pub(super) async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let permits = u32::try_from(bytes).ok()?;
        let both = async {
            // The connection's own first: one that waits for itself keeps nothing from the others.
            let connection = self.connection.clone().acquire_many_owned(permits).await.ok()?;
            let process = self.process.clone().acquire_many_owned(permits).await.ok()?;
            Some(Reservation { _connection: connection, _process: process })
        };
        timeout(RESERVE_TIMEOUT, both).await.ok().flatten()
    }
}
