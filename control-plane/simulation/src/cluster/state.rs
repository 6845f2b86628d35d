//! The state of a cluster, its events, and the interfaces of what acts on it from outside.

use super::event_queue::EventQueue;
use super::links::Links;
use super::machine::{Machine, Role};
use super::message::{Origin, Request, Response};
use super::process::Output;
use crate::checker::Checker;
use crate::disk::Disk;
use fastrand::Rng;
use marblecroft_chain_replication::View;
use marblecroft_protocol::servers::Server;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::info;

/// Port at which processes call each other, on all machines.
const INTERNAL_PORT: u16 = 7720;
/// Port of the operator's API.
pub(super) const OPERATOR_PORT: u16 = 8166;
/// Number of coordinators that found the chain.
const FOUNDERS: usize = 3;
/// Duration of a write and its sync on a healthy disk.
pub(crate) const SYNC_TIME: Duration = Duration::from_millis(2);
/// A client's first wake comes this long after it was added.
const FIRST_CLIENT_WAKE_DELAY: Duration = Duration::from_millis(500);

/// A client of the cluster, which acts when it is woken and when a call ends.
pub trait Client {
    /// Handles a wake-up; `number` names this client in its calls.
    fn wake(&mut self, cluster: &mut Cluster, number: usize);

    /// Handles the response to a call, or `None` where it was reset or timed out.
    fn on_reply(&mut self, cluster: &mut Cluster, number: usize, call: u64, response: Option<Response>);
}

/// A fault that is injected at its instant; its `Debug` form goes into the log.
pub trait ScheduledFault: Debug {
    /// Carries the fault out.
    fn inject(&self, cluster: &mut Cluster);
}

/// The size of a cluster and its seed.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSpec {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of coordinators that have a disk.
    pub coordinators: usize,
    /// Number of stores.
    pub stores: usize,
    /// Number of machines with a disk that may be lost at once.
    pub tolerated_machines: usize,
    /// Number of further coordinators that have no disk; they come first, and the first three of all are the founders.
    pub diskless_coordinators: usize,
}

/// What happens at an instant. Events of an `incarnation` that has ended are ignored.
pub(super) enum Event {
    /// A request reaches a machine.
    RequestArrives { machine: usize, origin: Origin, request: Request },
    /// A response reaches its origin; `None` stands for a reset or a timeout.
    ResponseArrives { origin: Origin, response: Option<Response> },
    /// The writes of an input are synced: its outputs are performed.
    Emit { machine: usize, incarnation: u64, outputs: Vec<Output> },
    /// A process takes its next input.
    Process { machine: usize, incarnation: u64 },
    /// A timer of a process fires.
    Wake { machine: usize, incarnation: u64 },
    /// The platform answers a process with its servers; `None` if that failed.
    ServerList { machine: usize, incarnation: u64, servers: Option<Vec<Server>> },
    /// A machine starts its process.
    Start { machine: usize },
    /// A client is woken.
    ClientWakes { client: usize },
    /// A fault is injected.
    Fault(Box<dyn ScheduledFault>),
}

/// A cluster with its clients, its network and the checker of its history.
pub struct Cluster {
    /// Its size and seed.
    pub spec: ClusterSpec,
    /// The source of all random numbers; the order of draws is part of a replay.
    pub rng: Rng,
    /// Time since the start of the run.
    pub now: Duration,
    /// By number; removed ones stay.
    pub machines: Vec<Machine>,
    /// Checks the history.
    pub checker: Checker,
    /// By number; `None` while a client acts on the cluster.
    pub(super) clients: Vec<Option<Box<dyn Client>>>,
    pub(super) events: EventQueue<Event>,
    /// Number of processes started so far.
    pub(super) incarnations: u64,
    /// Calls that have no response yet.
    pub(super) unanswered: BTreeSet<Origin>,
    /// Number of calls of clients so far.
    pub(super) client_calls: u64,
    pub(super) links: Links,
    /// Disks lost since all machines of a role were last healthy.
    pub disks_lost: BTreeMap<Role, usize>,
    /// Chance per thousand that a message is lost, late or duplicated, each drawn on its own.
    pub message_fault_permille: u32,
    /// Operator addresses of the founders.
    pub(super) seeds: Vec<SocketAddr>,
    /// The first view that was seen of each role and number.
    pub(super) views: BTreeMap<(Role, u64), View>,
    /// A digest of the instants of all events in their order.
    pub trace: u64,
}

