//! Connections: requests are read, and replies written, each with the number of its request.

use super::reads::MAX_WATCH_WAIT;
use super::response_budget::{Reservation, ResponseBudget};
use super::Service;
use crate::env::ConnectionHalves;
use crate::metrics::RejectionReason;
use crate::wire::{read, write, Broken, Message, Request, Response, IN_FLIGHT};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWrite, BufReader};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// A reader that takes nothing for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A reply, and the room that it takes until it is written.
pub(super) struct Reply {
    pub(super) response: Response,
    pub(super) reservation: Option<Reservation>,
}

impl From<Response> for Reply {
    /// A reply that is small enough to need no room.
    fn from(response: Response) -> Reply {
        Reply { response, reservation: None }
    }
}

/// A reply with the number of its request.
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
                    // One that cannot be set up is of no use to its caller either.
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

    /// Serves a connection, unless there are too many already.
    pub fn admit(self: &Rc<Self>, ends: ConnectionHalves) {
        let Ok(permit) = self.connections.clone().try_acquire_owned() else {
            self.metrics.count_rejection(RejectionReason::Connections);
            return;
        };
        let service = self.clone();
        spawn_local(async move {
            service.serve_connection(ends).await;
            drop(permit);
        });
    }

    async fn serve_connection(self: Rc<Self>, ends: ConnectionHalves) {
        let (replies, written) = mpsc::channel(IN_FLIGHT);
        let writer = spawn_local(write_replies(ends.write, self.cluster.clone(), written));
        let budget = Rc::new(ResponseBudget::new(self.pending_bytes.clone()));
        let mut requests = BufReader::new(ends.read);
        loop {
            let (number, request) = match read(&mut requests).await {
                Ok((cluster, Message::Request(number, request))) => {
                    if !self.is_addressed(cluster, &request) {
                        self.on_invalid_frame("of another cluster");
                        break;
                    }
                    (number, request)
                }
                Ok((_, Message::Response(..))) => {
                    self.on_invalid_frame("a response to nothing");
                    break;
                }
                Err(Broken::Strange(reason)) => {
                    self.on_invalid_frame(reason);
                    break;
                }
                Err(Broken::Ended(_)) => break,
            };
            // A peer that reads no replies is not read from either: the channel is full then.
            let Ok(permit) = replies.clone().reserve_owned().await else { break };
            let (service, budget) = (self.clone(), budget.clone());
            spawn_local(async move {
                let reply = service.handle_request(request, &budget).await;
                drop(permit.send(NumberedReply { number, reply }));
            });
        }
        drop(replies);
        // What was requested is still answered, as long as somebody reads it; nothing takes longer than a watch.
        drop(timeout(MAX_WATCH_WAIT, writer).await);
    }

    fn on_invalid_frame(&self, reason: &'static str) {
        self.dropped_frames.set(self.dropped_frames.get() + 1);
        warn!(reason, "connection closed after an invalid frame");
    }

    /// Whether a request is for this process. Before it belongs to a cluster it only tells its identity, and joins; afterwards
    /// it serves its own cluster alone.
    fn is_addressed(&self, cluster: u64, request: &Request) -> bool {
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
