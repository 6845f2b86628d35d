//! SWIM's infection-style dissemination: updates are piggybacked on the messages of the protocol.
//!
//! Each update is transmitted a number of times that grows with the logarithm of the member count, which
//! reaches all members with high probability. Updates with the fewest transmissions are sent first.

use crate::record::Name;
use crate::wire::{self, Message, Update};
use std::collections::BTreeMap;

/// The number of transmissions of an update per decade of the member count (SWIM: lambda).
const TRANSMISSIONS_PER_DECADE: f64 = 4.0;

struct PendingUpdate {
    update: Update,
    transmissions: u32,
}

/// The updates that are still to be piggybacked: the latest one for each member.
#[derive(Default)]
pub(super) struct DisseminationQueue {
    pending: BTreeMap<Name, PendingUpdate>,
    /// The number of updates enqueued since the start.
    enqueued: u64,
}

impl DisseminationQueue {
    /// Enqueues an update, and replaces an earlier one about the same member.
    pub(super) fn enqueue(&mut self, update: Update) {
        self.enqueued += 1;
        self.pending.insert(update.record.name.clone(), PendingUpdate { update, transmissions: 0 });
    }

    /// Returns the number of updates enqueued since the start.
    pub(super) fn enqueued(&self) -> u64 {
        self.enqueued
    }

    /// Adds as many updates to the message as fit. Those with the fewest transmissions come first, in the
    /// order of names among equals. An update about the subject of the message's first update is skipped, so
    /// that no member occurs twice.
    pub(super) fn piggyback(&mut self, message: &mut Message, decades: f64) {
        let max_transmissions = (TRANSMISSIONS_PER_DECADE * decades).ceil() as u32;
        let mut remaining_bytes = wire::remaining_bytes(message);
        for name in self.least_transmitted() {
            let Some(pending) = self.pending.get_mut(&name) else { continue };
            let length = wire::encoded_len(&pending.update);
            if length > remaining_bytes || message.updates.len() >= wire::MAX_UPDATES {
                break;
            }
            remaining_bytes -= length;
            if message.updates.first().is_some_and(|first| first.record.name == name) {
                continue;
            }
            message.updates.push(pending.update.clone());
            pending.transmissions += 1;
            if pending.transmissions >= max_transmissions {
                self.pending.remove(&name);
            }
        }
    }

    /// Returns the members whose updates are due next, at most as many as fit in a message.
    fn least_transmitted(&self) -> Vec<Name> {
        let mut order: Vec<(u32, &Name)> =
            self.pending.iter().map(|(name, pending)| (pending.transmissions, name)).collect();
        if order.len() > wire::MAX_UPDATES {
            order.select_nth_unstable(wire::MAX_UPDATES);
            order.truncate(wire::MAX_UPDATES);
        }
        order.sort_unstable();
        order.into_iter().map(|(_, name)| name.clone()).collect()
    }
}
