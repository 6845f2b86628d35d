//! Starts, ends, freezes and restarts processes.

use super::machine::Role;
use super::message::Origin;
use super::process::{Input, Process, RunningProcess};
use super::state::{internal_address, operator_address, Cluster, Event, OPERATOR_PORT};
use marblecroft_batch_state::BatchState;
use marblecroft_chain_replication::View;
use marblecroft_control_plane_core::coordinator::{self, Coordinator};
use marblecroft_control_plane_core::member;
use marblecroft_control_plane_core::store::{self, Store};
use marblecroft_control_state::ControlState;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::time::Duration;

/// Delay before the supervisor restarts a program that could not start.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Grace period after SIGTERM in the settings of the processes.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

impl Cluster {
    /// Starts the process of a machine, unless it is running or the machine was removed.
    pub(super) fn start(&mut self, machine: usize) {
        let host = &self.machines[machine];
        if host.running.is_some() || host.removed {
            return;
        }
        if !host.has_disk {
            host.disk.wipe();
        }
        self.incarnations += 1;
        let (incarnation, random) = (self.incarnations, self.rng.u64(..));
        let is_founding = !host.started_before && host.role == Role::Coordinator;
        let founding = member::founding_view(operator_address(host.address), &self.seeds, internal_address);
        let founding = founding.filter(|_| is_founding);
        let process = match host.role {
            Role::Coordinator => self.new_coordinator(machine, incarnation, random, founding),
            Role::Store => self.new_store(machine, incarnation, random),
        };
        let Ok(process) = process else {
            // The program exits with an error, and its supervisor restarts it.
            self.schedule_event(RESTART_DELAY, Event::Start { machine });
            return;
        };
        let host = &mut self.machines[machine];
        let busy_time = host.disk.take_write_time();
        host.disk.complete();
        host.started_before = true;
        host.powered_off = false;
        host.frozen = false;
        host.running = Some(RunningProcess {
            process,
            incarnation,
            started_at: self.now,
            clock_rate: host.clock_rate,
            busy_until: self.now + busy_time,
            wake_at: None,
            inbox: VecDeque::new(),
            origins: BTreeMap::new(),
            last_token: 0,
            immediate_wakes: 0,
        });
        let name = host.name.clone();
        self.log(|| format!("{name} starts"));
        self.enqueue(machine, Input::Wake);
    }

    pub(super) fn new_coordinator(
        &self,
        machine: usize,
        incarnation: u64,
        random: u64,
        founding: Option<(u64, View)>,
    ) -> io::Result<Process> {
        let host = &self.machines[machine];
        let recovered = host.disk.recovered();
        let replica = member::open::<ControlState, _>(host.disk.clone(), recovered, random, founding)?;
        let settings = coordinator::Settings {
            node_name: host.name.clone(),
            address: host.address,
            seeds: self.seeds.iter().copied().map(internal_address).collect(),
            operator_port: Some(OPERATOR_PORT),
            tolerated_machines: self.spec.tolerated_machines,
            grace_period: GRACE_PERIOD,
            reads_server_list: true,
            is_durable: host.has_disk,
            session: incarnation,
        };
        Ok(Process::Coordinator(Box::new(Coordinator::new(settings, replica, Duration::ZERO))))
    }

    pub(super) fn new_store(&self, machine: usize, incarnation: u64, random: u64) -> io::Result<Process> {
        let host = &self.machines[machine];
        let recovered = host.disk.recovered();
        let replica = member::open::<BatchState, _>(host.disk.clone(), recovered, random, None)?;
        let settings = store::Settings {
            node_name: host.name.clone(),
            zone: format!("zone-{}", machine % 3),
            address: host.address,
            coordinators: self.seeds.iter().copied().map(internal_address).collect(),
            tolerated_machines: self.spec.tolerated_machines,
            result_retention: Duration::from_secs(120),
            grace_period: GRACE_PERIOD,
            session: incarnation,
        };
        Ok(Process::Store(Box::new(Store::new(settings, replica, Duration::ZERO))))
    }

    /// Ends a process that exits by itself; pending calls to it are reset.
    pub(super) fn exit(&mut self, machine: usize) {
        let name = self.machines[machine].name.clone();
        self.log(|| format!("{name} exits"));
        self.machines[machine].disk.complete();
        self.end_process(machine);
    }

    /// Ends a process; pending calls to it are reset, unless power is off.
    pub(super) fn end_process(&mut self, machine: usize) {
        let powered_off = self.machines[machine].powered_off;
        let Some(running) = self.machines[machine].running.take() else { return };
        if powered_off {
            return;
        }
        let queued = running.inbox.into_iter().filter_map(|input| match input {
            Input::Request { origin, .. } => Some(origin),
            _ => None,
        });
        let origins: Vec<Origin> = running.origins.into_values().chain(queued).collect();
        for origin in origins {
            self.send_response(machine, origin, None);
        }
    }

    /// Kills a process. If `power` is set, its machine loses power as well, and pending calls get no response
    /// at all.
    pub fn kill(&mut self, machine: usize, power: bool) {
        self.machines[machine].powered_off = power;
        let disk = self.machines[machine].disk.clone();
        if self.machines[machine].running.is_some() {
            disk.lose_power(&mut self.rng);
        }
        self.end_process(machine);
        self.machines[machine].frozen = false;
    }

    /// Schedules the start of a machine's process.
    pub fn restart(&mut self, machine: usize, after: Duration) {
        self.schedule_event(after, Event::Start { machine });
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&mut self, machine: usize) {
        self.enqueue(machine, Input::Terminate);
    }

    /// Suspends a process, or resumes it with the inputs that are queued in its inbox.
    pub fn set_frozen(&mut self, machine: usize, frozen: bool) {
        self.machines[machine].frozen = frozen;
        if !frozen {
            let queued = self.machines[machine].running.as_ref().map_or(0, |running| running.inbox.len());
            for _ in 0..queued.max(1) {
                self.schedule_processing(machine);
            }
        }
    }
}
