//! One process of the service: the consensus, who leads, sessions' times, and calls that come over connections.

use crate::env::{Clock, Ends, Env};
use crate::lease::{Instant as LeaseInstant, Leases};
use crate::metrics::{Metrics, Why};
use crate::peers::Peers;
use crate::raft::{Machine, NodeId, Raft};
use crate::state::{bounds, ClientId, Command, Op, Outcome, Refused, SessionId, Token};
use crate::storage::LogStore;
use crate::wire::{
    read, write, Broken, LockStatus, Message, Request, Response, SessionStatus, Status, IN_FLIGHT,
    MAX_PAYLOAD_BYTES,
};
use openraft::error::{ChangeMembershipError, ClientWriteError, RaftError};
use openraft::{BasicNode, ChangeMembers, Config, RaftMetrics, ServerState, SnapshotPolicy};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};
use tracing::{info, warn};

/// The leader looks for sessions that are over this often.
const LOOK_EVERY: Duration = Duration::from_millis(25);
/// A new member has the log within this time, or its addition is asked for again.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest that a watch waits.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);
/// A part of a snapshot that is handed out at once.
const SNAPSHOT_CHUNK_BYTES: usize = 1 << 20;
/// Bytes of answers that wait to be read, for one connection and for all together ...
const MAX_PENDING_BYTES_PER_CONNECTION: usize = 8 << 20;
const MAX_PENDING_BYTES: usize = 64 << 20;
/// ... and how long an answer waits for room; then it is `busy`.
const PENDING_BYTES_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of values in one answer, and of changes.
const VALUES: usize = MAX_PAYLOAD_BYTES / 2;
const MAX_CHANGES_BYTES: usize = 1 << 20;
/// A reader that takes nothing for so long is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How many tokens a millisecond of the wall clock stands for: more than are ever given in one.
const TOKENS_PER_MS: Token = 1024;

/// How a process is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the other members are called, with their own ports, if there is a translator between.
    pub peers_at: Option<IpAddr>,
    /// Heartbeats of the leader.
    pub heartbeat: Duration,
    /// Without a heartbeat for this long, and up to twice as long by chance, another process asks to lead.
    pub election: Duration,
    /// Entries after which a snapshot is made.
    pub snapshot_every: u64,
    /// Connections, and calls without an answer, at once.
    pub connections: usize,
    pub calls: usize,
}

pub struct Service {
    env: Env,
    settings: Settings,
    pub raft: Raft,
    machine: Machine,
    log: LogStore,
    cluster: Rc<Cell<u64>>,
    clock: Clock,
    /// Sessions' times, and the term in which this process has taken up the lead with all that was agreed on before.
    ///
    /// Nothing is answered without it. A leader that was killed and is back before anybody else has asked to lead goes on in its
    /// old term, and the consensus then holds it for confirmed before it has applied what it had acknowledged.
    leases: RefCell<Option<(u64, Leases)>>,
    confirms: mpsc::Sender<oneshot::Sender<bool>>,
    proposals: mpsc::Sender<Proposal>,
    calls: Semaphore,
    connections: Arc<Semaphore>,
    room: Arc<Semaphore>,
    dropped: Cell<u64>,
    pub metrics: Metrics,
    snapshot: RefCell<Vec<u8>>,
    /// When a client was last heard of, for forgetting those that are long gone.
    heard: RefCell<BTreeMap<ClientId, Instant>>,
}

/// A client that has not called for so long is forgotten, with the answers kept for it.
const CLIENT_TTL: Duration = Duration::from_secs(3600);

/// Where a connection's answers wait.
struct ResponseBudget {
    one: Arc<Semaphore>,
    all: Arc<Semaphore>,
}

/// Held until the answer is written.
type Taken = (OwnedSemaphorePermit, OwnedSemaphorePermit);

impl ResponseBudget {
    /// Room for an answer of so many bytes at the most, before it is made; none in time: its reader takes too little, or all
    /// together do.
    async fn take(&self, bytes: usize) -> Option<Taken> {
        let permits = u32::try_from(bytes).ok()?;
        let both = async {
            // The connection's own first: one that waits for itself keeps nothing from the others.
            let one = self.one.clone().acquire_many_owned(permits).await.ok()?;
            Some((one, self.all.clone().acquire_many_owned(permits).await.ok()?))
        };
        timeout(PENDING_BYTES_TIMEOUT, both).await.ok().flatten()
    }
}

