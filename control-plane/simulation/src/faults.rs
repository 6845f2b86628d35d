//! Troubles, and plans of them drawn from a seed within what the deployment bears.

use crate::clients::{BatchClient, Client, Gateway, Operator, Runner};
use crate::cluster::{Cluster, ClusterSpec, LinkFault, Role};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::info;

/// A machine counts as lost for so long after it is back.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(5);
/// After the last trouble the cluster serves again within this time.
pub const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Which machine is struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// One of the role, by lot.
    Any(Role),
    Head(Role),
    Tail(Role),
    Machine(usize),
}

/// From what a machine is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionScope {
    /// The machines of its role.
    Peers,
    /// All machines.
    Machines,
    /// All machines and all clients.
    MachinesAndClients,
}

/// The ways that are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionDirection {
    Both,
    Inbound,
    Outbound,
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Kill {
        target: Target,
        power: bool,
        back_after: Duration,
    },
    /// The machine loses its disk, and comes back with an empty one.
    Wipe {
        target: Target,
        back_after: Duration,
    },
    /// A bit flips in what was synced; the process is restarted.
    CorruptDisk {
        target: Target,
    },
    Freeze {
        target: Target,
        time: Duration,
    },
    Thaw {
        machine: usize,
    },
    Partition {
        target: Target,
        from: PartitionScope,
        ways: PartitionDirection,
        how: LinkFault,
        time: Duration,
    },
    /// Half of a role from the other half.
    Split {
        role: Role,
        time: Duration,
    },
    Heal {
        machine: usize,
    },
    /// SIGTERM; it starts again soon.
    Terminate {
        target: Target,
    },
    /// It is gone for good, and an empty one comes at another address.
    Replace {
        target: Target,
    },
    /// An empty machine comes.
    Add {
        role: Role,
    },
    /// All processes are killed at the same moment, and come back within a second.
    KillAll {
        power: bool,
    },
    /// Some disks are lost while all other machines lose power.
    WipeAndPowerOff {
        disks: usize,
    },
    SlowDisk {
        target: Target,
        sync: Duration,
        time: Duration,
    },
    FailingDisk {
        target: Target,
        time: Duration,
    },
    RepairDisk {
        machine: usize,
    },
    LossyNetwork {
        message_fault_permille: u32,
        time: Duration,
    },
    ReliableNetwork,
}

/// The machine that a target means now.
fn machine_of(world: &mut Cluster, target: Target) -> Option<usize> {
    let machine = match target {
        Target::Any(role) => {
            let mut machines = world.machines_of(role);
            machines.retain(|machine| world.machines[*machine].has_disk);
            Some(machines[world.rng.usize(0..machines.len())])
        }
        Target::Head(role) => world.head_of(role),
        Target::Tail(role) => world.tail_of(role),
        Target::Machine(machine) => Some(machine),
    }?;
    (!world.machines[machine].removed).then_some(machine)
}

/// Notes that a machine counts as lost until some time after it is back.
fn lose(world: &mut Cluster, machine: usize, back_after: Duration) {
    let until = world.now + back_after + CATCH_UP_TIME;
    let machine = &mut world.machines[machine];
    machine.counts_as_lost_until = machine.counts_as_lost_until.max(until);
}

/// Whether one more disk may be lost now: no more machines are lost with it than are tolerated, and no more disks since all
/// machines were last well.
fn may_lose_disk(world: &mut Cluster, machine: usize) -> bool {
    let role = world.machines[machine].role;
    let lost = world
        .lost_machines()
        .into_iter()
        .filter(|lost| *lost != machine && world.machines[*lost].role == role);
    let lost = lost.count();
    if lost == 0 && world.now >= world.machines[machine].counts_as_lost_until {
        world.disks_lost.insert(role, 0);
    }
    let disks = world.disks_lost.entry(role).or_default();
    let may = lost.max(*disks) < world.spec.tolerated_machines
        && world.now >= world.machines[machine].counts_as_lost_until;
    if may {
        *disks += 1;
    }
    may
}

