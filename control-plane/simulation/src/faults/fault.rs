//! The kinds of faults and their targets.

use crate::cluster::{LinkFault, Role};
use std::time::Duration;

/// The machine that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A random machine of the role that has a disk.
    Any(Role),
    /// The head of the role's chain.
    Head(Role),
    /// The tail of the role's chain.
    Tail(Role),
    /// This machine.
    Machine(usize),
}

/// The machines and clients that a machine is partitioned from.
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
    /// The process is killed, with or without a power loss of its machine, and restarted.
    Kill {
        /// The affected machine.
        target: Target,
        /// Whether the machine loses power.
        power: bool,
        /// Time until the restart.
        restart_after: Duration,
    },
    /// The machine loses power and its disk, and restarts with an empty disk.
    Wipe {
        /// The affected machine.
        target: Target,
        /// Time until the restart.
        restart_after: Duration,
    },
    /// A bit flips in synced data; the process is restarted.
    CorruptDisk {
        /// The affected machine.
        target: Target,
    },
    /// The process is suspended.
    Freeze {
        /// The affected machine.
        target: Target,
        /// Duration of the fault.
        duration: Duration,
    },
    /// A suspended process continues.
    Thaw {
        /// Index of the affected machine.
        machine: usize,
    },
    /// Links of a machine fail.
    Partition {
        /// The affected machine.
        target: Target,
        /// The machines and clients that the machine is partitioned from.
        scope: PartitionScope,
        /// The directions in which the links fail.
        direction: PartitionDirection,
        /// How the links fail.
        link_fault: LinkFault,
        /// Duration of the fault.
        duration: Duration,
    },
    /// Half of the machines of a role are partitioned from the other half.
    Split {
        /// Role of the affected machines.
        role: Role,
        /// Duration of the fault.
        duration: Duration,
    },
    /// All links of a machine work again.
    Heal {
        /// Index of the affected machine.
        machine: usize,
    },
    /// The process receives SIGTERM, and is restarted 4.5 seconds later.
    Terminate {
        /// The affected machine.
        target: Target,
    },
    /// The machine is removed permanently, and an empty one is added at another address.
    Replace {
        /// The affected machine.
        target: Target,
    },
    /// An empty machine is added.
    Add {
        /// Role of the new machine.
        role: Role,
    },
    /// All processes are killed at the same instant, and restarted within a second.
    KillAll {
        /// Whether all machines lose power.
        power: bool,
    },
    /// All running machines lose power, and some of them lose their disks.
    WipeAndPowerOff {
        /// Maximum number of disks that are lost, for each role.
        disks: usize,
    },
    /// Each write takes `sync_time`.
    SlowDisk {
        /// The affected machine.
        target: Target,
        /// Duration of a write and its sync.
        sync_time: Duration,
        /// Duration of the fault.
        duration: Duration,
    },
    /// Writes fail.
    FailingDisk {
        /// The affected machine.
        target: Target,
        /// Duration of the fault.
        duration: Duration,
    },
    /// The disk works again at its usual speed.
    RepairDisk {
        /// Index of the affected machine.
        machine: usize,
    },
    /// Messages are lost, late or duplicated.
    LossyNetwork {
        /// Probability of each message fault, in permille.
        message_fault_permille: u32,
        /// Duration of the fault.
        duration: Duration,
    },
    /// The network works again.
    ReliableNetwork,
}
