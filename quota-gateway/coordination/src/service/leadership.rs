//! Leadership, and the leases of sessions, which only the leader keeps.

use super::Service;
use crate::lease::Leases;
use crate::raft::Raft;
use crate::state::{ClientId, Command, SessionId, Token};
use crate::wire::Response;
use openraft::ServerState;
use std::rc::Weak;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use tracing::info;

/// Interval between two runs of the leader's periodic work. Sessions end at most this late.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Number of tokens per millisecond of the wall clock; more than are ever granted in one millisecond.
const TOKENS_PER_MS: Token = 1024;
/// A client that has not called for this long expires, together with its cached replies.
const CLIENT_TTL: Duration = Duration::from_secs(3600);
/// Maximum number of clients that expire with one command.
const MAX_EXPIRED_CLIENTS: usize = 256;
/// Retry delay of a caller while a new leader has not taken over yet.
pub(super) const TAKEOVER_DELAY_MS: u32 = 50;

/// The leases of the sessions, and the term in which this process took over after applying all earlier
/// commits.
///
/// Clients are not served without it. A leader that is killed and restarts before another process becomes a
/// candidate continues in its old term, and the consensus reports it as confirmed before it has applied the
/// entries that it had acknowledged.
pub(super) struct Leadership {
    term: u64,
    pub(super) leases: Leases,
}

/// Where the result of a confirmation is sent: whether this process leads.
pub(super) type Confirmation = oneshot::Sender<bool>;

/// Runs the leader's periodic work until the service is dropped.
pub(super) async fn run(service: Weak<Service>) {
    while let Some(service) = service.upgrade() {
        service.tick().await;
        drop(service);
        sleep(TICK_INTERVAL).await;
    }
}

/// Confirms with a majority that this process leads. One round answers all requests that are queued when it
/// starts; requests that arrive during a round wait for the next one.
pub(super) async fn confirm_leadership(raft: Raft, mut requests: mpsc::Receiver<Confirmation>) {
    while let Some(first) = requests.recv().await {
        let mut waiting = vec![first];
        while let Ok(next) = requests.try_recv() {
            waiting.push(next);
        }
        let is_leader = raft.ensure_linearizable().await.is_ok();
        for confirmation in waiting {
            // The caller may have given up.
            let _ = confirmation.send(is_leader);
        }
    }
}

impl Service {
    /// Returns whether this process leads and has taken over in the current term.
    pub(super) fn is_serving(&self) -> bool {
        let term = self.raft.metrics().borrow().current_term;
        let leadership = self.leadership.borrow();
        self.is_leader() && leadership.as_ref().is_some_and(|leadership| leadership.term == term)
    }

    fn is_leader(&self) -> bool {
        self.raft.metrics().borrow().state == ServerState::Leader
    }

    /// Returns whether this process has taken over and a majority has confirmed, after this call, that it
    /// still leads.
    pub(super) async fn has_confirmed_leadership(&self) -> bool {
        let (confirmation, confirmed) = oneshot::channel();
        let is_requested = self.confirmations.send(confirmation).await.is_ok();
        is_requested && confirmed.await.unwrap_or(false) && self.is_serving()
    }

    /// Returns the response to a request that only a leader that has taken over can serve.
    pub(super) fn not_serving(&self) -> Response {
        if self.is_leader() {
            return Response::Busy { after_ms: TAKEOVER_DELAY_MS };
        }
        self.not_leader()
    }

    /// Returns the response that redirects to the leader, with its address if another process is known to
    /// lead.
    pub(super) fn not_leader(&self) -> Response {
        let metrics = self.raft.metrics().borrow().clone();
        let leader = metrics.current_leader.filter(|leader| *leader != metrics.id);
        let members = metrics.membership_config.membership().clone();
        let address_of = |leader| members.get_node(&leader).map(|node| node.addr.clone());
        Response::NotLeader { leader: leader.and_then(address_of) }
    }

    /// As the leader, takes over once, and then ends expired sessions and drops expired clients.
    async fn tick(&self) {
        if !self.is_leader() {
            if self.leadership.replace(None).is_some() {
                info!("leadership lost");
            }
            return;
        }
        if !self.is_serving() {
            self.leadership.replace(None);
            self.take_over().await;
            return;
        }
        self.end_expired_sessions().await;
        self.expire_clients().await;
    }

    /// Takes over as the leader by committing a token floor that is derived from the wall clock. When the
    /// command is applied, all earlier commits are applied as well. From then on, granted tokens are above
    /// the floor, and every session has its full time to live again.
    async fn take_over(&self) {
        let term = self.raft.metrics().borrow().current_term;
        let token = (self.env.wall_ms)().saturating_mul(TOKENS_PER_MS);
        if self.raft.client_write(vec![Command::RaiseTokenFloor { token }]).await.is_err()
            || !self.is_leader()
        {
            return;
        }
        let now = self.now();
        let sessions: Vec<(SessionId, Duration)> = self.machine.with(|state| {
            let ttl = |ms: u32| Duration::from_millis(ms.into());
            state.sessions().map(|(id, session)| (id, ttl(session.ttl_ms))).collect()
        });
        info!(term, sessions = sessions.len(), "leadership taken over");
        let leases = Leases::with_full_ttl(now, sessions.into_iter());
        self.leadership.replace(Some(Leadership { term, leases }));
    }

    async fn end_expired_sessions(&self) {
        let expired = self.take_expired_sessions();
        if expired.is_empty() {
            return;
        }
        info!(sessions = expired.len(), "sessions expired");
        self.metrics.count_expired_sessions(expired.len());
        if self.raft.client_write(vec![Command::ExpireSessions { sessions: expired }]).await.is_err() {
            // The next leader gives these sessions their full time to live again.
            self.leadership.replace(None);
        }
    }

    /// Returns the sessions that have expired. They can no longer be renewed, even if the command that ends
    /// them fails.
    fn take_expired_sessions(&self) -> Vec<SessionId> {
        let now = self.now();
        let mut leadership = self.leadership.borrow_mut();
        let Some(Leadership { leases, .. }) = leadership.as_mut() else { return Vec::new() };
        self.machine.with(|state| {
            for (id, session) in state.sessions() {
                // The session was opened since the last tick. Its lease starts now, so never before it was
                // opened.
                if !leases.contains(id) {
                    leases.insert(now, id, Duration::from_millis(session.ttl_ms.into()));
                }
            }
            leases.retain(|id| state.has_session(id));
        });
        let expired: Vec<SessionId> = leases.expired(now).collect();
        expired.iter().for_each(|id| leases.mark_ending(*id));
        expired
    }

    async fn expire_clients(&self) {
        let expired: Vec<ClientId> = {
            let last_call_at = self.last_call_at.borrow();
            let idle = last_call_at.iter().filter(|(_, at)| at.elapsed() > CLIENT_TTL);
            idle.map(|(id, _)| *id).take(MAX_EXPIRED_CLIENTS).collect()
        };
        if expired.is_empty() {
            return;
        }
        self.last_call_at.borrow_mut().retain(|id, _| !expired.contains(id));
        // If the write fails, these clients stay registered: the next leader does not track them either until
        // they call.
        drop(self.raft.client_write(vec![Command::ExpireClients { clients: expired }]).await);
    }
}