/// Carries out a fault.
pub fn inject(world: &mut Cluster, fault: Fault) {
    match fault {
        Fault::Thaw { machine } => world.set_frozen(machine, false),
        Fault::Heal { machine } => world.heal(machine),
        Fault::RepairDisk { machine } => {
            world.machines[machine].disk.set_refuses(false);
            world.machines[machine].disk.set_sync_time(Duration::from_millis(2));
        }
        Fault::ReliableNetwork => world.message_fault_permille = 0,
        Fault::LossyNetwork { message_fault_permille: badness, time } => {
            world.message_fault_permille = badness;
            for machine in 0..world.machines.len() {
                lose(world, machine, time);
            }
            world.fault_at(world.now + time, Fault::ReliableNetwork);
        }
        Fault::KillAll { power } => kill_all(world, power),
        Fault::WipeAndPowerOff { disks } => wipe_and_power_off(world, disks),
        Fault::Split { role, time } => split(world, role, time),
        Fault::Add { role } => {
            let machine = world.add_machine(role);
            lose(world, machine, Duration::ZERO);
            world.restart(machine, Duration::from_millis(100));
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
            if let Some(machine) = machine_of(world, target) {
                strike_machine(world, machine, fault);
            }
        }
    }
}

fn strike_machine(world: &mut Cluster, machine: usize, fault: Fault) {
    if !world.machines[machine].has_disk && !matches!(fault, Fault::Kill { .. } | Fault::Freeze { .. }) {
        return;
    }
    match fault {
        Fault::Kill { power, back_after, .. } => {
            lose(world, machine, back_after);
            world.kill(machine, power);
            world.restart(machine, back_after);
        }
        Fault::Wipe { back_after, .. } => wipe(world, machine, back_after),
        Fault::CorruptDisk { .. } => damage(world, machine),
        Fault::Freeze { time, .. } => {
            lose(world, machine, time);
            world.set_frozen(machine, true);
            world.fault_at(world.now + time, Fault::Thaw { machine });
        }
        Fault::Partition { from, ways, how, time, .. } => partition(world, machine, from, ways, how, time),
        Fault::Terminate { .. } => {
            lose(world, machine, Duration::from_secs(5));
            world.terminate(machine);
            world.restart(machine, Duration::from_millis(4500));
            // What has not ended by itself is killed.
            let target = Target::Machine(machine);
            if world.rng.u32(0..3) == 0 {
                let back_after = Duration::from_millis(400);
                let at = world.now + Duration::from_millis(4000);
                world.fault_at(at, Fault::Kill { target, power: false, back_after });
            }
        }
        Fault::Replace { .. } => replace(world, machine),
        Fault::SlowDisk { sync, time, .. } => {
            lose(world, machine, time);
            world.machines[machine].disk.set_sync_time(sync);
            world.fault_at(world.now + time, Fault::RepairDisk { machine });
        }
        Fault::FailingDisk { time, .. } => refuse_writes(world, machine, time),
        _ => {}
    }
}

fn wipe(world: &mut Cluster, machine: usize, back_after: Duration) {
    if !may_lose_disk(world, machine) {
        return;
    }
    lose(world, machine, back_after);
    world.kill(machine, true);
    world.machines[machine].disk.wipe();
    world.restart(machine, back_after);
}

fn damage(world: &mut Cluster, machine: usize) {
    const BACK_AFTER: Duration = Duration::from_millis(300);
    if !may_lose_disk(world, machine) {
        return;
    }
    lose(world, machine, BACK_AFTER);
    world.kill(machine, false);
    let disk = world.machines[machine].disk.clone();
    disk.damage(&mut world.rng);
    world.restart(machine, BACK_AFTER);
}

fn refuse_writes(world: &mut Cluster, machine: usize, time: Duration) {
    // A process cannot start on a disk that takes nothing.
    if !world.is_running(machine) {
        return;
    }
    lose(world, machine, time);
    world.machines[machine].disk.set_refuses(true);
    world.fault_at(world.now + time, Fault::RepairDisk { machine });
}

fn partition(
    world: &mut Cluster,
    machine: usize,
    from: PartitionScope,
    ways: PartitionDirection,
    how: LinkFault,
    time: Duration,
) {
    lose(world, machine, time);
    let role = world.machines[machine].role;
    for other in 0..world.machines.len() {
        if other == machine || (from == PartitionScope::Peers && world.machines[other].role != role) {
            continue;
        }
        if ways != PartitionDirection::Inbound {
            world.partition(machine, other, how);
        }
        if ways != PartitionDirection::Outbound {
            world.partition(other, machine, how);
        }
    }
    if from == PartitionScope::MachinesAndClients {
        world.isolate_from_clients(machine);
    }
    world.fault_at(world.now + time, Fault::Heal { machine });
}

fn split(world: &mut Cluster, role: Role, time: Duration) {
    let mut machines = world.machines_of(role);
    world.rng.shuffle(&mut machines);
    let (left, right) = machines.split_at(machines.len() / 2);
    for &machine in right {
        lose(world, machine, time);
    }
    for &machine in left {
        lose(world, machine, time);
        for &other in right {
            world.partition(machine, other, LinkFault::Drop);
            world.partition(other, machine, LinkFault::Drop);
        }
        world.fault_at(world.now + time, Fault::Heal { machine });
    }
}

