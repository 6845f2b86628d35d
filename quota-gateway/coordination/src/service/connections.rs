//! Connections: reads requests and writes replies. Each reply carries the number of its request.

use super::reads::MAX_WATCH_WAIT;
use super::response_budget::{Reservation, ResponseBudget};
use super::Service;
use crate::env::ConnectionHalves;
use crate::metrics::RejectionReason;
use crate::wire::{read, write, Message, ReadError, Request, Response, MAX_IN_FLIGHT_REQUESTS};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWrite, BufReader};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Time limit for writing one reply; a peer that does not read it within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after accepting a connection has failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A reply, and the part of the response budget that it holds until it is written.
pub(super) struct Reply {
    pub(super) response: Response,
    pub(super) reservation: Option<Reservation>,
}

impl From<Response> for Reply {
    /// Makes a reply that is small enough to need no reservation.
    fn from(response: Response) -> Reply {
        Reply { response, reservation: None }
    }
}

/// A reply and the number of its request.
struct NumberedReply {
    number: u64,
    reply: Reply,
}

impl Service {
    /// Accepts connections until dropped.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // A connection that cannot be set up is dropped: it is of no use to the caller either.
                    if stream.set_nodelay(true).is_ok() {
                        self.admit(stream.into());
                    }
                }
                Err(error) => {
                    warn!(%error, "connection not accepted");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Serves a connection, or drops it if there are too many already.
    pub fn admit(self: &Rc<Self>, connection: ConnectionHalves) {
        let Ok(permit) = self.connections.clone().try_acquire_owned() else {
            self.metrics.count_rejection(RejectionReason::Connections);
            return;
        };
        let service = self.clone();
        spawn_local(async move {
            service.serve_connection(connection).await;
            drop(permit);
        });
    }

    async fn serve_connection(self: Rc<Self>, connection: ConnectionHalves) {
        let (replies, queued_replies) = mpsc::channel(MAX_IN_FLIGHT_REQUESTS);
        let writer = spawn_local(write_replies(connection.write, self.cluster.clone(), queued_replies));
        let budget = Rc::new(ResponseBudget::new(self.pending_bytes.clone()));
        let mut requests = BufReader::new(connection.read);
        loop {
            let (number, request) = match read(&mut requests).await {
                Ok((cluster, Message::Request(number, request))) => {
                    if !self.is_for_this_process(cluster, &request) {
                        self.on_invalid_frame("request for another cluster");
                        break;
                    }
                    (number, request)
                }
                Ok((_, Message::Response(..))) => {
                    self.on_invalid_frame("response without a request");
                    break;
                }
                Err(ReadError::Invalid(reason)) => {
                    self.on_invalid_frame(reason);
                    break;
                }
                Err(ReadError::Closed(_)) => break,
            };
            // While a peer does not read its replies, the channel is full, and no further requests of the peer
            // are read.
            let Ok(permit) = replies.clone().reserve_owned().await else { break };
            let (service, budget) = (self.clone(), budget.clone());
            spawn_local(async move {
                let reply = service.handle_request(request, &budget).await;
                drop(permit.send(NumberedReply { number, reply }));
            });
        }
        drop(replies);
        // Replies to requests that were already read are still sent as long as the peer reads them. No request
        // takes longer than a watch.
        drop(timeout(MAX_WATCH_WAIT, writer).await);
    }

    fn on_invalid_frame(&self, reason: &'static str) {
        self.dropped_frames.set(self.dropped_frames.get() + 1);
        warn!(reason, "connection closed after an invalid frame");
    }

    /// Returns whether this process serves a request. Requests for its identity and its status, and requests
    /// to join a cluster, are always served. All others are served only if this process belongs to a cluster
    /// and the frame names that cluster.
    fn is_for_this_process(&self, cluster: u64, request: &Request) -> bool {
        let own = self.cluster.get();
        match request {
            Request::Identity | Request::Join { .. } | Request::Status => true,
            _ => own != 0 && cluster == own,
        }
    }
}

async fn write_replies(
    mut stream: Box<dyn AsyncWrite + Unpin>,
    cluster: Rc<Cell<u64>>,
    mut replies: mpsc::Receiver<NumberedReply>,
) {
    while let Some(NumberedReply { number, reply }) = replies.recv().await {
        let message = Message::Response(number, reply.response);
        let written = timeout(WRITE_TIMEOUT, write(&mut stream, cluster.get(), &message)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
        drop(reply.reservation);
    }
}
