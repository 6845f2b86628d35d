//! Injects faults into single machines, links or all machines of the cluster.

use super::fault::{Fault, PartitionDirection, PartitionScope, Target};
use super::loss::{count_as_lost, reserve_disk_loss};
use crate::cluster::{Cluster, LinkFault, Role, ScheduledFault, SYNC_TIME};
use std::time::Duration;

impl ScheduledFault for Fault {
    fn inject(&self, cluster: &mut Cluster) {
        inject(cluster, *self);
    }
}

/// Returns the machine that a target selects at this instant, unless it was removed.
fn resolve_target(cluster: &mut Cluster, target: Target) -> Option<usize> {
    let machine = match target {
        Target::Any(role) => {
            let mut machines = cluster.machines_of(role);
            machines.retain(|machine| cluster.machines[*machine].has_disk);
            Some(machines[cluster.rng.usize(0..machines.len())])
        }
        Target::Head(role) => cluster.head_of(role),
        Target::Tail(role) => cluster.tail_of(role),
        Target::Machine(machine) => Some(machine),
    }?;
    (!cluster.machines[machine].removed).then_some(machine)
}

/// Injects a fault.
fn inject(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::Thaw { machine } => cluster.set_frozen(machine, false),
        Fault::Heal { machine } => cluster.heal(machine),
        Fault::RepairDisk { machine } => {
            cluster.machines[machine].disk.set_failing(false);
            cluster.machines[machine].disk.set_sync_time(SYNC_TIME);
        }
        Fault::ReliableNetwork => cluster.message_fault_permille = 0,
        Fault::LossyNetwork { message_fault_permille, duration } => {
            cluster.message_fault_permille = message_fault_permille;
            for machine in 0..cluster.machines.len() {
                count_as_lost(cluster, machine, duration);
            }
            cluster.schedule_fault(cluster.now + duration, Fault::ReliableNetwork);
        }
        Fault::KillAll { power } => kill_all(cluster, power),
        Fault::WipeAndPowerOff { disks } => wipe_and_power_off(cluster, disks),
        Fault::Split { role, duration } => split(cluster, role, duration),
        Fault::Add { role } => {
            let machine = cluster.add_machine(role);
            count_as_lost(cluster, machine, Duration::ZERO);
            cluster.restart(machine, Duration::from_millis(100));
        }
        Fault::Kill { target, .. }
        | Fault::Wipe { target, .. }
        | Fault::CorruptDisk { target }
        | Fault::Freeze { target, .. }
        | Fault::Partition { target, .. }
        | Fault::Terminate { target }
        | Fault::Replace { target, .. }
        | Fault::SlowDisk { target, .. }
        | Fault::FailingDisk { target, .. } => {
            if let Some(machine) = resolve_target(cluster, target) {
                inject_into_machine(cluster, machine, fault);
            }
        }
    }
}

/// Injects a fault into one machine. A machine without a disk can only be killed or frozen; other faults are
/// skipped.
fn inject_into_machine(cluster: &mut Cluster, machine: usize, fault: Fault) {
    if !cluster.machines[machine].has_disk && !matches!(fault, Fault::Kill { .. } | Fault::Freeze { .. }) {
        return;
    }
    match fault {
        Fault::Kill { power, restart_after, .. } => {
            count_as_lost(cluster, machine, restart_after);
            cluster.kill(machine, power);
            cluster.restart(machine, restart_after);
        }
        Fault::Wipe { restart_after, .. } => wipe(cluster, machine, restart_after),
        Fault::CorruptDisk { .. } => corrupt_disk(cluster, machine),
        Fault::Freeze { duration, .. } => {
            count_as_lost(cluster, machine, duration);
            cluster.set_frozen(machine, true);
            cluster.schedule_fault(cluster.now + duration, Fault::Thaw { machine });
        }
        Fault::Partition { scope, direction, link_fault, duration, .. } => {
            partition(cluster, machine, scope, direction, link_fault, duration)
        }
        Fault::Terminate { .. } => {
            count_as_lost(cluster, machine, Duration::from_secs(5));
            cluster.terminate(machine);
            cluster.restart(machine, Duration::from_millis(4500));
            // With a probability of 1/3 the process is killed after 4 s, before its grace period ends.
            let target = Target::Machine(machine);
            if cluster.rng.u32(0..3) == 0 {
                let restart_after = Duration::from_millis(400);
                let at = cluster.now + Duration::from_millis(4000);
                cluster.schedule_fault(at, Fault::Kill { target, power: false, restart_after });
            }
        }
        Fault::Replace { .. } => replace(cluster, machine),
        Fault::SlowDisk { sync_time, duration, .. } => {
            count_as_lost(cluster, machine, duration);
            cluster.machines[machine].disk.set_sync_time(sync_time);
            cluster.schedule_fault(cluster.now + duration, Fault::RepairDisk { machine });
        }
        Fault::FailingDisk { duration, .. } => fail_writes(cluster, machine, duration),
        _ => {}
    }
}

