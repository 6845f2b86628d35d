//! SWIM's infection-style dissemination: updates ride on the protocol's own messages.
//!
//! Each update is transmitted a number of times that grows with the logarithm of the member count, which reaches all
//! members with high probability. Updates that were transmitted least go first.

use crate::record::Name;
use crate::wire::{self, Message, Update};
use std::collections::BTreeMap;

/// Transmissions of an update for each decade of the member count (SWIM: lambda).
const TRANSMISSIONS_PER_DECADE: f64 = 4.0;

struct PendingUpdate {
    update: Update,
    transmissions: u32,
}

/// The updates that still are to be piggybacked; one for each member, the latest.
#[derive(Default)]
pub(super) struct DisseminationQueue {
    pending: BTreeMap<Name, PendingUpdate>,
    /// Updates that were ever enqueued.
    enqueued: u64,
}

impl DisseminationQueue {
    /// Enqueues an update in place of an earlier one about the same member.
    pub(super) fn enqueue(&mut self, update: Update) {
        self.enqueued += 1;
        self.pending.insert(update.record.name.clone(), PendingUpdate { update, transmissions: 0 });
    }

    /// Returns the number of updates that were ever enqueued.
    pub(super) fn enqueued(&self) -> u64 {
        self.enqueued
    }

    /// Adds to the message as many updates as fit, those with the fewest transmissions first and at a tie by name. An
    /// update about the member that the message's first update is about is not sent a second time.
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
