//! Plans of faults, drawn from a seed or given by a scenario.

use super::fault::{Fault, PartitionDirection, PartitionScope, Target};
use super::loss::CATCH_UP_TIME;
use crate::cluster::{ClusterSpec, LinkFault, Role};
use fastrand::Rng;
use std::time::Duration;

/// The faults of one run, with their instants since its start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Each fault with its instant.
    pub faults: Vec<(Duration, Fault)>,
    /// Instant at which all faults have ended and all machines have caught up.
    pub fault_free_from: Duration,
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

fn seconds(rng: &mut Rng, min: f64, max: f64) -> Duration {
    Duration::from_secs_f64(min + (max - min) * rng.f64())
}

fn draw_fault(rng: &mut Rng, spec: &ClusterSpec) -> Fault {
    let target = draw_target(rng);
    let power = rng.bool();
    match rng.u32(0..18) {
        0..=1 => Fault::Kill { target, power, restart_after: seconds(rng, 0.1, 6.0) },
        2..=3 => Fault::Wipe { target, restart_after: seconds(rng, 0.1, 4.0) },
        4 => Fault::CorruptDisk { target },
        5 => Fault::Freeze { target, duration: seconds(rng, 0.3, 20.0) },
        6..=8 => {
            let scope = [PartitionScope::Peers, PartitionScope::Machines, PartitionScope::MachinesAndClients]
                [rng.usize(0..3)];
            let direction = [
                PartitionDirection::Both,
                PartitionDirection::Both,
                PartitionDirection::Inbound,
                PartitionDirection::Outbound,
            ][rng.usize(0..4)];
            let link_fault = if rng.bool() { LinkFault::Drop } else { LinkFault::Reset };
            Fault::Partition { target, scope, direction, link_fault, duration: seconds(rng, 1.0, 20.0) }
        }
        9 => Fault::Split { role: draw_role(rng), duration: seconds(rng, 1.0, 12.0) },
        10 => Fault::Terminate { target },
        11 => Fault::Replace { target },
        12 => Fault::KillAll { power },
        13 => Fault::WipeAndPowerOff { disks: spec.tolerated_machines },
        14 => {
            Fault::SlowDisk { target, sync_time: seconds(rng, 0.02, 2.0), duration: seconds(rng, 1.0, 8.0) }
        }
        15 => Fault::FailingDisk { target, duration: seconds(rng, 0.5, 6.0) },
        16 => Fault::Add { role: draw_role(rng) },
        _ => {
            Fault::LossyNetwork { message_fault_permille: rng.u32(5..80), duration: seconds(rng, 2.0, 15.0) }
        }
    }
}

/// Upper bound of the duration of a fault.
const MAX_FAULT_DURATION: Duration = Duration::from_secs(21);

impl Plan {
    /// Returns a plan of given faults, after which all machines have caught up at `fault_free_from`.
    pub fn of(faults: Vec<(Duration, Fault)>, fault_free_from: Duration) -> Plan {
        Plan { faults, fault_free_from }
    }

    /// Draws the faults of a seed: some alone, some at the same instant as another one, and some shortly
    /// after another one.
    pub fn draw(spec: &ClusterSpec) -> Plan {
        let mut rng = Rng::with_seed(spec.seed ^ 0x5bd1_e995);
        let mut faults = Vec::new();
        let mut at = seconds(&mut rng, 4.0, 8.0);
        let last_at = Duration::from_secs(40);
        while at < last_at {
            faults.push((at, draw_fault(&mut rng, spec)));
            at += match rng.u32(0..4) {
                0 => Duration::ZERO,
                1 => seconds(&mut rng, 0.0, 1.5),
                2 => seconds(&mut rng, 0.5, 6.0),
                _ => seconds(&mut rng, 4.0, 12.0),
            };
        }
        Plan { faults, fault_free_from: last_at + MAX_FAULT_DURATION + CATCH_UP_TIME }
    }
}