/// Returns where a machine of this address serves the operator's API.
pub(super) fn operator_address(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), OPERATOR_PORT)
}

/// Returns where a machine of this address takes calls of other processes.
pub(super) fn internal_address(seed: SocketAddr) -> SocketAddr {
    SocketAddr::new(seed.ip(), INTERNAL_PORT)
}

impl Cluster {
    /// Returns a cluster whose machines start within 300 ms.
    pub fn new(spec: ClusterSpec) -> Cluster {
        let mut cluster = Cluster {
            spec,
            rng: Rng::with_seed(spec.seed),
            now: Duration::ZERO,
            machines: Vec::new(),
            checker: Checker::default(),
            clients: Vec::new(),
            events: EventQueue::new(),
            incarnations: 0,
            unanswered: BTreeSet::new(),
            client_calls: 0,
            links: Links::default(),
            message_fault_permille: 0,
            disks_lost: BTreeMap::new(),
            seeds: Vec::new(),
            views: BTreeMap::new(),
            trace: 0,
        };
        for number in 0..spec.diskless_coordinators + spec.coordinators {
            let machine = cluster.add_machine(Role::Coordinator);
            cluster.machines[machine].has_disk = number >= spec.diskless_coordinators;
        }
        let founders = cluster.machines.iter().take(FOUNDERS);
        cluster.seeds = founders.map(|machine| operator_address(machine.address)).collect();
        for _ in 0..spec.stores {
            cluster.add_machine(Role::Store);
        }
        for machine in 0..cluster.machines.len() {
            let after = Duration::from_millis(cluster.rng.u64(0..300));
            cluster.schedule_event(after, Event::Start { machine });
        }
        cluster
    }

    /// Adds a machine that is off, and returns its number.
    ///
    /// # Panics
    ///
    /// If there are more than 254 machines.
    pub fn add_machine(&mut self, role: Role) -> usize {
        let number = self.machines.len();
        let last_octet = u8::try_from(number + 1).expect("a small cluster");
        let disk = Disk::default();
        disk.set_sync_time(SYNC_TIME);
        let clock_rate = 0.92 + 0.16 * self.rng.f64();
        self.machines.push(Machine {
            address: SocketAddr::from(([10, 0, 0, last_octet], INTERNAL_PORT)),
            name: format!("{role:?}-{number}").to_lowercase(),
            role,
            disk,
            has_disk: true,
            running: None,
            powered_off: false,
            frozen: false,
            removed: false,
            started_before: false,
            counts_as_lost_until: Duration::ZERO,
            clock_rate,
        });
        number
    }

    /// Adds a client, and wakes it soon.
    pub fn add_client(&mut self, client: impl Client + 'static) {
        self.clients.push(Some(Box::new(client)));
        let client = self.clients.len() - 1;
        self.schedule_event(FIRST_CLIENT_WAKE_DELAY, Event::ClientWakes { client });
    }

    /// Schedules an event; those of the same instant run in the order of these calls.
    pub(super) fn schedule_event(&mut self, after: Duration, event: Event) {
        self.events.push(self.now + after, event);
    }

    /// Schedules a fault for an instant since the start of the run; at once where that has passed.
    pub fn fault_at(&mut self, at: Duration, fault: impl ScheduledFault + 'static) {
        self.schedule_event(at.saturating_sub(self.now), Event::Fault(Box::new(fault)));
    }

    /// Logs an event with its instant, between the events that processes log.
    pub(super) fn log(&self, message: impl FnOnce() -> String) {
        if tracing::enabled!(tracing::Level::INFO) {
            info!("{:9.3} {}", self.now.as_secs_f64(), message());
        }
    }

    /// Mixes a value into the trace.
    pub(super) fn add_to_trace(&mut self, value: u64) {
        self.trace = (self.trace ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
    }

    /// Returns the incarnation of the process that runs on a machine.
    pub(super) fn incarnation_of(&self, machine: usize) -> Option<u64> {
        self.machines[machine].running.as_ref().map(|running| running.incarnation)
    }

    /// Returns the machine at an address; the port does not matter.
    pub fn machine_at(&self, address: SocketAddr) -> Option<usize> {
        self.machines.iter().position(|machine| machine.address.ip() == address.ip())
    }

    /// Returns the machines of a role that were not removed.
    pub fn machines_of(&self, role: Role) -> Vec<usize> {
        let is_present =
            |machine: &usize| !self.machines[*machine].removed && self.machines[*machine].role == role;
        (0..self.machines.len()).filter(is_present).collect()
    }
}