fn kill_all(world: &mut Cluster, power: bool) {
    for machine in 0..world.machines.len() {
        if !world.machines[machine].removed && world.is_running(machine) {
            let back_after = Duration::from_millis(world.rng.u64(200..1000));
            lose(world, machine, back_after);
            world.kill(machine, power);
            world.restart(machine, back_after);
        }
    }
}

fn wipe_and_power_off(world: &mut Cluster, disks: usize) {
    let lost = world.lost_machines();
    let mut left = [disks; 2];
    let mut machines: Vec<usize> = (0..world.machines.len()).collect();
    world.rng.shuffle(&mut machines);
    for machine in machines {
        if world.machines[machine].removed || !world.is_running(machine) {
            continue;
        }
        let role = world.machines[machine].role;
        let others_lost = lost.iter().filter(|lost| world.machines[**lost].role == role).count();
        let left = &mut left[usize::from(role == Role::Store)];
        let back_after = Duration::from_millis(world.rng.u64(300..3000));
        lose(world, machine, back_after);
        world.kill(machine, true);
        if others_lost == 0 && *left > 0 && world.machines[machine].has_disk {
            *left -= 1;
            world.disks_lost.insert(role, disks - *left);
            world.machines[machine].disk.wipe();
        }
        world.restart(machine, back_after);
    }
}

fn replace(world: &mut Cluster, machine: usize) {
    let role = world.machines[machine].role;
    let lost = world.lost_machines().into_iter().filter(|lost| world.machines[*lost].role == role).count();
    // Machines that never come back must leave a majority of the voters, which takes 2f + 1 of them.
    let (coordinators, tolerated) = (world.spec.coordinators, world.spec.tolerated_machines);
    let leaves_majority =
        role == Role::Store || (coordinators > 2 * tolerated && 2 * (lost + 1) < coordinators);
    if !may_lose_disk(world, machine) || !leaves_majority {
        return;
    }
    let added = world.add_machine(role);
    lose(world, added, Duration::from_secs(1));
    world.kill(machine, true);
    world.machines[machine].removed = true;
    world.restart(added, Duration::from_secs(1));
}

/// Troubles of one run, at their times.
#[derive(Clone, Debug)]
pub struct Plan {
    pub faults: Vec<(Duration, Fault)>,
    /// When the last trouble is over.
    pub quiet_from: Duration,
}

fn draw_target(rng: &mut Rng) -> Target {
    let role = if rng.u32(0..5) < 3 { Role::Coordinator } else { Role::Store };
    match rng.u32(0..4) {
        0 => Target::Head(role),
        1 => Target::Tail(role),
        _ => Target::Any(role),
    }
}

fn draw_role(rng: &mut Rng) -> Role {
    if rng.bool() {
        Role::Coordinator
    } else {
        Role::Store
    }
}

fn seconds(rng: &mut Rng, least: f64, most: f64) -> Duration {
    Duration::from_secs_f64(least + (most - least) * rng.f64())
}

fn draw_fault(rng: &mut Rng, spec: &ClusterSpec) -> Fault {
    let target = draw_target(rng);
    let power = rng.bool();
    match rng.u32(0..18) {
        0..=1 => Fault::Kill { target, power, back_after: seconds(rng, 0.1, 6.0) },
        2..=3 => Fault::Wipe { target, back_after: seconds(rng, 0.1, 4.0) },
        4 => Fault::CorruptDisk { target },
        5 => Fault::Freeze { target, time: seconds(rng, 0.3, 20.0) },
        6..=8 => {
            let from = [PartitionScope::Peers, PartitionScope::Machines, PartitionScope::MachinesAndClients]
                [rng.usize(0..3)];
            let ways = [
                PartitionDirection::Both,
                PartitionDirection::Both,
                PartitionDirection::Inbound,
                PartitionDirection::Outbound,
            ][rng.usize(0..4)];
            let how = if rng.bool() { LinkFault::Drop } else { LinkFault::Reset };
            Fault::Partition { target, from, ways, how, time: seconds(rng, 1.0, 20.0) }
        }
        9 => Fault::Split { role: draw_role(rng), time: seconds(rng, 1.0, 12.0) },
        10 => Fault::Terminate { target },
        11 => Fault::Replace { target },
        12 => Fault::KillAll { power },
        13 => Fault::WipeAndPowerOff { disks: spec.tolerated_machines },
        14 => Fault::SlowDisk { target, sync: seconds(rng, 0.02, 2.0), time: seconds(rng, 1.0, 8.0) },
        15 => Fault::FailingDisk { target, time: seconds(rng, 0.5, 6.0) },
        16 => Fault::Add { role: draw_role(rng) },
        _ => Fault::LossyNetwork { message_fault_permille: rng.u32(5..80), time: seconds(rng, 2.0, 15.0) },
    }
}

