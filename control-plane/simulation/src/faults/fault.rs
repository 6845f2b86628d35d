//! The kinds of faults, and whom they affect.

use crate::cluster::{LinkFault, Role};
use std::time::Duration;

/// The machine that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A random one of the role.
    Any(Role),
    /// The head of the role's chain.
    Head(Role),
    /// The tail of the role's chain.
    Tail(Role),
    /// This machine.
    Machine(usize),
}

/// What a machine is partitioned from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionScope {
    /// The machines of its role.
    Peers,
    /// All machines.
    Machines,
    /// All machines and all clients.
    MachinesAndClients,
}

/// The directions that a partition affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionDirection {
    /// To the machine and from it.
    Both,
    /// To the machine.
    Inbound,
    /// From the machine.
    Outbound,
}

/// A fault, or the end of one. The `Debug` form goes into the log.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process is killed, with or without the power of its machine, and restarted.
    Kill {
        /// The machine.
        target: Target,
        /// Whether power is lost with it.
        power: bool,
        /// Time until the restart.
        restart_after: Duration,
    },
    /// The machine loses its disk, and comes back with an empty one.
    Wipe {
        /// The machine.
        target: Target,
        /// Time until the restart.
        restart_after: Duration,
    },
    /// A bit flips in synced data; the process is restarted.
    CorruptDisk {
        /// The machine.
        target: Target,
    },
    /// The process is suspended.
    Freeze {
        /// The machine.
        target: Target,
        /// How long it lasts.
        duration: Duration,
    },
    /// A suspended process continues.
    Thaw {
        /// The machine.
        machine: usize,
    },
    /// Links of a machine fail.
    Partition {
        /// The machine.
        target: Target,
        /// What the machine is partitioned from.
        scope: PartitionScope,
        /// Which directions fail.
        direction: PartitionDirection,
        /// How they fail.
        link_fault: LinkFault,
        /// How long it lasts.
        duration: Duration,
    },
    /// Half of a role is partitioned from the other half.
    Split {
        /// The role.
        role: Role,
        /// How long it lasts.
        duration: Duration,
    },
    /// All links of a machine work again.
    Heal {
        /// The machine.
        machine: usize,
    },
    /// SIGTERM; the process is restarted 4.5 seconds later.
    Terminate {
        /// The machine.
        target: Target,
    },
    /// The machine is removed for good, and an empty one is added at another address.
    Replace {
        /// The machine.
        target: Target,
    },
    /// An empty machine is added.
    Add {
        /// The role.
        role: Role,
    },
    /// All processes are killed at the same instant, and restarted within a second.
    KillAll {
        /// Whether power is lost with it.
        power: bool,
    },
    /// Some disks are lost while all other machines lose power.
    WipeAndPowerOff {
        /// Number of disks of each role.
        disks: usize,
    },
    /// Writes take `sync` each.
    SlowDisk {
        /// The machine.
        target: Target,
        /// Duration of a write and its sync.
        sync_time: Duration,
        /// How long it lasts.
        duration: Duration,
    },
    /// Writes fail.
    FailingDisk {
        /// The machine.
        target: Target,
        /// How long it lasts.
        duration: Duration,
    },
    /// The disk works again at its usual speed.
    RepairDisk {
        /// The machine.
        machine: usize,
    },
    /// Messages are lost, late or duplicated.
    LossyNetwork {
        /// Chance of a fault, per thousand draws.
        message_fault_permille: u32,
        /// How long it lasts.
        duration: Duration,
    },
    /// The network works again.
    ReliableNetwork,
}
