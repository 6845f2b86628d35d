//! Faults of the links between machines, and between machines and clients.

use std::collections::{BTreeMap, BTreeSet};

/// How a link between two machines fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Messages are lost.
    Drop,
    /// Calls end at once with an error.
    Reset,
}

/// The faulty links, by direction.
#[derive(Default)]
pub(super) struct Links {
    faults: BTreeMap<(usize, usize), LinkFault>,
    /// Machines that clients can't reach.
    unreachable: BTreeSet<usize>,
}

impl Links {
    /// Returns the fault of the link from one end to the other; an end that is `None` is a client.
    pub(super) fn fault(&self, from: Option<usize>, to: Option<usize>) -> Option<LinkFault> {
        match (from, to) {
            (Some(from), Some(to)) => self.faults.get(&(from, to)).copied(),
            (Some(machine), None) | (None, Some(machine)) => {
                self.unreachable.contains(&machine).then_some(LinkFault::Drop)
            }
            (None, None) => None,
        }
    }

    pub(super) fn partition(&mut self, from: usize, to: usize, fault: LinkFault) {
        self.faults.insert((from, to), fault);
    }

    pub(super) fn isolate_from_clients(&mut self, machine: usize) {
        self.unreachable.insert(machine);
    }

    pub(super) fn heal(&mut self, machine: usize) {
        self.faults.retain(|(from, to), _| *from != machine && *to != machine);
        self.unreachable.remove(&machine);
    }
}