/// Longest time that a fault lasts.
const MAX_FAULTS: Duration = Duration::from_secs(21);

impl Plan {
    /// These troubles, the last of which is over at a time.
    pub fn of(faults: Vec<(Duration, Fault)>, quiet_from: Duration) -> Plan {
        Plan { faults, quiet_from }
    }

    /// Draws the troubles of a seed: some alone, some in pairs at the same moment, some shortly behind each other.
    pub fn draw(spec: &ClusterSpec) -> Plan {
        let mut rng = Rng::with_seed(spec.seed ^ 0x5bd1_e995);
        let mut faults = Vec::new();
        let mut at = seconds(&mut rng, 4.0, 8.0);
        let last = Duration::from_secs(40);
        while at < last {
            faults.push((at, draw_fault(&mut rng, spec)));
            at += match rng.u32(0..4) {
                0 => Duration::ZERO,
                1 => seconds(&mut rng, 0.0, 1.5),
                2 => seconds(&mut rng, 0.5, 6.0),
                _ => seconds(&mut rng, 4.0, 12.0),
            };
        }
        Plan { faults, quiet_from: last + MAX_FAULTS + CATCH_UP_TIME }
    }
}

/// What a run has found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub found: Vec<String>,
    pub trace: u64,
    /// What was asked and answered.
    pub counts: BTreeMap<&'static str, u64>,
}

/// Adds the clients that every run has.
pub fn add_clients(world: &mut Cluster, change_pause: u64) {
    for name in 0..2 {
        world.add_client(Client::Operator(Operator::new(name, change_pause)));
    }
    for number in 0..3 {
        world.add_client(Client::Gateway(Gateway::new(number)));
    }
    world.add_client(Client::Batch(BatchClient::new(200)));
    for number in 0..2 {
        world.add_client(Client::Runner(Runner::new(format!("gateway-{number}"))));
    }
}

/// Longest pause of an operator between two errands, in milliseconds.
const CHANGE_INTERVAL: u64 = 700;

/// Runs a cluster through a plan and until it must serve again.
pub fn run(spec: ClusterSpec, plan: &Plan) -> Verdict {
    run_with(spec, plan, CHANGE_INTERVAL)
}

/// The same with operators that pause for so many milliseconds at most.
pub fn run_with(spec: ClusterSpec, plan: &Plan, change_pause: u64) -> Verdict {
    let mut world = Cluster::new(spec);
    add_clients(&mut world, change_pause);
    for (at, fault) in &plan.faults {
        world.fault_at(*at, *fault);
    }
    world.run_until(plan.quiet_from + RECOVERY_TIME);
    finish(&mut world);
    world.describe().into_iter().for_each(|line| info!("{line}"));
    verdict(&world)
}

/// Checks that a cluster without trouble serves: changes, readings, pulls and jobs go on, and enough copies are there.
pub fn finish(world: &mut Cluster) {
    // Readings are drawn less often than changes.
    const SERVED: [(&str, u64); 4] = [("acknowledged", 8), ("pulled", 8), ("read", 30), ("results read", 30)];
    let begun = world.now;
    let before = SERVED.map(|(what, _)| world.checker.count_of(what));
    for ((what, seconds), before) in SERVED.into_iter().zip(before) {
        let until = begun + Duration::from_secs(seconds);
        while world.checker.count_of(what) == before && world.now < until && !world.checker.has_violation() {
            let next = world.now + Duration::from_secs(1);
            world.run_until(next);
        }
        if !world.checker.has_violation() && world.checker.count_of(what) == before {
            world.checker.report(format!("no longer served: {what}"));
        }
    }
    let newest = world.checker.newest_acknowledged(world.now);
    let (holders, copies) = (world.coordinators_with_generation(newest), world.spec.tolerated_machines + 1);
    if !world.checker.has_violation() && holders < copies {
        world.checker.report(format!("{holders} copies of {newest}, {copies} are asked for"));
    }
}

pub fn verdict(world: &Cluster) -> Verdict {
    Verdict {
        found: world.checker.violations().to_vec(),
        trace: world.trace,
        counts: world.checker.counts.clone(),
    }
}
