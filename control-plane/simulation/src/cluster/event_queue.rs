//! A queue of events in the order of their instants; events of the same instant are in the order in which
//! they were added.

use std::collections::BTreeMap;
use std::time::Duration;

/// Events that have not occurred yet.
pub(super) struct EventQueue<E> {
    /// By instant since the start of the run, then by sequence number.
    pending: BTreeMap<(Duration, u64), E>,
    last_sequence: u64,
}

impl<E> EventQueue<E> {
    pub(super) fn new() -> EventQueue<E> {
        EventQueue { pending: BTreeMap::new(), last_sequence: 0 }
    }

    /// Adds an event after all others of its instant.
    pub(super) fn push(&mut self, at: Duration, event: E) {
        self.last_sequence += 1;
        self.pending.insert((at, self.last_sequence), event);
    }

    /// Removes and returns the earliest event, unless it is later than `until`.
    pub(super) fn pop_until(&mut self, until: Duration) -> Option<(Duration, E)> {
        let (&(at, _), _) = self.pending.first_key_value()?;
        if at > until {
            return None;
        }
        self.pending.pop_first().map(|((at, _), event)| (at, event))
    }
}