/// An answer, and the room that it takes until it is written.
type Placed = (Response, Option<Taken>);

fn small(response: Response) -> Placed {
    (response, None)
}

impl Service {
    /// Starts the consensus on a store; the error is one line.
    pub async fn start(env: Env, settings: Settings, log: LogStore) -> Result<Rc<Service>, String> {
        let machine = Machine::open(log.clone())?;
        let identity = log.identity();
        let cluster = Rc::new(Cell::new(identity.cluster));
        let ms = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let config = Config {
            cluster_name: "coordination".to_owned(),
            heartbeat_interval: ms(settings.heartbeat),
            election_timeout_min: ms(settings.election),
            election_timeout_max: ms(settings.election * 2),
            install_snapshot_timeout: 5000,
            // Three of the largest entries fit a frame.
            max_payload_entries: 3,
            replication_lag_threshold: settings.snapshot_every * 2,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(settings.snapshot_every),
            snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES as u64,
            max_in_snapshot_log_to_keep: settings.snapshot_every,
            ..Config::default()
        };
        let config = config.validate().map_err(|e| e.to_string())?;
        let peers = Peers { env: env.clone(), cluster: cluster.clone(), at: settings.peers_at };
        let raft = Raft::new(identity.node, Arc::new(config), peers, log.clone(), machine.clone()).await;
        let raft = raft.map_err(|e| e.to_string())?;
        let (confirms, confirming) = mpsc::channel(IN_FLIGHT);
        let (proposals, proposed) = mpsc::channel(IN_FLIGHT);
        let service = Rc::new(Service {
            clock: env.clock(),
            env,
            calls: Semaphore::new(settings.calls),
            room: Arc::new(Semaphore::new(MAX_PENDING_BYTES)),
            metrics: Metrics::new(log.sync_times()),
            connections: Arc::new(Semaphore::new(settings.connections)),
            settings,
            raft,
            machine,
            log,
            cluster,
            leases: RefCell::new(None),
            confirms,
            proposals,
            dropped: Cell::new(0),
            snapshot: RefCell::default(),
            heard: RefCell::default(),
        });
        spawn_local(confirm(service.raft.clone(), confirming));
        spawn_local(propose(service.raft.clone(), proposed));
        let leading = Rc::downgrade(&service);
        spawn_local(async move {
            // It ends with the service.
            while let Some(service) = leading.upgrade() {
                service.look().await;
                drop(service);
                sleep(LOOK_EVERY).await;
            }
        });
        Ok(service)
    }

    fn now(&self) -> LeaseInstant {
        self.clock.now()
    }

    /// Whether this process has taken up the lead in the term that it leads in now.
    fn serves(&self) -> bool {
        let term = self.raft.metrics().borrow().current_term;
        self.leads() && self.leases.borrow().as_ref().is_some_and(|(of, _)| *of == term)
    }

    /// The answer of a process that does not serve.
    fn elsewhere(&self) -> Response {
        if self.leads() {
            Response::Busy { after_ms: 50 }
        } else {
            self.not_leader()
        }
    }

    fn leads(&self) -> bool {
        self.raft.metrics().borrow().state == ServerState::Leader
    }

    /// Whether the consensus has ended for good, as the store failed.
    pub fn failed(&self) -> Option<String> {
        self.raft.metrics().borrow().running_state.as_ref().err().map(ToString::to_string)
    }