fn wipe(cluster: &mut Cluster, machine: usize, restart_after: Duration) {
    if !reserve_disk_loss(cluster, machine) {
        return;
    }
    count_as_lost(cluster, machine, restart_after);
    cluster.kill(machine, true);
    cluster.machines[machine].disk.wipe();
    cluster.restart(machine, restart_after);
}

fn corrupt_disk(cluster: &mut Cluster, machine: usize) {
    const RESTART_DELAY: Duration = Duration::from_millis(300);
    if !reserve_disk_loss(cluster, machine) {
        return;
    }
    count_as_lost(cluster, machine, RESTART_DELAY);
    cluster.kill(machine, false);
    let disk = cluster.machines[machine].disk.clone();
    disk.corrupt(&mut cluster.rng);
    cluster.restart(machine, RESTART_DELAY);
}

fn fail_writes(cluster: &mut Cluster, machine: usize, duration: Duration) {
    // A process can't start on a disk whose writes fail: a stopped one would not be back before the repair.
    if !cluster.is_running(machine) {
        return;
    }
    count_as_lost(cluster, machine, duration);
    cluster.machines[machine].disk.set_failing(true);
    cluster.schedule_fault(cluster.now + duration, Fault::RepairDisk { machine });
}

fn partition(
    cluster: &mut Cluster,
    machine: usize,
    scope: PartitionScope,
    direction: PartitionDirection,
    link_fault: LinkFault,
    duration: Duration,
) {
    count_as_lost(cluster, machine, duration);
    let role = cluster.machines[machine].role;
    for other in 0..cluster.machines.len() {
        if other == machine || (scope == PartitionScope::Peers && cluster.machines[other].role != role) {
            continue;
        }
        if direction != PartitionDirection::Inbound {
            cluster.partition(machine, other, link_fault);
        }
        if direction != PartitionDirection::Outbound {
            cluster.partition(other, machine, link_fault);
        }
    }
    if scope == PartitionScope::MachinesAndClients {
        cluster.isolate_from_clients(machine);
    }
    cluster.schedule_fault(cluster.now + duration, Fault::Heal { machine });
}

fn split(cluster: &mut Cluster, role: Role, duration: Duration) {
    let mut machines = cluster.machines_of(role);
    cluster.rng.shuffle(&mut machines);
    let (left, right) = machines.split_at(machines.len() / 2);
    for &machine in right {
        count_as_lost(cluster, machine, duration);
    }
    for &machine in left {
        count_as_lost(cluster, machine, duration);
        for &other in right {
            cluster.partition(machine, other, LinkFault::Drop);
            cluster.partition(other, machine, LinkFault::Drop);
        }
        cluster.schedule_fault(cluster.now + duration, Fault::Heal { machine });
    }
}

fn kill_all(cluster: &mut Cluster, power: bool) {
    for machine in 0..cluster.machines.len() {
        if !cluster.machines[machine].removed && cluster.is_running(machine) {
            let restart_after = Duration::from_millis(cluster.rng.u64(200..1000));
            count_as_lost(cluster, machine, restart_after);
            cluster.kill(machine, power);
            cluster.restart(machine, restart_after);
        }
    }
}

fn wipe_and_power_off(cluster: &mut Cluster, disks: usize) {
    let lost = cluster.lost_machines();
    let mut disks_left = [disks; 2];
    let mut machines: Vec<usize> = (0..cluster.machines.len()).collect();
    cluster.rng.shuffle(&mut machines);
    for machine in machines {
        if cluster.machines[machine].removed || !cluster.is_running(machine) {
            continue;
        }
        let role = cluster.machines[machine].role;
        let others_lost = lost.iter().filter(|lost| cluster.machines[**lost].role == role).count();
        let disks_left = &mut disks_left[usize::from(role == Role::Store)];
        let restart_after = Duration::from_millis(cluster.rng.u64(300..3000));
        count_as_lost(cluster, machine, restart_after);
        cluster.kill(machine, true);
        if others_lost == 0 && *disks_left > 0 && cluster.machines[machine].has_disk {
            *disks_left -= 1;
            cluster.disks_lost.insert(role, disks - *disks_left);
            cluster.machines[machine].disk.wipe();
        }
        cluster.restart(machine, restart_after);
    }
}

fn replace(cluster: &mut Cluster, machine: usize) {
    let role = cluster.machines[machine].role;
    let lost =
        cluster.lost_machines().into_iter().filter(|lost| cluster.machines[*lost].role == role).count();
    // The removed machine never returns, so the other coordinators must still be a majority of the voters.
    // This takes at least 2f + 1 coordinators for f tolerated losses.
    let (coordinators, tolerated) = (cluster.spec.coordinators, cluster.spec.tolerated_machines);
    let leaves_majority =
        role == Role::Store || (coordinators > 2 * tolerated && 2 * (lost + 1) < coordinators);
    if !reserve_disk_loss(cluster, machine) || !leaves_majority {
        return;
    }
    let added = cluster.add_machine(role);
    count_as_lost(cluster, added, Duration::from_secs(1));
    cluster.kill(machine, true);
    cluster.machines[machine].removed = true;
    cluster.restart(added, Duration::from_secs(1));
}
