//! Queries of the state of a cluster, for faults, checks and scenarios.

use super::machine::{Machine, Role};
use super::process::Process;
use super::state::Cluster;
use marblecroft_chain_replication::{Status, View};
use std::collections::BTreeSet;

impl Cluster {
    /// Returns whether the process of a machine is running.
    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].running.is_some()
    }

    /// Returns the status of the process of a machine, or `None` if it is not running.
    pub fn status(&self, machine: usize) -> Option<Status> {
        let running = self.machines[machine].running.as_ref()?;
        let monotonic = (self.now - running.started_at).mul_f64(running.clock_rate);
        Some(match &running.process {
            Process::Coordinator(node) => node.chain().status(monotonic),
            Process::Store(node) => node.chain().status(monotonic),
        })
    }

    /// Returns one line for each machine with the status of its process.
    pub fn describe(&self) -> Vec<String> {
        let describe = |machine: usize| {
            let name = &self.machines[machine].name;
            match self.status(machine) {
                Some(status) => format!(
                    "{name}: identity {:x}, view {} of {}, complete {}, at {}",
                    status.identity,
                    status.view.number,
                    status.view.addresses(),
                    status.complete,
                    status.position.index
                ),
                None => format!("{name} is not running"),
            }
        };
        (0..self.machines.len()).map(describe).collect()
    }

    /// Returns the newest view among the running processes of a role.
    pub(super) fn newest_view(&self, role: Role) -> Option<View> {
        let machines = (0..self.machines.len()).filter(|machine| self.machines[*machine].role == role);
        let views = machines.filter_map(|machine| self.status(machine)).map(|status| status.view);
        views.max_by_key(|view| view.number)
    }

    /// Returns the machine of the head of the newest view of a role.
    pub fn head_of(&self, role: Role) -> Option<usize> {
        self.machine_at(self.newest_view(role)?.head()?.address)
    }

    /// Returns the machine of the last member of the newest view of a role.
    pub fn tail_of(&self, role: Role) -> Option<usize> {
        self.machine_at(self.newest_view(role)?.members.last()?.address)
    }

    /// Returns the machines with a disk that currently count as lost.
    pub fn lost_machines(&self) -> BTreeSet<usize> {
        let is_lost = |machine: &usize| {
            let host = &self.machines[*machine];
            host.has_disk
                && !host.removed
                && (host.counts_as_lost_until > self.now || host.running.is_none() || host.frozen)
        };
        (0..self.machines.len()).filter(is_lost).collect()
    }

    /// Returns the number of running coordinators that have a configuration of at least this generation,
    /// acknowledged or not.
    pub fn coordinators_with_generation(&self, generation: u64) -> usize {
        let has_generation =
            |machine: &&Machine| match machine.running.as_ref().map(|running| &running.process) {
                Some(Process::Coordinator(node)) => {
                    node.chain().replica().machine().generation() >= generation
                }
                _ => false,
            };
        self.machines.iter().filter(has_generation).count()
    }
}