    /// The leader's regular look: it takes up its office, ends sessions, and forgets clients.
    async fn look(&self) {
        if !self.leads() {
            if self.leases.replace(None).is_some() {
                info!("no longer leads");
            }
            return;
        }
        if !self.serves() {
            self.leases.replace(None);
            self.begin_to_lead().await;
            return;
        }
        let now = self.now();
        let over: Vec<SessionId> = {
            let mut leases = self.leases.borrow_mut();
            let Some((_, leases)) = leases.as_mut() else { return };
            // Sessions that were opened since; their time begins no earlier than they were.
            self.machine.with(|state| {
                for (id, session) in state.sessions() {
                    if !leases.knows(id) {
                        leases.opened(now, id, Duration::from_millis(session.ttl_ms.into()));
                    }
                }
                leases.keep(|id| state.has_session(id));
            });
            let over: Vec<SessionId> = leases.over(now).collect();
            // From here on no renewal saves them, whatever becomes of the command.
            over.iter().for_each(|id| leases.give_up(*id));
            over
        };
        if !over.is_empty() {
            info!(sessions = over.len(), "{} sessions are over", over.len());
            self.metrics.ended(over.len());
            if self.raft.client_write(vec![Command::End { sessions: over }]).await.is_err() {
                // Whoever leads next gives them their full time again.
                self.leases.replace(None);
            }
        }
        let gone: Vec<ClientId> = {
            let heard = self.heard.borrow();
            heard.iter().filter(|(_, at)| at.elapsed() > CLIENT_TTL).map(|(id, _)| *id).take(256).collect()
        };
        if !gone.is_empty() {
            self.heard.borrow_mut().retain(|id, _| !gone.contains(id));
            drop(self.raft.client_write(vec![Command::ExpireClients { clients: gone }]).await);
        }
    }

