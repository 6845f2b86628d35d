//! One process of the service.
//!
//! `connections` reads a request from its connection, and `requests` dispatches it. A large reply first
//! reserves its size in the `response_budget`. Replies are written in the order of completion.
//!
//! - `leadership`: leadership, and the leases of sessions, which only the leader keeps.
//! - `proposals`: operations of clients; many of them share one log entry.
//! - `reads`: values, watches, lists for operators, and snapshots.
//! - `membership`: creation of the cluster, and changes of its members.

mod connections;
mod leadership;
mod membership;
mod proposals;
mod reads;
mod requests;
mod response_budget;

use crate::env::{Clock, Env};
use crate::lease::Instant as LeaseInstant;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::raft::{Machine, NodeId, Raft};
use crate::state::{ClientId, SnapshotError};
use crate::storage::LogStore;
use crate::wire::{Status, MAX_IN_FLIGHT_REQUESTS};
use leadership::{confirm_leadership, Confirmation, Leadership};
use openraft::error::Fatal;
use openraft::{Config, ConfigError, ServerState, SnapshotPolicy};
use proposals::{propose_batches, Proposal};
use quick_error::quick_error;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Size of the chunks in which a snapshot is sent, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 1 << 20;
/// Maximum size of the replies that wait to be written on all connections together, in bytes.
const MAX_PENDING_BYTES: usize = 64 << 20;
/// Maximum number of entries in one message to a member; three entries of maximum size fit into a frame.
const MAX_ENTRIES_PER_MESSAGE: u64 = 3;
const INSTALL_SNAPSHOT_TIMEOUT_MS: u64 = 5000;

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// IP address of the address translator, if there is one. The other members are then called at this
    /// address, with their own ports.
    pub translator: Option<IpAddr>,
    /// Interval between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// A process becomes a candidate after it has received no heartbeat for a random time between this and
    /// twice this.
    pub election_timeout: Duration,
    /// Number of log entries after which a snapshot is built.
    pub entries_per_snapshot: u64,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of calls that are in progress.
    pub max_calls: usize,
}

quick_error! {
    /// The reason why a process cannot start.
    #[derive(Debug)]
    pub enum StartError {
        /// The stored snapshot cannot be read.
        Snapshot(error: SnapshotError) {
            display("{}", error)
            source(error)
            from()
        }
        /// The consensus rejects the settings.
        Settings(error: Box<ConfigError>) {
            display("{}", error)
            source(&**error)
            from()
        }
        /// The consensus cannot start.
        Consensus(error: Box<Fatal<NodeId>>) {
            display("{}", error)
            source(&**error)
        }
    }
}

/// One process of the service.
pub struct Service {
    env: Env,
    settings: Settings,
    /// The consensus.
    pub raft: Raft,
    machine: Machine,
    log: LogStore,
    cluster: Rc<Cell<u64>>,
    clock: Clock,
    leadership: RefCell<Option<Leadership>>,
    confirmations: mpsc::Sender<Confirmation>,
    proposals: mpsc::Sender<Proposal>,
    calls: Semaphore,
    connections: Arc<Semaphore>,
    pending_bytes: Arc<Semaphore>,
    dropped_frames: Cell<u64>,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// The snapshot that an operator reads in chunks.
    snapshot: RefCell<Vec<u8>>,
    /// When each client last called this process as the leader.
    last_call_at: RefCell<BTreeMap<ClientId, Instant>>,
}

fn consensus_config(settings: &Settings) -> Result<Config, Box<ConfigError>> {
    let ms = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let config = Config {
        cluster_name: "coordination".to_owned(),
        heartbeat_interval: ms(settings.heartbeat_interval),
        election_timeout_min: ms(settings.election_timeout),
        election_timeout_max: ms(settings.election_timeout * 2),
        install_snapshot_timeout: INSTALL_SNAPSHOT_TIMEOUT_MS,
        max_payload_entries: MAX_ENTRIES_PER_MESSAGE,
        replication_lag_threshold: settings.entries_per_snapshot * 2,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(settings.entries_per_snapshot),
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES as u64,
        max_in_snapshot_log_to_keep: settings.entries_per_snapshot,
        ..Config::default()
    };
    config.validate().map_err(Box::new)
}

impl Service {
    /// Starts a process on its store.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub async fn start(env: Env, settings: Settings, log: LogStore) -> Result<Rc<Service>, StartError> {
        let machine = Machine::open(log.clone())?;
        let identity = log.identity();
        let cluster = Rc::new(Cell::new(identity.cluster));
        let config = Arc::new(consensus_config(&settings)?);
        let peers = Peers { env: env.clone(), cluster: cluster.clone(), translator: settings.translator };
        let raft = Raft::new(identity.node, config, peers, log.clone(), machine.clone()).await;
        let raft = raft.map_err(|error| StartError::Consensus(Box::new(error)))?;
        let (confirmations, requested_confirmations) = mpsc::channel(MAX_IN_FLIGHT_REQUESTS);
        let (proposals, queued_proposals) = mpsc::channel(MAX_IN_FLIGHT_REQUESTS);
        let service = Rc::new(Service {
            clock: env.clock(),
            env,
            calls: Semaphore::new(settings.max_calls),
            pending_bytes: Arc::new(Semaphore::new(MAX_PENDING_BYTES)),
            metrics: Metrics::new(log.sync_times()),
            connections: Arc::new(Semaphore::new(settings.max_connections)),
            settings,
            raft,
            machine,
            log,
            cluster,
            leadership: RefCell::new(None),
            confirmations,
            proposals,
            dropped_frames: Cell::new(0),
            snapshot: RefCell::default(),
            last_call_at: RefCell::default(),
        });
        spawn_local(confirm_leadership(service.raft.clone(), requested_confirmations));
        spawn_local(propose_batches(service.raft.clone(), queued_proposals));
        spawn_local(leadership::run(Rc::downgrade(&service)));
        Ok(service)
    }

    fn now(&self) -> LeaseInstant {
        self.clock.now()
    }

    /// Returns the reason why the consensus has stopped for good, if it has: the store failed.
    pub fn failure(&self) -> Option<String> {
        self.raft.metrics().borrow().running_state.as_ref().err().map(ToString::to_string)
    }

    /// Returns the status of this process, with its view of the cluster.
    pub fn status(&self) -> Status {
        let metrics = self.raft.metrics().borrow().clone();
        let membership = metrics.membership_config.membership().clone();
        let voters: BTreeSet<NodeId> = membership.voter_ids().collect();
        let members: Vec<(NodeId, String, bool)> =
            membership.nodes().map(|(id, node)| (*id, node.addr.clone(), voters.contains(id))).collect();
        let leader = metrics.current_leader.and_then(|id| members.iter().find(|(member, ..)| *member == id));
        let counts = self.log.counts();
        self.machine.with(|state| Status {
            node: metrics.id,
            cluster: self.cluster.get(),
            leads: metrics.state == ServerState::Leader,
            leader: leader.map(|(_, address, _)| address.clone()),
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
            dropped_frames: self.dropped_frames.get(),
        })
    }

    /// Returns the current metrics in the text format.
    pub fn metrics_page(&self) -> String {
        self.metrics.page(&self.status())
    }
}
