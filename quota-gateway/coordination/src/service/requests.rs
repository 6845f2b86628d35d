//! Dispatches requests.

use super::connections::Reply;
use super::reads::{MAX_CHANGES_BYTES, MAX_VALUES_BYTES};
use super::response_budget::ResponseBudget;
use super::{Service, SNAPSHOT_CHUNK_BYTES};
use crate::metrics::RejectionReason;
use crate::state::{bounds, SessionId};
use crate::wire::{Request, Response};
use std::future::Future;
use std::time::Duration;

/// Retry delay of a caller when too many calls are in progress.
const TOO_MANY_CALLS_DELAY_MS: u32 = 200;
/// Retry delay of a caller when the response budget is exhausted.
const BUDGET_EXHAUSTED_DELAY_MS: u32 = 500;
/// Largest reply to a watch: the last change may exceed the limit by its own size.
const MAX_CHANGES_REPLY_BYTES: usize = MAX_CHANGES_BYTES + bounds::MAX_VALUE_BYTES;

impl Service {
    /// Handles a request.
    pub(super) async fn handle_request(&self, request: Request, budget: &ResponseBudget) -> Reply {
        self.metrics.count_request(&request);
        // Raft calls need no limit here, because each process sends one at a time.
        let request = match request {
            Request::Append(rpc) => return Response::Append(self.raft.append_entries(rpc).await).into(),
            Request::Vote(rpc) => return Response::Vote(self.raft.vote(rpc).await).into(),
            Request::Install(rpc) => return Response::Install(self.raft.install_snapshot(rpc).await).into(),
            request => request,
        };
        let Ok(_permit) = self.calls.try_acquire() else {
            self.metrics.count_rejection(RejectionReason::Calls);
            return Response::Busy { after_ms: TOO_MANY_CALLS_DELAY_MS }.into();
        };
        self.handle_call(request, budget).await
    }

    async fn handle_call(&self, request: Request, budget: &ResponseBudget) -> Reply {
        match request {
            Request::Identity => {
                Response::Identity { node: self.log.identity().node, cluster: self.cluster.get() }.into()
            }
            Request::Join { cluster } => self.join(cluster).await.into(),
            Request::Begin { members } => self.begin(members).await.into(),
            Request::Add { node, addr } => self.add(node, addr).await.into(),
            Request::Remove { node } => self.remove(node).await.into(),
            Request::Call { client, number, acknowledged, op } => {
                self.call(client, number, acknowledged, op).await.into()
            }
            Request::Renew { sessions } => self.renew(sessions).await.into(),
            Request::Read { prefix, stale } => {
                self.with_reservation(budget, MAX_VALUES_BYTES, || self.read(&prefix, stale)).await
            }
            Request::Watch { prefix, since, wait_ms } => {
                let wait = Duration::from_millis(wait_ms.into());
                if let Some(response) = self.await_changes(&prefix, since, wait).await {
                    return response.into();
                }
                let changes = || async { self.changes(&prefix, since) };
                self.with_reservation(budget, MAX_CHANGES_REPLY_BYTES, changes).await
            }
            Request::Status => Response::Status(self.status()).into(),
            Request::Locks => {
                self.with_reservation(budget, MAX_VALUES_BYTES, || async { self.list_locks() }).await
            }
            Request::Sessions => {
                self.with_reservation(budget, MAX_VALUES_BYTES, || async { self.list_sessions() }).await
            }
            Request::Snapshot { from } => {
                self.with_reservation(budget, SNAPSHOT_CHUNK_BYTES, || self.snapshot_chunk(from)).await
            }
            // `handle_request` has handled these.
            Request::Append(_) | Request::Vote(_) | Request::Install(_) => {
                Response::Rejected("answered above".into()).into()
            }
        }
    }

    /// Makes a response of at most this many bytes, once they are reserved in the response budget.
    async fn with_reservation<F: Future<Output = Response>>(
        &self,
        budget: &ResponseBudget,
        bytes: usize,
        respond: impl FnOnce() -> F,
    ) -> Reply {
        match budget.reserve(bytes).await {
            Some(reservation) => Reply { response: respond().await, reservation: Some(reservation) },
            None => {
                self.metrics.count_rejection(RejectionReason::Bytes);
                Response::Busy { after_ms: BUDGET_EXHAUSTED_DELAY_MS }.into()
            }
        }
    }

    /// Renews sessions. Renewals are not written to the log. A majority must confirm the leader after the
    /// call was received: any later leader then starts after the renewal and gives every session its full
    /// time to live.
    async fn renew(&self, sessions: Vec<SessionId>) -> Response {
        let received_at = self.now();
        if !self.has_confirmed_leadership().await {
            return self.not_serving();
        }
        let mut leadership = self.leadership.borrow_mut();
        match leadership.as_mut() {
            Some(leadership) => {
                let leases = &mut leadership.leases;
                let live = sessions.into_iter().filter(|id| leases.renew(received_at, *id)).collect();
                Response::Renewed(live)
            }
            None => Response::Busy { after_ms: super::leadership::TAKEOVER_DELAY_MS },
        }
    }
}