    /// All that was agreed on before is applied first; then tokens go on above the present time, and every session has its full
    /// time again.
    async fn begin_to_lead(&self) {
        let term = self.raft.metrics().borrow().current_term;
        let token = (self.env.wall_ms)().saturating_mul(TOKENS_PER_MS);
        if self.raft.client_write(vec![Command::Floor { token }]).await.is_err() || !self.leads() {
            return;
        }
        let now = self.now();
        let sessions = self.machine.with(|state| {
            let ttl = |ms: u32| Duration::from_millis(ms.into());
            state.sessions().map(|(id, session)| (id, ttl(session.ttl_ms))).collect::<Vec<_>>()
        });
        info!(sessions = sessions.len(), "leads, with {} sessions", sessions.len());
        self.leases.replace(Some((term, Leases::begin(now, sessions.into_iter()))));
    }

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
                Err(e) => {
                    warn!(error = %e, "accept: {e}");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// A connection has come up; one too many is closed.
    pub fn admit(self: &Rc<Self>, ends: Ends) {
        let Ok(place) = self.connections.clone().try_acquire_owned() else {
            self.metrics.refused(Why::Connections);
            return;
        };
        let service = self.clone();
        spawn_local(async move {
            service.converse(ends).await;
            drop(place);
        });
    }

    async fn converse(self: Rc<Self>, ends: Ends) {
        let (mut from, mut write_half) = (BufReader::new(ends.read), ends.write);
        let (answers, mut answered) = mpsc::channel::<(u64, Placed)>(IN_FLIGHT);
        let cluster = self.cluster.clone();
        let writer = spawn_local(async move {
            while let Some((number, (response, taken))) = answered.recv().await {
                let message = Message::Response(number, response);
                let written = timeout(WRITE_TIMEOUT, write(&mut write_half, cluster.get(), &message)).await;
                if !matches!(written, Ok(Ok(()))) {
                    return;
                }
                drop(taken);
            }
        });
        let room = Rc::new(ResponseBudget {
            one: Arc::new(Semaphore::new(MAX_PENDING_BYTES_PER_CONNECTION)),
            all: self.room.clone(),
        });
        loop {
            match read(&mut from).await {
                Ok((cluster, Message::Request(number, request))) => {
                    if !self.admits(cluster, &request) {
                        self.drops("of another cluster");
                        break;
                    }
                    // A reader that takes no answers is not read from either: the answers' queue is full then.
                    let Ok(place) = answers.clone().reserve_owned().await else { break };
                    let (service, room) = (self.clone(), room.clone());
                    spawn_local(
                        async move { drop(place.send((number, service.answer(request, &room).await))) },
                    );
                }
                Ok((_, Message::Response(..))) => {
                    self.drops("an answer to nothing");
                    break;
                }
                Err(Broken::Strange(why)) => {
                    self.drops(why);
                    break;
                }
                Err(Broken::Ended(_)) => break,
            }
        }
        drop(answers);
        // What is asked already is answered, as long as somebody reads it.
        drop(timeout(MAX_WATCH_TIME, writer).await);
    }

    fn drops(&self, why: &'static str) {
        self.dropped.set(self.dropped.get() + 1);
        warn!(why, "a connection is closed: {why}");
    }

    /// Before a process is of a cluster it only says who it is, and joins; afterwards it hears its own alone.
    fn admits(&self, cluster: u64, request: &Request) -> bool {
        let own = self.cluster.get();
        match request {
            Request::Identity | Request::Join { .. } | Request::Status => true,
            _ => own != 0 && cluster == own,
        }
    }

    /// Whether this process still leads, shown by a majority after this call came, and has taken up the lead.
    async fn confirmed(&self) -> bool {
        let (confirmed, waits) = oneshot::channel();
        self.confirms.send(confirmed).await.is_ok() && waits.await.unwrap_or(false) && self.serves()
    }

    fn not_leader(&self) -> Response {
        let metrics = self.raft.metrics().borrow().clone();
        let leader = metrics.current_leader.filter(|leader| *leader != metrics.id);
        let members = metrics.membership_config.membership().clone();
        Response::NotLeader {
            leader: leader.and_then(|leader| members.get_node(&leader).map(|node| node.addr.clone())),
        }
    }

    async fn answer(self: &Rc<Self>, request: Request, room: &ResponseBudget) -> Placed {
        self.metrics.count_request(&request);
        match request {
            // The consensus bounds its own calls: one for each process at a time.
            Request::Append(rpc) => return small(Response::Append(self.raft.append_entries(rpc).await)),
            Request::Vote(rpc) => return small(Response::Vote(self.raft.vote(rpc).await)),
            Request::Install(rpc) => return small(Response::Install(self.raft.install_snapshot(rpc).await)),
            _ => {}
        }
        let Ok(_place) = self.calls.try_acquire() else {
            self.metrics.refused(Why::Calls);
            return small(Response::Busy { after_ms: 200 });
        };
        small(match request {
            Request::Identity => {
                Response::Identity { node: self.log.identity().node, cluster: self.cluster.get() }
            }
            Request::Join { cluster } => self.join(cluster).await,
            Request::Begin { members } => {
                let members: BTreeMap<NodeId, BasicNode> =
                    members.into_iter().map(|(node, addr)| (node, BasicNode::new(addr))).collect();
                done(self.raft.initialize(members).await)
            }
            // One that has been of no cluster until now would answer for itself.
            Request::Add { .. } | Request::Remove { .. } if !self.serves() => self.elsewhere(),
            Request::Add { node, addr } => self.add(node, addr).await,
            Request::Remove { node } => {
                let without = ChangeMembers::RemoveVoters(BTreeSet::from([node]));
                self.changed(self.raft.change_membership(without, false).await)
            }
            Request::Call { client, number, done, op } => self.call(client, number, done, op).await,
            Request::Renew { sessions } => self.renew(sessions).await,
            Request::Read { prefix, stale } => {
                return self.within_response_budget(room, VALUES, || self.read(&prefix, stale)).await;
            }
            Request::Watch { prefix, since, wait_ms } => {
                let wait = Duration::from_millis(wait_ms.into()).min(MAX_WATCH_TIME);
                return self.watch(&prefix, since, wait, room).await;
            }
            Request::Status => Response::Status(self.status()),
            Request::Locks | Request::Sessions => {
                return self.within_response_budget(room, VALUES, || async { self.lines(&request) }).await;
            }
            Request::Snapshot { from } => {
                return self
                    .within_response_budget(room, SNAPSHOT_CHUNK_BYTES, || self.snapshot_chunk(from))
                    .await
            }
            Request::Append(_) | Request::Vote(_) | Request::Install(_) => {
                Response::No("answered above".into())
            }
        })
    }

    /// Makes an answer of so many bytes at the most, once there is room for it.
    async fn within_response_budget<F: Future<Output = Response>>(
        &self,
        room: &ResponseBudget,
        bytes: usize,
        make: impl FnOnce() -> F,
    ) -> Placed {
        match room.take(bytes).await {
            Some(taken) => (make().await, Some(taken)),
            None => {
                self.metrics.refused(Why::Bytes);
                small(Response::Busy { after_ms: 500 })
            }
        }
    }

    /// For operators: all locks that are held, or all sessions, as many as an answer holds.
    fn lines(&self, request: &Request) -> Response {
        let mut bytes = 0;
        let mut fits = move |names: usize| {
            bytes += names + 40;
            bytes <= VALUES
        };
        self.machine.with(|state| match request {
            Request::Locks => {
                let who: BTreeMap<SessionId, &str> =
                    state.sessions().map(|(id, session)| (id, session.name.as_str())).collect();
                let line = |(name, lock): (&str, &crate::state::Lock)| {
                    let (holder, token) = lock.holder?;
                    let waiting = lock.waiting.len() as u32;
                    let who = who.get(&holder).copied().unwrap_or_default().to_owned();
                    Some(LockStatus { name: name.to_owned(), holder, who, token, waiting })
                };
                let lines = state.locks().filter_map(line);
                Response::Locks(lines.take_while(|line| fits(line.name.len() + line.who.len())).collect())
            }
            _ => {
                let line = |(id, session): (SessionId, &crate::state::Session)| SessionStatus {
                    id,
                    who: session.name.clone(),
                    ttl_ms: session.ttl_ms,
                    locks: session.locks().len() as u32,
                };
                let lines = state.sessions().map(line);
                Response::Sessions(lines.take_while(|line| fits(line.who.len())).collect())
            }
        })
    }

    async fn join(&self, cluster: u64) -> Response {
        match (self.cluster.get(), cluster) {
            (_, 0) => Response::No("cluster: 0 names none".to_owned()),
            (own, cluster) if own == cluster => Response::Done,
            (0, cluster) => match self.log.join(cluster).await {
                Ok(()) => {
                    self.cluster.set(cluster);
                    Response::Done
                }
                Err(e) => Response::Unknown(e.to_string()),
            },
            (own, _) => Response::No(format!("this process is of cluster {own:016x}")),
        }
    }

    /// A new process first learns all there is, without a vote; then it is a member, and knows that it is one when this is
    /// answered.
    async fn add(&self, node: NodeId, addr: String) -> Response {
        let learner = match self.raft.add_learner(node, BasicNode::new(addr), true).await {
            Ok(learner) => learner,
            Err(e) => return self.refused(e),
        };
        // The consensus takes a learner for caught up that lacks no more than its threshold: where the log is shorter, one
        // that has nothing.
        if !self.await_replication(node, learner.log_id.index).await {
            return self.elsewhere();
        }
        let with = ChangeMembers::AddVoterIds(BTreeSet::from([node]));
        match self.raft.change_membership(with, false).await {
            Ok(voter) if self.await_replication(node, voter.log_id.index).await => Response::Done,
            // It votes by now; asked again, this waits for it again.
            Ok(_) => self.elsewhere(),
            Err(e) => self.refused(e),
        }
    }

    /// Waits until a process has the log up to an entry; false: it has not in time, or this process no longer leads.
    async fn await_replication(&self, node: NodeId, index: u64) -> bool {
        let is_over = |metrics: &RaftMetrics<NodeId, BasicNode>| {
            let Some(replication) = &metrics.replication else { return true };
            replication.get(&node).copied().flatten().is_some_and(|matched| matched.index >= index)
        };
        let waited =
            self.raft.wait(Some(REPLICATION_TIMEOUT)).metrics(is_over, "a new member has the log").await;
        waited.is_ok_and(|metrics| metrics.replication.is_some())
    }

    fn changed<T>(
        &self,
        result: Result<T, RaftError<NodeId, ClientWriteError<NodeId, BasicNode>>>,
    ) -> Response {
        result.map_or_else(|e| self.refused(e), |_| Response::Done)
    }

    fn refused(&self, e: RaftError<NodeId, ClientWriteError<NodeId, BasicNode>>) -> Response {
        match e {
            RaftError::APIError(ClientWriteError::ForwardToLeader(_)) => self.not_leader(),
            // Often the same change, of a caller that has lost patience and asks again.
            RaftError::APIError(ClientWriteError::ChangeMembershipError(
                ChangeMembershipError::InProgress(_),
            )) => Response::Busy { after_ms: 50 },
            RaftError::APIError(e) => Response::No(e.to_string()),
            // It may be in the log all the same.
            RaftError::Fatal(e) => Response::Unknown(e.to_string()),
        }
    }

    async fn call(&self, client: ClientId, number: u64, done: u64, op: Op) -> Response {
        if !self.serves() {
            return self.elsewhere();
        }
        self.heard.borrow_mut().insert(client, Instant::now());
        let (answer, answered) = oneshot::channel();
        let proposal = (Command::Call { client, number, done, op }, answer);
        if self.proposals.send(proposal).await.is_err() {
            return Response::No("the process ends".to_owned());
        }
        match answered.await {
            Ok(Proposed::Outcome(Err(Refused::Busy(after_ms)))) => {
                self.metrics.refused(Why::State);
                Response::Busy { after_ms }
            }
            Ok(Proposed::Outcome(outcome)) => Response::Outcome(outcome),
            Ok(Proposed::Elsewhere) => self.not_leader(),
            Ok(Proposed::Unknown(why)) => Response::Unknown(why),
            Err(_) => Response::Unknown("the process ends".to_owned()),
        }
    }

    /// Renewals are not in the log. A majority must have confirmed the leader after the call came: whoever leads after it
    /// gives every session its full time, from later on.
    async fn renew(&self, sessions: Vec<SessionId>) -> Response {
        let came = self.now();
        if !self.confirmed().await {
            return self.elsewhere();
        }
        let mut leases = self.leases.borrow_mut();
        match leases.as_mut() {
            Some((_, leases)) => {
                let live = sessions.into_iter().filter(|id| leases.renewed(came, *id)).collect();
                Response::Renewed(live)
            }
            None => Response::Busy { after_ms: 50 },
        }
    }

    async fn read(&self, prefix: &str, stale: bool) -> Response {
        if !stale && !self.confirmed().await {
            return self.elsewhere();
        }
        let heard = self.raft.metrics().borrow().millis_since_quorum_ack;
        self.machine.with(|state| {
            let (revision, values) = state.read(prefix);
            let (mut bytes, mut all) = (0, Vec::new());
            for (key, value) in values {
                bytes += key.len() + value.value.len() + 32;
                if bytes > VALUES {
                    return Response::No("prefix: more than an answer holds; ask for less".to_owned());
                }
                all.push((key.to_owned(), value.value.clone(), value.revision));
            }
            // A follower does not know how old its state is beyond the time of an election.
            let age = stale.then(|| heard.unwrap_or(self.settings.election.as_millis() as u64 * 2));
            Response::Values { revision, values: all, age_ms: age }
        })
    }

    /// Only the leader tells changes, so that a watch never goes back by going to another process.
    async fn watch(&self, prefix: &str, since: u64, wait: Duration, room: &ResponseBudget) -> Placed {
        let until = Instant::now() + wait;
        loop {
            let changed = self.machine.changed.notified();
            if !self.confirmed().await {
                return small(self.elsewhere());
            }
            let news = || async {
                Response::Changes(self.machine.with(|state| state.changes(prefix, since, MAX_CHANGES_BYTES)))
            };
            if self.machine.with(|state| state.has_changes(prefix, since)) {
                // The last change may reach beyond by its own size.
                return self
                    .within_response_budget(room, MAX_CHANGES_BYTES + bounds::MAX_VALUE_BYTES, news)
                    .await;
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return small(news().await);
            }
        }
    }

    /// A part of the state as of the first part's time.
    async fn snapshot_chunk(&self, from: u64) -> Response {
        if from == 0 {
            if !self.confirmed().await {
                return self.elsewhere();
            }
            match self.machine.with(|state| state.snapshot()) {
                Ok(bytes) => drop(self.snapshot.replace(bytes)),
                Err(e) => return Response::No(e.to_string()),
            }
        }
        let snapshot = self.snapshot.borrow();
        let rest = snapshot.get(from as usize..).unwrap_or_default();
        Response::SnapshotChunk {
            total: snapshot.len() as u64,
            bytes: rest[..rest.len().min(SNAPSHOT_CHUNK_BYTES)].to_vec(),
        }
    }

    pub fn status(&self) -> Status {
        let metrics = self.raft.metrics().borrow().clone();
        let membership = metrics.membership_config.membership().clone();
        let voters: BTreeSet<NodeId> = membership.voter_ids().collect();
        let members: Vec<(NodeId, String, bool)> =
            membership.nodes().map(|(id, node)| (*id, node.addr.clone(), voters.contains(id))).collect();
        let leader = metrics.current_leader.and_then(|id| members.iter().find(|(of, ..)| *of == id));
        let counts = self.log.counts();
        self.machine.with(|state| Status {
            node: metrics.id,
            cluster: self.cluster.get(),
            leads: metrics.state == ServerState::Leader,
            leader: leader.map(|(_, addr, _)| addr.clone()),
            term: metrics.current_term,
            last_log: metrics.last_log_index,
            applied: metrics.last_applied.map(|log| log.index),
            members: members.clone(),
            revision: state.revision(),
            token: state.token_floor(),
            sessions: state.sessions().count() as u64,
            locks: state.locks().count() as u64,
            writes: counts.writes,
            syncs: counts.syncs,
            dropped_frames: self.dropped.get(),
        })
    }
}

fn done<T, E: std::fmt::Display>(result: Result<T, E>) -> Response {
    result.map_or_else(|e| Response::No(e.to_string()), |_| Response::Done)
}

/// A call that is to go into the log, and who waits for what comes of it.
type Proposal = (Command, oneshot::Sender<Proposed>);

#[derive(Clone)]
enum Proposed {
    Outcome(Outcome),
    /// Nothing was done: another one leads.
    Elsewhere,
    /// It may be in the log all the same.
    Unknown(String),
}

/// Calls that share an entry at the most, and about how many bytes of it.
const TOGETHER: usize = 256;
const TOGETHER_BYTES: usize = 1 << 20;

/// Has calls agreed on: all that wait while an entry is on its way share the next one, and so its syncs.
async fn propose(raft: Raft, mut proposed: mpsc::Receiver<Proposal>) {
    fn bytes(command: &Command) -> usize {
        match command {
            Command::Call { op: Op::Put { value, .. }, .. } => value.len(),
            Command::Call { op: Op::Batch(_), .. } => bounds::MAX_BATCH_BYTES,
            _ => 0,
        }
    }
    while let Some((command, answer)) = proposed.recv().await {
        let mut size = bytes(&command);
        let (mut commands, mut waiting) = (vec![command], vec![answer]);
        while commands.len() < TOGETHER && size < TOGETHER_BYTES {
            let Ok((command, answer)) = proposed.try_recv() else { break };
            size += bytes(&command);
            commands.push(command);
            waiting.push(answer);
        }
        let all: Vec<Proposed> = match raft.client_write(commands).await {
            Ok(written) => {
                let outcome = |outcome: Option<Outcome>| match outcome {
                    Some(outcome) => Proposed::Outcome(outcome),
                    None => Proposed::Unknown("a call had no outcome".to_owned()),
                };
                written.data.0.into_iter().map(outcome).collect()
            }
            Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_))) => {
                vec![Proposed::Elsewhere; waiting.len()]
            }
            Err(e) => vec![Proposed::Unknown(e.to_string()); waiting.len()],
        };
        // Whoever asked may have gone.
        for (answer, what) in waiting.into_iter().zip(all) {
            drop(answer.send(what));
        }
    }
}

/// Shows that this process leads, once for all that wait: those that come while it is shown wait for the next time.
async fn confirm(raft: Raft, mut asked: mpsc::Receiver<oneshot::Sender<bool>>) {
    while let Some(first) = asked.recv().await {
        let mut all = vec![first];
        while let Ok(next) = asked.try_recv() {
            all.push(next);
        }
        let leads = raft.ensure_linearizable().await.is_ok();
        // Whoever asked may have gone.
        for asked in all {
            let _ = asked.send(leads);
        }
    }
}
