//! The connection to the leader, and calls that are retried until there is a reply.
//!
//! Addresses are tried in turn, the address of the leader is kept, backoffs are jittered, and every call has
//! a deadline.

use super::error::CallError;
use super::Client;
use crate::env::with_rng;
use crate::peers::translated;
use crate::state::OperationError;
use crate::wire::{Channel, Request, Response};
use rand::Rng;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// The first and the longest backoff between attempts. Each is jittered by up to 50% in both directions.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(20);
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(500);
/// Delay before a call is sent to the leader that another process has named.
const REDIRECT_DELAY: Duration = Duration::from_millis(1);

/// A connection to a process of the service.
#[derive(Clone)]
pub(super) struct Connection {
    channel: Channel,
    /// The cluster that the process belongs to.
    cluster: u64,
}

/// A reply, and the cluster of the process that sent it.
pub(super) struct Reply {
    pub(super) response: Response,
    pub(super) cluster: u64,
}

/// The result of an attempt.
enum Attempt {
    Finished(Box<Result<Reply, CallError>>),
    /// Retry after the delay that the process has requested, or else after the backoff.
    Retry {
        after: Option<Duration>,
    },
}

impl Client {
    /// Returns the current connection, or connects: to the leader if it is known, else to the next address.
    async fn connect(&self) -> io::Result<Connection> {
        let _guard = self.0.connecting.lock().await;
        if let Some(connection) = self.0.connection.borrow().clone() {
            return Ok(connection);
        }
        let address = self.next_address().ok_or_else(|| io::Error::other("no address is known"))?;
        // Frames carry the cluster, which is unknown until the process has reported it.
        let identity_channel = Channel::connect_in(&self.0.env, &address, 0).await?;
        let cluster = match identity_channel.call(Request::Identity).await? {
            Response::Identity { cluster, .. } if cluster != 0 => cluster,
            _ => return Err(io::Error::other("the process belongs to no cluster yet")),
        };
        let channel = Channel::connect_in(&self.0.env, &address, cluster).await?;
        let connection = Connection { channel, cluster };
        self.0.connection.replace(Some(connection.clone()));
        Ok(connection)
    }

    fn next_address(&self) -> Option<String> {
        self.0.leader.borrow_mut().take().or_else(|| {
            let next = self.0.next_address.get();
            self.0.next_address.set(next.wrapping_add(1));
            self.0.addresses.get(next % self.0.addresses.len().max(1)).cloned()
        })
    }

    fn disconnect(&self) {
        self.0.connection.replace(None);
    }

    /// Calls the leader, with retries, until there is a reply or the deadline has passed. `request` makes the
    /// request for the cluster that it is sent to, or returns an error if it must not be sent to that
    /// cluster.
    pub(super) async fn call_leader(
        &self,
        request: impl Fn(u64) -> Result<Request, OperationError>,
        attempt_timeout: Duration,
        deadline: Instant,
    ) -> Result<Reply, CallError> {
        let mut backoff = MIN_RETRY_BACKOFF;
        loop {
            let jittered_backoff = jittered(backoff);
            let attempt_deadline = (Instant::now() + attempt_timeout).min(deadline);
            let delay = match self.attempt(&request, attempt_deadline).await {
                Attempt::Finished(result) => return *result,
                Attempt::Retry { after } => after.unwrap_or(jittered_backoff),
            };
            backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
            if Instant::now() + delay >= deadline {
                return Err(CallError::TimedOut);
            }
            sleep(delay).await;
        }
    }

    async fn attempt(
        &self,
        request: &impl Fn(u64) -> Result<Request, OperationError>,
        deadline: Instant,
    ) -> Attempt {
        let call = async {
            let connection = self.connect().await?;
            let request = match request(connection.cluster) {
                Ok(request) => request,
                Err(error) => return Ok(Err(error)),
            };
            let response = connection.channel.call(request).await?;
            io::Result::Ok(Ok(Reply { response, cluster: connection.cluster }))
        };
        match timeout_at(deadline, call).await {
            Ok(Ok(Ok(reply))) => self.handle_reply(reply),
            Ok(Ok(Err(error))) => Attempt::Finished(Box::new(Err(CallError::Refused(error)))),
            Ok(Err(_)) | Err(_) => {
                self.disconnect();
                Attempt::Retry { after: None }
            }
        }
    }

    fn handle_reply(&self, reply: Reply) -> Attempt {
        match reply.response {
            Response::NotLeader { leader } => {
                let after = leader.is_some().then_some(REDIRECT_DELAY);
                self.0.leader.replace(leader.map(|address| translated(&address, self.0.translator)));
                self.disconnect();
                Attempt::Retry { after }
            }
            Response::Busy { after_ms } => {
                Attempt::Retry { after: Some(jittered(Duration::from_millis(after_ms.into()))) }
            }
            Response::Rejected(reason) => Attempt::Finished(Box::new(Err(CallError::Rejected(reason)))),
            // The request may have taken effect. A retry with the same number returns its outcome.
            Response::Unknown(_) => {
                self.disconnect();
                Attempt::Retry { after: None }
            }
            response => Attempt::Finished(Box::new(Ok(Reply { response, cluster: reply.cluster }))),
        }
    }
}

fn jittered(backoff: Duration) -> Duration {
    backoff.mul_f64(with_rng(|rng| rng.random_range(0.5..1.5)))
}
