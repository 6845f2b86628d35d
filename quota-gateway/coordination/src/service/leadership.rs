//! Who leads, and the sessions' times, which only the leader keeps.

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

/// Pause between two steps of the leader: sessions end this late at most.
const STEP_INTERVAL: Duration = Duration::from_millis(25);
/// Tokens for each millisecond of the wall clock: more than are ever granted in one.
const TOKENS_PER_MS: Token = 1024;
/// A client that has not called for this long is forgotten, with the replies that are kept for it.
const CLIENT_TTL: Duration = Duration::from_secs(3600);
/// Clients that one command forgets.
const MAX_EXPIRED_CLIENTS: usize = 256;
/// A caller comes back after this time to a leader that has not taken over yet.
pub(super) const TAKEOVER_DELAY_MS: u32 = 50;

/// The sessions' times, and the term in which this process has taken over with everything that was committed before.
///
/// Nothing is answered without it. A leader that was killed and is back before another process has become a candidate goes on
/// in its old term, and the consensus takes it for confirmed before it has applied what it had acknowledged.
pub(super) struct Leadership {
    term: u64,
    pub(super) leases: Leases,
}

/// Receives whether this process leads.
pub(super) type Confirmation = oneshot::Sender<bool>;

/// Does the leader's regular work until the service is dropped.
pub(super) async fn run(service: Weak<Service>) {
    while let Some(service) = service.upgrade() {
        service.step().await;
        drop(service);
        sleep(STEP_INTERVAL).await;
    }
}

/// Shows that this process leads, once for all that wait; those that come meanwhile wait for the next time.
pub(super) async fn confirm_leadership(raft: Raft, mut requests: mpsc::Receiver<Confirmation>) {
    while let Some(first) = requests.recv().await {
        let mut waiting = vec![first];
        while let Ok(next) = requests.try_recv() {
            waiting.push(next);
        }
        let is_leader = raft.ensure_linearizable().await.is_ok();
        for confirmation in waiting {
            // Whoever asked may have gone.
            let _ = confirmation.send(is_leader);
        }
    }
}

impl Service {
    /// Whether this process has taken over in the term that it leads in now.
    pub(super) fn is_serving(&self) -> bool {
        let term = self.raft.metrics().borrow().current_term;
        let leadership = self.leadership.borrow();
        self.is_leader() && leadership.as_ref().is_some_and(|leadership| leadership.term == term)
    }

    fn is_leader(&self) -> bool {
        self.raft.metrics().borrow().state == ServerState::Leader
    }

    /// Whether this process still leads, shown by a majority after this call came, and has taken over.
    pub(super) async fn has_confirmed_leadership(&self) -> bool {
        let (confirmation, confirmed) = oneshot::channel();
        let is_requested = self.confirmations.send(confirmation).await.is_ok();
        is_requested && confirmed.await.unwrap_or(false) && self.is_serving()
    }

    /// The response of a process that does not serve.
    pub(super) fn not_serving(&self) -> Response {
        if self.is_leader() {
            return Response::Busy { after_ms: TAKEOVER_DELAY_MS };
        }
        self.not_leader()
    }

    /// The response that names the leader, where another process is known to lead.
    pub(super) fn not_leader(&self) -> Response {
        let metrics = self.raft.metrics().borrow().clone();
        let leader = metrics.current_leader.filter(|leader| *leader != metrics.id);
        let members = metrics.membership_config.membership().clone();
        let address_of = |leader| members.get_node(&leader).map(|node| node.addr.clone());
        Response::NotLeader { leader: leader.and_then(address_of) }
    }

    /// Takes over, ends sessions and forgets clients, as the leader.
    async fn step(&self) {
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
        self.forget_clients().await;
    }

    /// Has everything applied that was committed before; from then on tokens are above the present time, and every session has
    /// its full time again.
    async fn take_over(&self) {
        let term = self.raft.metrics().borrow().current_term;
        let token = (self.env.wall_ms)().saturating_mul(TOKENS_PER_MS);
        if self.raft.client_write(vec![Command::Floor { token }]).await.is_err() || !self.is_leader() {
            return;
        }
        let now = self.now();
        let sessions: Vec<(SessionId, Duration)> = self.machine.with(|state| {
            let ttl = |ms: u32| Duration::from_millis(ms.into());
            state.sessions().map(|(id, session)| (id, ttl(session.ttl_ms))).collect()
        });
        info!(term, sessions = sessions.len(), "leadership taken over");
        let leases = Leases::begin(now, sessions.into_iter());
        self.leadership.replace(Some(Leadership { term, leases }));
    }

    async fn end_expired_sessions(&self) {
        let expired = self.take_expired_sessions();
        if expired.is_empty() {
            return;
        }
        info!(sessions = expired.len(), "sessions expired");
        self.metrics.count_expired_sessions(expired.len());
        if self.raft.client_write(vec![Command::End { sessions: expired }]).await.is_err() {
            // Whoever leads next gives them their full time again.
            self.leadership.replace(None);
        }
    }

    /// The sessions whose time is over. From here on no renewal saves them, whatever becomes of the command.
    fn take_expired_sessions(&self) -> Vec<SessionId> {
        let now = self.now();
        let mut leadership = self.leadership.borrow_mut();
        let Some(Leadership { leases, .. }) = leadership.as_mut() else { return Vec::new() };
        self.machine.with(|state| {
            for (id, session) in state.sessions() {
                // It was opened since the last step; its time begins no earlier than it was.
                if !leases.knows(id) {
                    leases.opened(now, id, Duration::from_millis(session.ttl_ms.into()));
                }
            }
            leases.keep(|id| state.has_session(id));
        });
        let expired: Vec<SessionId> = leases.over(now).collect();
        expired.iter().for_each(|id| leases.give_up(*id));
        expired
    }

    async fn forget_clients(&self) {
        let gone: Vec<ClientId> = {
            let last_heard_at = self.last_heard_at.borrow();
            let is_gone = last_heard_at.iter().filter(|(_, at)| at.elapsed() > CLIENT_TTL);
            is_gone.map(|(id, _)| *id).take(MAX_EXPIRED_CLIENTS).collect()
        };
        if gone.is_empty() {
            return;
        }
        self.last_heard_at.borrow_mut().retain(|id, _| !gone.contains(id));
        // Where it fails, the next leader hears nothing of them either.
        drop(self.raft.client_write(vec![Command::ExpireClients { clients: gone }]).await);
    }
}
