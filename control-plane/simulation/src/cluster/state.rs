//! The state of a cluster, its events, and the interfaces of clients and faults.

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
const FOUNDER_COUNT: usize = 3;
/// Duration of a write and its sync on a healthy disk.
pub(crate) const SYNC_TIME: Duration = Duration::from_millis(2);
/// Delay of the first wake-up of a client after it was added.
const FIRST_CLIENT_WAKE_DELAY: Duration = Duration::from_millis(500);

/// A client of the cluster, which is called on its wake-ups and when one of its calls ends.
pub trait Client {
    /// Handles a wake-up; `number` identifies this client in its calls.
    fn wake(&mut self, cluster: &mut Cluster, number: usize);

    /// Handles the response to a call, or `None` if it was reset or timed out.
    fn on_reply(&mut self, cluster: &mut Cluster, number: usize, call: u64, response: Option<Response>);
}

/// A fault that is injected at a scheduled instant; its `Debug` form is logged.
pub trait ScheduledFault: Debug {
    /// Injects the fault.
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
    /// Number of additional coordinators without a disk. They are numbered first; the first three of all
    /// coordinators are the founders.
    pub diskless_coordinators: usize,
}

/// An event at an instant. Events of an `incarnation` that has ended are ignored.
pub(super) enum Event {
    /// A request reaches a machine.
    RequestArrives { machine: usize, origin: Origin, request: Request },
    /// A response reaches the origin of its request; `None` is a reset or a timeout.
    ResponseArrives { origin: Origin, response: Option<Response> },
    /// The writes of an input are synced, and its outputs are performed.
    PerformOutputs { machine: usize, incarnation: u64, outputs: Vec<Output> },
    /// A process handles the next input of its inbox.
    RunNextInput { machine: usize, incarnation: u64 },
    /// A timer of a process fires.
    Wake { machine: usize, incarnation: u64 },
    /// The platform returns its server list to a process, or `None` if the read failed.
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
    /// Size and seed.
    pub spec: ClusterSpec,
    /// The source of all random numbers; the order of draws is part of a replay.
    pub rng: Rng,
    /// Time since the start of the run.
    pub now: Duration,
    /// Machines by number; removed ones stay in the list.
    pub machines: Vec<Machine>,
    /// Checks the history.
    pub checker: Checker,
    /// Clients by number; `None` while a client is being called.
    pub(super) clients: Vec<Option<Box<dyn Client>>>,
    pub(super) events: EventQueue<Event>,
    /// Number of processes started so far.
    pub(super) incarnations: u64,
    /// Origins of the calls without a response so far.
    pub(super) pending_calls: BTreeSet<Origin>,
    /// Number of calls of clients so far.
    pub(super) client_calls: u64,
    pub(super) links: Links,
    /// Number of disks lost, by role, since all machines of the role were last healthy.
    pub disks_lost: BTreeMap<Role, usize>,
    /// Probability in permille that a message is lost, late or duplicated; each of the three is drawn
    /// independently.
    pub message_fault_permille: u32,
    /// Operator addresses of the founders.
    pub(super) seeds: Vec<SocketAddr>,
    /// The first view that was observed, by role and view number.
    pub(super) views: BTreeMap<(Role, u64), View>,
    /// Digest of the instants of all events in order.
    pub event_digest: u64,
}

/// Returns the address of the operator's API on the machine that has this address.
pub(super) fn operator_address(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), OPERATOR_PORT)
}

/// Returns the address for calls of other processes on the machine that has this address.
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
            pending_calls: BTreeSet::new(),
            client_calls: 0,
            links: Links::default(),
            message_fault_permille: 0,
            disks_lost: BTreeMap::new(),
            seeds: Vec::new(),
            views: BTreeMap::new(),
            event_digest: 0,
        };
        for number in 0..spec.diskless_coordinators + spec.coordinators {
            let machine = cluster.add_machine(Role::Coordinator);
            cluster.machines[machine].has_disk = number >= spec.diskless_coordinators;
        }
        let founders = cluster.machines.iter().take(FOUNDER_COUNT);
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

    /// Adds a machine whose process is not started, and returns its number.
    ///
    /// # Panics
    ///
    /// Panics if there are already 255 machines.
    pub fn add_machine(&mut self, role: Role) -> usize {
        let number = self.machines.len();
        let last_octet = u8::try_from(number + 1).expect("at most 255 machines");
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

    /// Adds a client, and schedules its first wake-up.
    pub fn add_client(&mut self, client: impl Client + 'static) {
        self.clients.push(Some(Box::new(client)));
        let client = self.clients.len() - 1;
        self.schedule_event(FIRST_CLIENT_WAKE_DELAY, Event::ClientWakes { client });
    }

    /// Schedules an event. Events of the same instant run in the order in which they were scheduled.
    pub(super) fn schedule_event(&mut self, after: Duration, event: Event) {
        self.events.push(self.now + after, event);
    }

    /// Schedules a fault for an instant, given as time since the start of the run. If the instant has passed,
    /// the fault is scheduled for the current instant.
    pub fn schedule_fault(&mut self, at: Duration, fault: impl ScheduledFault + 'static) {
        self.schedule_event(at.saturating_sub(self.now), Event::Fault(Box::new(fault)));
    }

    /// Logs a message with the current instant, in the same log as the messages of the processes.
    pub(super) fn log(&self, message: impl FnOnce() -> String) {
        if tracing::enabled!(tracing::Level::INFO) {
            info!("{:9.3} {}", self.now.as_secs_f64(), message());
        }
    }

    /// Mixes a value into the digest of events.
    pub(super) fn update_event_digest(&mut self, value: u64) {
        self.event_digest = (self.event_digest ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
    }

    /// Returns the incarnation of the process that runs on a machine.
    pub(super) fn incarnation_of(&self, machine: usize) -> Option<u64> {
        self.machines[machine].running.as_ref().map(|running| running.incarnation)
    }

    /// Returns the machine at an address; the port is ignored.
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
