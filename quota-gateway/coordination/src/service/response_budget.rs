//! Limits the size of the replies that wait to be written. The size of a reply is reserved before the reply
//! is made.

use super::MAX_PENDING_BYTES;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Maximum size of the replies that wait to be written on one connection, in bytes.
const MAX_PENDING_BYTES_PER_CONNECTION: usize = 8 << 20;
/// Time limit for a reservation; after it, the response to the request is
/// [`Response::Busy`](crate::wire::Response::Busy).
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);

const _: () = assert!(MAX_PENDING_BYTES_PER_CONNECTION <= MAX_PENDING_BYTES);

/// The response budget of one connection.
pub(super) struct ResponseBudget {
    connection: Arc<Semaphore>,
    process: Arc<Semaphore>,
}

/// The reserved size of one reply, released when the reply has been written.
pub(super) struct Reservation {
    _connection: OwnedSemaphorePermit,
    _process: OwnedSemaphorePermit,
}

impl ResponseBudget {
    /// Returns the budget of a new connection; `process` is the budget that all connections share.
    pub(super) fn new(process: Arc<Semaphore>) -> ResponseBudget {
        ResponseBudget { connection: Arc::new(Semaphore::new(MAX_PENDING_BYTES_PER_CONNECTION)), process }
    }

    /// Reserves the size of a reply of at most this many bytes. Returns `None` if the reservation times out,
    /// because the peer of this connection, or all peers together, read their replies too slowly.
    pub(super) async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let permits = u32::try_from(bytes).ok()?;
        let both = async {
            // The connection's budget is reserved first: a request that waits for it holds nothing of the
            // shared budget.
            let connection = self.connection.clone().acquire_many_owned(permits).await.ok()?;
            let process = self.process.clone().acquire_many_owned(permits).await.ok()?;
            Some(Reservation { _connection: connection, _process: process })
        };
        timeout(RESERVE_TIMEOUT, both).await.ok().flatten()
    }
}
